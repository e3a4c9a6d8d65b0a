// Package background runs work that can wait beside the requests of a router, in the order and within the budget of
// core/scheduler: one goroutine, one job at a time, so that it never takes more than its part of the core.
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

// Bounds of all background work of a router; times are milliseconds.
const (
	coreBudgetMsPerSecond = 20.0   // of its core, each second
	budgetBurst           = 1000   // of this time the budget may be used at once
	maxQueuedJobs         = 64     // jobs that wait
	maxAttempts           = 3      // of one job
	attemptTimeout        = 10_000 // a job that has not ended by then counts as failed
	initialBackoff        = 500    // before the second attempt of a job
	maxBackoff            = 30_000
	agingInterval         = 2000 // a job that waits for so long rises by one priority
	minWait               = 1    // between two looks at the queue while nothing can run
)

// Runner runs jobs. New makes one.
type Runner struct {
	clock *clock.Clock
	log   zerolog.Logger

	// mu is never held while a job runs. It guards scheduler and jobs.
	mu        sync.Mutex
	scheduler *scheduler.Scheduler
	jobs      map[string]func() // what is queued or runs, by the job's id

	// wake gets a value when a job is submitted.
	wake chan struct{}
}

// New returns a runner without jobs; seed feeds the jitter of backoffs.
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

// Submit queues a job of so many milliseconds, as far as that is known. Its error wraps scheduler.ErrDuplicateJob
// where one is queued or runs under this id already, and another one of the scheduler's where there is no room.
func (r *Runner) Submit(id string, priority scheduler.Priority, costMs float64, run func()) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	job := scheduler.Job{ID: id, Priority: priority, Cost: []float64{costMs}, MaxAttempts: maxAttempts}
	abandoned, err := r.scheduler.Submit(r.nowMicros(), job)
	r.forgetLocked(abandoned)
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

// Every runs a job again and again, so many milliseconds after its last end, until ctx ends. It is left out for
// once while the queue has no room for it.
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

// Run runs what is due until ctx ends.
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

// step returns the attempts that are due, and when the next may be, in microseconds.
func (r *Runner) step() (due []scheduler.Attempt, nextStep int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ready := r.scheduler.Step(r.nowMicros())
	r.forgetLocked(ready.Abandoned)
	return ready.Start, ready.NextStep
}

// waitUntil is how long to wait for a time of the scheduler, in milliseconds, and at most attemptTimeout.
func (r *Runner) waitUntil(nextStep int64) float64 {
	if nextStep == math.MaxInt64 {
		return attemptTimeout
	}
	return min(max(clock.Millis(nextStep)-r.clock.Now(), minWait), attemptTimeout)
}

// run runs one attempt of a job, and tells the scheduler what it took.
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
	took := max(now-startedAt, 0)
	r.forgetLocked(r.scheduler.Finish(clock.Micros(now), attempt.ID, attempt.Number, outcome, []float64{took}))
}

// runRecovering runs a job and recovers from its panic: a fault in work that can wait must not take the router down.
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

// forgetLocked drops jobs that the scheduler has abandoned. r.mu is held.
func (r *Runner) forgetLocked(abandoned []scheduler.Abandoned) {
	for _, a := range abandoned {
		delete(r.jobs, a.ID)
	}
}

func (r *Runner) nowMicros() int64 { return clock.Micros(r.clock.Now()) }
