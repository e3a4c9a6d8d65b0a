package routing

// Which server gets a request, and which one fills a miss.

import "slices"

// Times are microseconds; the rest are ratios or counts.
const (
	hotObjectShare         = 0.25 // an object is hot past this share of a cache's even part of requests
	recentRequestWindow    = 512  // requests over which shares are counted, halved when full
	maxUncacheableAttempts = 3    // attempts of an uncacheable request: refusals come at once
	retentionRank          = 1    // rank of copies kept: one rank, dropped by last use
)

// sendNextAttempt sends the next attempt of q or gives its final answer at once.
func (r *Engine) sendNextAttempt(q *request) {
	if q.attempts >= q.maxAttempts || r.retryWindow(q) <= 0 {
		r.rejectOrFail(q)
		return
	}
	if valueAt(r.settings.Hierarchy.Uncacheable, q.class) {
		r.forwardUncacheable(q)
		return
	}
	a, full, how, missed := attempt{server: q.retryCache}, false, FetchFlags(0), q.confirmedMisses > 0 || q.cachedCopyMissed
	if a.server == nil || !r.isEligible(q, a.server) {
		q.wantsCachedCopy = false
		a.server, full = r.selectEdgeCache(q, q.Subset)
		if a.server == nil && q.OverflowSubset != 0 {
			a.server, _ = r.selectEdgeCache(q, q.OverflowSubset)
		}
	}
	if a.server == nil {
		r.rejectOrFetchDirect(q, full)
		return
	}
	if !q.wantsCachedCopy {
		if a.source, how = r.selectFillSource(q); missed && (a.source == nil || how&FetchCachedOnly != 0) {
			r.rejectOrFail(q)
			return
		}
	}
	a.fills = a.source != nil
	if !a.fills { // all that could fill is open, or a fill failed: any held copy
		q.wantsCachedCopy, q.triedCachedCopy, a.source = true, true, a.server
	}
	r.send(q, a, Action{RetentionRank: retentionRank, FetchFlags: how, MaxAge: r.maxAge(q)})
}

// isEligible reports that a cache may get q. While all of the zone are open, those that failed in part may.
func (r *Engine) isEligible(q *request, n *server) bool {
	shut := n.breaker.isOpen(r.now) && (n.breaker.trialFailed || !r.subsetOf(q.Subset).inPanic)
	return n.isHealthy && !shut && !slices.Contains(q.failedCaches, n) && r.inDeduplicationScope(q, n) &&
		r.fitsColdBudget(n, q.expectedWork)
}

// selectEdgeCache takes the first usable cache, of two when hot; full: one was passed over for its limit alone.
func (r *Engine) selectEdgeCache(q *request, set int) (pick *server, full bool) {
	p := r.subsetOf(set)
	p.inPanic = !slices.ContainsFunc(p.servers, func(n *server) bool { return !n.breaker.isOpen(r.now) })
	p.ranking.setKey(q.chunkKey)
	var fit [2]*server
	found, wanted := 0, 1
	if float64(r.recentRequests[q.Object]*len(p.servers)) > hotObjectShare*float64(max(r.recentRequestCount, recentRequestWindow/8)) { // hot
		wanted = 2
	}
	for n := p.ranking.next(); n != nil; n = p.ranking.next() {
		if !r.isEligible(q, n) {
			continue
		}
		if !r.hasCapacity(q, n) {
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
	if wanted == 2 && found > 1 && fit[1].inFlight+1 < fit[0].inFlight && !fit[1].breaker.isReadyForTrial(r.now) {
		return fit[1], full
	}
	return fit[0], full
}

// selectFillSource takes the object's first parent not open, full or cold at its budget; held copies if shut.
func (r *Engine) selectFillSource(q *request) (source *server, how FetchFlags) {
	if r.settings.Hierarchy.CollapsesFills && r.timeSinceChange(q, 0) == 0 {
		how = FetchCollapse // not after a purge: what is under way may be older
	}
	shut := r.origin == nil || r.origin.breakerFor(q.accountingGroup).isOpen(r.now) || !r.mayFillFromOrigin(q)
	if shut && len(r.parents) > 0 {
		how |= FetchCachedOnly
	}
	first := r.parentRanking
	if q.ParentSubset != 0 {
		first = r.subsetOf(q.ParentSubset).ranking
	}
	q.sourcesFull = len(first.servers) == 0
	closed := q.sourcesFull || len(q.failedSources) > 0 || q.triedCachedCopy && q.attempts == 1
	for rank := first; ; rank = r.parentRanking {
		rank.setKey(q.Object)
		for n := rank.next(); n != nil; n = rank.next() {
			if n.breakerFor(q.accountingGroup).isOpen(r.now) || slices.Contains(q.failedSources, n) {
				continue
			}
			if r.fitsColdBudget(n, q.expectedWork) && r.hasCapacity(q, n) {
				return n, how
			}
			closed, q.sourcesFull = true, true
		}
		if rank == r.parentRanking || len(first.servers) == 0 {
			break
		}
	}
	// Departure: where all are full, cold, or open and no copy is held, the origin takes fills, in its limit.
	if closed && !shut && r.hasCapacity(q, r.origin) && !slices.Contains(q.failedSources, r.origin) {
		return r.origin, how
	}
	return nil, how
}

// mayFillFromOrigin reports room at the origin for q. Known asks have a limit of their own; EventSubset's bound is on all.
func (r *Engine) mayFillFromOrigin(q *request) bool {
	if q.confirmedMisses == 0 {
		return r.hasCapacity(q, &r.originFills) && r.maxConfirmedOriginFills >= unlimitedOriginFills
	}
	known := server{role: roleRemoteCache, concurrencyLimit: min(r.originFills.concurrencyLimit, r.maxConfirmedOriginFills), inFlight: r.confirmedOriginFills} // no account's
	all := server{role: roleOrigin, concurrencyLimit: r.maxPossibleOriginFills, inFlight: r.originFills.inFlight, groupUsage: r.originFills.groupUsage}
	return r.hasCapacity(q, &known) && (r.maxPossibleOriginFills >= unlimitedOriginFills || r.hasCapacity(q, &all))
}

// rejectOrFetchDirect answers q if no cache can be used: refused if some are full or it is confined, else by a source.
func (r *Engine) rejectOrFetchDirect(q *request, full bool) {
	source, how := r.selectFillSource(q)
	straight := r.settings.Hierarchy.AllowsDirectFetch && r.origin != nil && q.Subset == 0
	if full || !straight || source == nil || !r.inDeduplicationScope(q, source) {
		r.rejectOrFail(q)
		return
	}
	a := attempt{server: source, source: r.origin, fills: true}
	if source == r.origin || how&FetchCachedOnly != 0 {
		a.source, a.fills, how = source, false, 0
	}
	r.send(q, a, Action{FetchFlags: how, MaxAge: r.maxAge(q)})
}

// forwardUncacheable sends an uncacheable request to the origin past all breakers: straight, else through a cache.
func (r *Engine) forwardUncacheable(q *request) {
	a := attempt{server: r.origin}
	if !r.settings.Hierarchy.AllowsDirectFetch || a.server == nil || !r.inDeduplicationScope(q, a.server) {
		a.server, _ = r.selectEdgeCache(q, q.Subset)
		a.source = r.origin
	}
	if r.origin == nil || a.server == nil || q.attempts >= maxUncacheableAttempts {
		r.rejectOrFail(q)
		return
	}
	r.send(q, a, Action{})
}

// send puts an attempt on the wire and books it.
func (r *Engine) send(q *request, a attempt, act Action) {
	act.Kind, act.RequestID, act.Server = ActionSend, q.RequestID, a.server.name
	act.HasSideEffects = r.settings.Classes[q.class].Idempotency != "read_like"
	if a.source != nil {
		act.Source = a.source.name
	}
	act.Timeout, act.SendWithin = max(q.deadline-r.now, 1), r.retryWindow(q)
	a.sentAt, a.work, a.serverAnswersBefore = r.now, q.expectedWork, a.server.answerCount
	for i, n := range []*server{a.server, a.source, r.origin} {
		if n == nil || i > 0 && !(a.fills && (i == 1 || act.FetchFlags&FetchCachedOnly == 0)) {
			continue
		}
		if b := n.breakerFor(q.accountingGroup); b.isReadyForTrial(r.now) {
			b.trialInFlight = true
			a.trials = append(a.trials, b)
		}
	}
	r.recordColdSend(a.server, a.work)
	if a.fills {
		r.recordColdSend(a.source, a.work)
		r.addInFlight(a.source, q.accountingGroup, 1)
		if a.mayReachOrigin = act.FetchFlags&FetchCachedOnly == 0; a.mayReachOrigin {
			r.addInFlight(&r.originFills, q.accountingGroup, 1)
			r.confirmedOriginFills += q.confirmedMisses
		}
		a.sourceAnswersBefore = a.source.answerCount
	}
	r.addInFlight(a.server, q.accountingGroup, 1)
	q.current, q.inFlight, q.cachedCopyMissed = a, true, false
	q.attempts++
	r.emit(act)
	r.watchAttempt(q)
}
