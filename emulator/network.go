package emulator

import "spantack/routing"

// segment is a part of the path of a transfer. An attempt's data is on all of its segments at once, as servers pass on
// what they receive; the response is complete when the slowest of them has ended.
type segment uint8

const (
	segmentToRouter      segment = iota // from an edge cache to the router
	segmentFromUpstream                 // from a parent or the origin towards the site
	segmentFromRemoteHub                // over the line from a hub that is not near the site
	segmentIntoSite                     // over the link into the site
	segmentToParent                     // from the origin to a parent, for a fetch
)

// attemptSegments is the number of segments that an attempt's own data may be on; they are the first ones.
const attemptSegments = int(segmentIntoSite) + 1

// networkDelay is the one-way delay from a router or an edge cache of a site to a server.
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

// isRemoteHub reports that a parent stands at a hub that is not near the site.
func (w *World) isRemoteHub(site int, parent *simulatedServer) bool {
	return w.config.Hubs > 0 && parent.hub != site%w.config.Hubs
}

// startTransfer puts an attempt's data on a link.
func (w *World) startTransfer(id, over int32, sizeKB float64, on segment) {
	attempt := &w.attempts[id]
	attempt.links[on] = over
	attempt.activeTransfers++
	w.links[over].add(w.now, sizeKB, transfer{owner: id, generation: attempt.generation, segment: on})
	w.scheduleLink(over)
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

// removeTransfer takes one transfer off a link before its end. The link's heap drops it later, as its owner no longer
// wants it.
func (w *World) removeTransfer(over int32) {
	l := &w.links[over]
	l.advance(w.now)
	l.active--
	w.scheduleLink(over)
}

// scheduleLink makes sure that there is an event by the time at which a link's next transfer ends.
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

// isWanted reports that a transfer's owner still waits for it.
func (w *World) isWanted(t *transfer) bool {
	if t.segment == segmentToParent {
		return w.fetches[t.owner].generation == t.generation
	}
	attempt := &w.attempts[t.owner]
	return attempt.generation == t.generation && attempt.links[t.segment] >= 0
}

// endTolerance is how many KB short of its end a transfer counts as ended, as sums of many steps are not exact.
const endTolerance = 1e-9

// advanceLink ends the transfers of a link that are due.
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

// transferEnded lets a transfer's owner have what it waited for.
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

// completeIfDelivered ends an attempt whose data has come over all its links.
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

// sendFrom puts an attempt's data on all links between a parent or the origin and the router.
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
