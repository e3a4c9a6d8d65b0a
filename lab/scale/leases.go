package scale

import (
	"math/rand/v2"
	"slices"

	"spantack/core/lease"
)

// leaseSizes are the payloads in bytes of the datagrams that carry messages of core/lease: see the head of core/fleet's
// datagram.go.
var leaseSizes = map[lease.MessageKind]int{
	lease.KindRequest: bodyOffset + 12,
	lease.KindGrant:   bodyOffset + 16,
	lease.KindVote:    bodyOffset + 9,
	lease.KindVoteAck: bodyOffset + 6,
}

// The tree of groups.
const (
	siteGroupSize   = 16  // ranks in the smallest group, somewhat more than a site has
	regionGroupSize = 512 // and in a group of those
	electorCount    = 5
)

// leaseTickInterval is the time between two ticks of a router, in microseconds.
const leaseTickInterval = second / 20

// Phases of the leases test, in seconds.
const (
	leaseColdStartSeconds   = 20
	leaseSteadyStateSeconds = 10
	leaseLossSeconds        = 15
	leasePartitionSeconds   = 40
	leaseSettleSeconds      = 20
	leasePhaseCount         = 6
)

// recoveredFraction of what was in use before a loss is in use again when the limit has recovered.
const recoveredFraction = 0.8

// leaseWorldStream tells the random numbers of a leaseWorld from others of the same seed.
const leaseWorldStream = 13

// leaseTopology returns the tree of a fleet of some size.
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

// leaseRouter is one router's part in a limit that is leased by a tree, without its membership.
type leaseRouter struct {
	node        *lease.Node
	region      int
	tickOffset  int64 // of its ticks, which are not in phase with those of others
	isUp        bool
	incarnation uint32
	traffic     traffic
}

// leaseDelivery is a message in flight.
type leaseDelivery struct {
	from, to int // ranks
	message  lease.Message
}

// leaseWorld plays the leases of all routers, each simulated in full. Routers know at once who is up; how they learn it
// is what the membership test is about.
type leaseWorld struct {
	rng           *rand.Rand
	seed          uint64
	topology      lease.Topology
	limit         lease.Limit
	now           int64
	routers       []*leaseRouter // by rank
	calendar      calendar[leaseDelivery]
	isPartitioned bool  // messages pass within regions alone
	err           error // of the start of a node; the world stops then
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

// start gives a router an empty state.
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

// reaches returns whether messages pass from one router to another.
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

// run lets virtual time pass.
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

// usedFraction returns the fraction of the limit that routers may use at present.
func (w *leaseWorld) usedFraction() (fraction float64) {
	for _, router := range w.routers {
		if router.isUp {
			fraction += router.node.Quota(w.now) / w.limit.Max
		}
	}
	return fraction
}

// fleetHolder returns the rank that holds the lease of the whole fleet, or the first rank where none does.
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

// regionOfHolder returns all routers of the region that the fleet's holder is in.
func (w *leaseWorld) regionOfHolder() (ranks []int) {
	region := w.routers[w.fleetHolder()].region
	for rank, router := range w.routers {
		if router.region == region {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// measure lets a phase pass and returns what it cost. The processor time is the mean of all routers, with what the
// simulation takes.
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

// leaseRun plays the phases of the test.
type leaseRun struct {
	world    *leaseWorld
	clock    threadCPUClock
	result   *Result
	progress func(done, all int)
}

// runPhase plays a phase and adds what it cost to the result.
func (r *leaseRun) runPhase(scenario Scenario, seconds int64) error {
	phase, err := r.world.measure(r.clock, scenario, seconds)
	r.result.Phases = append(r.result.Phases, phase)
	r.progress(len(r.result.Phases), leasePhaseCount)
	return err
}

// pass lets virtual time pass.
func (r *leaseRun) pass(duration int64) error { return r.world.run(r.world.now + duration) }

// addUsedFraction adds what is in use now to the result.
func (r *leaseRun) addUsedFraction(metric string) { r.result.addMetric(metric, r.world.usedFraction()) }

// loseAndRestart plays the loss of routers, waits until the rest uses the limit again, adds what it uses then to the
// result, and starts the lost ones.
func (r *leaseRun) loseAndRestart(scenario Scenario, ranks []int, metric string) error {
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
		if err := r.pass(second); err != nil {
			return err
		}
	}
	r.addUsedFraction(metric)
	for _, rank := range ranks {
		w.start(rank)
	}
	return r.pass(leaseSettleSeconds * second)
}

// partitionRegions cuts regions off from one another, and heals that.
func (r *leaseRun) partitionRegions() error {
	r.world.isPartitioned = true
	if err := r.runPhase(RegionsPartitioned, leasePartitionSeconds); err != nil {
		return err
	}
	r.addUsedFraction("used_while_cut")
	r.world.isPartitioned = false
	if err := r.pass(lease.RecoveryTime); err != nil {
		return err
	}
	r.addUsedFraction("used_after_cut")
	return nil
}

// massRestart starts most routers anew at one moment.
func (r *leaseRun) massRestart() error {
	for rank := range r.world.routers {
		if restartsInMassRestart(rank) {
			r.world.start(rank)
		}
	}
	if err := r.runPhase(MassRestart, leaseLossSeconds); err != nil {
		return err
	}
	if err := r.pass(lease.RecoveryTime - leaseLossSeconds*second); err != nil {
		return err
	}
	r.addUsedFraction("used_after_restarts")
	return nil
}

// run plays a cold start, steady state, the loss of the fleet's holder and of its region, a partition of regions, and a
// restart of most.
func (r *leaseRun) run() error {
	if err := r.runPhase(ColdStart, leaseColdStartSeconds); err != nil {
		return err
	}
	if err := r.runPhase(SteadyState, leaseSteadyStateSeconds); err != nil {
		return err
	}
	r.addUsedFraction("used")
	holder := []int{r.world.fleetHolder()}
	if err := r.loseAndRestart(ProcessLost, holder, "used_without_holder"); err != nil {
		return err
	}
	if err := r.loseAndRestart(RegionLost, r.world.regionOfHolder(), "used_without_region"); err != nil {
		return err
	}
	if err := r.partitionRegions(); err != nil {
		return err
	}
	return r.massRestart()
}

// runLeases plays leases by a tree, without membership.
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
