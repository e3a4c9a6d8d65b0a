package routing

const (
	// deduplicationWindowShare is the share of a class's DeduplicationWindow within which a request with an idempotency
	// key is retried.
	deduplicationWindowShare = 0.9
	// retryAfterObjectives is the least Retry-After of a rejection, in latency objectives, up to twice that: a retry in
	// time still has its full weight.
	retryAfterObjectives = 0.12
)

// retryWindow returns for how long, in microseconds, an attempt of a request may still be sent. What may have run is
// retried only as its class allows.
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

// isInDeduplicationScope reports that a server would drop a repeat of what a request may have run before, or that there
// is nothing to drop.
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

// rejectOrFail gives the final answer: a rejection where a retry by the client is harmless, else a failure.
func (e *Engine) rejectOrFail(req *request) {
	class := &e.settings.Classes[req.class]
	e.closeRequest(req.RequestID)
	if req.firstRunServer != nil && !class.isRetryHarmless() {
		e.emit(Action{Kind: ActionFail, RequestID: req.RequestID})
		return
	}
	wait := int64(retryAfterObjectives * float64(class.LatencyObjective) * (1 + e.rng.Float64()))
	retryAfter := min(wait, e.settings.Permissions.MaxRetryAfter)
	e.emit(Action{Kind: ActionReject, RequestID: req.RequestID, RetryAfter: retryAfter})
}

// isRetryHarmless reports that a client may retry a request that may have run.
func (c *Class) isRetryHarmless() bool {
	switch c.Idempotency {
	case IdempotentRead:
		return true
	case IdempotentKey:
		return c.DeduplicationScope == DeduplicatedByAll
	}
	return false
}
