package scale

import (
	"math/rand/v2"

	"spantack/core/lease"
)

// Payloads of the datagrams that carry messages of core/lease: see the head of core/fleet's datagram.go.
const (
	leaseRequestSize = bodyOffset + 12
	leaseGrantSize   = bodyOffset + 16
	leaseVoteSize    = bodyOffset + 9
	leaseVoteAckSize = bodyOffset + 6
)

var leaseSizes = map[lease.MessageKind]int{lease.KindRequest: leaseRequestSize, lease.KindGrant: leaseGrantSize, lease.KindVote: leaseVoteSize, lease.KindVoteAck: leaseVoteAckSize}

// Of the leases test.
const (
	siteGroupSize   = 16  // ranks in the smallest group, somewhat more than a site has
	regionGroupSize = 512 // and in a group of those
	electorCount    = 5

	leaseTickInterval       = second / 20
	leaseColdStartSeconds   = 20 // seconds
	leaseSteadyStateSeconds = 10
	leaseLossSeconds        = 15
	leasePartitionSeconds   = 40
	leaseSettleSeconds      = 20
	leasePhaseCount         = 6

	recoveredFraction = 0.8 // of what was in use before a loss
)

// leaseTopology is the tree of a fleet of this size.
func leaseTopology(routers int) lease.Topology {
	t := lease.Topology{Routers: routers, GroupSizes: []int{siteGroupSize}}
	if routers > 2*regionGroupSize {
		t.GroupSizes = append(t.GroupSizes, regionGroupSize)
	}
	for i := range electorCount {
		t.Electors = append(t.Electors, i*routers/electorCount)
	}
	return t
}

// leaseRouter is one router's part in a limit that is kept by a tree, without its membership.
type leaseRouter struct {
	node        *lease.Node
	region      int
	tickOffset  int64
	isUp        bool
	incarnation uint32
	traffic     traffic
}

// leaseDelivery is a message on its way.
type leaseDelivery struct {
	from, to int
	message  lease.Message
}

// leaseWorld plays the leases of all routers, each simulated in full. Routers know at once who is up; how they learn it is the membership test's.
type leaseWorld struct {
	rng           *rand.Rand
	options       Options
	topology      lease.Topology
	limit         lease.Limit
	now           int64
	routers       []*leaseRouter
	calendar      [slotCount][]leaseDelivery
	isPartitioned bool
	err           error
}

func newLeaseWorld(o Options) *leaseWorld {
	w := &leaseWorld{rng: rand.New(rand.NewPCG(o.Seed, 13)), options: o, topology: leaseTopology(o.Routers), now: second,
		limit: lease.Limit{Max: float64(4 * o.Routers), FloorFraction: 0.25}}
	for rank := range o.Routers {
		w.routers = append(w.routers, &leaseRouter{region: rank * fleetRegions / o.Routers})
	}
	for rank := range o.Routers {
		w.start(rank)
	}
	return w
}

// start gives a router an empty state.
func (w *leaseWorld) start(rank int) {
	r := w.routers[rank]
	r.isUp = true
	r.incarnation++
	r.tickOffset = w.rng.Int64N(leaseTickInterval/slotDuration) * slotDuration
	node, err := lease.New(w.now, lease.Options{Rank: rank, Incarnation: r.incarnation, Seed: w.options.Seed, Topology: w.topology, Limit: w.limit})
	if err != nil {
		w.err = err
		return
	}
	node.SetDemand(demandPerRouter)
	node.IsUp = func(other int) bool { return w.reaches(rank, other) }
	node.Send = func(to int, m lease.Message) { w.send(rank, to, m) }
	r.node = node
}

func (w *leaseWorld) reaches(from, to int) bool {
	return w.routers[to].isUp && !(w.isPartitioned && w.routers[from].region != w.routers[to].region)
}

func (w *leaseWorld) send(from, to int, m lease.Message) {
	w.routers[from].traffic.add(w.now, leaseSizes[m.Kind])
	if !w.reaches(from, to) || w.rng.Float64() < baseLossRate {
		return
	}
	at := w.now + minDelay + w.rng.Int64N(delaySpan)
	slot := at / slotDuration % slotCount
	w.calendar[slot] = append(w.calendar[slot], leaseDelivery{from, to, m})
}

// run lets virtual time pass.
func (w *leaseWorld) run(until int64) error {
	for ; w.now < until && w.err == nil; w.now += slotDuration {
		slot := w.now / slotDuration % slotCount
		due := w.calendar[slot]
		w.calendar[slot] = nil
		for _, d := range due {
			if r := w.routers[d.to]; r.isUp {
				r.traffic.add(w.now, leaseSizes[d.message.Kind])
				r.node.Receive(w.now, d.from, d.message)
			}
		}
		for _, r := range w.routers {
			if r.isUp && w.now%leaseTickInterval == r.tickOffset {
				r.node.Tick(w.now)
			}
		}
	}
	return w.err
}

// usedFraction is the part of the limit that routers may use at present.
func (w *leaseWorld) usedFraction() (part float64) {
	for _, r := range w.routers {
		if r.isUp {
			part += r.node.Quota(w.now) / w.limit.Max
		}
	}
	return part
}

// fleetHolder is the rank that holds the fleet; -1: none does.
func (w *leaseWorld) fleetHolder() int {
	top := len(w.topology.GroupSizes) + 1
	for _, rank := range w.topology.Electors {
		if r := w.routers[rank]; r.isUp {
			for _, level := range r.node.HeldLevels(w.now) {
				if level == top {
					return rank
				}
			}
		}
	}
	return -1
}

// measure lets a phase pass and books what it cost. The processor time is the mean of all routers, with what the simulation takes.
func (w *leaseWorld) measure(clock threadCPUClock, trouble Scenario, seconds int64) (Phase, error) {
	for _, r := range w.routers {
		r.traffic = traffic{}
	}
	began := clock.now()
	err := w.run(w.now + seconds*second)
	phase := Phase{Scenario: trouble, Seconds: float64(seconds), CPUPercent: cpuPercent(clock.now()-began, float64(seconds)) / float64(len(w.routers))}
	bytes, running := 0.0, 0.0
	var busiest *leaseRouter
	for _, r := range w.routers {
		if !r.isUp {
			continue
		}
		running++
		bytes += float64(r.traffic.bytes)
		if busiest == nil || r.traffic.bytes > busiest.traffic.bytes {
			busiest = r
		}
		phase.WorstDatagramsPerSecond = max(phase.WorstDatagramsPerSecond, float64(r.traffic.datagrams)/float64(seconds))
		phase.PeakBytes = max(phase.PeakBytes, float64(r.traffic.peakBytes))
	}
	phase.MeanBytesPerSecond = bytes / running / float64(seconds)
	phase.WorstBytesPerSecond = float64(busiest.traffic.bytes) / float64(seconds)
	phase.MemoryKB = memoryKB(busiest.node)
	return phase, err
}

// leaseRun plays the phases of the test.
type leaseRun struct {
	world  *leaseWorld
	clock  threadCPUClock
	result *Result
}

func (r *leaseRun) runPhase(trouble Scenario, seconds int64) error {
	phase, err := r.world.measure(r.clock, trouble, seconds)
	r.result.Phases = append(r.result.Phases, phase)
	r.world.options.Progress(len(r.result.Phases), leasePhaseCount)
	return err
}

// loseAndRestart plays the loss of routers, books how long it took until their share of the limit was in use again, and lets them come back.
func (r *leaseRun) loseAndRestart(trouble Scenario, ranks []int, seconds int64) error {
	before := r.world.usedFraction()
	for _, rank := range ranks {
		r.world.routers[rank].isUp = false
	}
	least := before * recoveredFraction * float64(len(r.world.routers)-len(ranks)) / float64(len(r.world.routers))
	lostAt := r.world.now
	if err := r.runPhase(trouble, seconds); err != nil {
		return err
	}
	for r.world.usedFraction() < least && r.world.now < lostAt+lease.RecoveryTime {
		if err := r.world.run(r.world.now + second); err != nil {
			return err
		}
	}
	name := map[Scenario]string{ProcessLost: "used_without_holder", RegionLost: "used_without_region"}[trouble]
	r.result.Metrics = append(r.result.Metrics, Metric{name, r.world.usedFraction()})
	for _, rank := range ranks {
		r.world.start(rank)
	}
	return r.world.run(r.world.now + leaseSettleSeconds*second)
}

// runLeases plays leases alone, from a cold start on: the loss of the fleet's holder and of its region, regions that are cut off, a restart of most.
func runLeases(o Options) (*Result, error) {
	clock, release := lockThreadCPUClock()
	defer release()
	r := &leaseRun{world: newLeaseWorld(o), clock: clock, result: &Result{SimulatedProcesses: o.Routers}}
	if err := r.runPhase(ColdStart, leaseColdStartSeconds); err != nil {
		return nil, err
	}
	if err := r.runPhase(SteadyState, leaseSteadyStateSeconds); err != nil {
		return nil, err
	}
	r.result.Metrics = append(r.result.Metrics, Metric{"used", r.world.usedFraction()})
	holder := max(r.world.fleetHolder(), 0)
	if err := r.loseAndRestart(ProcessLost, []int{holder}, leaseLossSeconds); err != nil {
		return nil, err
	}
	var region []int
	for rank, other := range r.world.routers {
		if other.region == r.world.routers[max(r.world.fleetHolder(), 0)].region {
			region = append(region, rank)
		}
	}
	if err := r.loseAndRestart(RegionLost, region, leaseLossSeconds); err != nil {
		return nil, err
	}
	r.world.isPartitioned = true
	if err := r.runPhase(RegionsPartitioned, leasePartitionSeconds); err != nil {
		return nil, err
	}
	r.result.Metrics = append(r.result.Metrics, Metric{"used_while_cut", r.world.usedFraction()})
	r.world.isPartitioned = false
	if err := r.world.run(r.world.now + lease.RecoveryTime); err != nil {
		return nil, err
	}
	r.result.Metrics = append(r.result.Metrics, Metric{"used_after_cut", r.world.usedFraction()})
	for rank := range r.world.routers {
		if rank%10 < 7 {
			r.world.start(rank)
		}
	}
	if err := r.runPhase(MassRestart, leaseLossSeconds); err != nil {
		return nil, err
	}
	if err := r.world.run(r.world.now + lease.RecoveryTime - leaseLossSeconds*second); err != nil {
		return nil, err
	}
	r.result.Metrics = append(r.result.Metrics, Metric{"used_after_restarts", r.world.usedFraction()})
	return r.result, nil
}
