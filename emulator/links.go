package emulator

// Links share their capacity among transfers; an attempt's data runs over all on its way at once.

import (
	"spantack/routing"
)

// way is the time from a router or a cache of a depot to a server.
func (w *World) way(depot int32, s *server) int64 {
	switch {
	case s.kind == cacheServer:
		return cacheWay
	case s.kind == originServer:
		return hubWay + w.cfg.originWay()
	case w.cfg.Hubs > 0 && s.hub != int(depot)%w.cfg.Hubs:
		return hubWay + farWay
	}
	return hubWay
}

// stopMoving takes an attempt's data off all links.
func (w *World) stopMoving(t *try) {
	t.moving = 0
	for i, over := range t.links {
		if over >= 0 {
			t.links[i] = -1
			w.leave(over)
		}
	}
}

// leave takes a transfer off a link before its end.
func (w *World) leave(id int32) {
	l := &w.links[id]
	l.advance(w.now)
	l.n--
	w.arm(id)
}

// arm makes sure of an event by the time that a link's next transfer ends.
func (w *World) arm(id int32) {
	l := &w.links[id]
	for len(l.heap) > 0 && !w.waits(&l.heap[0]) {
		l.popTransfer()
	}
	if next := l.next(); next != 0 && (l.due == 0 || next < l.due) {
		l.due = next
		w.push(event{at: next, kind: evLink, id: id})
	}
}

// waits reports that a transfer's owner is still there.
func (w *World) waits(t *transfer) bool {
	if t.stage == toParent {
		return w.fetches[t.owner].gen == t.gen
	}
	tr := &w.tries[t.owner]
	return tr.gen == t.gen && tr.links[t.stage] >= 0
}

func (w *World) move(id, over int32, kb float64, st stage) {
	t := &w.tries[id]
	t.links[st] = over
	t.moving++
	w.links[over].add(w.now, kb, transfer{owner: id, gen: t.gen, stage: st})
	w.arm(over)
}

func (w *World) linkDue(id int32) {
	l := &w.links[id]
	if w.now < l.due {
		return
	}
	l.due = 0
	l.advance(w.now)
	for len(l.heap) > 0 {
		if !w.waits(&l.heap[0]) {
			l.popTransfer()
			continue
		}
		if l.heap[0].end > l.had+1e-9 {
			break
		}
		t := l.popTransfer()
		l.n--
		w.moved(t, id)
	}
	w.arm(id)
}

func (w *World) kbOf(id int32) float64 { return w.wishes[w.requests[w.tries[id].request].wish].kb }

// moved is a transfer that has ended.
func (w *World) moved(tr transfer, over int32) {
	if tr.stage == toParent {
		w.fetched(tr.owner)
		return
	}
	id := tr.owner
	t := &w.tries[id]
	t.links[tr.stage] = -1
	t.moving--
	s := &w.servers[t.node]
	switch {
	case tr.stage == fromAbove && t.srcActive:
		t.srcActive = false
		w.servers[t.source].active--
		w.res.filled(w, t, w.kbOf(id))
	case tr.stage == intoDepot && t.filling:
		t.filling = false
		s.fills--
		w.store(s, id)
	}
	w.whole(id)
}

// whole ends an attempt whose data has come by all its links.
func (w *World) whole(id int32) {
	t := &w.tries[id]
	if t.moving > 0 || t.fetch >= 0 {
		return
	}
	if t.asked > 0 { // what the answer took beyond its sending
		t.waited = max(w.now-t.asked-int64(w.kbOf(id)/paceKbS*float64(sec)), 0)
	}
	if wi := &w.wishes[w.requests[t.request].wish]; wi.release && w.renewed(t.made) && w.harmed(wi) {
		w.end(id, routing.OutcomeError, 0)
		return
	}
	w.end(id, routing.OutcomeServed, t.note)
}

// flow sets an attempt's data on its way from a source to the router, over all that lies between.
func (w *World) flow(id, from int32) {
	t := &w.tries[id]
	kb, s := w.kbOf(id), &w.servers[t.node]
	w.move(id, w.servers[from].link, kb, fromAbove)
	depot := w.routers[w.requests[t.request].router].depot
	w.gaugeFill(t, depot, kb)
	w.move(id, w.depotCap[depot], kb, intoDepot)
	if src := &w.servers[from]; src.kind == parentServer && w.farCap != nil && src.hub != depot%w.cfg.Hubs {
		w.move(id, w.farCap[depot*w.cfg.Hubs+src.hub], kb, fromFar)
	}
	if s.kind == cacheServer {
		w.move(id, s.link, kb, toRouter)
	}
}
