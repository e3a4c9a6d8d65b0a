package routing

import (
	"cmp"
	"slices"
)

// Constants of concurrency limits. Those without a unit are ratios.
const (
	rateWindow              = 4_000_000 // us; time constant of averaged rates
	defaultMissRatio        = 0.3       // fraction of misses assumed for an edge cache without a reported hit ratio
	initialLimit            = 16        // requests in flight at a new server, of all routers; grows fast until reduced
	initialLimitMargin      = 2         // requests added to each router's share; about that many overlap by chance
	minLimit                = 0.05      // requests; a router with such a limit still sends one occasionally
	limitDecreaseFactor     = 0.85      // factor after a late response or rejection, at most once per mean sending time
	maxReducedLimitMultiple = 2.0       // cap on a reduced limit, as a multiple of the router's share of the capacity

	// limitGrowthPerRound is the growth in one round, in requests, of the limits at a server, added up over its
	// routers. In one round each router receives as many responses as its limit. Small responses cause less growth, see
	// limitGrowth.
	limitGrowthPerRound = 9

	reservedLimitShare = 0.5 // fraction of a limit for the requests with the greatest weight per sending time
	// reservationDecay is the time constant, in microseconds, with which the capacity that is reserved for a group
	// according to its recent use decays.
	reservationDecay = 1_000_000

	// These fractions define when a response is late. A response of known size is late if it takes longer than
	// t + lateObjectiveShare * (objective - t), where t is its sending time. A response of unknown size is late if it
	// takes longer than lateObjectiveShareUnsized * objective. The second fraction is greater, since large chunks take
	// long to send.
	lateObjectiveShare        = 0.5
	lateObjectiveShareUnsized = 0.8

	overloadedLinkUse     = 1.5    // use of the zone's link / its capacity, at and above which fills must be reduced
	maxOriginWaitMultiple = 3      // a wait for the origin is usual up to this multiple of the minimum recent wait
	minOriginWaitRise     = 0.0005 // relative rise of the minimum recent wait at each response
)

// initialConcurrencyLimit returns a router's limit, in requests, at a newly listed or restarted server.
func initialConcurrencyLimit(srv *server) float64 {
	if srv.role == roleOrigin {
		return initialLimit / srv.routers
	}
	return initialLimit/srv.routers + initialLimitMargin
}

// hasCapacity reports whether a server is below the concurrency limit that applies to a request. The fractional part of
// a limit is the probability that one more request is admitted. On average, hundreds of routers together then stay
// within the sum of their limits.
func (e *Engine) hasCapacity(req *request, srv *server) bool {
	return e.hasCapacityWithin(req, srv, srv.concurrencyLimit)
}

// hasCapacityWithin is hasCapacity with the given limit instead of the server's.
func (e *Engine) hasCapacityWithin(req *request, srv *server, concurrencyLimit float64) bool {
	limit := concurrencyLimit * e.usableLimitShare(req, e.maxWeightDensityAt(srv))
	draw := e.rng.Float64()
	if req.accountingGroup != 0 && srv.isSharedByGroups() {
		return e.hasGroupCapacity(req.accountingGroup, srv, limit, draw)
	}
	return float64(srv.inFlight)+draw < limit
}

// usableLimitShare returns the fraction of a limit that a request may use. The weight density of a request is its
// priority weight per sending time. The fraction is 1 at the greatest density, maxDensity, and decreases linearly with
// the density of the request.
func (e *Engine) usableLimitShare(req *request, maxDensity float64) float64 {
	density := e.settings.Classes[req.class].PriorityWeight / max(e.sendTime(req), 1)
	relative := min(density/maxDensity, 1)
	if req.isOverQuota {
		relative *= e.settings.OverQuotaWeightFactor
	}
	return 1 - reservedLimitShare*(1-relative)
}

// hasGroupCapacity reports whether an accounting group may have one more request in flight at a server that groups
// share. Its own share of the limit is always available to it. Above that, it may borrow capacity that other groups do
// not reserve. Each other group reserves the capacity that it used recently. If it has more requests in flight,
// relative to its share, than this group, it reserves at most its share.
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

// adjustLimits adjusts the concurrency limits of the servers that an attempt used. A response that is on time raises
// them. A late response or a rejection reduces them.
func (e *Engine) adjustLimits(req *request, ended *attempt, ev *Event) {
	target := e.lateTarget(req)
	wasFillRejected := e.wasFillRejected(ended, ev)
	e.adjustServerLimit(req, ended, ev, target, wasFillRejected)
	if ended.isFill {
		e.adjustOriginFillLimit(req, ended, ev)
		e.adjustSourceLimit(req, ended, ev, target, wasFillRejected)
	}
}

// lateTarget returns the response time, in microseconds, above which a response to a request is late.
func (e *Engine) lateTarget(req *request) float64 {
	if req.SizeKB > 0 {
		return e.sendTime(req) + lateObjectiveShare*(e.latencyObjective(req)-e.sendTime(req))
	}
	return lateObjectiveShareUnsized * e.latencyObjective(req)
}

// wasFillRejected reports whether a source rejected a fill. If caches do not report failures, a rejection of the
// attempt is taken as a rejection of its fill.
func (e *Engine) wasFillRejected(ended *attempt, ev *Event) bool {
	if !ended.isFill || ev.Outcome != OutcomeRejected {
		return false
	}
	return ev.CacheStatus == SourceRejected || ev.CacheStatus == CacheStatusUnknown && !e.reportsCacheStatus()
}

// isSourceWidelyShared reports whether more than initialLimit routers share the source of a fill. A fill that is late
// even without its wait for the origin is then evidence of load at the source, and not at the edge cache.
func (a *attempt) isSourceWidelyShared() bool {
	return a.isFill && a.source.routers > initialLimit
}

// adjustServerLimit adjusts the limit at the server of an attempt, if it is a parent or an edge cache of this zone.
// Direct attempts to the origin are not counted, since their response times reflect the load of the links.
func (e *Engine) adjustServerLimit(req *request, ended *attempt, ev *Event, target float64, wasFillRejected bool) {
	srv := ended.server
	if srv.role != roleEdgeCache && srv.role != roleParent {
		return
	}
	isRejected := ev.Outcome == OutcomeRejected && !ev.CacheStatus.IsFailure() && !wasFillRejected
	isSourceResponsible := ended.isSourceWidelyShared() && ev.CacheStatus.IsFilled()
	ownTime := float64(ev.ResponseTime - ev.UpstreamWait)
	isLate := !isSourceResponsible && isLateResponse(ended, ev, srv, ended.serverAnswersBefore, ownTime, target)
	e.adjustLimit(req, ev, srv, 1, isRejected || isLate)
}

// adjustSourceLimit adjusts the limit at the source of a fill that is known to have reached the source. If the attempt
// timed out or caches report no statuses, the fill may have reached the source, and the limit is adjusted too.
func (e *Engine) adjustSourceLimit(req *request, ended *attempt, ev *Event, target float64, wasFillRejected bool) {
	hasTimedOut := ev.Outcome == OutcomeTimedOut
	isUnreported := e.settings.Hierarchy.CacheStatusReporting == CacheStatusUnreported
	if !wasFillRejected && !hasTimedOut && !isUnreported && !ev.CacheStatus.IsFilled() {
		return
	}
	source := ended.source
	responseTime := float64(ev.ResponseTime)
	switch {
	case ended.isSourceWidelyShared():
		responseTime = float64(ev.ResponseTime - ev.UpstreamWait)
	case ev.CacheStatus == FilledFromOrigin:
		// The wait for a distant origin is not caused by the source. On a full link, however, fills must be reduced.
		source.updateMinOriginWait(originWait(req, ended, ev))
		if e.linkUseIndex < 0 { // the link's use is not reported: a usual wait within the objective is not late
			usual := e.sendTime(req) + maxOriginWaitMultiple*source.minOriginWait
			target = max(target, min(usual, e.latencyObjective(req)))
		} else if e.linkUse < overloadedLinkUse {
			responseTime -= source.minOriginWait
		}
	}
	isLate := !isOriginTimeout(req, ended, ev) &&
		isLateResponse(ended, ev, source, ended.sourceAnswersBefore, responseTime, target)
	e.adjustLimit(req, ev, source, defaultMissRatio, wasFillRejected || isLate)
}

// updateMinOriginWait updates the minimum recent wait for the origin with a new wait, in microseconds. Each call raises
// the minimum by the fraction minOriginWaitRise, but not above the new wait.
func (srv *server) updateMinOriginWait(wait float64) {
	known := cmp.Or(srv.minOriginWait, wait)
	srv.minOriginWait = min(known*(1+minOriginWaitRise), wait)
}

// isLateResponse reports whether a server exceeded the target response time. A timed-out attempt does not count as late
// if the server answered other requests in the meantime.
func isLateResponse(ended *attempt, ev *Event, srv *server, answersBefore, responseTime, target float64) bool {
	if ev.Outcome != OutcomeTimedOut {
		return responseTime > target
	}
	hasAnsweredOthers := srv.answerCount-answersBefore >= 1
	return !hasAnsweredOthers && (ended.foundUnresponsive || responseTime > target)
}

// adjustLimit adjusts a server's limit after a response or a failure. requestShare is the fraction of the requests
// counted at the server that it actually serves. isOverloaded is true after a late response or a rejection.
func (e *Engine) adjustLimit(req *request, ev *Event, srv *server, requestShare float64, isOverloaded bool) {
	isInUse := float64(srv.inFlight+1) >= srv.concurrencyLimit/2
	switch {
	case !isInUse: // far below the limit, the response is no evidence for or against it
	case isOverloaded && e.now-srv.limitReducedAt > int64(e.meanSendTime[req.class]):
		e.reduceLimit(srv, requestShare)
		if srv.role == roleParent && ev.Outcome != OutcomeTimedOut { // a time-out may be caused upstream of the parent
			e.emit(Action{Kind: ActionReportOverload, Server: srv.name})
		}
	case isOverloaded || ev.Outcome != OutcomeServed:
	case srv.limitReducedAt == 0:
		srv.concurrencyLimit++
	default:
		srv.concurrencyLimit += e.limitGrowth(req, srv)
	}
}

// limitGrowth returns by how many requests a response that is on time raises a limit that has been reduced before. The
// growth is smaller if more routers share the server. It is also smaller for a smaller response, since small responses
// are on time even under load.
func (e *Engine) limitGrowth(req *request, srv *server) float64 {
	return limitGrowthPerRound * e.sendTime(req) / slices.Max(e.meanSendTime) / (srv.concurrencyLimit * srv.routers)
}

// reduceLimit reduces a server's limit by limitDecreaseFactor, but not below minLimit. If the server's size is known,
// the limit is also capped at a multiple of this router's share of that size. A router may receive too few responses to
// reach this cap step by step.
func (e *Engine) reduceLimit(srv *server, requestShare float64) {
	srv.concurrencyLimit = max(srv.concurrencyLimit*limitDecreaseFactor, minLimit)
	srv.limitReducedAt = e.now
	if e.hasServerWeights && srv.role != roleOrigin {
		srv.concurrencyLimit = min(srv.concurrencyLimit, maxReducedLimitMultiple*e.capacity(srv)/requestShare)
	}
}

// parentOverloaded reduces the limit, in the same way as a late response, at a parent that routers of other sites
// report as overloaded.
func (e *Engine) parentOverloaded(srv *server) {
	if srv == nil || srv.role != roleParent {
		return
	}
	if e.now-srv.limitReducedAt > int64(slices.Max(e.meanSendTime)) {
		e.reduceLimit(srv, defaultMissRatio)
	}
}

// capacity estimates this router's share of a warm server's capacity, in work per microsecond. If the server's size is
// unknown, the estimate is at least this router's share of a server with capacity for one transfer.
func (e *Engine) capacity(srv *server) float64 {
	if e.hasServerWeights && srv.weight > 0 {
		return srv.weight / srv.routers
	}
	return max(e.peakWorkRates[srv.role], 1/srv.routers)
}
