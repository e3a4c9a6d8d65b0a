package emulator

// Faults on the script.

import (
	"math"
	"slices"

	"spantack/routing"
)

// kill ends a server's process: what is out at it breaks.
func (w *World) kill(id int32) {
	s := &w.servers[id]
	s.up = false
	for i := range w.tries {
		t := &w.tries[i]
		rq := &w.requests[t.request]
		if rq.gen != t.rgen || rq.try != int32(i) {
			continue
		}
		if t.node == id && (t.arrived || t.active) {
			w.end(int32(i), routing.OutcomeConnectionReset, 0)
		} else if t.source == id && t.srcActive {
			t.srcActive = false
			s.active--
			w.stopMoving(t)
			t.fetch = -1
			w.push(event{at: w.now + w.way(t.depot, s), kind: evFillEnd, id: int32(i), gen: t.gen, x: 7})
		}
	}
	if s.store != nil {
		s.store = newLRU(s.store.room)
	}
}

func (w *World) fault(e *event) {
	f := w.cfg.Faults[e.id]
	away := int64(f.ForS * float64(sec))
	switch f.Kind {
	case "router":
		id := int32(f.Depot*w.cfg.Routers + f.Which%w.cfg.Routers)
		r := &w.routers[id]
		if e.x == 1 {
			if err := w.boot(id); err != nil {
				w.res.broken("router does not start: " + err.Error())
			}
			w.push(event{at: w.now + sec, kind: evFront, id: id, x: 1})
			return
		}
		r.up = false
		r.gen++
		for q := range w.requests {
			rq := &w.requests[q]
			if rq.router == id && !rq.closed && rq.rgen == r.gen-1 && rq.call != "" && !rq.answered && w.now > 0 {
				if rq.try >= 0 {
					w.freeTries(rq.try)
					rq.try = -1
				}
				w.lost(int32(q))
			}
		}
		w.push(event{at: w.now + frontSees, kind: evFront, id: id, x: 0})
		w.push(event{at: w.now + max(away, frontSees+1), kind: evFault, id: e.id, x: 1})
	case "cache", "parent", "depot", "hub":
		for _, id := range w.targets(f) {
			w.kill(id)
			w.push(event{at: w.now + away, kind: evBack, id: id})
		}
	case "deploy":
		w.deploy(f, e)
	case "purge":
		w.purge(f)
	case "brownout":
		o := &w.links[w.servers[w.origin].link]
		o.advance(w.now)
		if e.x == 1 {
			o.cap /= f.Part
		} else {
			o.cap *= f.Part
			w.push(event{at: w.now + away, kind: evFault, id: e.id, x: 1})
		}
		w.links[w.servers[w.origin].link].due = 0 // what was to come comes at another time
		w.arm(w.servers[w.origin].link)
	}
}

// targets are the servers that a fault hits.
func (w *World) targets(f Fault) []int32 {
	switch f.Kind {
	case "parent":
		return []int32{int32(1 + f.Which%w.cfg.Parents)}
	case "hub":
		var ids []int32
		for id := range w.servers {
			if s := &w.servers[id]; s.kind == parentServer && s.hub == f.Which%max(w.cfg.Hubs, 1) {
				ids = append(ids, int32(id))
			}
		}
		return ids
	case "depot":
		return slices.Clone(w.caches[f.Depot])
	}
	return []int32{w.caches[f.Depot][f.Which%len(w.caches[f.Depot])]}
}

// deploy replaces caches one after the other: each drains for a second, goes, and a cold one comes in its place.
func (w *World) deploy(f Fault, e *event) {
	count := int64(math.Round(f.Part * float64(w.cfg.Caches)))
	stepUs := int64(f.ForS*float64(sec)) / max(count, 1)
	i, ending := e.x/2, e.x%2 == 1
	if i >= count {
		return
	}
	id := w.caches[f.Depot][0] // replaced ones join the end: the oldest goes next
	if !ending {
		for _, c := range w.caches[f.Depot] {
			if w.servers[c].status == "healthy" {
				id = c
				break
			}
		}
		w.servers[id].status = "cordoned"
		w.list(id)
		w.push(event{at: w.now + sec, kind: evFault, id: e.id, x: e.x + 1})
		if i+1 < count {
			w.push(event{at: w.now + max(stepUs, 1), kind: evFault, id: e.id, x: e.x + 2})
		}
		return
	}
	for _, c := range w.caches[f.Depot] {
		if w.servers[c].status == "cordoned" {
			id = c
			break
		}
	}
	w.kill(id)
	w.servers[id].status = "deregistered"
	w.list(id)
	w.caches[f.Depot] = slices.DeleteFunc(w.caches[f.Depot], func(c int32) bool { return c == id })
	w.addCache(f.Depot, w.now)
}
