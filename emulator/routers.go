package emulator

import (
	"math/rand/v2"

	"spantack/core/cells"
	"spantack/routing"
)

// simulatedRouter is a router process with the real admission and routing modules inside. When it dies it keeps
// nothing.
type simulatedRouter struct {
	module     *cells.Admission
	site       int
	running    bool
	inFrontend bool   // clients are sent to it
	generation uint32 // rises when it dies
	freeAt     int64  // when its core has time for the next request
	random     *rand.Rand

	endpointVersion  int   // changes of the endpoint list that it has
	endpointUpdateAt int64 // when it has the last update that is in flight

	buckets         map[int32]*tokenBucket // plain rate limits, by tenant
	clockOffset     int64                  // of its clock for documents
	appliedChanges  int                    // of Config.Changes
	releaseOpenedAt map[int]int64          // when it first reported the release as open, by cell
	purgeDeadlines  []purgeDeadline        // of all purges that it was told of
}

// startRouter starts a router that has nothing but the documents and the endpoint list.
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

// applyDocuments gives a new module the documents that hold from the start.
func (w *World) applyDocuments(module *cells.Admission, clockOffset int64) {
	module.DocumentClockOffset = clockOffset
	if w.config.OriginLimit != nil {
		if err := module.SetOriginLimit(w.now, w.config.OriginLimit); err != nil {
			panic(err) // New has checked the document
		}
	}
	if w.topology != nil {
		module.SetTopology(w.now, w.topology)
	}
	if w.assignment != nil {
		module.SetAssignment(w.now, w.assignment)
	}
}

// updateEndpoints passes the changes of the endpoint list up to one to a router's module. Of edge caches, routers see
// those of their own site.
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

// waitedForCore is the value of an eventAtRouter of a request that has had its turn.
const waitedForCore = 1

// rejectionCostFraction is what a rejected request takes of a router's core, of what any other takes.
const rejectionCostFraction = 0.25

// refundCore gives back the time of a router's core that a rejected request did not take.
func (w *World) refundCore(router *simulatedRouter) {
	router.freeAt -= int64(w.config.RouterCPUMicros * (1 - rejectionCostFraction))
}

// arriveAtRouter lets a request arrive, wait until the router's core is free, and be decided.
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
		w.refundCore(router)
		w.answerRequest(e.target, routing.Action{Kind: routing.ActionReject, RetryAfter: second / 2})
		return
	}
	admitted := router.module.Stats.Admitted
	w.stepRouter(request.router, requestEvent(request, operation, w.now))
	if w.config.Cells != nil && router.module.Stats.Admitted == admitted {
		w.refundCore(router)
	}
}

// routerDeadline is until when a router may answer a request that arrives now: a tenth of the client's deadline, but
// 5 to 25 ms, is kept for the way back.
func (w *World) routerDeadline(operation *clientOperation) int64 {
	deadline := classModels[operation.class].deadlineMs
	reserve := min(max(0.1*deadline, 5), 25)
	return w.now - clientDelay + int64(deadline-reserve)*millisecond
}

func requestEvent(request *clientRequest, operation *clientOperation, now int64) routing.Event {
	return routing.Event{
		Kind:       routing.EventRequest,
		RequestID:  request.callID,
		Class:      classModels[operation.class].name,
		Object:     operation.object,
		Chunk:      int64(operation.chunk),
		PurgeGroup: purgeGroup(operation),
		SizeKB:     operation.sizeKB,
		Timeout:    request.deadline - now,
	}
}

// tokenBucket is a plain rate limit of one tenant at one router.
type tokenBucket struct {
	tokens    float64
	updatedAt int64
}

// Depth of a token bucket.
const (
	bucketDepth     = 2 * second // at the tenant's rate
	minBucketTokens = 3          // at least
)

// withinRateLimit takes a token of the tenant's rate limit at the router; false: there is none.
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

// stepRouter passes an event to a router's module and does what it decides.
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
			if requestID := w.requestByCallID(action.RequestID); requestID >= 0 && !w.requests[requestID].answered {
				w.sendAttempt(requestID, action)
			}
		case routing.ActionCancel:
			w.cancelAttempt(action)
		case routing.ActionReject, routing.ActionFail:
			if requestID := w.requestByCallID(action.RequestID); requestID >= 0 {
				w.answerRequest(requestID, action)
			}
		case routing.ActionReportOverload:
			w.gossipOverload(id, action.Server)
		case routing.ActionLog:
			w.recordRolloutState(id)
		}
	}
}

// answerRequest takes the one answer to a request: the response of an attempt (routing.ActionSend), a rejection or a
// failure. It reaches the client later.
func (w *World) answerRequest(requestID int32, action routing.Action) {
	request := &w.requests[requestID]
	if request.answered {
		w.result.violation(violationTwoAnswers)
		return
	}
	if request.attempt >= 0 {
		w.result.violation(violationAnsweredDuringAttempt)
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

// killRouter ends a router's process. Its requests are lost, and the frontend sees that later.
func (w *World) killRouter(id int32) {
	router := &w.routers[id]
	died := router.generation
	router.running = false
	router.generation++
	for requestID := range w.requests {
		request := &w.requests[requestID]
		isItsOwn := request.router == id && request.routerGeneration == died && request.callID != ""
		if !isItsOwn || request.closed || request.answered || w.now <= 0 {
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
