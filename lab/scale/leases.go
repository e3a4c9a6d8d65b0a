package scale

import (
	"math/rand/v2"
	"slices"

	"spantack/core/lease"
)

// leaseSizes are the payload sizes in bytes of the datagrams that carry messages of core/lease. The format is described
// at the top of core/fleet's datagram.go.
var leaseSizes = map[lease.MessageKind]int{
	lease.KindRequest: bodyOffset + 12,
	lease.KindGrant:   bodyOffset + 16,
	lease.KindVote:    bodyOffset + 9,
	lease.KindVoteAck: bodyOffset + 6,
}

// The lease tree.
const (
	siteGroupSize   = 16  // ranks in a group of the lowest level, somewhat more than a site has
	regionGroupSize = 512 // ranks in a group of the next level
	electorCount    = 5
)

// leaseTickInterval is the interval of a router's ticks, in microseconds.
const leaseTickInterval = second / 20

// Durations of the phases of the leases test, in seconds, and their number.
const (
	leaseColdStartSeconds   = 20
	leaseSteadyStateSeconds = 10
	leaseLossSeconds        = 15
	leasePartitionSeconds   = 40
	leaseSettleSeconds      = 20
	leasePhaseCount         = 6
)

// recoveredFraction defines when the limit counts as recovered after a loss: when usedFraction reaches
// recoveredFraction of its value before the loss, scaled to the fraction of the routers that remain.
const recoveredFraction = 0.8

// leaseWorldStream separates the random numbers of a leaseWorld from others with the same seed.
const leaseWorldStream = 13

// leaseTopology returns the lease tree of a fleet with a number of routers.
func leaseTopology(routers int) lease.Topology {
	topology := lease.Topology{Routers: routers, GroupSizes: []int{siteGroupSize}}
	if routers > 2*regionGroupSize {
		topology.GroupSizes = append(topology.GroupSizes, regionGroupSize)
	}
	for i := range electorCount {
		topology.Electors = append(topology.Electors, i*routers/electorCount)
	}
	return topology
}

// leaseRouter is the lease node of one router, without its membership node.
type leaseRouter struct {
	node        *lease.Node
	region      int
	tickOffset  int64 // in microseconds; random, so that routers do not all tick at the same time
	isUp        bool
	incarnation uint32
	traffic     traffic
}

// leaseDelivery is a message in flight.
type leaseDelivery struct {
	from, to int // ranks
	message  lease.Message
}

// leaseWorld simulates the leases of a fleet, with every router in full. Routers know without delay which other routers
// are up. How they detect failed routers is measured by the membership test.
type leaseWorld struct {
	rng           *rand.Rand
	seed          uint64
	topology      lease.Topology
	limit         lease.Limit
	now           int64
	routers       []*leaseRouter // by rank
	calendar      calendar[leaseDelivery]
	isPartitioned bool  // messages pass only within regions
	err           error // error of a failed start of a node; the simulation then stops
}

func newLeaseWorld(o Options) *leaseWorld {
	w := &leaseWorld{
		rng:      rand.New(rand.NewPCG(o.Seed, leaseWorldStream)),
		seed:     o.Seed,
		topology: leaseTopology(o.Routers),
		limit:    lease.Limit{Max: float64(limitPerRouter * o.Routers), FloorFraction: limitFloorFraction},
		now:      second,
	}
	for rank := range o.Routers {
		w.routers = append(w.routers, &leaseRouter{region: regionOf(rank, o.Routers)})
	}
	for rank := range o.Routers {
		w.start(rank)
	}
	return w
}

// start starts a router with an empty state.
func (w *leaseWorld) start(rank int) {
	router := w.routers[rank]
	router.isUp = true
	router.incarnation++
	router.tickOffset = w.rng.Int64N(leaseTickInterval/slotDuration) * slotDuration
	node, err := lease.New(w.now, lease.Options{
		Rank:        rank,
		Incarnation: router.incarnation,
		Seed:        w.seed,
		Topology:    w.topology,
		Limit:       w.limit,
	})
	if err != nil {
		w.err = err
		return
	}
	node.SetDemand(demandPerRouter)
	node.IsUp = func(other int) bool { return w.reaches(rank, other) }
	node.Send = func(to int, message lease.Message) { w.send(rank, to, message) }
	router.node = node
}

// reaches returns whether the receiver is up and not partitioned from the sender.
func (w *leaseWorld) reaches(from, to int) bool {
	return w.routers[to].isUp && (!w.isPartitioned || w.routers[from].region == w.routers[to].region)
}

func (w *leaseWorld) send(from, to int, message lease.Message) {
	w.routers[from].traffic.add(w.now, leaseSizes[message.Kind])
	if !w.reaches(from, to) || w.rng.Float64() < baseLossRate {
		return
	}
	w.calendar.add(arrivalTime(w.rng, w.now), leaseDelivery{from, to, message})
}

// run simulates until a virtual time in microseconds or the first error, which it returns.
func (w *leaseWorld) run(until int64) error {
	for ; w.now < until && w.err == nil; w.now += slotDuration {
		for _, delivery := range w.calendar.take(w.now) {
			w.receive(delivery)
		}
		for _, router := range w.routers {
			if router.isUp && w.now%leaseTickInterval == router.tickOffset {
				router.node.Tick(w.now)
			}
		}
	}
	return w.err
}

func (w *leaseWorld) receive(delivery leaseDelivery) {
	router := w.routers[delivery.to]
	if !router.isUp {
		return
	}
	router.traffic.add(w.now, leaseSizes[delivery.message.Kind])
	router.node.Receive(w.now, delivery.from, delivery.message)
}

// usedFraction returns the sum of the quotas of all running routers as a fraction of the limit. The routers' demand
// exceeds the limit, so they use all of it.
func (w *leaseWorld) usedFraction() (fraction float64) {
	for _, router := range w.routers {
		if router.isUp {
			fraction += router.node.Quota(w.now) / w.limit.Max
		}
	}
	return fraction
}

// fleetHolder returns the rank of the holder at the top of the lease tree, or rank 0 if there is none.
func (w *leaseWorld) fleetHolder() int {
	topLevel := len(w.topology.GroupSizes) + 1
	for _, rank := range w.topology.Electors {
		router := w.routers[rank]
		if router.isUp && slices.Contains(router.node.HeldLevels(w.now), topLevel) {
			return rank
		}
	}
	return 0
}

// ranksOfHolderRegion returns the ranks of all routers in the region of the fleet's holder.
func (w *leaseWorld) ranksOfHolderRegion() (ranks []int) {
	region := w.routers[w.fleetHolder()].region
	for rank, router := range w.routers {
		if router.region == region {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// measure simulates a phase and returns its cost. The CPU time is the mean over all routers and includes the overhead
// of the simulation.
func (w *leaseWorld) measure(clock threadCPUClock, scenario Scenario, seconds int64) (Phase, error) {
	for _, router := range w.routers {
		router.traffic = traffic{}
	}
	startedAt := clock.now()
	err := w.run(w.now + seconds*second)
	used := clock.now() - startedAt
	var running []*leaseRouter
	var traffics []*traffic
	for _, router := range w.routers {
		if router.isUp {
			running = append(running, router)
			traffics = append(traffics, &router.traffic)
		}
	}
	phase, busiest := newPhase(scenario, seconds, traffics)
	phase.CPUPercent = cpuPercent(used, float64(seconds)) / float64(len(w.routers))
	phase.MemoryKB = memoryKB(running[busiest].node)
	return phase, err
}

// leaseRun simulates the phases of the leases test.
type leaseRun struct {
	world    *leaseWorld
	clock    threadCPUClock
	result   *Result
	progress func(done, all int)
}

// runPhase simulates a phase and adds its cost to the result.
func (r *leaseRun) runPhase(scenario Scenario, seconds int64) error {
	phase, err := r.world.measure(r.clock, scenario, seconds)
	r.result.Phases = append(r.result.Phases, phase)
	r.progress(len(r.result.Phases), leasePhaseCount)
	return err
}

// advance simulates a duration of virtual time in microseconds.
func (r *leaseRun) advance(duration int64) error { return r.world.run(r.world.now + duration) }

// addUsedFraction adds the current usedFraction to the result as a metric.
func (r *leaseRun) addUsedFraction(metric string) { r.result.addMetric(metric, r.world.usedFraction()) }

// stopAndRestart simulates the loss of routers. It waits until the limit has recovered, but at most until
// lease.RecoveryTime after the loss. It then adds the used fraction to the result, starts the lost routers again and
// lets the fleet settle.
func (r *leaseRun) stopAndRestart(scenario Scenario, ranks []int, metric string) error {
	w := r.world
	before := w.usedFraction()
	for _, rank := range ranks {
		w.routers[rank].isUp = false
	}
	recovered := before * recoveredFraction * float64(len(w.routers)-len(ranks)) / float64(len(w.routers))
	lostAt := w.now
	if err := r.runPhase(scenario, leaseLossSeconds); err != nil {
		return err
	}
	for w.usedFraction() < recovered && w.now < lostAt+lease.RecoveryTime {
		if err := r.advance(second); err != nil {
			return err
		}
	}
	r.addUsedFraction(metric)
	for _, rank := range ranks {
		w.start(rank)
	}
	return r.advance(leaseSettleSeconds * second)
}

// partitionRegions simulates a partition between all regions and the recovery from it. It adds two used fractions to
// the result: at the end of the partition, and at the end of the recovery.
func (r *leaseRun) partitionRegions() error {
	r.world.isPartitioned = true
	if err := r.runPhase(RegionsPartitioned, leasePartitionSeconds); err != nil {
		return err
	}
	r.addUsedFraction("used_while_cut")
	r.world.isPartitioned = false
	if err := r.advance(lease.RecoveryTime); err != nil {
		return err
	}
	r.addUsedFraction("used_after_cut")
	return nil
}

// massRestart restarts most routers at the same moment.
func (r *leaseRun) massRestart() error {
	for rank := range r.world.routers {
		if restartsInMassRestart(rank) {
			r.world.start(rank)
		}
	}
	if err := r.runPhase(MassRestart, leaseLossSeconds); err != nil {
		return err
	}
	if err := r.advance(lease.RecoveryTime - leaseLossSeconds*second); err != nil {
		return err
	}
	r.addUsedFraction("used_after_restarts")
	return nil
}

// run simulates a cold start, steady state, the loss of the fleet's holder and of its region, a partition of regions,
// and a restart of most routers.
func (r *leaseRun) run() error {
	if err := r.runPhase(ColdStart, leaseColdStartSeconds); err != nil {
		return err
	}
	if err := r.runPhase(SteadyState, leaseSteadyStateSeconds); err != nil {
		return err
	}
	r.addUsedFraction("used")
	holder := []int{r.world.fleetHolder()}
	if err := r.stopAndRestart(ProcessLost, holder, "used_without_holder"); err != nil {
		return err
	}
	if err := r.stopAndRestart(RegionLost, r.world.ranksOfHolderRegion(), "used_without_region"); err != nil {
		return err
	}
	if err := r.partitionRegions(); err != nil {
		return err
	}
	return r.massRestart()
}

// runLeases measures leases from a lease tree, without membership.
func runLeases(o Options) (*Result, error) {
	clock, release := lockThreadCPUClock()
	defer release()
	r := &leaseRun{
		world:    newLeaseWorld(o),
		clock:    clock,
		result:   &Result{SimulatedProcesses: o.Routers},
		progress: o.Progress,
	}
	if err := r.run(); err != nil {
		return nil, err
	}
	return r.result, nil
}
