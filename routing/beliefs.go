package routing

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// LearnedState are what a router has learnt and would otherwise learn anew: what its servers bear, which of them fail, what cold ones were
// sent of late, how long answers take, what is asked for most. A process that takes over from another starts with them. Requests
// that are out are not among them: the process that sent them still sees their ends. Times are the module's microseconds.
type LearnedState struct {
	TakenAt        int64          `json:"At"`
	Servers        []ServerState  `json:"Nodes"`
	OriginFills    ServerState    `json:"Behind"` // the head office as seen through area caches
	PeakWorkRates  []float64      `json:"Peak"`   // by role
	Classes        []ClassState   `json:"Classes"`
	RecentRequests map[string]int `json:"Recent"` // requests by object
	CancelBudget   float64        `json:"Spare"`
}

// ServerState is what is known of one process at a server. One that started anew is another.
type ServerState struct {
	Name               string      `json:"Name"`
	StartedAt          int64       `json:"CameUp"`
	ConcurrencyLimit   float64     `json:"Limit"`
	LimitReducedAt     int64       `json:"CutAt"`
	MissRatio          float64     `json:"MissPart"`
	AnswerCount        float64     `json:"Answered"`
	RecentAnswers      DecayingSum `json:"Answers"`
	RecentWork         DecayingSum `json:"Work"`
	ColdSends          []ColdSend  `json:"Spent,omitempty"`
	ColdDrawAt         int64       `json:"DrawnAt"`
	ColdDraw           float64     `json:"Luck"`
	BreakerOpenUntil   int64       `json:"Until"`   // of its breaker; 0: closed
	BreakerTrialFailed bool        `json:"Dead"`    // its last trial failed
	OutcomeWeights     [8]float64  `json:"Weights"` // the outcomes that the breaker holds, with OutcomeError
	FailureWeights     [8]float64  `json:"Failed"`
	NextOutcome        int         `json:"Next"`
}

// DecayingSum is a sum that fades, as it stood at a time.
type DecayingSum struct {
	Sum       float64 `json:"Sum"`
	UpdatedAt int64   `json:"At"`
}

// ColdSend is work sent to a cold server at a time.
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

// Bounds on what is believed of what another process left; times are microseconds.
const (
	maxLearnedStateAge  = 5_000_000 // past that age they tell of another time
	maxBreakerOpenAhead = 2 * breakerCoolDown
	maxColdSends        = 1 << 14
	maxRecentObjects    = 2 * recentRequestWindow
	maxLearnedFigure    = 1e15
)

// LearnedState returns what is believed now.
func (r *Engine) LearnedState(now int64) LearnedState {
	b := LearnedState{TakenAt: now, OriginFills: r.originFills.learnedState(), PeakWorkRates: slices.Clone(r.peakWorkRates[:]), RecentRequests: maps.Clone(r.recentRequests), CancelBudget: r.cancelBudget}
	for _, name := range slices.Sorted(maps.Keys(r.servers)) {
		b.Servers = append(b.Servers, r.servers[name].learnedState())
	}
	for _, name := range slices.Sorted(maps.Keys(r.classes)) {
		i := r.classes[name]
		b.Classes = append(b.Classes, ClassState{name, r.meanSendTime[i], r.tailMultiple[i]})
	}
	return b
}

func (n *server) learnedState() ServerState {
	b := ServerState{Name: n.name, StartedAt: n.startedAt, ConcurrencyLimit: n.concurrencyLimit, LimitReducedAt: n.limitReducedAt, MissRatio: n.missRatio, AnswerCount: n.answerCount,
		RecentAnswers: DecayingSum{n.recentAnswers.sum, n.recentAnswers.updatedAt}, RecentWork: DecayingSum{n.recentWork.sum, n.recentWork.updatedAt}, ColdDrawAt: n.coldDrawAt, ColdDraw: n.coldDraw,
		BreakerOpenUntil: n.breaker.openUntil, BreakerTrialFailed: n.breaker.trialFailed, NextOutcome: n.breaker.next}
	for i, o := range n.breaker.outcomes {
		b.OutcomeWeights[i], b.FailureWeights[i] = o.weight, o.failed
	}
	for _, s := range n.coldSends {
		b.ColdSends = append(b.ColdSends, ColdSend{s.sentAt, s.work})
	}
	return b
}

// RestoreLearnedState takes over what another process of the same router believed. Of servers that are not listed, or that started anew since,
// nothing is taken. Where something in it can't be true, the error names it and nothing changes.
func (r *Engine) RestoreLearnedState(now int64, b LearnedState) error {
	if now-b.TakenAt > maxLearnedStateAge || b.TakenAt > now+maxLearnedStateAge {
		return fmt.Errorf("beliefs of %d us ago: %d at most", now-b.TakenAt, maxLearnedStateAge)
	}
	if len(b.PeakWorkRates) != len(r.peakWorkRates) || len(b.RecentRequests) > maxRecentObjects || !plausible(b.PeakWorkRates...) || !plausible(b.CancelBudget) {
		return fmt.Errorf("beliefs: Peak, Recent or Spare")
	}
	for i := range b.Servers {
		if err := b.Servers[i].validate(now); err != nil {
			return fmt.Errorf("beliefs: Nodes[%d].%w", i, err)
		}
	}
	if err := b.OriginFills.validate(now); err != nil {
		return fmt.Errorf("beliefs: Behind.%w", err)
	}
	for i, c := range b.Classes {
		if !plausible(c.MeanSendTime, c.TailMultiple) || c.MeanSendTime <= 0 || c.TailMultiple <= 0 {
			return fmt.Errorf("beliefs: Classes[%d]: SendMean or Tail", i)
		}
	}
	recentN := 0
	for object, n := range b.RecentRequests {
		if n < 0 || n > recentRequestWindow {
			return fmt.Errorf("beliefs: Recent[%q]: %d", object, n)
		}
		recentN += n
	}
	for i := range b.Servers {
		if n := r.servers[b.Servers[i].Name]; n != nil && n.startedAt == b.Servers[i].StartedAt {
			n.restore(&b.Servers[i])
		}
	}
	r.originFills.restore(&b.OriginFills)
	r.startedAt = beforeAnyStart // what cold servers were sent before is known
	for _, c := range b.Classes {
		if i, known := r.classes[c.Name]; known {
			r.meanSendTime[i], r.tailMultiple[i] = c.MeanSendTime, c.TailMultiple
		}
	}
	copy(r.peakWorkRates[:], b.PeakWorkRates)
	r.recentRequests, r.recentRequestCount, r.cancelBudget = maps.Clone(b.RecentRequests), recentN, min(b.CancelBudget, maxCancelBudget)
	if r.recentRequests == nil {
		r.recentRequests = map[string]int{}
	}
	return nil
}

func (n *server) restore(b *ServerState) {
	n.concurrencyLimit, n.limitReducedAt, n.missRatio, n.answerCount = b.ConcurrencyLimit, b.LimitReducedAt, b.MissRatio, b.AnswerCount
	n.recentAnswers, n.recentWork = decayingSum{b.RecentAnswers.Sum, b.RecentAnswers.UpdatedAt}, decayingSum{b.RecentWork.Sum, b.RecentWork.UpdatedAt}
	n.coldDrawAt, n.coldDraw, n.coldSends = b.ColdDrawAt, b.ColdDraw, nil
	for _, s := range b.ColdSends {
		n.coldSends = append(n.coldSends, coldSend{s.SentAt, s.Work})
	}
	n.breaker = circuitBreaker{next: b.NextOutcome, openUntil: b.BreakerOpenUntil, trialFailed: b.BreakerTrialFailed}
	for i := range n.breaker.outcomes {
		n.breaker.outcomes[i].weight, n.breaker.outcomes[i].failed = b.OutcomeWeights[i], b.FailureWeights[i]
	}
}

// validate guards against a file that was spoilt: no belief may shut a server off for long, or put an index out of range.
func (b *ServerState) validate(now int64) error {
	times := []int64{b.LimitReducedAt, b.ColdDrawAt, b.RecentAnswers.UpdatedAt, b.RecentWork.UpdatedAt}
	switch {
	case !plausible(b.ConcurrencyLimit, b.MissRatio, b.AnswerCount, b.RecentAnswers.Sum, b.RecentWork.Sum, b.ColdDraw) || b.ConcurrencyLimit < 0 || b.MissRatio > 1 || b.ColdDraw > 1:
		return fmt.Errorf("Limit, MissPart, Answered, Answers, Work or Luck")
	case b.BreakerOpenUntil > now+maxBreakerOpenAhead || b.BreakerOpenUntil < 0 || b.NextOutcome < 0:
		return fmt.Errorf("Until or Next")
	case !plausible(b.OutcomeWeights[:]...) || !plausible(b.FailureWeights[:]...):
		return fmt.Errorf("Weights or Failed")
	case len(b.ColdSends) > maxColdSends:
		return fmt.Errorf("Spent: %d, %d at most", len(b.ColdSends), maxColdSends)
	}
	for _, s := range b.ColdSends {
		times = append(times, s.SentAt)
		if math.IsNaN(s.Work) || math.Abs(s.Work) > maxLearnedFigure { // what never reached a source is taken off
			return fmt.Errorf("Spent: Work %v", s.Work)
		}
	}
	if latest := slices.MaxFunc(times, cmp.Compare[int64]); latest > now+maxLearnedStateAge {
		return fmt.Errorf("a time %d us ahead", latest-now)
	}
	return nil
}

// plausible tells whether figures that are sums or shares could be.
func plausible(list ...float64) bool {
	return !slices.ContainsFunc(list, func(f float64) bool { return math.IsNaN(f) || f < 0 || f > maxLearnedFigure })
}
