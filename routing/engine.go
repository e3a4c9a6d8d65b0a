// Package routing makes the decisions of one request router in front of a hierarchy of caches: which edge cache gets a
// request, which parent or origin fills a miss, whether a failed attempt is retried, and which requests are rejected so
// that no server is overloaded.
//
// An Engine is a state machine: it performs no I/O, reads no clock and starts no goroutines. Step processes the events
// that occurred at a given time and returns the resulting actions in order. The same settings, seed and events always
// result in the same actions. All random numbers are derived from the seed.
//
// Each kind of decision has its own file:
//
//   - selection: edge cache, source of a fill, direct fetch, uncacheable requests
//   - rendezvous: the order of servers for an object, which is the same at all routers
//   - concurrency: adaptive limits on the requests in flight at a server, and the accounting groups' shares of them
//   - origin_fills: admission of fills to the origin
//   - slow_start: how much work a recently started server may be sent
//   - circuit_breaker: which servers are ejected, and which server a failure is charged to
//   - outcomes: whether and where a failed attempt is retried
//   - idempotency: whether and for how long a retry is safe, and the final answer if it is not
//   - lost_responses: detection of attempts whose response will not arrive
//   - freshness, purges: the maximum age of a cached copy that may be served
//   - endpoints, subsets: the known servers, and which of them a request may use
//   - estimates: learned estimates of sizes, times and capacities
//   - handover: the learned state that a process hands to its replacement
package routing

import (
	"math/rand/v2"
	"slices"
)

// Engine makes the decisions of one request router. It is not safe for concurrent use. All times are in microseconds
// and refer to the clock whose time is passed to Step.
type Engine struct {
	// Settings, and values derived from them.
	settings         Settings
	classIndexes     map[string]int // by class name
	hasServerWeights bool           // the weights in the endpoint list are the sizes of servers
	hitRatioIndex    int            // index in load reports; -1: absent
	linkUseIndex     int            // index in load reports; -1: absent
	purgeRetention   int64          // how long a purge is remembered

	// The current step.
	now     int64
	actions []Action
	rng     *rand.Rand

	// Servers.
	startedAt        int64              // time of the first step; 0: no step yet
	servers          map[string]*server // by name; all servers that are listed or have requests in flight
	caches           []*server          // the usable edge caches of this router's zone, sorted by name
	parents          []*server          // the usable parents, sorted by name
	origin           *server            // nil: no origin is usable
	parentRanking    *rendezvousRanking // of parents
	endpointsVersion int                // incremented at each change of the endpoint list

	// Subsets and accounting groups.
	subsets        map[int]*subset // by number; 0: all edge caches of the zone
	emptySubset    *subset         // used for undefined subset numbers
	capacityShares []float64       // by accounting group

	// Requests.
	requests        map[string]*request // open requests, by id
	watchedRequests map[int64]*request  // by token of the timer that checks the attempt
	lastTimerToken  int64
	cancelBudget    float64 // number of requests whose attempt may be canceled as lost

	// Fills that reach the origin.
	originFills             server  // pseudo-server: fills that may reach the origin, and their limit
	confirmedOriginFills    int     // fills in flight that are known to reach the origin
	maxPotentialOriginFills float64 // bound on originFills.concurrencyLimit
	maxConfirmedOriginFills float64 // bound on confirmedOriginFills

	// Purges.
	purgedAt map[purgeKey]int64 // time of the last purge of an object or a purge group
	purges   purgeHeap          // all purges within their retention

	// Learned from requests and responses.
	tenants               map[string]*tenantUsage // by name
	recentRequests        map[string]int          // by object; all halved when their sum is recentRequestWindow
	recentRequestCount    int                     // sum of recentRequests
	meanSendTime          []float64               // by class, from responses
	meanRequestedSendTime map[string]*runningMean // by class name, from the sizes given in requests
	tailMultiple          []float64               // by class: 98th percentile of response time / usual response time
	peakWorkRates         [roleCount]float64      // by role: highest rate of work by one warm server for this router
	linkUse               float64                 // use of the zone's link relative to its capacity, from load reports
}

// NewEngine returns an engine for the settings. All of its random numbers are derived from the seed. If the settings
// are invalid, the error is a *SettingsError.
func NewEngine(settings Settings, seed int64) (*Engine, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	emptyRanking := newRendezvousRanking(nil, false)
	e := &Engine{
		settings:         settings,
		classIndexes:     make(map[string]int),
		hasServerWeights: settings.hasServerWeights(),
		hitRatioIndex:    slices.Index(settings.LoadReporting.Fields, hitRatioField),
		linkUseIndex:     slices.Index(settings.LoadReporting.Fields, linkUseField),

		rng: rand.New(rand.NewPCG(uint64(seed), 0)),

		servers:       make(map[string]*server),
		parentRanking: emptyRanking,

		subsets:     map[int]*subset{0: {endpointsVersion: noEndpointsVersion}},
		emptySubset: &subset{ranking: emptyRanking},

		requests:        make(map[string]*request),
		watchedRequests: make(map[int64]*request),

		originFills:             server{concurrencyLimit: maxOriginFills, role: roleOrigin},
		maxPotentialOriginFills: maxOriginFills,
		maxConfirmedOriginFills: maxOriginFills,

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

// Step processes the events that occurred at the time now and returns the resulting actions in order. The time must not
// decrease from call to call.
func (e *Engine) Step(now int64, events []Event) []Action {
	e.startStep(now)
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

// startStep sets the time of a new step and clears the actions of the previous one.
func (e *Engine) startStep(now int64) {
	e.now = now
	e.actions = nil
	if e.startedAt == 0 {
		e.startedAt = now
	}
}

// emit appends an action to those that the current step returns.
func (e *Engine) emit(action Action) {
	if e.actions == nil {
		e.actions = make([]Action, 0, 2) // most requests need two: the attempt and the timer of its first check
	}
	e.actions = append(e.actions, action)
}
