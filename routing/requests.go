package routing

import (
	"maps"
	"strconv"
)

// recentRequestWindow is the number of requests over which the shares of objects are counted; all counts are halved
// once it is reached.
const recentRequestWindow = 512

// request is one client request that this router owes an answer. The Engine owns it from acceptRequest to closeRequest.
type request struct {
	Event
	class           int // index in Settings.Classes
	accountingGroup int
	chunkKey        string // object and chunk: what is cached and filled on its own
	deadline        int64
	expectedWork    float64 // mean sending time of its class when it came, in microseconds
	isOverQuota     bool    // its tenant is past its quota

	// Attempts.
	attempts    int // made so far
	maxAttempts int // allowed when it came
	inFlight    bool
	isStarted   bool    // the response has begun to stream to the client
	current     attempt // the one in flight, or the last

	// What may have run. firstRunServer is nil while nothing may have.
	firstRunServer *server // where the first attempt that may have run was sent
	firstRunAt     int64   // and when

	// For the next attempt.
	retryCache       *server   // the edge cache whose fill failed: it is asked once more
	isCachedCopyOnly bool      // it takes any cached copy, without a fill
	triedCachedCopy  bool      // such an attempt has been made
	cachedCopyMissed bool      // the last attempt was such a one, and failed
	isMissConfirmed  bool      // a source is known to have no copy, so that a fill reaches the origin
	areSourcesFull   bool      // at its last selection a source was full or cold, or there was none
	failedCaches     []*server // edge caches that failed this request
	failedSources    []*server // sources that failed it
	bareErrorCaches  []*server // that gave an error without a reason; charged once another has served the request
}

// attempt is one attempt of a request.
type attempt struct {
	server *server // that the request is sent to
	source *server // that fills a miss; the server itself: none does; nil: plain lookup
	sentAt int64
	work   float64 // expected sending time

	isFill         bool              // source is another server, from which a miss is filled
	mayReachOrigin bool              // and it may ask the origin
	trials         []*circuitBreaker // those whose half-open trial this is

	serverAnswersBefore float64 // answerCount of server when it was sent
	sourceAnswersBefore float64 // answerCount of source

	isCanceledAsSilent bool // canceled because its server or source answered nobody
	isCanceledAsLost   bool // canceled because others were answered meanwhile
}

// acceptRequest takes a client's request and sends its first attempt or answers it.
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

// responseStarted notes that a request's response has begun to stream to the client: no other attempt may follow.
func (e *Engine) responseStarted(ev *Event) {
	if req := e.requests[ev.RequestID]; req != nil {
		req.isStarted = true
	}
}

// closeRequest forgets a request that is answered or needs no answer.
func (e *Engine) closeRequest(id string) {
	e.releaseAttempt(e.requests[id])
	delete(e.requests, id)
}

// tenantUsage is a tenant's traffic at this router.
type tenantUsage struct {
	recentRequests decayingSum
	quotaPerSecond float64 // this router's part of the quota
}

// countRequest counts a request and reports that the tenant is over its quota.
func (t *tenantUsage) countRequest(now int64) (overQuota bool) {
	t.recentRequests.add(now, rateWindow, 1)
	return t.recentRequests.rate(now, rateWindow)*1e6 > t.quotaPerSecond
}

// countRecentRequest counts a request for an object, by which hot objects are told.
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

// isHot reports that an object gets so large a part of recent requests that one of a number of caches is not enough.
func (e *Engine) isHot(object string, caches int) bool {
	counted := max(e.recentRequestCount, recentRequestWindow/8)
	return float64(e.recentRequests[object]*caches) > hotObjectShare*float64(counted)
}

// chunkKey is the key of an object's chunk, such as "7f3a/3". It makes one allocation.
func chunkKey(object string, chunk int64) string {
	var buffer [48]byte
	key := append(buffer[:0], object...)
	key = append(key, '/')
	return string(strconv.AppendInt(key, chunk, 10))
}

// sendAttempt sends an attempt and books it at the servers that it uses. The action's kind, request, servers and time
// limits are filled in here.
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
	e.bookAttempt(req, &next)

	req.current = next
	req.inFlight = true
	req.cachedCopyMissed = false
	req.attempts++
	e.emit(action)
	e.watchAttempt(req)
}

// bookAttempt counts an attempt at the servers that it uses.
func (e *Engine) bookAttempt(req *request, next *attempt) {
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

// releaseAttempt takes the attempt in flight, if there is one, off what bookAttempt and claimTrials counted.
func (e *Engine) releaseAttempt(req *request) {
	if req == nil || !req.inFlight {
		return
	}
	req.inFlight = false
	last := &req.current
	e.addInFlight(last.server, req.accountingGroup, -1)
	for _, breaker := range last.trials { // one that ends without an outcome lets another be tried
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
