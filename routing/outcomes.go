package routing

// maxBareErrors is the number of edge caches that give an error without a reason after which the fault is the
// request's.
const maxBareErrors = 2

// attemptEnded takes the outcome of an attempt: it moves limits and circuit breakers, and retries or answers the
// request.
func (e *Engine) attemptEnded(ev *Event) {
	req := e.requests[ev.RequestID]
	if req == nil || !req.inFlight || ev.Attempt != req.attempts-1 {
		return
	}
	ended := req.current
	e.releaseAttempt(req)
	if ev.Outcome == OutcomeCanceled && (ended.isCanceledAsSilent || ended.isCanceledAsLost) {
		ev.Outcome = OutcomeTimedOut
	}
	e.learnLoadReport(ended.server, ev.LoadReport)
	e.adjustLimits(req, &ended, ev)
	charged := e.chargedServer(req, &ended, ev)
	e.recordOutcome(req, &ended, ev, charged)
	if ev.IsFinal {
		e.closeRequest(req.RequestID)
		return
	}
	if ev.Outcome.mayHaveRun() && req.firstRunServer == nil {
		req.firstRunAt = ended.sentAt
		req.firstRunServer = ended.server
	}
	switch e.prepareRetry(req, &ended, ev, charged) {
	case retryAttempt:
		e.sendNextAttempt(req)
	case retryRejected:
		e.rejectOrFail(req)
	case retryFailed:
		e.closeRequest(req.RequestID)
		e.emit(Action{Kind: ActionFail, RequestID: req.RequestID})
	}
}

// retryDecision is what follows an attempt without a final outcome.
type retryDecision int

const (
	retryAttempt  retryDecision = iota // another attempt
	retryRejected                      // none: reject the request, or fail it if it may have run
	retryFailed                        // none: the request itself is at fault
)

// prepareRetry decides whether another attempt follows one that failed, and keeps in the request where it may go: to
// the same edge cache with another source or for a cached copy, or to another one.
func (e *Engine) prepareRetry(req *request, ended *attempt, ev *Event, charged *server) retryDecision {
	switch {
	case len(req.bareErrorCaches) >= maxBareErrors:
		return retryFailed
	case req.isCachedCopyOnly:
		return e.retryAfterCachedCopy(req, ended, ev)
	case hasConfirmedMiss(req, ended, ev):
		req.isMissConfirmed = true
		req.retryCache = ended.server
		mayBeStale := valueAt(e.settings.Hierarchy.FreshnessLifetime, req.class) > 0
		req.isCachedCopyOnly = !req.triedCachedCopy && mayBeStale
	case e.hasFillFailed(ended, ev, charged):
		return e.retryAfterFailedFill(req, ended, ev)
	case ended.server.role == roleEdgeCache:
		req.retryCache = nil
		req.failedCaches = append(req.failedCaches, ended.server)
	default:
		req.failedSources = append(req.failedSources, ended.server)
	}
	return retryAttempt
}

// retryAfterCachedCopy decides after an attempt for any cached copy: a source that may not have been selected yet, else
// a rejection.
func (e *Engine) retryAfterCachedCopy(req *request, ended *attempt, ev *Event) retryDecision {
	req.isCachedCopyOnly = false
	req.cachedCopyMissed = true
	if ev.Outcome != OutcomeMiss && ev.Outcome != OutcomeRejected {
		req.retryCache = nil
		req.failedCaches = append(req.failedCaches, ended.server)
	}
	hasTriedSource := len(req.failedSources) > 0 || req.isMissConfirmed
	if !hasTriedSource && (req.attempts > 1 || req.areSourcesFull) {
		return retryRejected
	}
	return retryAttempt
}

// hasConfirmedMiss reports that a source which was asked for a cached copy only has none: the origin may now be asked
// in the knowledge that it is.
func hasConfirmedMiss(req *request, ended *attempt, ev *Event) bool {
	isCachedOnly := ended.isFill && !ended.mayReachOrigin
	return isCachedOnly && ev.CacheStatus == SourceMissed && !req.isMissConfirmed
}

// hasFillFailed reports that a fill failed and not the edge cache, which may be asked once more.
func (e *Engine) hasFillFailed(ended *attempt, ev *Event, charged *server) bool {
	if !ended.isFill || ended.server.role != roleEdgeCache {
		return false
	}
	isOtherCharged := charged != nil && charged != ended.server
	isNobodyCharged := charged == nil && ev.Outcome == OutcomeTimedOut
	return isOtherCharged || isNobodyCharged || ev.CacheStatus == FillsExhausted || ev.Outcome == OutcomeMiss ||
		e.wasFillRejected(ended, ev)
}

// retryAfterFailedFill decides after a failed fill: the same edge cache is asked for any cached copy, then with another
// source. An edge cache without a place for a fill has none for any source: a retry elsewhere would feed the
// congestion.
func (e *Engine) retryAfterFailedFill(req *request, ended *attempt, ev *Event) retryDecision {
	req.retryCache = ended.server
	req.isCachedCopyOnly = !req.triedCachedCopy
	if ev.CacheStatus != FillsExhausted {
		req.failedSources = append(req.failedSources, ended.source)
		return retryAttempt
	}
	if req.triedCachedCopy {
		return retryRejected
	}
	return retryAttempt
}
