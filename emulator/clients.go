package emulator

import (
	"strconv"

	"spantack/routing"
)

// clientOperation is what a client wants: one chunk of an object, with all requests that it takes. Its place is freed
// when it is served or the client stops trying.
type clientOperation struct {
	class     int32
	tenant    int32
	site      int32
	requests  int32 // sent so far
	key       uint64
	object    string
	chunk     int32
	sizeKB    float64
	startedAt int64
	counted   bool // it began after the warm-up
	release   bool // its object belongs to Config.Release
}

// clientRequest is one request of an operation, at one router. Its place is freed when the client has an answer,
// gives up or sees the connection break.
type clientRequest struct {
	generation       uint32
	operation        int32
	router           int32
	routerGeneration uint32
	callID           string // the router's name for it: place and generation
	deadline         int64  // for the router's answer

	attempt           int32 // that is out; -1: none
	attemptNumber     int32 // of the last attempt; -1: none yet
	attemptsAtServers int

	retryAfter int64 // of a rejection; 0: the answer is none
	answered   bool
	served     bool // the answer is a response
	closed     bool // the client waits no more
}

// Behaviour of clients.
const (
	maxClientRequests   = 3          // of an operation
	impatientPercent    = 25         // of clients do not retry
	honoursRetryPercent = 55         // of those that retry honour Retry-After
	minClientBackoff    = 50         // ms, before a retry
	clientBackoffSpread = 350        // ms, added at most
	retriesAfterStop    = 2 * second // for so long after the last arrival clients retry
)

// releaseSelectionSalt decides which objects a release takes.
const releaseSelectionSalt = 0x4e1ea5e

// startOperation begins an operation. It counts from here on, if the warm-up is over. A sizeKB of 0 stands for the
// size that the chunk always has.
func (w *World) startOperation(operation clientOperation) {
	if operation.sizeKB == 0 {
		operation.sizeKB = chunkSizeKB(operation.key, operation.chunk, int(operation.class))
	}
	operation.startedAt = w.now
	operation.counted = w.now >= w.result.countFrom
	w.selectForRelease(&operation)
	id := allocate(&w.operations, &w.freeOperations)
	w.operations[id] = operation
	w.result.operationStarted(&w.operations[id])
	w.sendRequest(id)
}

// selectForRelease makes an operation on the catalogue one on the release's objects, if it is on one of those that the
// release takes: always the same ones.
func (w *World) selectForRelease(operation *clientOperation) {
	r := w.config.Release
	if r == nil || operation.class != classCatalogue {
		return
	}
	hasStarted := r.ReplacesObjects || w.now >= fromSeconds(r.StartSeconds)
	if !hasStarted || hashFraction(operation.key^releaseSelectionSalt) >= r.CatalogueFraction {
		return
	}
	operation.release = true
	if !r.ReplacesObjects {
		operation.key |= releaseObjectBit
		operation.object = objectName(int(operation.tenant), operation.key)
	}
}

// sendRequest sends a request of an operation to a router of the site that the frontend takes for alive.
func (w *World) sendRequest(id int32) {
	operation := &w.operations[id]
	operation.requests++
	w.result.Requests++
	requestID := allocate(&w.requests, &w.freeRequests)
	request := &w.requests[requestID]
	*request = clientRequest{
		generation:    request.generation + 1,
		operation:     id,
		router:        w.frontendChoice(operation),
		attempt:       -1,
		attemptNumber: -1,
	}
	request.callID = callID(requestID, request.generation)
	deadline := int64(classModels[operation.class].deadlineMs) * millisecond
	w.pushForRequest(requestID, eventAtRouter, clientDelay)
	w.pushForRequest(requestID, eventClientGivesUp, deadline)
}

// pushForRequest pushes an event that a request is the target of.
func (w *World) pushForRequest(id int32, kind eventKind, delay int64) {
	w.push(event{time: w.now + delay, kind: kind, target: id, generation: w.requests[id].generation})
}

// frontendChoice returns the router that the frontend sends a request to: one by hash, or the next one that it takes
// for alive. If it takes none for alive, it is the one by hash.
func (w *World) frontendChoice(operation *clientOperation) int32 {
	count := int32(w.config.RoutersPerSite)
	first := operation.site * count
	hash := hashMix(operation.key + uint64(w.now) + uint64(operation.chunk)<<32)
	chosen := int32(hash % uint64(count))
	for i := range count {
		if router := first + (chosen+i)%count; w.routers[router].inFrontend {
			return router
		}
	}
	return first + chosen
}

// callID returns the name of a request at its router.
func callID(id int32, generation uint32) string {
	return strconv.FormatUint(uint64(generation)<<32|uint64(uint32(id)), 16)
}

// requestByCallID returns the request of a name, or -1 if it has ended.
func (w *World) requestByCallID(call string) int32 {
	n, err := strconv.ParseUint(call, 16, 64)
	if err != nil {
		return -1
	}
	id, generation := uint32(n), uint32(n>>32)
	if int(id) >= len(w.requests) || w.requests[id].generation != generation {
		return -1
	}
	return int32(id)
}

// freeRequest frees a request's place.
func (w *World) freeRequest(requestID int32) {
	w.requests[requestID].generation++
	w.requests[requestID].closed = true
	w.freeRequests = append(w.freeRequests, requestID)
}

// answerClient lets an answer reach the client.
func (w *World) answerClient(requestID int32) {
	request := w.requests[requestID]
	w.freeRequest(requestID)
	operation := &w.operations[request.operation]
	switch {
	case request.served:
		w.recordServed(operation)
		w.freeOperations = append(w.freeOperations, request.operation)
	case request.retryAfter > 0:
		w.result.requestRejected(operation)
		w.retryOperation(request.operation, request.retryAfter)
	default:
		w.result.requestFailed(operation)
		w.retryOperation(request.operation, 0)
	}
}

// retryOperation lets a client send another request for an operation, or stop trying. Most retry once or twice, and
// most honour a Retry-After.
func (w *World) retryOperation(id int32, retryAfter int64) {
	operation := &w.operations[id]
	draw := hashMix(operation.key ^ uint64(operation.startedAt) ^ uint64(operation.requests)<<50)
	isImpatient := draw%100 < impatientPercent
	if operation.requests >= maxClientRequests || isImpatient || w.now >= w.stopAt+retriesAfterStop {
		w.result.operationUnserved(operation)
		w.freeOperations = append(w.freeOperations, id)
		return
	}
	backoff := (minClientBackoff + int64(draw>>8%clientBackoffSpread)) * millisecond
	if draw>>20%100 < honoursRetryPercent {
		backoff = max(backoff, retryAfter)
	}
	w.push(event{time: w.now + backoff, kind: eventClientRetry, target: id})
}

// clientGivesUp lets a client close its connection when its deadline has passed. The router owes no answer any more.
func (w *World) clientGivesUp(requestID int32) {
	request := w.requests[requestID]
	router := &w.routers[request.router]
	isAtRouter := router.running && router.generation == request.routerGeneration
	if !request.answered && isAtRouter {
		w.result.Unanswered++
		if request.attempt >= 0 {
			w.freeAttempt(request.attempt)
			w.requests[requestID].attempt = -1
		}
		w.requests[requestID].answered = true
		w.stepRouter(request.router, routing.Event{Kind: routing.EventAborted, RequestID: request.callID})
	}
	w.freeRequest(requestID)
	w.result.operationUnserved(&w.operations[request.operation])
	w.freeOperations = append(w.freeOperations, request.operation)
}

// requestLost ends a request whose router has died. The client sees the connection break and may retry.
func (w *World) requestLost(requestID int32) {
	request := w.requests[requestID]
	w.freeRequest(requestID)
	w.result.LostWithRouter++
	w.retryOperation(request.operation, 0)
}
