package scale

import (
	"slices"

	"spantack/core/fleet"
)

// minRanksPerProcess is the minimum number of ranks that a process represents when not all routers are simulated.
const minRanksPerProcess = 4

// sampleSize is the maximum number of simulated processes in fleets of up to maxRouters routers.
type sampleSize struct{ maxRouters, processes int }

// sampleSizes decrease with the size of the fleet, because each process takes longer to simulate in a larger fleet.
var sampleSizes = []sampleSize{{300, 300}, {3_000, 250}, {maxRouters, 4 * fleetRegions}}

// processCount returns the number of processes to simulate. It equals Options.Routers if all routers are simulated.
func processCount(o Options) int {
	limit := o.MaxSimulated
	if limit == 0 {
		index := slices.IndexFunc(sampleSizes, func(s sampleSize) bool { return o.Routers <= s.maxRouters })
		limit = sampleSizes[index].processes
	}
	if o.Routers <= limit {
		return o.Routers
	}
	return min(limit, o.Routers/minRanksPerProcess)
}

// phaseSeconds are the durations of phases in seconds of virtual time.
type phaseSeconds struct {
	coldStart   int64
	steadyState int64
	fault       int64
	partition   int64
	settle      int64 // time after a fault has ended; measured only after a partition
}

var (
	membershipPhases = phaseSeconds{coldStart: 10, steadyState: 15, fault: 15, partition: 60, settle: 8}
	limitPhases      = phaseSeconds{coldStart: 6, steadyState: 3, fault: 4, partition: 60, settle: 2}
)

// With Options.ShortPhases the duration of a phase is divided by shortPhaseDivisor and then clamped to these bounds in
// seconds.
const (
	shortPhaseDivisor = 6
	minShortSeconds   = 2
	maxShortSeconds   = 4
)

// shortened returns the durations for the options: shorter ones with Options.ShortPhases.
func (s phaseSeconds) shortened(o Options) phaseSeconds {
	if !o.ShortPhases {
		return s
	}
	short := func(seconds int64) int64 {
		return min(max(seconds/shortPhaseDivisor, minShortSeconds), maxShortSeconds)
	}
	return phaseSeconds{
		coldStart:   short(s.coldStart),
		steadyState: short(s.steadyState),
		fault:       short(s.fault),
		partition:   short(s.partition),
		settle:      short(s.settle),
	}
}

// fleetRun simulates the phases of the membership or the limits test in one world.
type fleetRun struct {
	world      *world
	seconds    phaseSeconds
	result     *Result
	options    Options
	phaseCount int // number of measured phases
}

func newFleetRun(o Options, seconds phaseSeconds, clock threadCPUClock, limits ...fleet.Limit) (*fleetRun, error) {
	processes := processCount(o)
	w, err := newWorld(o, clock, processes, limits...)
	if err != nil {
		return nil, err
	}
	return &fleetRun{
		world:   w,
		seconds: seconds.shortened(o),
		result:  &Result{SimulatedProcesses: processes},
		options: o,
	}, nil
}

// run simulates a cold start, steady state, faults that stop routers, a partition of regions, and a restart of most
// routers. processLostRank returns the rank of the router that ProcessLost stops.
func (f *fleetRun) run(processLostRank func() int, faults ...Scenario) error {
	f.phaseCount = len(faults) + 4
	if err := f.measure(ColdStart, f.seconds.coldStart); err != nil {
		return err
	}
	if err := f.measure(SteadyState, f.seconds.steadyState); err != nil {
		return err
	}
	for _, scenario := range faults {
		if err := f.stopAndRestart(scenario, processLostRank()); err != nil {
			return err
		}
	}
	if err := f.partitionRegions(); err != nil {
		return err
	}
	return f.massRestart()
}

// measure simulates a phase and adds its cost to the result.
func (f *fleetRun) measure(scenario Scenario, seconds int64) error {
	f.resetMeters()
	if err := f.advance(seconds); err != nil {
		return err
	}
	f.addPhase(scenario, seconds)
	return nil
}

func (f *fleetRun) resetMeters() {
	for _, p := range f.world.processes {
		p.traffic = traffic{}
		p.cpu = 0
	}
}

// advance simulates a number of seconds of virtual time.
func (f *fleetRun) advance(seconds int64) error { return f.world.run(f.world.now + seconds*second) }

func (f *fleetRun) addPhase(scenario Scenario, seconds int64) {
	f.result.Phases = append(f.result.Phases, f.world.phase(scenario, seconds))
	f.options.Progress(len(f.result.Phases), f.phaseCount)
}

// phase returns the cost of a phase, from the meters of the running processes.
func (w *world) phase(scenario Scenario, seconds int64) Phase {
	running := w.running()
	var traffics []*traffic
	meanCPU := 0.0
	total := 0.0
	for _, p := range running {
		traffics = append(traffics, &p.traffic)
		total += float64(p.traffic.bytes)
		meanCPU += cpuPercent(p.cpu, float64(seconds))
	}
	meanCPU /= float64(len(running))
	phase, index := newPhase(scenario, seconds, traffics)
	busiest := running[index]
	// Only one router of the fleet is the busiest. For every other router, the mean of the other simulated processes is
	// used. This mean is too high when routers request a lease from several holders, for instance when most have
	// just started: the fraction of holders is larger in the sample than in the fleet.
	busiestBytes := float64(busiest.traffic.bytes)
	routers := float64(w.routers)
	othersMean := (total - busiestBytes) / float64(len(running)-1)
	phase.MeanBytesPerSecond = (busiestBytes/routers + othersMean*(routers-1)/routers) / float64(seconds)
	phase.CPUPercent = max(cpuPercent(busiest.cpu, float64(seconds)), meanCPU)
	phase.MemoryKB = memoryKB(busiest.node)
	return phase
}

// affectedRanks returns the ranks of the routers that a scenario stops. For ProcessLost this is only processLostRank.
func (f *fleetRun) affectedRanks(scenario Scenario, processLostRank int) []int {
	w := f.world
	last := w.processes[len(w.processes)-1]
	switch scenario {
	case ProcessLost:
		return []int{processLostRank}
	case RackLost: // the last ranks, as many as a site has
		ranksInRack := w.routers / w.sites
		return w.ranksOf(func(rank int, _ *process) bool { return rank >= w.routers-ranksInRack })
	case ZoneLost:
		return w.ranksOf(func(_ int, p *process) bool { return p.zone == last.zone })
	case RegionLost:
		return w.ranksOf(func(_ int, p *process) bool { return p.region == last.region })
	case MassRestart:
		return w.ranksOf(func(_ int, p *process) bool { return restartsInMassRestart(p.index) })
	}
	return nil
}

// stopAndRestart simulates a fault that stops routers, and starts them again. For ProcessLost it adds a metric. In a
// world without limits, this is the fraction of the processes that have detected the loss. In a world with limits, it
// is the time until most processes have a lease holder again.
//
// The fraction is usually below 1. For minutes after a cold start, nodes still pass on updates about the start, and the
// update about the loss waits in the same queue.
func (f *fleetRun) stopAndRestart(scenario Scenario, processLostRank int) error {
	ranks := f.affectedRanks(scenario, processLostRank)
	f.world.stop(ranks)
	if err := f.measure(scenario, f.seconds.fault); err != nil {
		return err
	}
	if scenario == ProcessLost {
		if len(f.world.limits) == 0 {
			f.result.addMetric("known_dead", f.world.detectedFraction(processLostRank))
		} else if err := f.awaitNewLeaseHolder(); err != nil {
			return err
		}
	}
	if err := f.world.restart(ranks); err != nil {
		return err
	}
	return f.advance(f.seconds.settle)
}

// maxLeaseRecoverySeconds is the timeout of the wait for a new lease holder, counted from the loss of the previous one.
const maxLeaseRecoverySeconds = 30

// awaitNewLeaseHolder simulates until more than half of the processes have a new holder, or until
// maxLeaseRecoverySeconds have passed since the loss of the previous holder. It adds the time since the loss to the
// result.
func (f *fleetRun) awaitNewLeaseHolder() error {
	const step = second / 2
	took := f.seconds.fault * second
	for f.world.leasedFraction() <= 0.5 && took < maxLeaseRecoverySeconds*second {
		if err := f.world.run(f.world.now + step); err != nil {
			return err
		}
		took += step
	}
	f.result.addMetric("lease_back_s", float64(took)/float64(second))
	return nil
}

// partitionRegions simulates a partition between all regions and its end. The phase includes the settle time after the
// partition.
func (f *fleetRun) partitionRegions() error {
	f.resetMeters()
	f.world.isPartitioned = true
	if err := f.advance(f.seconds.partition); err != nil {
		return err
	}
	f.world.isPartitioned = false
	if err := f.advance(f.seconds.settle); err != nil {
		return err
	}
	f.addPhase(RegionsPartitioned, f.seconds.partition+f.seconds.settle)
	return nil
}

// massRestart stops most routers at the same moment and starts them again a second later.
func (f *fleetRun) massRestart() error {
	ranks := f.affectedRanks(MassRestart, 0)
	f.world.stop(ranks)
	if err := f.advance(1); err != nil {
		return err
	}
	if err := f.world.restart(ranks); err != nil {
		return err
	}
	return f.measure(MassRestart, f.seconds.fault)
}

// runMembership measures membership without limits.
func runMembership(o Options) (*Result, error) {
	clock, release := lockThreadCPUClock()
	defer release()
	f, err := newFleetRun(o, membershipPhases, clock)
	if err != nil {
		return nil, err
	}
	lastRank := func() int { return o.Routers - 1 }
	if err := f.run(lastRank, ProcessLost, RackLost, ZoneLost, RegionLost); err != nil {
		return nil, err
	}
	return f.result, nil
}

// The fleet limit. The demand of all routers together exceeds it.
const (
	limitPerRouter     = 4
	limitFloorFraction = 0.25
)

// runLimits measures one limit with a single lease holder.
func runLimits(o Options) (*Result, error) {
	clock, release := lockThreadCPUClock()
	defer release()
	limit := fleet.Limit{Name: "fills", Max: float64(limitPerRouter * o.Routers), FloorFraction: limitFloorFraction}
	f, err := newFleetRun(o, limitPhases, clock, limit)
	if err != nil {
		return nil, err
	}
	holder := func() int { return f.world.majorityLeaseHolder(o.Routers - 1) }
	if err := f.run(holder, RackLost, ZoneLost, RegionLost, ProcessLost); err != nil {
		return nil, err
	}
	if !f.world.isSampled() {
		f.result.addMetric("used_at_end", f.world.totalQuota()/limit.Max)
	}
	return f.result, nil
}
