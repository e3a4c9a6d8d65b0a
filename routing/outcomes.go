package routing

// maxUnexplainedErrors is the number of edge caches that must return an error without a reason for the request itself
// to be considered faulty.
const maxUnexplainedErrors = 2

// attemptEnded processes the outcome of an attempt: it adjusts limits and circuit breakers, and then retries the
// request or gives the final answer.
func (e *Engine) attemptEnded(ev *Event) {
	req := e.requests[ev.RequestID]
	if req == nil || !req.inFlight || ev.Attempt != req.attempts-1 {
		return
	}
	ended := req.current
	e.releaseAttempt(req)
	if ev.Outcome == OutcomeCanceled && (ended.foundUnresponsive || ended.isCanceledAsLost) {
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
	case decisionRetry:
		e.sendNextAttempt(req)
	case decisionReject:
		e.rejectOrFail(req)
	case decisionFail:
		e.closeRequest(req.RequestID)
		e.emit(Action{Kind: ActionFail, RequestID: req.RequestID})
	}
}

// retryDecision is the next step after an attempt without a final outcome.
type retryDecision int

const (
	decisionRetry  retryDecision = iota // another attempt
	decisionReject                      // no retry: reject the request, or fail it if it may have run
	decisionFail                        // no retry: the request itself is at fault
)

// prepareRetry decides whether another attempt follows a failed one. It stores in the request where the retry may go.
// This is the same edge cache with another source, the same edge cache for any cached copy, or another server.
func (e *Engine) prepareRetry(req *request, ended *attempt, ev *Event, charged *server) retryDecision {
	switch {
	case len(req.unexplainedErrorCaches) >= maxUnexplainedErrors:
		return decisionFail
	case req.isCachedCopyOnly:
		return e.decideAfterCachedCopy(req, ended, ev)
	case hasConfirmedMiss(req, ended, ev):
		req.isMissConfirmed = true
		req.retryCache = ended.server
		mayBeStale := valueAt(e.settings.Hierarchy.FreshnessLifetime, req.class) > 0
		req.isCachedCopyOnly = !req.triedCachedCopy && mayBeStale
	case e.hasFillFailed(ended, ev, charged):
		return e.decideAfterFailedFill(req, ended, ev)
	case ended.server.role == roleEdgeCache:
		req.retryCache = nil
		req.failedCaches = append(req.failedCaches, ended.server)
	default:
		req.failedSources = append(req.failedSources, ended.server)
	}
	return decisionRetry
}

// decideAfterCachedCopy decides what follows a failed attempt that accepted any cached copy. Normally this is a retry
// that may fill from a source. If no source has failed or reported a miss, the request is rejected instead in two
// cases: the failed attempt was not the first, or isAnyParentFull is set.
func (e *Engine) decideAfterCachedCopy(req *request, ended *attempt, ev *Event) retryDecision {
	req.isCachedCopyOnly = false
	req.cachedCopyMissed = true
	if ev.Outcome != OutcomeMiss && ev.Outcome != OutcomeRejected {
		req.retryCache = nil
		req.failedCaches = append(req.failedCaches, ended.server)
	}
	hasTriedSource := len(req.failedSources) > 0 || req.isMissConfirmed
	if !hasTriedSource && (req.attempts > 1 || req.isAnyParentFull) {
		return decisionReject
	}
	return decisionRetry
}

// hasConfirmedMiss reports whether a fill with FetchCachedOnly found no copy at its source. The next fill may then go
// to the origin, and counts as one that is known to reach it.
func hasConfirmedMiss(req *request, ended *attempt, ev *Event) bool {
	isCachedOnly := ended.isFill && !ended.mayReachOrigin
	return isCachedOnly && ev.CacheStatus == SourceMissed && !req.isMissConfirmed
}

// hasFillFailed reports whether the fill, and not the edge cache, is the cause of a failure. The same cache may then be
// tried again.
func (e *Engine) hasFillFailed(ended *attempt, ev *Event, charged *server) bool {
	if !ended.isFill || ended.server.role != roleEdgeCache {
		return false
	}
	isOtherCharged := charged != nil && charged != ended.server
	isUncharged := charged == nil && ev.Outcome == OutcomeTimedOut
	return isOtherCharged || isUncharged || ev.CacheStatus == FillLimitReached || ev.Outcome == OutcomeMiss ||
		e.wasFillRejected(ended, ev)
}

// decideAfterFailedFill decides what follows a failed fill: an attempt at the same edge cache for any cached copy, then
// one with another source. An edge cache at its fill limit cannot fill from any source, so no other source is tried.
// A retry at another cache would add to the congestion.
func (e *Engine) decideAfterFailedFill(req *request, ended *attempt, ev *Event) retryDecision {
	req.retryCache = ended.server
	req.isCachedCopyOnly = !req.triedCachedCopy
	if ev.CacheStatus != FillLimitReached {
		req.failedSources = append(req.failedSources, ended.source)
		return decisionRetry
	}
	if req.triedCachedCopy {
		return decisionReject
	}
	return decisionRetry
}
