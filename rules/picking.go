package rules

// Which server gets a request, and which one fills a miss.

import "slices"

// Times are microseconds; the rest are ratios or counts.
const (
	hotShare       = 0.25 // an object is hot past this share of a cache's even part of requests
	recentRequests = 512  // requests over which shares are counted, halved when full
	passAttempts   = 3    // attempts of an uncacheable request: refusals come at once
	keepRank       = 1    // rank of copies kept: one rank, dropped by last use
)

// dispatch sends the next attempt of q or gives its final answer at once.
func (r *Router) dispatch(q *request) {
	if q.attempts >= q.most || r.window(q) <= 0 {
		r.end(q)
		return
	}
	if at(r.set.Extra.PassOn, q.class) {
		r.passOn(q)
		return
	}
	a, full, how, missed := attempt{node: q.cache}, false, 0, q.looked > 0 || q.missed
	if a.node == nil || !r.usableFor(q, a.node) {
		q.held = false
		a.node, full = r.pickCache(q, q.Set)
		if a.node == nil && q.Spill != 0 {
			a.node, _ = r.pickCache(q, q.Spill)
		}
	}
	if a.node == nil {
		r.without(q, full)
		return
	}
	if !q.held {
		if a.source, how = r.pickSource(q); missed && (a.source == nil || how&HeldOnly != 0) {
			r.end(q)
			return
		}
	}
	a.fills = a.source != nil
	if !a.fills { // all that could fill is open, or a fill failed: any held copy
		q.held, q.wasHeld, a.source = true, true, a.node
	}
	r.send(q, a, Action{Keep: keepRank, How: how, MaxAge: r.maxAge(q)})
}

// usableFor reports that a cache may get q. While all of the zone are open, those that failed in part may.
func (r *Router) usableFor(q *request, n *node) bool {
	shut := n.brk.open(r.now) && (n.brk.dead || !r.poolOf(q.Set).panic)
	return n.usable && !shut && !slices.Contains(q.tried, n) && r.sameGroup(q, n) &&
		r.affordable(n, q.work)
}

// pickCache takes the first usable cache, of two when hot; full: one was passed over for its limit alone.
func (r *Router) pickCache(q *request, set int) (pick *node, full bool) {
	p := r.poolOf(set)
	p.panic = !slices.ContainsFunc(p.caches, func(n *node) bool { return !n.brk.open(r.now) })
	p.rank.start(q.part)
	var fit [2]*node
	found, wanted := 0, 1
	if float64(r.recent[q.Object]*len(p.caches)) > hotShare*float64(max(r.recentN, recentRequests/8)) { // hot
		wanted = 2
	}
	for n := p.rank.next(); n != nil; n = p.rank.next() {
		if !r.usableFor(q, n) {
			continue
		}
		if !r.room(q, n) {
			full = true
			continue
		}
		if found < len(fit) {
			fit[found] = n
		}
		if found++; found == wanted {
			break
		}
	}
	if wanted == 2 && found > 1 && fit[1].out+1 < fit[0].out && !fit[1].brk.ready(r.now) {
		return fit[1], full
	}
	return fit[0], full
}

// pickSource takes the object's first parent not open, full or cold at its budget; held copies if shut.
func (r *Router) pickSource(q *request) (source *node, how int) {
	if r.set.Extra.SharesFills && r.sinceChange(q, 0) == 0 {
		how = Join // not after a purge: what is under way may be older
	}
	shut := r.origin == nil || r.origin.gate(q.account).open(r.now) || !r.mayAsk(q)
	if shut && len(r.parents) > 0 {
		how |= HeldOnly
	}
	first := r.upRank
	if q.Above != 0 {
		first = r.poolOf(q.Above).rank
	}
	q.full = len(first.nodes) == 0
	closed := q.full || len(q.sources) > 0 || q.wasHeld && q.attempts == 1
	for rank := first; ; rank = r.upRank {
		rank.start(q.Object)
		for n := rank.next(); n != nil; n = rank.next() {
			if n.gate(q.account).open(r.now) || slices.Contains(q.sources, n) {
				continue
			}
			if r.affordable(n, q.work) && r.room(q, n) {
				return n, how
			}
			closed, q.full = true, true
		}
		if rank == r.upRank || len(first.nodes) == 0 {
			break
		}
	}
	// Departure: where all are full, cold, or open and no copy is held, the origin takes fills, in its limit.
	if closed && !shut && r.room(q, r.origin) && !slices.Contains(q.sources, r.origin) {
		return r.origin, how
	}
	return nil, how
}

// mayAsk reports room at the origin for q. Known asks have a limit of their own; Confine's bound is on all.
func (r *Router) mayAsk(q *request) bool {
	if q.looked == 0 {
		return r.room(q, &r.behind) && r.asksMost >= behindMost
	}
	known := node{role: roleOther, limit: min(r.behind.limit, r.asksMost), out: r.asked} // no account's
	all := node{role: roleOrigin, limit: r.behindMost, out: r.behind.out, stakes: r.behind.stakes}
	return r.room(q, &known) && (r.behindMost >= behindMost || r.room(q, &all))
}

// without answers q if no cache can be used: refused if some are full or it is confined, else by a source.
func (r *Router) without(q *request, full bool) {
	source, how := r.pickSource(q)
	straight := r.set.Extra.Straight && r.origin != nil && q.Set == 0
	if full || !straight || source == nil || !r.sameGroup(q, source) {
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
		a.node, _ = r.pickCache(q, q.Set)
		a.source = r.origin
	}
	if r.origin == nil || a.node == nil || q.attempts >= passAttempts {
		r.end(q)
		return
	}
	r.send(q, a, Action{})
}

// send puts an attempt on the wire and books it.
func (r *Router) send(q *request, a attempt, act Action) {
	act.Kind, act.Call, act.Node = Get, q.Call, a.node.name
	act.Effects = r.set.Classes[q.class].Idempotency != "read_like"
	if a.source != nil {
		act.Source = a.source.name
	}
	act.TimeOut, act.Within = max(q.deadline-r.now, 1), r.window(q)
	a.at, a.work, a.nodeHad = r.now, q.work, a.node.answered
	for i, n := range []*node{a.node, a.source, r.origin} {
		if n == nil || i > 0 && !(a.fills && (i == 1 || act.How&HeldOnly == 0)) {
			continue
		}
		if b := n.gate(q.account); b.ready(r.now) {
			b.trial = true
			a.trials = append(a.trials, b)
		}
	}
	r.spend(a.node, a.work)
	if a.fills {
		r.spend(a.source, a.work)
		r.occupy(a.source, q.account, 1)
		if a.deep = act.How&HeldOnly == 0; a.deep {
			r.occupy(&r.behind, q.account, 1)
			r.asked += q.looked
		}
		a.sourceHad = a.source.answered
	}
	r.occupy(a.node, q.account, 1)
	q.cur, q.out, q.missed = a, true, false
	q.attempts++
	r.act(act)
	r.watch(q)
}
