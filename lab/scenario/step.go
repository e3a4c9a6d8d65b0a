package scenario

import (
	"context"
	"fmt"
	"strings"
	"time"

	"gonum.org/v1/plot/plotter"

	"spantack/core/backoff"
)

const (
	// sampleInterval is how often the request log is read. It keeps the greatest number of fills in flight between two
	// reads itself.
	sampleInterval = 50 * time.Millisecond
	// dialWindow is the time within which dials of the discovery service are counted.
	dialWindow = 100 * time.Millisecond
	// lateProcessFactor times the bound on dials is allowed to processes that a busy machine runs late.
	lateProcessFactor = 2
	// floorsMargin is the part of the floors, as a divisor, by which they must be exceeded where a step says so.
	floorsMargin = 4
)

// stepRun is a step that is under way.
type stepRun struct {
	player    *player
	step      *Step
	result    StepResult
	startedAt time.Time

	dialsBefore int       // of the discovery service
	fillsBefore int       // that reached the origin
	parent      string    // name of the one that a step may kill
	resetAt     time.Time // when the discovery service last reset all connections
	flips       int       // of partitions, so far
	hasEnded    bool      // what the step waits for has come
}

// runStep injects the faults of a step, samples the request log until its end, and judges what it found.
func (p *player) runStep(ctx context.Context, step *Step) error {
	if step.Conditions != nil {
		if err := p.setConditions(step.Conditions); err != nil {
			return err
		}
	}
	if err := p.injectFault(step); err != nil {
		return err
	}
	if step.RestartsKilled {
		if err := p.restartKilled(ctx); err != nil {
			return err
		}
	}
	run := p.beginStep(step)
	for time.Since(run.startedAt).Seconds() < step.DurationSeconds && !run.hasEnded {
		if err := ctx.Err(); err != nil {
			return err
		}
		time.Sleep(sampleInterval)
		if err := run.sample(); err != nil {
			return err
		}
	}
	run.judge()
	p.result.Steps = append(p.result.Steps, run.result)
	return p.waitUntilUnfrozen()
}

// beginStep notes the counts before a step, and injects the faults that are counted in it.
func (p *player) beginStep(step *Step) *stepRun {
	run := &stepRun{player: p, step: step, parent: p.deployment.Parents[0].Name()}
	run.result = StepResult{Step: step.Name, Bound: p.result.Limit + step.LimitSlack, TookSeconds: step.DurationSeconds}
	dials, _, _, _ := p.deployment.DiscoveryRelay.Counts()
	run.dialsBefore = len(dials)
	p.setDiscovery(step.Discovery)
	if step.KillsParent {
		p.deployment.KillParent(0)
	}
	_, run.fillsBefore = p.deployment.RequestLog.OriginFills()
	run.startedAt = time.Now()
	run.resetAt = run.startedAt
	return run
}

// sample reads the request log once, and does what the step does over and over.
func (run *stepRun) sample() error {
	if run.step.Discovery == discoveryResets && time.Since(run.resetAt) >= resetInterval {
		run.resetAt = time.Now()
		run.player.resetDiscovery()
	}
	if run.step.MustReconnect && run.areAllConnected() {
		run.end()
	}
	inFlight, _ := run.player.deployment.RequestLog.OriginFills()
	run.checkInFlight(inFlight)
	floors := run.player.result.FloorSum
	if run.step.MustExceedFloors && inFlight > floors+floors/floorsMargin {
		run.end()
	}
	return run.flipPartitions()
}

// end ends the step before its time, as what it waits for has come.
func (run *stepRun) end() {
	run.hasEnded = true
	run.result.TookSeconds = run.elapsed()
}

// elapsed is the time since the step's begin, in seconds.
func (run *stepRun) elapsed() float64 { return time.Since(run.startedAt).Seconds() }

// areAllConnected reports that all routers that live are connected to the discovery service.
func (run *stepRun) areAllConnected() bool {
	_, open, _, _ := run.player.deployment.DiscoveryRelay.Counts()
	return open >= run.player.options.Routers-len(run.player.killed)
}

// checkInFlight holds the greatest number of fills in flight since the last sample against its bound.
func (run *stepRun) checkInFlight(inFlight int) {
	total := run.player.result
	bound := total.Limit + run.step.LimitSlack
	if run.step.IsLimitedToFloors && run.elapsed() > run.step.SettleSeconds {
		bound = total.FloorSum
		run.result.Bound = bound
	}
	run.result.MaxInFlight = max(run.result.MaxInFlight, inFlight)
	at := time.Since(run.player.startedAt).Seconds()
	total.inFlightCurve = append(total.inFlightCurve, plotter.XY{X: at, Y: float64(inFlight)})
	total.boundCurve = append(total.boundCurve, plotter.XY{X: at, Y: float64(bound)})
	if run.player.OriginFillsPerRouter > 0 && inFlight > bound && run.result.Fault == "" {
		run.result.Fault = fmt.Sprintf("%d out at the head office %.2f s into it, %d may be", inFlight, run.elapsed(), bound)
	}
}

// flipPartitions cuts or heals the network where the step does so and the time for it has come.
func (run *stepRun) flipPartitions() error {
	conditions := run.step.Conditions
	if conditions == nil || conditions.PartitionFlips == 0 {
		return nil
	}
	if run.elapsed() <= run.step.DurationSeconds*float64(run.flips+1)/float64(2*conditions.PartitionFlips) {
		return nil
	}
	run.flips++
	next := *conditions
	if run.flips%2 == 1 {
		next.InterleavedPartitions = 0
	}
	return run.player.setConditions(&next)
}

// judge counts what the step came to, and finds the first thing that fell short.
func (run *stepRun) judge() {
	_, fills := run.player.deployment.RequestLog.OriginFills()
	failedParentFills := run.failedParentFills()
	run.result.Fills = fills - run.fillsBefore
	run.result.FailedParentFills = len(failedParentFills)
	run.result.MaxDials = run.player.deployment.DiscoveryRelay.MaxDialsWithin(run.dialsBefore, dialWindow)
	run.result.DialBound = run.dialBound()
	if run.result.Fault == "" {
		run.result.Fault = run.shortfall(failedParentFills)
	}
}

// shortfall names the first of the step's conditions that does not hold; empty: all do.
func (run *stepRun) shortfall(failedParentFills []string) string {
	step := run.step
	result := &run.result
	switch {
	case step.MaxFailedParentFills != nil && result.FailedParentFills > *step.MaxFailedParentFills:
		return fmt.Sprintf("%d fills name an area cache %.1f s after it died, %d may: %s",
			result.FailedParentFills, step.SettleSeconds, *step.MaxFailedParentFills, strings.Join(failedParentFills, ", "))
	case step.ChecksDials && result.MaxDials > result.DialBound:
		return fmt.Sprintf("%d tries at the list service within %v, %d may be", result.MaxDials, dialWindow, result.DialBound)
	case step.MustReconnect && !run.hasEnded:
		return "not all routers are back at the list service"
	case step.MustExceedFloors && !run.hasEnded:
		return fmt.Sprintf("never more out than the %d of the floors", run.player.result.FloorSum)
	case step.MustFill && result.Fills == 0:
		return "nothing was filled, though the floors are there"
	}
	return ""
}

// failedParentFills lists the fills that named the first parent after the step had settled, each as its time from the
// step's begin. There are none where the step states no bound.
func (run *stepRun) failedParentFills() (times []string) {
	if run.step.MaxFailedParentFills == nil {
		return nil
	}
	for _, request := range run.player.deployment.RequestLog.Requests() {
		after := request.ArrivedAt.Sub(run.startedAt).Seconds()
		if request.FillFrom == run.parent && after > run.step.SettleSeconds {
			times = append(times, fmt.Sprintf("%.2f s", after))
		}
	}
	return times
}

// dialBound is the bound of core/backoff on dials within dialWindow, for processes that run late.
func (run *stepRun) dialBound() int {
	routers := run.player.options.Routers
	period := int(backoff.Schedule{FleetSize: routers}.Period()) // us
	return lateProcessFactor * (routers*int(dialWindow.Microseconds())/period + 1)
}
