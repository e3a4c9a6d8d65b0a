package emulator

// What caches fill from: area caches, and the head office behind them.

import (
	"spantack/routing"
)

// cancelIfAbandoned ends a fetch that nobody waits for any more.
func (w *World) cancelIfAbandoned(fetchID int32) {
	fetch := &w.fetches[fetchID]
	for _, r := range fetch.waiters {
		if attempt := &w.attempts[r.id]; attempt.generation == r.generation && attempt.fetch == fetchID {
			return
		}
	}
	if fetch.started {
		w.removeTransfer(w.servers[w.origin].link)
	}
	w.finishFetch(fetchID, func(int32) {})
}

// arriveAtSource is a fill's arrival at its source.
func (w *World) arriveAtSource(id int32) {
	attempt := &w.attempts[id]
	server := &w.servers[attempt.source]
	operation := &w.operations[w.requests[attempt.request].operation]
	say := func(note int64) {
		w.push(event{time: w.now + w.networkDelay(attempt.site, server), kind: eventFillFailed, target: id, generation: attempt.generation, value: note})
	}
	switch {
	case !server.running:
		say(7)
		return
	case server.active >= server.maxActive:
		say(6)
		return
	}
	if !w.acceptsWarmUpLoad(attempt.source, operation.sizeKB, w.requests[attempt.request].router) {
		if w.attempts[id].generation == attempt.generation {
			say(7)
		}
		return
	}
	if server.kind == originServer {
		if w.poisonKind(operation) == "root" {
			say(10)
			return
		}
		server.active++
		attempt.countedAtSource, attempt.cacheStatus, attempt.producedAt = true, 3, w.now
		w.result.originFill(w, operation.sizeKB)
		w.sendFrom(id, attempt.source)
		return
	}
	made, held := server.store.get(w.chunkKey(id), w.minProducedAt(attempt, attempt.source))
	if !held && attempt.cachedOnly {
		say(8)
		return
	}
	server.active++
	attempt.countedAtSource = true
	if held {
		attempt.cacheStatus, attempt.producedAt = 2, made
		w.sendFrom(id, attempt.source)
		return
	}
	attempt.cacheStatus = 3
	w.joinFetch(attempt.source, id)
}

// joinFetch waits at an area cache for a part from the head office; the first to want it sets it on its way.
func (w *World) joinFetch(parent, id int32) {
	attempt := &w.attempts[id]
	server := &w.servers[parent]
	key := w.chunkKey(id)
	fetchID, known := server.fetches[key]
	if !known || w.config.deployment().FetchesSeparately || w.fetches[fetchID].started && w.fetches[fetchID].producedAt < w.minProducedAt(attempt, parent) { // also where what is on its way is older than will do
		fetchID = allocate(&w.fetches, &w.freeFetches)
		fetch := &w.fetches[fetchID]
		*fetch = parentFetch{generation: fetch.generation + 1, parent: parent, key: key, sizeKB: w.sizeKB(id), tenant: w.operations[w.requests[attempt.request].operation].tenant, waiters: fetch.waiters[:0]}
		server.fetches[key] = fetchID
		w.push(event{time: w.now + w.config.originDelay() + originServiceTime, kind: eventFetchAtOrigin, target: fetchID, generation: fetch.generation})
	}
	attempt.fetch = fetchID
	w.fetches[fetchID].waiters = append(w.fetches[fetchID].waiters, attemptRef{id, attempt.generation})
	if w.fetches[fetchID].started {
		attempt.producedAt = w.fetches[fetchID].producedAt
		w.sendFrom(id, parent)
	}
}

func (w *World) startFetchAtOrigin(fetchID int32) {
	fetch := &w.fetches[fetchID]
	if w.poisonKind(&clientOperation{tenant: fetch.tenant}) == "root" {
		w.finishFetch(fetchID, func(id int32) { w.fillFailed(id, 10) })
		return
	}
	w.result.originFill(w, fetch.sizeKB)
	o := &w.servers[w.origin]
	w.links[o.link].add(w.now, fetch.sizeKB, transfer{owner: fetchID, generation: fetch.generation, segment: segmentToParent})
	w.scheduleLink(o.link)
	fetch.started, fetch.producedAt = true, w.now
	for _, r := range fetch.waiters {
		if attempt := &w.attempts[r.id]; attempt.generation == r.generation && attempt.fetch == fetchID {
			attempt.producedAt = w.now
			w.sendFrom(r.id, fetch.parent)
		}
	}
}

// finishFetch takes a fetch off the books and tells those who wait for it.
func (w *World) finishFetch(fetchID int32, tell func(id int32)) {
	fetch := &w.fetches[fetchID]
	fetch.generation++
	if fetches := w.servers[fetch.parent].fetches; fetches[fetch.key] == fetchID { // and not a later one
		delete(fetches, fetch.key)
	}
	waiters := fetch.waiters
	fetch.waiters = nil
	for _, r := range waiters {
		if attempt := &w.attempts[r.id]; attempt.generation == r.generation && attempt.fetch == fetchID {
			attempt.fetch = -1
			tell(r.id)
		}
	}
	w.freeFetches = append(w.freeFetches, fetchID)
}

func (w *World) fetchCompleted(fetchID int32) {
	fetch := &w.fetches[fetchID]
	server := &w.servers[fetch.parent]
	if server.running {
		server.store.put(fetch.key, fetch.sizeKB, fetch.producedAt)
	}
	w.finishFetch(fetchID, w.completeIfDelivered)
}

// fillFailed ends an attempt whose source gave nothing.
func (w *World) fillFailed(id int32, note int64) {
	attempt := &w.attempts[id]
	attempt.upstreamWait = w.now - attempt.fillStartedAt
	switch note {
	case 6:
		w.endAttempt(id, routing.OutcomeRejected, note)
	case 8:
		w.endAttempt(id, routing.OutcomeMiss, note)
	default:
		w.endAttempt(id, routing.OutcomeError, note)
	}
}
