package emulator

// Links share their capacity among transfers; an attempt's data runs over all on its way at once.

import (
	"spantack/routing"
)

// networkDelay is the time from a router or a cache of a depot to a server.
func (w *World) networkDelay(depot int32, server *simulatedServer) int64 {
	switch {
	case server.kind == cacheServer:
		return cacheDelay
	case server.kind == originServer:
		return hubDelay + w.config.originDelay()
	case w.config.Hubs > 0 && server.hub != int(depot)%w.config.Hubs:
		return hubDelay + remoteHubExtraDelay
	}
	return hubDelay
}

// removeTransfers takes an attempt's data off all links.
func (w *World) removeTransfers(attempt *serverAttempt) {
	attempt.activeTransfers = 0
	for i, over := range attempt.links {
		if over >= 0 {
			attempt.links[i] = -1
			w.removeTransfer(over)
		}
	}
}

// removeTransfer takes a transfer off a link before its end.
func (w *World) removeTransfer(id int32) {
	l := &w.links[id]
	l.advance(w.now)
	l.active--
	w.scheduleLink(id)
}

// scheduleLink makes sure of an event by the time that a link's next transfer ends.
func (w *World) scheduleLink(id int32) {
	l := &w.links[id]
	for len(l.transfers) > 0 && !w.isWanted(&l.transfers[0]) {
		l.popTransfer()
	}
	if next := l.nextEnd(); next != 0 && (l.dueAt == 0 || next < l.dueAt) {
		l.dueAt = next
		w.push(event{time: next, kind: eventLinkDue, target: id})
	}
}

// isWanted reports that a transfer's owner is still there.
func (w *World) isWanted(t *transfer) bool {
	if t.segment == segmentToParent {
		return w.fetches[t.owner].generation == t.generation
	}
	tr := &w.attempts[t.owner]
	return tr.generation == t.generation && tr.links[t.segment] >= 0
}

func (w *World) startTransfer(id, over int32, kb float64, st segment) {
	attempt := &w.attempts[id]
	attempt.links[st] = over
	attempt.activeTransfers++
	w.links[over].add(w.now, kb, transfer{owner: id, generation: attempt.generation, segment: st})
	w.scheduleLink(over)
}

func (w *World) advanceLink(id int32) {
	l := &w.links[id]
	if w.now < l.dueAt {
		return
	}
	l.dueAt = 0
	l.advance(w.now)
	for len(l.transfers) > 0 {
		if !w.isWanted(&l.transfers[0]) {
			l.popTransfer()
			continue
		}
		if l.transfers[0].endKB > l.progressKB+1e-9 {
			break
		}
		t := l.popTransfer()
		l.active--
		w.transferEnded(t, id)
	}
	w.scheduleLink(id)
}

func (w *World) sizeKB(id int32) float64 {
	return w.operations[w.requests[w.attempts[id].request].operation].sizeKB
}

// transferEnded is a transfer that has ended.
func (w *World) transferEnded(tr transfer, over int32) {
	if tr.segment == segmentToParent {
		w.fetchCompleted(tr.owner)
		return
	}
	id := tr.owner
	attempt := &w.attempts[id]
	attempt.links[tr.segment] = -1
	attempt.activeTransfers--
	server := &w.servers[attempt.server]
	switch {
	case tr.segment == segmentFromUpstream && attempt.countedAtSource:
		attempt.countedAtSource = false
		w.servers[attempt.source].active--
		w.result.fillCompleted(w, attempt, w.sizeKB(id))
	case tr.segment == segmentIntoSite && attempt.countedFilling:
		attempt.countedFilling = false
		server.fills--
		w.storeFill(server, id)
	}
	w.completeIfDelivered(id)
}

// completeIfDelivered ends an attempt whose data has come by all its links.
func (w *World) completeIfDelivered(id int32) {
	attempt := &w.attempts[id]
	if attempt.activeTransfers > 0 || attempt.fetch >= 0 {
		return
	}
	if attempt.fillStartedAt > 0 { // what the answer took beyond its sending
		attempt.upstreamWait = max(w.now-attempt.fillStartedAt-int64(w.sizeKB(id)/responseKBPerSecond*float64(second)), 0)
	}
	if operation := &w.operations[w.requests[attempt.request].operation]; operation.release && w.isNewVersion(attempt.producedAt) && w.isHarmful(operation) {
		w.endAttempt(id, routing.OutcomeError, 0)
		return
	}
	w.endAttempt(id, routing.OutcomeServed, attempt.cacheStatus)
}

// sendFrom sets an attempt's data on its way from a source to the router, over all that lies between.
func (w *World) sendFrom(id, from int32) {
	attempt := &w.attempts[id]
	kb, server := w.sizeKB(id), &w.servers[attempt.server]
	w.startTransfer(id, w.servers[from].link, kb, segmentFromUpstream)
	depot := w.routers[w.requests[attempt.request].router].site
	w.recordCellFill(attempt, depot, kb)
	w.startTransfer(id, w.siteLinks[depot], kb, segmentIntoSite)
	if src := &w.servers[from]; src.kind == parentServer && w.remoteHubLinks != nil && src.hub != depot%w.config.Hubs {
		w.startTransfer(id, w.remoteHubLinks[depot*w.config.Hubs+src.hub], kb, segmentFromRemoteHub)
	}
	if server.kind == cacheServer {
		w.startTransfer(id, server.link, kb, segmentToRouter)
	}
}
