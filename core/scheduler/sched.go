package scheduler

import (
	"cmp"
	"container/heap"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
)

// Priority ranks background work; a greater one goes first.
type Priority int

// The priorities.
const (
	Idle   Priority = iota // compaction, clean-up: whenever nothing else wants to
	Normal                 // warming, rebalancing
	High                   // catching up, what an operator waits for
	Urgent                 // purges
	priorityCount
)

// Job is a piece of background work, done in one or more attempts.
type Job struct {
	ID          string
	Priority    Priority
	Deadline    int64     // microseconds; 0: none. Work that can't begin in time is given up
	Cost        []float64 // of an attempt, by resource, as far as it is known
	MaxAttempts int       // attempts at most; 0: any number
}

// Config sets a scheduler up. Times are microseconds.
type Config struct {
	Resources      []Resource
	MaxQueued      int   // jobs that wait at most
	MaxRunning     int   // attempts out at once
	AttemptTimeout int64 // an attempt that has not ended by then counts as lost
	InitialBackoff int64 // before the second attempt; twice as much before each further one, with jitter
	MaxBackoff     int64 // greatest back-off
	AgingInterval  int64 // waiting for this long raises a job by one priority, so that none starves
	Tick           int64 // of the timing wheel; 1,000 if 0
}

// Resource is something that background work may take so much of a second.
type Resource struct {
	Name        string
	RatePerS    float64
	BurstWindow int64 // what is due in this may be taken at once
}

// Validate reports the first field that can't be used.
func (c *Config) Validate() error {
	for i, r := range c.Resources {
		if r.Name == "" || !(r.RatePerS >= 0) || math.IsInf(r.RatePerS, 1) || r.BurstWindow <= 0 {
			return fmt.Errorf("resources[%d]: needs a name, a rate of 0 or more, and a span above 0", i)
		}
	}
	switch {
	case c.MaxQueued < 1:
		return fmt.Errorf("mostQueue: %d is under 1", c.MaxQueued)
	case c.MaxRunning < 1:
		return fmt.Errorf("mostOut: %d is under 1", c.MaxRunning)
	case c.AttemptTimeout <= 0 || c.InitialBackoff <= 0 || c.MaxBackoff < c.InitialBackoff || c.AgingInterval <= 0 || c.Tick < 0:
		return errors.New("lease, backoff, patience: above 0; maxWait: backoff at least; tick: 0 or more")
	}
	return nil
}

// What Submit answers.
var (
	ErrQueueFull    = errors.New("queue full of work that matters as much")
	ErrDuplicateJob = errors.New("job is known already")
	ErrInvalidJob   = errors.New("job can't be used")
)

// Outcome is how an attempt ended.
type Outcome int

// The outcomes.
const (
	Done    Outcome = iota // the job is over
	Requeue                // the job goes on at once, as its budget allows: it has more to do
	Failed                 // another attempt after a back-off, if any are left
)

// Attempt is an attempt to be begun now.
type Attempt struct {
	ID       string
	Number   int // from 1
	Deadline int64
}

// Abandoned is a job that ended without being done.
type Abandoned struct {
	ID     string
	Reason string // "deadline", "tries", "room"
}

// Ready is what is to be done after a step.
type Ready struct {
	Start     []Attempt
	Abandoned []Abandoned
	NextStep  int64 // call Step at that time at the latest; math.MaxInt64: no need
}

type state int8

const (
	stateQueued     state = iota // in its priority's queue
	stateBackingOff              // until its back-off is over
	stateRunning
)

type job struct {
	Job
	state     state
	rank      Priority // with what waiting has added
	queuedAt  int64    // when it began to wait at that rank
	seq       uint64
	attempt   int
	heapIndex int // in the heap
	timer     Handle
	timerKey  uint64
	charged   []float64 // of the budgets, for the attempt that is out
}

// queue holds the waiting jobs of one rank: earliest deadline first, then first come.
type queue []*job

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	a, b := q[i], q[j]
	return cmp.Or(cmp.Compare(cmp.Or(a.Deadline, math.MaxInt64), cmp.Or(b.Deadline, math.MaxInt64)), cmp.Compare(a.seq, b.seq)) < 0
}
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}
func (q *queue) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(*q)
	*q = append(*q, j)
}
func (q *queue) Pop() any {
	n := len(*q) - 1
	j := (*q)[n]
	(*q)[n] = nil
	*q = (*q)[:n]
	return j
}

// Scheduler decides which background work begins when. Work of a higher rank goes first, within a rank the earliest deadline; an
// attempt begins when every resource that it takes has something left, and what it takes more than that is paid back before the
// next one begins, so that over any time a resource gives no more than its rate times the time, its span and one attempt.
type Scheduler struct {
	config         Config
	rng            *rand.Rand
	now            int64
	jobs           map[string]*job
	byTimerKey     map[uint64]*job // by the number that timers carry
	lastTimerKey   uint64
	lastSeq        uint64
	queues         [priorityCount]queue
	wheel          *Wheel
	tokens         []float64 // by resource
	budgetFraction float64
	running        int
	queued         int
}

// New returns a scheduler that stands at now.
func New(cfg Config, now int64, seed uint64) (*Scheduler, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	s := &Scheduler{config: cfg, rng: rand.New(rand.NewPCG(seed, 0x5c4ed)), now: now, jobs: map[string]*job{}, byTimerKey: map[uint64]*job{},
		wheel: NewWheel(now, cmp.Or(cfg.Tick, 1000)), tokens: make([]float64, len(cfg.Resources)), budgetFraction: 1}
	for i, r := range cfg.Resources {
		s.tokens[i] = r.RatePerS / 1e6 * float64(r.BurstWindow)
	}
	return s, nil
}

// SetBudgetFraction sets the part of its budgets that background work may use, 0 to 1: less when foreground work is late.
func (s *Scheduler) SetBudgetFraction(now int64, part float64) {
	s.refill(now)
	s.budgetFraction = min(max(part, 0), 1)
}

// Submit queues a job. A full queue makes room only by giving up a job of a lower priority.
func (s *Scheduler) Submit(now int64, j Job) ([]Abandoned, error) {
	s.refill(now)
	if j.ID == "" || j.Priority < 0 || j.Priority >= priorityCount || len(j.Cost) != len(s.config.Resources) || j.MaxAttempts < 0 {
		return nil, fmt.Errorf("%w: id, priority, one cost for each resource, tries", ErrInvalidJob)
	}
	for _, c := range j.Cost {
		if !(c >= 0) || math.IsInf(c, 1) {
			return nil, fmt.Errorf("%w: cost %v", ErrInvalidJob, c)
		}
	}
	if s.jobs[j.ID] != nil {
		return nil, ErrDuplicateJob
	}
	var over []Abandoned
	if s.queued >= s.config.MaxQueued {
		victim := s.evictionCandidate(j.Priority)
		if victim == nil {
			return nil, ErrQueueFull
		}
		over = append(over, Abandoned{victim.ID, "room"})
		s.remove(victim)
	}
	s.lastTimerKey++
	n := &job{Job: j, timerKey: s.lastTimerKey, charged: make([]float64, len(j.Cost))}
	s.jobs[j.ID], s.byTimerKey[n.timerKey] = n, n
	s.enqueue(n, j.Priority)
	return over, nil
}

// evictionCandidate is the last waiting job of the lowest priority under one; nil if there is none.
func (s *Scheduler) evictionCandidate(under Priority) (victim *job) {
	for rank := range s.queues {
		for _, j := range s.queues[rank] {
			if j.Priority < under && (victim == nil || j.Priority < victim.Priority || j.Priority == victim.Priority && j.seq > victim.seq) {
				victim = j
			}
		}
	}
	return victim
}

// Cancel takes a job back; an attempt that is out is no longer waited for.
func (s *Scheduler) Cancel(now int64, id string) bool {
	s.refill(now)
	j := s.jobs[id]
	if j != nil {
		s.remove(j)
	}
	return j != nil
}

// Finish tells how an attempt ended and what it took. One that is not out, or another attempt than the one that is, is ignored: its
// lease ran out before.
func (s *Scheduler) Finish(now int64, id string, attempt int, how Outcome, used []float64) []Abandoned {
	s.refill(now)
	j := s.jobs[id]
	if j == nil || j.state != stateRunning || j.attempt != attempt {
		return nil
	}
	for i := range s.tokens {
		if i < len(used) && used[i] >= 0 && !math.IsInf(used[i], 1) {
			s.tokens[i] = min(s.tokens[i]+j.charged[i]-used[i], s.burst(i))
		}
	}
	switch how {
	case Done:
		s.remove(j)
	case Requeue:
		s.endAttempt(j)
		j.attempt-- // it went well: it does not count
		s.enqueue(j, j.Priority)
	default:
		return s.retryOrAbandon(j)
	}
	return nil
}

func (s *Scheduler) retryOrAbandon(j *job) []Abandoned {
	s.endAttempt(j)
	if j.MaxAttempts > 0 && j.attempt >= j.MaxAttempts {
		s.remove(j)
		return []Abandoned{{j.ID, "tries"}}
	}
	wait := math.Min(float64(s.config.InitialBackoff)*math.Exp2(float64(j.attempt-1)), float64(s.config.MaxBackoff))
	j.state = stateBackingOff
	j.timer = s.wheel.Add(s.now+int64(wait*(0.5+0.5*s.rng.Float64())), j.timerKey)
	return nil
}

// endAttempt takes an attempt that is out off the books.
func (s *Scheduler) endAttempt(j *job) {
	s.wheel.Cancel(j.timer)
	s.running--
}

func (s *Scheduler) remove(j *job) {
	switch j.state {
	case stateQueued:
		heap.Remove(&s.queues[j.rank], j.heapIndex)
		s.queued--
		s.wheel.Cancel(j.timer)
	case stateBackingOff:
		s.wheel.Cancel(j.timer)
	case stateRunning:
		s.endAttempt(j)
	}
	delete(s.jobs, j.ID)
	delete(s.byTimerKey, j.timerKey)
}

// enqueue queues a job at a rank; the timer raises it in the end, or gives it up at its deadline.
func (s *Scheduler) enqueue(j *job, rank Priority) {
	s.lastSeq++
	j.state, j.rank, j.queuedAt, j.seq = stateQueued, rank, s.now, s.lastSeq
	heap.Push(&s.queues[rank], j)
	s.queued++
	s.setQueueTimer(j)
}

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

func (s *Scheduler) burst(i int) float64 {
	return s.config.Resources[i].RatePerS / 1e6 * float64(s.config.Resources[i].BurstWindow)
}

// refill fills the budgets up to now.
func (s *Scheduler) refill(now int64) {
	if now <= s.now {
		return
	}
	for i, r := range s.config.Resources {
		s.tokens[i] = min(s.tokens[i]+s.budgetFraction*r.RatePerS/1e6*float64(now-s.now), s.burst(i))
	}
	s.now = now
}

// Step lets time pass and begins what may begin.
func (s *Scheduler) Step(now int64) (r Ready) {
	s.refill(now)
	s.wheel.Advance(s.now, func(num uint64, _ int64) {
		j := s.byTimerKey[num]
		if j == nil {
			return
		}
		switch j.state {
		case stateRunning: // its lease is over
			j.timer = Handle{}
			r.Abandoned = append(r.Abandoned, s.retryOrAbandon(j)...)
		case stateBackingOff:
			s.enqueue(j, j.Priority)
		case stateQueued:
			if j.Deadline > 0 && s.now >= j.Deadline {
				s.remove(j)
				r.Abandoned = append(r.Abandoned, Abandoned{j.ID, "deadline"})
				return
			}
			heap.Remove(&s.queues[j.rank], j.heapIndex)
			s.queued--
			s.enqueue(j, min(j.rank+1, priorityCount-1))
		}
	})
	r.NextStep = s.wheel.Next()
	for rank := priorityCount - 1; rank >= 0; rank-- {
		for len(s.queues[rank]) > 0 && s.running < s.config.MaxRunning {
			j := s.queues[rank][0]
			if when := s.affordableAt(j); when > s.now {
				// What is ahead is not overtaken by what takes the same things, or large work would never come up.
				r.NextStep = min(r.NextStep, when)
				return r
			}
			s.start(j)
			r.Start = append(r.Start, Attempt{j.ID, j.attempt, s.now + s.config.AttemptTimeout})
		}
	}
	return r
}

// affordableAt is when every resource that a job takes has something left.
func (s *Scheduler) affordableAt(j *job) int64 {
	when := s.now
	for i, r := range s.config.Resources {
		if j.Cost[i] == 0 || s.tokens[i] > 0 {
			continue
		}
		rate := s.budgetFraction * r.RatePerS / 1e6
		if rate == 0 {
			return math.MaxInt64
		}
		when = max(when, s.now+int64(-s.tokens[i]/rate)+1)
	}
	return when
}

func (s *Scheduler) start(j *job) {
	heap.Remove(&s.queues[j.rank], j.heapIndex)
	s.queued--
	s.wheel.Cancel(j.timer)
	copy(j.charged, j.Cost)
	for i, c := range j.Cost {
		s.tokens[i] -= c
	}
	j.state = stateRunning
	j.attempt++
	s.running++
	j.timer = s.wheel.Add(s.now+s.config.AttemptTimeout, j.timerKey)
}

// Counts is how many jobs wait, rest, and are out.
func (s *Scheduler) Counts() (wait, rest, running int) {
	return s.queued, len(s.jobs) - s.queued - s.running, s.running
}
