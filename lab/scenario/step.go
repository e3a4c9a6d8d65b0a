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
	// sampleInterval is the interval at which the request log is read. The log keeps the maximum of fills in flight
	// since the last read.
	sampleInterval = 50 * time.Millisecond
	// dialWindow is the length of the time window in which dials of the discovery service are counted.
	dialWindow = 100 * time.Millisecond
	// lateProcessFactor multiplies the bound on dials, because a busy machine may schedule processes late.
	lateProcessFactor = 2
	// floorsMarginDivisor defines the margin of Step.MustExceedFloors: the fills in flight must exceed the sum of the
	// floors plus 1/floorsMarginDivisor of it.
	floorsMarginDivisor = 4
)

// stepRun is a running step.
type stepRun struct {
	player    *player
	step      *Step
	result    StepResult
	startedAt time.Time

	dialsBefore int       // dials of the discovery service
	fillsBefore int       // fills that reached the origin
	parent      string    // name of the parent that a step may kill
	resetAt     time.Time // when the discovery service last reset all connections
	flips       int       // times that partitions were applied or removed
	hasEnded    bool      // the condition that ends the step holds
}

// runStep injects the faults of a step, samples the request log until the step ends, and evaluates its conditions.
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
	run.evaluate()
	p.result.Steps = append(p.result.Steps, run.result)
	return p.waitUntilUnfrozen()
}

// beginStep records the counts before a step, and injects the discovery and parent faults.
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

// sample reads the request log once and checks the fills in flight. It resets connections and applies or removes
// partitions when these are due. It ends the step when the condition that the step waits for holds.
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
	if run.step.MustExceedFloors && inFlight > floors+floors/floorsMarginDivisor {
		run.end()
	}
	return run.flipPartitions()
}

// end ends the step before its duration has passed. It is called when the condition that the step waits for holds.
func (run *stepRun) end() {
	run.hasEnded = true
	run.result.TookSeconds = run.elapsed()
}

// elapsed returns the seconds since the start of the step.
func (run *stepRun) elapsed() float64 { return time.Since(run.startedAt).Seconds() }

// areAllConnected reports whether all running routers are connected to the discovery service.
func (run *stepRun) areAllConnected() bool {
	_, open, _, _ := run.player.deployment.DiscoveryRelay.Counts()
	return open >= run.player.options.Routers-len(run.player.killed)
}

// checkInFlight compares the maximum of fills in flight since the last sample with its bound.
func (run *stepRun) checkInFlight(inFlight int) {
	result := run.player.result
	bound := result.Limit + run.step.LimitSlack
	if run.step.IsLimitedToFloors && run.elapsed() > run.step.SettleSeconds {
		bound = result.FloorSum
		run.result.Bound = bound
	}
	run.result.MaxInFlight = max(run.result.MaxInFlight, inFlight)
	at := time.Since(run.player.startedAt).Seconds()
	result.inFlightCurve = append(result.inFlightCurve, plotter.XY{X: at, Y: float64(inFlight)})
	result.boundCurve = append(result.boundCurve, plotter.XY{X: at, Y: float64(bound)})
	if run.player.OriginFillsPerRouter > 0 && inFlight > bound && run.result.UnmetCondition == "" {
		run.result.UnmetCondition = fmt.Sprintf("%d fills in flight at the origin %.2f s into the step, bound %d",
			inFlight, run.elapsed(), bound)
	}
}

// flipPartitions applies or removes the partitions of a step with PartitionFlips when the next flip is due.
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

// evaluate fills in the figures of the step's result, and the first unmet condition.
func (run *stepRun) evaluate() {
	_, fills := run.player.deployment.RequestLog.OriginFills()
	failedParentFills := run.failedParentFills()
	run.result.Fills = fills - run.fillsBefore
	run.result.FailedParentFills = len(failedParentFills)
	run.result.MaxDials = run.player.deployment.DiscoveryRelay.MaxDialsWithin(run.dialsBefore, dialWindow)
	run.result.DialBound = run.dialBound()
	if run.result.UnmetCondition == "" {
		run.result.UnmetCondition = run.unmetCondition(failedParentFills)
	}
}

// unmetCondition describes the first condition of the step that does not hold; empty: all hold.
func (run *stepRun) unmetCondition(failedParentFills []string) string {
	step := run.step
	result := &run.result
	switch {
	case step.MaxFailedParentFills != nil && result.FailedParentFills > *step.MaxFailedParentFills:
		return fmt.Sprintf("%d fills name the dead parent more than %.1f s after its death, bound %d: %s",
			result.FailedParentFills, step.SettleSeconds, *step.MaxFailedParentFills, strings.Join(failedParentFills, ", "))
	case step.ChecksDials && result.MaxDials > result.DialBound:
		return fmt.Sprintf("%d dials of the discovery service within %v, bound %d",
			result.MaxDials, dialWindow, result.DialBound)
	case step.MustReconnect && !run.hasEnded:
		return "not all routers are connected to the discovery service"
	case step.MustExceedFloors && !run.hasEnded:
		return fmt.Sprintf("fills in flight did not exceed the sum of the floors, %d, by a quarter",
			run.player.result.FloorSum)
	case step.MustFill && result.Fills == 0:
		return "no fill reached the origin, though the floors allow fills"
	}
	return ""
}

// failedParentFills returns the arrival times, since the start of the step, of the fills that were sent to the killed
// parent after the settle time. It returns nil if the step sets no bound on their number.
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

// dialBound returns the bound of core/backoff on dials within dialWindow, times lateProcessFactor.
func (run *stepRun) dialBound() int {
	routers := run.player.options.Routers
	period := int(backoff.Schedule{FleetSize: routers}.Period()) // us
	return lateProcessFactor * (routers*int(dialWindow.Microseconds())/period + 1)
}
