package emulator

import (
	"fmt"

	"spantack/routing"
)

// serverKind tells edge caches, parents and the origin apart.
type serverKind uint8

const (
	cacheServer serverKind = iota
	parentServer
	originServer
)

// noSite is the site of a server that stands at none.
const noSite = -1

// Bounds of what a server takes, in multiples of its streams.
const (
	activePerStream = 8 // answers in flight
	fillsPerStream  = 5 // fills of an edge cache in flight
)

// simulatedServer is an edge cache, a parent or the origin. It keeps its place in World.servers when it is gone.
type simulatedServer struct {
	name      string
	kind      serverKind
	site      int // of an edge cache; else noSite
	hub       int // of a parent
	running   bool
	startedAt int64 // 0: long ago
	status    routing.EndpointStatus

	streams   float64 // responses that it sends at full rate at once
	maxActive int     // answers in flight that it takes
	active    int     // answers in flight
	fills     int     // of an edge cache, in flight
	link      int32   // over which it sends
	store     *lru    // nil: the origin

	fetches map[uint64]int32 // of a parent: fetches from the origin in flight, by chunk

	recentWork []receivedWork // within overloadWindow, while it warms up
	recentKB   float64        // sum of recentWork

	drainNoticeAt map[int32]int64 // when each router was told that it drains

	cell        int32 // by the endpoint list of cellVersion; -1: none
	cellVersion int
}

// receivedWork is an answer that a server was asked for.
type receivedWork struct {
	receivedAt int64
	sizeKB     float64
	router     int32
}

// addServer adds a server that is running and lists it.
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

// nameHashFactor spreads the numbers in servers' names, as names are hashed to place objects.
const nameHashFactor = 2654435761

func parentName(i int) string { return fmt.Sprintf("p-%08x", uint32(i+1)*nameHashFactor) }

// addCache adds an edge cache to a site; startedAt is 0 for one that has long been warm.
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

// findServer returns the newest server of a name, or -1.
func (w *World) findServer(name string) int32 {
	for i := len(w.servers) - 1; i >= 0; i-- {
		if w.servers[i].name == name {
			return int32(i)
		}
	}
	return -1
}

// serverNamed is findServer, and remembers what it found.
func (w *World) serverNamed(name string) int32 {
	if id, known := w.serversByName[name]; known {
		return id
	}
	id := w.findServer(name)
	w.serversByName[name] = id
	return id
}

// publishEndpoint adds a server's state to the endpoint list. Each router has the update later, and in order.
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

// endpoint returns a server's entry of the endpoint list.
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

// killServer ends a server's process: its store is empty, its attempts and the fills from it break.
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

// restartServer starts a server again, cold and with an empty store, unless it was deregistered meanwhile.
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
