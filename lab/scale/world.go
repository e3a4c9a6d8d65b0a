package scale

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"spantack/core/fleet"
)

// The network between processes.
const (
	minDelay          = 1_400  // us
	delaySpan         = 21_600 // us, at random
	baseLossRate      = 0.001
	slotDuration      = 1_000 // us: events are kept by the millisecond
	slotCount         = 64    // more than the longest delay or wait
	startSpread       = second / 2
	cpuSampleInterval = 4 // one call in so many is timed
)

// world is a fleet of core/fleet nodes in virtual time.
//
// Where it simulates fewer processes than there are routers, process i plays all ranks r with r mod processes = i: it believes in all routers,
// is spoken to under each of its ranks and answers under that one, and begins conversations under one drawn at random. So each process sends and
// hears as much as one router does. What goes to one router from all, a request for a lease, is delivered once for each rank that its sender plays, so that
// the receiver hears as much as it would from all. A report to everybody is delivered once: the waits before reports are drawn by the number of routers, and
// how many are sent before they suppress the others does not depend on how many of those routers take part (core/fleet). Ranks of one process share
// incarnation and fate, but for single ranks that are lost.
type world struct {
	rng           *rand.Rand
	clock         threadCPUClock
	now           int64
	routers       int
	sites         int
	limits        []fleet.Limit
	seed          uint64
	processes     []*process
	lost          []bool // by rank
	isPartitioned bool   // regions do not hear one another
	lossRate      float64
	calendar      [slotCount][]event
	err           error
	calls         int
}

// process is one that is simulated in full.
type process struct {
	index          int
	primary        int // the rank that its node has
	node           *fleet.Node
	incarnation    uint32
	replyingAs     int // while it answers; -1: it begins by itself
	suspectedRanks []int
	refuted        uint16
	region         int
	zone           int
	traffic        traffic
	cpu            time.Duration
	nextSuspect    int
}

// event is a datagram on its way, or with none a tick.
type event struct {
	at          int64
	from, to    int // ranks
	datagram    []byte
	incarnation uint32
	forAllRanks bool // one for each rank that the sender's process plays
}

func newWorld(o Options, clock threadCPUClock, processes int, limits ...fleet.Limit) (*world, error) {
	w := &world{rng: rand.New(rand.NewPCG(o.Seed, 7)), clock: clock, now: second, routers: o.Routers, sites: o.scaled(fleetSites), limits: limits,
		seed: o.Seed, lost: make([]bool, o.Routers), lossRate: baseLossRate}
	for i := range processes {
		p := &process{index: i, primary: i, region: i * fleetRegions / processes, zone: i * fleetZones / processes, replyingAs: -1}
		w.processes = append(w.processes, p)
		if err := w.start(p); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *world) processOf(rank int) *process { return w.processes[rank%len(w.processes)] }
func (w *world) isSampled() bool             { return len(w.processes) < w.routers }
func (w *world) siteOf(rank int) int         { return rank * w.sites / w.routers }

// start gives a process a node that knows nothing.
func (w *world) start(p *process) error {
	p.incarnation++
	node, err := fleet.New(w.now, fleet.Options{Rank: p.primary, FleetSize: w.routers, Site: w.siteOf(p.primary), Sites: w.sites, Incarnation: p.incarnation,
		Seed: w.seed, Limits: w.limits})
	if err != nil {
		return err
	}
	node.Send = func(to int, datagram []byte) { w.send(p, to, datagram) }
	for limit := range w.limits {
		node.SetDemand(limit, demandPerRouter)
	}
	p.node = node
	w.schedule(event{at: w.now + w.rng.Int64N(slotCount/2*slotDuration), from: p.primary, to: p.primary, incarnation: p.incarnation})
	return nil
}

// demandPerRouter of a limit by each router: more than there is.
const demandPerRouter = 1e5

func (w *world) schedule(e event) {
	e.at = min(e.at, w.now+(slotCount-1)*slotDuration)
	slot := e.at / slotDuration % slotCount
	w.calendar[slot] = append(w.calendar[slot], e)
}

// pickSenderRank draws one of a process's ranks that is not lost; towards a rank of its own it is not the primary, whose words a node passes over.
func (w *world) pickSenderRank(p *process, to int) int {
	if !w.isSampled() {
		return p.primary
	}
	ranks := (w.routers - p.index + len(w.processes) - 1) / len(w.processes)
	for {
		rank := p.index + w.rng.IntN(ranks)*len(w.processes)
		own := to >= 0 && w.processOf(to) == p && (rank == p.primary || rank == to)
		if !w.lost[rank] && !own {
			return rank
		}
	}
}

// send puts a datagram of p's node on its way.
func (w *world) send(p *process, to int, datagram []byte) {
	p.traffic.add(w.now, len(datagram))
	op := operationOf(datagram)
	speaker := p.replyingAs
	if speaker < 0 || op == opLeaseRequest {
		speaker = w.pickSenderRank(p, to)
	}
	if w.isSampled() {
		w.rewriteSender(p, speaker, datagram)
	}
	if to == fleet.Broadcast {
		for _, other := range w.processes {
			if other != p {
				w.deliver(p, speaker, other.primary, datagram, false)
			}
		}
		return
	}
	if op == opLeaseGrant && w.isSampled() && to != w.processOf(to).primary {
		return // of all ranks of a process only the primary's lease is kept by its node
	}
	w.deliver(p, speaker, to, datagram, op == opLeaseRequest)
}

func (w *world) deliver(p *process, speaker, to int, datagram []byte, onBehalfAll bool) {
	if w.lost[to] || w.lost[speaker] || w.isPartitioned && p.region != w.processOf(to).region || w.rng.Float64() < w.lossRate {
		return
	}
	w.schedule(event{w.now + minDelay + w.rng.Int64N(delaySpan), speaker, to, append([]byte(nil), datagram...), 0, onBehalfAll && w.isSampled()})
}

// rewriteSender makes a datagram of p's node one of another rank that p plays.
func (w *world) rewriteSender(p *process, rank int, datagram []byte) {
	setRank(datagram, rank, w.siteOf(rank))
	if operationOf(datagram) == opAck && targetOf(datagram) == p.primary {
		setTarget(datagram, rank)
	}
	eachUpdate(datagram, func(u membershipUpdate) {
		if u.rank() != p.primary {
			return
		}
		p.refuted = u.refuted()
		if len(p.suspectedRanks) > 0 {
			u.setRank(p.suspectedRanks[p.nextSuspect%len(p.suspectedRanks)])
			p.nextSuspect++
		}
	})
}

// maxSuspectedRanks is how many of its ranks a process refutes in turn.
const maxSuspectedRanks = 8

// rewriteTarget makes updates about any rank that p plays ones about its node.
func (w *world) rewriteTarget(p *process, datagram []byte) {
	eachUpdate(datagram, func(u membershipUpdate) {
		rank := u.rank()
		if rank >= w.routers || w.processOf(rank) != p || w.lost[rank] {
			return
		}
		if u.isSuspicion() {
			if p.suspectedRanks = append(p.suspectedRanks, rank); len(p.suspectedRanks) > maxSuspectedRanks {
				p.suspectedRanks = p.suspectedRanks[1:]
			}
			u.setRefuted(max(u.refuted(), p.refuted))
		}
		u.setRank(p.primary)
	})
}

// run lets virtual time pass.
func (w *world) run(until int64) error {
	for ; w.now < until && w.err == nil; w.now += slotDuration {
		slot := w.now / slotDuration % slotCount
		due := w.calendar[slot]
		w.calendar[slot] = nil
		for _, e := range due {
			if p := w.processOf(e.to); !w.lost[e.to] {
				w.dispatch(p, e)
			}
		}
	}
	return w.err
}

// dispatch hands an event to a process, and times it now and then.
func (w *world) dispatch(p *process, e event) {
	if w.calls++; w.calls%cpuSampleInterval != 0 {
		w.handle(p, e)
		return
	}
	began := w.clock.now()
	w.handle(p, e)
	p.cpu += cpuSampleInterval * (w.clock.now() - began)
}

func (w *world) handle(p *process, e event) {
	if e.datagram == nil {
		w.tick(p, e)
		return
	}
	p.replyingAs = e.to
	defer func() { p.replyingAs = -1 }()
	if w.isSampled() {
		w.rewriteTarget(p, e.datagram)
	}
	if !e.forAllRanks {
		w.receive(p, e.from, e.datagram)
		return
	}
	for rank := e.from % len(w.processes); rank < w.routers; rank += len(w.processes) {
		if !w.lost[rank] {
			setRank(e.datagram, rank, w.siteOf(rank))
			w.receive(p, rank, e.datagram)
		}
	}
}

func (w *world) receive(p *process, from int, datagram []byte) {
	p.traffic.add(w.now, len(datagram))
	if err := p.node.Receive(w.now, from, datagram); err != nil && !errors.Is(err, fleet.ErrStale) {
		w.err = fmt.Errorf("rank %d hears %d: %w", p.primary, from, err)
	}
}

func (w *world) tick(p *process, e event) {
	if e.incarnation != p.incarnation {
		return // of a node that is no more
	}
	next := p.node.Tick(w.now)
	w.schedule(event{at: max(next, w.now+slotDuration), from: p.primary, to: p.primary, incarnation: p.incarnation})
}

// stop ends routers; those whose primary rank is among them stop wholly.
func (w *world) stop(ranks []int) {
	for _, rank := range ranks {
		w.lost[rank] = true
	}
}

// restart starts routers anew that were lost; those of a process that runs go on.
func (w *world) restart(ranks []int) error {
	for _, rank := range ranks {
		w.lost[rank] = false
		if p := w.processOf(rank); p.primary == rank {
			if err := w.start(p); err != nil {
				return err
			}
		}
	}
	return nil
}

// ranksOf lists the routers that match.
func (w *world) ranksOf(match func(rank int, p *process) bool) (ranks []int) {
	for rank := range w.routers {
		if match(rank, w.processOf(rank)) {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}
