// Package background runs deferrable jobs alongside the requests of a router. Package core/scheduler decides their
// order and keeps them within their budget. One goroutine runs one job at a time, so that jobs never use more than
// their share of the CPU core.
package background

import (
	"context"
	"fmt"
	"math"
	"runtime/debug"
	"sync"

	"github.com/rs/zerolog"

	"spantack/core/scheduler"
	"spantack/internal/clock"
)

// Limits of all background jobs of a router; times are milliseconds.
const (
	coreBudgetMsPerSecond = 20.0   // time per second on the router's CPU core
	budgetBurst           = 1000   // period whose unused budget may be saved up and used at once
	maxQueuedJobs         = 64     // jobs that wait to run
	maxAttempts           = 3      // attempts of one job
	attemptTimeout        = 10_000 // time after which a job that has not ended counts as failed
	initialBackoff        = 500    // wait before the second attempt of a job
	maxBackoff            = 30_000
	agingInterval         = 2000 // waiting time after which a job rises by one priority level
	minWait               = 1    // time between two checks of the queue while no job can run
)

// Runner queues and runs jobs. It is created by New.
type Runner struct {
	clock *clock.Clock
	log   zerolog.Logger

	// mu is never held while a job runs. It guards scheduler and jobs.
	mu        sync.Mutex
	scheduler *scheduler.Scheduler
	jobs      map[string]func() // queued and running jobs, by id

	// wake receives a value when a job is submitted.
	wake chan struct{}
}

// New returns a runner without jobs; seed initializes the random jitter of backoffs.
func New(c *clock.Clock, seed uint64, log zerolog.Logger) (*Runner, error) {
	config := scheduler.Config{
		Resources: []scheduler.Resource{{
			Name:          "core",
			RatePerSecond: coreBudgetMsPerSecond,
			BurstWindow:   clock.Micros(budgetBurst),
		}},
		MaxQueued:      maxQueuedJobs,
		MaxRunning:     1,
		AttemptTimeout: clock.Micros(attemptTimeout),
		InitialBackoff: clock.Micros(initialBackoff),
		MaxBackoff:     clock.Micros(maxBackoff),
		AgingInterval:  clock.Micros(agingInterval),
	}
	s, err := scheduler.New(config, clock.Micros(c.Now()), seed)
	if err != nil {
		return nil, fmt.Errorf("background: %w", err)
	}
	return &Runner{clock: c, log: log, scheduler: s, jobs: map[string]func(){}, wake: make(chan struct{}, 1)}, nil
}

// Submit queues a job; costMs is its expected run time in milliseconds, 0 if it is not known. The error wraps
// scheduler.ErrDuplicateJob if a job with this id is queued or running, and scheduler.ErrQueueFull if the queue is full
// and no queued job has a lower priority. Otherwise a full queue makes room by abandoning a job of a lower priority.
func (r *Runner) Submit(id string, priority scheduler.Priority, costMs float64, run func()) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	job := scheduler.Job{ID: id, Priority: priority, Cost: []float64{costMs}, MaxAttempts: maxAttempts}
	abandoned, err := r.scheduler.Submit(r.nowMicros(), job)
	r.removeLocked(abandoned)
	if err != nil {
		return fmt.Errorf("background job %s: %w", id, err)
	}
	r.jobs[id] = run
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return nil
}

// Every runs a job repeatedly until ctx ends. It queues the first run at once, and each further run interval
// milliseconds after the last one has ended. If Submit fails, for example because the queue has no room, the run is
// skipped, and the job is submitted again after interval. The job is not run again once it has failed in all
// maxAttempts attempts, or once a full queue has abandoned it for a job of a higher priority.
func (r *Runner) Every(ctx context.Context, id string, interval float64, priority scheduler.Priority, run func()) {
	var submit func()
	submit = func() {
		if ctx.Err() != nil {
			return
		}
		err := r.Submit(id, priority, 0, func() {
			run()
			r.clock.AfterFunc(interval, submit)
		})
		if err != nil {
			r.clock.AfterFunc(interval, submit)
		}
	}
	submit()
}

// Run runs due jobs until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	for {
		due, nextStep := r.step()
		for _, attempt := range due {
			r.run(attempt)
		}
		if len(due) > 0 {
			continue
		}
		wake, timer := r.clock.Alarm(r.waitUntil(nextStep))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-r.wake:
		case <-wake:
		}
		timer.Stop()
	}
}

// step returns the attempts that are due, and the earliest time of the next one, in microseconds.
func (r *Runner) step() (due []scheduler.Attempt, nextStep int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ready := r.scheduler.Step(r.nowMicros())
	r.removeLocked(ready.Abandoned)
	return ready.Start, ready.NextStep
}

// waitUntil returns the time to wait until nextStep, in milliseconds, from minWait to attemptTimeout.
func (r *Runner) waitUntil(nextStep int64) float64 {
	if nextStep == math.MaxInt64 {
		return attemptTimeout
	}
	return min(max(clock.Millis(nextStep)-r.clock.Now(), minWait), attemptTimeout)
}

// run runs one attempt of a job, and reports its outcome and duration to the scheduler.
func (r *Runner) run(attempt scheduler.Attempt) {
	r.mu.Lock()
	job := r.jobs[attempt.ID]
	r.mu.Unlock()
	startedAt := r.clock.Now()
	outcome := r.runRecovering(attempt.ID, job)
	r.mu.Lock()
	defer r.mu.Unlock()
	if outcome == scheduler.Done {
		delete(r.jobs, attempt.ID)
	}
	now := r.clock.Now()
	duration := max(now-startedAt, 0)
	r.removeLocked(r.scheduler.Finish(clock.Micros(now), attempt.ID, attempt.Number, outcome, []float64{duration}))
}

// runRecovering runs a job and recovers from its panic: a fault in a background job must not end the router.
func (r *Runner) runRecovering(id string, job func()) (outcome scheduler.Outcome) {
	defer func() {
		if p := recover(); p != nil {
			outcome = scheduler.Failed
			r.log.Error().Str("job", id).Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).Msg("background job failed")
		}
	}()
	job()
	return scheduler.Done
}

// removeLocked removes the jobs that the scheduler has abandoned. r.mu is held.
func (r *Runner) removeLocked(abandoned []scheduler.Abandoned) {
	for _, a := range abandoned {
		delete(r.jobs, a.ID)
	}
}

// nowMicros returns the time in the scheduler's unit.
func (r *Runner) nowMicros() int64 { return clock.Micros(r.clock.Now()) }
