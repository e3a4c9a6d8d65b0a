package emulator

// Depot caches: what they hold, refuse and fill, and what pushes a cold one over.

import (
	"fmt"
	"math"

	"spantack/routing"
)

func (w *World) addServer(s server) int32 {
	s.up, s.status, s.drained, s.dividedAt = true, "healthy", map[int32]int64{}, -1
	w.servers = append(w.servers, s)
	id := int32(len(w.servers) - 1)
	w.list(id)
	return id
}

func (w *World) addCache(depot int, cameUp int64) int32 {
	channels := float64(w.cfg.Channels)
	w.links = append(w.links, link{cap: channels * paceKbS / 1e6, pace: paceKbS / 1e6})
	n := uint32(len(w.servers)) * 2654435761
	id := w.addServer(server{name: fmt.Sprintf("s-%08x", n), depot: depot, cameUp: cameUp, channel: channels, most: 8 * w.cfg.Channels,
		link: int32(len(w.links) - 1), store: newLRU(w.cfg.KeepS * channels * paceKbS)})
	w.caches[depot] = append(w.caches[depot], id)
	return id
}

func (w *World) serverOf(name string) int32 {
	for i := len(w.servers) - 1; i >= 0; i-- {
		if w.servers[i].name == name {
			return int32(i)
		}
	}
	return -1
}

// byName finds a server; the newest of a name.
func (w *World) byName(name string) int32 {
	if id, known := w.res.names[name]; known {
		return id
	}
	id := w.serverOf(name)
	w.res.names[name] = id
	return id
}

func (w *World) partKey(id int32) uint64 {
	wi := &w.wishes[w.requests[w.tries[id].request].wish]
	return wi.key ^ uint64(wi.part)<<36
}

func (w *World) store(s *server, id int32) {
	if s.store != nil && w.wishes[w.requests[w.tries[id].request].wish].class != report {
		s.store.put(w.partKey(id), w.kbOf(id), w.tries[id].made)
	}
}

// oldest is when a copy must have been made to do for an attempt.
func (w *World) oldest(t *try, server int32) int64 {
	least := int64(math.MinInt64)
	if len(w.flushes) > 0 {
		least = w.purgedBefore(server, groupOf(&w.wishes[w.requests[t.request].wish]))
	}
	if t.maxAge > 0 {
		least = max(least, w.now-t.maxAge)
	}
	return least
}

// coldBears books work at a server that started lately, and pushes it over if it is too much.
func (w *World) coldBears(id int32, kb float64, router int32) bool {
	s := &w.servers[id]
	from, span, mult := cacheColdFrom, int64(cacheColdFor), cacheFall
	if s.kind == parentServer {
		from, span, mult = parentColdFrom, int64(parentColdFor), parentFall
	}
	age := w.now - s.cameUp
	if s.cameUp == 0 || s.kind == originServer || age > span {
		return true
	}
	for len(s.sent) > 0 && s.sent[0].at < w.now-fallSpan {
		s.sum -= s.sent[0].kb
		s.sent = s.sent[1:]
	}
	s.sent = append(s.sent, work{w.now, kb, router})
	s.sum += kb
	frac := from + (1-from)*float64(age)/float64(span)
	most := mult * frac * s.channel * paceKbS * float64(fallSpan) / 1e6
	w.coldUse(s, router, most)
	if s.sum <= most {
		return true
	}
	w.res.broken("cold server pushed over")
	w.kill(id)
	w.push(event{at: w.now + backAfter, kind: evBack, id: id})
	return false
}

// atServer is an attempt's arrival.
func (w *World) atServer(id int32) {
	t := &w.tries[id]
	s := &w.servers[t.node]
	rq := &w.requests[t.request]
	if !s.up {
		w.end(id, routing.OutcomeConnectionRefused, 0)
		return
	}
	if rq.atServer++; rq.atServer > 1 {
		w.res.broken("two attempts of a request at servers")
	}
	t.arrived = true
	wi := &w.wishes[rq.wish]
	if wi.release && !w.cfg.Release.Renews && s.kind == cacheServer && w.harmed(wi) {
		w.end(id, routing.OutcomeError, 0)
		return
	}
	if bad := w.poisoned(wi); bad == "err" || bad == "spoilt" {
		if s.kind == cacheServer {
			if bad == "err" {
				w.end(id, routing.OutcomeError, 0)
			} else {
				w.end(id, routing.OutcomeConnectionReset, 0)
			}
			return
		}
	} else if bad == "root" && s.kind == originServer {
		w.end(id, routing.OutcomeError, 10)
		return
	}
	if s.active >= s.most {
		w.end(id, routing.OutcomeRejected, 0)
		return
	}
	if !w.coldBears(t.node, wi.kb, rq.router) {
		return
	}
	s.active++
	t.active = true
	if s.kind == originServer {
		t.made = w.now
		w.res.asked(w, wi.kb)
		w.flow(id, t.node)
		return
	}
	made, held := s.store.get(w.partKey(id), w.oldest(t, t.node))
	held = held && wi.class != report // those run at the head office, whichever way they take
	w.res.looked(w, s, wi, held)
	switch {
	case held && s.kind == cacheServer:
		t.made, t.note = made, 1
		w.move(id, s.link, wi.kb, toRouter)
	case held:
		t.made, t.note = made, 1
		w.flow(id, t.node)
	case t.source < 0:
		w.end(id, routing.OutcomeMiss, 0)
	case s.kind == parentServer:
		t.note = 3
		w.join(t.node, id)
	case s.fills >= 5*int(s.channel):
		w.end(id, routing.OutcomeRejected, 9)
	default:
		s.fills++
		t.filling, t.asked = true, w.now
		w.push(event{at: w.now + w.way(t.depot, &w.servers[t.source]), kind: evSource, id: id, gen: t.gen})
	}
}
