package scheduler

import (
	"cmp"
	"errors"
	"fmt"
	"math"
)

// Priority ranks background jobs; a greater one goes first.
type Priority int

// The priorities.
const (
	Idle   Priority = iota // compaction, clean-up: whenever nothing else waits
	Normal                 // warming, rebalancing
	High                   // catching up, what an operator waits for
	Urgent                 // purges
	priorityCount
)

// Job is a piece of background work, done in one or more attempts.
type Job struct {
	ID          string
	Priority    Priority
	Deadline    int64     // microseconds; a job that can't begin by then is abandoned; 0: none
	Cost        []float64 // of an attempt, by resource, as far as it is known
	MaxAttempts int       // 0: any number
}

// The errors of Submit.
var (
	ErrQueueFull    = errors.New("queue is full of jobs of the same or a higher priority")
	ErrDuplicateJob = errors.New("a job of this ID is queued or runs already")
	// ErrInvalidJob is wrapped by errors that name the field of the job.
	ErrInvalidJob = errors.New("invalid job")
)

// validate returns the first fault of a job under a configuration of so many resources.
func (j *Job) validate(resources int) error {
	switch {
	case j.ID == "":
		return fmt.Errorf("%w: no ID", ErrInvalidJob)
	case j.Priority < 0 || j.Priority >= priorityCount:
		return fmt.Errorf("%w: %s: priority %d", ErrInvalidJob, j.ID, j.Priority)
	case len(j.Cost) != resources:
		return fmt.Errorf("%w: %s: %d costs for %d resources", ErrInvalidJob, j.ID, len(j.Cost), resources)
	case j.MaxAttempts < 0:
		return fmt.Errorf("%w: %s: %d attempts at most", ErrInvalidJob, j.ID, j.MaxAttempts)
	}
	for _, cost := range j.Cost {
		if !(cost >= 0) || math.IsInf(cost, 1) {
			return fmt.Errorf("%w: %s: cost %v", ErrInvalidJob, j.ID, cost)
		}
	}
	return nil
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes.
const (
	Done    Outcome = iota // the job is over
	Requeue                // the job has more to do and goes on at once, as its budget allows
	Failed                 // another attempt after a backoff, if any are left
)

// Attempt is one to be begun now.
type Attempt struct {
	ID       string // of the job
	Number   int    // from 1
	Deadline int64  // by which it must end
}

// AbandonReason is why a job ended without being done.
type AbandonReason int

// The reasons.
const (
	DeadlinePassed    AbandonReason = iota // it did not begin in time
	AttemptsExhausted                      // its last attempt failed
	Evicted                                // the queue was full, and a job of a higher priority came
)

var abandonReasonNames = []string{"deadline", "attempts", "evicted"}

// String returns a word for the reason.
func (r AbandonReason) String() string { return abandonReasonNames[r] }

// Abandoned is a job that ended without being done.
type Abandoned struct {
	ID     string
	Reason AbandonReason
}

// Ready is what is to be done after a step.
type Ready struct {
	Start     []Attempt
	Abandoned []Abandoned
	NextStep  int64 // call Step at that time at the latest; math.MaxInt64: no need
}

// jobState is where a job stands.
type jobState int8

const (
	stateQueued     jobState = iota // in the queue of its rank
	stateBackingOff                 // until its timer fires
	stateRunning                    // an attempt runs
)

// job is a Job and what the scheduler knows of it.
type job struct {
	Job
	state     jobState
	rank      Priority // its priority, and what waiting has added
	queuedAt  int64    // when it was queued at that rank
	seq       uint64   // order in which jobs were queued
	heapIndex int      // in the queue of its rank
	attempt   int      // number of the last one, from 1
	timer     Handle   // its one timer, by state: aging or deadline, backoff, attempt timeout
	timerKey  uint64   // that the timer carries
	charged   []float64
}

// evictedBefore reports whether j is evicted rather than other: the lower priority, then the one queued last.
func (j *job) evictedBefore(other *job) bool {
	return j.Priority < other.Priority || j.Priority == other.Priority && j.seq > other.seq
}

// queue is a heap of the queued jobs of one rank: earliest deadline first, then first come.
type queue []*job

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool {
	a, b := q[i], q[j]
	byDeadline := cmp.Compare(cmp.Or(a.Deadline, math.MaxInt64), cmp.Or(b.Deadline, math.MaxInt64))
	return cmp.Or(byDeadline, cmp.Compare(a.seq, b.seq)) < 0
}

// Swap implements heap.Interface, and keeps each job's heapIndex.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex = i
	q[j].heapIndex = j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(*q)
	*q = append(*q, j)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	j := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return j
}
