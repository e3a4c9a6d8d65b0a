// Package rules makes the decisions of a router before tiers of caches with one origin behind them. Here is
// every decision and every tuned value; its interface (settings, events, actions) is in rules/types.go.
package rules

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

// The tuned values. Times are microseconds; the rest are ratios or counts.
const (
	breakerHeld     = 3          // outcomes held before a breaker may open: the design's
	breakerShare    = 0.5        // share of failed outcomes that opens it: the design's
	breakerRing     = 8          // outcomes held at most: a sudden fault opens it after four
	breakerCoolDown = 10_000_000 // us a failing source is skipped before its trial: the design's
	breakerSpread   = 0.3        // random share more: routers must not try a cold parent together
	cacheCoolDown   = 2_000_000  // us a failing cache is skipped: a trial is one request, peers are few
	cacheShare      = 0.75       // share of failures that opens a cache: half is better sent again
	freshJitter     = 0.2        // random share taken off the fresh time: the design's
	hotShare        = 0.25       // an object is hot past this share of a cache's even part of requests
	recentRequests  = 512        // requests over which shares are counted, halved when full
	silentAnswers   = 8          // answers due and none come: silent (by chance under 1 in 1000)
	silentCheck     = 0.5        // time between looks for silence, in aims
	silentAims      = 4          // aims without an answer: silent, however few were due
	leastAim        = 0.05       // an aim counts as this share of the deadline at least
	tailUp          = 0.2        // step of the tail of answer times at an answer past it
	tailDown        = 0.004      // and at any other: 98 of 100 answers stay under it
	tailStart       = 4.0        // the tail at the start, in usual times
	tailRoom        = 1.5        // times the tail that a first answer may take: then it is lost
	lostAnswers     = 3          // answers of its cache meanwhile, or it is no lone loss
	lostShare       = 0.03       // share of requests that may be called back as lost: no storm in a jam
	lostMost        = 5          // of them saved up
	tailBase        = 0.25       // share of the promise that a usual time holds besides the sending time
	doubtsMost      = 2          // caches that give a bare error: then it is the request, not they
	passAttempts    = 3          // attempts of an uncacheable request: refusals come at once
	coldSafety      = 0.6        // share of a cold budget used: parts are uneven, estimates rough
	rateSpan        = 4_000_000  // us over which rates are averaged
	unknownMisses   = 0.3        // share of misses where neither notes nor reports tell
	fewTransfers    = 1.0        // link of a server of which nothing is known, in transfers
	purgeMargin     = 1_000      // us taken off age limits after a purge, for the tick
	keyedMargin     = 0.9        // share of the memory span within which a keyed request goes again
	firstLimit      = 16         // requests out at a new server; grows fast until the first cut
	firstSpare      = 2          // more of them for each router: that many come together by chance
	leastLimit      = 0.05       // least limit: of few requests a router tries one now and then
	limitCut        = 0.85       // factor on a limit at a late answer, for each mean sending time
	limitRoom       = 2.0        // most out for each transfer of a router's part of a server found late
	behindGrowth    = 1.1        // growth of the limit on fills that may ask the origin through a parent
	behindStep      = 0.5        // and in requests: it comes back from one in a few answers
	behindLeast     = 1          // that limit at least, or no recovery would be seen
	behindMost      = 1000       // that limit at most, and at the start: few fills get that far
	limitGrowth     = 9          // added to a limit, summed over a server's routers, a round of answers
	limitTarget     = 0.5        // share of the aim less the sending time past which an answer cuts a limit
	limitTargetMean = 0.8        // the same where sizes are not told: a large part is late by nature
	denseReserve    = 0.5        // share of a limit kept for what earns most for its sending time
	retryAims       = 0.12       // least retry-after in aims, up to twice that: a try in time still earns
	keepRank        = 1          // rank of copies kept: one rank, dropped by last use
	meanStep        = 0.02       // step of the mean sending times
	askShare        = 0.5        // share of AskWithin within which a failed subscription is renewed
)

const (
	roleCache = iota
	roleParent
	roleOrigin
	roleOther
)

// breaker is a failure-rate breaker: closed, open until a time, then half-open with one trial out.
type breaker struct {
	ring  [breakerRing]struct{ weight, failed float64 }
	next  int
	until int64 // 0: closed
	trial bool
	dead  bool // its last trial failed too
}

func (b *breaker) open(now int64) bool { return b.until != 0 && (now < b.until || b.trial) }

// ready reports that the next user of the server would be the trial.
func (b *breaker) ready(now int64) bool { return b.until != 0 && now >= b.until && !b.trial }

// record holds one outcome and opens or resets the breaker.
func (b *breaker) record(now int64, failed, trial bool, weight, share float64, coolDown int64) {
	if b.until != 0 {
		if trial && failed {
			b.until, b.dead = now+coolDown, true
		} else if trial {
			*b = breaker{}
		}
		return
	}
	sum, bad := 0.0, 0.0
	if failed {
		bad = weight
	}
	b.ring[b.next%breakerRing].weight, b.ring[b.next%breakerRing].failed = weight, bad
	b.next++
	bad = 0
	for _, o := range b.ring {
		sum += o.weight
		bad += o.failed
	}
	if sum >= breakerHeld && bad >= share*sum && failed {
		*b = breaker{until: now + coolDown}
	}
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
	score            float64 // of the last ranking: scratch
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
	now       int64
	acts      []Action
	classes   map[string]int
	nodes     map[string]*node
	caches    []*node // usable, of the own zone, by name
	parents   []*node // usable, by name
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

// New returns a router for the settings; seed feeds its random numbers.
func New(set Settings, seed int64) (*Router, error) {
	r := &Router{set: set, rng: rand.New(rand.NewPCG(uint64(seed), 0)), classes: map[string]int{},
		nodes: map[string]*node{}, requests: map[string]*request{}, purged: map[purgeKey]int64{},
		watched: map[int64]*request{}, tenants: map[string]*tenant{}, recent: map[string]int{},
		sendMean: make([]float64, len(set.Classes)), behind: node{limit: behindMost}}
	if len(set.Classes) == 0 {
		return nil, fmt.Errorf("Classes: none")
	}
	effects := []string{"read_like", "idempotency_key", "non_idempotent"}
	for i, c := range set.Classes {
		if c.Name == "" || c.Deadline <= 0 || !slices.Contains(effects, c.Idempotency) {
			return nil, fmt.Errorf("Classes[%d]: needs Name, a positive Deadline, a known Idempotency", i)
		}
		r.classes[c.Name] = i
		r.purgeSpan = max(r.purgeSpan, set.Extra.PurgeTakes+c.Deadline)
		r.sendMean[i] = float64(max(c.Promise, c.Deadline/8)) / 2
		r.tail = append(r.tail, tailStart)
	}
	for _, t := range set.Tenants {
		r.tenants[t.Name] = &tenant{quota: t.QuotaPerS / float64(max(set.Siblings, 1))}
	}
	switch m := set.Extra.MasterKind; {
	case set.Zone == "":
		return nil, fmt.Errorf("Zone: missing")
	case m < 0 || m >= len(set.Kinds):
		return nil, fmt.Errorf("Extra.MasterKind: %d is no place in Kinds", m)
	case set.Permissions.MaxAttempts <= 0:
		return nil, fmt.Errorf("Permissions.MaxAttempts: must be positive")
	}
	r.weighs = set.WeightSource == "nominal" || set.WeightSource == "rough"
	r.hasX0 = slices.Index(set.Report.Fields, "x0")
	return r, nil
}

// Step takes what came in at a time and returns what to do, in order.
func (r *Router) Step(now int64, events []Event) []Action {
	r.now, r.acts = now, nil
	for i := range events {
		ev := &events[i]
		switch ev.Kind {
		case Members:
			r.members(ev)
		case Request:
			r.take(ev)
		case FirstByte:
			if q := r.requests[ev.Call]; q != nil {
				q.started = true
			}
		case Outcome:
			r.outcome(ev)
		case Gone:
			r.drop(ev.Call)
		case Timer:
			r.timer(ev.Token)
		case Purged:
			r.purge(ev)
		}
	}
	return r.acts
}

func (r *Router) act(a Action) { r.acts = append(r.acts, a) }

// members applies a list of servers. One that left it is not used until it is listed once more.
func (r *Router) members(ev *Event) {
	if ev.Mode == "unavailable" {
		// ask again, at random so that routers do not ask together
		wait := askShare * float64(r.set.Guarantees.AskWithin) * (0.1 + 0.9*r.rng.Float64())
		r.act(Action{Kind: SetTimer, In: int64(wait) + 1})
		return
	}
	if ev.Mode != "update" {
		for _, n := range r.nodes {
			n.usable, n.gone = false, true
		}
	}
	for _, row := range ev.Rows {
		n := r.nodes[row.Node]
		if n == nil {
			n = &node{name: row.Node, missPart: unknownMisses, cameUp: row.CameUp}
			r.nodes[row.Node] = n
		}
		if row.CameUp != n.cameUp { // a new process: what was held against the old one is void
			n.cameUp, n.brk, n.spent, n.limit, n.cutAt = row.CameUp, breaker{}, nil, 0, 0
		}
		n.usable, n.gone = row.Status == "healthy", row.Status == "deregistered"
		if row.Status == "deregistered" {
			continue
		}
		n.zone, n.cell, n.weight = row.Zone, row.Cell, row.Weight
		n.role = roleCache
		switch slices.Index(r.set.Kinds, row.Kind) {
		case r.set.Extra.MasterKind:
			n.role = roleOrigin
		case r.set.Extra.ShieldKind:
			n.role = roleParent
		}
		if n.role == roleCache && n.zone != r.set.Zone {
			n.role = roleOther
		}
		n.seats = float64(max(r.set.Siblings, 1))
		if s := at(r.set.Extra.SeatsByZone, slices.Index(r.set.Zones, n.zone)); n.role == roleCache && s > 0 {
			n.seats = float64(s)
		}
		if n.limit == 0 {
			n.limit = firstLimit / n.seats
			if n.role != roleOrigin {
				n.limit += firstSpare
			}
		}
	}
	maps.DeleteFunc(r.nodes, func(_ string, n *node) bool { return n.gone && n.out == 0 })
	r.caches, r.parents, r.origin = nil, nil, nil
	for _, name := range slices.Sorted(maps.Keys(r.nodes)) {
		n := r.nodes[name]
		switch {
		case !n.usable:
		case n.role == roleCache:
			r.caches = append(r.caches, n)
		case n.role == roleParent:
			r.parents = append(r.parents, n)
		case n.role == roleOrigin && r.origin == nil:
			r.origin = n
		}
	}
	if ev.Mode == "restored" && r.set.Discovery == "subscribe" {
		r.act(Action{Kind: Subscribe, On: true})
	}
}

// purge notes a purge for PurgeTakes and as long as a fill begun before may still be running.
func (r *Router) purge(ev *Event) {
	maps.DeleteFunc(r.purged, func(_ purgeKey, made int64) bool { return r.now-made > r.purgeSpan })
	key := purgeKey{object: ev.Object}
	if ev.Object == "" {
		key.group = ev.Group
	}
	r.purged[key] = max(r.purged[key], r.now-ev.Age)
}

// sincePurge tells how long ago the object of q was purged, or 0 if not lately.
func (r *Router) sincePurge(q *request) (since int64) {
	for _, key := range []purgeKey{{object: q.Object}, {group: q.Group}} {
		made, known := r.purged[key]
		age := max(r.now-made-purgeMargin, 1)
		if known && age <= r.purgeSpan && (since == 0 || age < since) {
			since = age
		}
	}
	return since
}

func (r *Router) take(ev *Event) {
	class, known := r.classes[ev.Class]
	if !known {
		r.act(Action{Kind: Fail, Call: ev.Call})
		return
	}
	q := &request{Event: *ev, class: class, deadline: r.now + ev.ExpiresIn}
	if t := r.tenants[q.Tenant]; t != nil {
		t.add(r.now, rateSpan, 1)
		q.over = t.rate(r.now, rateSpan)*1e6 > t.quota
	}
	r.requests[q.Call] = q
	r.spare = min(r.spare+lostShare, lostMost)
	q.part = fmt.Sprintf("%s/%d", q.Object, q.Part)
	r.recent[q.Object]++
	if r.recentN++; r.recentN >= recentRequests {
		maps.DeleteFunc(r.recent, func(_ string, n int) bool { return n < 2 })
		r.recentN = 0
		for k, n := range r.recent {
			r.recent[k] = n / 2
			r.recentN += n / 2
		}
	}
	r.dispatch(q)
}

func (r *Router) drop(call string) {
	r.settle(r.requests[call])
	delete(r.requests, call)
}

// settle takes an attempt off the books.
func (r *Router) settle(q *request) {
	if q == nil || !q.out {
		return
	}
	q.out = false
	q.cur.node.out--
	for _, n := range q.cur.trials { // a trial that tells nothing is given back
		n.brk.trial = false
	}
	if q.cur.fills {
		q.cur.source.out--
	}
	if q.cur.deep {
		r.behind.out--
	}
}

// dispatch sends the next attempt of q or gives its final answer at once.
func (r *Router) dispatch(q *request) {
	if q.deadline <= r.now || q.attempts >= r.set.Permissions.MaxAttempts || !r.mayResend(q) {
		r.end(q)
		return
	}
	if at(r.set.Extra.PassOn, q.class) {
		r.passOn(q)
		return
	}
	a := attempt{node: q.cache}
	full := false
	if a.node == nil || !r.usableFor(q, a.node) {
		q.held = false
		a.node, full = r.pickCache(q)
	}
	if a.node == nil {
		r.without(q, full)
		return
	}
	how := 0
	if !q.held {
		a.source, how = r.pickSource(q)
	}
	a.fills = a.source != nil
	if !a.fills { // all that could fill is open, or a fill failed: any held copy
		q.held, q.heldDone, a.source = true, true, a.node
	}
	r.send(q, a, Action{Keep: keepRank, How: how, MaxAge: r.maxAge(q)})
}

// send puts an attempt on the wire and books it.
func (r *Router) send(q *request, a attempt, act Action) {
	act.Kind, act.Call, act.Node = Get, q.Call, a.node.name
	if a.source != nil {
		act.Source = a.source.name
	}
	act.TimeOut = max(q.deadline-r.now, 1)
	a.at, a.work, a.nodeHad = r.now, r.sendMean[q.class], a.node.answered
	for i, n := range []*node{a.node, a.source, r.origin} {
		if n != nil && n.brk.ready(r.now) && (i == 0 || a.fills && (i == 1 || act.How&HeldOnly == 0)) {
			n.brk.trial = true
			a.trials = append(a.trials, n)
		}
	}
	r.spend(a.node, a.work)
	if a.fills {
		r.spend(a.source, a.work)
		a.source.out++
		if a.deep = a.source != r.origin && act.How&HeldOnly == 0; a.deep {
			r.behind.out++
		}
		a.sourceHad = a.source.answered
	}
	a.node.out++
	q.cur, q.out = a, true
	q.attempts++
	r.act(act)
	r.watch(q)
}

// usual is how long an answer to q takes where nothing is amiss, roughly.
func (r *Router) usual(q *request) float64 {
	return r.sending(q) + tailBase*float64(r.set.Classes[q.class].Promise)
}

// lost reports that the first answer to q is later than almost all others lately, and alone with that.
func (r *Router) lost(q *request) bool {
	a, elapsed := &q.cur, float64(r.now-q.cur.at)
	return q.attempts == 1 && elapsed >= tailRoom*r.tail[q.class]*r.usual(q) && r.spare >= 1 &&
		r.set.Classes[q.class].Idempotency == "read_like" && a.node.answered-a.nodeHad >= lostAnswers
}

func (r *Router) watch(q *request) {
	r.token++
	r.watched[r.token] = q
	c := &r.set.Classes[q.class]
	look := silentCheck * max(float64(c.Promise), leastAim*float64(c.Deadline))
	if early := tailRoom*r.tail[q.class]*r.usual(q) - float64(r.now-q.cur.at); q.attempts == 1 && early > 0 {
		look = min(look, early)
	}
	r.act(Action{Kind: SetTimer, In: int64(look) + 1, Token: r.token})
}

// timer calls an attempt back when nothing came from its cache, or its source, while answers were due.
func (r *Router) timer(token int64) {
	q := r.watched[token]
	delete(r.watched, token)
	if token == 0 {
		r.act(Action{Kind: Subscribe, On: true})
	}
	if q == nil || !q.out || r.requests[q.Call] != q || q.started {
		return
	}
	a := &q.cur
	if !a.lost && r.set.Permissions.Cancelling && r.lost(q) {
		r.spare--
		a.lost = true
		r.act(Action{Kind: Cancel, Call: q.Call, Attempt: q.attempts - 1})
		return
	}
	if r.silent(q, a.node, a.nodeHad, a.at) || a.fills && r.silent(q, a.source, a.sourceHad, a.at) {
		unsafe := r.set.Classes[q.class].Idempotency == "non_idempotent"
		if !a.silent && r.set.Permissions.Cancelling && !unsafe {
			r.act(Action{Kind: Cancel, Call: q.Call, Attempt: q.attempts - 1})
		}
		a.silent = true
		return
	}
	r.watch(q)
}

// silent reports that n answered nothing to anyone since an attempt was sent though it should have.
func (r *Router) silent(q *request, n *node, had float64, since int64) bool {
	elapsed := float64(r.now - since)
	due := n.answers.rate(r.now, rateSpan) * elapsed
	return n.answered-had < 1 && (due >= silentAnswers || elapsed >= silentAims*r.aim(q))
}

// maxAge is the oldest copy that will do, 0 for any: fresh less jitter, held: grace too; none before a purge.
func (r *Router) maxAge(q *request) int64 {
	fresh := at(r.set.Extra.FreshFor, q.class)
	limit := int64(0)
	if fresh > 0 {
		limit = fresh - int64(freshJitter*r.rng.Float64()*float64(fresh))
		if q.held {
			limit = fresh + at(r.set.Extra.GraceFor, q.class)
		}
	}
	if since := r.sincePurge(q); since != 0 && (limit == 0 || since < limit) {
		limit = since
	}
	return limit
}

// sending estimates how long the answer to q takes to send.
func (r *Router) sending(q *request) float64 {
	if q.SizeKb > 0 && r.set.Extra.PaceKbPerS > 0 {
		return q.SizeKb / r.set.Extra.PaceKbPerS * 1e6
	}
	return r.sendMean[q.class]
}

// aim is how long an answer to q may take in full worth.
func (r *Router) aim(q *request) float64 {
	c := &r.set.Classes[q.class]
	return float64(c.Promise) + c.AimStretch*r.sending(q)
}

// usableFor reports that a cache may get q. While all of the zone are open, those that failed in part may.
func (r *Router) usableFor(q *request, n *node) bool {
	shut := n.brk.open(r.now) && (n.brk.dead || !r.panic)
	return n.usable && !shut && !slices.Contains(q.tried, n) && r.sameGroup(q, n) &&
		r.affordable(n, r.sendMean[q.class])
}

// room reports that n is under its limit. A part of one is at random: hundreds of routers keep to their sum.
func (r *Router) room(q *request, n *node) bool {
	best := 0.0
	for i, c := range r.set.Classes {
		best = max(best, c.Gain/r.sendMean[i])
	}
	earns := min(r.set.Classes[q.class].Gain/max(r.sending(q), 1)/max(best, 1e-12), 1)
	if q.over {
		earns *= r.set.OverShareWorth
	}
	return float64(n.out)+r.rng.Float64() < n.limit*(1-denseReserve*(1-earns))
}

// adapt moves limits in use: up with answers in time, down when one is late or turned away.
func (r *Router) adapt(q *request, a *attempt, ev *Event) {
	aim := limitTargetMean * r.aim(q)
	if q.SizeKb > 0 {
		aim = r.sending(q) + limitTarget*(r.aim(q)-r.sending(q))
	}
	move := func(n *node, use float64, late bool) { // use: part of the attempts counted that it serves
		switch {
		case float64(n.out+1) < n.limit/2: // a limit that is not in use tells nothing
		case late && r.now-n.cutAt > int64(r.sendMean[q.class]):
			n.limit, n.cutAt = max(n.limit*limitCut, leastLimit), r.now
			if r.weighs && n.role != roleOrigin { // few answers are seen: to the share that is known, at once
				n.limit = min(n.limit, limitRoom*r.capacity(n)/use)
			}
		case late || ev.Code != Done:
		case n.cutAt == 0:
			n.limit++
		default: // the less, the more routers share n; small answers are in time in any jam and tell little
			n.limit += limitGrowth * r.sending(q) / slices.Max(r.sendMean) / (n.limit * n.seats)
		}
	}
	full := r.sourceFull(a, ev)
	// A lone answer that never comes is no jam: a server that answers others meanwhile keeps its limit.
	late := func(n *node, had, took float64) bool {
		if ev.Code == TimedOut {
			return n.answered-had < 1 && (a.silent || took > aim)
		}
		return took > aim
	}
	if a.node.role == roleCache || a.node.role == roleParent { // straight answers jam links
		turned := ev.Code == Busy && ev.Note < 6 && !full
		move(a.node, 1, turned || late(a.node, a.nodeHad, float64(ev.Rtt-ev.UpstreamWait)))
	}
	b := &r.behind
	switch slow := float64(ev.UpstreamWait) > limitTargetMean*r.aim(q); {
	case !a.fills || ev.Note != 3:
	case !slow:
		b.limit = min(b.limit*behindGrowth+behindStep, behindMost)
	case r.now-b.cutAt > int64(r.sendMean[q.class]): // of what is out now, or hundreds of it would go on
		b.limit, b.cutAt = max(min(b.limit, float64(b.out+1))*limitCut, behindLeast), r.now
	}
	told := ev.Code == TimedOut || r.set.Extra.NotesGiven == "silent" || ev.Note == 2 || ev.Note == 3
	if a.fills && (full || told) {
		move(a.source, unknownMisses, full || late(a.source, a.sourceHad, float64(ev.Rtt)))
	}
}

// sourceFull reports that a source turned a fill away; without notes a full cache shows on the held attempt.
func (r *Router) sourceFull(a *attempt, ev *Event) bool {
	return a.fills && ev.Code == Busy && (ev.Note == 6 || ev.Note == 0 && r.set.Extra.NotesGiven != "all")
}

// pickCache takes the first usable cache, of two when hot; full: one was passed over for its limit alone.
func (r *Router) pickCache(q *request) (pick *node, full bool) {
	r.panic = !slices.ContainsFunc(r.caches, func(n *node) bool { return !n.brk.open(r.now) })
	order := rendezvous(r.caches, q.part, r.weighs)
	var fit []*node
	for _, n := range order {
		if !r.usableFor(q, n) {
			continue
		}
		if r.room(q, n) {
			fit = append(fit, n)
		} else {
			full = true
		}
	}
	if len(fit) == 0 {
		return nil, full
	}
	seen := float64(max(r.recentN, recentRequests/8))
	hot := float64(r.recent[q.Object]*len(r.caches)) > hotShare*seen
	if hot && len(fit) > 1 && fit[1].out+1 < fit[0].out && !fit[1].brk.ready(r.now) {
		return fit[1], full
	}
	return fit[0], full
}

// pickSource takes the object's first parent not open, full or cold at its budget; held copies if shut.
func (r *Router) pickSource(q *request) (source *node, how int) {
	if r.set.Extra.SharesFills && r.sincePurge(q) == 0 {
		how = Join // not after a purge: what is under way may be older
	}
	shut := r.origin == nil || r.origin.brk.open(r.now) || !r.room(q, &r.behind)
	if shut && len(r.parents) > 0 {
		how |= HeldOnly
	}
	closed := len(r.parents) == 0 || len(q.sources) > 0
	for _, n := range rendezvous(r.parents, q.Object, r.weighs) {
		if n.brk.open(r.now) || slices.Contains(q.sources, n) {
			continue
		}
		closed = true
		if r.affordable(n, r.sendMean[q.class]) && r.room(q, n) {
			return n, how
		}
	}
	// Departure: where none but open, full or cold ones are left, the origin takes fills, within its limit.
	if closed && !shut && r.room(q, r.origin) && !slices.Contains(q.sources, r.origin) {
		return r.origin, how
	}
	return nil, how
}

// rendezvous orders nodes by a hash of key and name alone, so that all routers agree.
func rendezvous(nodes []*node, key string, weighted bool) []*node {
	for _, n := range nodes {
		n.score = -math.Log(uniform(key, n.name))
		if weighted && n.weight > 0 {
			n.score /= n.weight
		}
	}
	order := slices.Clone(nodes)
	slices.SortStableFunc(order, func(a, b *node) int { return cmp.Compare(a.score, b.score) })
	return order
}

// without answers q if no cache can be used: refused if some are merely full, else a source is asked.
func (r *Router) without(q *request, full bool) {
	source, how := r.pickSource(q)
	if full || !r.set.Extra.Straight || r.origin == nil || source == nil || !r.sameGroup(q, source) {
		r.end(q)
		return
	}
	a := attempt{node: source, source: r.origin, fills: true}
	if source == r.origin || how&HeldOnly != 0 {
		a.source, a.fills, how = source, false, 0
	}
	r.send(q, a, Action{How: how, MaxAge: r.maxAge(q)})
}

// passOn sends an uncacheable request to the origin past all breakers: straight, else through a cache.
func (r *Router) passOn(q *request) {
	a := attempt{node: r.origin}
	if !r.set.Extra.Straight || a.node == nil || !r.sameGroup(q, a.node) {
		a.node, _ = r.pickCache(q)
		a.source = r.origin
	}
	if r.origin == nil || a.node == nil || q.attempts >= passAttempts {
		r.end(q)
		return
	}
	r.send(q, a, Action{})
}

// mayRun reports that an attempt with this outcome may have had its effect.
func mayRun(c Code) bool { return c != Busy && c != Refused && c != Skipped && c != Miss }

// mayResend keeps the rule on effects: what may have run is sent again only as its class allows.
func (r *Router) mayResend(q *request) bool {
	c := &r.set.Classes[q.class]
	if q.ranNode == nil || c.Idempotency == "read_like" {
		return true
	}
	return c.Idempotency == "idempotency_key" && float64(r.now-q.ranAt) < keyedMargin*float64(c.MemorySpan)
}

// sameGroup reports that n drops repeats of what q may have run before.
func (r *Router) sameGroup(q *request, n *node) bool {
	c := &r.set.Classes[q.class]
	if q.ranNode == nil || c.Idempotency == "read_like" || c.Group == "all" {
		return true
	}
	return n == q.ranNode || c.Group == "zone" && n.zone == q.ranNode.zone ||
		c.Group == "cell" && n.zone == q.ranNode.zone && n.cell == q.ranNode.cell
}

// end gives the final answer: a refusal where trying again is harmless, else a failure.
func (r *Router) end(q *request) {
	c := &r.set.Classes[q.class]
	r.drop(q.Call)
	harmless := c.Idempotency == "read_like" || c.Idempotency == "idempotency_key" && c.Group == "all"
	if q.ranNode != nil && !harmless {
		r.act(Action{Kind: Fail, Call: q.Call})
		return
	}
	wait := min(int64(retryAims*float64(c.Promise)*(1+r.rng.Float64())), r.set.Permissions.MaxRetryAfter)
	r.act(Action{Kind: Refuse, Call: q.Call, RetryAfter: wait})
}

// capacity estimates this router's part of what a warm n can do, in work a microsecond.
func (r *Router) capacity(n *node) float64 {
	if r.weighs && n.weight > 0 {
		return n.weight / n.seats
	}
	return max(r.peak[n.role], fewTransfers/n.seats)
}

// affordable keeps what this router sends to a cold server within its part of the budget at the span's start.
func (r *Router) affordable(n *node, work float64) bool {
	frac, mult, cold := r.warmth(n)
	if !cold {
		return true
	}
	// Hundreds have less than a request each: a draw a span lets so many send one as keep the sum.
	fall, sum := r.set.Guarantees.Fall, 0.0
	if r.now-n.drawnAt > fall {
		n.drawnAt, n.luck = r.now, r.rng.Float64()
	}
	n.spent = slices.DeleteFunc(n.spent, func(s sent) bool { return r.now-s.at > fall })
	for _, s := range n.spent {
		sum += s.work
	}
	if sum <= 0 {
		work *= n.luck
	}
	return sum+work <= coldSafety*mult*frac*r.capacity(n)*float64(fall)
}

// warmth tells the least share of its capacity that a server started lately can give.
func (r *Router) warmth(n *node) (frac, mult float64, cold bool) {
	from, span := r.set.Guarantees.ColdFrom, r.set.Guarantees.Cold
	mult = r.set.Guarantees.TipMultiple
	if n.role == roleParent {
		from, span, mult = r.set.Extra.ParentFloor, r.set.Extra.ParentWarmsIn, r.set.Extra.UpperFallMultiple
	}
	age := r.now - n.cameUp
	if n.role == roleOrigin || n.cameUp <= 0 || age >= span+r.set.Guarantees.Fall {
		return 1, mult, false
	}
	age = max(age-r.set.Guarantees.Fall, 0)
	return from + (1-from)*float64(age)/float64(max(span, 1)), mult, true
}

func (r *Router) spend(n *node, work float64) {
	if _, _, cold := r.warmth(n); cold {
		n.spent = append(n.spent, sent{r.now, work})
	}
}

// outcome books how an attempt ended and decides what follows.
func (r *Router) outcome(ev *Event) {
	q := r.requests[ev.Call]
	if q == nil || !q.out || ev.Attempt != q.attempts-1 {
		return
	}
	a := q.cur
	r.settle(q)
	if ev.Code == Cancelled && (a.silent || a.lost) {
		ev.Code = TimedOut
	}
	if i := r.hasX0; i >= 0 && i < len(ev.Metrics) && a.node.role == roleCache {
		a.node.missPart = min(max(1-ev.Metrics[i], 0), 1)
	}
	r.adapt(q, &a, ev)
	bad := r.blame(q, &a, ev)
	r.judge(q, &a, ev, bad)
	if ev.Final {
		r.drop(q.Call)
		return
	}
	if mayRun(ev.Code) && q.ranNode == nil {
		q.ranAt, q.ranNode = a.at, a.node
	}
	if len(q.doubts) >= doubtsMost {
		r.drop(q.Call)
		r.act(Action{Kind: Fail, Call: q.Call})
		return
	}
	switch {
	case q.held: // nothing held: another source while one is left, else a refusal
		q.held = false
		if ev.Code != Miss && ev.Code != Busy {
			q.cache, q.tried = nil, append(q.tried, a.node)
		}
		if src, how := r.pickSource(q); src == nil || len(q.sources) == 0 || how&HeldOnly != 0 {
			r.end(q)
			return
		}
	case a.fills && a.node.role == roleCache && (bad != nil && bad != a.node || ev.Note == 9 ||
		ev.Code == Miss || ev.Code == TimedOut && bad == nil || r.sourceFull(&a, ev)):
		q.cache, q.held = a.node, !q.heldDone
		if ev.Note != 9 {
			q.sources = append(q.sources, a.source)
		} else if q.heldDone { // no place for it here, from no source: a jam, not to be fed
			r.end(q)
			return
		}
	case a.node.role == roleCache:
		q.cache, q.tried = nil, append(q.tried, a.node)
	default:
		q.sources = append(q.sources, a.node)
	}
	r.dispatch(q)
}

// blame names whom an outcome is charged to. A time-out charges a cache, else a source, only if nothing came,
// and nobody if the client's time ended before the answer was due: clients in a hurry shut no good server.
func (r *Router) blame(q *request, a *attempt, ev *Event) *node {
	alive := a.node.answered > a.nodeHad
	switch {
	case ev.Code == TimedOut && (a.lost || !a.silent && float64(ev.Rtt) < r.aim(q)):
		return nil
	case ev.Note == 10:
		return r.origin
	case a.fills && (ev.Note == 6 || ev.Note == 7):
		return a.source
	case ev.Code == Failed && a.fills && alive && r.set.Extra.NotesGiven != "all":
		return a.source
	case ev.Code == Refused, ev.Code == Reset, ev.Code == Failed, ev.Code == TimedOut && !alive:
		return a.node
	case ev.Code == TimedOut && a.fills && a.source.answered-a.sourceHad < 1:
		return a.source
	}
	return nil
}

// judge charges the breakers with an outcome, and books what answered.
func (r *Router) judge(q *request, a *attempt, ev *Event, bad *node) {
	charge := func(n *node, failed bool, weight float64) {
		base, share := float64(breakerCoolDown), breakerShare
		if n.role == roleCache {
			base, share = cacheCoolDown, cacheShare
		}
		if !failed {
			n.answered += weight
			n.answers.add(r.now, rateSpan, weight)
		}
		n.brk.record(r.now, failed, slices.Contains(a.trials, n), weight, share,
			int64(base*(1+breakerSpread*r.rng.Float64())))
	}
	write := at(r.set.Extra.PassOn, q.class)
	if ev.Code == Cancelled || ev.Code == Skipped || write && a.node.role != roleCache {
		return
	}
	// A bare error may be the request's own fault, as with an object that nobody knows.
	if doubt := ev.Code == Failed && ev.Note == 0 && bad == a.node; doubt {
		q.doubts = append(q.doubts, bad)
	} else if bad != nil {
		charge(bad, true, 1)
	}
	if ev.Code == Done {
		for _, n := range q.doubts {
			charge(n, true, 1)
		}
	}
	if ev.Code == Done || ev.Code == Miss || ev.Note >= 6 {
		charge(a.node, false, 1)
	}
	if ev.Code != Done {
		return
	}
	if t := &r.tail[q.class]; float64(ev.Rtt) > *t*r.usual(q) {
		*t *= 1 + tailUp
	} else {
		*t *= 1 - tailDown
	}
	r.book(q, a, ev)
	switch {
	case !a.fills || write:
	case ev.Note == 2 || ev.Note == 3:
		charge(a.source, false, 1)
		if ev.Note == 3 && a.source != r.origin && r.origin != nil {
			charge(r.origin, false, 1)
		}
	case r.set.Extra.NotesGiven == "silent":
		charge(a.source, false, a.node.missPart)
	}
}

// book learns from an answer: sending times, and what warm servers take.
func (r *Router) book(q *request, a *attempt, ev *Event) {
	// Only a cache that is little used shows a sending time: in a jam the mean, and all aims, would drift.
	if q.SizeKb > 0 {
		r.sendMean[q.class] += meanStep * (r.sending(q) - r.sendMean[q.class])
	} else if ev.Note != 2 && ev.Note != 3 && float64(a.node.out) < a.node.limit/2 {
		r.sendMean[q.class] += meanStep * (float64(ev.Rtt) - r.sendMean[q.class])
	}
	learn := func(n *node, work float64) {
		if _, _, cold := r.warmth(n); cold || n.role == roleOrigin {
			return
		}
		n.work.add(r.now, rateSpan, work)
		r.peak[n.role] = max(r.peak[n.role], n.work.rate(r.now, rateSpan))
	}
	learn(a.node, a.work)
	if !a.fills || a.source == a.node {
		return
	}
	switch {
	case ev.Note == 2 || ev.Note == 3:
		learn(a.source, a.work)
	case ev.Note == 1 || ev.Note == 4 || ev.Note == 5: // it never reached the source
		r.spend(a.source, -a.work)
	case r.set.Extra.NotesGiven == "silent":
		learn(a.source, a.work*a.node.missPart)
	}
}
