// Package routing makes the decisions of a router before tiers of caches with one origin behind them. Each
// concern has a file of its own, with its tuned values; the interface (settings, events, actions) is in
// types.go, and what is remembered in state.go.
package routing

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
)

const (
	roleEdgeCache = iota
	roleParent
	roleOrigin
	roleRemoteCache
)

// NewEngine returns a router for the settings; seed feeds its random numbers.
func NewEngine(set Settings, seed int64) (*Engine, error) {
	r := &Engine{settings: set, rng: rand.New(rand.NewPCG(uint64(seed), 0)), classes: map[string]int{},
		servers: map[string]*server{}, requests: map[string]*request{}, purged: map[purgeKey]int64{},
		watchedAttempts: map[int64]*request{}, tenants: map[string]*tenant{}, recentRequests: map[string]int{},
		meanSendTime: make([]float64, len(set.Classes)), originFills: server{concurrencyLimit: unlimitedOriginFills, role: roleOrigin}}
	r.maxPossibleOriginFills, r.maxConfirmedOriginFills, r.parentRanking = unlimitedOriginFills, unlimitedOriginFills, newRendezvousRanking(nil, false)
	r.subsets, r.meanRequestedSendTime, r.emptySubset = map[int]*subset{0: {endpointsVersion: -1}}, map[string]*runningMean{}, &subset{ranking: r.parentRanking}
	effects := []Idempotency{IdempotentRead, IdempotentKey, NotIdempotent}
	for i, c := range set.Classes {
		if c.Name == "" || c.Deadline <= 0 || !slices.Contains(effects, c.Idempotency) {
			return nil, fmt.Errorf("Classes[%d]: needs Name, a positive Deadline, a known Idempotency", i)
		}
		r.classes[c.Name] = i
		r.purgeRetention = max(r.purgeRetention, set.Hierarchy.PurgePropagationTime+c.Deadline)
		r.meanSendTime[i] = float64(max(c.LatencyObjective, c.Deadline/8)) / 2
		r.tailMultiple = append(r.tailMultiple, initialTailMultiple)
	}
	for _, t := range set.Tenants {
		r.tenants[t.Name] = &tenant{quotaPerSecond: t.QuotaPerSecond / float64(max(set.FleetSize, 1))}
	}
	switch m := set.Hierarchy.OriginKind; {
	case len(set.Classes) == 0:
		return nil, fmt.Errorf("Classes: none")
	case set.Zone == "":
		return nil, fmt.Errorf("Zone: missing")
	case m < 0 || m >= len(set.Kinds):
		return nil, fmt.Errorf("Extra.MasterKind: %d is no place in Kinds", m)
	case set.Permissions.MaxAttempts <= 0:
		return nil, fmt.Errorf("Permissions.MaxAttempts: must be positive")
	}
	r.hasServerWeights = set.WeightSource == "nominal" || set.WeightSource == "rough"
	r.hitRatioIndex, r.linkUseIndex = slices.Index(set.LoadReporting.Fields, "x0"), slices.Index(set.LoadReporting.Fields, "x1")
	return r, nil
}

// Step takes what came in at a time and returns what to do, in order.
func (r *Engine) Step(now int64, events []Event) []Action {
	r.beginStep(now)
	for i := range events {
		ev := &events[i]
		switch ev.Kind {
		case EventEndpoints:
			r.updateEndpoints(ev)
		case EventRequest:
			r.acceptRequest(ev)
		case EventFirstByte:
			if q := r.requests[ev.RequestID]; q != nil {
				q.started = true
			}
		case EventOutcome:
			r.attemptEnded(ev)
		case EventAborted:
			r.closeRequest(ev.RequestID)
		case EventTimer:
			r.timerFired(ev.TimerToken)
		case EventPurge:
			r.recordPurge(ev)
		case EventSubset:
			r.defineSubset(ev)
		case EventParentOverloaded:
			r.parentOverloaded(r.servers[ev.Server])
		}
	}
	return r.actions
}

func (r *Engine) emit(a Action) {
	if r.actions == nil {
		r.actions = make([]Action, 0, 2)
	}
	r.actions = append(r.actions, a)
}

func (r *Engine) acceptRequest(ev *Event) {
	class, known := r.classes[ev.Class]
	if !known {
		r.emit(Action{Kind: ActionFail, RequestID: ev.RequestID})
		return
	}
	q := &request{Event: *ev, class: class, accountingGroup: r.subsetOf(ev.Subset).accountingGroup, deadline: r.now + ev.Timeout,
		maxAttempts: r.settings.Permissions.MaxAttempts, expectedWork: r.classSendTime(ev, class)}
	if t := r.tenants[q.Tenant]; t != nil {
		t.add(r.now, rateWindow, 1)
		q.isOverQuota = t.rate(r.now, rateWindow)*1e6 > t.quotaPerSecond
	}
	r.requests[q.RequestID] = q
	r.cancelBudget = min(r.cancelBudget+cancelBudgetPerRequest, maxCancelBudget)
	q.chunkKey = chunkKey(q.Object, q.Chunk)
	r.recentRequests[q.Object]++
	if r.recentRequestCount++; r.recentRequestCount >= recentRequestWindow {
		r.recentRequestCount = 0
		maps.DeleteFunc(r.recentRequests, func(k string, n int) bool {
			r.recentRequests[k] = n / 2
			r.recentRequestCount += n / 2
			return n < 2
		})
	}
	r.sendNextAttempt(q)
}

func (r *Engine) closeRequest(call string) {
	r.releaseAttempt(r.requests[call])
	delete(r.requests, call)
}
