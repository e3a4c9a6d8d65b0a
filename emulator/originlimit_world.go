package emulator

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"

	"spantack/core/originlimit"
)

// never is a time after the end of every run.
const never = math.MaxInt64

// trialFill is a fill in flight. The origin shares its throughput evenly among the fills in flight.
type trialFill struct {
	endWork   float64 // value of workDone at which the fill ends
	id        int64   // starts at 1
	router    int
	sentAt    int64
	operation int
	heapIndex int
}

// trialOperation is one operation of a client in an OriginLimitTrial.
type trialOperation struct {
	startedAt int64
	attempts  int
	isReport  bool
	served    bool
}

// originLimitWorld is the state of a running OriginLimitTrial.
type originLimitWorld struct {
	OriginLimitTrial
	now    int64
	random *rand.Rand
	events eventQueue // timeouts (value: the fill) and retries (value: 0); target: operation

	limits    []*originlimit.Limit // by router; nil: none
	failed    []bool               // by router
	failureAt int64

	operations []trialOperation
	arrivalAt  int64 // arrival time of the next operation
	fills      fillHeap
	fillsByID  map[int64]*trialFill
	lastFillID int64
	workDone   float64 // work that a fill would have received if in flight since the start of the trial; a fill needs 1

	result             OriginLimitResult
	servedBySecond     []int64 // served operations, by the second in which they started
	operationsBySecond []int64
	maxInFlight        []int // maximum number of fills, by sampling interval
}

// inFlightSamplesPerSecond is the number of intervals per second for which maxInFlight is recorded.
const inFlightSamplesPerSecond = 10

// trialStep is the kind of a step in a trial.
type trialStep uint8

const (
	stepArrival  trialStep = iota // an operation starts
	stepEvent                     // a retry or a timeout
	stepFillEnd                   // the origin has completed a fill
	stepCapacity                  // the origin's capacity changes
	stepFailure                   // routers fail
)

// run executes the trial to its end.
func (w *originLimitWorld) run() {
	end := fromSeconds(w.DurationSeconds)
	w.arrivalAt = w.arrivalGap()
	for {
		at, step := w.nextStep()
		if at >= end {
			return
		}
		w.advance(at)
		switch step {
		case stepArrival:
			w.handleArrival()
		case stepEvent:
			w.handleEvent()
		case stepFillEnd:
			w.endFill(heap.Pop(&w.fills).(*trialFill), false)
		case stepFailure:
			w.failureAt = never
			w.failRouters(int(w.FailedFraction * float64(w.Routers)))
		case stepCapacity: // nothing to do: speed derives the capacity from the time
		}
	}
}

// nextStep returns the next step and its time. If several steps are due at the same time, the one with the lower
// trialStep comes first.
func (w *originLimitWorld) nextStep() (at int64, step trialStep) {
	at, step = w.arrivalAt, stepArrival
	if len(w.events.heap) > 0 && w.events.heap[0].time < at {
		at, step = w.events.heap[0].time, stepEvent
	}
	if fillEnd := w.nextFillEnd(); fillEnd < at {
		at, step = fillEnd, stepFillEnd
	}
	if change := w.nextCapacityChange(); change < at {
		at, step = change, stepCapacity
	}
	if w.failureAt < at {
		at, step = w.failureAt, stepFailure
	}
	return at, step
}

// nextCapacityChange returns the next start or end of the brownout, or never.
func (w *originLimitWorld) nextCapacityChange() int64 {
	if w.BrownoutDurationSeconds <= 0 {
		return never
	}
	if start := fromSeconds(w.BrownoutStartSeconds); start > w.now {
		return start
	}
	if end := fromSeconds(w.BrownoutStartSeconds + w.BrownoutDurationSeconds); end > w.now {
		return end
	}
	return never
}

// nextFillEnd returns the time at which the next fill will end if no other event happens first, or never if no fill is
// in flight.
func (w *originLimitWorld) nextFillEnd() int64 {
	if len(w.fills) == 0 {
		return never
	}
	work := max(w.fills[0].endWork-w.workDone, 0)
	return w.now + int64(math.Ceil(work/w.speed()))
}

// speed returns the work done for each fill in flight per microsecond. A fill needs a work of 1.
func (w *originLimitWorld) speed() float64 {
	inFlight := float64(len(w.fills))
	if inFlight == 0 {
		return 0
	}
	perSecond := w.OriginPerSecond
	if w.isBrownout() {
		perSecond *= w.BrownoutCapacity
	}
	if inFlight > w.Knee {
		perSecond /= 1 + w.SlowdownFactor*(inFlight/w.Knee-1)
	}
	return perSecond / max(inFlight, w.Knee) / float64(second) // below the knee the speed of a fill is constant
}

func (w *originLimitWorld) isBrownout() bool {
	now := toSeconds(w.now)
	end := w.BrownoutStartSeconds + w.BrownoutDurationSeconds
	return w.BrownoutDurationSeconds > 0 && now >= w.BrownoutStartSeconds && now < end
}

// advance moves the time forward. No step may be due before until.
func (w *originLimitWorld) advance(until int64) {
	w.workDone += w.speed() * float64(until-w.now)
	w.now = until
}

// arrivalGap returns a random, exponentially distributed time until the next operation.
func (w *originLimitWorld) arrivalGap() int64 {
	return fromSeconds(w.random.ExpFloat64() / w.FillsPerSecond)
}

// handleArrival starts an operation and sets the time of the next one.
func (w *originLimitWorld) handleArrival() {
	isReport := w.random.Float64() < w.ReportFraction
	w.operations = append(w.operations, trialOperation{startedAt: w.now, isReport: isReport})
	w.operationsBySecond[w.now/second]++
	w.attempt(len(w.operations) - 1)
	w.arrivalAt = w.now + w.arrivalGap()
}

// handleEvent handles the retry of a client or the timeout of a fill.
func (w *originLimitWorld) handleEvent() {
	e := w.events.pop()
	if e.value == 0 {
		w.attempt(int(e.target))
		return
	}
	if fill := w.fillsByID[e.value]; fill != nil {
		heap.Remove(&w.fills, fill.heapIndex)
		w.endFill(fill, true)
	}
}

// attempt sends a client's request to a random router that has not failed. The router sends a fill to the origin or
// rejects the request.
func (w *originLimitWorld) attempt(id int) {
	operation := &w.operations[id]
	operation.attempts++
	router := w.random.IntN(w.Routers)
	for w.failed[router] {
		router = w.random.IntN(w.Routers)
	}
	if limit := w.limits[router]; limit != nil {
		if !limit.Allows(operation.isReport, w.random.Float64()) {
			w.count(&w.result.Rejected, operation)
			w.retry(id)
			return
		}
		limit.Acquire()
	}
	w.count(&w.result.Sent, operation)
	w.sendFill(id, router)
}

// sendFill sends a fill to the origin, and schedules its timeout.
func (w *originLimitWorld) sendFill(operation, router int) {
	w.lastFillID++
	fill := &trialFill{
		endWork:   w.workDone + 1,
		id:        w.lastFillID,
		router:    router,
		sentAt:    w.now,
		operation: operation,
	}
	w.fillsByID[fill.id] = fill
	heap.Push(&w.fills, fill)
	w.events.push(event{time: w.now + fromSeconds(w.ClientTimeoutSeconds), target: int32(operation), value: fill.id})
	sample := &w.maxInFlight[w.now*inFlightSamplesPerSecond/second]
	*sample = max(*sample, len(w.fills))
}

// count adds 1 to a counter of the result if the operation started after the warm-up.
func (w *originLimitWorld) count(counter *int64, operation *trialOperation) {
	if operation.startedAt >= fromSeconds(w.WarmUpSeconds) {
		*counter++
	}
}

// Backoff of clients in the trial.
const (
	trialBackoff       = 100 * millisecond
	trialBackoffSpread = 300 * millisecond // upper bound of the random addition
)

// retry schedules a client's next attempt, unless it has made MaxAttempts.
func (w *originLimitWorld) retry(id int) {
	if w.operations[id].attempts < w.MaxAttempts {
		at := w.now + trialBackoff + drawDelay(w.random, trialBackoffSpread)
		w.events.push(event{time: at, target: int32(id)})
	}
}

// endFill ends a fill that the caller has removed from the heap. If isDropped is false, the origin has completed the
// fill. If it is true, the client may retry, and the work that the origin has done for the fill is lost.
func (w *originLimitWorld) endFill(fill *trialFill, isDropped bool) {
	delete(w.fillsByID, fill.id)
	if limit := w.limits[fill.router]; limit != nil && !w.failed[fill.router] {
		nowMs := float64(w.now) / float64(millisecond)
		durationMs := float64(w.now-fill.sentAt) / float64(millisecond)
		limit.Complete(nowMs, durationMs, isDropped)
	}
	if isDropped {
		w.retry(fill.operation)
		return
	}
	operation := &w.operations[fill.operation]
	if operation.served {
		return
	}
	operation.served = true
	w.servedBySecond[operation.startedAt/second]++
	w.count(&w.result.Served, operation)
	if operation.isReport {
		w.count(&w.result.ReportsServed, operation)
	}
}

// failRouters makes the first count routers fail and drops their fills.
func (w *originLimitWorld) failRouters(count int) {
	for i := range count {
		w.failed[i] = true
	}
	for _, fill := range slices.Clone(w.fills) {
		if w.failed[fill.router] {
			heap.Remove(&w.fills, fill.heapIndex)
			w.endFill(fill, true)
		}
	}
}

// fillHeap orders fills by the time at which they end.
type fillHeap []*trialFill

// Len implements heap.Interface.
func (h fillHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h fillHeap) Less(i, j int) bool {
	return h[i].endWork < h[j].endWork || h[i].endWork == h[j].endWork && h[i].id < h[j].id
}

// Swap implements heap.Interface.
func (h fillHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *fillHeap) Push(x any) {
	fill := x.(*trialFill)
	fill.heapIndex = len(*h)
	*h = append(*h, fill)
}

// Pop implements heap.Interface.
func (h *fillHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
