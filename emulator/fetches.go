package emulator

import "spantack/routing"

// parentFetch is the fetch of a chunk by a parent from the origin. Several attempts may wait for one fetch.
type parentFetch struct {
	generation uint32
	parent     int32
	key        uint64
	sizeKB     float64
	tenant     int32
	started    bool // the origin has started to send
	producedAt int64
	waiters    []attemptRef
}

// attemptRef refers to an attempt that may already have ended.
type attemptRef struct {
	id         int32
	generation uint32
}

// isWaiting reports whether an attempt still waits for a fetch.
func (w *World) isWaiting(ref attemptRef, fetchID int32) bool {
	attempt := &w.attempts[ref.id]
	return attempt.generation == ref.generation && attempt.fetch == fetchID
}

// joinFetch makes an attempt wait at a parent for a chunk from the origin. It starts a fetch if the attempt can use
// none of those in flight.
func (w *World) joinFetch(parent, id int32) {
	attempt := &w.attempts[id]
	key := w.chunkKey(id)
	fetchID, isInFlight := w.servers[parent].fetches[key]
	if !isInFlight || w.config.deployment().FetchesSeparately || w.isTooOld(fetchID, attempt) {
		fetchID = w.startFetch(parent, id, key)
	}
	attempt.fetch = fetchID
	fetch := &w.fetches[fetchID]
	fetch.waiters = append(fetch.waiters, attemptRef{id, attempt.generation})
	if fetch.started {
		attempt.producedAt = fetch.producedAt
		w.sendFrom(id, parent)
	}
}

// isTooOld reports whether a fetch returns a copy that was produced too early to serve an attempt.
func (w *World) isTooOld(fetchID int32, attempt *serverAttempt) bool {
	fetch := &w.fetches[fetchID]
	return fetch.started && fetch.producedAt < w.minProducedAt(attempt, fetch.parent)
}

// startFetch sends a parent's request for a chunk to the origin and returns the index of the fetch.
func (w *World) startFetch(parent, attemptID int32, key uint64) int32 {
	id := allocate(&w.fetches, &w.freeFetches)
	fetch := &w.fetches[id]
	*fetch = parentFetch{
		generation: fetch.generation + 1,
		parent:     parent,
		key:        key,
		sizeKB:     w.sizeKB(attemptID),
		tenant:     w.operationOf(&w.attempts[attemptID]).tenant,
		waiters:    fetch.waiters[:0],
	}
	w.servers[parent].fetches[key] = id
	w.push(event{
		time:       w.now + w.config.originDelay() + originServiceTime,
		kind:       eventFetchAtOrigin,
		target:     id,
		generation: fetch.generation,
	})
	return id
}

// startFetchAtOrigin handles the arrival of a fetch at the origin. The origin starts to send, or the fetch fails. The
// parent forwards the data to the waiting attempts while it still receives data.
func (w *World) startFetchAtOrigin(fetchID int32) {
	fetch := &w.fetches[fetchID]
	if w.poisonKind(fetch.tenant) == PoisonOrigin {
		w.finishFetch(fetchID, func(id int32) { w.fillFailed(id, routing.OriginFailed) })
		return
	}
	w.result.recordOriginFill(w, fetch.sizeKB)
	linkID := w.servers[w.origin].link
	w.links[linkID].add(w.now, fetch.sizeKB, transfer{
		owner: fetchID, generation: fetch.generation, segment: segmentToParent,
	})
	w.scheduleLink(linkID)
	fetch.started = true
	fetch.producedAt = w.now
	for _, waiter := range fetch.waiters {
		if w.isWaiting(waiter, fetchID) {
			w.attempts[waiter.id].producedAt = w.now
			w.sendFrom(waiter.id, fetch.parent)
		}
	}
}

// fetchCompleted stores a fetched chunk at the parent and ends the fetch.
func (w *World) fetchCompleted(fetchID int32) {
	fetch := &w.fetches[fetchID]
	if parent := &w.servers[fetch.parent]; parent.running {
		parent.store.put(fetch.key, fetch.sizeKB, fetch.producedAt)
	}
	w.finishFetch(fetchID, w.completeIfDelivered)
}

// finishFetch ends a fetch, calls notify for each attempt that waits for it and frees its slot in World.fetches.
func (w *World) finishFetch(fetchID int32, notify func(id int32)) {
	fetch := &w.fetches[fetchID]
	fetch.generation++
	fetches := w.servers[fetch.parent].fetches
	if fetches[fetch.key] == fetchID { // a later fetch may have replaced the entry
		delete(fetches, fetch.key)
	}
	waiters := fetch.waiters
	fetch.waiters = nil
	for _, waiter := range waiters {
		if w.isWaiting(waiter, fetchID) {
			w.attempts[waiter.id].fetch = -1
			notify(waiter.id)
		}
	}
	w.freeFetches = append(w.freeFetches, fetchID)
}

// cancelIfAbandoned cancels a fetch if no attempt waits for it any more.
func (w *World) cancelIfAbandoned(fetchID int32) {
	fetch := &w.fetches[fetchID]
	for _, waiter := range fetch.waiters {
		if w.isWaiting(waiter, fetchID) {
			return
		}
	}
	if fetch.started {
		w.removeTransfer(w.servers[w.origin].link)
	}
	w.finishFetch(fetchID, func(int32) {})
}
