package routing

import (
	"cmp"
	"slices"
)

// Constants of concurrency limits. Those without a unit are ratios.
const (
	rateWindow          = 4_000_000 // us over which rates are averaged
	defaultMissRatio    = 0.3       // of an edge cache that tells no other, by cache status or load report
	initialLimit        = 16        // requests in flight at a new server; grows fast until the first reduction
	initialLimitExtra   = 2         // of them more for each router: as many meet by chance
	minLimit            = 0.05      // requests; a router with few of them tries one now and then
	limitDecreaseFactor = 0.85      // on a limit at a late response, once for each mean sending time
	lateServerTransfers = 2.0       // most in flight for each transfer of a router's part of a server found late
	limitGrowthPerRound = 9         // requests a round of responses, summed over the routers of a server
	reservedLimitShare  = 0.5       // of a limit, kept for requests with the most weight for their sending time
	reservedShareDecay  = 1_000_000 // us over which what a group has reserved of its share fades

	// A response is late past its sending time and this share of what its objective leaves beyond that; without sizes,
	// past this share of the objective, for a large chunk takes long by nature.
	lateObjectiveShare        = 0.5
	lateObjectiveShareUnsized = 0.8

	overloadedLinkUse     = 1.5    // of what fits on the zone's link, past which fills must become fewer
	maxOriginWaitMultiple = 3      // of its least recent wait that a fill may wait for a distant origin
	minOriginWaitRise     = 0.0005 // by which the least recent wait rises at each response
)

// initialConcurrencyLimit returns a router's limit at a server that started.
func initialConcurrencyLimit(srv *server) float64 {
	if srv.role == roleOrigin {
		return initialLimit / srv.routers
	}
	return initialLimit/srv.routers + initialLimitExtra
}

// hasCapacity reports that a server is under the concurrency limit that holds for a request. What a limit has below a
// whole request is let through at random, so that hundreds of routers keep to their sum.
func (e *Engine) hasCapacity(req *request, srv *server) bool {
	return e.hasCapacityWithin(req, srv, srv.concurrencyLimit)
}

// hasCapacityWithin is hasCapacity with another limit.
func (e *Engine) hasCapacityWithin(req *request, srv *server, concurrencyLimit float64) bool {
	limit := concurrencyLimit * e.usableLimitShare(req, e.maxWeightDensityAt(srv))
	draw := e.rng.Float64()
	if req.accountingGroup != 0 && srv.isSharedByGroups() {
		return e.hasGroupCapacity(req.accountingGroup, srv, limit, draw)
	}
	return float64(srv.inFlight)+draw < limit
}

// usableLimitShare returns the share of a limit that a request may use: all for one with the greatest priority weight
// for its sending time, and as much less as its own is less. maxDensity is that greatest weight.
func (e *Engine) usableLimitShare(req *request, maxDensity float64) float64 {
	density := e.settings.Classes[req.class].PriorityWeight / max(e.sendTime(req), 1)
	relative := min(density/maxDensity, 1)
	if req.isOverQuota {
		relative *= e.settings.OverQuotaWeightFactor
	}
	return 1 - reservedLimitShare*(1-relative)
}

// hasGroupCapacity reports that an accounting group may have one more request in flight at a server that groups share.
// The group's share of the limit is its own. Past it, it borrows what others leave: of a group that has more in flight
// for its share than this one, its share is reserved as far as it was used recently, and of all others what they used.
func (e *Engine) hasGroupCapacity(group int, srv *server, limit, draw float64) bool {
	inFlight := float64(srv.usageOf(group).inFlight)
	share := e.capacityShares[group]
	if inFlight+draw < share*limit {
		return true
	}
	reserved := 0.0
	for other, usage := range srv.groupUsage {
		if other == 0 || other == group {
			continue
		}
		bound := limit
		if float64(usage.inFlight)*share > inFlight*e.capacityShares[other] {
			bound *= e.capacityShares[other]
		}
		reserved += usage.reserved(e.now, bound)
	}
	return float64(srv.inFlight)+reserved+draw < limit
}

// adjustLimits moves the concurrency limits that an attempt used: up with a response in time, down with one that was
// late or with a rejection.
func (e *Engine) adjustLimits(req *request, ended *attempt, ev *Event) {
	target := e.lateTarget(req)
	wasFillRejected := e.wasFillRejected(ended, ev)
	e.adjustServerLimit(req, ended, ev, target, wasFillRejected)
	if ended.isFill {
		e.adjustOriginFillLimit(req, ended, ev)
		e.adjustSourceLimit(req, ended, ev, target, wasFillRejected)
	}
}

// lateTarget returns the response time, in microseconds, past which a response to a request is late.
func (e *Engine) lateTarget(req *request) float64 {
	if req.SizeKB > 0 {
		return e.sendTime(req) + lateObjectiveShare*(e.latencyObjective(req)-e.sendTime(req))
	}
	return lateObjectiveShareUnsized * e.latencyObjective(req)
}

// wasFillRejected reports that a source rejected a fill. Where caches tell no failures this shows as a rejection of the
// attempt.
func (e *Engine) wasFillRejected(ended *attempt, ev *Event) bool {
	if !ended.isFill || ev.Outcome != OutcomeRejected {
		return false
	}
	return ev.CacheStatus == SourceRejected || ev.CacheStatus == CacheStatusUnknown && !e.reportsCacheStatus()
}

// isSourceOfMany reports that so many routers share the source of a fill that a late fill, less its wait for the
// origin, tells of it and not of the edge cache.
func (a *attempt) isSourceOfMany() bool {
	return a.isFill && a.source.routers > initialLimit
}

// adjustServerLimit moves the limit at the server of an attempt. Direct attempts to the origin tell nothing: they fill
// links.
func (e *Engine) adjustServerLimit(req *request, ended *attempt, ev *Event, target float64, wasFillRejected bool) {
	srv := ended.server
	if srv.role != roleEdgeCache && srv.role != roleParent {
		return
	}
	isRejected := ev.Outcome == OutcomeRejected && !ev.CacheStatus.IsFailure() && !wasFillRejected
	isSourcesDoing := ended.isSourceOfMany() && ev.CacheStatus.IsFilled()
	ownTime := float64(ev.ResponseTime - ev.UpstreamWait)
	isLate := !isSourcesDoing && isLateResponse(ended, ev, srv, ended.serverAnswersBefore, ownTime, target)
	e.moveLimit(req, ev, srv, 1, isRejected || isLate)
}

// adjustSourceLimit moves the limit at the source of a fill, where it is known that the fill reached it.
func (e *Engine) adjustSourceLimit(req *request, ended *attempt, ev *Event, target float64, wasFillRejected bool) {
	hasTimedOut := ev.Outcome == OutcomeTimedOut
	isUnreported := e.settings.Hierarchy.CacheStatusReporting == CacheStatusUnreported
	if !wasFillRejected && !hasTimedOut && !isUnreported && !ev.CacheStatus.IsFilled() {
		return
	}
	source := ended.source
	responseTime := float64(ev.ResponseTime)
	switch {
	case ended.isSourceOfMany():
		responseTime = float64(ev.ResponseTime - ev.UpstreamWait)
	case ev.CacheStatus == FilledFromOrigin:
		// The wait for a distant origin is not the source's doing; but on a full link fills must become fewer.
		source.updateMinOriginWait(originWait(req, ended, ev))
		if e.linkUseIndex < 0 { // nothing tells of the link: a usual wait within the objective is not late
			usual := e.sendTime(req) + maxOriginWaitMultiple*source.minOriginWait
			target = max(target, min(usual, e.latencyObjective(req)))
		} else if e.linkUse < overloadedLinkUse {
			responseTime -= source.minOriginWait
		}
	}
	isLate := !isOriginTimeout(req, ended, ev) &&
		isLateResponse(ended, ev, source, ended.sourceAnswersBefore, responseTime, target)
	e.moveLimit(req, ev, source, defaultMissRatio, wasFillRejected || isLate)
}

// updateMinOriginWait takes in a wait for the origin, in microseconds. The least one rises slowly until it is met
// again.
func (srv *server) updateMinOriginWait(wait float64) {
	known := cmp.Or(srv.minOriginWait, wait)
	srv.minOriginWait = min(known*(1+minOriginWaitRise), wait)
}

// isLateResponse reports that a server took longer than a target. One attempt that times out does not make a server
// late that answered others meanwhile.
func isLateResponse(ended *attempt, ev *Event, srv *server, answersBefore, took, target float64) bool {
	if ev.Outcome != OutcomeTimedOut {
		return took > target
	}
	hasAnsweredOthers := srv.answerCount-answersBefore >= 1
	return !hasAnsweredOthers && (ended.isCanceledAsSilent || took > target)
}

// moveLimit moves a server's limit after a response or a failure. requestShare is the part of the requests counted at
// it that it serves.
func (e *Engine) moveLimit(req *request, ev *Event, srv *server, requestShare float64, isLate bool) {
	isInUse := float64(srv.inFlight+1) >= srv.concurrencyLimit/2
	switch {
	case !isInUse: // a limit that is far away tells nothing
	case isLate && e.now-srv.limitReducedAt > int64(e.meanSendTime[req.class]):
		e.reduceLimit(srv, requestShare)
		if srv.role == roleParent && ev.Outcome != OutcomeTimedOut { // a time-out may be due to what is upstream of it
			e.emit(Action{Kind: ActionReportOverload, Server: srv.name})
		}
	case isLate || ev.Outcome != OutcomeServed:
	case srv.limitReducedAt == 0:
		srv.concurrencyLimit++
	default:
		srv.concurrencyLimit += e.limitGrowth(req, srv)
	}
}

// limitGrowth returns by how much a limit that was reduced before grows: the less, the more routers share the server,
// and the smaller the response. Small ones are in time whatever the load and tell little.
func (e *Engine) limitGrowth(req *request, srv *server) float64 {
	return limitGrowthPerRound * e.sendTime(req) / slices.Max(e.meanSendTime) / (srv.concurrencyLimit * srv.routers)
}

// reduceLimit takes a server's limit down: at once to what its known size allows, where few responses are seen.
func (e *Engine) reduceLimit(srv *server, requestShare float64) {
	srv.concurrencyLimit = max(srv.concurrencyLimit*limitDecreaseFactor, minLimit)
	srv.limitReducedAt = e.now
	if e.hasServerWeights && srv.role != roleOrigin {
		srv.concurrencyLimit = min(srv.concurrencyLimit, lateServerTransfers*e.capacity(srv)/requestShare)
	}
}

// parentOverloaded reduces the limit at a parent that routers of other sites find overloaded, as a late response would.
func (e *Engine) parentOverloaded(srv *server) {
	if srv == nil || srv.role != roleParent {
		return
	}
	if e.now-srv.limitReducedAt > int64(slices.Max(e.meanSendTime)) {
		e.reduceLimit(srv, defaultMissRatio)
	}
}

// capacity estimates this router's part of what a warm server can do, in work per microsecond: at least one transfer's
// part where nothing tells its size.
func (e *Engine) capacity(srv *server) float64 {
	if e.hasServerWeights && srv.weight > 0 {
		return srv.weight / srv.routers
	}
	return max(e.peakWorkRates[srv.role], 1/srv.routers)
}
