package emulator

import "spantack/routing"

// segment is a part of the path of a transfer. An attempt's data is on all of its segments concurrently, as servers
// forward data while they receive it. The response is complete when the transfer on the slowest segment has ended.
type segment uint8

const (
	segmentToRouter      segment = iota // from an edge cache to the router
	segmentFromUpstream                 // from a parent or the origin, over its own link
	segmentFromRemoteHub                // over the link from a remote hub
	segmentIntoSite                     // over the link into the site
	segmentToParent                     // from the origin to a parent, for a fetch
)

// attemptSegments is the number of segments that an attempt's own data can use: all but segmentToParent.
const attemptSegments = int(segmentIntoSite) + 1

// networkDelay returns the one-way delay between a router or an edge cache of a site and a server.
func (w *World) networkDelay(site int32, server *simulatedServer) int64 {
	switch {
	case server.kind == cacheServer:
		return cacheDelay
	case server.kind == originServer:
		return hubDelay + w.config.originDelay()
	case w.isRemoteHub(int(site), server):
		return hubDelay + remoteHubExtraDelay
	}
	return hubDelay
}

// isRemoteHub reports whether a parent is at a hub that is not near the site.
func (w *World) isRemoteHub(site int, parent *simulatedServer) bool {
	return w.config.Hubs > 0 && parent.hub != site%w.config.Hubs
}

// startTransfer starts a transfer of an attempt's data on a link.
func (w *World) startTransfer(id, linkID int32, sizeKB float64, part segment) {
	attempt := &w.attempts[id]
	attempt.links[part] = linkID
	attempt.activeTransfers++
	w.links[linkID].add(w.now, sizeKB, transfer{owner: id, generation: attempt.generation, segment: part})
	w.scheduleLink(linkID)
}

// removeTransfers removes an attempt's transfers from all links.
func (w *World) removeTransfers(attempt *serverAttempt) {
	attempt.activeTransfers = 0
	for i, linkID := range attempt.links {
		if linkID >= 0 {
			attempt.links[i] = -1
			w.removeTransfer(linkID)
		}
	}
}

// removeTransfer removes a transfer from a link before the transfer has ended. Its heap entry is removed lazily: when
// it is at the top of the heap, it is discarded because isWanted returns false for it.
func (w *World) removeTransfer(linkID int32) {
	l := &w.links[linkID]
	l.advance(w.now)
	l.active--
	w.scheduleLink(linkID)
}

// scheduleLink ensures that an event is scheduled no later than the end of a link's next transfer.
func (w *World) scheduleLink(id int32) {
	l := &w.links[id]
	for len(l.transfers) > 0 && !w.isWanted(&l.transfers[0]) {
		l.popTransfer()
	}
	if end := l.nextEnd(); end != 0 && (l.dueAt == 0 || end < l.dueAt) {
		l.dueAt = end
		w.push(event{time: end, kind: eventLinkDue, target: id})
	}
}

// isWanted reports whether a transfer's owner still waits for it.
func (w *World) isWanted(t *transfer) bool {
	if t.segment == segmentToParent {
		return w.fetches[t.owner].generation == t.generation
	}
	attempt := &w.attempts[t.owner]
	return attempt.generation == t.generation && attempt.links[t.segment] >= 0
}

// endTolerance is the amount in KB that an ended transfer may still lack. It absorbs the rounding errors of many
// additions.
const endTolerance = 1e-9

// advanceLink updates a link's progress and ends the transfers that are complete.
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
		if l.transfers[0].endKB > l.progressKB+endTolerance {
			break
		}
		t := l.popTransfer()
		l.active--
		w.transferEnded(t)
	}
	w.scheduleLink(id)
}

// transferEnded handles the end of a transfer for the fetch or the attempt that owns it.
func (w *World) transferEnded(t transfer) {
	if t.segment == segmentToParent {
		w.fetchCompleted(t.owner)
		return
	}
	attempt := &w.attempts[t.owner]
	attempt.links[t.segment] = -1
	attempt.activeTransfers--
	switch {
	case t.segment == segmentFromUpstream && attempt.countedAtSource:
		attempt.countedAtSource = false
		w.servers[attempt.source].active--
		w.recordFill(attempt)
	case t.segment == segmentIntoSite && attempt.countedFilling:
		attempt.countedFilling = false
		server := &w.servers[attempt.server]
		server.fills--
		w.storeFill(server, t.owner)
	}
	w.completeIfDelivered(t.owner)
}

// completeIfDelivered ends an attempt if all its transfers have ended and it waits for no fetch. The outcome is an
// error for a harmful new version of an object of the release, otherwise the attempt is served.
func (w *World) completeIfDelivered(id int32) {
	attempt := &w.attempts[id]
	if attempt.activeTransfers > 0 || attempt.fetch >= 0 {
		return
	}
	if attempt.fillStartedAt > 0 {
		sending := fromSeconds(w.sizeKB(id) / responseKBPerSecond)
		attempt.upstreamWait = max(w.now-attempt.fillStartedAt-sending, 0)
	}
	operation := w.operationOf(attempt)
	if operation.release && w.isNewVersion(attempt.producedAt) && w.isHarmful(operation) {
		w.endAttempt(id, routing.OutcomeError, routing.CacheStatusUnknown)
		return
	}
	w.endAttempt(id, routing.OutcomeServed, attempt.cacheStatus)
}

// sendFrom starts the transfers of an attempt's data on all links from a parent or the origin to the router.
func (w *World) sendFrom(id, from int32) {
	attempt := &w.attempts[id]
	sizeKB := w.sizeKB(id)
	server := &w.servers[attempt.server]
	sender := &w.servers[from]
	site := w.routers[w.requests[attempt.request].router].site
	w.startTransfer(id, sender.link, sizeKB, segmentFromUpstream)
	w.recordCellFill(attempt, site, sizeKB)
	w.startTransfer(id, w.siteLinks[site], sizeKB, segmentIntoSite)
	if sender.kind == parentServer && w.remoteHubLinks != nil && w.isRemoteHub(site, sender) {
		w.startTransfer(id, w.remoteHubLinks[site*w.config.Hubs+sender.hub], sizeKB, segmentFromRemoteHub)
	}
	if server.kind == cacheServer {
		w.startTransfer(id, server.link, sizeKB, segmentToRouter)
	}
}
