package routing

import "slices"

const (
	// hotObjectShare is the fraction of an average cache's requests above which an object is hot.
	hotObjectShare = 0.25
	// maxUncacheableAttempts limits the attempts of an uncacheable request. Rejections arrive without delay,
	// and the retries after them follow each other immediately.
	maxUncacheableAttempts = 3
	// retentionRank is the rank of all copies. As all have the same rank, the least recently used copy is evicted
	// first.
	retentionRank = 1
)

// sendNextAttempt sends a request's next attempt, or gives the final answer if no further attempt is allowed.
func (e *Engine) sendNextAttempt(req *request) {
	if req.attempts >= req.maxAttempts || e.retryWindow(req) <= 0 {
		e.rejectOrFail(req)
		return
	}
	if e.isUncacheable(req) {
		e.forwardUncacheable(req)
		return
	}
	mustReachOrigin := req.isMissConfirmed || req.cachedCopyMissed
	cache, isFull := e.cacheForAttempt(req)
	if cache == nil {
		e.rejectOrFetchDirect(req, isFull)
		return
	}
	next := attempt{server: cache}
	var flags FetchFlags
	if !req.isCachedCopyOnly {
		next.source, flags = e.selectFillSource(req)
		canReachOrigin := next.source != nil && flags&FetchCachedOnly == 0
		if mustReachOrigin && !canReachOrigin {
			e.rejectOrFail(req)
			return
		}
	}
	next.isFill = next.source != nil
	if !next.isFill { // every source is unusable, or a fill has failed: any cached copy is accepted
		req.isCachedCopyOnly = true
		req.triedCachedCopy = true
		next.source = next.server
	}
	e.sendAttempt(req, next, Action{RetentionRank: retentionRank, FetchFlags: flags, MaxAge: e.maxAge(req)})
}

// isUncacheable reports whether a request runs at the origin and leaves no copy.
func (e *Engine) isUncacheable(req *request) bool {
	return valueAt(e.settings.Hierarchy.Uncacheable, req.class)
}

// cacheForAttempt returns the edge cache of the next attempt. If a fill failed and its edge cache is still eligible,
// this cache is returned. Otherwise it is a cache of the request's subset or, if none is available there, of the
// overflow subset. If no cache is returned, isFull reports whether a cache of the request's subset was skipped only
// because of its concurrency limit.
func (e *Engine) cacheForAttempt(req *request) (cache *server, isFull bool) {
	if req.retryCache != nil && e.isEligible(req, req.retryCache) {
		return req.retryCache, false
	}
	req.isCachedCopyOnly = false
	cache, isFull = e.selectEdgeCache(req, req.Subset)
	if cache == nil && req.OverflowSubset != 0 {
		cache, _ = e.selectEdgeCache(req, req.OverflowSubset)
	}
	return cache, isFull
}

// selectEdgeCache selects the first eligible edge cache with capacity in the rendezvous order of the request's chunk.
// The requests for a hot object are distributed over the first two. isFull reports whether a cache was skipped only
// because of its concurrency limit.
func (e *Engine) selectEdgeCache(req *request, subsetNumber int) (selected *server, isFull bool) {
	set := e.subsetOf(subsetNumber)
	set.inPanic = e.areAllEjected(set.servers)
	set.ranking.setKey(req.chunkKey)
	isHot := e.isHot(req.Object, len(set.servers))
	var first, second *server
	for srv := set.ranking.next(); srv != nil; srv = set.ranking.next() {
		if !e.isEligible(req, srv) {
			continue
		}
		if !e.hasCapacity(req, srv) {
			isFull = true
			continue
		}
		if first != nil {
			second = srv
			break
		}
		first = srv
		if !isHot {
			break
		}
	}
	if second != nil && second.inFlight+1 < first.inFlight && !second.breaker.isReadyForTrial(e.now) {
		return second, isFull
	}
	return first, isFull
}

// areAllEjected reports whether the circuit breakers of all the servers are open.
func (e *Engine) areAllEjected(servers []*server) bool {
	for _, srv := range servers {
		if !srv.breaker.isOpen(e.now) {
			return false
		}
	}
	return true
}

// isEligible reports whether an edge cache may get a request, regardless of its concurrency limit. In panic mode, while
// the breakers of all caches of the subset are open, an ejected cache is eligible unless its half-open trial failed.
func (e *Engine) isEligible(req *request, srv *server) bool {
	if srv.breaker.isOpen(e.now) && (srv.breaker.hasTrialFailed || !e.subsetOf(req.Subset).inPanic) {
		return false
	}
	return srv.isHealthy &&
		!slices.Contains(req.failedCaches, srv) &&
		e.isInDeduplicationScope(req, srv) &&
		e.fitsColdBudget(srv, req.expectedWork)
}

// selectFillSource selects the server that fills a miss: the first usable parent in the rendezvous order of the object,
// or the origin if no parent can serve the request. With FetchCachedOnly the origin must not be used, and a parent
// serves only its cached copy. A nil source means that no server can fill a miss.
func (e *Engine) selectFillSource(req *request) (source *server, flags FetchFlags) {
	if e.settings.Hierarchy.CollapsesFills && e.timeSinceChange(req, 0) == 0 {
		flags = FetchCollapse // not after a purge: a fill in progress may return an older copy
	}
	isOriginUnavailable := !e.isOriginUsable(req) || !e.mayFillFromOrigin(req)
	if isOriginUnavailable && len(e.parents) > 0 {
		flags |= FetchCachedOnly
	}
	source, isAnyParentFull := e.selectParent(req)
	if source != nil {
		return source, flags
	}
	// No parent can be used. The origin gets the fill, within its limit, in each of these cases:
	//   - a parent was full or cold, or there are no preferred parents
	//   - a source has failed for this request
	//   - the first attempt accepted any cached copy, and found none
	mayBypassParents := isAnyParentFull || len(req.failedSources) > 0 || req.triedCachedCopy && req.attempts == 1
	if mayBypassParents && !isOriginUnavailable && e.hasCapacity(req, e.origin) &&
		!slices.Contains(req.failedSources, e.origin) {
		return e.origin, flags
	}
	return nil, flags
}

// isOriginUsable reports whether there is an origin whose circuit breaker is not open.
func (e *Engine) isOriginUsable(req *request) bool {
	return e.origin != nil && !e.origin.breakerFor(req.accountingGroup).isOpen(e.now)
}

// selectParent selects a parent with capacity for a request. The preferred parents are the usable parents of its parent
// subset or, without a parent subset, all usable parents. If there are preferred parents but none has capacity, a
// parent outside the subset may be selected. isAnyParentFull, which is also stored in the request, reports whether a
// parent was at its concurrency limit or cold budget, or there are no preferred parents.
func (e *Engine) selectParent(req *request) (selected *server, isAnyParentFull bool) {
	preferred := e.parentRanking
	if req.ParentSubset != 0 {
		preferred = e.subsetOf(req.ParentSubset).ranking
	}
	isEmpty := len(preferred.servers) == 0
	selected, isAnyParentFull = e.firstParentWithCapacity(req, preferred)
	if selected == nil && preferred != e.parentRanking && !isEmpty {
		var isOtherFull bool
		selected, isOtherFull = e.firstParentWithCapacity(req, e.parentRanking)
		isAnyParentFull = isAnyParentFull || isOtherFull
	}
	req.isAnyParentFull = isEmpty || isAnyParentFull
	return selected, req.isAnyParentFull
}

// firstParentWithCapacity selects the first usable parent in the rendezvous order of a request's object. isAnyFull
// reports whether a parent earlier in this order was at its concurrency limit or cold budget.
func (e *Engine) firstParentWithCapacity(req *request, ranking *rendezvousRanking) (selected *server, isAnyFull bool) {
	ranking.setKey(req.Object)
	for srv := ranking.next(); srv != nil; srv = ranking.next() {
		if srv.breakerFor(req.accountingGroup).isOpen(e.now) || slices.Contains(req.failedSources, srv) {
			continue
		}
		if e.fitsColdBudget(srv, req.expectedWork) && e.hasCapacity(req, srv) {
			return srv, isAnyFull
		}
		isAnyFull = true
	}
	return nil, isAnyFull
}

// rejectOrFetchDirect handles a request for which no edge cache is available. The request is sent directly to its
// source if there is one, the deployment and the deduplication scope allow that, no cache was full and the request has
// no subset. Otherwise the request is rejected, or fails if a retry by the client is not safe.
func (e *Engine) rejectOrFetchDirect(req *request, isFull bool) {
	source, flags := e.selectFillSource(req)
	mayFetchDirect := e.settings.Hierarchy.AllowsDirectFetch && e.origin != nil && req.Subset == 0
	if isFull || !mayFetchDirect || source == nil || !e.isInDeduplicationScope(req, source) {
		e.rejectOrFail(req)
		return
	}
	next := attempt{server: source, source: e.origin, isFill: true}
	if source == e.origin || flags&FetchCachedOnly != 0 {
		next.source = source
		next.isFill = false
		flags = 0
	}
	e.sendAttempt(req, next, Action{FetchFlags: flags, MaxAge: e.maxAge(req)})
}

// forwardUncacheable sends an uncacheable request to the origin regardless of the origin's circuit breaker: directly if
// possible, otherwise through an edge cache.
func (e *Engine) forwardUncacheable(req *request) {
	next := attempt{server: e.origin}
	isDirect := e.settings.Hierarchy.AllowsDirectFetch && e.origin != nil
	if !isDirect || !e.isInDeduplicationScope(req, e.origin) {
		next.server, _ = e.selectEdgeCache(req, req.Subset)
		next.source = e.origin
	}
	if e.origin == nil || next.server == nil || req.attempts >= maxUncacheableAttempts {
		e.rejectOrFail(req)
		return
	}
	e.sendAttempt(req, next, Action{})
}
