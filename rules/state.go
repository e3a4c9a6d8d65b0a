package rules

// What a Router remembers: the structures that the decisions beside it read and write. Nothing is decided here.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

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

// datedPurge is a purge and when it was made.
type datedPurge struct {
	key  purgeKey
	made int64
}

// purgeHeap holds purges for container/heap, the oldest first.
type purgeHeap []datedPurge

func (h purgeHeap) Len() int           { return len(h) }
func (h purgeHeap) Less(i, j int) bool { return h[i].made < h[j].made }
func (h purgeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *purgeHeap) Push(purge any)    { *h = append(*h, purge.(datedPurge)) }

func (h *purgeHeap) Pop() any {
	last := len(*h) - 1
	purge := (*h)[last]
	(*h)[last] = datedPurge{} // lets its name go
	*h = (*h)[:last]
	return purge
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
	out              int      // attempts out at it or filled from it
	stakes           []*stake // of accounts, from 1, at a server that they share
	limit            float64  // the most that may be out (AIMD)
	cutAt            int64    // when that was last cut
	spent            []sent   // sent while cold, within the span of the rule
	drawnAt          int64    // when luck was drawn, for the span that follows
	luck             float64
	work             meter   // work done for this router while warm
	answers          meter   // answers and fills that came from it
	answered         float64 // their sum
	weight, missPart float64
	base             float64 // least wait of late for what the origin gave through it
	seats            float64 // routers that share it
}

// stake is what one account has at a server that accounts share.
type stake struct {
	brk breaker
	out int
	top meter // the most it had out of late
}

// keeps is how much of what it had out of late, at most, an account has free at present.
func (s *stake) keeps(now int64, most float64) float64 {
	return max(min(s.top.sum*math.Exp(-float64(now-s.top.at)/shareKept), most)-float64(s.out), 0)
}

// stake returns that of an account above 0.
func (n *node) stake(account int) *stake {
	for len(n.stakes) <= account {
		n.stakes = append(n.stakes, &stake{})
	}
	return n.stakes[account]
}

// gate is the breaker that an account's requests heed: caches have one for all.
func (n *node) gate(account int) *breaker {
	if account == 0 || n.role == roleCache {
		return &n.brk
	}
	return &n.stake(account).brk
}

// renew voids what was held against the process before.
func (n *node) renew(cameUp int64) {
	n.cameUp, n.brk, n.spent, n.limit, n.cutAt = cameUp, breaker{}, nil, 0, 0
	for _, s := range n.stakes {
		s.brk = breaker{}
	}
}

// occupy books one more, or one less, out at n for an account.
func (r *Router) occupy(n *node, account, more int) {
	n.out += more
	if account > 0 && n.role != roleCache {
		s := n.stake(account)
		s.out += more
		if top := s.top.sum * math.Exp(-float64(r.now-s.top.at)/shareKept); float64(s.out) >= top {
			s.top = meter{float64(s.out), r.now}
		}
	}
}

// pool is a set of caches, or of area caches, from which requests are picked.
type pool struct {
	names   []string // nil: all of the zone
	account int
	caches  []*node // usable, by name
	rank    *ranks
	list    int  // state of the list of servers at which these were found
	panic   bool // every cache is open
}

// poolOf returns a set as the list of servers has it now.
func (r *Router) poolOf(set int) *pool {
	p := r.pools[set]
	if p == nil {
		return r.empty
	}
	if p.list != r.listed {
		p.list = r.listed
		if p.caches = r.caches; p.names != nil {
			p.caches = nil
			for _, name := range p.names {
				if n := r.nodes[name]; n != nil && n.usable && n.role != roleOrigin {
					p.caches = append(p.caches, n)
				}
			}
		}
		p.rank = newRanks(p.caches, r.weighs)
	}
	return p
}

// confine takes a set of caches, and its account's share of what all share.
func (r *Router) confine(ev *Event) {
	if ev.Set == 0 {
		r.behindMost, r.asksMost = cmp.Or(ev.Behind, behindMost), cmp.Or(ev.Asks, behindMost)
		r.behind.limit = min(r.behind.limit, r.behindMost)
		return
	}
	if len(ev.Names) == 0 {
		delete(r.pools, ev.Set)
		return
	}
	names := slices.Clone(ev.Names)
	slices.Sort(names)
	r.pools[ev.Set] = &pool{names: slices.Compact(names), account: ev.Account, list: -1}
	for len(r.shares) <= ev.Account {
		r.shares = append(r.shares, 0)
	}
	r.shares[ev.Account] = ev.Share
}

// attempt is what is out for a request.
type attempt struct {
	node, source       *node
	at                 int64
	fills, deep        bool       // names a source for a miss; and the origin may be asked
	trials             []*breaker // those whose half-open trial this is
	work               float64
	nodeHad, sourceHad float64 // what they had answered when it was sent
	silent, lost       bool    // called back because nothing came; and others got answers meanwhile
}

// request is one request that this router owes an answer.
type request struct {
	Event
	class          int
	account        int
	part           string // object and part: what is kept and filled on its own
	deadline       int64
	attempts, most int     // made, and allowed when it came
	work           float64 // mean sending time of its class, when it came
	out, started   bool
	over           bool  // past its tenant's share
	ranNode        *node // where the first attempt that may have run went, at ranAt; nil: none may have
	ranAt          int64
	cur            attempt
	cache          *node   // the cache whose fill failed
	held, wasHeld  bool    // the next attempt takes a held copy, without a fill; it has been made
	missed         bool    // the last attempt asked for a held copy in vain
	full           bool    // when a source was last picked, one was at its limit or cold budget
	looked         int     // 1: its source is known to hold no copy, so that a fill asks the origin
	tried, sources []*node // caches and sources that failed this request
	doubts         []*node // caches that gave a bare error: charged once another has shown that q is sound
}

// Router decides for one instance. It is not safe for concurrent use.
type Router struct {
	set        Settings
	rng        *rand.Rand
	now        int64
	began      int64 // when the first step was; 0: before it
	acts       []Action
	classes    map[string]int
	nodes      map[string]*node
	caches     []*node // usable, of the own zone, by name
	parents    []*node // usable, by name
	pools      map[int]*pool
	empty      *pool
	shares     []float64 // by account, of servers that all share
	behindMost float64   // the limit of behind at most
	asksMost   float64   // of asked; where that is less, a source is looked at before it may ask
	listed     int       // counts lists of servers
	upRank     *ranks    // of parents
	origin     *node
	behind     node // the origin as seen through parents: what may ask it in turn
	asked      int  // of that, what is known to ask it
	requests   map[string]*request
	purged     map[purgeKey]int64 // when an object, or a group, was purged
	purges     purgeHeap          // all purges since the oldest of these
	tenants    map[string]*tenant
	recent     map[string]int
	recentN    int
	sendMean   []float64        // by class: mean sending time seen
	sizes      map[string]*mean // by name of class: mean sending time of requests as they come
	tail       []float64        // by class: what few answers exceed, in usual times
	spare      float64          // requests that may be called back as lost
	peak       [roleOther + 1]float64
	purgeSpan  int64 // how long a purge matters
	token      int64
	watched    map[int64]*request // by token of the timer that looks at its attempt
	hasX0      int
	hasX1      int
	linkUse    float64 // by reports of the own zone's caches: transfers on its link over those that fit
	weighs     bool    // weights tell the sizes of servers
}
