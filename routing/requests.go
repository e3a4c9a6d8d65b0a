package routing

import (
	"maps"
	"strconv"
)

// recentRequestWindow is the sum of the request counts by object at which all counts are halved.
const recentRequestWindow = 512

// request is an open client request. The Engine owns it from acceptRequest to closeRequest.
type request struct {
	Event
	class           int // index in Settings.Classes
	accountingGroup int
	chunkKey        string // object and chunk number: the unit of caching and filling
	deadline        int64
	expectedWork    float64 // mean sending time of its class at its arrival, in microseconds
	isOverQuota     bool    // its tenant was over its quota when the request arrived

	// Attempts.
	attempts          int // sent so far
	maxAttempts       int // Permissions.MaxAttempts at the request's arrival
	inFlight          bool
	isResponseStarted bool    // the response has begun to stream to the client
	current           attempt // the attempt in flight, or the last one

	// The first attempt that a server may have executed. firstRunServer is nil if there is none.
	firstRunServer *server // the server that it was sent to
	firstRunAt     int64   // the time at which it was sent

	// For the next attempt.
	retryCache             *server   // the edge cache whose fill failed and which is tried again
	isCachedCopyOnly       bool      // the next attempt accepts any cached copy, without a fill
	triedCachedCopy        bool      // an attempt for any cached copy has been sent
	cachedCopyMissed       bool      // the last attempt was for any cached copy, and failed
	isMissConfirmed        bool      // a source reported that it has no copy: the next fill reaches the origin
	isAnyParentFull        bool      // as returned by the last call of selectParent
	failedCaches           []*server // edge caches at which this request failed
	failedSources          []*server // sources at which this request failed
	unexplainedErrorCaches []*server // gave an error without a reason; charged once another cache serves the request
}

// attempt is one attempt of a request.
type attempt struct {
	server *server // the server that the request is sent to
	// source is the server that fills a miss, or the origin to which an edge cache forwards an uncacheable request.
	// Equal to server: no fill. nil: an uncacheable request that is sent directly to the origin.
	source *server
	sentAt int64
	work   float64 // expected sending time

	isFill         bool              // source is another server, from which a miss is filled
	mayReachOrigin bool              // the fill may reach the origin
	trials         []*circuitBreaker // the breakers whose half-open trial this attempt is

	serverAnswersBefore float64 // answerCount of server when the attempt was sent
	sourceAnswersBefore float64 // answerCount of source when the attempt was sent

	foundUnresponsive bool // its server or source was unresponsive; the attempt is canceled only if permitted
	isCanceledAsLost  bool // canceled because other requests got their responses in the meantime
}

// acceptRequest opens a client's request, and sends its first attempt or gives the final answer.
func (e *Engine) acceptRequest(ev *Event) {
	class, known := e.classIndexes[ev.Class]
	if !known {
		e.emit(Action{Kind: ActionFail, RequestID: ev.RequestID})
		return
	}
	req := &request{
		Event:           *ev,
		class:           class,
		accountingGroup: e.subsetOf(ev.Subset).accountingGroup,
		chunkKey:        chunkKey(ev.Object, ev.Chunk),
		deadline:        e.now + ev.Timeout,
		expectedWork:    e.expectedWork(ev, class),
		maxAttempts:     e.settings.Permissions.MaxAttempts,
	}
	if tenant := e.tenants[req.Tenant]; tenant != nil {
		req.isOverQuota = tenant.countRequest(e.now)
	}
	e.requests[req.RequestID] = req
	e.cancelBudget = min(e.cancelBudget+cancelBudgetPerRequest, maxCancelBudget)
	e.countRecentRequest(req.Object)
	e.sendNextAttempt(req)
}

// responseStarted records that a request's response has begun to stream to the client: no other attempt may follow.
func (e *Engine) responseStarted(ev *Event) {
	if req := e.requests[ev.RequestID]; req != nil {
		req.isResponseStarted = true
	}
}

// closeRequest removes a request that has its final answer or needs none.
func (e *Engine) closeRequest(id string) {
	e.releaseAttempt(e.requests[id])
	delete(e.requests, id)
}

// tenantUsage is a tenant's traffic at this router.
type tenantUsage struct {
	recentRequests decayingSum
	quotaPerSecond float64 // this router's share of the quota
}

// countRequest counts a request and reports whether the tenant is over its quota.
func (t *tenantUsage) countRequest(now int64) (overQuota bool) {
	t.recentRequests.add(now, rateWindow, 1)
	return t.recentRequests.rate(now, rateWindow)*1e6 > t.quotaPerSecond
}

// countRecentRequest counts a request for an object. The counts are used to detect hot objects.
func (e *Engine) countRecentRequest(object string) {
	e.recentRequests[object]++
	e.recentRequestCount++
	if e.recentRequestCount < recentRequestWindow {
		return
	}
	e.recentRequestCount = 0
	maps.DeleteFunc(e.recentRequests, func(object string, count int) bool {
		e.recentRequests[object] = count / 2
		e.recentRequestCount += count / 2
		return count < 2
	})
}

// isHot reports whether an object's share of the recent requests, times the number of caches, exceeds hotObjectShare.
func (e *Engine) isHot(object string, caches int) bool {
	counted := max(e.recentRequestCount, recentRequestWindow/8)
	return float64(e.recentRequests[object]*caches) > hotObjectShare*float64(counted)
}

// chunkKey returns the key of an object's chunk, such as "7f3a/3". It makes one allocation.
func chunkKey(object string, chunk int64) string {
	var buffer [48]byte
	key := append(buffer[:0], object...)
	key = append(key, '/')
	return string(strconv.AppendInt(key, chunk, 10))
}

// sendAttempt sends an attempt and counts it as in flight at the servers that it uses. It sets the action's kind,
// request, servers and time limits.
func (e *Engine) sendAttempt(req *request, next attempt, action Action) {
	action.Kind = ActionSend
	action.RequestID = req.RequestID
	action.Server = next.server.name
	if next.source != nil {
		action.Source = next.source.name
	}
	action.Timeout = max(req.deadline-e.now, 1)
	action.SendWithin = e.retryWindow(req)
	action.HasSideEffects = e.settings.Classes[req.class].Idempotency != IdempotentRead

	next.sentAt = e.now
	next.work = req.expectedWork
	next.mayReachOrigin = next.isFill && action.FetchFlags&FetchCachedOnly == 0
	next.serverAnswersBefore = next.server.answerCount
	if next.isFill {
		next.sourceAnswersBefore = next.source.answerCount
	}
	e.claimTrials(req, &next)
	e.countAttempt(req, &next)

	req.current = next
	req.inFlight = true
	req.cachedCopyMissed = false
	req.attempts++
	e.emit(action)
	e.watchAttempt(req)
}

// countAttempt counts an attempt as in flight at the servers that it uses.
func (e *Engine) countAttempt(req *request, next *attempt) {
	e.recordColdSend(next.server, next.work)
	e.addInFlight(next.server, req.accountingGroup, 1)
	if next.isFill {
		e.recordColdSend(next.source, next.work)
		e.addInFlight(next.source, req.accountingGroup, 1)
	}
	if next.mayReachOrigin {
		e.addInFlight(&e.originFills, req.accountingGroup, 1)
		if req.isMissConfirmed {
			e.confirmedOriginFills++
		}
	}
}

// releaseAttempt ends the attempt in flight, if there is one: it is no longer counted as in flight at its servers, and
// its half-open trials end.
func (e *Engine) releaseAttempt(req *request) {
	if req == nil || !req.inFlight {
		return
	}
	req.inFlight = false
	last := &req.current
	e.addInFlight(last.server, req.accountingGroup, -1)
	// The trials are over even if the attempt ended without an outcome. The next attempt may be the trial.
	for _, breaker := range last.trials {
		breaker.isTrialInFlight = false
	}
	if last.isFill {
		e.addInFlight(last.source, req.accountingGroup, -1)
	}
	if last.mayReachOrigin {
		e.addInFlight(&e.originFills, req.accountingGroup, -1)
		if req.isMissConfirmed {
			e.confirmedOriginFills--
		}
	}
}
