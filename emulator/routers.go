package emulator

import (
	"math/rand/v2"

	"spantack/core/cells"
	"spantack/routing"
)

// simulatedRouter is a router process that runs the real admission and routing modules. It loses all state when it
// crashes.
type simulatedRouter struct {
	module     *cells.Admission
	site       int
	running    bool
	inFrontend bool   // the frontend sends clients to it
	generation uint32 // incremented when it crashes
	freeAt     int64  // time at which its only CPU core is free for the next request
	random     *rand.Rand

	endpointVersion  int   // number of changes of the endpoint list that it has applied
	endpointUpdateAt int64 // time at which it receives the last endpoint update in flight

	buckets         map[int32]*tokenBucket // rate limits, by tenant
	clockOffset     int64                  // offset of the clock by which it reads the times in documents
	appliedChanges  int                    // number of Config.Changes applied
	releaseOpenedAt map[int]int64          // time at which it opened the release, by open cell
	purgeDeadlines  []purgeDeadline        // deadlines of all purges that it was notified of
}

// startRouter starts a router without learned state. It has only the documents, the endpoint list and the recent
// purges.
func (w *World) startRouter(id int32) error {
	router := &w.routers[id]
	module, err := cells.NewAdmission(w.config.routerSettings(router.site), int64(router.random.Uint64()>>1))
	if err != nil {
		return err
	}
	if err := w.joinGossip(id); err != nil {
		return err
	}
	w.applyDocuments(module, router.clockOffset)
	router.module = module
	router.running = true
	router.endpointVersion = 0
	router.endpointUpdateAt = w.now
	router.freeAt = w.now
	router.buckets = map[int32]*tokenBucket{}
	router.releaseOpenedAt = nil
	router.purgeDeadlines = nil
	w.updateEndpoints(id, len(w.endpointChanges), routing.UpdateReplace)
	w.notifyRecentPurges(id)
	w.applyPastChanges(id)
	if release := w.config.Release; release != nil && release.Rollout != nil {
		return module.SetRollout(w.now, release.Rollout)
	}
	return nil
}

// applyDocuments passes the documents that apply from the start of the run to a new module.
func (w *World) applyDocuments(module *cells.Admission, clockOffset int64) {
	module.DocumentClockOffset = clockOffset
	if w.config.OriginLimit != nil {
		if err := module.SetOriginLimit(w.now, w.config.OriginLimit); err != nil {
			panic(err) // New has validated the document
		}
	}
	if w.topology != nil {
		module.SetTopology(w.now, w.topology)
	}
	if w.assignment != nil {
		module.SetAssignment(w.now, w.assignment)
	}
}

// updateEndpoints passes the changes of the endpoint list up to a version to a router's module. Routers receive only
// the edge caches of their own site.
func (w *World) updateEndpoints(id int32, version int, mode routing.UpdateMode) {
	router := &w.routers[id]
	if router.endpointVersion >= version {
		return
	}
	update := routing.Event{Kind: routing.EventEndpoints, UpdateMode: mode}
	for i := router.endpointVersion; i < version; i++ {
		endpoint := w.endpointChanges[i]
		server := &w.servers[w.changedServers[i]]
		if server.kind == cacheServer && server.site != router.site {
			continue
		}
		update.Endpoints = append(update.Endpoints, endpoint)
		_, isKnown := server.drainNoticeAt[id]
		if endpoint.Status != routing.EndpointHealthy && !isKnown {
			server.drainNoticeAt[id] = w.now
		}
	}
	router.endpointVersion = version
	if len(update.Endpoints) > 0 {
		w.stepRouter(id, update)
	}
}

// waitedForCore is the value of an eventAtRouter for a request that has waited for the router's core.
const waitedForCore = 1

// rejectionCostFraction is the CPU time of a router for a rejected request, as a fraction of the time for a request
// that is not rejected.
const rejectionCostFraction = 0.25

// releaseUnusedCPUTime subtracts the CPU time that a rejected request did not use from the time reserved for it.
func (w *World) releaseUnusedCPUTime(router *simulatedRouter) {
	router.freeAt -= int64(w.config.RouterCPUMicros * (1 - rejectionCostFraction))
}

// arriveAtRouter handles the arrival of a request. The request waits until the router's core is free and is then passed
// to the module. A request that exceeds its tenant's rate limit is rejected and never reaches the module.
func (w *World) arriveAtRouter(e *event) {
	request := &w.requests[e.target]
	router := &w.routers[request.router]
	hasWaited := e.value == waitedForCore
	if !router.running || hasWaited && router.generation != request.routerGeneration {
		w.requestLost(e.target)
		return
	}
	if !hasWaited {
		start := max(w.now, router.freeAt)
		router.freeAt = start + int64(w.config.RouterCPUMicros)
		request.routerGeneration = router.generation
		if start > w.now {
			w.push(event{
				time:       start,
				kind:       eventAtRouter,
				target:     e.target,
				generation: e.generation,
				value:      waitedForCore,
			})
			return
		}
	}
	operation := &w.operations[request.operation]
	request.deadline = w.routerDeadline(operation)
	if w.rateLimits != nil && !w.withinRateLimit(router, operation) {
		w.releaseUnusedCPUTime(router)
		w.answerRequest(e.target, routing.Action{Kind: routing.ActionReject, RetryAfter: second / 2})
		return
	}
	admitted := router.module.Stats.Admitted
	w.stepRouter(request.router, requestEvent(request, operation, w.now))
	if w.config.Cells != nil && router.module.Stats.Admitted == admitted {
		w.releaseUnusedCPUTime(router)
	}
}

// routerDeadline returns the time by which a router must respond to a request that arrives now. A tenth of the client's
// deadline, but at least 5 ms and at most 25 ms, is reserved for the way back to the client.
func (w *World) routerDeadline(operation *clientOperation) int64 {
	deadline := classModels[operation.class].deadlineMs
	reserve := min(max(0.1*deadline, 5), 25)
	return w.now - clientDelay + int64(deadline-reserve)*millisecond
}

func requestEvent(request *clientRequest, operation *clientOperation, now int64) routing.Event {
	return routing.Event{
		Kind:       routing.EventRequest,
		RequestID:  request.routerRequestID,
		Class:      classModels[operation.class].name,
		Object:     operation.object,
		Chunk:      int64(operation.chunk),
		PurgeGroup: purgeGroup(operation),
		SizeKB:     operation.sizeKB,
		Timeout:    request.deadline - now,
	}
}

// tokenBucket is the rate limit of one tenant at one router.
type tokenBucket struct {
	tokens    float64
	updatedAt int64
}

// Depth of a token bucket.
const (
	bucketDepth     = 2 * second // time to fill it at the tenant's rate
	minBucketTokens = 3          // minimum depth
)

// withinRateLimit takes a token from the tenant's rate limit at the router. It returns false if no token is
// left.
func (w *World) withinRateLimit(router *simulatedRouter, operation *clientOperation) bool {
	rate := w.rateLimits[operation.tenant]
	depth := max(rate*float64(bucketDepth), minBucketTokens)
	bucket := router.buckets[operation.tenant]
	if bucket == nil {
		bucket = &tokenBucket{depth, w.now}
		router.buckets[operation.tenant] = bucket
	}
	bucket.tokens = min(bucket.tokens+rate*float64(w.now-bucket.updatedAt), depth)
	bucket.updatedAt = w.now
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}

// stepRouter passes an event to a router's module and carries out the returned actions.
func (w *World) stepRouter(id int32, ev routing.Event) {
	for _, action := range w.routers[id].module.Step(w.now, []routing.Event{ev}) {
		switch action.Kind {
		case routing.ActionSetTimer:
			w.push(event{
				time:       w.now + action.Delay,
				kind:       eventRouterTimer,
				target:     id,
				generation: w.routers[id].generation,
				value:      action.TimerToken,
			})
		case routing.ActionSend:
			if requestID := w.findRequest(action.RequestID); requestID >= 0 && !w.requests[requestID].answered {
				w.sendAttempt(requestID, action)
			}
		case routing.ActionCancel:
			w.cancelAttempt(action)
		case routing.ActionReject, routing.ActionFail:
			if requestID := w.findRequest(action.RequestID); requestID >= 0 {
				w.answerRequest(requestID, action)
			}
		case routing.ActionReportOverload:
			w.gossipOverload(id, action.Server)
		case routing.ActionLog:
			w.recordRolloutState(id)
		}
	}
}

// answerRequest schedules the delivery of a response to the client: the response of an attempt (routing.ActionSend), a
// rejection or a failure. It counts a violation if the request already has a response or still has an attempt in
// flight.
func (w *World) answerRequest(requestID int32, action routing.Action) {
	request := &w.requests[requestID]
	if request.answered {
		w.result.countViolation(violationTwoAnswers)
		return
	}
	if request.attempt >= 0 {
		w.result.countViolation(violationAnsweredDuringAttempt)
	}
	request.answered = true
	request.retryAfter = 0
	if action.Kind == routing.ActionReject {
		request.retryAfter = max(action.RetryAfter, 1)
	}
	if !request.closed {
		w.push(event{
			time:       w.now + clientDelay,
			kind:       eventAnswer,
			target:     requestID,
			generation: request.generation,
		})
	}
}

// killRouter crashes a router. Its requests are lost, and the frontend detects the crash after frontendDetectionDelay.
func (w *World) killRouter(id int32) {
	router := &w.routers[id]
	generation := router.generation
	router.running = false
	router.generation++
	for requestID := range w.requests {
		request := &w.requests[requestID]
		isOwn := request.router == id && request.routerGeneration == generation && request.routerRequestID != ""
		if !isOwn || request.closed || request.answered || w.now <= 0 {
			continue
		}
		if request.attempt >= 0 {
			w.freeAttempt(request.attempt)
			request.attempt = -1
		}
		w.requestLost(int32(requestID))
	}
	w.push(event{time: w.now + frontendDetectionDelay, kind: eventFrontendUpdate, target: id, value: 0})
}
