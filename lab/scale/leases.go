package scale

import (
	"math/rand/v2"

	"spantack/core/lease"
)

// Payloads of the datagrams that carry messages of core/lease: see the head of core/fleet's datagram.go.
const (
	leaseRequestSize = bodyAt + 12
	leaseGrantSize   = bodyAt + 16
	leaseVoteSize    = bodyAt + 9
	leaseVoteAckSize = bodyAt + 6
)

var leaseSizes = map[lease.MessageKind]int{lease.KindRequest: leaseRequestSize, lease.KindGrant: leaseGrantSize, lease.KindVote: leaseVoteSize, lease.KindVoteAck: leaseVoteAckSize}

// Of the leases test.
const (
	siteGroup   = 16  // ranks in the smallest group, somewhat more than a site has
	regionGroup = 512 // and in a group of those
	electors    = 5

	leaseTick   = second / 20
	leaseCold   = 20 // seconds
	leaseDay    = 10
	leaseLoss   = 15
	leaseCut    = 40
	leaseSettle = 20
	leaseParts  = 6

	backInUse = 0.8 // of what was in use before a loss
)

// leaseTopology is the tree of a fleet of this size.
func leaseTopology(routers int) lease.Topology {
	t := lease.Topology{Routers: routers, GroupSizes: []int{siteGroup}}
	if routers > 2*regionGroup {
		t.GroupSizes = append(t.GroupSizes, regionGroup)
	}
	for i := range electors {
		t.Electors = append(t.Electors, i*routers/electors)
	}
	return t
}

// leaseRouter is one router's part in a limit that is kept by a tree, without its membership.
type leaseRouter struct {
	node    *lease.Node
	region  int
	tickAt  int64
	up      bool
	starts  uint32
	traffic traffic
}

// leaseDelivery is a message on its way.
type leaseDelivery struct {
	from, to int
	message  lease.Message
}

// leaseWorld plays the leases of all routers, each simulated in full. Routers know at once who is up; how they learn it is the membership test's.
type leaseWorld struct {
	rng      *rand.Rand
	options  Options
	topology lease.Topology
	limit    lease.Limit
	now      int64
	routers  []*leaseRouter
	calendar [slots][]leaseDelivery
	cut      bool
	fault    error
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
	r.up = true
	r.starts++
	r.tickAt = w.rng.Int64N(leaseTick/slotTime) * slotTime
	node, err := lease.New(w.now, lease.Options{Rank: rank, Incarnation: r.starts, Seed: w.options.Seed, Topology: w.topology, Limit: w.limit})
	if err != nil {
		w.fault = err
		return
	}
	node.SetDemand(wanted)
	node.IsUp = func(other int) bool { return w.reaches(rank, other) }
	node.Send = func(to int, m lease.Message) { w.send(rank, to, m) }
	r.node = node
}

func (w *leaseWorld) reaches(from, to int) bool {
	return w.routers[to].up && !(w.cut && w.routers[from].region != w.routers[to].region)
}

func (w *leaseWorld) send(from, to int, m lease.Message) {
	w.routers[from].traffic.add(w.now, leaseSizes[m.Kind])
	if !w.reaches(from, to) || w.rng.Float64() < lossPart {
		return
	}
	at := w.now + leastDelay + w.rng.Int64N(delaySpan)
	slot := at / slotTime % slots
	w.calendar[slot] = append(w.calendar[slot], leaseDelivery{from, to, m})
}

// run lets virtual time pass.
func (w *leaseWorld) run(until int64) error {
	for ; w.now < until && w.fault == nil; w.now += slotTime {
		slot := w.now / slotTime % slots
		due := w.calendar[slot]
		w.calendar[slot] = nil
		for _, d := range due {
			if r := w.routers[d.to]; r.up {
				r.traffic.add(w.now, leaseSizes[d.message.Kind])
				r.node.Receive(w.now, d.from, d.message)
			}
		}
		for _, r := range w.routers {
			if r.up && w.now%leaseTick == r.tickAt {
				r.node.Tick(w.now)
			}
		}
	}
	return w.fault
}

// inUse is the part of the limit that routers may use at present.
func (w *leaseWorld) inUse() (part float64) {
	for _, r := range w.routers {
		if r.up {
			part += r.node.Quota(w.now) / w.limit.Max
		}
	}
	return part
}

// fleetHolder is the rank that holds the fleet; -1: none does.
func (w *leaseWorld) fleetHolder() int {
	top := len(w.topology.GroupSizes) + 1
	for _, rank := range w.topology.Electors {
		if r := w.routers[rank]; r.up {
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
func (w *leaseWorld) measure(clock cpuClock, trouble Trouble, seconds int64) (Phase, error) {
	for _, r := range w.routers {
		r.traffic = traffic{}
	}
	began := clock.now()
	err := w.run(w.now + seconds*second)
	phase := Phase{Trouble: trouble, Seconds: float64(seconds), CPUPercent: percent(clock.now()-began, float64(seconds)) / float64(len(w.routers))}
	bytes, running := 0.0, 0.0
	var busiest *leaseRouter
	for _, r := range w.routers {
		if !r.up {
			continue
		}
		running++
		bytes += float64(r.traffic.bytes)
		if busiest == nil || r.traffic.bytes > busiest.traffic.bytes {
			busiest = r
		}
		phase.WorstDatagramsPerSecond = max(phase.WorstDatagramsPerSecond, float64(r.traffic.datagrams)/float64(seconds))
		phase.PeakBytes = max(phase.PeakBytes, float64(r.traffic.peak))
	}
	phase.MeanBytesPerSecond = bytes / running / float64(seconds)
	phase.WorstBytesPerSecond = float64(busiest.traffic.bytes) / float64(seconds)
	phase.MemoryKB = memoryKB(busiest.node)
	return phase, err
}

// leaseRun plays the phases of the test.
type leaseRun struct {
	w      *leaseWorld
	clock  cpuClock
	result *Result
}

func (r *leaseRun) book(trouble Trouble, seconds int64) error {
	phase, err := r.w.measure(r.clock, trouble, seconds)
	r.result.Phases = append(r.result.Phases, phase)
	r.w.options.Progress(len(r.result.Phases), leaseParts)
	return err
}

// away plays the loss of routers, books how long it took until their share of the limit was in use again, and lets them come back.
func (r *leaseRun) away(trouble Trouble, ranks []int, seconds int64) error {
	before := r.w.inUse()
	for _, rank := range ranks {
		r.w.routers[rank].up = false
	}
	least := before * backInUse * float64(len(r.w.routers)-len(ranks)) / float64(len(r.w.routers))
	lostAt := r.w.now
	if err := r.book(trouble, seconds); err != nil {
		return err
	}
	for r.w.inUse() < least && r.w.now < lostAt+lease.RecoveryTime {
		if err := r.w.run(r.w.now + second); err != nil {
			return err
		}
	}
	name := map[Trouble]string{ProcessLost: "used_without_holder", RegionLost: "used_without_region"}[trouble]
	r.result.Figures = append(r.result.Figures, Figure{name, r.w.inUse()})
	for _, rank := range ranks {
		r.w.start(rank)
	}
	return r.w.run(r.w.now + leaseSettle*second)
}

// runLeases plays leases alone, from a cold start on: the loss of the fleet's holder and of its region, regions that are cut off, a restart of most.
func runLeases(o Options) (*Result, error) {
	clock, release := lockClock()
	defer release()
	r := &leaseRun{w: newLeaseWorld(o), clock: clock, result: &Result{Simulated: o.Routers}}
	if err := r.book(ColdStart, leaseCold); err != nil {
		return nil, err
	}
	if err := r.book(OrdinaryDay, leaseDay); err != nil {
		return nil, err
	}
	r.result.Figures = append(r.result.Figures, Figure{"used", r.w.inUse()})
	holder := max(r.w.fleetHolder(), 0)
	if err := r.away(ProcessLost, []int{holder}, leaseLoss); err != nil {
		return nil, err
	}
	var region []int
	for rank, other := range r.w.routers {
		if other.region == r.w.routers[max(r.w.fleetHolder(), 0)].region {
			region = append(region, rank)
		}
	}
	if err := r.away(RegionLost, region, leaseLoss); err != nil {
		return nil, err
	}
	r.w.cut = true
	if err := r.book(RegionsCut, leaseCut); err != nil {
		return nil, err
	}
	r.result.Figures = append(r.result.Figures, Figure{"used_while_cut", r.w.inUse()})
	r.w.cut = false
	if err := r.w.run(r.w.now + lease.RecoveryTime); err != nil {
		return nil, err
	}
	r.result.Figures = append(r.result.Figures, Figure{"used_after_cut", r.w.inUse()})
	for rank := range r.w.routers {
		if rank%10 < 7 {
			r.w.start(rank)
		}
	}
	if err := r.book(Restarted, leaseLoss); err != nil {
		return nil, err
	}
	if err := r.w.run(r.w.now + lease.RecoveryTime - leaseLoss*second); err != nil {
		return nil, err
	}
	r.result.Figures = append(r.result.Figures, Figure{"used_after_restarts", r.w.inUse()})
	return r.result, nil
}
