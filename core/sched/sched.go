package sched

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
	Steady                 // warming, rebalancing
	Prompt                 // catching up, what an operator waits for
	Urgent                 // purges
	priorities
)

// Job is a piece of background work, done in one or more attempts.
type Job struct {
	ID       string
	Priority Priority
	Deadline int64     // microseconds; 0: none. Work that can't begin in time is given up
	Cost     []float64 // of an attempt, by resource, as far as it is known
	Tries    int       // attempts at most; 0: any number
}

// Config sets a scheduler up. Times are microseconds.
type Config struct {
	Resources []Resource
	MostQueue int   // jobs that wait at most
	MostOut   int   // attempts out at once
	Lease     int64 // an attempt that has not ended by then counts as lost
	Backoff   int64 // before the second attempt; twice as much before each further one, with jitter
	MaxWait   int64 // greatest back-off
	Patience  int64 // waiting for this long raises a job by one priority, so that none starves
	Tick      int64 // of the timing wheel; 1,000 if 0
}

// Resource is something that background work may take so much of a second.
type Resource struct {
	Name string
	PerS float64
	Span int64 // what is due in this may be taken at once
}

// Check reports the first field that can't be used.
func (c *Config) Check() error {
	for i, r := range c.Resources {
		if r.Name == "" || !(r.PerS >= 0) || math.IsInf(r.PerS, 1) || r.Span <= 0 {
			return fmt.Errorf("resources[%d]: needs a name, a rate of 0 or more, and a span above 0", i)
		}
	}
	switch {
	case c.MostQueue < 1:
		return fmt.Errorf("mostQueue: %d is under 1", c.MostQueue)
	case c.MostOut < 1:
		return fmt.Errorf("mostOut: %d is under 1", c.MostOut)
	case c.Lease <= 0 || c.Backoff <= 0 || c.MaxWait < c.Backoff || c.Patience <= 0 || c.Tick < 0:
		return errors.New("lease, backoff, patience: above 0; maxWait: backoff at least; tick: 0 or more")
	}
	return nil
}

// What Submit answers.
var (
	ErrFull  = errors.New("queue full of work that matters as much")
	ErrKnown = errors.New("job is known already")
	ErrJob   = errors.New("job can't be used")
)

// Outcome is how an attempt ended.
type Outcome int

// The outcomes.
const (
	Done  Outcome = iota // the job is over
	Again                // the job goes on at once, as its budget allows: it has more to do
	Fail                 // another attempt after a back-off, if any are left
)

// Start is an attempt to be begun now.
type Start struct {
	ID      string
	Attempt int // from 1
	Lease   int64
}

// Over is a job that ended without being done.
type Over struct {
	ID  string
	Why string // "deadline", "tries", "room"
}

// Ready is what is to be done after a step.
type Ready struct {
	Start []Start
	Over  []Over
	Next  int64 // call Step at that time at the latest; math.MaxInt64: no need
}

type state int8

const (
	waiting state = iota // in its priority's queue
	resting              // until its back-off is over
	out
)

type job struct {
	Job
	state   state
	rank    Priority // with what waiting has added
	since   int64    // when it began to wait at that rank
	seq     uint64
	attempt int
	at      int // in the heap
	timer   Handle
	num     uint64
	taken   []float64 // of the budgets, for the attempt that is out
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
	q[i].at, q[j].at = i, j
}
func (q *queue) Push(x any) {
	j := x.(*job)
	j.at = len(*q)
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
	cfg     Config
	rng     *rand.Rand
	now     int64
	jobs    map[string]*job
	byNum   map[uint64]*job // by the number that timers carry
	num     uint64
	seq     uint64
	queues  [priorities]queue
	wheel   *Wheel
	level   []float64 // by resource
	press   float64
	out     int
	waiting int
}

// New returns a scheduler that stands at now.
func New(cfg Config, now int64, seed uint64) (*Scheduler, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	s := &Scheduler{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x5c4ed)), now: now, jobs: map[string]*job{}, byNum: map[uint64]*job{},
		wheel: NewWheel(now, cmp.Or(cfg.Tick, 1000)), level: make([]float64, len(cfg.Resources)), press: 1}
	for i, r := range cfg.Resources {
		s.level[i] = r.PerS / 1e6 * float64(r.Span)
	}
	return s, nil
}

// Press sets the part of its budgets that background work may use, 0 to 1: less when foreground work is late.
func (s *Scheduler) Press(now int64, part float64) {
	s.pass(now)
	s.press = min(max(part, 0), 1)
}

// Submit queues a job. A full queue makes room only by giving up a job of a lower priority.
func (s *Scheduler) Submit(now int64, j Job) ([]Over, error) {
	s.pass(now)
	if j.ID == "" || j.Priority < 0 || j.Priority >= priorities || len(j.Cost) != len(s.cfg.Resources) || j.Tries < 0 {
		return nil, fmt.Errorf("%w: id, priority, one cost for each resource, tries", ErrJob)
	}
	for _, c := range j.Cost {
		if !(c >= 0) || math.IsInf(c, 1) {
			return nil, fmt.Errorf("%w: cost %v", ErrJob, c)
		}
	}
	if s.jobs[j.ID] != nil {
		return nil, ErrKnown
	}
	var over []Over
	if s.waiting >= s.cfg.MostQueue {
		victim := s.least(j.Priority)
		if victim == nil {
			return nil, ErrFull
		}
		over = append(over, Over{victim.ID, "room"})
		s.forget(victim)
	}
	s.num++
	n := &job{Job: j, num: s.num, taken: make([]float64, len(j.Cost))}
	s.jobs[j.ID], s.byNum[n.num] = n, n
	s.wait(n, j.Priority)
	return over, nil
}

// least is the last waiting job of the lowest priority under one; nil if there is none.
func (s *Scheduler) least(under Priority) (victim *job) {
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
	s.pass(now)
	j := s.jobs[id]
	if j != nil {
		s.forget(j)
	}
	return j != nil
}

// End tells how an attempt ended and what it took. One that is not out, or another attempt than the one that is, is ignored: its
// lease ran out before.
func (s *Scheduler) End(now int64, id string, attempt int, how Outcome, used []float64) []Over {
	s.pass(now)
	j := s.jobs[id]
	if j == nil || j.state != out || j.attempt != attempt {
		return nil
	}
	for i := range s.level {
		if i < len(used) && used[i] >= 0 && !math.IsInf(used[i], 1) {
			s.level[i] = min(s.level[i]+j.taken[i]-used[i], s.depth(i))
		}
	}
	switch how {
	case Done:
		s.forget(j)
	case Again:
		s.leave(j)
		j.attempt-- // it went well: it does not count
		s.wait(j, j.Priority)
	default:
		return s.failed(j)
	}
	return nil
}

func (s *Scheduler) failed(j *job) []Over {
	s.leave(j)
	if j.Tries > 0 && j.attempt >= j.Tries {
		s.forget(j)
		return []Over{{j.ID, "tries"}}
	}
	wait := math.Min(float64(s.cfg.Backoff)*math.Exp2(float64(j.attempt-1)), float64(s.cfg.MaxWait))
	j.state = resting
	j.timer = s.wheel.Add(s.now+int64(wait*(0.5+0.5*s.rng.Float64())), j.num)
	return nil
}

// leave takes an attempt that is out off the books.
func (s *Scheduler) leave(j *job) {
	s.wheel.Cancel(j.timer)
	s.out--
}

func (s *Scheduler) forget(j *job) {
	switch j.state {
	case waiting:
		heap.Remove(&s.queues[j.rank], j.at)
		s.waiting--
		s.wheel.Cancel(j.timer)
	case resting:
		s.wheel.Cancel(j.timer)
	case out:
		s.leave(j)
	}
	delete(s.jobs, j.ID)
	delete(s.byNum, j.num)
}

// wait queues a job at a rank; the timer raises it in the end, or gives it up at its deadline.
func (s *Scheduler) wait(j *job, rank Priority) {
	s.seq++
	j.state, j.rank, j.since, j.seq = waiting, rank, s.now, s.seq
	heap.Push(&s.queues[rank], j)
	s.waiting++
	s.watch(j)
}

func (s *Scheduler) watch(j *job) {
	due := int64(math.MaxInt64)
	if j.rank < priorities-1 {
		due = j.since + s.cfg.Patience
	}
	if j.Deadline > 0 {
		due = min(due, j.Deadline)
	}
	j.timer = Handle{}
	if due != math.MaxInt64 {
		j.timer = s.wheel.Add(due, j.num)
	}
}

func (s *Scheduler) depth(i int) float64 {
	return s.cfg.Resources[i].PerS / 1e6 * float64(s.cfg.Resources[i].Span)
}

// pass fills the budgets up to now.
func (s *Scheduler) pass(now int64) {
	if now <= s.now {
		return
	}
	for i, r := range s.cfg.Resources {
		s.level[i] = min(s.level[i]+s.press*r.PerS/1e6*float64(now-s.now), s.depth(i))
	}
	s.now = now
}

// Step lets time pass and begins what may begin.
func (s *Scheduler) Step(now int64) (r Ready) {
	s.pass(now)
	s.wheel.Advance(s.now, func(num uint64, _ int64) {
		j := s.byNum[num]
		if j == nil {
			return
		}
		switch j.state {
		case out: // its lease is over
			j.timer = Handle{}
			r.Over = append(r.Over, s.failed(j)...)
		case resting:
			s.wait(j, j.Priority)
		case waiting:
			if j.Deadline > 0 && s.now >= j.Deadline {
				s.forget(j)
				r.Over = append(r.Over, Over{j.ID, "deadline"})
				return
			}
			heap.Remove(&s.queues[j.rank], j.at)
			s.waiting--
			s.wait(j, min(j.rank+1, priorities-1))
		}
	})
	r.Next = s.wheel.Next()
	for rank := priorities - 1; rank >= 0; rank-- {
		for len(s.queues[rank]) > 0 && s.out < s.cfg.MostOut {
			j := s.queues[rank][0]
			if when := s.affordable(j); when > s.now {
				// What is ahead is not overtaken by what takes the same things, or large work would never come up.
				r.Next = min(r.Next, when)
				return r
			}
			s.begin(j)
			r.Start = append(r.Start, Start{j.ID, j.attempt, s.now + s.cfg.Lease})
		}
	}
	return r
}

// affordable is when every resource that a job takes has something left.
func (s *Scheduler) affordable(j *job) int64 {
	when := s.now
	for i, r := range s.cfg.Resources {
		if j.Cost[i] == 0 || s.level[i] > 0 {
			continue
		}
		rate := s.press * r.PerS / 1e6
		if rate == 0 {
			return math.MaxInt64
		}
		when = max(when, s.now+int64(-s.level[i]/rate)+1)
	}
	return when
}

func (s *Scheduler) begin(j *job) {
	heap.Remove(&s.queues[j.rank], j.at)
	s.waiting--
	s.wheel.Cancel(j.timer)
	copy(j.taken, j.Cost)
	for i, c := range j.Cost {
		s.level[i] -= c
	}
	j.state = out
	j.attempt++
	s.out++
	j.timer = s.wheel.Add(s.now+s.cfg.Lease, j.num)
}

// Len is how many jobs wait, rest, and are out.
func (s *Scheduler) Len() (wait, rest, running int) {
	return s.waiting, len(s.jobs) - s.waiting - s.out, s.out
}
