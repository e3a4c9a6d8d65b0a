package routing

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// LearnedState is what an engine has learned and would otherwise learn anew: what its servers bear, which of them fail,
// what cold ones were sent recently, how long responses take, which objects are requested most. A process that takes
// over from another starts with it. Open requests are no part of it: the process that sent them still sees them end.
// Times are microseconds of the engine's clock. The tags are the names in the stored file.
type LearnedState struct {
	TakenAt        int64          `json:"At"`
	Servers        []ServerState  `json:"Nodes"`
	OriginFills    ServerState    `json:"Behind"` // the origin as seen through parents
	PeakWorkRates  []float64      `json:"Peak"`   // by role
	Classes        []ClassState   `json:"Classes"`
	RecentRequests map[string]int `json:"Recent"` // by object
	CancelBudget   float64        `json:"Spare"`
}

// ServerState is what is known of one process at a server; one that started anew is another.
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
	OutcomeWeights     [breakerMaxOutcomes]float64 `json:"Weights"` // of the outcomes that the breaker counts
	FailureWeights     [breakerMaxOutcomes]float64 `json:"Failed"`  // of those that failed
	NextOutcome        int                         `json:"Next"`
}

// DecayingSum is a sum in which amounts fade exponentially, as it stood at a time.
type DecayingSum struct {
	Sum       float64 `json:"Sum"`
	UpdatedAt int64   `json:"At"`
}

// ColdSend is work that was sent to a cold server at a time.
type ColdSend struct {
	SentAt int64   `json:"At"`
	Work   float64 `json:"Work"`
}

// ClassState is what is known of a class.
type ClassState struct {
	Name         string  `json:"Name"`
	MeanSendTime float64 `json:"SendMean"`
	TailMultiple float64 `json:"Tail"`
}

// beforeAnyStart is a time before the start of any server.
const beforeAnyStart = 1

// Bounds on what is taken over from another process. Times are microseconds.
const (
	maxLearnedStateAge  = 5_000_000 // past it, the state tells of another time
	maxBreakerOpenAhead = 2 * breakerCoolDown
	maxColdSends        = 1 << 14
	maxRecentObjects    = 2 * recentRequestWindow
	maxLearnedFigure    = 1e15
)

// LearnedStateError says which part of a LearnedState can't be true.
type LearnedStateError struct {
	Problem string // names the field as in the stored file
}

// Error gives the problem.
func (e *LearnedStateError) Error() string { return "beliefs: " + e.Problem }

// ErrLearnedStateAge tells that a LearnedState was taken at another time.
var ErrLearnedStateAge = fmt.Errorf("%d us at most", maxLearnedStateAge)

// LearnedState returns what is known now.
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

// learnedState returns what is known of a server.
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
		NextOutcome:        srv.breaker.next,
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

// RestoreLearnedState takes over what another process of the same router knew. Of servers that are not listed, or that
// started anew since, nothing is taken. Where the state is too old or something in it can't be true, the error names it
// and nothing changes.
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
	e.startedAt = beforeAnyStart // what cold servers were sent before is known
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

// restoreRecentRequests takes over the counts of requests by object.
func (e *Engine) restoreRecentRequests(counts map[string]int) {
	e.recentRequests = make(map[string]int, len(counts))
	e.recentRequestCount = 0
	for object, count := range counts {
		e.recentRequests[object] = count
		e.recentRequestCount += count
	}
}

// restore takes over what another process knew of a server.
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
		next:           state.NextOutcome,
		openUntil:      state.BreakerOpenUntil,
		hasTrialFailed: state.BreakerTrialFailed,
	}
	for i := range srv.breaker.outcomes {
		srv.breaker.outcomes[i] = breakerOutcome{state.OutcomeWeights[i], state.FailureWeights[i]}
	}
}

// validate guards against a file that was damaged or is of another time.
func (s *LearnedState) validate(now int64) error {
	if age := now - s.TakenAt; age > maxLearnedStateAge || age < -maxLearnedStateAge {
		return fmt.Errorf("beliefs of %d us ago: %w", age, ErrLearnedStateAge)
	}
	areRatesPlausible := len(s.PeakWorkRates) == int(roleCount) && arePlausible(s.PeakWorkRates...)
	if !areRatesPlausible || len(s.RecentRequests) > maxRecentObjects || !arePlausible(s.CancelBudget) {
		return &LearnedStateError{"Peak, Recent or Spare"}
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
			return &LearnedStateError{fmt.Sprintf("Classes[%d]: SendMean or Tail", i)}
		}
	}
	for object, count := range s.RecentRequests {
		if count < 0 || count > recentRequestWindow {
			return &LearnedStateError{fmt.Sprintf("Recent[%q]: %d", object, count)}
		}
	}
	return nil
}

// problem returns what in the state could eject a server for long or put an index out of range, starting with the name
// of the field in the stored file; "" if nothing could.
func (s *ServerState) problem(now int64) string {
	sums := []float64{s.ConcurrencyLimit, s.AnswerCount, s.RecentAnswers.Sum, s.RecentWork.Sum}
	switch {
	case !arePlausible(sums...) || !isShare(s.MissRatio) || !isShare(s.ColdDraw):
		return "Limit, MissPart, Answered, Answers, Work or Luck"
	case s.BreakerOpenUntil > now+maxBreakerOpenAhead || s.BreakerOpenUntil < 0 || s.NextOutcome < 0:
		return "Until or Next"
	case !arePlausible(s.OutcomeWeights[:]...) || !arePlausible(s.FailureWeights[:]...):
		return "Weights or Failed"
	case len(s.ColdSends) > maxColdSends:
		return fmt.Sprintf("Spent: %d, %d at most", len(s.ColdSends), maxColdSends)
	}
	latest := max(s.LimitReducedAt, s.ColdDrawAt, s.RecentAnswers.UpdatedAt, s.RecentWork.UpdatedAt)
	for _, send := range s.ColdSends {
		latest = max(latest, send.SentAt)
		if math.IsNaN(send.Work) || math.Abs(send.Work) > maxLearnedFigure { // what never reached a server is negative
			return fmt.Sprintf("Spent: Work %v", send.Work)
		}
	}
	if latest > now+maxLearnedStateAge {
		return fmt.Sprintf("a time %d us ahead", latest-now)
	}
	return ""
}

// isShare reports that a figure is from 0 to 1.
func isShare(figure float64) bool { return figure >= 0 && figure <= 1 }

// arePlausible reports that figures can be sums, shares or counts.
func arePlausible(figures ...float64) bool {
	for _, figure := range figures {
		if math.IsNaN(figure) || figure < 0 || figure > maxLearnedFigure {
			return false
		}
	}
	return true
}
