package scheduler

import (
	"cmp"
	"errors"
	"fmt"
	"math"
)

// Priority is the priority of a background job. Jobs of higher priority start first, but see Config.AgingInterval.
type Priority int

// Priorities of jobs, lowest first.
const (
	Idle   Priority = iota // compaction, clean-up; these jobs start after all others until aging raises their rank
	Normal                 // warm-up, rebalancing
	High                   // overdue work, jobs that an operator waits for
	Urgent                 // purges
	priorityCount
)

// Job is a background job. It takes one or more attempts.
type Job struct {
	ID          string
	Priority    Priority
	Deadline    int64     // microseconds; a job still queued at that time is abandoned; 0: none
	Cost        []float64 // estimated cost of an attempt, by resource
	MaxAttempts int       // 0: unlimited
}

// Errors of Submit.
var (
	ErrQueueFull    = errors.New("queue is full and has no job with a lower priority")
	ErrDuplicateJob = errors.New("a job with this ID already exists")
	// ErrInvalidJob is wrapped by errors for an invalid field of the job. Their text names the field.
	ErrInvalidJob = errors.New("invalid job")
)

// validate returns an error for the first invalid field of the job, or nil. resources is the number of resources.
func (j *Job) validate(resources int) error {
	switch {
	case j.ID == "":
		return fmt.Errorf("%w: ID is empty", ErrInvalidJob)
	case j.Priority < 0 || j.Priority >= priorityCount:
		return fmt.Errorf("%w: %s: unknown priority %d", ErrInvalidJob, j.ID, j.Priority)
	case len(j.Cost) != resources:
		return fmt.Errorf("%w: %s: %d costs for %d resources", ErrInvalidJob, j.ID, len(j.Cost), resources)
	case j.MaxAttempts < 0:
		return fmt.Errorf("%w: %s: maximum of %d attempts is less than 0", ErrInvalidJob, j.ID, j.MaxAttempts)
	}
	for _, cost := range j.Cost {
		if !(cost >= 0) || math.IsInf(cost, 1) {
			return fmt.Errorf("%w: %s: cost %v is not a finite number of 0 or more", ErrInvalidJob, j.ID, cost)
		}
	}
	return nil
}

// Outcome is the result of an attempt.
type Outcome int

// Outcomes of an attempt.
const (
	Done    Outcome = iota // the job is done
	Requeue                // the job has more to do and is queued again without a backoff
	Failed                 // the job is retried after a backoff, if it has attempts left
)

// Attempt is an attempt that the caller is to start now.
type Attempt struct {
	ID       string // of the job
	Number   int    // from 1; the number of an attempt that ended with Requeue is used again
	Deadline int64  // microseconds; the attempt has failed if it has not ended by then
}

// AbandonReason is the reason why a job was abandoned.
type AbandonReason int

// Reasons for abandoning a job.
const (
	DeadlinePassed    AbandonReason = iota // the job was still queued at its deadline
	AttemptsExhausted                      // the last attempt failed
	Evicted                                // the queue was full and a job of a higher priority was submitted
)

var abandonReasonNames = []string{"deadline passed", "attempts exhausted", "evicted"}

// String returns the reason as a text for logs and test output.
func (r AbandonReason) String() string { return abandonReasonNames[r] }

// Abandoned is a job that was removed without being done.
type Abandoned struct {
	ID     string
	Reason AbandonReason
}

// StepResult has the attempts that are to start after a step, and the jobs that it abandoned.
type StepResult struct {
	Start     []Attempt   // attempts to start now, in this order
	Abandoned []Abandoned // jobs abandoned in this step
	NextStep  int64       // time at which Step must be called again, at the latest; math.MaxInt64: no need
}

// jobState is the state of a job.
type jobState int8

const (
	stateQueued     jobState = iota // in the queue of its rank
	stateBackingOff                 // waits for its timer before the next attempt
	stateRunning                    // an attempt is running
)

// job is a Job with its state in the scheduler.
type job struct {
	Job
	state     jobState
	rank      Priority  // effective priority: the job's priority, raised by aging
	queuedAt  int64     // when it was queued with that rank
	seq       uint64    // sequence number, in the order of queueing
	heapIndex int       // index in the queue of its rank
	attempt   int       // number of the last attempt, from 1
	timer     Handle    // the job's only timer: aging or deadline, backoff, or attempt timeout, by state
	timerKey  uint64    // payload of the timer
	charged   []float64 // cost charged for the last attempt, by resource
}

// evictedBefore reports whether j is evicted before other: lower priority first, then the job that entered its present
// queue last.
func (j *job) evictedBefore(other *job) bool {
	return j.Priority < other.Priority || j.Priority == other.Priority && j.seq > other.seq
}

// queue is a heap of the queued jobs of one rank: earliest deadline first, then in the order of queueing.
type queue []*job

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool {
	a, b := q[i], q[j]
	byDeadline := cmp.Compare(cmp.Or(a.Deadline, math.MaxInt64), cmp.Or(b.Deadline, math.MaxInt64))
	return cmp.Or(byDeadline, cmp.Compare(a.seq, b.seq)) < 0
}

// Swap implements heap.Interface. It updates heapIndex of both jobs.
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
