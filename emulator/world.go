package emulator

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"spantack/core/cells"
	"spantack/core/hierarchy"
	"spantack/routing"
)

// Kinds of server.
const (
	cacheServer = iota
	parentServer
	originServer
)

// Stages of a transfer.
type segment uint8

const (
	segmentToRouter      segment = iota // from a depot cache to the router: the answer
	segmentFromUpstream                 // from an area cache or the head office towards the depot
	segmentFromRemoteHub                // over the line from a hub that is not the depot's near one
	segmentIntoSite                     // over the link into the depot
	segmentToParent                     // from the head office to an area cache
)

// lastAttemptSegment of those that an attempt's own data takes. All of them run at once, for servers pass on what they receive as it
// comes; the answer is whole when the slowest has ended.
const lastAttemptSegment = segmentIntoSite

type simulatedServer struct {
	name          string
	kind          int
	site          int
	hub           int // of an area cache
	streams       float64
	running       bool
	startedAt     int64 // 0: long ago
	status        string
	link          int32
	maxActive     int
	active        int
	fills         int
	store         *lru
	fetches       map[uint64]int32 // parents: what is on its way from the head office, by part
	recentWork    []receivedWork   // while cold
	recentKB      float64
	drainNoticeAt map[int32]int64 // when each router was told
	cell          int32           // that it belongs to by the list at cellVersion
	cellVersion   int
}

type receivedWork struct {
	receivedAt int64
	sizeKB     float64
	router     int32
}

type simulatedRouter struct {
	module           *cells.Admission
	site             int
	running          bool
	inFrontend       bool // clients are sent to it
	generation       uint32
	freeAt           int64 // when its core is free
	endpointUpdateAt int64 // when it hears of the last change of the list
	endpointVersion  int   // changes heard of
	buckets          map[int32]*tokenBucket
	random           *rand.Rand
	clockOffset      int64           // of its clock
	appliedChanges   int             // changes of cells and moves taken in
	releaseOpenedAt  map[int]int64   // by cell, when it said that a release is let in there
	purgeDeadlines   []purgeDeadline // purges that it was told of
}

// tokenBucket is a plain rate limit for one tenant.
type tokenBucket struct {
	tokens    float64
	updatedAt int64
}

// clientOperation is what a client wants, with all its tries.
type clientOperation struct {
	class, tenant, site int32
	requests            int32
	key                 uint64
	object              string
	chunk               int32
	sizeKB              float64
	startedAt           int64
	counted             bool
	release             bool
}

type clientRequest struct {
	generation        uint32
	operation         int32
	router            int32
	routerGeneration  uint32
	deadline          int64 // of the router's time
	callID            string
	attempt           int32 // that is out; -1: none
	attemptNumber     int32
	attemptsAtServers int
	answered          bool
	closed            bool // the client waits no more
	served            bool
	retryAfter        int64
}

type serverAttempt struct {
	generation        uint32
	request           int32
	requestGeneration uint32 // of the request
	server, source    int32  // source -1: none
	site              int32
	cachedOnly        bool
	maxAge            int64
	sentAt            int64
	fillStartedAt     int64 // when the source was
	upstreamWait      int64
	cacheStatus       int64
	outcome           routing.AttemptOutcome
	producedAt        int64
	links             [lastAttemptSegment + 1]int32 // on which its data is; -1: none
	activeTransfers   int                           // of them
	fetch             int32                         // that it waits for; -1: none
	atServer          bool                          // at its server, and not ended
	countedActive     bool                          // counted there
	countedFilling    bool                          // counted among its fills
	countedAtSource   bool                          // counted at its source
}

// parentFetch is what an area cache has on its way from the head office.
type parentFetch struct {
	generation uint32
	parent     int32
	key        uint64
	sizeKB     float64
	tenant     int32
	started    bool  // the head office has begun to send it
	producedAt int64 // when
	waiters    []attemptRef
}

type attemptRef struct {
	id         int32
	generation uint32
}

type videoSession struct {
	site, tenant      int32
	key               uint64
	object            string
	nextChunk, chunks int32
}

// World is one deployment on its day.
type World struct {
	config             Config
	assignment         *cells.Assignment   // nil: no cells
	topology           *hierarchy.Graph    // nil: none
	assignmentByChange []*cells.Assignment // by change; nil: the one before
	cellGauges         []cellGauge         // by depot and cell
	nextSampleAt       int64               // when routers' moves are next compared
	now                int64
	queue              eventQueue
	routers            []simulatedRouter
	servers            []simulatedServer
	links              []link
	siteLinks          []int32 // link into each depot
	remoteHubLinks     []int32 // line by depot and hub; nil: without bounds
	origin             int32
	cachesBySite       [][]int32 // live list of each depot, in order of first listing
	endpointChanges    []routing.Endpoint
	changedServers     []int32 // server of each change

	operations     []clientOperation
	freeOperations []int32
	requests       []clientRequest
	freeRequests   []int32
	attempts       []serverAttempt
	freeAttempts   []int32
	fetches        []parentFetch
	freeFetches    []int32
	sessions       []videoSession

	arrivalRandom  []*rand.Rand // by depot
	floodRandom    *rand.Rand
	miscRandom     *rand.Rand
	tenantCDF      []float64
	objectCDF      []float64
	classCDF       [classCount]float64
	objectNames    map[uint64]string
	oneTimeObjects uint64
	rateLimits     []float64 // by tenant, a microsecond and router
	stopAt         int64
	result         Result
	latency        [classCount]*hdrhistogram.Histogram
	gossip         gossipState
	purges         []purge
	linkReports    []linkReport // by depot, as reported
}

// New lays out a world at the start of its day.
func New(cfg Config) (*World, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	cfg.expandFaults()
	w := &World{config: cfg, objectNames: map[uint64]string{}, stopAt: int64((cfg.WarmUpSeconds + cfg.DurationSeconds) * float64(second)),
		floodRandom: rand.New(rand.NewPCG(cfg.Seed, 0xf100d)), miscRandom: rand.New(rand.NewPCG(cfg.Seed, 0x3153))}
	if cfg.Cells != nil {
		var err error
		if w.assignment, err = cells.Compile(cfg.Cells); err != nil {
			return nil, err
		}
	}
	if cfg.OriginLimit != nil {
		if _, _, err := cfg.OriginLimit.Config(cfg.Sites * cfg.RoutersPerSite); err != nil {
			return nil, fmt.Errorf("shield.%w", err)
		}
	}
	if cfg.Topology != nil {
		var err error
		if w.topology, err = hierarchy.Compile(cfg.Topology); err != nil {
			return nil, fmt.Errorf("shape.%w", err)
		}
	}
	if err := w.compileChanges(); err != nil {
		return nil, err
	}
	w.result = newResult(&cfg)
	for i := range w.latency {
		w.latency[i] = hdrhistogram.New(1, 10_000_000, 3)
	}
	sum := 0.0
	for _, s := range cfg.TenantShares() {
		sum += s
		w.tenantCDF = append(w.tenantCDF, sum)
	}
	sum = 0
	for i := range cfg.Objects {
		sum += math.Pow(float64(i+1), -cfg.ObjectSkew)
		w.objectCDF = append(w.objectCDF, sum)
	}
	for i := range w.objectCDF {
		w.objectCDF[i] /= sum
	}
	sum = 0
	for i, c := range classModels { // a session asks for many parts: sessions are rarer by as much
		sum += c.share / (float64(c.minChunks+c.maxChunks) / 2)
		w.classCDF[i] = sum
	}
	newLink := func(kbS, pace, knee float64) int32 {
		w.links = append(w.links, link{capacity: kbS / 1e6, maxRate: pace / 1e6, knee: knee})
		return int32(len(w.links) - 1)
	}
	fillPace := 3 * responseKBPerSecond
	originKbS := cfg.originKBPerSecond()
	w.origin = w.addServer(simulatedServer{name: "o-00000001", kind: originServer, site: -1, streams: originKbS / responseKBPerSecond,
		maxActive: 1 << 30, link: newLink(originKbS, fillPace, cfg.originKnee())})
	for i := range cfg.Parents {
		w.addServer(simulatedServer{name: parentName(i), kind: parentServer, site: -1, hub: i % max(cfg.Hubs, 1),
			streams: cfg.streamsPerParent(), maxActive: int(8 * cfg.streamsPerParent()),
			link: newLink(cfg.streamsPerParent()*responseKBPerSecond, fillPace, 0), store: newLRU(27 * cfg.streamsPerParent() * responseKBPerSecond), fetches: map[uint64]int32{}})
	}
	for d := range cfg.Sites {
		w.siteLinks = append(w.siteLinks, newLink(cfg.siteLinkKBPerSecond(), fillPace, 0))
		w.cachesBySite = append(w.cachesBySite, nil)
		w.linkReports = append(w.linkReports, linkReport{})
		for range cfg.Hubs {
			if cfg.RemoteHubCapacityFactor > 0 {
				w.remoteHubLinks = append(w.remoteHubLinks, newLink(cfg.remoteHubKBPerSecond(), fillPace, 0))
			}
		}
		for range cfg.CachesPerSite {
			w.addCache(d, 0)
		}
		w.arrivalRandom = append(w.arrivalRandom, rand.New(rand.NewPCG(cfg.Seed, uint64(0xa11a+d))))
	}
	if cfg.RateLimitFactor > 0 {
		for _, s := range cfg.TenantShares() {
			w.rateLimits = append(w.rateLimits, cfg.RateLimitFactor*s*cfg.RequestsPerSecond/float64(cfg.Sites*cfg.RoutersPerSite)/1e6)
		}
	}
	for d := range cfg.Sites {
		for i := range cfg.RoutersPerSite {
			w.routers = append(w.routers, simulatedRouter{site: d, inFrontend: true, random: rand.New(rand.NewPCG(cfg.Seed, uint64(0x4011+1000*d+i)))})
			if cfg.MaxClockSkewMillis > 0 {
				w.routers[len(w.routers)-1].clockOffset = int64((2*w.miscRandom.Float64() - 1) * cfg.MaxClockSkewMillis * float64(millisecond))
			}
			if err := w.startRouter(int32(len(w.routers) - 1)); err != nil {
				return nil, err
			}
		}
		w.push(event{time: w.arrivalGap(d), kind: eventArrival, target: int32(d)})
		w.startRunningSessions(d)
	}
	w.prefill()
	w.scheduleChanges()
	for i, f := range cfg.Faults {
		w.push(event{time: int64(f.AtSeconds * float64(second)), kind: eventFault, target: int32(i)})
	}
	if f := cfg.Flood; f != nil {
		w.push(event{time: int64(f.StartSeconds * float64(second)), kind: eventFloodRequest})
	}
	return w, nil
}

func (w *World) push(e event) { w.queue.push(e) }

// Run plays the day to its end.
func (w *World) Run() Result {
	end := w.stopAt + 8*second
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

func (w *World) handle(e *event) {
	switch e.kind {
	case eventArrival:
		if w.now >= w.nextSampleAt && len(w.config.MigratedTenants) > 0 {
			w.nextSampleAt = w.now + sampleInterval
			w.recordMigrationSpread()
			w.sampleCells()
		}
		if w.now < w.stopAt {
			w.push(event{time: w.now + w.arrivalGap(int(e.target)), kind: eventArrival, target: e.target})
			w.clientArrives(int(e.target))
		}
	case eventNextChunk:
		w.requestNextChunk(e.target)
	case eventFloodRequest:
		w.floodRequest()
	case eventAtRouter:
		w.arriveAtRouter(e)
	case eventRouterTimer:
		if router := &w.routers[e.target]; router.running && router.generation == e.generation {
			w.stepRouter(e.target, routing.Event{Kind: routing.EventTimer, TimerToken: e.value})
		}
	case eventAtServer:
		if w.attempts[e.target].generation == e.generation {
			w.arriveAtServer(e.target)
		}
	case eventAtSource:
		if w.attempts[e.target].generation == e.generation {
			w.arriveAtSource(e.target)
		}
	case eventFillFailed:
		if w.attempts[e.target].generation == e.generation {
			w.fillFailed(e.target, e.value)
		}
	case eventAttemptOutcome:
		if w.attempts[e.target].generation == e.generation {
			w.attemptOutcome(e.target)
		}
	case eventAttemptTimeout:
		if w.attempts[e.target].generation == e.generation {
			w.dropAttempt(e.target, routing.OutcomeTimedOut)
		}
	case eventLinkDue:
		w.advanceLink(e.target)
	case eventFetchAtOrigin:
		if w.fetches[e.target].generation == e.generation {
			w.startFetchAtOrigin(e.target)
		}
	case eventAnswer:
		if w.requests[e.target].generation == e.generation {
			w.answerClient(e.target)
		}
	case eventClientGivesUp:
		if w.requests[e.target].generation == e.generation {
			w.clientGivesUp(e.target)
		}
	case eventClientRetry:
		w.sendRequest(e.target)
	case eventEndpointUpdate:
		if router := &w.routers[e.target]; router.running && router.generation == e.generation {
			w.updateEndpoints(e.target, int(e.value), false)
		}
	case eventFault:
		w.applyFault(e)
	case eventServerRestart:
		server := &w.servers[e.target]
		if server.status != "deregistered" {
			server.running, server.startedAt, server.recentWork, server.recentKB = true, w.now, nil, 0
			if server.store != nil {
				server.store = newLRU(server.store.capacityKB)
			}
			w.publishEndpoint(e.target)
		}
	case eventConfigChange:
		if router := &w.routers[e.target]; router.running && router.generation == e.generation {
			w.applyChange(router, int(e.value))
		}
	case eventFrontendUpdate:
		w.routers[e.target].inFrontend = e.value == 1
	case eventGossip:
		w.receiveGossip(e)
	case eventPurge:
		if router := &w.routers[e.target]; router.running && router.generation == e.generation {
			w.notifyPurge(e.target, int(e.value))
		}
	}
}

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

// sortedNames makes figures by name come out the same on every run.
func sortedNames[V any](m map[string]V) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}
