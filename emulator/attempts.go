package emulator

import "spantack/routing"

// serverAttempt is one attempt of a router at a server. Its slot in World.attempts is freed when the router receives
// the outcome or drops the attempt.
type serverAttempt struct {
	generation        uint32
	request           int32
	requestGeneration uint32
	server            int32
	source            int32 // server to fill from if server has no copy; -1: none
	site              int32 // site of the router
	cachedOnly        bool  // the source may serve only a cached copy and must not fetch
	maxAge            int64 // maximum age of a copy that may be served; 0: any
	sentAt            int64
	fillStartedAt     int64 // when server sent the fill request to source; 0: not yet

	outcome     routing.AttemptOutcome
	cacheStatus routing.CacheStatus
	// upstreamWait is the duration of the fill minus the time to send the response at full rate, at least 0. For a
	// failed fill it is the whole duration.
	upstreamWait int64
	producedAt   int64 // when the origin sent the served copy

	links           [attemptSegments]int32 // links that transfer its data, by segment; -1: none
	activeTransfers int                    // number of links that transfer its data
	fetch           int32                  // fetch from the origin that it waits for at a parent; -1: none

	atServer        bool // it has arrived at server and has not ended
	countedActive   bool // included in the server's active
	countedFilling  bool // included in the server's fills
	countedAtSource bool // included in the source's active
}

// noLinks is the value of serverAttempt.links while no data is in transfer.
var noLinks = [attemptSegments]int32{-1, -1, -1, -1}

// operationOf returns the client operation that an attempt belongs to.
func (w *World) operationOf(attempt *serverAttempt) *clientOperation {
	return &w.operations[w.requests[attempt.request].operation]
}

// sendAttempt sends an attempt to the server of an action and schedules its timeout. It counts a violation if the
// request already has an attempt in flight. It also counts one if the router received the drain notice of the server
// more than drainGracePeriod ago.
func (w *World) sendAttempt(requestID int32, action routing.Action) {
	request := &w.requests[requestID]
	if request.attempt >= 0 {
		w.result.countViolation(violationTwoAttemptsInFlight)
		return
	}
	server := w.serverNamed(action.Server)
	source := int32(-1)
	if action.Source != "" && action.Source != action.Server {
		source = w.serverNamed(action.Source)
	}
	id := allocate(&w.attempts, &w.freeAttempts)
	attempt := &w.attempts[id]
	*attempt = serverAttempt{
		generation:        attempt.generation + 1,
		request:           requestID,
		requestGeneration: request.generation,
		server:            server,
		source:            source,
		site:              int32(w.routers[request.router].site),
		cachedOnly:        action.FetchFlags&routing.FetchCachedOnly != 0,
		maxAge:            action.MaxAge,
		sentAt:            w.now,
		links:             noLinks,
		fetch:             -1,
	}
	request.attempt = id
	request.attemptNumber++
	w.result.Attempts++
	noticeAt, isDrained := w.servers[server].drainNoticeAt[request.router]
	if isDrained && w.now > noticeAt+drainGracePeriod {
		w.result.countViolation(violationDrainedServer)
	}
	w.pushForAttempt(id, eventAtServer, w.networkDelay(attempt.site, &w.servers[server]))
	w.pushForAttempt(id, eventAttemptTimeout, min(action.Timeout, max(request.deadline-w.now, 1)))
}

// pushForAttempt schedules an event for an attempt after a delay.
func (w *World) pushForAttempt(id int32, kind eventKind, delay int64) {
	w.push(event{time: w.now + delay, kind: kind, target: id, generation: w.attempts[id].generation})
}

// arriveAtServer handles the arrival of an attempt at its server. The server responds, fills first, rejects the attempt
// or ends it with an error.
func (w *World) arriveAtServer(id int32) {
	attempt := &w.attempts[id]
	server := &w.servers[attempt.server]
	request := &w.requests[attempt.request]
	if !server.running {
		w.endAttempt(id, routing.OutcomeConnectionRefused, routing.CacheStatusUnknown)
		return
	}
	request.attemptsAtServers++
	if request.attemptsAtServers > 1 {
		w.result.countViolation(violationTwoAttemptsAtServers)
	}
	attempt.atServer = true
	operation := &w.operations[request.operation]
	if outcome, status, fails := w.serverFailure(server, operation); fails {
		w.endAttempt(id, outcome, status)
		return
	}
	if server.active >= server.maxActive {
		w.endAttempt(id, routing.OutcomeRejected, routing.CacheStatusUnknown)
		return
	}
	if !w.addWarmUpLoad(attempt.server, operation.sizeKB, request.router) {
		return
	}
	server.active++
	attempt.countedActive = true
	if server.kind == originServer {
		w.answerFromOrigin(id, attempt.server)
		return
	}
	w.answerFromCache(id, server, operation)
}

// serverFailure reports whether a server fails an operation at once, and with which outcome. It does so if the
// operation's tenant is poisoned or its object is a harmful new object of the release. Replaced objects that are
// harmful fail later, in completeIfDelivered. If fails is false, the server handles the operation normally.
func (w *World) serverFailure(
	server *simulatedServer, operation *clientOperation,
) (outcome routing.AttemptOutcome, status routing.CacheStatus, fails bool) {
	isCache := server.kind == cacheServer
	if operation.release && !w.config.Release.ReplacesObjects && isCache && w.isHarmful(operation) {
		return routing.OutcomeError, routing.CacheStatusUnknown, true
	}
	poison := w.poisonKind(operation.tenant)
	switch {
	case poison == PoisonError && isCache:
		return routing.OutcomeError, routing.CacheStatusUnknown, true
	case poison == PoisonGarbled && isCache:
		return routing.OutcomeConnectionReset, routing.CacheStatusUnknown, true
	case poison == PoisonOrigin && server.kind == originServer:
		return routing.OutcomeError, routing.OriginFailed, true
	}
	return "", routing.CacheStatusUnknown, false
}

// answerFromOrigin sends an attempt's chunk from the origin, which is either the attempt's server or its source.
func (w *World) answerFromOrigin(id, origin int32) {
	w.attempts[id].producedAt = w.now
	w.result.recordOriginFill(w, w.sizeKB(id))
	w.sendFrom(id, origin)
}

// answerFromCache looks up an attempt's chunk at an edge cache or a parent. The server then responds with a
// copy, fills, rejects the attempt, or reports a miss if the attempt has no source.
func (w *World) answerFromCache(id int32, server *simulatedServer, operation *clientOperation) {
	attempt := &w.attempts[id]
	producedAt, isHit := server.store.get(w.chunkKey(id), w.minProducedAt(attempt, attempt.server))
	isHit = isHit && operation.class != classReport // reports are never served from a copy
	w.result.recordCacheLookup(server, attempt.server, operation, isHit)
	switch {
	case isHit && server.kind == cacheServer:
		attempt.producedAt = producedAt
		attempt.cacheStatus = routing.CacheHit
		w.startTransfer(id, server.link, operation.sizeKB, segmentToRouter)
	case isHit:
		attempt.producedAt = producedAt
		attempt.cacheStatus = routing.CacheHit
		w.sendFrom(id, attempt.server)
	case attempt.source < 0:
		w.endAttempt(id, routing.OutcomeMiss, routing.CacheStatusUnknown)
	case server.kind == parentServer:
		attempt.cacheStatus = routing.FilledFromOrigin
		w.joinFetch(attempt.server, id)
	case server.fills >= fillsPerStream*int(server.streams):
		w.endAttempt(id, routing.OutcomeRejected, routing.FillLimitReached)
	default:
		server.fills++
		attempt.countedFilling = true
		attempt.fillStartedAt = w.now
		w.pushForAttempt(id, eventAtSource, w.networkDelay(attempt.site, &w.servers[attempt.source]))
	}
}

// endAttempt ends an attempt at its server and schedules the arrival of the outcome at the router.
func (w *World) endAttempt(id int32, outcome routing.AttemptOutcome, status routing.CacheStatus) {
	attempt := &w.attempts[id]
	attempt.outcome = outcome
	attempt.cacheStatus = status
	w.releaseAttempt(id)
	w.pushForAttempt(id, eventAttemptOutcome, w.networkDelay(attempt.site, &w.servers[attempt.server]))
}

// releaseAttempt releases everything that an attempt occupies at servers and on links.
func (w *World) releaseAttempt(id int32) {
	attempt := &w.attempts[id]
	if attempt.atServer {
		attempt.atServer = false
		if request := &w.requests[attempt.request]; request.generation == attempt.requestGeneration {
			request.attemptsAtServers--
		}
	}
	if attempt.countedActive {
		attempt.countedActive = false
		w.servers[attempt.server].active--
	}
	if attempt.countedFilling {
		attempt.countedFilling = false
		w.servers[attempt.server].fills--
	}
	if attempt.countedAtSource {
		attempt.countedAtSource = false
		w.servers[attempt.source].active--
	}
	w.removeTransfers(attempt)
	fetchID := attempt.fetch
	attempt.fetch = -1
	if fetchID >= 0 && w.config.CancelsAbandonedFetches {
		w.cancelIfAbandoned(fetchID)
	}
}

// freeAttempt releases an attempt and frees its slot in World.attempts.
func (w *World) freeAttempt(id int32) {
	w.releaseAttempt(id)
	w.attempts[id].generation++
	w.freeAttempts = append(w.freeAttempts, id)
}

// deliverOutcome delivers an outcome, and the response if there is one, to the router.
func (w *World) deliverOutcome(id int32) {
	attempt := w.attempts[id]
	w.freeAttempt(id)
	if !w.detachAttempt(id, &attempt) {
		return
	}
	request := &w.requests[attempt.request]
	if attempt.outcome == routing.OutcomeServed {
		request.served = true
		w.checkRelease(&attempt)
		w.checkPurges(&attempt)
		w.answerRequest(attempt.request, routing.Action{Kind: routing.ActionSend})
	}
	w.stepRouter(request.router, routing.Event{
		Kind:         routing.EventOutcome,
		RequestID:    request.routerRequestID,
		Attempt:      int(request.attemptNumber),
		Server:       w.servers[attempt.server].name,
		Outcome:      attempt.outcome,
		CacheStatus:  attempt.cacheStatus,
		ResponseTime: w.now - attempt.sentAt,
		UpstreamWait: attempt.upstreamWait,
		IsFinal:      attempt.outcome == routing.OutcomeServed,
		LoadReport:   w.linkLoadReport(int(attempt.site)),
	})
}

// dropAttempt ends an attempt that the router no longer waits for and reports the outcome to the router.
func (w *World) dropAttempt(id int32, outcome routing.AttemptOutcome) {
	attempt := w.attempts[id]
	w.freeAttempt(id)
	if !w.detachAttempt(id, &attempt) {
		return
	}
	request := &w.requests[attempt.request]
	w.stepRouter(request.router, routing.Event{
		Kind:         routing.EventOutcome,
		RequestID:    request.routerRequestID,
		Attempt:      int(request.attemptNumber),
		Server:       w.servers[attempt.server].name,
		Outcome:      outcome,
		ResponseTime: w.now - attempt.sentAt,
	})
}

// cancelAttempt drops the attempt that an action names, if it is still in flight.
func (w *World) cancelAttempt(action routing.Action) {
	requestID := w.findRequest(action.RequestID)
	if requestID < 0 {
		return
	}
	request := &w.requests[requestID]
	if request.attempt >= 0 && request.attemptNumber == int32(action.Attempt) {
		w.dropAttempt(request.attempt, routing.OutcomeCanceled)
	}
}

// detachAttempt removes an attempt from its request. It returns false if the request has ended or has another attempt.
func (w *World) detachAttempt(id int32, attempt *serverAttempt) bool {
	request := &w.requests[attempt.request]
	if request.generation != attempt.requestGeneration || request.attempt != id {
		return false
	}
	request.attempt = -1
	return true
}
