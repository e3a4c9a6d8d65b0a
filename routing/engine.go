// Package routing decides for one request router in front of a hierarchy of caches: which edge cache gets a request,
// which parent or origin fills a miss, whether a failed attempt is retried, and which requests are rejected so that no
// server is overloaded.
//
// An Engine is a state machine without input or output, clock or goroutines. Step takes the events that came in at a
// time and returns what to do, in order. With the same settings, seed and events it returns the same actions. Its
// random numbers come from the seed alone.
//
// The decisions, each in a file of its name:
//
//   - selection: edge cache, source of a fill, direct fetch, uncacheable requests
//   - rendezvous: the order of servers for an object, alike at all routers
//   - concurrency: adaptive limits on what is in flight at a server, and accounting groups' shares of them
//   - origin_fills: admission of fills to the origin
//   - slow_start: what a server that started recently may be sent
//   - circuit_breaker: which servers are ejected, and what a failure is charged to
//   - outcomes: whether and where an attempt is retried
//   - idempotency: whether and for how long it may be, and the final answer where not
//   - lost_responses: attempts whose response won't come
//   - freshness, purges: the oldest copy that will do
//   - endpoints, subsets: which servers there are, and which of them a request may use
//   - estimates: what is learned about sizes, times and capacities
//   - handover: what a process leaves to its successor
package routing

import (
	"math/rand/v2"
	"slices"
)

// Engine decides for one request router. It is not safe for concurrent use. Times are microseconds of the clock that is
// given to Step.
type Engine struct {
	// Settings, and what follows from them.
	settings         Settings
	classIndexes     map[string]int // by name of class
	hasServerWeights bool           // weights in the endpoint list tell the sizes of servers
	hitRatioIndex    int            // place in load reports; -1: absent
	linkUseIndex     int            // place in load reports; -1: absent
	purgeRetention   int64          // how long a purge matters

	// The step at hand.
	now     int64
	actions []Action
	rng     *rand.Rand

	// Servers.
	startedAt        int64              // time of the first step; 0: before it
	servers          map[string]*server // by name; all that are listed or have something in flight
	caches           []*server          // the usable edge caches of the own zone, by name
	parents          []*server          // the usable parents, by name
	origin           *server            // nil: none is usable
	parentRanking    *rendezvousRanking // of parents
	endpointsVersion int                // counts endpoint lists

	// Subsets and accounting groups.
	subsets        map[int]*subset // by number; 0: all edge caches of the zone
	emptySubset    *subset         // stands for those that are not defined
	capacityShares []float64       // by accounting group

	// Requests.
	requests        map[string]*request // open ones, by id
	watchedRequests map[int64]*request  // by token of the timer that checks their attempts
	lastTimerToken  int64
	cancelBudget    float64 // requests whose attempt may be canceled as lost

	// Fills that reach the origin.
	originFills             server  // stands for the origin as seen through parents: limit, and what may reach it
	confirmedOriginFills    int     // fills in flight that are known to reach it
	maxPossibleOriginFills  float64 // bound on originFills.concurrencyLimit
	maxConfirmedOriginFills float64 // bound on confirmedOriginFills

	// Purges.
	purgedAt map[purgeKey]int64 // when an object, or a group, was purged last
	purges   purgeHeap          // all purges within their retention

	// Learned from requests and responses.
	tenants               map[string]*tenantUsage // by name
	recentRequests        map[string]int          // by object; halved now and then
	recentRequestCount    int                     // sum of recentRequests
	meanSendTime          []float64               // by class, from responses
	meanRequestedSendTime map[string]*runningMean // by name of class, from sizes of requests
	tailMultiple          []float64               // by class: what few responses exceed, in usual response times
	peakWorkRates         [roleCount]float64      // by role: the most that one warm server did for this router
	linkUse               float64                 // transfers on the zone's link over those that fit, by load reports
}

// NewEngine returns an engine for the settings, whose random numbers come from the seed. Where the settings can't be
// used, the error is a *SettingsError.
func NewEngine(settings Settings, seed int64) (*Engine, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	noParents := newRendezvousRanking(nil, false)
	e := &Engine{
		settings:         settings,
		classIndexes:     make(map[string]int),
		hasServerWeights: settings.hasServerWeights(),
		hitRatioIndex:    slices.Index(settings.LoadReporting.Fields, hitRatioField),
		linkUseIndex:     slices.Index(settings.LoadReporting.Fields, linkUseField),

		rng: rand.New(rand.NewPCG(uint64(seed), 0)),

		servers:       make(map[string]*server),
		parentRanking: noParents,

		subsets:     map[int]*subset{0: {endpointsVersion: neverFound}},
		emptySubset: &subset{ranking: noParents},

		requests:        make(map[string]*request),
		watchedRequests: make(map[int64]*request),

		originFills:             server{concurrencyLimit: unlimitedOriginFills, role: roleOrigin},
		maxPossibleOriginFills:  unlimitedOriginFills,
		maxConfirmedOriginFills: unlimitedOriginFills,

		purgedAt: make(map[purgeKey]int64),

		tenants:               make(map[string]*tenantUsage),
		recentRequests:        make(map[string]int),
		meanSendTime:          make([]float64, len(settings.Classes)),
		meanRequestedSendTime: make(map[string]*runningMean),
		tailMultiple:          make([]float64, len(settings.Classes)),
	}
	for i, class := range settings.Classes {
		e.classIndexes[class.Name] = i
		e.purgeRetention = max(e.purgeRetention, settings.Hierarchy.PurgePropagationTime+class.Deadline)
		e.meanSendTime[i] = float64(max(class.LatencyObjective, class.Deadline/8)) / 2
		e.tailMultiple[i] = initialTailMultiple
	}
	for _, tenant := range settings.Tenants {
		quota := tenant.QuotaPerSecond / float64(max(settings.FleetSize, 1))
		e.tenants[tenant.Name] = &tenantUsage{quotaPerSecond: quota}
	}
	return e, nil
}

// Step takes the events that came in at a time and returns what to do, in order. Times must not decrease.
func (e *Engine) Step(now int64, events []Event) []Action {
	e.beginStep(now)
	for i := range events {
		ev := &events[i]
		switch ev.Kind {
		case EventEndpoints:
			e.updateEndpoints(ev)
		case EventRequest:
			e.acceptRequest(ev)
		case EventFirstByte:
			e.responseStarted(ev)
		case EventOutcome:
			e.attemptEnded(ev)
		case EventAborted:
			e.closeRequest(ev.RequestID)
		case EventTimer:
			e.timerFired(ev.TimerToken)
		case EventPurge:
			e.recordPurge(ev)
		case EventSubset:
			e.defineSubset(ev)
		case EventOriginFillBounds:
			e.boundOriginFills(ev)
		case EventParentOverloaded:
			e.parentOverloaded(e.servers[ev.Server])
		}
	}
	return e.actions
}

// beginStep begins a step.
func (e *Engine) beginStep(now int64) {
	e.now = now
	e.actions = nil
	if e.startedAt == 0 {
		e.startedAt = now
	}
}

// emit adds an action to those that the step returns.
func (e *Engine) emit(action Action) {
	if e.actions == nil {
		e.actions = make([]Action, 0, 2) // most requests make two: the attempt and the timer of its first check
	}
	e.actions = append(e.actions, action)
}
