package emulator

// Depot caches: what they hold, refuse and fill, and what pushes a cold one over.

import (
	"fmt"
	"math"

	"spantack/routing"
)

func (w *World) addServer(server simulatedServer) int32 {
	server.running, server.status, server.drainNoticeAt, server.cellVersion = true, "healthy", map[int32]int64{}, -1
	w.servers = append(w.servers, server)
	id := int32(len(w.servers) - 1)
	w.publishEndpoint(id)
	return id
}

func (w *World) addCache(depot int, cameUp int64) int32 {
	channels := float64(w.config.StreamsPerCache)
	w.links = append(w.links, link{capacity: channels * responseKBPerSecond / 1e6, maxRate: responseKBPerSecond / 1e6})
	n := uint32(len(w.servers)) * 2654435761
	id := w.addServer(simulatedServer{name: fmt.Sprintf("s-%08x", n), site: depot, startedAt: cameUp, streams: channels, maxActive: 8 * w.config.StreamsPerCache,
		link: int32(len(w.links) - 1), store: newLRU(w.config.CacheRetentionSeconds * channels * responseKBPerSecond)})
	w.cachesBySite[depot] = append(w.cachesBySite[depot], id)
	return id
}

func (w *World) newestServer(name string) int32 {
	for i := len(w.servers) - 1; i >= 0; i-- {
		if w.servers[i].name == name {
			return int32(i)
		}
	}
	return -1
}

// serverNamed finds a server; the newest of a name.
func (w *World) serverNamed(name string) int32 {
	if id, known := w.result.serversByName[name]; known {
		return id
	}
	id := w.newestServer(name)
	w.result.serversByName[name] = id
	return id
}

func (w *World) chunkKey(id int32) uint64 {
	operation := &w.operations[w.requests[w.attempts[id].request].operation]
	return operation.key ^ uint64(operation.chunk)<<36
}

func (w *World) storeFill(server *simulatedServer, id int32) {
	if server.store != nil && w.operations[w.requests[w.attempts[id].request].operation].class != classReport {
		server.store.put(w.chunkKey(id), w.sizeKB(id), w.attempts[id].producedAt)
	}
}

// minProducedAt is when a copy must have been made to do for an attempt.
func (w *World) minProducedAt(attempt *serverAttempt, server int32) int64 {
	least := int64(math.MinInt64)
	if len(w.purges) > 0 {
		least = w.purgedBefore(server, purgeGroup(&w.operations[w.requests[attempt.request].operation]))
	}
	if attempt.maxAge > 0 {
		least = max(least, w.now-attempt.maxAge)
	}
	return least
}

// acceptsWarmUpLoad books work at a server that started lately, and pushes it over if it is too much.
func (w *World) acceptsWarmUpLoad(id int32, kb float64, router int32) bool {
	server := &w.servers[id]
	from, span, mult := cacheInitialCapacity, int64(cacheWarmUpTime), cacheOverloadMultiple
	if server.kind == parentServer {
		from, span, mult = parentInitialCapacity, int64(parentWarmUpTime), parentOverloadMultiple
	}
	age := w.now - server.startedAt
	if server.startedAt == 0 || server.kind == originServer || age > span {
		return true
	}
	for len(server.recentWork) > 0 && server.recentWork[0].receivedAt < w.now-overloadWindow {
		server.recentKB -= server.recentWork[0].sizeKB
		server.recentWork = server.recentWork[1:]
	}
	server.recentWork = append(server.recentWork, receivedWork{w.now, kb, router})
	server.recentKB += kb
	frac := from + (1-from)*float64(age)/float64(span)
	most := mult * frac * server.streams * responseKBPerSecond * float64(overloadWindow) / 1e6
	w.recordWarmUpLoad(server, router, most)
	if server.recentKB <= most {
		return true
	}
	w.result.violation("cold server pushed over")
	w.killServer(id)
	w.push(event{time: w.now + overloadRestartDelay, kind: eventServerRestart, target: id})
	return false
}

// arriveAtServer is an attempt's arrival.
func (w *World) arriveAtServer(id int32) {
	attempt := &w.attempts[id]
	server := &w.servers[attempt.server]
	request := &w.requests[attempt.request]
	if !server.running {
		w.endAttempt(id, routing.OutcomeConnectionRefused, 0)
		return
	}
	if request.attemptsAtServers++; request.attemptsAtServers > 1 {
		w.result.violation("two attempts of a request at servers")
	}
	attempt.atServer = true
	operation := &w.operations[request.operation]
	if operation.release && !w.config.Release.ReplacesObjects && server.kind == cacheServer && w.isHarmful(operation) {
		w.endAttempt(id, routing.OutcomeError, 0)
		return
	}
	if bad := w.poisonKind(operation); bad == "err" || bad == "spoilt" {
		if server.kind == cacheServer {
			if bad == "err" {
				w.endAttempt(id, routing.OutcomeError, 0)
			} else {
				w.endAttempt(id, routing.OutcomeConnectionReset, 0)
			}
			return
		}
	} else if bad == "root" && server.kind == originServer {
		w.endAttempt(id, routing.OutcomeError, 10)
		return
	}
	if server.active >= server.maxActive {
		w.endAttempt(id, routing.OutcomeRejected, 0)
		return
	}
	if !w.acceptsWarmUpLoad(attempt.server, operation.sizeKB, request.router) {
		return
	}
	server.active++
	attempt.countedActive = true
	if server.kind == originServer {
		attempt.producedAt = w.now
		w.result.originFill(w, operation.sizeKB)
		w.sendFrom(id, attempt.server)
		return
	}
	made, held := server.store.get(w.chunkKey(id), w.minProducedAt(attempt, attempt.server))
	held = held && operation.class != classReport // those run at the head office, whichever way they take
	w.result.cacheLookup(w, server, operation, held)
	switch {
	case held && server.kind == cacheServer:
		attempt.producedAt, attempt.cacheStatus = made, 1
		w.startTransfer(id, server.link, operation.sizeKB, segmentToRouter)
	case held:
		attempt.producedAt, attempt.cacheStatus = made, 1
		w.sendFrom(id, attempt.server)
	case attempt.source < 0:
		w.endAttempt(id, routing.OutcomeMiss, 0)
	case server.kind == parentServer:
		attempt.cacheStatus = 3
		w.joinFetch(attempt.server, id)
	case server.fills >= 5*int(server.streams):
		w.endAttempt(id, routing.OutcomeRejected, 9)
	default:
		server.fills++
		attempt.countedFilling, attempt.fillStartedAt = true, w.now
		w.push(event{time: w.now + w.networkDelay(attempt.site, &w.servers[attempt.source]), kind: eventAtSource, target: id, generation: attempt.generation})
	}
}
