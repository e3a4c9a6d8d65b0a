// Package background runs work that can wait beside the requests of a router, in the order and within the budget of core/sched: one goroutine,
// one job at a time, so that it never takes more than its part of the core.
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

// Budget of all background work of a router.
const (
	coreBudgetMsPerS = 20.0 // milliseconds of its core a second
	maxQueuedJobs    = 64
	jobLeaseMs       = 10_000
	backoffMs        = 500
	maxRetryWaitMs   = 30_000
	priorityAgingMs  = 2000
)

// Runner runs jobs. New makes one.
type Runner struct {
	clock *clock.Clock
	log   zerolog.Logger

	mu        sync.Mutex // never held while a job runs
	scheduler *scheduler.Scheduler
	jobs      map[string]func()
	wake      chan struct{}
}

// New returns a runner without jobs; seed feeds the jitter of back-offs.
func New(c *clock.Clock, seed uint64, log zerolog.Logger) (*Runner, error) {
	s, err := scheduler.New(scheduler.Config{Resources: []scheduler.Resource{{Name: "core", RatePerSecond: coreBudgetMsPerS, BurstWindow: clock.Micros(1000)}}, MaxQueued: maxQueuedJobs, MaxRunning: 1,
		AttemptTimeout: clock.Micros(jobLeaseMs), InitialBackoff: clock.Micros(backoffMs), MaxBackoff: clock.Micros(maxRetryWaitMs), AgingInterval: clock.Micros(priorityAgingMs)}, clock.Micros(c.Now()), seed)
	if err != nil {
		return nil, fmt.Errorf("background: %w", err)
	}
	return &Runner{clock: c, log: log, scheduler: s, jobs: map[string]func(){}, wake: make(chan struct{}, 1)}, nil
}

// Submit queues a job of so many milliseconds, as far as that is known. One that waits or runs already under its id is not queued twice.
func (r *Runner) Submit(id string, p scheduler.Priority, costMs float64, run func()) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	over, err := r.scheduler.Submit(clock.Micros(r.clock.Now()), scheduler.Job{ID: id, Priority: p, Cost: []float64{costMs}, MaxAttempts: 3})
	for _, o := range over {
		delete(r.jobs, o.ID)
	}
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

// Every runs a job again and again, so many milliseconds after its last end, until the context ends. It is left out for once while the
// queue has no room for it.
func (r *Runner) Every(ctx context.Context, id string, ms float64, p scheduler.Priority, run func()) {
	var again func()
	again = func() {
		if ctx.Err() != nil {
			return
		}
		if err := r.Submit(id, p, 0, func() {
			run()
			r.clock.AfterFunc(ms, again)
		}); err != nil {
			r.clock.AfterFunc(ms, again)
		}
	}
	again()
}

// Run does what is due until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	for {
		r.mu.Lock()
		ready := r.scheduler.Step(clock.Micros(r.clock.Now()))
		for _, o := range ready.Abandoned {
			delete(r.jobs, o.ID)
		}
		r.mu.Unlock()
		for _, s := range ready.Start {
			r.attempt(s)
		}
		if len(ready.Start) > 0 {
			continue
		}
		wait := math.Inf(1)
		if ready.NextStep != math.MaxInt64 {
			wait = max(clock.Millis(ready.NextStep)-r.clock.Now(), 1)
		}
		rung, timer := r.clock.Alarm(min(wait, jobLeaseMs))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-r.wake:
		case <-rung:
		}
		timer.Stop()
	}
}

// attempt runs one job and books what it took.
func (r *Runner) attempt(s scheduler.Attempt) {
	r.mu.Lock()
	run := r.jobs[s.ID]
	r.mu.Unlock()
	began, how := r.clock.Now(), scheduler.Failed
	func() {
		defer func() {
			if p := recover(); p != nil { // a fault in work that can wait must not take the router down
				r.log.Error().Str("job", s.ID).Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).Msg("background job failed")
			}
		}()
		run()
		how = scheduler.Done
	}()
	r.mu.Lock()
	defer r.mu.Unlock()
	if how == scheduler.Done {
		delete(r.jobs, s.ID)
	}
	now := r.clock.Now()
	for _, o := range r.scheduler.Finish(clock.Micros(now), s.ID, s.Number, how, []float64{max(now-began, 0)}) {
		delete(r.jobs, o.ID)
	}
}
