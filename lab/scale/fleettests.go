package scale

import (
	"cmp"
	"slices"

	"spantack/core/fleet"
)

// The tests of membership and limits of core/fleet. A larger fleet than wholeUpTo is simulated by a sample of processes, each of which plays
// minRanksPerProcess ranks or more.
const minRanksPerProcess = 4

// sampleSize is how many processes are simulated up to a size; it falls with the size, as each costs more.
type sampleSize struct{ maxRouters, processes int }

var (
	membershipSamples = []sampleSize{{300, 300}, {3_000, 250}, {maxRouters, 4 * fleetRegions}}
	limitSamples      = []sampleSize{{300, 300}, {3_000, 250}, {maxRouters, 4 * fleetRegions}}
)

// processCount is how many processes stand for all routers.
func processCount(o Options, samples []sampleSize) int {
	at := slices.IndexFunc(samples, func(s sampleSize) bool { return o.Routers <= s.maxRouters })
	most := samples[at].processes
	if o.MaxSimulated > 0 {
		most = o.MaxSimulated
	}
	if o.Routers <= most {
		return o.Routers
	}
	return min(most, o.Routers/minRanksPerProcess)
}

// Seconds of virtual time.
type phaseSeconds struct{ coldStart, steadyState, fault, partition, settle int64 }

var (
	membershipPhases = phaseSeconds{coldStart: 10, steadyState: 15, fault: 15, partition: 60, settle: 8}
	limitPhases      = phaseSeconds{coldStart: 6, steadyState: 3, fault: 4, partition: 60, settle: 2}
)

// Phases in a test's short form last a sixth, and so many seconds.
const (
	minShortSeconds = 2
	maxShortSeconds = 4
)

// shortened shortens phases for tests.
func (d phaseSeconds) shortened(o Options) phaseSeconds {
	if !o.ShortPhases {
		return d
	}
	sixth := func(seconds int64) int64 {
		return min(max(seconds/shortPhaseDivisor, minShortSeconds), maxShortSeconds)
	}
	return phaseSeconds{sixth(d.coldStart), sixth(d.steadyState), sixth(d.fault), sixth(d.partition), sixth(d.settle)}
}

// fleetRun plays the phases of one test on one world.
type fleetRun struct {
	world      *world
	seconds    phaseSeconds
	result     *Result
	options    Options
	phaseCount int // phases that are to be measured
}

func newFleetRun(o Options, samples []sampleSize, lasts phaseSeconds, clock threadCPUClock, limits ...fleet.Limit) (*fleetRun, error) {
	processes := processCount(o, samples)
	w, err := newWorld(o, clock, processes, limits...)
	if err != nil {
		return nil, err
	}
	return &fleetRun{world: w, seconds: lasts.shortened(o), result: &Result{SimulatedProcesses: processes}, options: o}, nil
}

// measure lets a phase pass and books what it cost.
func (f *fleetRun) measure(trouble Scenario, seconds int64) error {
	for _, p := range f.world.processes {
		p.traffic, p.cpu = traffic{}, 0
	}
	if err := f.world.run(f.world.now + seconds*second); err != nil {
		return err
	}
	f.result.Phases = append(f.result.Phases, f.world.phase(trouble, float64(seconds)))
	f.options.Progress(len(f.result.Phases), f.phaseCount)
	return nil
}

// phase sums up what processes that run counted.
func (w *world) phase(trouble Scenario, seconds float64) Phase {
	result := Phase{Scenario: trouble, Seconds: seconds}
	var running []*process
	bytes, used := 0.0, 0.0
	for _, p := range w.processes {
		if w.lost[p.primary] {
			continue
		}
		running = append(running, p)
		bytes += float64(p.traffic.bytes)
		used += cpuPercent(p.cpu, seconds)
		result.PeakBytes = max(result.PeakBytes, float64(p.traffic.peakBytes))
		result.WorstDatagramsPerSecond = max(result.WorstDatagramsPerSecond, float64(p.traffic.datagrams)/seconds)
	}
	busiest := slices.MaxFunc(running, func(a, b *process) int { return cmp.Compare(a.traffic.bytes, b.traffic.bytes) })
	// Of all routers one is the busiest; the others are as those that were simulated are on average. Where routers ask several for a lease, as when
	// most have just started, a sample gives these too much weight.
	most, routers := float64(busiest.traffic.bytes), float64(w.routers)
	others := (bytes - most) / float64(len(running)-1)
	result.MeanBytesPerSecond = (most/routers + others*(routers-1)/routers) / seconds
	result.WorstBytesPerSecond = float64(busiest.traffic.bytes) / seconds
	result.CPUPercent = max(cpuPercent(busiest.cpu, seconds), used/float64(len(running)))
	result.MemoryKB = memoryKB(busiest.node)
	return result
}

// affectedRanks lists the routers that a trouble takes away; alone is the one that is lost by itself.
func (f *fleetRun) affectedRanks(trouble Scenario, alone int) []int {
	w := f.world
	last := w.processes[len(w.processes)-1]
	switch trouble {
	case ProcessLost:
		return []int{alone}
	case RackLost: // as many as a site has, in no region of their own: the last ranks
		site := w.routers / w.sites
		return w.ranksOf(func(rank int, _ *process) bool { return rank >= w.routers-site })
	case ZoneLost:
		return w.ranksOf(func(_ int, p *process) bool { return p.zone == last.zone })
	case RegionLost:
		return w.ranksOf(func(_ int, p *process) bool { return p.region == last.region })
	case MassRestart:
		return w.ranksOf(func(_ int, p *process) bool { return p.index%10 < 7 })
	}
	return nil
}

// loseAndRestart plays a trouble that takes routers away, and lets them come back.
func (f *fleetRun) loseAndRestart(trouble Scenario, alone int) error {
	ranks := f.affectedRanks(trouble, alone)
	f.world.stop(ranks)
	if err := f.measure(trouble, f.seconds.fault); err != nil {
		return err
	}
	if trouble == ProcessLost && len(f.world.limits) == 0 { // seldom all: updates about a cold start are passed on for minutes, and this one waits among them
		f.result.Metrics = append(f.result.Metrics, Metric{"known_dead", f.world.failureAwareFraction(alone)})
	}
	if trouble == ProcessLost && len(f.world.limits) > 0 {
		if err := f.awaitNewLeaseHolder(); err != nil {
			return err
		}
	}
	if err := f.world.restart(ranks); err != nil {
		return err
	}
	return f.settle()
}

// maxLeaseRecoverySeconds bounds the wait for a new holder, in seconds.
const maxLeaseRecoverySeconds = 30

// awaitNewLeaseHolder waits until more than half have a holder again after the last one was lost, and books how long that took in all.
func (f *fleetRun) awaitNewLeaseHolder() error {
	const look = second / 2
	took := f.seconds.fault * second
	for f.world.leasedFraction() <= 0.5 && took < maxLeaseRecoverySeconds*second {
		if err := f.world.run(f.world.now + look); err != nil {
			return err
		}
		took += look
	}
	f.result.Metrics = append(f.result.Metrics, Metric{"lease_back_s", float64(took) / float64(second)})
	return nil
}

// leasedFraction is the part of the processes that a holder has lent to of late.
func (w *world) leasedFraction() float64 {
	led, running := 0, 0
	for _, p := range w.processes {
		if w.lost[p.primary] {
			continue
		}
		running++
		if p.node.LimitStatuses(w.now)[0].Holder >= 0 {
			led++
		}
	}
	return float64(led) / float64(running)
}

// failureAwareFraction is the part of the processes that hold a router for dead.
func (w *world) failureAwareFraction(rank int) float64 {
	know, running := 0, 0
	for _, p := range w.processes {
		if w.lost[p.primary] {
			continue
		}
		running++
		if !p.node.IsUp(rank) {
			know++
		}
	}
	return float64(know) / float64(running)
}

func (f *fleetRun) settle() error { return f.world.run(f.world.now + f.seconds.settle*second) }

// partitionRegions keeps regions from hearing one another, and heals that; what follows the heal counts too.
func (f *fleetRun) partitionRegions() error {
	f.world.isPartitioned = true
	heal := f.seconds.settle
	for _, p := range f.world.processes {
		p.traffic, p.cpu = traffic{}, 0
	}
	if err := f.world.run(f.world.now + f.seconds.partition*second); err != nil {
		return err
	}
	f.world.isPartitioned = false
	if err := f.world.run(f.world.now + heal*second); err != nil {
		return err
	}
	f.result.Phases = append(f.result.Phases, f.world.phase(RegionsPartitioned, float64(f.seconds.partition+heal)))
	f.options.Progress(len(f.result.Phases), f.phaseCount)
	return nil
}

// massRestart starts seven in ten anew at one moment, after they were away for a second.
func (f *fleetRun) massRestart() error {
	ranks := f.affectedRanks(MassRestart, 0)
	f.world.stop(ranks)
	if err := f.world.run(f.world.now + second); err != nil {
		return err
	}
	if err := f.world.restart(ranks); err != nil {
		return err
	}
	return f.measure(MassRestart, f.seconds.fault)
}

// run plays a cold start, an ordinary day, losses, regions cut off, and a restart of most. alone names the router to lose by itself.
func (f *fleetRun) run(alone func() int, losses ...Scenario) error {
	f.phaseCount = len(losses) + 4
	if err := f.measure(ColdStart, f.seconds.coldStart); err != nil {
		return err
	}
	if err := f.measure(SteadyState, f.seconds.steadyState); err != nil {
		return err
	}
	for _, trouble := range losses {
		if err := f.loseAndRestart(trouble, alone()); err != nil {
			return err
		}
	}
	if err := f.partitionRegions(); err != nil {
		return err
	}
	return f.massRestart()
}

func runMembership(o Options) (*Result, error) {
	clock, release := lockThreadCPUClock()
	defer release()
	f, err := newFleetRun(o, membershipSamples, membershipPhases, clock)
	if err != nil {
		return nil, err
	}
	lastRank := func() int { return o.Routers - 1 }
	if err := f.run(lastRank, ProcessLost, RackLost, ZoneLost, RegionLost); err != nil {
		return nil, err
	}
	return f.result, nil
}

// fleetLimit is the one that all routers want more of than there is, a quarter of it in floors.
func fleetLimit(routers int) fleet.Limit {
	return fleet.Limit{Name: "fills", Max: float64(4 * routers), FloorFraction: 0.25}
}

func runLimits(o Options) (*Result, error) {
	clock, release := lockThreadCPUClock()
	defer release()
	limit := fleetLimit(o.Routers)
	f, err := newFleetRun(o, limitSamples, limitPhases, clock, limit)
	if err != nil {
		return nil, err
	}
	holder := func() int { return f.world.majorityLeaseHolder(o.Routers - 1) }
	if err := f.run(holder, RackLost, ZoneLost, RegionLost, ProcessLost); err != nil {
		return nil, err
	}
	if !f.world.isSampled() {
		f.result.Metrics = append(f.result.Metrics, Metric{"used_at_end", f.world.totalQuota() / limit.Max})
	}
	return f.result, nil
}

// majorityLeaseHolder is the rank that most have for the holder of the first limit; otherwise, where nobody has one, that of last.
func (w *world) majorityLeaseHolder(otherwise int) int {
	votes := make([]int, w.routers)
	best := otherwise
	for _, p := range w.processes {
		if rank := p.node.LimitStatuses(w.now)[0].Holder; rank >= 0 {
			if votes[rank]++; votes[rank] > votes[best] {
				best = rank
			}
		}
	}
	return best
}

// totalQuota is what all routers may use of the first limit.
func (w *world) totalQuota() (sum float64) {
	for _, p := range w.processes {
		if !w.lost[p.primary] {
			sum += p.node.Quota(w.now, 0)
		}
	}
	return sum
}
