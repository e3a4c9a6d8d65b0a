package routing

// Constants by which attempts are told whose response won't come.
const (
	silentMinAnswersDue       = 8    // responses due and none come: silent (by chance under 1 in 1000)
	silentMaxObjectives       = 4    // latency objectives without a response: silent, however few were due
	silentCheckInterval       = 0.5  // latency objectives between checks
	minObjectiveDeadlineShare = 0.05 // an objective counts as this share of the deadline at least, for that interval

	initialTailMultiple    = 4.0  // tail of response times at the start, in usual times
	lostTailMultiple       = 1.5  // tails that the first response may take: then it is lost
	lostMinAnswers         = 3    // responses of its edge cache meanwhile, or it is not this attempt alone
	cancelBudgetPerRequest = 0.03 // share of requests whose attempt may be canceled as lost: no storm under load
	maxCancelBudget        = 5    // requests
)

// watchAttempt sets the timer of the next check of an attempt.
func (e *Engine) watchAttempt(req *request) {
	e.lastTimerToken++
	e.watchedRequests[e.lastTimerToken] = req
	class := &e.settings.Classes[req.class]
	objective := max(float64(class.LatencyObjective), minObjectiveDeadlineShare*float64(class.Deadline))
	delay := silentCheckInterval * objective
	if req.attempts == 1 { // a first attempt may be lost before it is silent
		untilLost := e.lostAfter(req) - float64(e.now-req.current.sentAt)
		if untilLost > 0 {
			delay = min(delay, untilLost)
		}
	}
	e.emit(Action{Kind: ActionSetTimer, Delay: int64(delay) + 1, TimerToken: e.lastTimerToken})
}

// timerFired checks the attempt that a timer watches. The timer without a token renews the subscription.
func (e *Engine) timerFired(token int64) {
	req := e.watchedRequests[token]
	delete(e.watchedRequests, token)
	if token == 0 {
		e.emit(Action{Kind: ActionSubscribe, Enabled: true})
	}
	if req == nil || !req.inFlight || e.requests[req.RequestID] != req || req.isStarted {
		return
	}
	watched := &req.current
	if !watched.isCanceledAsLost && e.settings.Permissions.MayCancel && e.isLost(req) {
		e.cancelBudget--
		watched.isCanceledAsLost = true
		e.cancelAttempt(req)
		return
	}
	if e.isAttemptSilent(req, watched) {
		mayRepeat := e.settings.Classes[req.class].Idempotency != NotIdempotent
		if !watched.isCanceledAsSilent && e.settings.Permissions.MayCancel && mayRepeat {
			e.cancelAttempt(req)
		}
		watched.isCanceledAsSilent = true
		return
	}
	e.watchAttempt(req)
}

// cancelAttempt stops waiting for the attempt in flight. Its outcome follows.
func (e *Engine) cancelAttempt(req *request) {
	e.emit(Action{Kind: ActionCancel, RequestID: req.RequestID, Attempt: req.attempts - 1})
}

// isLost reports that the first response to a request is later than almost all others recently, and it alone.
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

// lostAfter returns the response time past which a first response is lost, in microseconds.
func (e *Engine) lostAfter(req *request) float64 {
	return lostTailMultiple * e.tailMultiple[req.class] * e.usualResponseTime(req)
}

// isAttemptSilent reports that the server of an attempt, or its source, answers nobody.
func (e *Engine) isAttemptSilent(req *request, watched *attempt) bool {
	if e.isSilent(req, watched.server, watched.serverAnswersBefore, watched.sentAt) {
		return true
	}
	return watched.isFill && e.isSilent(req, watched.source, watched.sourceAnswersBefore, watched.sentAt)
}

// isSilent reports that a server has answered nobody since an attempt was sent, though responses were due.
func (e *Engine) isSilent(req *request, srv *server, answersBefore float64, since int64) bool {
	if srv.answerCount-answersBefore >= 1 {
		return false
	}
	elapsed := float64(e.now - since)
	due := srv.recentAnswers.rate(e.now, rateWindow) * elapsed
	return due >= silentMinAnswersDue || elapsed >= silentMaxObjectives*e.latencyObjective(req)
}
