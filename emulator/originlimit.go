package emulator

import (
	"math/rand/v2"

	"spantack/core/originlimit"
)

// OriginLimitTrial is a trial of limits on the fills that reach the origin. It models clients, routers, and an origin
// that slows down when more than Knee fills are in flight. The trial does not use World. This keeps other influences
// out of the comparison of the control algorithms.
type OriginLimitTrial struct {
	Routers         int     `json:"routers"`
	FillsPerSecond  float64 `json:"rateS"` // operations that all clients together start per second
	OriginPerSecond float64 `json:"capS"`  // fills that the origin can complete per second
	Knee            float64 `json:"knee"`
	// SlowdownFactor sets how much the origin slows down above the knee. With twice Knee fills in flight, the origin's
	// throughput is divided by 1+SlowdownFactor.
	SlowdownFactor       float64 `json:"slows"`
	ClientTimeoutSeconds float64 `json:"allowS"`
	MaxAttempts          int     `json:"tries"`   // maximum attempts of a client for one operation, including the first
	ReportFraction       float64 `json:"reports"` // fraction of operations that are reports, which use Reserve
	DurationSeconds      float64 `json:"dayS"`    // duration of the trial, warm-up included
	WarmUpSeconds        float64 `json:"warmS"`   // duration of the warm-up, which is not counted

	Algorithm string  `json:"law"` // one of core/originlimit, or "none"
	Reserve   float64 `json:"reserve"`
	Burst     float64 `json:"burst"`

	// During a brownout the origin has the fraction BrownoutCapacity of OriginPerSecond. A duration of 0 means no
	// brownout.
	BrownoutCapacity        float64 `json:"lowPart,omitempty"`
	BrownoutStartSeconds    float64 `json:"lowFromS,omitempty"`
	BrownoutDurationSeconds float64 `json:"lowForS,omitempty"`

	// FailedFraction of the routers fail at FailureSeconds. Their clients use the other routers.
	FailedFraction float64 `json:"deadPart,omitempty"`
	FailureSeconds float64 `json:"deadAtS,omitempty"`
}

// algorithmNone is the Algorithm of a trial without limits.
const algorithmNone = "none"

// Validate returns an error for the first field that is out of range. The error contains the field's name in experiment
// files.
func (t *OriginLimitTrial) Validate() error {
	return checkBounds("shield.", []bounds{
		{"routers", float64(t.Routers), 1, 10_000},
		{"rateS", t.FillsPerSecond, 1, 1e5},
		{"capS", t.OriginPerSecond, 1, 1e5},
		{"knee", t.Knee, 1, 1e6},
		{"slows", t.SlowdownFactor, 0, 100},
		{"allowS", t.ClientTimeoutSeconds, 0.01, 60},
		{"tries", float64(t.MaxAttempts), 1, 20},
		{"reports", t.ReportFraction, 0, 1},
		{"dayS", t.DurationSeconds, 1, 3600},
		{"warmS", t.WarmUpSeconds, 0, t.DurationSeconds},
		{"lowPart", t.BrownoutCapacity, 0, 1},
		{"deadPart", t.FailedFraction, 0, 0.99},
	})
}

// OriginLimitResult is the result of a trial, counted after the warm-up. The served ratio of a period covers the
// operations that started in the period.
type OriginLimitResult struct {
	Operations    int64
	Served        int64 // operations with an attempt that got its response in time
	Sent          int64 // fills sent to the origin
	Rejected      int64 // attempts rejected by a limit
	Reports       int64 // operations that are reports
	ReportsServed int64

	MaxInFlight     float64 // maximum number of fills in flight, as a multiple of Knee
	OverloadSeconds float64 // time with more than overloadFactor times Knee fills in flight
	// SettleSeconds is the time from the start of the brownout to the end of the last overload within it.
	SettleSeconds float64
	// RecoverySeconds is the time from the end of the brownout to the start of the first period of resultWindowSeconds
	// in which the served ratio is at least recoveredFactor times ServedBefore. If there is no such period, it is the
	// time to the end of the last second in which the first attempt of each operation has an outcome.
	RecoverySeconds float64
	ServedBefore    float64 // served ratio before the brownout
	ServedDuring    float64 // served ratio in the brownout without its first five seconds
	ServedAtEnd     float64 // served ratio in the five seconds up to the same last second as in RecoverySeconds
}

// Thresholds from which the result is computed.
const (
	overloadFactor      = 1.1  // relative to Knee
	recoveredFactor     = 0.99 // relative to ServedBefore
	resultWindowSeconds = 5
)

// baselineMillis returns the duration of a fill, in milliseconds, without a brownout and with at most Knee fills in
// flight.
func (t *OriginLimitTrial) baselineMillis() float64 { return t.Knee / t.OriginPerSecond * 1000 }

// originLimitStream selects a random number stream that no other trial uses.
const originLimitStream = 0x5e1d

// Run executes the trial. The same seed gives the same result.
func (t *OriginLimitTrial) Run(seed uint64) (*OriginLimitResult, error) {
	if err := t.Validate(); err != nil {
		return nil, err
	}
	limits, err := t.newLimits()
	if err != nil {
		return nil, err
	}
	seconds := int(t.DurationSeconds) + 2
	w := &originLimitWorld{
		OriginLimitTrial:   *t,
		random:             rand.New(rand.NewPCG(seed, originLimitStream)),
		limits:             limits,
		failed:             make([]bool, t.Routers),
		failureAt:          never,
		fillsByID:          map[int64]*trialFill{},
		servedBySecond:     make([]int64, seconds),
		operationsBySecond: make([]int64, seconds),
		maxInFlight:        make([]int, inFlightSamplesPerSecond*seconds),
	}
	if t.FailedFraction > 0 {
		w.failureAt = fromSeconds(t.FailureSeconds)
	}
	w.run()
	w.summarize()
	return &w.result, nil
}

// newLimits returns the limit of each router; all are nil for algorithmNone.
func (t *OriginLimitTrial) newLimits() ([]*originlimit.Limit, error) {
	limits := make([]*originlimit.Limit, t.Routers)
	if t.Algorithm == algorithmNone {
		return limits, nil
	}
	algorithm, err := originlimit.ParseControlAlgorithm(t.Algorithm)
	if err != nil {
		return nil, err
	}
	config := originlimit.Config{
		MaxInFlight: t.Knee,
		Routers:     t.Routers,
		Reserve:     t.Reserve,
		Burst:       t.Burst,
		BaselineMs:  t.baselineMillis(),
	}
	for i := range limits {
		if limits[i], err = originlimit.New(config, algorithm); err != nil {
			return nil, err
		}
	}
	return limits, nil
}

// summarize computes the fields of the result that are known only at the end.
func (w *originLimitWorld) summarize() {
	r := &w.result
	warmUp := int(w.WarmUpSeconds)
	for _, count := range w.operationsBySecond[warmUp:int(w.DurationSeconds)] {
		r.Operations += count
	}
	for i := range w.operations {
		if w.operations[i].isReport {
			w.count(&r.Reports, &w.operations[i])
		}
	}
	lastOverload := w.summarizeInFlight(warmUp)
	// The first attempt of an operation that starts after last may have no outcome.
	last := int(w.DurationSeconds) - int(w.ClientTimeoutSeconds) - 1
	r.ServedAtEnd = w.servedRatio(last-resultWindowSeconds, last)
	if w.BrownoutDurationSeconds <= 0 {
		return
	}
	from, to := int(w.BrownoutStartSeconds), int(w.BrownoutStartSeconds+w.BrownoutDurationSeconds)
	r.ServedBefore = w.servedRatio(warmUp, from)
	r.ServedDuring = w.servedRatio(from+resultWindowSeconds, to)
	if lastOverload > w.BrownoutStartSeconds {
		r.SettleSeconds = lastOverload - w.BrownoutStartSeconds
	}
	r.RecoverySeconds = float64(last - to)
	for start := to; start+resultWindowSeconds <= last; start++ {
		if w.servedRatio(start, start+resultWindowSeconds) >= recoveredFactor*r.ServedBefore {
			r.RecoverySeconds = float64(start - to)
			break
		}
	}
}

// summarizeInFlight computes MaxInFlight and OverloadSeconds. It returns the end of the last overload before the end of
// the brownout, in seconds, or 0 if there was none.
func (w *originLimitWorld) summarizeInFlight(warmUp int) (lastOverload float64) {
	for i := inFlightSamplesPerSecond * warmUp; i < len(w.maxInFlight); i++ {
		inFlight := float64(w.maxInFlight[i])
		w.result.MaxInFlight = max(w.result.MaxInFlight, inFlight/w.Knee)
		if inFlight <= overloadFactor*w.Knee {
			continue
		}
		w.result.OverloadSeconds += 1.0 / inFlightSamplesPerSecond
		end := float64(i+1) / inFlightSamplesPerSecond
		if end <= w.BrownoutStartSeconds+w.BrownoutDurationSeconds {
			lastOverload = end
		}
	}
	return lastOverload
}

// servedRatio returns the served fraction of the operations that started from second first up to, but not including,
// second end. It is 0 if there are none.
func (w *originLimitWorld) servedRatio(first, end int) float64 {
	served, all := int64(0), int64(0)
	for i := max(first, 0); i < min(end, len(w.servedBySecond)); i++ {
		served += w.servedBySecond[i]
		all += w.operationsBySecond[i]
	}
	return float64(served) / float64(max(all, 1))
}
