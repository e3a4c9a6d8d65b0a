package emulator

// Routers: how they start and hear of servers, and what becomes of a request and its attempts there.

import (
	"strconv"

	"spantack/core/cells"
	"spantack/routing"
)

// publishEndpoint puts a server's state into the list of servers; each router hears of it later, in order.
func (w *World) publishEndpoint(id int32) {
	server := &w.servers[id]
	row := routing.Endpoint{Server: server.name, Zone: "hub", Kind: "area", Status: routing.EndpointStatus(server.status), Weight: server.streams, StartedAt: server.startedAt}
	switch server.kind {
	case cacheServer:
		row.Zone, row.Kind = zoneName(server.site), "small-box"
	case originServer:
		row.Kind = "head-office"
	}
	w.endpointChanges, w.changedServers = append(w.endpointChanges, row), append(w.changedServers, id)
	for r := range w.routers {
		if router := &w.routers[r]; router.running {
			router.endpointUpdateAt = max(router.endpointUpdateAt, w.now+int64(w.miscRandom.Float64()*float64(maxEndpointUpdateDelay)))
			w.push(event{time: router.endpointUpdateAt, kind: eventEndpointUpdate, target: int32(r), generation: router.generation, value: int64(len(w.endpointChanges))})
		}
	}
}

// startRouter starts a router that knows nothing but the list.
func (w *World) startRouter(id int32) error {
	router := &w.routers[id]
	module, err := cells.NewAdmission(w.config.routerSettings(router.site), int64(router.random.Uint64()>>1))
	if err != nil {
		return err
	}
	if err := w.joinGossip(id); err != nil {
		return err
	}
	module.DocumentClockOffset = router.clockOffset
	if w.config.OriginLimit != nil {
		if err := module.SetOriginLimit(w.now, w.config.OriginLimit); err != nil { // it was checked with the world
			panic(err)
		}
	}
	if w.topology != nil {
		module.SetTopology(w.now, w.topology)
	}
	if w.assignment != nil {
		module.SetAssignment(w.now, w.assignment)
	}
	router.module, router.running, router.endpointVersion, router.endpointUpdateAt, router.freeAt, router.buckets, router.releaseOpenedAt = module, true, 0, w.now, w.now, map[int32]*tokenBucket{}, nil
	router.purgeDeadlines = nil
	w.updateEndpoints(id, len(w.endpointChanges), true)
	for i := range w.purges { // one that starts is told of those that may still matter
		if w.now-w.purges[i].startedAt < purgePropagationTime {
			w.notifyPurge(id, i)
		}
	}
	w.applyPastChanges(router)
	if rel := w.config.Release; rel != nil && rel.Rollout != nil {
		return router.module.SetRollout(w.now, rel.Rollout)
	}
	return nil
}

// updateEndpoints takes the changes of the list up to one to a router.
func (w *World) updateEndpoints(id int32, upTo int, whole bool) {
	router := &w.routers[id]
	if router.endpointVersion >= upTo {
		return
	}
	ev := routing.Event{Kind: routing.EventEndpoints, UpdateMode: "update"}
	if whole {
		ev.UpdateMode = "replace"
	}
	for i := router.endpointVersion; i < upTo; i++ {
		row, server := w.endpointChanges[i], &w.servers[w.changedServers[i]]
		if server.kind == cacheServer && server.site != router.site {
			continue // depots are told of their own caches
		}
		ev.Endpoints = append(ev.Endpoints, row)
		if _, before := server.drainNoticeAt[id]; row.Status != "healthy" && !before {
			server.drainNoticeAt[id] = w.now
		}
	}
	router.endpointVersion = upTo
	if len(ev.Endpoints) > 0 {
		w.stepRouter(id, ev)
	}
}

func (w *World) requestByCallID(call string) int32 {
	n, err := strconv.ParseUint(call, 16, 64)
	if err != nil || int(uint32(n)) >= len(w.requests) || w.requests[uint32(n)].generation != uint32(n>>32) {
		return -1
	}
	return int32(uint32(n))
}

// arriveAtRouter is a request's arrival; it waits until the router's core is free.
func (w *World) arriveAtRouter(e *event) {
	request := &w.requests[e.target]
	if request.generation != e.generation || request.closed {
		return
	}
	router := &w.routers[request.router]
	if !router.running || e.value == 1 && router.generation != request.routerGeneration {
		w.requestLost(e.target)
		return
	}
	if e.value == 0 {
		begin := max(w.now, router.freeAt)
		router.freeAt, request.routerGeneration = begin+int64(w.config.RouterCPUMicros), router.generation
		if begin > w.now {
			w.push(event{time: begin, kind: eventAtRouter, target: e.target, generation: e.generation, value: 1})
			return
		}
	}
	operation := &w.operations[request.operation]
	allow := classModels[operation.class].deadlineMs
	request.deadline = w.now - clientDelay + int64(allow-min(max(0.1*allow, 5), 25))*millisecond
	if w.rateLimits != nil && !w.withinRateLimit(router, operation) {
		router.freeAt -= int64(w.config.RouterCPUMicros * 0.75)
		w.answerRequest(e.target, routing.Action{Kind: routing.ActionReject, RetryAfter: second / 2})
		return
	}
	before := router.module.Stats.Admitted
	w.stepRouter(request.router, routing.Event{Kind: routing.EventRequest, RequestID: request.callID, Class: classModels[operation.class].name, Object: operation.object, Chunk: int64(operation.chunk),
		PurgeGroup: purgeGroup(operation), SizeKB: operation.sizeKB, Timeout: request.deadline - w.now})
	if w.config.Cells != nil && router.module.Stats.Admitted == before {
		router.freeAt -= int64(w.config.RouterCPUMicros * 0.75)
	}
}

// withinRateLimit is the plain way: a bucket for each tenant at each router, as deep as two seconds.
func (w *World) withinRateLimit(router *simulatedRouter, operation *clientOperation) bool {
	rate := w.rateLimits[operation.tenant]
	most := max(rate*float64(2*second), 3)
	b := router.buckets[operation.tenant]
	if b == nil {
		b = &tokenBucket{most, w.now}
		router.buckets[operation.tenant] = b
	}
	b.tokens = min(b.tokens+rate*float64(w.now-b.updatedAt), most)
	b.updatedAt = w.now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// stepRouter takes an event to a router's module and does what it says.
func (w *World) stepRouter(id int32, ev routing.Event) {
	for _, a := range w.routers[id].module.Step(w.now, []routing.Event{ev}) {
		switch a.Kind {
		case routing.ActionSetTimer:
			w.push(event{time: w.now + a.Delay, kind: eventRouterTimer, target: id, generation: w.routers[id].generation, value: a.TimerToken})
		case routing.ActionSend:
			if requestID := w.requestByCallID(a.RequestID); requestID >= 0 && !w.requests[requestID].answered {
				w.sendAttempt(requestID, a)
			}
		case routing.ActionCancel:
			if requestID := w.requestByCallID(a.RequestID); requestID >= 0 && w.requests[requestID].attempt >= 0 && w.requests[requestID].attemptNumber == int32(a.Attempt) {
				w.dropAttempt(w.requests[requestID].attempt, routing.OutcomeCanceled)
			}
		case routing.ActionReject, routing.ActionFail:
			if requestID := w.requestByCallID(a.RequestID); requestID >= 0 {
				w.answerRequest(requestID, a)
			}
		case routing.ActionReportOverload:
			w.gossipOverload(id, a.Server)
		case routing.ActionLog:
			w.recordRolloutState(id)
		}
	}
}

// sendAttempt puts an attempt on its way.
func (w *World) sendAttempt(requestID int32, a routing.Action) {
	request := &w.requests[requestID]
	if request.attempt >= 0 {
		w.result.violation("two attempts of a request out")
		return
	}
	node, source := w.serverNamed(a.Server), int32(-1)
	if a.Source != "" && a.Source != a.Server {
		source = w.serverNamed(a.Source)
	}
	id := allocate(&w.attempts, &w.freeAttempts)
	attempt := &w.attempts[id]
	*attempt = serverAttempt{generation: attempt.generation + 1, request: requestID, requestGeneration: request.generation, site: int32(w.routers[request.router].site), server: node, source: source, cachedOnly: a.FetchFlags&routing.FetchCachedOnly != 0, maxAge: a.MaxAge,
		sentAt: w.now, links: [lastAttemptSegment + 1]int32{-1, -1, -1, -1}, fetch: -1}
	request.attempt = id
	request.attemptNumber++
	w.result.Attempts++
	if told, drained := w.servers[node].drainNoticeAt[request.router]; drained && w.now > told+drainGracePeriod {
		w.result.violation("sent to a drained server")
	}
	w.push(event{time: w.now + w.networkDelay(attempt.site, &w.servers[node]), kind: eventAtServer, target: id, generation: attempt.generation})
	w.push(event{time: w.now + min(a.Timeout, max(request.deadline-w.now, 1)), kind: eventAttemptTimeout, target: id, generation: attempt.generation})
}

// endAttempt is how an attempt ends at its server; the router hears of it after the way back.
func (w *World) endAttempt(id int32, code routing.AttemptOutcome, note int64) {
	attempt := &w.attempts[id]
	attempt.outcome, attempt.cacheStatus = code, note
	w.releaseAttempt(id)
	w.push(event{time: w.now + w.networkDelay(attempt.site, &w.servers[attempt.server]), kind: eventAttemptOutcome, target: id, generation: attempt.generation})
}

// releaseAttempt gives back all that an attempt holds in the world.
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
	f := attempt.fetch
	attempt.fetch = -1
	if f >= 0 && w.config.CancelsAbandonedFetches {
		w.cancelIfAbandoned(f)
	}
}

// attemptOutcome is an attempt's end at the router.
func (w *World) attemptOutcome(id int32) {
	attempt := w.attempts[id]
	w.freeAttempt(id)
	request := &w.requests[attempt.request]
	if request.generation != attempt.requestGeneration || request.attempt != id {
		return
	}
	request.attempt = -1
	if attempt.outcome == routing.OutcomeServed {
		request.served = true
		w.checkRelease(&attempt)
		w.checkPurges(&attempt)
		w.answerRequest(attempt.request, routing.Action{Kind: routing.ActionSend})
	}
	w.stepRouter(request.router, routing.Event{Kind: routing.EventOutcome, RequestID: request.callID, Attempt: int(request.attemptNumber), Server: w.servers[attempt.server].name, Outcome: attempt.outcome,
		CacheStatus: routing.CacheStatus(attempt.cacheStatus), ResponseTime: w.now - attempt.sentAt, UpstreamWait: attempt.upstreamWait, IsFinal: attempt.outcome == routing.OutcomeServed, LoadReport: w.linkLoadReport(int(attempt.site))})
}

func (w *World) freeAttempt(id int32) {
	w.releaseAttempt(id)
	w.attempts[id].generation++
	w.freeAttempts = append(w.freeAttempts, id)
}

// dropAttempt gives an attempt up, and tells the module.
func (w *World) dropAttempt(id int32, code routing.AttemptOutcome) {
	attempt := w.attempts[id]
	w.freeAttempt(id)
	request := &w.requests[attempt.request]
	if request.generation != attempt.requestGeneration || request.attempt != id {
		return
	}
	request.attempt = -1
	w.stepRouter(request.router, routing.Event{Kind: routing.EventOutcome, RequestID: request.callID, Attempt: int(request.attemptNumber), Server: w.servers[attempt.server].name, Outcome: code,
		ResponseTime: w.now - attempt.sentAt})
}

// answerRequest is the one answer to a request.
func (w *World) answerRequest(requestID int32, a routing.Action) {
	request := &w.requests[requestID]
	if request.answered {
		w.result.violation("two answers to a request")
		return
	}
	if request.attempt >= 0 {
		w.result.violation("answered with an attempt out")
	}
	request.answered = true
	request.retryAfter = 0
	if a.Kind == routing.ActionReject {
		request.retryAfter = max(a.RetryAfter, 1)
	}
	if !request.closed {
		w.push(event{time: w.now + clientDelay, kind: eventAnswer, target: requestID, generation: request.generation})
	}
}
