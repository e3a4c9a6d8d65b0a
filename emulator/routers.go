package emulator

// Routers: how they start and hear of servers, and what becomes of a request and its attempts there.

import (
	"strconv"

	"spantack/core/cells"
	"spantack/routing"
)

// list puts a server's state into the list of servers; each router hears of it later, in order.
func (w *World) list(id int32) {
	s := &w.servers[id]
	row := routing.Endpoint{Server: s.name, Zone: "hub", Kind: "area", Status: routing.EndpointStatus(s.status), Weight: s.channel, StartedAt: s.cameUp}
	switch s.kind {
	case cacheServer:
		row.Zone, row.Kind = zoneName(s.depot), "small-box"
	case originServer:
		row.Kind = "head-office"
	}
	w.changes, w.changed = append(w.changes, row), append(w.changed, id)
	for r := range w.routers {
		if rt := &w.routers[r]; rt.up {
			rt.told = max(rt.told, w.now+int64(w.misc.Float64()*float64(listTells)))
			w.push(event{at: rt.told, kind: evList, id: int32(r), gen: rt.gen, x: int64(len(w.changes))})
		}
	}
}

// boot starts a router that knows nothing but the list.
func (w *World) boot(id int32) error {
	r := &w.routers[id]
	module, err := cells.NewAdmission(w.cfg.settings(r.depot), int64(r.seeds.Uint64()>>1))
	if err != nil {
		return err
	}
	if err := w.joins(id); err != nil {
		return err
	}
	module.DocumentClockOffset = r.ahead
	if w.cfg.Shield != nil {
		if err := module.SetOriginLimit(w.now, w.cfg.Shield); err != nil { // it was checked with the world
			panic(err)
		}
	}
	if w.shape != nil {
		module.SetTopology(w.now, w.shape)
	}
	if w.assigned != nil {
		module.SetAssignment(w.now, w.assigned)
	}
	r.module, r.up, r.heard, r.told, r.free, r.buckets, r.opened = module, true, 0, w.now, w.now, map[int32]*bucket{}, nil
	r.heeds = nil
	w.hear(id, len(w.changes), true)
	for i := range w.flushes { // one that starts is told of those that may still matter
		if w.now-w.flushes[i].at < purgeTakes {
			w.purgeHeard(id, i)
		}
	}
	w.restart(r)
	if rel := w.cfg.Release; rel != nil && rel.Stage != nil {
		return r.module.SetRollout(w.now, rel.Stage)
	}
	return nil
}

// hear takes the changes of the list up to one to a router.
func (w *World) hear(id int32, upTo int, whole bool) {
	r := &w.routers[id]
	if r.heard >= upTo {
		return
	}
	ev := routing.Event{Kind: routing.EventEndpoints, UpdateMode: "update"}
	if whole {
		ev.UpdateMode = "replace"
	}
	for i := r.heard; i < upTo; i++ {
		row, s := w.changes[i], &w.servers[w.changed[i]]
		if s.kind == cacheServer && s.depot != r.depot {
			continue // depots are told of their own caches
		}
		ev.Endpoints = append(ev.Endpoints, row)
		if _, before := s.drained[id]; row.Status != "healthy" && !before {
			s.drained[id] = w.now
		}
	}
	r.heard = upTo
	if len(ev.Endpoints) > 0 {
		w.step(id, ev)
	}
}

func (w *World) requestOf(call string) int32 {
	n, err := strconv.ParseUint(call, 16, 64)
	if err != nil || int(uint32(n)) >= len(w.requests) || w.requests[uint32(n)].gen != uint32(n>>32) {
		return -1
	}
	return int32(uint32(n))
}

// atRouter is a request's arrival; it waits until the router's core is free.
func (w *World) atRouter(e *event) {
	rq := &w.requests[e.id]
	if rq.gen != e.gen || rq.closed {
		return
	}
	r := &w.routers[rq.router]
	if !r.up || e.x == 1 && r.gen != rq.rgen {
		w.lost(e.id)
		return
	}
	if e.x == 0 {
		begin := max(w.now, r.free)
		r.free, rq.rgen = begin+int64(w.cfg.RouterUs), r.gen
		if begin > w.now {
			w.push(event{at: begin, kind: evRouter, id: e.id, gen: e.gen, x: 1})
			return
		}
	}
	wi := &w.wishes[rq.wish]
	allow := classOf[wi.class].allow
	rq.end = w.now - clientWay + int64(allow-min(max(0.1*allow, 5), 25))*ms
	if w.limits != nil && !w.limit(r, wi) {
		r.free -= int64(w.cfg.RouterUs * 0.75)
		w.final(e.id, routing.Action{Kind: routing.ActionReject, RetryAfter: sec / 2})
		return
	}
	before := r.module.Stats.Admitted
	w.step(rq.router, routing.Event{Kind: routing.EventRequest, RequestID: rq.call, Class: classOf[wi.class].name, Object: wi.object, Chunk: int64(wi.part),
		PurgeGroup: groupOf(wi), SizeKB: wi.kb, Timeout: rq.end - w.now})
	if w.cfg.Cells != nil && r.module.Stats.Admitted == before {
		r.free -= int64(w.cfg.RouterUs * 0.75)
	}
}

// limit is the plain way: a bucket for each tenant at each router, as deep as two seconds.
func (w *World) limit(r *emRouter, wi *wish) bool {
	rate := w.limits[wi.tenant]
	most := max(rate*float64(2*sec), 3)
	b := r.buckets[wi.tenant]
	if b == nil {
		b = &bucket{most, w.now}
		r.buckets[wi.tenant] = b
	}
	b.level = min(b.level+rate*float64(w.now-b.at), most)
	b.at = w.now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// step takes an event to a router's module and does what it says.
func (w *World) step(id int32, ev routing.Event) {
	for _, a := range w.routers[id].module.Step(w.now, []routing.Event{ev}) {
		switch a.Kind {
		case routing.ActionSetTimer:
			w.push(event{at: w.now + a.Delay, kind: evTimer, id: id, gen: w.routers[id].gen, x: a.TimerToken})
		case routing.ActionSend:
			if q := w.requestOf(a.RequestID); q >= 0 && !w.requests[q].answered {
				w.send(q, a)
			}
		case routing.ActionCancel:
			if q := w.requestOf(a.RequestID); q >= 0 && w.requests[q].try >= 0 && w.requests[q].number == int32(a.Attempt) {
				w.drop(w.requests[q].try, routing.OutcomeCanceled)
			}
		case routing.ActionReject, routing.ActionFail:
			if q := w.requestOf(a.RequestID); q >= 0 {
				w.final(q, a)
			}
		case routing.ActionReportOverload:
			w.tells(id, a.Server)
		case routing.ActionLog:
			w.staged(id)
		}
	}
}

// send puts an attempt on its way.
func (w *World) send(q int32, a routing.Action) {
	rq := &w.requests[q]
	if rq.try >= 0 {
		w.res.broken("two attempts of a request out")
		return
	}
	node, source := w.byName(a.Server), int32(-1)
	if a.Source != "" && a.Source != a.Server {
		source = w.byName(a.Source)
	}
	id := take(&w.tries, &w.freeTry)
	t := &w.tries[id]
	*t = try{gen: t.gen + 1, request: q, rgen: rq.gen, depot: int32(w.routers[rq.router].depot), node: node, source: source, heldOnly: a.FetchFlags&routing.FetchCachedOnly != 0, maxAge: a.MaxAge,
		sent: w.now, links: [lastStage + 1]int32{-1, -1, -1, -1}, fetch: -1}
	rq.try = id
	rq.number++
	w.res.Attempts++
	if told, drained := w.servers[node].drained[rq.router]; drained && w.now > told+drainBinds {
		w.res.broken("sent to a drained server")
	}
	w.push(event{at: w.now + w.way(t.depot, &w.servers[node]), kind: evServer, id: id, gen: t.gen})
	w.push(event{at: w.now + min(a.Timeout, max(rq.end-w.now, 1)), kind: evTimeout, id: id, gen: t.gen})
}

// end is how an attempt ends at its server; the router hears of it after the way back.
func (w *World) end(id int32, code routing.AttemptOutcome, note int64) {
	t := &w.tries[id]
	t.code, t.note = code, note
	w.release(id)
	w.push(event{at: w.now + w.way(t.depot, &w.servers[t.node]), kind: evOutcome, id: id, gen: t.gen})
}

// release gives back all that an attempt holds in the world.
func (w *World) release(id int32) {
	t := &w.tries[id]
	if t.arrived {
		t.arrived = false
		if rq := &w.requests[t.request]; rq.gen == t.rgen {
			rq.atServer--
		}
	}
	if t.active {
		t.active = false
		w.servers[t.node].active--
	}
	if t.filling {
		t.filling = false
		w.servers[t.node].fills--
	}
	if t.srcActive {
		t.srcActive = false
		w.servers[t.source].active--
	}
	w.stopMoving(t)
	f := t.fetch
	t.fetch = -1
	if f >= 0 && w.cfg.DropFetches {
		w.orphan(f)
	}
}

// outcome is an attempt's end at the router.
func (w *World) outcome(id int32) {
	t := w.tries[id]
	w.freeTries(id)
	rq := &w.requests[t.request]
	if rq.gen != t.rgen || rq.try != id {
		return
	}
	rq.try = -1
	if t.code == routing.OutcomeServed {
		rq.served = true
		w.answered(&t)
		w.heeded(&t)
		w.final(t.request, routing.Action{Kind: routing.ActionSend})
	}
	w.step(rq.router, routing.Event{Kind: routing.EventOutcome, RequestID: rq.call, Attempt: int(rq.number), Server: w.servers[t.node].name, Outcome: t.code,
		CacheStatus: routing.CacheStatus(t.note), ResponseTime: w.now - t.sent, UpstreamWait: t.waited, IsFinal: t.code == routing.OutcomeServed, LoadReport: w.linkUse(int(t.depot))})
}

func (w *World) freeTries(id int32) {
	w.release(id)
	w.tries[id].gen++
	w.freeTry = append(w.freeTry, id)
}

// drop gives an attempt up, and tells the module.
func (w *World) drop(id int32, code routing.AttemptOutcome) {
	t := w.tries[id]
	w.freeTries(id)
	rq := &w.requests[t.request]
	if rq.gen != t.rgen || rq.try != id {
		return
	}
	rq.try = -1
	w.step(rq.router, routing.Event{Kind: routing.EventOutcome, RequestID: rq.call, Attempt: int(rq.number), Server: w.servers[t.node].name, Outcome: code,
		ResponseTime: w.now - t.sent})
}

// final is the one answer to a request.
func (w *World) final(q int32, a routing.Action) {
	rq := &w.requests[q]
	if rq.answered {
		w.res.broken("two answers to a request")
		return
	}
	if rq.try >= 0 {
		w.res.broken("answered with an attempt out")
	}
	rq.answered = true
	rq.cooldown = 0
	if a.Kind == routing.ActionReject {
		rq.cooldown = max(a.RetryAfter, 1)
	}
	if !rq.closed {
		w.push(event{at: w.now + clientWay, kind: evAnswer, id: q, gen: rq.gen})
	}
}
