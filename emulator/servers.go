package emulator

import (
	"fmt"

	"spantack/routing"
)

// serverKind distinguishes edge caches, parents and the origin.
type serverKind uint8

const (
	cacheServer serverKind = iota
	parentServer
	originServer
)

// noSite is the site of servers that are not at a site: parents and the origin.
const noSite = -1

// Limits of a server, as multiples of its streams.
const (
	activePerStream = 8 // responses in progress
	fillsPerStream  = 5 // fills of an edge cache in progress
)

// simulatedServer is an edge cache, a parent or the origin. Its slot in World.servers is not reused when it is removed.
type simulatedServer struct {
	name      string
	kind      serverKind
	site      int // site of an edge cache, otherwise noSite
	hub       int // hub of a parent
	running   bool
	startedAt int64 // 0: before the run, already warm
	status    routing.EndpointStatus

	streams   float64 // concurrent responses that it can send at full rate
	maxActive int     // maximum number of responses in progress
	active    int     // responses in progress
	fills     int     // fills of an edge cache in progress
	link      int32   // link that it sends over
	store     *lru    // nil for the origin

	fetches map[uint64]int32 // for a parent: fetches from the origin in progress, by chunk

	recentWork []receivedWork // work received within overloadWindow, while it warms up
	recentKB   float64        // sum of recentWork

	drainNoticeAt map[int32]int64 // time of the drain notice, by router

	cell        int32 // cell according to the endpoint list of cellVersion; -1: none
	cellVersion int
}

// receivedWork is a response requested from a server.
type receivedWork struct {
	receivedAt int64
	sizeKB     float64
	router     int32
}

// addServer adds a running server to the world and the endpoint list, and returns its index.
func (w *World) addServer(server simulatedServer) int32 {
	server.running = true
	server.status = routing.EndpointHealthy
	server.drainNoticeAt = map[int32]int64{}
	server.cellVersion = -1
	w.servers = append(w.servers, server)
	id := int32(len(w.servers) - 1)
	w.publishEndpoint(id)
	return id
}

// nameHashFactor spreads the numbers in server names over 32 bits. Routers place objects by hashes of the names.
const nameHashFactor = 2654435761

func parentName(i int) string { return fmt.Sprintf("p-%08x", uint32(i+1)*nameHashFactor) }

// addCache adds an edge cache to a site and returns its index. A startedAt of 0 means that the cache is already warm.
func (w *World) addCache(site int, startedAt int64) int32 {
	streams := float64(w.config.StreamsPerCache)
	kbPerSecond := streams * responseKBPerSecond
	id := w.addServer(simulatedServer{
		name:      fmt.Sprintf("s-%08x", uint32(len(w.servers))*nameHashFactor),
		kind:      cacheServer,
		site:      site,
		startedAt: startedAt,
		streams:   streams,
		maxActive: activePerStream * w.config.StreamsPerCache,
		link:      w.addLink(kbPerSecond, responseKBPerSecond, 0),
		store:     newLRU(w.config.CacheRetentionSeconds * streams * responseKBPerSecond),
	})
	w.cachesBySite[site] = append(w.cachesBySite[site], id)
	return id
}

// findServer returns the index of the newest server with the given name, or -1.
func (w *World) findServer(name string) int32 {
	for i := len(w.servers) - 1; i >= 0; i-- {
		if w.servers[i].name == name {
			return int32(i)
		}
	}
	return -1
}

// serverNamed is findServer with a cache of the results.
func (w *World) serverNamed(name string) int32 {
	if id, known := w.serversByName[name]; known {
		return id
	}
	id := w.findServer(name)
	w.serversByName[name] = id
	return id
}

// publishEndpoint adds a server's current state to the endpoint list. Each running router receives the updates in
// order, each within maxEndpointUpdateDelay.
func (w *World) publishEndpoint(id int32) {
	w.endpointChanges = append(w.endpointChanges, w.endpoint(&w.servers[id]))
	w.changedServers = append(w.changedServers, id)
	for r := range w.routers {
		router := &w.routers[r]
		if !router.running {
			continue
		}
		at := w.now + drawDelay(w.miscRandom, maxEndpointUpdateDelay)
		router.endpointUpdateAt = max(router.endpointUpdateAt, at)
		w.push(event{
			time:       router.endpointUpdateAt,
			kind:       eventEndpointUpdate,
			target:     int32(r),
			generation: router.generation,
			value:      int64(len(w.endpointChanges)),
		})
	}
}

// endpoint returns a server's entry for the endpoint list.
func (w *World) endpoint(server *simulatedServer) routing.Endpoint {
	endpoint := routing.Endpoint{
		Server:    server.name,
		Zone:      hubZone,
		Kind:      parentKind,
		Status:    server.status,
		Weight:    server.streams,
		StartedAt: server.startedAt,
	}
	switch server.kind {
	case cacheServer:
		endpoint.Zone = zoneName(server.site)
		endpoint.Kind = cacheKind
	case originServer:
		endpoint.Kind = originKind
	}
	return endpoint
}

// killServer crashes a server. The attempts at the server and the fills from it fail, and its store is emptied.
func (w *World) killServer(id int32) {
	server := &w.servers[id]
	server.running = false
	for i := range w.attempts {
		attempt := &w.attempts[i]
		request := &w.requests[attempt.request]
		if request.generation != attempt.requestGeneration || request.attempt != int32(i) {
			continue
		}
		switch {
		case attempt.server == id && (attempt.atServer || attempt.countedActive):
			w.endAttempt(int32(i), routing.OutcomeConnectionReset, routing.CacheStatusUnknown)
		case attempt.source == id && attempt.countedAtSource:
			attempt.countedAtSource = false
			server.active--
			w.removeTransfers(attempt)
			attempt.fetch = -1
			w.pushFillFailed(int32(i), routing.SourceUnreachable)
		}
	}
	server.emptyStore()
}

func (s *simulatedServer) emptyStore() {
	if s.store != nil {
		s.store = newLRU(s.store.capacityKB)
	}
}

// restartServer restarts a server, cold and with an empty store, unless it was removed from the endpoint list
// meanwhile.
func (w *World) restartServer(id int32) {
	server := &w.servers[id]
	if server.status == routing.EndpointRemoved {
		return
	}
	server.running = true
	server.startedAt = w.now
	server.recentWork = nil
	server.recentKB = 0
	server.emptyStore()
	w.publishEndpoint(id)
}
