package emulator

import "spantack/routing"

// parentFetch is a chunk on its way from the origin to a parent. All attempts that want the chunk there may wait for
// it.
type parentFetch struct {
	generation uint32
	parent     int32
	key        uint64
	sizeKB     float64
	tenant     int32
	started    bool // the origin has begun to send
	producedAt int64
	waiters    []attemptRef
}

// attemptRef is an attempt that may have ended meanwhile.
type attemptRef struct {
	id         int32
	generation uint32
}

// isWaiting reports that an attempt still waits for a fetch.
func (w *World) isWaiting(ref attemptRef, fetchID int32) bool {
	attempt := &w.attempts[ref.id]
	return attempt.generation == ref.generation && attempt.fetch == fetchID
}

// joinFetch lets an attempt wait at a parent for a chunk from the origin. The first one to want it starts the fetch.
func (w *World) joinFetch(parent, id int32) {
	attempt := &w.attempts[id]
	key := w.chunkKey(id)
	fetchID, isUnderWay := w.servers[parent].fetches[key]
	if !isUnderWay || w.config.deployment().FetchesSeparately || w.isTooOld(fetchID, attempt) {
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

// isTooOld reports that what a fetch brings was produced before what an attempt may be served.
func (w *World) isTooOld(fetchID int32, attempt *serverAttempt) bool {
	fetch := &w.fetches[fetchID]
	return fetch.started && fetch.producedAt < w.minProducedAt(attempt, fetch.parent)
}

// startFetch sends a parent's request for a chunk to the origin.
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

// startFetchAtOrigin lets the origin begin to send, or fail. The parent passes on what it receives.
func (w *World) startFetchAtOrigin(fetchID int32) {
	fetch := &w.fetches[fetchID]
	if w.poisonKind(fetch.tenant) == PoisonOrigin {
		w.finishFetch(fetchID, func(id int32) { w.fillFailed(id, routing.OriginFailed) })
		return
	}
	w.result.originFill(w, fetch.sizeKB)
	over := w.servers[w.origin].link
	w.links[over].add(w.now, fetch.sizeKB, transfer{
		owner: fetchID, generation: fetch.generation, segment: segmentToParent,
	})
	w.scheduleLink(over)
	fetch.started = true
	fetch.producedAt = w.now
	for _, waiter := range fetch.waiters {
		if w.isWaiting(waiter, fetchID) {
			w.attempts[waiter.id].producedAt = w.now
			w.sendFrom(waiter.id, fetch.parent)
		}
	}
}

// fetchCompleted lets a parent store what it has fetched.
func (w *World) fetchCompleted(fetchID int32) {
	fetch := &w.fetches[fetchID]
	if parent := &w.servers[fetch.parent]; parent.running {
		parent.store.put(fetch.key, fetch.sizeKB, fetch.producedAt)
	}
	w.finishFetch(fetchID, w.completeIfDelivered)
}

// finishFetch frees a fetch's place and calls notify for each attempt that waits for it.
func (w *World) finishFetch(fetchID int32, notify func(id int32)) {
	fetch := &w.fetches[fetchID]
	fetch.generation++
	fetches := w.servers[fetch.parent].fetches
	if fetches[fetch.key] == fetchID { // and not that of a later one
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

// cancelIfAbandoned cancels a fetch that nobody waits for any more.
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
