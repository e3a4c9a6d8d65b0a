package scale

import "spantack/routing"

// Durations of the phases of the purges test, in seconds, and their number.
const (
	purgeSteadyStateSeconds = 30
	purgePartitionSeconds   = 120
	purgeCatchUpSeconds     = 10 // seconds after the partition that belong to its phase
	purgeRestartSeconds     = 20
	purgePhaseCount         = 3
)

// objectCount is the number of objects. Purges and requests cycle through them.
const objectCount = 1 << 16

// purgeInterval is the time between two purges, in microseconds.
const purgeInterval = second / purgesPerSecond

// purgeRun simulates one router that receives all purges.
type purgeRun struct {
	options Options
	clock   threadCPUClock
	engine  *routing.Engine
	now     int64
	purges  int // number of purges so far
	result  *Result
}

// receive makes the router receive count purges, one per interval. Each purges the copies of an object that are at
// least age old. Interval and age are in microseconds. receive returns the CPU time in seconds.
func (r *purgeRun) receive(count int, interval, age int64) float64 {
	startedAt := r.clock.now()
	for range count {
		r.now += interval
		r.purges++
		object := objectName(r.purges % objectCount)
		r.engine.Step(r.now, []routing.Event{{Kind: routing.EventPurge, Object: object, PurgeAge: age}})
	}
	return (r.clock.now() - startedAt).Seconds()
}

// addPhase adds a phase to the result. Its cost follows from the number of purges in it, the maximum number of purges
// in one second, and the CPU time in seconds.
func (r *purgeRun) addPhase(scenario Scenario, seconds, purges, maxPerSecond int, usedSeconds float64) {
	duration := float64(seconds)
	bytes := float64(purges)*(frameHeaderSize+purgeSize) + updateBytesPerSecond()*duration
	r.result.Phases = append(r.result.Phases, Phase{
		Scenario:                scenario,
		Seconds:                 duration,
		MeanBytesPerSecond:      bytes / duration,
		WorstBytesPerSecond:     bytes / duration,
		PeakBytes:               float64(maxPerSecond)*(frameHeaderSize+purgeSize) + updateBytesPerSecond(),
		WorstDatagramsPerSecond: float64(purges)/duration + heartbeatsPerSecond + endpointChangesPerSecond,
		CPUPercent:              usedSeconds / duration * 100,
		MemoryKB:                memoryKB(r.engine),
	})
	r.options.Progress(len(r.result.Phases), purgePhaseCount)
}

// runEvenly simulates a phase in which purges arrive at a constant rate.
func (r *purgeRun) runEvenly(scenario Scenario, seconds int) {
	count := seconds * purgesPerSecond
	used := r.receive(count, purgeInterval, 0)
	r.addPhase(scenario, seconds, count, purgesPerSecond, used)
}

// runPartition simulates a phase in which the router is partitioned from the discovery service. After the partition it
// receives all missed purges at once.
func (r *purgeRun) runPartition(seconds int) {
	r.now += int64(seconds) * second
	used := r.receive(seconds*purgesPerSecond, 0, int64(seconds)*second/2)
	used += r.receive(purgeCatchUpSeconds*purgesPerSecond, purgeInterval, 0)
	total := seconds + purgeCatchUpSeconds
	r.addPhase(RegionsPartitioned, total, total*purgesPerSecond, (seconds+1)*purgesPerSecond, used)
}

// runPurges measures one router that receives all purges. Its traffic does not depend on the number of routers; the
// traffic of the discovery service does.
func runPurges(o Options) (*Result, error) {
	clock, release := lockThreadCPUClock()
	defer release()
	divisor := 1
	if o.ShortPhases {
		divisor = shortPhaseDivisor
	}
	r := &purgeRun{options: o, clock: clock, now: second, result: &Result{SimulatedProcesses: 1}}
	var err error
	if r.engine, err = newEngine(o); err != nil {
		return nil, err
	}
	r.runEvenly(SteadyState, purgeSteadyStateSeconds/divisor)
	r.runPartition(purgePartitionSeconds / divisor)

	// A restarted router requests only the events after the event number in its configuration, so it receives no old
	// purges.
	if r.engine, err = newEngine(o); err != nil {
		return nil, err
	}
	r.runEvenly(MassRestart, max(purgeRestartSeconds/divisor, minShortSeconds))

	r.result.addMetric("purges_per_s", purgesPerSecond)
	r.result.addMetric("service_bytes_per_s", float64(o.Routers)*purgesPerSecond*(frameHeaderSize+purgeSize))
	return r.result, nil
}
