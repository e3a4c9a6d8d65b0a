package routing

const (
	// deduplicationWindowShare is the fraction of a class's DeduplicationWindow within which a request with an
	// idempotency key is retried.
	deduplicationWindowShare = 0.9
	// retryAfterObjectives is the minimum Retry-After of a rejection, in latency objectives. The maximum is twice
	// the minimum. After either, the response to a client's retry can still have its full weight.
	retryAfterObjectives = 0.12
)

// retryWindow returns the remaining time, in microseconds, in which an attempt of a request may be sent; 0 or less: no
// attempt may be sent. A request that may have run is retried only as its class allows.
func (e *Engine) retryWindow(req *request) int64 {
	class := &e.settings.Classes[req.class]
	untilDeadline := req.deadline - e.now
	switch {
	case req.firstRunServer == nil || class.Idempotency == IdempotentRead:
		return untilDeadline
	case class.Idempotency != IdempotentKey:
		return 0
	}
	window := int64(deduplicationWindowShare * float64(class.DeduplicationWindow))
	return min(window-(e.now-req.firstRunAt), untilDeadline)
}

// isInDeduplicationScope reports whether deduplication allows a request to be sent to a server. It does in three cases:
// no server may have run the request, the class is IdempotentRead, or the server drops repeats of the first attempt
// that may have run.
func (e *Engine) isInDeduplicationScope(req *request, srv *server) bool {
	class := &e.settings.Classes[req.class]
	first := req.firstRunServer
	if first == nil || class.Idempotency == IdempotentRead || class.DeduplicationScope == DeduplicatedByAll {
		return true
	}
	if srv == first {
		return true
	}
	isSameZone := srv.zone == first.zone
	switch class.DeduplicationScope {
	case DeduplicatedByZone:
		return isSameZone
	case DeduplicatedByCell:
		return isSameZone && srv.cell == first.cell
	}
	return false
}

// rejectOrFail gives the final answer: a rejection if a retry by the client is safe, otherwise a failure.
func (e *Engine) rejectOrFail(req *request) {
	class := &e.settings.Classes[req.class]
	e.closeRequest(req.RequestID)
	if req.firstRunServer != nil && !class.isRetrySafe() {
		e.emit(Action{Kind: ActionFail, RequestID: req.RequestID})
		return
	}
	wait := int64(retryAfterObjectives * float64(class.LatencyObjective) * (1 + e.rng.Float64()))
	retryAfter := min(wait, e.settings.Permissions.MaxRetryAfter)
	e.emit(Action{Kind: ActionReject, RequestID: req.RequestID, RetryAfter: retryAfter})
}

// isRetrySafe reports whether a client may retry a request that may have run.
func (c *Class) isRetrySafe() bool {
	switch c.Idempotency {
	case IdempotentRead:
		return true
	case IdempotentKey:
		return c.DeduplicationScope == DeduplicatedByAll
	}
	return false
}
