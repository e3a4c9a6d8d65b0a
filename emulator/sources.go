package emulator

// What caches fill from: area caches, and the head office behind them.

import (
	"spantack/routing"
)

// orphan ends a fetch that nobody waits for any more.
func (w *World) orphan(f int32) {
	fe := &w.fetches[f]
	for _, r := range fe.waiters {
		if t := &w.tries[r.id]; t.gen == r.gen && t.fetch == f {
			return
		}
	}
	if fe.flows {
		w.leave(w.servers[w.origin].link)
	}
	w.fetchDone(f, func(int32) {})
}

// atSource is a fill's arrival at its source.
func (w *World) atSource(id int32) {
	t := &w.tries[id]
	s := &w.servers[t.source]
	wi := &w.wishes[w.requests[t.request].wish]
	say := func(note int64) {
		w.push(event{at: w.now + w.way(t.depot, s), kind: evFillEnd, id: id, gen: t.gen, x: note})
	}
	switch {
	case !s.up:
		say(7)
		return
	case s.active >= s.most:
		say(6)
		return
	}
	if !w.coldBears(t.source, wi.kb, w.requests[t.request].router) {
		if w.tries[id].gen == t.gen {
			say(7)
		}
		return
	}
	if s.kind == originServer {
		if w.poisoned(wi) == "root" {
			say(10)
			return
		}
		s.active++
		t.srcActive, t.note, t.made = true, 3, w.now
		w.res.asked(w, wi.kb)
		w.flow(id, t.source)
		return
	}
	made, held := s.store.get(w.partKey(id), w.oldest(t, t.source))
	if !held && t.heldOnly {
		say(8)
		return
	}
	s.active++
	t.srcActive = true
	if held {
		t.note, t.made = 2, made
		w.flow(id, t.source)
		return
	}
	t.note = 3
	w.join(t.source, id)
}

// join waits at an area cache for a part from the head office; the first to want it sets it on its way.
func (w *World) join(parent, id int32) {
	t := &w.tries[id]
	s := &w.servers[parent]
	key := w.partKey(id)
	f, under := s.fetches[key]
	if !under || w.cfg.site().Apart || w.fetches[f].flows && w.fetches[f].made < w.oldest(t, parent) { // also where what is on its way is older than will do
		f = take(&w.fetches, &w.freeF)
		fe := &w.fetches[f]
		*fe = fetch{gen: fe.gen + 1, parent: parent, key: key, kb: w.kbOf(id), tenant: w.wishes[w.requests[t.request].wish].tenant, waiters: fe.waiters[:0]}
		s.fetches[key] = f
		w.push(event{at: w.now + w.cfg.originWay() + originAsk, kind: evOrigin, id: f, gen: fe.gen})
	}
	t.fetch = f
	w.fetches[f].waiters = append(w.fetches[f].waiters, ref{id, t.gen})
	if w.fetches[f].flows {
		t.made = w.fetches[f].made
		w.flow(id, parent)
	}
}

func (w *World) fetchAtOrigin(f int32) {
	fe := &w.fetches[f]
	if w.poisoned(&wish{tenant: fe.tenant}) == "root" {
		w.fetchDone(f, func(id int32) { w.fillFailed(id, 10) })
		return
	}
	w.res.asked(w, fe.kb)
	o := &w.servers[w.origin]
	w.links[o.link].add(w.now, fe.kb, transfer{owner: f, gen: fe.gen, stage: toParent})
	w.arm(o.link)
	fe.flows, fe.made = true, w.now
	for _, r := range fe.waiters {
		if t := &w.tries[r.id]; t.gen == r.gen && t.fetch == f {
			t.made = w.now
			w.flow(r.id, fe.parent)
		}
	}
}

// fetchDone takes a fetch off the books and tells those who wait for it.
func (w *World) fetchDone(f int32, tell func(id int32)) {
	fe := &w.fetches[f]
	fe.gen++
	if fetches := w.servers[fe.parent].fetches; fetches[fe.key] == f { // and not a later one
		delete(fetches, fe.key)
	}
	waiters := fe.waiters
	fe.waiters = nil
	for _, r := range waiters {
		if t := &w.tries[r.id]; t.gen == r.gen && t.fetch == f {
			t.fetch = -1
			tell(r.id)
		}
	}
	w.freeF = append(w.freeF, f)
}

func (w *World) fetched(f int32) {
	fe := &w.fetches[f]
	s := &w.servers[fe.parent]
	if s.up {
		s.store.put(fe.key, fe.kb, fe.made)
	}
	w.fetchDone(f, w.whole)
}

// fillFailed ends an attempt whose source gave nothing.
func (w *World) fillFailed(id int32, note int64) {
	t := &w.tries[id]
	t.waited = w.now - t.asked
	switch note {
	case 6:
		w.end(id, routing.OutcomeRejected, note)
	case 8:
		w.end(id, routing.OutcomeMiss, note)
	default:
		w.end(id, routing.OutcomeError, note)
	}
}
