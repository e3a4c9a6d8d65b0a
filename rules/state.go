package rules

// What a Router remembers: the structures that the decisions beside it read and write. Nothing is decided here.

import "math/rand/v2"

// breaker is a failure-rate breaker: closed, open until a time, then half-open with one trial out.
type breaker struct {
	ring  [breakerRing]struct{ weight, failed float64 }
	next  int
	until int64 // 0: closed
	trial bool
	dead  bool // its last trial failed too
}

// purgeKey names an object, or with no object a group.
type purgeKey struct {
	object string
	group  int64
}

type sent struct {
	at   int64
	work float64
}

// tenant is a customer's traffic at this router, and its part of the quota a second.
type tenant struct {
	meter
	quota float64
}

// node is one server as this router knows it.
type node struct {
	name, zone       string
	role             int
	cell, cameUp     int64
	usable           bool // listed as healthy
	gone             bool // listed no more: forgotten once nothing is out at it
	brk              breaker
	out              int     // attempts out at it or filled from it
	limit            float64 // the most that may be out (AIMD)
	cutAt            int64   // when that was last cut
	spent            []sent  // sent while cold, within the span of the rule
	drawnAt          int64   // when luck was drawn, for the span that follows
	luck             float64
	work             meter   // work done for this router while warm
	answers          meter   // answers and fills that came from it
	answered         float64 // their sum
	weight, missPart float64
	seats            float64 // routers that share it
}

// attempt is what is out for a request.
type attempt struct {
	node, source       *node
	at                 int64
	fills, deep        bool    // names a source for a miss; which may ask the origin in turn
	trials             []*node // servers whose half-open trial this is
	work               float64
	nodeHad, sourceHad float64 // what they had answered when it was sent
	silent, lost       bool    // called back because nothing came; and others got answers meanwhile
}

// request is one request that this router owes an answer.
type request struct {
	Event
	class          int
	part           string // object and part: what is kept and filled on its own
	deadline       int64
	attempts       int
	out, started   bool
	over           bool  // past its tenant's share
	ranNode        *node // where the first attempt that may have run went, at ranAt; nil: none may have
	ranAt          int64
	cur            attempt
	cache          *node   // the cache whose fill failed
	held, heldDone bool    // the next attempt takes a held copy, without a fill; it has been made
	tried, sources []*node // caches and sources that failed this request
	doubts         []*node // caches that gave a bare error: charged once another has shown that q is sound
}

// Router decides for one instance. It is not safe for concurrent use.
type Router struct {
	set       Settings
	rng       *rand.Rand
	pcg       *pcg // what rng draws from
	now       int64
	acts      []Action
	classes   map[string]int
	nodes     map[string]*node
	caches    []*node // usable, of the own zone, by name
	parents   []*node // usable, by name
	odd       []*node // of caches: those that are not plainly usable, or were not
	cacheRank *ranks
	upRank    *ranks // of parents
	origin    *node
	behind    node // the origin as seen through parents: what may ask it in turn
	requests  map[string]*request
	purged    map[purgeKey]int64 // when an object, or a group, was purged
	tenants   map[string]*tenant
	recent    map[string]int
	recentN   int
	sendMean  []float64 // by class: mean sending time seen
	tail      []float64 // by class: what few answers exceed, in usual times
	spare     float64   // requests that may be called back as lost
	peak      [roleOther + 1]float64
	purgeSpan int64 // how long a purge matters
	token     int64
	watched   map[int64]*request // by token of the timer that looks at its attempt
	hasX0     int
	weighs    bool // weights tell the sizes of servers
	panic     bool // every cache of the zone is open
}
