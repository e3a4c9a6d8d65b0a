package routing

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// LearnedState is the state that an engine has learned and that a replacement process starts with: concurrency limits,
// circuit breakers, recent work sent to cold servers, response times, and the most requested objects. Open requests are
// not included: the process that sent them completes them. Times are in microseconds of the engine's clock. The JSON
// tags are the names in the stored file.
type LearnedState struct {
	TakenAt        int64          `json:"At"`
	Servers        []ServerState  `json:"Nodes"`
	OriginFills    ServerState    `json:"Behind"` // limit on fills that may reach the origin
	PeakWorkRates  []float64      `json:"Peak"`   // by role
	Classes        []ClassState   `json:"Classes"`
	RecentRequests map[string]int `json:"Recent"` // by object
	CancelBudget   float64        `json:"Spare"`
}

// ServerState is the learned state of one process of a server. A restarted server is a new process.
type ServerState struct {
	Name               string                      `json:"Name"`
	StartedAt          int64                       `json:"CameUp"`
	ConcurrencyLimit   float64                     `json:"Limit"`
	LimitReducedAt     int64                       `json:"CutAt"`
	MissRatio          float64                     `json:"MissPart"`
	AnswerCount        float64                     `json:"Answered"`
	RecentAnswers      DecayingSum                 `json:"Answers"`
	RecentWork         DecayingSum                 `json:"Work"`
	ColdSends          []ColdSend                  `json:"Spent,omitempty"`
	ColdDrawAt         int64                       `json:"DrawnAt"`
	ColdDraw           float64                     `json:"Luck"`
	BreakerOpenUntil   int64                       `json:"Until"` // 0: closed
	BreakerTrialFailed bool                        `json:"Dead"`
	OutcomeWeights     [breakerMaxOutcomes]float64 `json:"Weights"` // of the outcomes in the breaker's ring buffer
	FailureWeights     [breakerMaxOutcomes]float64 `json:"Failed"`  // 0 for outcomes that did not fail
	NextOutcome        int                         `json:"Next"`
}

// DecayingSum is the value at UpdatedAt of a sum in which each amount decays exponentially.
type DecayingSum struct {
	Sum       float64 `json:"Sum"`
	UpdatedAt int64   `json:"At"`
}

// ColdSend is work that was sent to a cold server at SentAt.
type ColdSend struct {
	SentAt int64   `json:"At"`
	Work   float64 `json:"Work"`
}

// ClassState is the learned state of a class.
type ClassState struct {
	Name         string  `json:"Name"`
	MeanSendTime float64 `json:"SendMean"`
	TailMultiple float64 `json:"Tail"`
}

// beforeAnyStart is a time before the start of any server.
const beforeAnyStart = 1

// Bounds on the learned state of another process. Times are in microseconds.
const (
	maxLearnedStateAge  = 5_000_000 // older state no longer describes the present
	maxBreakerOpenAhead = 2 * breakerCoolDown
	maxColdSends        = 1 << 14
	maxRecentObjects    = 2 * recentRequestWindow
	maxLearnedValue     = 1e15
)

// LearnedStateError describes an implausible value in a LearnedState.
type LearnedStateError struct {
	Problem string // names the field as in the stored file
}

// Error returns the problem.
func (e *LearnedStateError) Error() string { return "learned state: " + e.Problem }

// ErrLearnedStateAge is the error for a LearnedState whose TakenAt is too far from the present time.
var ErrLearnedStateAge = fmt.Errorf("age limit is %d us", maxLearnedStateAge)

// LearnedState returns a copy of the engine's learned state at the time now.
func (e *Engine) LearnedState(now int64) LearnedState {
	state := LearnedState{
		TakenAt:        now,
		OriginFills:    e.originFills.learnedState(),
		PeakWorkRates:  slices.Clone(e.peakWorkRates[:]),
		RecentRequests: maps.Clone(e.recentRequests),
		CancelBudget:   e.cancelBudget,
	}
	for _, name := range slices.Sorted(maps.Keys(e.servers)) {
		state.Servers = append(state.Servers, e.servers[name].learnedState())
	}
	for _, name := range slices.Sorted(maps.Keys(e.classIndexes)) {
		i := e.classIndexes[name]
		state.Classes = append(state.Classes, ClassState{name, e.meanSendTime[i], e.tailMultiple[i]})
	}
	return state
}

// learnedState returns a copy of the server's learned state.
func (srv *server) learnedState() ServerState {
	state := ServerState{
		Name:               srv.name,
		StartedAt:          srv.startedAt,
		ConcurrencyLimit:   srv.concurrencyLimit,
		LimitReducedAt:     srv.limitReducedAt,
		MissRatio:          srv.missRatio,
		AnswerCount:        srv.answerCount,
		RecentAnswers:      DecayingSum{srv.recentAnswers.sum, srv.recentAnswers.updatedAt},
		RecentWork:         DecayingSum{srv.recentWork.sum, srv.recentWork.updatedAt},
		ColdDrawAt:         srv.coldDrawAt,
		ColdDraw:           srv.coldDraw,
		BreakerOpenUntil:   srv.breaker.openUntil,
		BreakerTrialFailed: srv.breaker.hasTrialFailed,
		NextOutcome:        srv.breaker.outcomeCount,
	}
	for i, outcome := range srv.breaker.outcomes {
		state.OutcomeWeights[i] = outcome.weight
		state.FailureWeights[i] = outcome.failed
	}
	for _, s := range srv.coldSends {
		state.ColdSends = append(state.ColdSends, ColdSend{s.sentAt, s.work})
	}
	return state
}

// RestoreLearnedState applies the learned state of another process of the same router. The state of servers that are
// not listed, or that have restarted since, is ignored. If the state is too old or a value is implausible, nothing
// changes. The error names the field, or a group of fields of which one is implausible.
func (e *Engine) RestoreLearnedState(now int64, state LearnedState) error {
	if err := state.validate(now); err != nil {
		return err
	}
	for i := range state.Servers {
		former := &state.Servers[i]
		if srv := e.servers[former.Name]; srv != nil && srv.startedAt == former.StartedAt {
			srv.restore(former)
		}
	}
	e.originFills.restore(&state.OriginFills)
	// ColdSends includes the work that was sent to cold servers before this process started. knownHistoryShare must
	// therefore be 1, unlike after a start without learned state.
	e.startedAt = beforeAnyStart
	for _, class := range state.Classes {
		if i, known := e.classIndexes[class.Name]; known {
			e.meanSendTime[i] = class.MeanSendTime
			e.tailMultiple[i] = class.TailMultiple
		}
	}
	copy(e.peakWorkRates[:], state.PeakWorkRates)
	e.cancelBudget = min(state.CancelBudget, maxCancelBudget)
	e.restoreRecentRequests(state.RecentRequests)
	return nil
}

// restoreRecentRequests replaces the counts of recent requests by object.
func (e *Engine) restoreRecentRequests(counts map[string]int) {
	e.recentRequests = make(map[string]int, len(counts))
	e.recentRequestCount = 0
	for object, count := range counts {
		e.recentRequests[object] = count
		e.recentRequestCount += count
	}
}

// restore applies the learned state of a server from another process.
func (srv *server) restore(state *ServerState) {
	srv.concurrencyLimit = state.ConcurrencyLimit
	srv.limitReducedAt = state.LimitReducedAt
	srv.missRatio = state.MissRatio
	srv.answerCount = state.AnswerCount
	srv.recentAnswers = decayingSum{state.RecentAnswers.Sum, state.RecentAnswers.UpdatedAt}
	srv.recentWork = decayingSum{state.RecentWork.Sum, state.RecentWork.UpdatedAt}
	srv.coldDrawAt = state.ColdDrawAt
	srv.coldDraw = state.ColdDraw
	srv.coldSends = nil
	for _, s := range state.ColdSends {
		srv.coldSends = append(srv.coldSends, coldSend{s.SentAt, s.Work})
	}
	srv.breaker = circuitBreaker{
		outcomeCount:   state.NextOutcome,
		openUntil:      state.BreakerOpenUntil,
		hasTrialFailed: state.BreakerTrialFailed,
	}
	for i := range srv.breaker.outcomes {
		srv.breaker.outcomes[i] = breakerOutcome{state.OutcomeWeights[i], state.FailureWeights[i]}
	}
}

// validate returns an error if TakenAt is more than maxLearnedStateAge before or after now, or a value is implausible.
func (s *LearnedState) validate(now int64) error {
	if age := now - s.TakenAt; age > maxLearnedStateAge || age < -maxLearnedStateAge {
		return fmt.Errorf("learned state has an age of %d us: %w", age, ErrLearnedStateAge)
	}
	areRatesPlausible := len(s.PeakWorkRates) == int(roleCount) && arePlausible(s.PeakWorkRates...)
	if !areRatesPlausible || len(s.RecentRequests) > maxRecentObjects || !arePlausible(s.CancelBudget) {
		return &LearnedStateError{"Peak, Recent or Spare is out of range"}
	}
	for i := range s.Servers {
		if problem := s.Servers[i].problem(now); problem != "" {
			return &LearnedStateError{fmt.Sprintf("Nodes[%d].%s", i, problem)}
		}
	}
	if problem := s.OriginFills.problem(now); problem != "" {
		return &LearnedStateError{"Behind." + problem}
	}
	for i, class := range s.Classes {
		areMeansPlausible := arePlausible(class.MeanSendTime, class.TailMultiple)
		if !areMeansPlausible || class.MeanSendTime <= 0 || class.TailMultiple <= 0 {
			return &LearnedStateError{fmt.Sprintf("Classes[%d]: SendMean or Tail is out of range", i)}
		}
	}
	for object, count := range s.RecentRequests {
		if count < 0 || count > recentRequestWindow {
			return &LearnedStateError{fmt.Sprintf("Recent[%q]: count %d is out of range", object, count)}
		}
	}
	return nil
}

// problem returns a description of the first implausible value, or "" if there is none. Such a value could, for
// example, eject a server for too long or put an index out of range. The description starts with the name, as in the
// stored file, of the field or of a group of fields.
func (s *ServerState) problem(now int64) string {
	sums := []float64{s.ConcurrencyLimit, s.AnswerCount, s.RecentAnswers.Sum, s.RecentWork.Sum}
	switch {
	case !arePlausible(sums...) || !isFraction(s.MissRatio) || !isFraction(s.ColdDraw):
		return "Limit, MissPart, Answered, Answers, Work or Luck is out of range"
	case s.BreakerOpenUntil > now+maxBreakerOpenAhead || s.BreakerOpenUntil < 0 || s.NextOutcome < 0:
		return "Until or Next is out of range"
	case !arePlausible(s.OutcomeWeights[:]...) || !arePlausible(s.FailureWeights[:]...):
		return "Weights or Failed is out of range"
	case len(s.ColdSends) > maxColdSends:
		return fmt.Sprintf("Spent: %d entries, the limit is %d", len(s.ColdSends), maxColdSends)
	}
	latest := max(s.LimitReducedAt, s.ColdDrawAt, s.RecentAnswers.UpdatedAt, s.RecentWork.UpdatedAt)
	for _, send := range s.ColdSends {
		latest = max(latest, send.SentAt)
		if math.IsNaN(send.Work) || math.Abs(send.Work) > maxLearnedValue { // negative Work cancels earlier work
			return fmt.Sprintf("Spent: Work %v is out of range", send.Work)
		}
	}
	if latest > now+maxLearnedStateAge {
		return fmt.Sprintf("CutAt, DrawnAt or an At of Answers, Work or Spent is %d us ahead of now", latest-now)
	}
	return ""
}

// isFraction reports whether a value is from 0 to 1.
func isFraction(value float64) bool { return value >= 0 && value <= 1 }

// arePlausible reports whether all values are from 0 to maxLearnedValue, the range of sums, fractions and counts.
func arePlausible(values ...float64) bool {
	for _, value := range values {
		if math.IsNaN(value) || value < 0 || value > maxLearnedValue {
			return false
		}
	}
	return true
}
