package routing

import "cmp"

// Constants of the limit on fills that may reach the origin. These fills go to the origin directly, or to parents,
// which may forward them to the origin. The limit is therefore not that of a single server.
const (
	// maxOriginFills is the initial limit, in fills in flight, and its maximum unless a bound is set. Few routers ever
	// reach it. A bound of at least this value counts as none.
	maxOriginFills = 1000

	minOriginFills          = 1   // minimum limit, in fills in flight, needed to detect a recovery
	originFillsGrowthFactor = 1.1 // factor by which a timely response raises the limit
	originFillsGrowthStep   = 0.5 // additional growth, in fills: the limit recovers from 1 within a few responses
)

// boundOriginFills sets the bounds on fills that reach the origin; 0: no bound.
func (e *Engine) boundOriginFills(ev *Event) {
	e.maxPotentialOriginFills = cmp.Or(ev.MaxPotentialOriginFills, maxOriginFills)
	e.maxConfirmedOriginFills = cmp.Or(ev.MaxConfirmedOriginFills, maxOriginFills)
	e.originFills.concurrencyLimit = min(e.originFills.concurrencyLimit, e.maxPotentialOriginFills)
}

// mayFillFromOrigin reports whether a request's fill may go to the origin. The fill must be within the learned limit on
// fills that may reach the origin, and within the bounds set by EventOriginFillBounds. If fills known to reach the
// origin are bounded, a fill is admitted only after a parent has reported that it has no copy.
func (e *Engine) mayFillFromOrigin(req *request) bool {
	if !req.isMissConfirmed {
		hasCapacity := e.hasCapacity(req, &e.originFills)
		return hasCapacity && e.maxConfirmedOriginFills >= maxOriginFills
	}
	if !e.hasConfirmedFillCapacity(req) {
		return false
	}
	isUnbounded := e.maxPotentialOriginFills >= maxOriginFills
	return isUnbounded || e.hasCapacityWithin(req, &e.originFills, e.maxPotentialOriginFills)
}

// hasConfirmedFillCapacity reports whether one more fill known to reach the origin is within the limit. All accounting
// groups share this limit. The part of it that a request may use depends on the request's weight density relative to
// the greatest of the cacheable classes, since uncacheable requests cause no fills.
func (e *Engine) hasConfirmedFillCapacity(req *request) bool {
	limit := min(e.originFills.concurrencyLimit, e.maxConfirmedOriginFills)
	limit *= e.usableLimitShare(req, e.maxCacheableWeightDensity())
	return float64(e.confirmedOriginFills)+e.rng.Float64() < limit
}

// isOriginTimeout reports whether an attempt timed out and its fill is known to reach the origin. The origin is then
// considered the cause.
func isOriginTimeout(req *request, ended *attempt, ev *Event) bool {
	return ended.mayReachOrigin && req.isMissConfirmed && ev.Outcome == OutcomeTimedOut
}

// originWait returns how long an attempt waited for the origin, in microseconds. It is the whole response time if the
// origin did not respond.
func originWait(req *request, ended *attempt, ev *Event) float64 {
	if isOriginTimeout(req, ended, ev) {
		return float64(ev.ResponseTime)
	}
	return float64(ev.UpstreamWait)
}

// adjustOriginFillLimit adjusts the limit on fills that may reach the origin after a fill that reached it, according to
// its wait for the origin.
func (e *Engine) adjustOriginFillLimit(req *request, ended *attempt, ev *Event) {
	if ev.CacheStatus != FilledFromOrigin && !isOriginTimeout(req, ended, ev) {
		return
	}
	wait := originWait(req, ended, ev)
	fills := &e.originFills
	target := lateObjectiveShareUnsized * e.latencyObjective(req)
	if wait <= target {
		grown := fills.concurrencyLimit*originFillsGrowthFactor + originFillsGrowthStep
		fills.concurrencyLimit = min(grown, e.maxPotentialOriginFills)
		return
	}
	if e.now-fills.limitReducedAt > int64(e.meanSendTime[req.class]) {
		// The reduction starts from the fills in flight. From the initial limit, it could take dozens of reductions to
		// have an effect.
		used := min(fills.concurrencyLimit, float64(fills.inFlight+1))
		fills.concurrencyLimit = max(used*min(target/wait, limitDecreaseFactor), minOriginFills)
		fills.limitReducedAt = e.now
	}
}

// areFillsLate reports whether a fill from the origin was late within the last rateWindow.
func (e *Engine) areFillsLate() bool {
	return e.now-e.originFills.limitReducedAt < rateWindow
}

// ConfirmedOriginFills returns the number of fills in flight that are known to reach the origin.
func (e *Engine) ConfirmedOriginFills() int { return e.confirmedOriginFills }
