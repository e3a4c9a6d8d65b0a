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
	leastDelay = 1_400  // us
	delaySpan  = 21_600 // us, at random
	lossPart   = 0.001
	slotTime   = 1_000 // us: events are kept by the millisecond
	slots      = 64    // more than the longest delay or wait
	startsIn   = second / 2
	sampleCPU  = 4 // one call in so many is timed
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
	rng       *rand.Rand
	clock     cpuClock
	now       int64
	routers   int
	depots    int
	limits    []fleet.Limit
	seed      uint64
	processes []*process
	lost      []bool // by rank
	cut       bool   // regions do not hear one another
	loss      float64
	calendar  [slots][]event
	fault     error
	calls     int
}

// process is one that is simulated in full.
type process struct {
	place       int
	primary     int // the rank that its node has
	node        *fleet.Node
	starts      uint32
	speaksAs    int // while it answers; -1: it begins by itself
	suspected   []int
	refuted     uint16
	region      int
	zone        int
	traffic     traffic
	cpu         time.Duration
	nextSuspect int
}

// event is a datagram on its way, or with none a tick.
type event struct {
	at          int64
	from, to    int // ranks
	bytes       []byte
	starts      uint32
	onBehalfAll bool // one for each rank that the sender's process plays
}

func newWorld(o Options, clock cpuClock, processes int, limits ...fleet.Limit) (*world, error) {
	w := &world{rng: rand.New(rand.NewPCG(o.Seed, 7)), clock: clock, now: second, routers: o.Routers, depots: o.scaled(fleetSites), limits: limits,
		seed: o.Seed, lost: make([]bool, o.Routers), loss: lossPart}
	for i := range processes {
		p := &process{place: i, primary: i, region: i * fleetRegions / processes, zone: i * fleetZones / processes, speaksAs: -1}
		w.processes = append(w.processes, p)
		if err := w.start(p); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *world) processOf(rank int) *process { return w.processes[rank%len(w.processes)] }
func (w *world) folded() bool                { return len(w.processes) < w.routers }
func (w *world) depotOf(rank int) int        { return rank * w.depots / w.routers }

// start gives a process a node that knows nothing.
func (w *world) start(p *process) error {
	p.starts++
	node, err := fleet.New(w.now, fleet.Options{Rank: p.primary, FleetSize: w.routers, Site: w.depotOf(p.primary), Sites: w.depots, Incarnation: p.starts,
		Seed: w.seed, Limits: w.limits})
	if err != nil {
		return err
	}
	node.Send = func(to int, datagram []byte) { w.send(p, to, datagram) }
	for limit := range w.limits {
		node.SetDemand(limit, wanted)
	}
	p.node = node
	w.schedule(event{at: w.now + w.rng.Int64N(slots/2*slotTime), from: p.primary, to: p.primary, starts: p.starts})
	return nil
}

// wanted of a limit by each router: more than there is.
const wanted = 1e5

func (w *world) schedule(e event) {
	e.at = min(e.at, w.now+(slots-1)*slotTime)
	slot := e.at / slotTime % slots
	w.calendar[slot] = append(w.calendar[slot], e)
}

// rankToSpeakAs draws one of a process's ranks that is not lost; towards a rank of its own it is not the primary, whose words a node passes over.
func (w *world) rankToSpeakAs(p *process, to int) int {
	if !w.folded() {
		return p.primary
	}
	ranks := (w.routers - p.place + len(w.processes) - 1) / len(w.processes)
	for {
		rank := p.place + w.rng.IntN(ranks)*len(w.processes)
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
	speaker := p.speaksAs
	if speaker < 0 || op == opAsk {
		speaker = w.rankToSpeakAs(p, to)
	}
	if w.folded() {
		w.disguise(p, speaker, datagram)
	}
	if to == fleet.Broadcast {
		for _, other := range w.processes {
			if other != p {
				w.deliver(p, speaker, other.primary, datagram, false)
			}
		}
		return
	}
	if op == opLend && w.folded() && to != w.processOf(to).primary {
		return // of all ranks of a process only the primary's lease is kept by its node
	}
	w.deliver(p, speaker, to, datagram, op == opAsk)
}

func (w *world) deliver(p *process, speaker, to int, datagram []byte, onBehalfAll bool) {
	if w.lost[to] || w.lost[speaker] || w.cut && p.region != w.processOf(to).region || w.rng.Float64() < w.loss {
		return
	}
	w.schedule(event{w.now + leastDelay + w.rng.Int64N(delaySpan), speaker, to, append([]byte(nil), datagram...), 0, onBehalfAll && w.folded()})
}

// disguise makes a datagram of p's node one of another rank that p plays.
func (w *world) disguise(p *process, rank int, datagram []byte) {
	setRank(datagram, rank, w.depotOf(rank))
	if operationOf(datagram) == opAck && targetOf(datagram) == p.primary {
		setTarget(datagram, rank)
	}
	eachUpdate(datagram, func(u update) {
		if u.rank() != p.primary {
			return
		}
		p.refuted = u.refuted()
		if len(p.suspected) > 0 {
			u.setRank(p.suspected[p.nextSuspect%len(p.suspected)])
			p.nextSuspect++
		}
	})
}

// mostSuspected is how many of its ranks a process refutes in turn.
const mostSuspected = 8

// address makes updates about any rank that p plays ones about its node.
func (w *world) address(p *process, datagram []byte) {
	eachUpdate(datagram, func(u update) {
		rank := u.rank()
		if rank >= w.routers || w.processOf(rank) != p || w.lost[rank] {
			return
		}
		if u.suspects() {
			if p.suspected = append(p.suspected, rank); len(p.suspected) > mostSuspected {
				p.suspected = p.suspected[1:]
			}
			u.setRefuted(max(u.refuted(), p.refuted))
		}
		u.setRank(p.primary)
	})
}

// run lets virtual time pass.
func (w *world) run(until int64) error {
	for ; w.now < until && w.fault == nil; w.now += slotTime {
		slot := w.now / slotTime % slots
		due := w.calendar[slot]
		w.calendar[slot] = nil
		for _, e := range due {
			if p := w.processOf(e.to); !w.lost[e.to] {
				w.play(p, e)
			}
		}
	}
	return w.fault
}

// play hands an event to a process, and times it now and then.
func (w *world) play(p *process, e event) {
	if w.calls++; w.calls%sampleCPU != 0 {
		w.handle(p, e)
		return
	}
	began := w.clock.now()
	w.handle(p, e)
	p.cpu += sampleCPU * (w.clock.now() - began)
}

func (w *world) handle(p *process, e event) {
	if e.bytes == nil {
		w.tick(p, e)
		return
	}
	p.speaksAs = e.to
	defer func() { p.speaksAs = -1 }()
	if w.folded() {
		w.address(p, e.bytes)
	}
	if !e.onBehalfAll {
		w.hear(p, e.from, e.bytes)
		return
	}
	for rank := e.from % len(w.processes); rank < w.routers; rank += len(w.processes) {
		if !w.lost[rank] {
			setRank(e.bytes, rank, w.depotOf(rank))
			w.hear(p, rank, e.bytes)
		}
	}
}

func (w *world) hear(p *process, from int, datagram []byte) {
	p.traffic.add(w.now, len(datagram))
	if err := p.node.Receive(w.now, from, datagram); err != nil && !errors.Is(err, fleet.ErrStale) {
		w.fault = fmt.Errorf("rank %d hears %d: %w", p.primary, from, err)
	}
}

func (w *world) tick(p *process, e event) {
	if e.starts != p.starts {
		return // of a node that is no more
	}
	next := p.node.Tick(w.now)
	w.schedule(event{at: max(next, w.now+slotTime), from: p.primary, to: p.primary, starts: p.starts})
}

// lose ends routers; those whose primary rank is among them stop wholly.
func (w *world) lose(ranks []int) {
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
