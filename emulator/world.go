package emulator

import (
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"

	"spantack/core/cells"
	"spantack/core/hierarchy"
	"spantack/routing"
)

// World is one deployment on its day. Servers, routers, links and everything that comes and goes are numbered by their
// place in a slice; places of operations, requests, attempts and fetches are used again, and their generation tells a
// later one from an earlier.
type World struct {
	config Config
	now    int64
	stopAt int64 // no client arrives from here on
	queue  eventQueue

	// Documents.
	assignment         *cells.Assignment   // nil: no cells
	assignmentByChange []*cells.Assignment // of Config.Changes; nil: unchanged
	topology           *hierarchy.Graph    // nil: none

	// Servers and routers.
	routers       []simulatedRouter // site by site
	servers       []simulatedServer // the origin, the parents, then edge caches
	serversByName map[string]int32
	origin        int32
	cachesBySite  [][]int32 // present edge caches, in the order in which they were first listed
	rateLimits    []float64 // requests a microsecond and router, by tenant; nil: none

	// The network.
	links          []link
	siteLinks      []int32 // link into each site
	remoteHubLinks []int32 // line from a remote hub, by site and hub; nil: unbounded

	// The endpoint list.
	endpointChanges []routing.Endpoint
	changedServers  []int32 // server of each change

	// What is in flight.
	operations     []clientOperation
	freeOperations []int32
	requests       []clientRequest
	freeRequests   []int32
	attempts       []serverAttempt
	freeAttempts   []int32
	fetches        []parentFetch
	freeFetches    []int32
	sessions       []videoSession
	gossip         gossipState
	purges         []purge

	// Random draws, by purpose.
	arrivalRandom []*rand.Rand // by site
	floodRandom   *rand.Rand
	miscRandom    *rand.Rand

	// What clients request. The distributions are cumulative.
	tenantCDF      []float64
	objectCDF      []float64
	classCDF       [classCount]float64 // of operations and sessions; does not end in 1
	objectNames    map[uint64]string
	oneTimeObjects uint64

	// What is measured.
	result       Result
	latency      [classCount]*hdrhistogram.Histogram // microseconds
	cellGauges   []cellGauge                         // by site and cell; nil: no cells
	nextSampleAt int64
	linkReports  []linkReport // by site
}

// drainTime is how long a world runs on after its last client has arrived, so that operations end.
const drainTime = 8 * second

// Run plays the day to its end and returns what it came to. A world runs once.
func (w *World) Run() Result {
	end := w.stopAt + drainTime
	for len(w.queue.heap) > 0 {
		e := w.queue.pop()
		if e.time > end {
			break
		}
		w.now = e.time
		w.result.Events++
		w.handle(&e)
	}
	w.finishResult()
	return w.result
}

func (w *World) push(e event) { w.queue.push(e) }

// handle lets an event happen, unless what it was meant for has gone.
func (w *World) handle(e *event) {
	if w.isStale(e) {
		return
	}
	switch e.kind {
	case eventArrival:
		w.arrival(int(e.target))
	case eventNextChunk:
		w.requestNextChunk(e.target)
	case eventFloodRequest:
		w.floodRequest()
	case eventAtRouter:
		w.arriveAtRouter(e)
	case eventRouterTimer:
		w.stepRouter(e.target, routing.Event{Kind: routing.EventTimer, TimerToken: e.value})
	case eventAtServer:
		w.arriveAtServer(e.target)
	case eventAtSource:
		w.arriveAtSource(e.target)
	case eventFillFailed:
		w.fillFailed(e.target, routing.CacheStatus(e.value))
	case eventAttemptOutcome:
		w.attemptOutcome(e.target)
	case eventAttemptTimeout:
		w.dropAttempt(e.target, routing.OutcomeTimedOut)
	case eventLinkDue:
		w.advanceLink(e.target)
	case eventFetchAtOrigin:
		w.startFetchAtOrigin(e.target)
	case eventAnswer:
		w.answerClient(e.target)
	case eventClientGivesUp:
		w.clientGivesUp(e.target)
	case eventClientRetry:
		w.sendRequest(e.target)
	case eventEndpointUpdate:
		w.updateEndpoints(e.target, int(e.value), routing.UpdateChanges)
	case eventFault:
		w.applyFault(e)
	case eventServerRestart:
		w.restartServer(e.target)
	case eventFrontendUpdate:
		w.routers[e.target].inFrontend = e.value == 1
	case eventConfigChange:
		w.applyChange(&w.routers[e.target], int(e.value))
	case eventGossip:
		w.receiveGossip(e)
	case eventPurge:
		w.notifyPurge(e.target, int(e.value))
	}
}

// isStale reports that an event's target is of another generation, or a router that is not running.
func (w *World) isStale(e *event) bool {
	switch e.kind {
	case eventRouterTimer, eventEndpointUpdate, eventConfigChange, eventPurge:
		router := &w.routers[e.target]
		return !router.running || router.generation != e.generation
	case eventAtServer, eventAtSource, eventFillFailed, eventAttemptOutcome, eventAttemptTimeout:
		return w.attempts[e.target].generation != e.generation
	case eventAtRouter, eventAnswer, eventClientGivesUp:
		return w.requests[e.target].generation != e.generation
	case eventFetchAtOrigin:
		return w.fetches[e.target].generation != e.generation
	default:
		return false
	}
}

// allocate returns a place in a list: a free one, or else a new one at its end.
func allocate[T any](list *[]T, free *[]int32) int32 {
	if n := len(*free); n > 0 {
		id := (*free)[n-1]
		*free = (*free)[:n-1]
		return id
	}
	var zero T
	*list = append(*list, zero)
	return int32(len(*list) - 1)
}
