package emulator

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"spantack/core/originlimit"
)

// OriginLimitTrial describes a trial of limits at the head office: routers with clients behind them, and a head office that slows down when more
// than Knee fills are out at once. It stands apart from World: here the limit decides alone, so that laws can be compared.
type OriginLimitTrial struct {
	Routers              int     `json:"routers"`
	FillsPerSecond       float64 `json:"rateS"`  // fills wanted a second, by all
	OriginPerSecond      float64 `json:"capS"`   // that the head office answers a second
	Knee                 float64 `json:"knee"`   // fills out at once from which it slows
	SlowdownFactor       float64 `json:"slows"`  // it answers 1/(1+Slows*(out/Knee-1)) as fast beyond
	ClientTimeoutSeconds float64 `json:"allowS"` // after which a client waits no more
	MaxAttempts          int     `json:"tries"`  // that a client makes in all
	ReportFraction       float64 `json:"reports"`
	DurationSeconds      float64 `json:"dayS"`
	WarmUpSeconds        float64 `json:"warmS"`

	Algorithm               string  `json:"law"` // of core/shield, or "none"
	Reserve                 float64 `json:"reserve"`
	Burst                   float64 `json:"burst"`
	BrownoutCapacity        float64 `json:"lowPart,omitempty"` // of OriginPerSecond that is left
	BrownoutStartSeconds    float64 `json:"lowFromS,omitempty"`
	BrownoutDurationSeconds float64 `json:"lowForS,omitempty"`
	FailedFraction          float64 `json:"deadPart,omitempty"` // of the routers die at FailureSeconds; their clients go to the others
	FailureSeconds          float64 `json:"deadAtS,omitempty"`
}

// Validate reports the first field that can't be used.
func (s *OriginLimitTrial) Validate() error {
	for _, f := range []struct {
		name        string
		value       float64
		least, most float64
	}{{"routers", float64(s.Routers), 1, 10_000}, {"rateS", s.FillsPerSecond, 1, 1e5}, {"capS", s.OriginPerSecond, 1, 1e5}, {"knee", s.Knee, 1, 1e6}, {"slows", s.SlowdownFactor, 0, 100},
		{"allowS", s.ClientTimeoutSeconds, 0.01, 60}, {"tries", float64(s.MaxAttempts), 1, 20}, {"reports", s.ReportFraction, 0, 1}, {"dayS", s.DurationSeconds, 1, 3600}, {"warmS", s.WarmUpSeconds, 0, s.DurationSeconds},
		{"lowPart", s.BrownoutCapacity, 0, 1}, {"deadPart", s.FailedFraction, 0, 0.99}} {
		if !(f.value >= f.least && f.value <= f.most) {
			return fmt.Errorf("shield.%s: %v is not %v to %v", f.name, f.value, f.least, f.most)
		}
	}
	return nil
}

// OriginLimitResult is what a trial counted after the warm-up.
type OriginLimitResult struct {
	Operations, Sent, Served   int64 // wishes; fills sent to the head office; wishes served in time
	Rejected                   int64 // tries refused by a limit
	Reports, ReportsServed     int64
	MaxInFlight                float64 // most out at once, in parts of the knee
	OverloadSeconds            float64 // seconds with more out than the knee and a tenth
	SettleSeconds              float64 // after the head office slows, until no more than the knee and a tenth are out while that lasts
	RecoverySeconds            float64 // after it is well again, until as many are served a second as before, for five seconds
	ServedBefore, ServedDuring float64 // part of the wishes served before it slows, and while it is slow
	ServedAtEnd                float64 // and in the last five seconds
}

const never = math.MaxInt64

type originFill struct {
	endWork   float64 // on the head office's own clock of work
	id        int64
	router    int
	sentAt    int64
	operation int
	heapIndex int // in the heap
}

type trialOperation struct {
	startedAt int64
	attempts  int
	isReport  bool
	served    bool
}

type fillHeap []*originFill

func (h fillHeap) Len() int { return len(h) }
func (h fillHeap) Less(i, j int) bool {
	return h[i].endWork < h[j].endWork || h[i].endWork == h[j].endWork && h[i].id < h[j].id
}

func (h fillHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *fillHeap) Push(x any) {
	x.(*originFill).heapIndex = len(*h)
	*h = append(*h, x.(*originFill))
}
func (h *fillHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

type originLimitWorld struct {
	OriginLimitTrial
	random             *rand.Rand
	limits             []*originlimit.Limit // nil: none
	failed             []bool
	now                int64
	fills              fillHeap
	fillsByID          map[int64]*originFill
	workDone           float64 // done for each fill out
	operations         []trialOperation
	events             eventQueue
	lastFillID         int64
	result             OriginLimitResult
	servedBySecond     []int64 // by second
	operationsBySecond []int64
	maxInFlight        []int // out, by tenth of a second
}

// baselineMillis is what a fill takes while no more than the knee are out and the head office is well.
func (s *OriginLimitTrial) baselineMillis() float64 { return s.Knee / s.OriginPerSecond * 1000 }

// Run plays the trial.
func (s *OriginLimitTrial) Run(seed uint64) (*OriginLimitResult, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	w := &originLimitWorld{OriginLimitTrial: *s, random: rand.New(rand.NewPCG(seed, 0x5e1d)), fillsByID: map[int64]*originFill{}, failed: make([]bool, s.Routers), limits: make([]*originlimit.Limit, s.Routers)}
	if s.Algorithm != "none" {
		law, err := originlimit.ParseControlAlgorithm(s.Algorithm)
		if err != nil {
			return nil, err
		}
		for i := range w.limits {
			terms := originlimit.Config{MaxInFlight: s.Knee, Routers: s.Routers, Reserve: s.Reserve, Burst: s.Burst, BaselineMs: s.baselineMillis()}
			if w.limits[i], err = originlimit.New(terms, law); err != nil {
				return nil, err
			}
		}
	}
	secs := int(s.DurationSeconds) + 2
	w.servedBySecond, w.operationsBySecond, w.maxInFlight = make([]int64, secs), make([]int64, secs), make([]int, 10*secs)
	end := int64(s.DurationSeconds * float64(second))
	arrival := w.arrivalGap()
	deaths := int64(never)
	if s.FailedFraction > 0 {
		deaths = int64(s.FailureSeconds * float64(second))
	}
	for {
		// What comes next: a wish, a further try, the end of a fill, the change of the head office or a death.
		at, what := arrival, 0
		if len(w.events.heap) > 0 && w.events.heap[0].time < at {
			at, what = w.events.heap[0].time, 1
		}
		if ends := w.nextFillEnd(); ends < at {
			at, what = ends, 2
		}
		for _, change := range []float64{s.BrownoutStartSeconds, s.BrownoutStartSeconds + s.BrownoutDurationSeconds} {
			if c := int64(change * float64(second)); s.BrownoutDurationSeconds > 0 && c > w.now && c < at {
				at, what = c, 3
			}
		}
		if deaths < at {
			at, what = deaths, 4
		}
		if at >= end {
			break
		}
		w.advance(at)
		switch what {
		case 0:
			w.operations = append(w.operations, trialOperation{startedAt: w.now, isReport: w.random.Float64() < s.ReportFraction})
			w.operationsBySecond[w.now/second]++
			w.attempt(len(w.operations) - 1)
			arrival = w.now + w.arrivalGap()
		case 1:
			if e := w.events.pop(); e.value == 0 {
				w.attempt(int(e.target))
			} else if fill := w.fillsByID[e.value]; fill != nil {
				heap.Remove(&w.fills, fill.heapIndex)
				w.endFill(fill, true)
			}
		case 2:
			w.endFill(heap.Pop(&w.fills).(*originFill), false)
		case 4:
			deaths = never
			w.failRouters(int(s.FailedFraction * float64(s.Routers)))
		}
	}
	w.summarize()
	return &w.result, nil
}

func (w *originLimitWorld) arrivalGap() int64 {
	return int64(w.random.ExpFloat64() / w.FillsPerSecond * float64(second))
}

// speed is how much work a fill out gets done in a microsecond.
func (w *originLimitWorld) speed() float64 {
	n := float64(len(w.fills))
	if n == 0 {
		return 0
	}
	at := w.OriginPerSecond
	if t := float64(w.now) / float64(second); w.BrownoutDurationSeconds > 0 && t >= w.BrownoutStartSeconds && t < w.BrownoutStartSeconds+w.BrownoutDurationSeconds {
		at *= w.BrownoutCapacity
	}
	if n > w.Knee {
		at /= 1 + w.SlowdownFactor*(n/w.Knee-1)
	}
	return at / max(n, w.Knee) / float64(second) // fewer than the knee do not make each one faster
}

func (w *originLimitWorld) advance(to int64) {
	w.workDone += w.speed() * float64(to-w.now)
	w.now = to
}

func (w *originLimitWorld) nextFillEnd() int64 {
	if len(w.fills) == 0 {
		return never
	}
	return w.now + int64(math.Ceil(max(w.fills[0].endWork-w.workDone, 0)/w.speed()))
}

// attempt sends a wish to a router that is alive, which may send it on.
func (w *originLimitWorld) attempt(id int) {
	operation := &w.operations[id]
	operation.attempts++
	router := w.random.IntN(w.Routers)
	for w.failed[router] {
		router = w.random.IntN(w.Routers)
	}
	if l := w.limits[router]; l != nil && !l.Allows(operation.isReport, w.random.Float64()) {
		w.count(&w.result.Rejected, operation)
		w.retry(id)
		return
	}
	if l := w.limits[router]; l != nil {
		l.Acquire()
	}
	w.count(&w.result.Sent, operation)
	w.lastFillID++
	fill := &originFill{endWork: w.workDone + 1, id: w.lastFillID, router: router, sentAt: w.now, operation: id}
	w.fillsByID[fill.id] = fill
	heap.Push(&w.fills, fill)
	w.events.push(event{time: w.now + int64(w.ClientTimeoutSeconds*float64(second)), target: int32(id), value: fill.id})
	at := &w.maxInFlight[w.now/(100*millisecond)]
	*at = max(*at, len(w.fills))
}

func (w *originLimitWorld) count(n *int64, operation *trialOperation) {
	if operation.startedAt >= int64(w.WarmUpSeconds*float64(second)) {
		*n++
	}
}

// retry is a client's next try, if it makes one: at once for one that failed, and after a while for one that was turned away.
func (w *originLimitWorld) retry(id int) {
	if w.operations[id].attempts < w.MaxAttempts {
		w.events.push(event{time: w.now + 100*millisecond + int64(w.random.Float64()*float64(300*millisecond)), target: int32(id)})
	}
}

// endFill is that of a fill: in time, or dropped when its client waits no more, who then tries again. What the head office has done for it is lost.
func (w *originLimitWorld) endFill(fill *originFill, late bool) {
	operation := &w.operations[fill.operation]
	took := w.now - fill.sentAt
	delete(w.fillsByID, fill.id)
	if l := w.limits[fill.router]; l != nil && !w.failed[fill.router] {
		l.Complete(float64(w.now)/float64(millisecond), float64(took)/float64(millisecond), late)
	}
	if late {
		w.retry(fill.operation)
		return
	}
	if !operation.served {
		operation.served = true
		w.servedBySecond[operation.startedAt/second]++
		w.count(&w.result.Served, operation)
		if operation.isReport {
			w.count(&w.result.ReportsServed, operation)
		}
	}
}

// failRouters ends routers; what they had out is dropped, and their clients try again.
func (w *originLimitWorld) failRouters(n int) {
	for i := range n {
		w.failed[i] = true
	}
	for _, fill := range slices.Clone(w.fills) {
		if w.failed[fill.router] {
			heap.Remove(&w.fills, fill.heapIndex)
			w.endFill(fill, true)
		}
	}
}

// summarize works the figures out.
func (w *originLimitWorld) summarize() {
	r := &w.result
	warm, last := int(w.WarmUpSeconds), int(w.DurationSeconds)-int(w.ClientTimeoutSeconds)-1
	part := func(from, to int) float64 {
		s, n := int64(0), int64(0)
		for i := max(from, 0); i < min(to, len(w.servedBySecond)); i++ {
			s, n = s+w.servedBySecond[i], n+w.operationsBySecond[i]
		}
		return float64(s) / float64(max(n, 1))
	}
	for i := warm; i < int(w.DurationSeconds); i++ {
		r.Operations += w.operationsBySecond[i]
	}
	for i := range w.operations {
		if w.operations[i].isReport {
			w.count(&r.Reports, &w.operations[i])
		}
	}
	over := 1.1 * w.Knee
	lastOver := 0.0
	for i := 10 * warm; i < len(w.maxInFlight); i++ {
		r.MaxInFlight = max(r.MaxInFlight, float64(w.maxInFlight[i])/w.Knee)
		if float64(w.maxInFlight[i]) > over {
			r.OverloadSeconds += 0.1
			if at := float64(i+1) / 10; at <= w.BrownoutStartSeconds+w.BrownoutDurationSeconds {
				lastOver = at
			}
		}
	}
	r.ServedAtEnd = part(last-5, last)
	if w.BrownoutDurationSeconds > 0 {
		from, to := int(w.BrownoutStartSeconds), int(w.BrownoutStartSeconds+w.BrownoutDurationSeconds)
		r.ServedBefore, r.ServedDuring = part(warm, from), part(from+5, to)
		if lastOver > w.BrownoutStartSeconds {
			r.SettleSeconds = lastOver - w.BrownoutStartSeconds
		}
		r.RecoverySeconds = float64(last - to)
		for i := to; i+5 <= last; i++ {
			if part(i, i+5) >= 0.99*r.ServedBefore {
				r.RecoverySeconds = float64(i - to)
				break
			}
		}
	}
}
