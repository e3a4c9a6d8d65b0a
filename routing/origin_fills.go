package routing

import "cmp"

// Constants of the limit on fills that may reach the origin. It has no server of its own: fills go to the origin or to
// parents, which may ask it.
const (
	unlimitedOriginFills    = 1000 // fills in flight; the limit at the start and at most: few fills get that far
	minOriginFills          = 1    // fills in flight at least, or a recovery would not be seen
	originFillsGrowthFactor = 1.1  // on the limit at a response in time
	originFillsGrowthStep   = 0.5  // fills more, so that it comes back from one within a few responses
)

// boundOriginFills sets the bounds on fills that reach the origin; 0: none.
func (e *Engine) boundOriginFills(ev *Event) {
	e.maxPossibleOriginFills = cmp.Or(ev.MaxPossibleOriginFills, unlimitedOriginFills)
	e.maxConfirmedOriginFills = cmp.Or(ev.MaxConfirmedOriginFills, unlimitedOriginFills)
	e.originFills.concurrencyLimit = min(e.originFills.concurrencyLimit, e.maxPossibleOriginFills)
}

// mayFillFromOrigin admits a request's fill to the origin: within the learned limit on fills that may reach it, and
// within the bounds that EventOriginFillBounds set. Where fills known to reach it have a bound, a fill is admitted only
// once a parent has been found to have no copy.
func (e *Engine) mayFillFromOrigin(req *request) bool {
	if !req.isMissConfirmed {
		hasCapacity := e.hasCapacity(req, &e.originFills)
		return hasCapacity && e.maxConfirmedOriginFills >= unlimitedOriginFills
	}
	if !e.hasConfirmedFillCapacity(req) {
		return false
	}
	isUnbounded := e.maxPossibleOriginFills >= unlimitedOriginFills
	return isUnbounded || e.hasCapacityWithin(req, &e.originFills, e.maxPossibleOriginFills)
}

// hasConfirmedFillCapacity reports that one more fill known to reach the origin is within its limit. All accounting
// groups share this limit, and only weights of cacheable classes are compared: uncacheable requests make no fills.
func (e *Engine) hasConfirmedFillCapacity(req *request) bool {
	limit := min(e.originFills.concurrencyLimit, e.maxConfirmedOriginFills)
	limit *= e.usableLimitShare(req, e.maxCacheableWeightDensity())
	return float64(e.confirmedOriginFills)+e.rng.Float64() < limit
}

// isOriginTimeout reports that an attempt timed out while the origin was known to be asked: that is the origin's doing.
func isOriginTimeout(req *request, ended *attempt, ev *Event) bool {
	return ended.mayReachOrigin && req.isMissConfirmed && ev.Outcome == OutcomeTimedOut
}

// originWait returns how long an attempt waited for the origin, in microseconds: all of its time if the origin never
// came.
func originWait(req *request, ended *attempt, ev *Event) float64 {
	if isOriginTimeout(req, ended, ev) {
		return float64(ev.ResponseTime)
	}
	return float64(ev.UpstreamWait)
}

// adjustOriginFillLimit moves the limit on fills that may reach the origin, after a fill that did: by how long it
// waited.
func (e *Engine) adjustOriginFillLimit(req *request, ended *attempt, ev *Event) {
	if ev.CacheStatus != FilledFromOrigin && !isOriginTimeout(req, ended, ev) {
		return
	}
	wait := originWait(req, ended, ev)
	fills := &e.originFills
	target := lateObjectiveShareUnsized * e.latencyObjective(req)
	if wait <= target {
		grown := fills.concurrencyLimit*originFillsGrowthFactor + originFillsGrowthStep
		fills.concurrencyLimit = min(grown, e.maxPossibleOriginFills)
		return
	}
	if e.now-fills.limitReducedAt > int64(e.meanSendTime[req.class]) {
		// Reduced from what is in flight now, or hundreds of reductions would be needed.
		used := min(fills.concurrencyLimit, float64(fills.inFlight+1))
		fills.concurrencyLimit = max(used*min(target/wait, limitDecreaseFactor), minOriginFills)
		fills.limitReducedAt = e.now
	}
}

// areFillsLate reports that fills from the origin were found late recently.
func (e *Engine) areFillsLate() bool {
	return e.now-e.originFills.limitReducedAt < rateWindow
}

// ConfirmedOriginFills returns how many fills that are known to reach the origin are in flight.
func (e *Engine) ConfirmedOriginFills() int { return e.confirmedOriginFills }
