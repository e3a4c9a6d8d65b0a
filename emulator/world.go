package emulator

import (
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"

	"spantack/core/cells"
	"spantack/core/hierarchy"
	"spantack/routing"
)

// World is the state of one simulated deployment. Servers, routers, links and everything in flight are identified by
// their index in a slice. The slots of operations, requests, attempts and fetches are reused; the generation of a
// request, attempt or fetch distinguishes successive users of a slot.
type World struct {
	config Config
	now    int64
	stopAt int64 // end of the arrivals of clients
	queue  eventQueue

	// Documents.
	assignment         *cells.Assignment   // nil: no cells
	assignmentByChange []*cells.Assignment // indexed like Config.Changes; nil: unchanged
	topology           *hierarchy.Graph    // nil: none

	// Servers and routers.
	routers       []simulatedRouter // ordered by site
	servers       []simulatedServer // the origin, the parents, then the edge caches
	serversByName map[string]int32
	origin        int32
	cachesBySite  [][]int32 // current edge caches, in the order in which they were added
	rateLimits    []float64 // requests per microsecond at each router, by tenant; nil: none

	// The network.
	links          []link
	siteLinks      []int32 // link into each site
	remoteHubLinks []int32 // link from a remote hub, by site and hub; nil: unlimited

	// The endpoint list.
	endpointChanges []routing.Endpoint
	changedServers  []int32 // index of the server of each change

	// Operations, requests, attempts and fetches in flight, each with the list of its free slots, followed by other
	// state of the run.
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

	// Random number generators, by purpose.
	arrivalRandom []*rand.Rand // by site
	floodRandom   *rand.Rand
	miscRandom    *rand.Rand

	// Distributions of client requests, all cumulative, and names of objects.
	tenantCDF             []float64
	objectCDF             []float64
	classCumulativeWeight [classCount]float64 // weights of operations and sessions; the last value is not 1
	objectNames           map[uint64]string
	oneTimeObjects        uint64

	// Measurements.
	result       Result
	latency      [classCount]*hdrhistogram.Histogram // microseconds
	cellGauges   []cellGauge                         // by site and cell; nil: no cells
	nextSampleAt int64
	linkReports  []linkReport // by site
}

// completionTime is how long a world continues to run after stopAt. In this time, operations in flight can end.
const completionTime = 8 * second

// Run executes the simulation to its end and returns the result. It must be called only once for a world.
func (w *World) Run() Result {
	end := w.stopAt + completionTime
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

// handle processes an event, unless it is stale.
func (w *World) handle(e *event) {
	if w.isStale(e) {
		return
	}
	switch e.kind {
	case eventArrival:
		w.handleArrival(int(e.target))
	case eventNextChunk:
		w.requestNextChunk(e.target)
	case eventFloodRequest:
		w.startFloodRequest()
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
		w.deliverOutcome(e.target)
	case eventAttemptTimeout:
		w.dropAttempt(e.target, routing.OutcomeTimedOut)
	case eventLinkDue:
		w.advanceLink(e.target)
	case eventFetchAtOrigin:
		w.startFetchAtOrigin(e.target)
	case eventAnswer:
		w.answerClient(e.target)
	case eventClientTimeout:
		w.clientTimeout(e.target)
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

// isStale reports whether an event's target has another generation or is a router that is not running.
func (w *World) isStale(e *event) bool {
	switch e.kind {
	case eventRouterTimer, eventEndpointUpdate, eventConfigChange, eventPurge:
		router := &w.routers[e.target]
		return !router.running || router.generation != e.generation
	case eventAtServer, eventAtSource, eventFillFailed, eventAttemptOutcome, eventAttemptTimeout:
		return w.attempts[e.target].generation != e.generation
	case eventAtRouter, eventAnswer, eventClientTimeout:
		return w.requests[e.target].generation != e.generation
	case eventFetchAtOrigin:
		return w.fetches[e.target].generation != e.generation
	default:
		return false
	}
}

// allocate returns the index of a free slot in a list, or of a new slot at its end if none is free.
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
