package routing

import "slices"

// Constants of circuit breakers.
const (
	// breakerMinOutcomes is the minimum total weight of recent outcomes before a breaker may open.
	breakerMinOutcomes = 3
	// breakerMaxOutcomes is the number of latest outcomes that count. If a fault follows 8 successes, a parent is
	// ejected after 4 failures and an edge cache after 6.
	breakerMaxOutcomes = 8
	// breakerFailureRatio is the fraction of failed outcomes at which a parent or the origin is ejected.
	breakerFailureRatio = 0.5
	// cacheBreakerFailureRatio is the fraction of failed outcomes at which an edge cache is ejected. If only half of
	// the outcomes are failures, retries serve more requests than ejection.
	cacheBreakerFailureRatio = 0.75
	// breakerCoolDown is the time for which a parent or the origin is ejected before its trial, in microseconds.
	breakerCoolDown = 10_000_000
	// cacheBreakerCoolDown is the time for which an edge cache is ejected before its trial, in microseconds. It is
	// short because a trial risks only one request, and few other caches can replace the ejected one.
	cacheBreakerCoolDown = 2_000_000
	// breakerCoolDownJitter is the maximum random extension of a cool-down, as a fraction of the cool-down. The
	// extension prevents all routers from trying a cold parent simultaneously.
	breakerCoolDownJitter = 0.3
)

// circuitBreaker is a failure-rate breaker. It is closed, then open until a time, then half-open: one trial at a time
// is allowed, and its outcome closes the breaker or opens it again. The zero value is closed.
type circuitBreaker struct {
	outcomes        [breakerMaxOutcomes]breakerOutcome // ring buffer of the last outcomes while closed
	outcomeCount    int                                // recorded while closed; modulo the size, the next index
	openUntil       int64                              // 0: closed
	isTrialInFlight bool
	hasTrialFailed  bool // a trial has failed since the breaker opened
}

// breakerOutcome is one outcome. Its weight is below 1 if it counts only in part.
type breakerOutcome struct {
	weight float64
	failed float64 // the weight if it failed, else 0
}

// isOpen reports whether the server is ejected: the breaker is open, or a trial is in flight.
func (b *circuitBreaker) isOpen(now int64) bool {
	return b.openUntil != 0 && (now < b.openUntil || b.isTrialInFlight)
}

// isReadyForTrial reports whether the breaker is half-open without a trial. The next request is then its trial.
func (b *circuitBreaker) isReadyForTrial(now int64) bool {
	return b.openUntil != 0 && now >= b.openUntil && !b.isTrialInFlight
}

// record counts an outcome, and opens the breaker if the fraction of failures reaches failureRatio. While the breaker
// is open, only the trial's outcome counts.
func (b *circuitBreaker) record(now int64, outcome breakerOutcome, isTrial bool, failureRatio float64, coolDown int64) {
	hasFailed := outcome.failed > 0
	if b.openUntil != 0 {
		if isTrial {
			b.endTrial(now, hasFailed, coolDown)
		}
		return
	}
	b.outcomes[b.outcomeCount%breakerMaxOutcomes] = outcome
	b.outcomeCount++
	total, failed := 0.0, 0.0
	for _, o := range b.outcomes {
		total += o.weight
		failed += o.failed
	}
	if hasFailed && total >= breakerMinOutcomes && failed >= failureRatio*total {
		*b = circuitBreaker{openUntil: now + coolDown}
	}
}

// endTrial closes the breaker after a successful trial, or opens it again after a failed one.
func (b *circuitBreaker) endTrial(now int64, hasFailed bool, coolDown int64) {
	if !hasFailed {
		*b = circuitBreaker{}
		return
	}
	b.openUntil = now + coolDown
	b.hasTrialFailed = true
}

// claimTrials makes an attempt the half-open trial of each server that it uses and whose breaker is ready for a trial.
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

// recordSuccess records a response of a server as a success at its circuit breaker, and adds it to answerCount and
// recentAnswers, which show whether the server responds. weight is the probability that the server contributed to the
// response, above 0 and at most 1.
func (e *Engine) recordSuccess(req *request, ended *attempt, srv *server, weight float64) {
	srv.answerCount += weight
	srv.recentAnswers.add(e.now, rateWindow, weight)
	e.recordAtBreaker(req, ended, srv, breakerOutcome{weight: weight})
}

// recordAtBreaker counts an outcome at the circuit breaker of a server. The cool-down is randomized for each outcome.
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

// chargedServer returns the server that a failed attempt is charged to; nil: none. A time-out is charged to the edge
// cache if the cache has answered no request since the attempt was sent. Otherwise, the time-out of a fill is charged
// to the source if the source has answered no request since then. A time-out is not charged at all if the attempt was
// canceled as lost. Neither is it charged if the client gave up before a response was due, because clients with short
// timeouts must not eject healthy servers.
func (e *Engine) chargedServer(req *request, ended *attempt, ev *Event) *server {
	hasServerAnswered := ended.server.answerCount > ended.serverAnswersBefore
	hasTimedOut := ev.Outcome == OutcomeTimedOut
	switch {
	case hasTimedOut && (ended.isCanceledAsLost || !e.wasResponseDue(req, ended, ev)):
		return nil
	case ev.CacheStatus == OriginFailed:
		return e.origin
	case ended.isFill && (ev.CacheStatus == SourceRejected || ev.CacheStatus == SourceUnreachable):
		return ended.source
	case ev.Outcome == OutcomeError && ended.isFill && hasServerAnswered && !e.reportsCacheStatus():
		return ended.source
	case ev.Outcome == OutcomeConnectionRefused,
		ev.Outcome == OutcomeConnectionReset,
		ev.Outcome == OutcomeError,
		hasTimedOut && !hasServerAnswered:
		return ended.server
	case hasTimedOut && ended.isFill && ended.source.answerCount-ended.sourceAnswersBefore < 1:
		return ended.source
	}
	return nil
}

// wasResponseDue reports whether a response was due when an attempt timed out.
func (e *Engine) wasResponseDue(req *request, ended *attempt, ev *Event) bool {
	return ended.foundUnresponsive || float64(ev.ResponseTime) >= e.latencyObjective(req)
}

// reportsCacheStatus reports whether caches report all cache statuses, including failures.
func (e *Engine) reportsCacheStatus() bool {
	return e.settings.Hierarchy.CacheStatusReporting == CacheStatusReported
}

// recordOutcome counts the outcome of an attempt at the circuit breakers, and updates estimates from a response.
// charged is the server that a failure is charged to; nil: none.
func (e *Engine) recordOutcome(req *request, ended *attempt, ev *Event, charged *server) {
	isDirectUncacheable := e.isUncacheable(req) && ended.server.role != roleEdgeCache
	if ev.Outcome == OutcomeCanceled || ev.Outcome == OutcomeSkipped || isDirectUncacheable {
		return
	}
	isServed := ev.Outcome == OutcomeServed
	e.recordCharge(req, ended, ev, charged)
	if isServed {
		for _, cache := range req.unexplainedErrorCaches {
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

// recordCharge counts a failure at the charged server. An error without a reason may be caused by the request itself,
// for example by an object that does not exist. It is charged to the cache only after another cache has served the
// request.
func (e *Engine) recordCharge(req *request, ended *attempt, ev *Event, charged *server) {
	isUnexplainedError := ev.Outcome == OutcomeError && ev.CacheStatus == CacheStatusUnknown && charged == ended.server
	if isUnexplainedError {
		req.unexplainedErrorCaches = append(req.unexplainedErrorCaches, charged)
	} else if charged != nil {
		e.recordFailure(req, ended, charged)
	}
}

// recordFill counts a response at the servers that contributed to the fill.
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
