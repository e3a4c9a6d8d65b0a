package scale

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"spantack/core/fleet"
)

const (
	// cpuSampleInterval is how many calls there are to one that is timed.
	cpuSampleInterval = 4

	// maxFirstTickDelay bounds the random time from the start of a node to its first tick, in microseconds.
	maxFirstTickDelay = slotCount / 2 * slotDuration

	// demandPerRouter is what each router wants of a limit: more than there is.
	demandPerRouter = 1e5

	// maxSuspectedRanks bounds how many of its ranks a process refutes in turn.
	maxSuspectedRanks = 8

	// worldStream tells a world's random numbers from others of the same seed.
	worldStream = 7
)

// world is a fleet of core/fleet nodes in virtual time.
//
// Where it simulates fewer processes than there are routers, process i plays all ranks r with r mod processes = i: it
// believes in all routers, is spoken to under each of its ranks and replies under that one, and begins conversations
// under one drawn at random. So each process sends and receives as much as one router does. What goes to one router
// from all, a request for a lease, is delivered once for each rank that its sender plays, so that the receiver gets as
// much as it would from all. A report to everybody is delivered once: the waits before reports are drawn by the number
// of routers, and how many are sent before they suppress the others does not depend on how many of those routers take
// part (core/fleet). Ranks of one process share incarnation and fate, but for single ranks that are lost.
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
	isPartitioned bool   // datagrams pass within regions alone
	lossRate      float64
	calendar      calendar[event]
	err           error // the first of a node; the world stops then
	calls         int   // of nodes, so far
}

// process is one that is simulated in full.
type process struct {
	index       int
	primary     int // the rank that its node has
	node        *fleet.Node
	incarnation uint32 // of the node, which a restart replaces
	region      int
	zone        int

	replyingAs     int    // the rank that it was spoken to under, during the call; -1: it acts by itself
	suspectedRanks []int  // of its ranks, those that others suspected last
	nextSuspect    int    // counts through them
	refuted        uint16 // by its node, in the last update about it

	traffic traffic
	cpu     time.Duration
}

// event is a datagram in flight or, without one, a tick.
type event struct {
	at          int64
	from, to    int // ranks
	datagram    []byte
	incarnation uint32 // of a tick: of the process that it is for
	forAllRanks bool   // deliver it once for each rank that the sender's process plays
}

func newWorld(o Options, clock threadCPUClock, processes int, limits ...fleet.Limit) (*world, error) {
	w := &world{
		rng:      rand.New(rand.NewPCG(o.Seed, worldStream)),
		clock:    clock,
		now:      second,
		routers:  o.Routers,
		sites:    o.scaled(fleetSites),
		limits:   limits,
		seed:     o.Seed,
		lost:     make([]bool, o.Routers),
		lossRate: baseLossRate,
	}
	for i := range processes {
		p := &process{
			index:      i,
			primary:    i,
			region:     regionOf(i, processes),
			zone:       zoneOf(i, processes),
			replyingAs: -1,
		}
		w.processes = append(w.processes, p)
		if err := w.start(p); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// processOf returns the process that plays a rank.
func (w *world) processOf(rank int) *process { return w.processes[rank%len(w.processes)] }

// isSampled returns whether processes play several ranks each.
func (w *world) isSampled() bool { return len(w.processes) < w.routers }

func (w *world) siteOf(rank int) int { return rank * w.sites / w.routers }

// running returns the processes whose node is up.
func (w *world) running() []*process {
	return slices.DeleteFunc(slices.Clone(w.processes), func(p *process) bool { return w.lost[p.primary] })
}

// start gives a process a node that knows nothing.
func (w *world) start(p *process) error {
	p.incarnation++
	node, err := fleet.New(w.now, fleet.Options{
		Rank:        p.primary,
		FleetSize:   w.routers,
		Site:        w.siteOf(p.primary),
		Sites:       w.sites,
		Incarnation: p.incarnation,
		Seed:        w.seed,
		Limits:      w.limits,
	})
	if err != nil {
		return err
	}
	node.Send = func(to int, datagram []byte) { w.send(p, to, datagram) }
	for limit := range w.limits {
		node.SetDemand(limit, demandPerRouter)
	}
	p.node = node
	w.scheduleTick(p, w.now+w.rng.Int64N(maxFirstTickDelay))
	return nil
}

func (w *world) scheduleTick(p *process, at int64) {
	w.schedule(event{at: at, from: p.primary, to: p.primary, incarnation: p.incarnation})
}

// schedule adds an event, earlier than it should be where it lies beyond the calendar.
func (w *world) schedule(e event) {
	e.at = min(e.at, w.now+(slotCount-1)*slotDuration)
	w.calendar.add(e.at, e)
}

// pickSenderRank draws one of a process's ranks that is not lost. Towards a rank of its own it is not the primary,
// whose datagrams a node ignores.
func (w *world) pickSenderRank(p *process, to int) int {
	if !w.isSampled() {
		return p.primary
	}
	ranks := (w.routers - p.index + len(w.processes) - 1) / len(w.processes)
	for {
		rank := p.index + w.rng.IntN(ranks)*len(w.processes)
		isOwn := to >= 0 && w.processOf(to) == p && (rank == p.primary || rank == to)
		if !w.lost[rank] && !isOwn {
			return rank
		}
	}
}

// send delivers a datagram of p's node.
func (w *world) send(p *process, to int, datagram []byte) {
	p.traffic.add(w.now, len(datagram))
	op := operationOf(datagram)
	sender := p.replyingAs
	if sender < 0 || op == opLeaseRequest {
		sender = w.pickSenderRank(p, to)
	}
	if w.isSampled() {
		w.rewriteSender(p, sender, datagram)
	}
	if to == fleet.Broadcast {
		for _, other := range w.processes {
			if other != p {
				w.deliver(p, event{from: sender, to: other.primary, datagram: datagram})
			}
		}
		return
	}
	if op == opLeaseGrant && w.isSampled() && to != w.processOf(to).primary {
		return // of all ranks of a process only the primary's lease is kept by its node
	}
	forAllRanks := op == opLeaseRequest && w.isSampled()
	w.deliver(p, event{from: sender, to: to, datagram: datagram, forAllRanks: forAllRanks})
}

// deliver schedules the arrival of a datagram of p, or loses it.
func (w *world) deliver(p *process, e event) {
	if w.lost[e.to] || w.lost[e.from] {
		return
	}
	if w.isPartitioned && p.region != w.processOf(e.to).region {
		return
	}
	if w.rng.Float64() < w.lossRate {
		return
	}
	e.at = arrivalTime(w.rng, w.now)
	e.datagram = slices.Clone(e.datagram)
	w.schedule(e)
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

// rewriteTarget makes updates about any rank that p plays ones about its node.
func (w *world) rewriteTarget(p *process, datagram []byte) {
	eachUpdate(datagram, func(u membershipUpdate) {
		rank := u.rank()
		if rank >= w.routers || w.processOf(rank) != p || w.lost[rank] {
			return
		}
		if u.isSuspicion() {
			p.suspectedRanks = append(p.suspectedRanks, rank)
			if len(p.suspectedRanks) > maxSuspectedRanks {
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
		for _, e := range w.calendar.take(w.now) {
			if !w.lost[e.to] {
				w.dispatch(w.processOf(e.to), e)
			}
		}
	}
	return w.err
}

// dispatch hands an event to a process, and times one call in cpuSampleInterval.
func (w *world) dispatch(p *process, e event) {
	w.calls++
	if w.calls%cpuSampleInterval != 0 {
		w.handle(p, e)
		return
	}
	startedAt := w.clock.now()
	w.handle(p, e)
	p.cpu += cpuSampleInterval * (w.clock.now() - startedAt)
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
	err := p.node.Receive(w.now, from, datagram)
	if err != nil && !errors.Is(err, fleet.ErrStale) {
		w.err = fmt.Errorf("rank %d receives from %d: %w", p.primary, from, err)
	}
}

func (w *world) tick(p *process, e event) {
	if e.incarnation != p.incarnation {
		return // of a node that was replaced
	}
	next := p.node.Tick(w.now)
	w.scheduleTick(p, max(next, w.now+slotDuration))
}

// stop ends routers; processes whose primary rank is among them stop wholly.
func (w *world) stop(ranks []int) {
	for _, rank := range ranks {
		w.lost[rank] = true
	}
}

// restart starts routers anew that were stopped. Of a process that runs, a rank goes on with the others.
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

// ranksOf returns the ranks that match.
func (w *world) ranksOf(match func(rank int, p *process) bool) (ranks []int) {
	for rank := range w.routers {
		if match(rank, w.processOf(rank)) {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// leasedFraction returns the fraction of the processes that a holder has granted a lease of the first limit of late.
func (w *world) leasedFraction() float64 {
	return w.fractionOfRunning(func(p *process) bool { return p.node.LimitStatuses(w.now)[0].Holder >= 0 })
}

// failureAwareFraction returns the fraction of the processes that take a router for dead.
func (w *world) failureAwareFraction(rank int) float64 {
	return w.fractionOfRunning(func(p *process) bool { return !p.node.IsUp(rank) })
}

func (w *world) fractionOfRunning(match func(*process) bool) float64 {
	matching := 0
	running := w.running()
	for _, p := range running {
		if match(p) {
			matching++
		}
	}
	return float64(matching) / float64(len(running))
}

// majorityLeaseHolder returns the rank that most processes have for the holder of the first limit, or otherwise, where
// no rank has more votes than that one.
func (w *world) majorityLeaseHolder(otherwise int) int {
	votes := make([]int, w.routers)
	best := otherwise
	for _, p := range w.processes {
		rank := p.node.LimitStatuses(w.now)[0].Holder
		if rank < 0 {
			continue
		}
		votes[rank]++
		if votes[rank] > votes[best] {
			best = rank
		}
	}
	return best
}

// totalQuota returns what all routers may use of the first limit.
func (w *world) totalQuota() (sum float64) {
	for _, p := range w.running() {
		sum += p.node.Quota(w.now, 0)
	}
	return sum
}
