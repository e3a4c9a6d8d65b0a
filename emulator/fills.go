package emulator

import (
	"math"

	"spantack/routing"
)

// sizeKB returns the size of an attempt's chunk in KB.
func (w *World) sizeKB(id int32) float64 { return w.operationOf(&w.attempts[id]).sizeKB }

// chunkKey returns the key under which caches store an attempt's chunk.
func (w *World) chunkKey(id int32) uint64 {
	operation := w.operationOf(&w.attempts[id])
	return chunkKey(operation.key, operation.chunk)
}

// storeFill stores an attempt's chunk at its server after a fill. Responses of the report class are not stored.
func (w *World) storeFill(server *simulatedServer, id int32) {
	attempt := &w.attempts[id]
	if server.store != nil && w.operationOf(attempt).class != classReport {
		server.store.put(w.chunkKey(id), w.sizeKB(id), attempt.producedAt)
	}
}

// minProducedAt returns the earliest production time of copies at a server that may serve an attempt. The server has
// purged earlier copies, or they are older than the attempt's maximum age.
func (w *World) minProducedAt(attempt *serverAttempt, server int32) int64 {
	earliest := int64(math.MinInt64)
	if len(w.purges) > 0 {
		earliest = w.purgedBefore(server, purgeGroup(w.operationOf(attempt)))
	}
	if attempt.maxAge > 0 {
		earliest = max(earliest, w.now-attempt.maxAge)
	}
	return earliest
}

// arriveAtSource handles the arrival of a fill at its source, which is a parent or the origin.
func (w *World) arriveAtSource(id int32) {
	attempt := &w.attempts[id]
	source := &w.servers[attempt.source]
	operation := w.operationOf(attempt)
	if !source.running {
		w.pushFillFailed(id, routing.SourceUnreachable)
		return
	}
	if source.active >= source.maxActive {
		w.pushFillFailed(id, routing.SourceRejected)
		return
	}
	if !w.addWarmUpLoad(attempt.source, operation.sizeKB, w.requests[attempt.request].router) {
		w.pushFillFailed(id, routing.SourceUnreachable)
		return
	}
	if source.kind == originServer {
		w.fillFromOrigin(id, source)
		return
	}
	w.fillFromParent(id, source)
}

func (w *World) fillFromOrigin(id int32, origin *simulatedServer) {
	attempt := &w.attempts[id]
	if w.poisonKind(w.operationOf(attempt).tenant) == PoisonOrigin {
		w.pushFillFailed(id, routing.OriginFailed)
		return
	}
	origin.active++
	attempt.countedAtSource = true
	attempt.cacheStatus = routing.FilledFromOrigin
	w.answerFromOrigin(id, attempt.source)
}

func (w *World) fillFromParent(id int32, parent *simulatedServer) {
	attempt := &w.attempts[id]
	producedAt, isHit := parent.store.get(w.chunkKey(id), w.minProducedAt(attempt, attempt.source))
	if !isHit && attempt.cachedOnly {
		w.pushFillFailed(id, routing.SourceMissed)
		return
	}
	parent.active++
	attempt.countedAtSource = true
	if isHit {
		attempt.cacheStatus = routing.FilledFromSource
		attempt.producedAt = producedAt
		w.sendFrom(id, attempt.source)
		return
	}
	attempt.cacheStatus = routing.FilledFromOrigin
	w.joinFetch(attempt.source, id)
}

// pushFillFailed schedules the arrival of a fill failure at the attempt's server, after the network delay from the
// source.
func (w *World) pushFillFailed(id int32, status routing.CacheStatus) {
	attempt := &w.attempts[id]
	w.push(event{
		time:       w.now + w.networkDelay(attempt.site, &w.servers[attempt.source]),
		kind:       eventFillFailed,
		target:     id,
		generation: attempt.generation,
		value:      int64(status),
	})
}

// fillFailed ends an attempt whose fill failed.
func (w *World) fillFailed(id int32, status routing.CacheStatus) {
	attempt := &w.attempts[id]
	attempt.upstreamWait = w.now - attempt.fillStartedAt
	outcome := routing.OutcomeError
	switch status {
	case routing.SourceRejected:
		outcome = routing.OutcomeRejected
	case routing.SourceMissed:
		outcome = routing.OutcomeMiss
	}
	w.endAttempt(id, outcome, status)
}
