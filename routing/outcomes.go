package routing

// What follows when an attempt ends, or does not.

// Times are microseconds; the rest are ratios or counts.
const (
	silentMinAnswersDue       = 8     // answers due and none come: silent (by chance under 1 in 1000)
	silentCheckInterval       = 0.5   // time between looks for silence, in aims
	silentMaxObjectives       = 4     // aims without an answer: silent, however few were due
	minObjectiveDeadlineShare = 0.05  // an aim counts as this share of the deadline at least
	tailIncrease              = 0.2   // step of the tail of answer times at an answer past it
	tailDecrease              = 0.004 // and at any other: 98 of 100 answers stay under it
	initialTailMultiple       = 4.0   // the tail at the start, in usual times
	lostTailMultiple          = 1.5   // times the tail that a first answer may take: then it is lost
	lostMinAnswers            = 3     // answers of its cache meanwhile, or it is no lone loss
	cancelBudgetPerRequest    = 0.03  // share of requests that may be called back as lost: no storm in a jam
	maxCancelBudget           = 5     // of them saved up
	baseObjectiveShare        = 0.25  // share of the promise that a usual time holds besides the sending time
	maxBareErrors             = 2     // caches that give a bare error: then it is the request, not they
	deduplicationWindowShare  = 0.9   // share of the memory span within which a keyed request goes again
	retryAfterObjectives      = 0.12  // least retry-after in aims, up to twice that: a try in time still earns
)

// mayHaveRun reports that an attempt with this outcome may have had its effect.
func mayHaveRun(c AttemptOutcome) bool {
	return c != OutcomeRejected && c != OutcomeConnectionRefused && c != OutcomeSkipped && c != OutcomeMiss
}

// retryWindow is for how long q may be sent: what may have run goes again only as its class allows.
func (r *Engine) retryWindow(q *request) int64 {
	c := &r.settings.Classes[q.class]
	switch {
	case q.firstRunServer == nil || c.Idempotency == "read_like":
		return q.deadline - r.now
	case c.Idempotency != "idempotency_key":
		return 0
	}
	return min(int64(deduplicationWindowShare*float64(c.DeduplicationWindow))-(r.now-q.firstRunAt), q.deadline-r.now)
}

// inDeduplicationScope reports that n drops repeats of what q may have run before.
func (r *Engine) inDeduplicationScope(q *request, n *server) bool {
	c := &r.settings.Classes[q.class]
	if q.firstRunServer == nil || c.Idempotency == "read_like" || c.DeduplicationScope == "all" {
		return true
	}
	return n == q.firstRunServer || c.DeduplicationScope == "zone" && n.zone == q.firstRunServer.zone ||
		c.DeduplicationScope == "cell" && n.zone == q.firstRunServer.zone && n.cell == q.firstRunServer.cell
}

// rejectOrFail gives the final answer: a refusal where trying again is harmless, else a failure.
func (r *Engine) rejectOrFail(q *request) {
	c := &r.settings.Classes[q.class]
	r.closeRequest(q.RequestID)
	harmless := c.Idempotency == "read_like" || c.Idempotency == "idempotency_key" && c.DeduplicationScope == "all"
	if q.firstRunServer != nil && !harmless {
		r.emit(Action{Kind: ActionFail, RequestID: q.RequestID})
		return
	}
	wait := min(int64(retryAfterObjectives*float64(c.LatencyObjective)*(1+r.rng.Float64())), r.settings.Permissions.MaxRetryAfter)
	r.emit(Action{Kind: ActionReject, RequestID: q.RequestID, RetryAfter: wait})
}

// attemptEnded books how an attempt ended and decides what follows.
func (r *Engine) attemptEnded(ev *Event) {
	q := r.requests[ev.RequestID]
	if q == nil || !q.inFlight || ev.Attempt != q.attempts-1 {
		return
	}
	a := q.current
	r.releaseAttempt(q)
	if ev.Outcome == OutcomeCanceled && (a.canceledAsSilent || a.canceledAsLost) {
		ev.Outcome = OutcomeTimedOut
	}
	if i := r.hitRatioIndex; i >= 0 && i < len(ev.LoadReport) && a.server.role == roleEdgeCache {
		a.server.missRatio = min(max(1-ev.LoadReport[i], 0), 1)
	}
	if i := r.linkUseIndex; i >= 0 && i < len(ev.LoadReport) && a.server.role == roleEdgeCache {
		r.linkUse += linkUseStep * (ev.LoadReport[i] - r.linkUse)
	}
	r.adjustLimits(q, &a, ev)
	bad := r.chargedServer(q, &a, ev)
	r.recordOutcome(q, &a, ev, bad)
	if ev.IsFinal {
		r.closeRequest(q.RequestID)
		return
	}
	if mayHaveRun(ev.Outcome) && q.firstRunServer == nil {
		q.firstRunAt, q.firstRunServer = a.sentAt, a.server
	}
	switch {
	case len(q.bareErrorCaches) >= maxBareErrors:
		r.closeRequest(q.RequestID)
		r.emit(Action{Kind: ActionFail, RequestID: q.RequestID})
		return
	case q.wantsCachedCopy: // nothing held: a source that may not have been picked yet, else a refusal
		q.wantsCachedCopy, q.cachedCopyMissed = false, true
		if ev.Outcome != OutcomeMiss && ev.Outcome != OutcomeRejected {
			q.retryCache, q.failedCaches = nil, append(q.failedCaches, a.server)
		}
		if len(q.failedSources)+q.confirmedMisses == 0 && (q.attempts > 1 || q.sourcesFull) {
			r.rejectOrFail(q)
			return
		}
	case a.fills && !a.mayReachOrigin && ev.CacheStatus == 8 && q.confirmedMisses == 0: // what it lacks may be asked for, now known
		q.retryCache, q.confirmedMisses, q.wantsCachedCopy = a.server, 1, !q.triedCachedCopy && valueAt(r.settings.Hierarchy.FreshnessLifetime, q.class) > 0
	case a.fills && a.server.role == roleEdgeCache && (bad != nil && bad != a.server || ev.CacheStatus == 9 ||
		ev.Outcome == OutcomeMiss || ev.Outcome == OutcomeTimedOut && bad == nil || r.sourceRejectedFill(&a, ev)):
		q.retryCache, q.wantsCachedCopy = a.server, !q.triedCachedCopy
		if ev.CacheStatus != 9 {
			q.failedSources = append(q.failedSources, a.source)
		} else if q.triedCachedCopy { // no place for it here, from no source: a jam, not to be fed
			r.rejectOrFail(q)
			return
		}
	case a.server.role == roleEdgeCache:
		q.retryCache, q.failedCaches = nil, append(q.failedCaches, a.server)
	default:
		q.failedSources = append(q.failedSources, a.server)
	}
	r.sendNextAttempt(q)
}

// releaseAttempt takes an attempt off the books.
func (r *Engine) releaseAttempt(q *request) {
	if q == nil || !q.inFlight {
		return
	}
	q.inFlight = false
	r.addInFlight(q.current.server, q.accountingGroup, -1)
	for _, b := range q.current.trials { // a trial that tells nothing is given back
		b.trialInFlight = false
	}
	if q.current.fills {
		r.addInFlight(q.current.source, q.accountingGroup, -1)
	}
	if q.current.mayReachOrigin {
		r.addInFlight(&r.originFills, q.accountingGroup, -1)
		r.confirmedOriginFills -= q.confirmedMisses
	}
}

// usualResponseTime is how long an answer to q takes where nothing is amiss, roughly.
func (r *Engine) usualResponseTime(q *request) float64 {
	return r.sendTime(q) + baseObjectiveShare*float64(r.settings.Classes[q.class].LatencyObjective)
}

// isLost reports that the first answer to q is later than almost all others lately, and alone with that.
func (r *Engine) isLost(q *request) bool {
	a, elapsed := &q.current, float64(r.now-q.current.sentAt)
	slow := a.fills && r.now-r.originFills.limitReducedAt < rateWindow // fills are late at present
	return !slow && q.attempts == 1 && elapsed >= lostTailMultiple*r.tailMultiple[q.class]*r.usualResponseTime(q) && r.cancelBudget >= 1 &&
		r.settings.Classes[q.class].Idempotency == "read_like" && a.server.answerCount-a.serverAnswersBefore >= lostMinAnswers
}

func (r *Engine) watchAttempt(q *request) {
	r.nextTimerToken++
	r.watchedAttempts[r.nextTimerToken] = q
	c := &r.settings.Classes[q.class]
	look := silentCheckInterval * max(float64(c.LatencyObjective), minObjectiveDeadlineShare*float64(c.Deadline))
	if early := lostTailMultiple*r.tailMultiple[q.class]*r.usualResponseTime(q) - float64(r.now-q.current.sentAt); q.attempts == 1 && early > 0 {
		look = min(look, early)
	}
	r.emit(Action{Kind: ActionSetTimer, Delay: int64(look) + 1, TimerToken: r.nextTimerToken})
}

// timerFired calls an attempt back when nothing came from its cache, or its source, while answers were due.
func (r *Engine) timerFired(token int64) {
	q := r.watchedAttempts[token]
	delete(r.watchedAttempts, token)
	if token == 0 {
		r.emit(Action{Kind: ActionSubscribe, Enabled: true})
	}
	if q == nil || !q.inFlight || r.requests[q.RequestID] != q || q.started {
		return
	}
	a := &q.current
	if !a.canceledAsLost && r.settings.Permissions.MayCancel && r.isLost(q) {
		r.cancelBudget--
		a.canceledAsLost = true
		r.emit(Action{Kind: ActionCancel, RequestID: q.RequestID, Attempt: q.attempts - 1})
		return
	}
	if r.isSilent(q, a.server, a.serverAnswersBefore, a.sentAt) || a.fills && r.isSilent(q, a.source, a.sourceAnswersBefore, a.sentAt) {
		unsafe := r.settings.Classes[q.class].Idempotency == "non_idempotent"
		if !a.canceledAsSilent && r.settings.Permissions.MayCancel && !unsafe {
			r.emit(Action{Kind: ActionCancel, RequestID: q.RequestID, Attempt: q.attempts - 1})
		}
		a.canceledAsSilent = true
		return
	}
	r.watchAttempt(q)
}

// isSilent reports that n answered nothing to anyone since an attempt was sent though it should have.
func (r *Engine) isSilent(q *request, n *server, had float64, since int64) bool {
	elapsed := float64(r.now - since)
	due := n.recentAnswers.rate(r.now, rateWindow) * elapsed
	return n.answerCount-had < 1 && (due >= silentMinAnswersDue || elapsed >= silentMaxObjectives*r.latencyObjective(q))
}
