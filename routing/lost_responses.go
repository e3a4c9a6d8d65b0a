package routing

// Constants for the detection of attempts whose response will not arrive. A server is unresponsive if it answers no
// request. A response is lost if its attempt gets none while the edge cache answers other attempts.
const (
	// unresponsiveMinAnswersDue is the number of responses that must be due, with none received, for a server to be
	// unresponsive. By chance this happens with a probability of less than 1 in 1000.
	unresponsiveMinAnswersDue = 8
	// unresponsiveMaxObjectives is the time without a response, in latency objectives, after which a server is
	// unresponsive, however few responses were due.
	unresponsiveMaxObjectives = 4
	unresponsiveCheckInterval = 0.5  // time between checks, in latency objectives
	minObjectiveDeadlineShare = 0.05 // minimum latency objective for check intervals, as a fraction of the deadline

	initialTailMultiple = 4.0 // initial percentile estimate, as a multiple of the usual response time
	lostTailMultiple    = 1.5 // multiple of the percentile estimate after which a first attempt's response is lost
	// lostMinAnswers is the number of responses that the edge cache must have given since an attempt was sent, for the
	// response to that attempt to be lost. With fewer, other attempts may be affected too.
	lostMinAnswers         = 3
	cancelBudgetPerRequest = 0.03 // fraction of requests whose attempt may be canceled as lost, to bound retries
	maxCancelBudget        = 5    // maximum of the cancel budget, in requests
)

// watchAttempt sets the timer for the next check of the attempt in flight.
func (e *Engine) watchAttempt(req *request) {
	e.lastTimerToken++
	e.watchedRequests[e.lastTimerToken] = req
	class := &e.settings.Classes[req.class]
	objective := max(float64(class.LatencyObjective), minObjectiveDeadlineShare*float64(class.Deadline))
	delay := unresponsiveCheckInterval * objective
	if req.attempts == 1 { // its response may be lost before its server is unresponsive
		untilLost := e.lostAfter(req) - float64(e.now-req.current.sentAt)
		if untilLost > 0 {
			delay = min(delay, untilLost)
		}
	}
	e.emit(Action{Kind: ActionSetTimer, Delay: int64(delay) + 1, TimerToken: e.lastTimerToken})
}

// timerFired checks the attempt for which a timer was set. The timer with token 0 renews the subscription.
func (e *Engine) timerFired(token int64) {
	req := e.watchedRequests[token]
	delete(e.watchedRequests, token)
	if token == 0 {
		e.emit(Action{Kind: ActionSubscribe, Enabled: true})
	}
	if req == nil || !req.inFlight || e.requests[req.RequestID] != req || req.isResponseStarted {
		return
	}
	watched := &req.current
	if !watched.isCanceledAsLost && e.settings.Permissions.MayCancel && e.isLost(req) {
		e.cancelBudget--
		watched.isCanceledAsLost = true
		e.cancelAttempt(req)
		return
	}
	if e.isAttemptUnresponsive(req, watched) {
		mayRepeat := e.settings.Classes[req.class].Idempotency != NotIdempotent
		if !watched.foundUnresponsive && e.settings.Permissions.MayCancel && mayRepeat {
			e.cancelAttempt(req)
		}
		watched.foundUnresponsive = true
		return
	}
	e.watchAttempt(req)
}

// cancelAttempt cancels the attempt in flight. Its outcome arrives as an event.
func (e *Engine) cancelAttempt(req *request) {
	e.emit(Action{Kind: ActionCancel, RequestID: req.RequestID, Attempt: req.attempts - 1})
}

// isLost reports whether a request's first attempt may be canceled because its response is probably lost: the response
// is later than almost all recent ones, while the edge cache has answered other requests. It returns false without
// cancel budget, for a class other than IdempotentRead, and for a fill while fills from the origin are late.
func (e *Engine) isLost(req *request) bool {
	watched := &req.current
	elapsed := float64(e.now - watched.sentAt)
	if watched.isFill && e.areFillsLate() || req.attempts != 1 {
		return false
	}
	return elapsed >= e.lostAfter(req) &&
		e.cancelBudget >= 1 &&
		e.settings.Classes[req.class].Idempotency == IdempotentRead &&
		watched.server.answerCount-watched.serverAnswersBefore >= lostMinAnswers
}

// lostAfter returns the time since a first attempt was sent, in microseconds, after which its response is considered
// lost.
func (e *Engine) lostAfter(req *request) float64 {
	return lostTailMultiple * e.tailMultiple[req.class] * e.usualResponseTime(req)
}

// isAttemptUnresponsive reports whether the server of an attempt, or its source, is unresponsive.
func (e *Engine) isAttemptUnresponsive(req *request, watched *attempt) bool {
	if e.isUnresponsive(req, watched.server, watched.serverAnswersBefore, watched.sentAt) {
		return true
	}
	return watched.isFill && e.isUnresponsive(req, watched.source, watched.sourceAnswersBefore, watched.sentAt)
}

// isUnresponsive reports whether a server has not answered any request since an attempt was sent, although responses
// were due.
func (e *Engine) isUnresponsive(req *request, srv *server, answersBefore float64, since int64) bool {
	if srv.answerCount-answersBefore >= 1 {
		return false
	}
	elapsed := float64(e.now - since)
	due := srv.recentAnswers.rate(e.now, rateWindow) * elapsed
	return due >= unresponsiveMinAnswersDue || elapsed >= unresponsiveMaxObjectives*e.latencyObjective(req)
}
