package routing

import "slices"

// Constants of circuit breakers.
const (
	breakerMinOutcomes       = 3          // recent outcomes, by weight, before a breaker may open
	breakerMaxOutcomes       = 8          // recent outcomes that count: a sudden fault opens it after four
	breakerFailureRatio      = 0.5        // share of failed outcomes that ejects a parent or the origin
	cacheBreakerFailureRatio = 0.75       // the same for an edge cache: of half its requests a retry is better
	breakerCoolDown          = 10_000_000 // us for which a parent or the origin is ejected before its trial
	cacheBreakerCoolDown     = 2_000_000  // us for an edge cache: a trial is one request, and other caches are few
	breakerCoolDownJitter    = 0.3        // random share more: routers must not try a cold parent together
)

// circuitBreaker is a failure-rate breaker. It is closed, then open until a time, then half-open: one trial at a time
// is let through, and its outcome closes the breaker or opens it again. The zero value is closed.
type circuitBreaker struct {
	outcomes        [breakerMaxOutcomes]breakerOutcome // a ring of the last ones while closed
	next            int                                // counts outcomes; the ring's next place
	openUntil       int64                              // 0: closed
	isTrialInFlight bool
	hasTrialFailed  bool // since it opened
}

// breakerOutcome is one outcome. One that counts only in part has a weight below 1.
type breakerOutcome struct {
	weight float64
	failed float64 // the weight if it failed, else 0
}

// isOpen reports that the server is ejected: the breaker is open, or a trial is under way.
func (b *circuitBreaker) isOpen(now int64) bool {
	return b.openUntil != 0 && (now < b.openUntil || b.isTrialInFlight)
}

// isReadyForTrial reports that the breaker is half-open and the next request to the server is its trial.
func (b *circuitBreaker) isReadyForTrial(now int64) bool {
	return b.openUntil != 0 && now >= b.openUntil && !b.isTrialInFlight
}

// record counts an outcome, and opens the breaker if the share of failures has reached the ratio. While it is open only
// the trial's outcome counts.
func (b *circuitBreaker) record(now int64, outcome breakerOutcome, isTrial bool, failureRatio float64, coolDown int64) {
	hasFailed := outcome.failed > 0
	if b.openUntil != 0 {
		if isTrial {
			b.endTrial(now, hasFailed, coolDown)
		}
		return
	}
	b.outcomes[b.next%breakerMaxOutcomes] = outcome
	b.next++
	total, failed := 0.0, 0.0
	for _, o := range b.outcomes {
		total += o.weight
		failed += o.failed
	}
	if hasFailed && total >= breakerMinOutcomes && failed >= failureRatio*total {
		*b = circuitBreaker{openUntil: now + coolDown}
	}
}

// endTrial closes the breaker, or opens it again after a failure.
func (b *circuitBreaker) endTrial(now int64, hasFailed bool, coolDown int64) {
	if !hasFailed {
		*b = circuitBreaker{}
		return
	}
	b.openUntil = now + coolDown
	b.hasTrialFailed = true
}

// claimTrials makes an attempt the half-open trial of each server that it uses and that is ready for one.
func (e *Engine) claimTrials(req *request, next *attempt) {
	claim := func(srv *server) {
		breaker := srv.breakerFor(req.accountingGroup)
		if breaker.isReadyForTrial(e.now) {
			breaker.isTrialInFlight = true
			next.trials = append(next.trials, breaker)
		}
	}
	claim(next.server)
	if next.isFill {
		claim(next.source)
	}
	if next.mayReachOrigin && e.origin != nil {
		claim(e.origin)
	}
}

// recordFailure counts a failure at a server's circuit breaker.
func (e *Engine) recordFailure(req *request, ended *attempt, srv *server) {
	e.recordAtBreaker(req, ended, srv, breakerOutcome{weight: 1, failed: 1})
}

// recordSuccess counts a response of a server, at its circuit breaker and among those that show it to be alive. weight
// is the likelihood that the server had a part in it, above 0 and at most 1.
func (e *Engine) recordSuccess(req *request, ended *attempt, srv *server, weight float64) {
	srv.answerCount += weight
	srv.recentAnswers.add(e.now, rateWindow, weight)
	e.recordAtBreaker(req, ended, srv, breakerOutcome{weight: weight})
}

// recordAtBreaker counts an outcome at the circuit breaker of a server. The cool-down is drawn anew at each.
func (e *Engine) recordAtBreaker(req *request, ended *attempt, srv *server, outcome breakerOutcome) {
	coolDown, failureRatio := float64(breakerCoolDown), breakerFailureRatio
	if srv.role == roleEdgeCache {
		coolDown, failureRatio = cacheBreakerCoolDown, cacheBreakerFailureRatio
	}
	breaker := srv.breakerFor(req.accountingGroup)
	isTrial := slices.Contains(ended.trials, breaker)
	jittered := int64(coolDown * (1 + breakerCoolDownJitter*e.rng.Float64()))
	breaker.record(e.now, outcome, isTrial, failureRatio, jittered)
}

// chargedServer returns the server that a failed attempt is charged to, nil: none. A time-out is charged to the edge
// cache, or else to the source, only if it answered nothing meanwhile; and to none if the client's time ended before a
// response was due, so that impatient clients eject no sound server.
func (e *Engine) chargedServer(req *request, ended *attempt, ev *Event) *server {
	isServerAlive := ended.server.answerCount > ended.serverAnswersBefore
	hasTimedOut := ev.Outcome == OutcomeTimedOut
	switch {
	case hasTimedOut && (ended.isCanceledAsLost || !e.wasResponseDue(req, ended, ev)):
		return nil
	case ev.CacheStatus == OriginFailed:
		return e.origin
	case ended.isFill && (ev.CacheStatus == SourceRejected || ev.CacheStatus == SourceUnreachable):
		return ended.source
	case ev.Outcome == OutcomeError && ended.isFill && isServerAlive && !e.reportsCacheStatus():
		return ended.source
	case ev.Outcome == OutcomeConnectionRefused,
		ev.Outcome == OutcomeConnectionReset,
		ev.Outcome == OutcomeError,
		hasTimedOut && !isServerAlive:
		return ended.server
	case hasTimedOut && ended.isFill && ended.source.answerCount-ended.sourceAnswersBefore < 1:
		return ended.source
	}
	return nil
}

// wasResponseDue reports that an attempt that timed out had the time in which a response was due.
func (e *Engine) wasResponseDue(req *request, ended *attempt, ev *Event) bool {
	return ended.isCanceledAsSilent || float64(ev.ResponseTime) >= e.latencyObjective(req)
}

// reportsCacheStatus reports that caches tell every cache status, failures too.
func (e *Engine) reportsCacheStatus() bool {
	return e.settings.Hierarchy.CacheStatusReporting == CacheStatusReported
}

// recordOutcome counts the outcome of an attempt at the circuit breakers, and learns from a response. charged is the
// server that a failure is charged to, nil: none.
func (e *Engine) recordOutcome(req *request, ended *attempt, ev *Event, charged *server) {
	isDirectWrite := e.isUncacheable(req) && ended.server.role != roleEdgeCache
	if ev.Outcome == OutcomeCanceled || ev.Outcome == OutcomeSkipped || isDirectWrite {
		return
	}
	isServed := ev.Outcome == OutcomeServed
	e.recordCharge(req, ended, ev, charged)
	if isServed {
		for _, cache := range req.bareErrorCaches {
			e.recordFailure(req, ended, cache)
		}
	}
	if isServed || ev.Outcome == OutcomeMiss || ev.CacheStatus.IsFailure() {
		e.recordSuccess(req, ended, ended.server, 1)
	}
	if !isServed {
		return
	}
	e.adjustTail(req, float64(ev.ResponseTime))
	e.learnFromResponse(req, ended, ev)
	if ended.isFill && !e.isUncacheable(req) {
		e.recordFill(req, ended, ev)
	}
}

// recordCharge counts a failure. An error without a reason may be the request's own fault, as with an object that
// nobody knows: it is charged to the cache only once another one has served the request.
func (e *Engine) recordCharge(req *request, ended *attempt, ev *Event, charged *server) {
	isBareError := ev.Outcome == OutcomeError && ev.CacheStatus == CacheStatusUnknown && charged == ended.server
	if isBareError {
		req.bareErrorCaches = append(req.bareErrorCaches, charged)
	} else if charged != nil {
		e.recordFailure(req, ended, charged)
	}
}

// recordFill counts a response at the servers that had a part in the fill.
func (e *Engine) recordFill(req *request, ended *attempt, ev *Event) {
	switch {
	case ev.CacheStatus.IsFilled():
		e.recordSuccess(req, ended, ended.source, 1)
		if ev.CacheStatus == FilledFromOrigin && ended.source != e.origin && e.origin != nil {
			e.recordSuccess(req, ended, e.origin, 1)
		}
	case e.settings.Hierarchy.CacheStatusReporting == CacheStatusUnreported:
		e.recordSuccess(req, ended, ended.source, ended.server.missRatio)
	}
}
