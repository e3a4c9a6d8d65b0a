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
	// cpuSampleInterval is the number of node calls for each CPU time measurement.
	cpuSampleInterval = 4

	// maxFirstTickDelay bounds the random time from the start of a node to its first tick, in microseconds.
	maxFirstTickDelay = slotCount / 2 * slotDuration

	// demandPerRouter is each router's demand for a limit, more than is available.
	demandPerRouter = 1e5

	// maxSuspectedRanks is the maximum number of suspected ranks that a process remembers, to refute one after another.
	maxSuspectedRanks = 8

	// worldStream separates a world's random numbers from others with the same seed.
	worldStream = 7
)

// world is a fleet of core/fleet nodes in virtual time.
//
// If it simulates fewer processes than there are routers, process i represents all ranks r with r mod processes = i.
// The node of the process is configured for a fleet of all routers. The process receives datagrams for each of its
// ranks and replies from the addressed rank. Datagrams that are not replies come from one of its ranks at random. Only
// the simulated processes send. As a result, each process sends and receives as much as one router.
//
// All routers send lease requests to one router. A lease request is delivered once for each rank that its sender
// represents. The receiver thus gets as many requests as if all routers were simulated.
//
// A health report is broadcast, and delivered once to each other process. The random waits before reports depend on the
// configured number of routers. Some reports are sent before the others are suppressed. Their number does not depend on
// how many routers are simulated (see core/fleet). The scale tests that use this world send no health reports.
//
// The ranks of one process have the same incarnation. They stop and start together, except when ProcessLost or RackLost
// stops only some of them.
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
	isPartitioned bool   // datagrams pass only within regions
	lossRate      float64
	calendar      calendar[event]
	err           error // an error of a node; the simulation then stops
	calls         int   // number of node calls so far
}

// process is a process that is simulated in full.
type process struct {
	index       int
	primary     int // the rank of its node
	node        *fleet.Node
	incarnation uint32 // incarnation of the node; a restart creates a new node
	region      int
	zone        int

	replyingAs     int    // the addressed rank while the node handles a datagram; otherwise -1
	suspectedRanks []int  // its ranks that other nodes suspected most recently, the oldest suspicion first
	nextSuspect    int    // nextSuspect % len(suspectedRanks) is the index of the next suspicion to refute
	refuted        uint16 // value of refuted in the last membership update that the node sent about itself

	traffic traffic
	cpu     time.Duration
}

// event is a datagram in flight or, if datagram is nil, a tick of a node.
type event struct {
	at          int64
	from, to    int // ranks
	datagram    []byte
	incarnation uint32 // for a tick: the process's incarnation when the tick was scheduled
	forAllRanks bool   // the datagram is delivered once for each rank that the sender's process represents
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

// processOf returns the process that represents a rank.
func (w *world) processOf(rank int) *process { return w.processes[rank%len(w.processes)] }

// isSampled returns whether fewer processes are simulated than there are routers.
func (w *world) isSampled() bool { return len(w.processes) < w.routers }

func (w *world) siteOf(rank int) int { return rank * w.sites / w.routers }

// running returns the processes whose node is up.
func (w *world) running() []*process {
	return slices.DeleteFunc(slices.Clone(w.processes), func(p *process) bool { return w.lost[p.primary] })
}

// start starts a process with a node that has an empty state.
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

// schedule adds an event. An event beyond the end of the calendar is put in the calendar's last slot, so it happens
// early.
func (w *world) schedule(e event) {
	e.at = min(e.at, w.now+(slotCount-1)*slotDuration)
	w.calendar.add(e.at, e)
}

// pickSenderRank returns a random rank of p that is not lost. If the receiver is also a rank of p, the result is
// neither the receiver nor p's primary rank, because the node ignores datagrams from itself.
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

// send sends a datagram of p's node to a rank or to fleet.Broadcast.
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
		return // a node stores only the lease of its primary rank
	}
	forAllRanks := op == opLeaseRequest && w.isSampled()
	w.deliver(p, event{from: sender, to: to, datagram: datagram, forAllRanks: forAllRanks})
}

// deliver schedules the arrival of a datagram from p, or drops it because of a lost rank, a partition or packet loss.
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

// rewriteSender changes the sender of a datagram of p's node to another rank that p represents. If p has suspected
// ranks, a membership update about the node becomes an update about one of them.
func (w *world) rewriteSender(p *process, rank int, datagram []byte) {
	setSender(datagram, rank, w.siteOf(rank))
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

// rewriteUpdates changes membership updates about any rank that p represents to updates about p's node. It records the
// suspected ranks, for later refutations.
func (w *world) rewriteUpdates(p *process, datagram []byte) {
	eachUpdate(datagram, func(u membershipUpdate) {
		rank := u.rank()
		if rank >= w.routers || w.processOf(rank) != p || w.lost[rank] {
			return
		}
		if u.isSuspectOrWorse() {
			p.suspectedRanks = append(p.suspectedRanks, rank)
			if len(p.suspectedRanks) > maxSuspectedRanks {
				p.suspectedRanks = p.suspectedRanks[1:]
			}
			u.setRefuted(max(u.refuted(), p.refuted))
		}
		u.setRank(p.primary)
	})
}

// run simulates until a virtual time in microseconds or the first error, which it returns.
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

// dispatch passes an event to a process. It measures the CPU time of one call in cpuSampleInterval.
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
		w.rewriteUpdates(p, e.datagram)
	}
	if !e.forAllRanks {
		w.receive(p, e.from, e.datagram)
		return
	}
	for rank := e.from % len(w.processes); rank < w.routers; rank += len(w.processes) {
		if !w.lost[rank] {
			setSender(e.datagram, rank, w.siteOf(rank))
			w.receive(p, rank, e.datagram)
		}
	}
}

func (w *world) receive(p *process, from int, datagram []byte) {
	p.traffic.add(w.now, len(datagram))
	err := p.node.Receive(w.now, from, datagram)
	if err != nil && !errors.Is(err, fleet.ErrStale) {
		w.err = fmt.Errorf("rank %d: datagram from rank %d: %w", p.primary, from, err)
	}
}

func (w *world) tick(p *process, e event) {
	if e.incarnation != p.incarnation {
		return // the tick is for a node that was replaced
	}
	next := p.node.Tick(w.now)
	w.scheduleTick(p, max(next, w.now+slotDuration))
}

// stop stops routers. A process whose primary rank is among them stops with its node.
func (w *world) stop(ranks []int) {
	for _, rank := range ranks {
		w.lost[rank] = true
	}
}

// restart starts stopped routers again. A process whose primary rank is among them gets a new node; other ranks resume
// with the node of their process.
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

// ranksOf returns the ranks for which match returns true.
func (w *world) ranksOf(match func(rank int, p *process) bool) (ranks []int) {
	for rank := range w.routers {
		if match(rank, w.processOf(rank)) {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// leasedFraction returns the fraction of the running processes that have a lease holder for the first limit
// (see fleet.LimitStatus).
func (w *world) leasedFraction() float64 {
	return w.fractionOfRunning(func(p *process) bool { return p.node.LimitStatuses(w.now)[0].Holder >= 0 })
}

// detectedFraction returns the fraction of the running processes that consider a router dead.
func (w *world) detectedFraction(rank int) float64 {
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

// majorityLeaseHolder returns the rank that the largest number of processes consider the holder of the first limit. If
// no rank has more processes than fallback, it returns fallback.
func (w *world) majorityLeaseHolder(fallback int) int {
	counts := make([]int, w.routers)
	best := fallback
	for _, p := range w.processes {
		rank := p.node.LimitStatuses(w.now)[0].Holder
		if rank < 0 {
			continue
		}
		counts[rank]++
		if counts[rank] > counts[best] {
			best = rank
		}
	}
	return best
}

// totalQuota returns the sum of the quotas of all running processes for the first limit.
func (w *world) totalQuota() (sum float64) {
	for _, p := range w.running() {
		sum += p.node.Quota(w.now, 0)
	}
	return sum
}
