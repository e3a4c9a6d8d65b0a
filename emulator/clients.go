package emulator

import (
	"strconv"

	"spantack/routing"
)

// clientOperation is what a client does to get one chunk of an object: its first request and all retries. Its slot in
// World.operations is freed when it is served or the client stops retrying.
type clientOperation struct {
	class     int32
	tenant    int32
	site      int32
	requests  int32 // requests sent so far
	key       uint64
	object    string
	chunk     int32
	sizeKB    float64
	startedAt int64
	counted   bool // it started after the warm-up
	release   bool // its object belongs to Config.Release
}

// clientRequest is one request of an operation, sent to one router. Its slot in World.requests is freed when the client
// receives a response, times out or loses the connection.
type clientRequest struct {
	generation       uint32
	operation        int32
	router           int32
	routerGeneration uint32
	routerRequestID  string // ID of the request in events of the router: generation and index in hexadecimal
	deadline         int64  // time by which the router must respond

	attempt           int32 // attempt in flight; -1: none
	attemptNumber     int32 // number of the last attempt; -1: none yet
	attemptsAtServers int

	retryAfter int64 // Retry-After time of a rejection; 0: not rejected
	answered   bool  // the router has responded, also with a rejection or a failure
	served     bool  // the response contains the chunk
	closed     bool  // the client no longer waits
}

// Retry behaviour of clients.
const (
	maxClientRequests         = 3          // maximum number of requests for one operation
	noRetryPercent            = 25         // percentage of clients that give up, drawn after each unsuccessful request
	honoursRetryAfterPercent  = 55         // percentage of retrying clients that honour Retry-After
	minClientBackoffMillis    = 50         // minimum time before a retry
	clientBackoffSpreadMillis = 350        // upper bound of the random addition
	retriesAfterStop          = 2 * second // clients retry until this long after stopAt
)

// releaseSelectionSalt is the hash salt that selects the objects of a release.
const releaseSelectionSalt = 0x4e1ea5e

// startOperation starts an operation. The operation is counted if the warm-up is over. If its sizeKB is 0, it is set to
// the result of chunkSizeKB.
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

// selectForRelease assigns a catalogue operation to the release if its object is one of those that the release selects.
// The selection depends on the object key alone, so it is the same throughout the run.
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

// sendRequest sends a request of an operation to the router that frontendChoice selects, and schedules the client
// timeout. The frontend is the load balancer that distributes the clients of a site to its routers.
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
	request.routerRequestID = routerRequestID(requestID, request.generation)
	deadline := int64(classModels[operation.class].deadlineMs) * millisecond
	w.pushForRequest(requestID, eventAtRouter, clientDelay)
	w.pushForRequest(requestID, eventClientTimeout, deadline)
}

// pushForRequest schedules an event for a request after a delay.
func (w *World) pushForRequest(id int32, kind eventKind, delay int64) {
	w.push(event{time: w.now + delay, kind: kind, target: id, generation: w.requests[id].generation})
}

// frontendChoice returns the router that the frontend sends a request to: the one selected by hash, or the next one
// that the frontend considers alive. If it considers none alive, it uses the one selected by hash.
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

// routerRequestID returns the ID of a request at its router: generation and index in hexadecimal.
func routerRequestID(id int32, generation uint32) string {
	return strconv.FormatUint(uint64(generation)<<32|uint64(uint32(id)), 16)
}

// findRequest returns the index of the request that has the given ID at its router, or -1 if the request has ended.
func (w *World) findRequest(text string) int32 {
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return -1
	}
	id, generation := uint32(n), uint32(n>>32)
	if int(id) >= len(w.requests) || w.requests[id].generation != generation {
		return -1
	}
	return int32(id)
}

// freeRequest closes a request and frees its slot in World.requests.
func (w *World) freeRequest(requestID int32) {
	w.requests[requestID].generation++
	w.requests[requestID].closed = true
	w.freeRequests = append(w.freeRequests, requestID)
}

// answerClient delivers a response to the client. The client may retry if the request was rejected or failed.
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

// retryOperation schedules another request for an operation, or ends the operation as unserved. A client sends at most
// maxClientRequests requests. After each unsuccessful request, noRetryPercent of the clients give up. Of the retries,
// honoursRetryAfterPercent wait for retryAfter if it is longer than their backoff. No client schedules a retry when
// retriesAfterStop have passed since stopAt.
func (w *World) retryOperation(id int32, retryAfter int64) {
	operation := &w.operations[id]
	draw := hashMix(operation.key ^ uint64(operation.startedAt) ^ uint64(operation.requests)<<50)
	givesUp := draw%100 < noRetryPercent
	if operation.requests >= maxClientRequests || givesUp || w.now >= w.stopAt+retriesAfterStop {
		w.result.operationUnserved(operation)
		w.freeOperations = append(w.freeOperations, id)
		return
	}
	backoff := (minClientBackoffMillis + int64(draw>>8%clientBackoffSpreadMillis)) * millisecond
	if draw>>20%100 < honoursRetryAfterPercent {
		backoff = max(backoff, retryAfter)
	}
	w.push(event{time: w.now + backoff, kind: eventClientRetry, target: id})
}

// clientTimeout closes the connection of a client whose deadline has passed. If a running router has received the
// request but has not responded, the request counts as unanswered. The router is then notified that the client has
// aborted the request, and must not respond any more.
func (w *World) clientTimeout(requestID int32) {
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
		w.stepRouter(request.router, routing.Event{Kind: routing.EventAborted, RequestID: request.routerRequestID})
	}
	w.freeRequest(requestID)
	w.result.operationUnserved(&w.operations[request.operation])
	w.freeOperations = append(w.freeOperations, request.operation)
}

// requestLost ends a request whose router has crashed. The client sees the connection break and may retry.
func (w *World) requestLost(requestID int32) {
	request := w.requests[requestID]
	w.freeRequest(requestID)
	w.result.LostWithRouter++
	w.retryOperation(request.operation, 0)
}
