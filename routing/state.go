package routing

// What a Engine remembers: the structures that the decisions beside it read and write. Nothing is decided here.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// circuitBreaker is a failure-rate breaker: closed, open until a time, then half-open with one trial out.
type circuitBreaker struct {
	outcomes      [breakerMaxOutcomes]struct{ weight, failed float64 }
	next          int
	openUntil     int64 // 0: closed
	trialInFlight bool
	trialFailed   bool // its last trial failed too
}

// purgeKey names an object, or with no object a group.
type purgeKey struct {
	object string
	group  int64
}

// datedPurge is a purge and when it was made.
type datedPurge struct {
	key    purgeKey
	madeAt int64
}

// purgeHeap holds purges for container/heap, the oldest first.
type purgeHeap []datedPurge

func (h purgeHeap) Len() int           { return len(h) }
func (h purgeHeap) Less(i, j int) bool { return h[i].madeAt < h[j].madeAt }
func (h purgeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *purgeHeap) Push(purge any)    { *h = append(*h, purge.(datedPurge)) }

func (h *purgeHeap) Pop() any {
	last := len(*h) - 1
	purge := (*h)[last]
	(*h)[last] = datedPurge{} // lets its name go
	*h = (*h)[:last]
	return purge
}

type coldSend struct {
	sentAt int64
	work   float64
}

// tenant is a customer's traffic at this router, and its part of the quota a second.
type tenant struct {
	decayingSum
	quotaPerSecond float64
}

// server is one server as this router knows it.
type server struct {
	name, zone        string
	role              int
	cell, startedAt   int64
	isHealthy         bool // listed as healthy
	isDelisted        bool // listed no more: forgotten once nothing is out at it
	breaker           circuitBreaker
	inFlight          int           // attempts out at it or filled from it
	groupUsage        []*groupUsage // of accounts, from 1, at a server that they share
	concurrencyLimit  float64       // the most that may be out (AIMD)
	limitReducedAt    int64         // when that was last cut
	coldSends         []coldSend    // sent while cold, within the span of the rule
	coldDrawAt        int64         // when luck was drawn, for the span that follows
	coldDraw          float64
	recentWork        decayingSum // work done for this router while warm
	recentAnswers     decayingSum // answers and fills that came from it
	answerCount       float64     // their sum
	weight, missRatio float64
	minOriginWait     float64 // least wait of late for what the origin gave through it
	routers           float64 // routers that share it
}

// groupUsage is what one account has at a server that accounts share.
type groupUsage struct {
	breaker    circuitBreaker
	inFlight   int
	recentPeak decayingSum // the most it had out of late
}

// reserved is how much of what it had out of late, at most, an account has free at present.
func (s *groupUsage) reserved(now int64, most float64) float64 {
	return max(min(s.recentPeak.sum*math.Exp(-float64(now-s.recentPeak.updatedAt)/reservedShareDecay), most)-float64(s.inFlight), 0)
}

// usageOf returns that of an account above 0.
func (n *server) usageOf(account int) *groupUsage {
	for len(n.groupUsage) <= account {
		n.groupUsage = append(n.groupUsage, &groupUsage{})
	}
	return n.groupUsage[account]
}

// breakerFor is the breaker that an account's requests heed: caches have one for all.
func (n *server) breakerFor(account int) *circuitBreaker {
	if account == 0 || n.role == roleEdgeCache {
		return &n.breaker
	}
	return &n.usageOf(account).breaker
}

// resetForNewProcess voids what was held against the process before.
func (n *server) resetForNewProcess(cameUp int64) {
	n.startedAt, n.breaker, n.coldSends, n.concurrencyLimit, n.limitReducedAt = cameUp, circuitBreaker{}, nil, 0, 0
	for _, s := range n.groupUsage {
		s.breaker = circuitBreaker{}
	}
}

// addInFlight books one more, or one less, out at n for an account.
func (r *Engine) addInFlight(n *server, account, more int) {
	n.inFlight += more
	if account > 0 && n.role != roleEdgeCache {
		s := n.usageOf(account)
		s.inFlight += more
		if top := s.recentPeak.sum * math.Exp(-float64(r.now-s.recentPeak.updatedAt)/reservedShareDecay); float64(s.inFlight) >= top {
			s.recentPeak = decayingSum{float64(s.inFlight), r.now}
		}
	}
}

// subset is a set of caches, or of area caches, from which requests are picked.
type subset struct {
	serverNames      []string // nil: all of the zone
	accountingGroup  int
	servers          []*server // usable, by name
	ranking          *rendezvousRanking
	endpointsVersion int  // state of the list of servers at which these were found
	inPanic          bool // every cache is open
}

// subsetOf returns a set as the list of servers has it now.
func (r *Engine) subsetOf(set int) *subset {
	p := r.subsets[set]
	if p == nil {
		return r.emptySubset
	}
	if p.endpointsVersion != r.endpointsVersion {
		p.endpointsVersion = r.endpointsVersion
		if p.servers = r.caches; p.serverNames != nil {
			p.servers = nil
			for _, name := range p.serverNames {
				if n := r.servers[name]; n != nil && n.isHealthy && n.role != roleOrigin {
					p.servers = append(p.servers, n)
				}
			}
		}
		p.ranking = newRendezvousRanking(p.servers, r.hasServerWeights)
	}
	return p
}

// defineSubset takes a set of caches, and its account's share of what all share.
func (r *Engine) defineSubset(ev *Event) {
	if ev.Subset == 0 {
		r.maxPossibleOriginFills, r.maxConfirmedOriginFills = cmp.Or(ev.MaxPossibleOriginFills, unlimitedOriginFills), cmp.Or(ev.MaxConfirmedOriginFills, unlimitedOriginFills)
		r.originFills.concurrencyLimit = min(r.originFills.concurrencyLimit, r.maxPossibleOriginFills)
		return
	}
	if len(ev.SubsetServers) == 0 {
		delete(r.subsets, ev.Subset)
		return
	}
	names := slices.Clone(ev.SubsetServers)
	slices.Sort(names)
	r.subsets[ev.Subset] = &subset{serverNames: slices.Compact(names), accountingGroup: ev.AccountingGroup, endpointsVersion: -1}
	for len(r.capacityShares) <= ev.AccountingGroup {
		r.capacityShares = append(r.capacityShares, 0)
	}
	r.capacityShares[ev.AccountingGroup] = ev.CapacityShare
}

// attempt is what is out for a request.
type attempt struct {
	server, source                           *server
	sentAt                                   int64
	fills, mayReachOrigin                    bool              // names a source for a miss; and the origin may be asked
	trials                                   []*circuitBreaker // those whose half-open trial this is
	work                                     float64
	serverAnswersBefore, sourceAnswersBefore float64 // what they had answered when it was sent
	canceledAsSilent, canceledAsLost         bool    // called back because nothing came; and others got answers meanwhile
}

// request is one request that this router owes an answer.
type request struct {
	Event
	class                            int
	accountingGroup                  int
	chunkKey                         string // object and part: what is kept and filled on its own
	deadline                         int64
	attempts, maxAttempts            int     // made, and allowed when it came
	expectedWork                     float64 // mean sending time of its class, when it came
	inFlight, started                bool
	isOverQuota                      bool    // past its tenant's share
	firstRunServer                   *server // where the first attempt that may have run went, at firstRunAt; nil: none may have
	firstRunAt                       int64
	current                          attempt
	retryCache                       *server   // the cache whose fill failed
	wantsCachedCopy, triedCachedCopy bool      // the next attempt takes a held copy, without a fill; it has been made
	cachedCopyMissed                 bool      // the last attempt asked for a held copy in vain
	sourcesFull                      bool      // when a source was last picked, one was at its limit or cold budget
	confirmedMisses                  int       // 1: its source is known to hold no copy, so that a fill asks the origin
	failedCaches, failedSources      []*server // caches and sources that failed this request
	bareErrorCaches                  []*server // caches that gave a bare error: charged once another has shown that q is sound
}

// Engine decides for one instance. It is not safe for concurrent use.
type Engine struct {
	settings                Settings
	rng                     *rand.Rand
	now                     int64
	startedAt               int64 // when the first step was; 0: before it
	actions                 []Action
	classes                 map[string]int
	servers                 map[string]*server
	caches                  []*server // usable, of the own zone, by name
	parents                 []*server // usable, by name
	subsets                 map[int]*subset
	emptySubset             *subset
	capacityShares          []float64          // by account, of servers that all share
	maxPossibleOriginFills  float64            // the limit of behind at most
	maxConfirmedOriginFills float64            // of asked; where that is less, a source is looked at before it may ask
	endpointsVersion        int                // counts lists of servers
	parentRanking           *rendezvousRanking // of parents
	origin                  *server
	originFills             server // the origin as seen through parents: what may ask it in turn
	confirmedOriginFills    int    // of that, what is known to ask it
	requests                map[string]*request
	purged                  map[purgeKey]int64 // when an object, or a group, was purged
	purges                  purgeHeap          // all purges since the oldest of these
	tenants                 map[string]*tenant
	recentRequests          map[string]int
	recentRequestCount      int
	meanSendTime            []float64               // by class: mean sending time seen
	meanRequestedSendTime   map[string]*runningMean // by name of class: mean sending time of requests as they come
	tailMultiple            []float64               // by class: what few answers exceed, in usual times
	cancelBudget            float64                 // requests that may be called back as lost
	peakWorkRates           [roleRemoteCache + 1]float64
	purgeRetention          int64 // how long a purge matters
	nextTimerToken          int64
	watchedAttempts         map[int64]*request // by token of the timer that looks at its attempt
	hitRatioIndex           int
	linkUseIndex            int
	linkUse                 float64 // by reports of the own zone's caches: transfers on its link over those that fit
	hasServerWeights        bool    // weights tell the sizes of servers
}
