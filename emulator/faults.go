package emulator

// Faults on the script.

import (
	"math"
	"slices"

	"spantack/routing"
)

// killServer ends a server's process: what is out at it breaks.
func (w *World) killServer(id int32) {
	server := &w.servers[id]
	server.running = false
	for i := range w.attempts {
		attempt := &w.attempts[i]
		request := &w.requests[attempt.request]
		if request.generation != attempt.requestGeneration || request.attempt != int32(i) {
			continue
		}
		if attempt.server == id && (attempt.atServer || attempt.countedActive) {
			w.endAttempt(int32(i), routing.OutcomeConnectionReset, 0)
		} else if attempt.source == id && attempt.countedAtSource {
			attempt.countedAtSource = false
			server.active--
			w.removeTransfers(attempt)
			attempt.fetch = -1
			w.push(event{time: w.now + w.networkDelay(attempt.site, server), kind: eventFillFailed, target: int32(i), generation: attempt.generation, value: 7})
		}
	}
	if server.store != nil {
		server.store = newLRU(server.store.capacityKB)
	}
}

func (w *World) applyFault(e *event) {
	fault := w.config.Faults[e.target]
	away := int64(fault.DurationSeconds * float64(second))
	switch fault.Kind {
	case "router":
		id := int32(fault.Site*w.config.RoutersPerSite + fault.Index%w.config.RoutersPerSite)
		router := &w.routers[id]
		if e.value == 1 {
			if err := w.startRouter(id); err != nil {
				w.result.violation("router does not start: " + err.Error())
			}
			w.push(event{time: w.now + second, kind: eventFrontendUpdate, target: id, value: 1})
			return
		}
		router.running = false
		router.generation++
		for requestID := range w.requests {
			request := &w.requests[requestID]
			if request.router == id && !request.closed && request.routerGeneration == router.generation-1 && request.callID != "" && !request.answered && w.now > 0 {
				if request.attempt >= 0 {
					w.freeAttempt(request.attempt)
					request.attempt = -1
				}
				w.requestLost(int32(requestID))
			}
		}
		w.push(event{time: w.now + frontendDetectionDelay, kind: eventFrontendUpdate, target: id, value: 0})
		w.push(event{time: w.now + max(away, frontendDetectionDelay+1), kind: eventFault, target: e.target, value: 1})
	case "cache", "parent", "depot", "hub":
		for _, id := range w.faultTargets(fault) {
			w.killServer(id)
			w.push(event{time: w.now + away, kind: eventServerRestart, target: id})
		}
	case "deploy":
		w.rollingDeploy(fault, e)
	case "purge":
		w.startPurge(fault)
	case "brownout":
		o := &w.links[w.servers[w.origin].link]
		o.advance(w.now)
		if e.value == 1 {
			o.capacity /= fault.Fraction
		} else {
			o.capacity *= fault.Fraction
			w.push(event{time: w.now + away, kind: eventFault, target: e.target, value: 1})
		}
		w.links[w.servers[w.origin].link].dueAt = 0 // what was to come comes at another time
		w.scheduleLink(w.servers[w.origin].link)
	}
}

// faultTargets are the servers that a fault hits.
func (w *World) faultTargets(fault Fault) []int32 {
	switch fault.Kind {
	case "parent":
		return []int32{int32(1 + fault.Index%w.config.Parents)}
	case "hub":
		var ids []int32
		for id := range w.servers {
			if server := &w.servers[id]; server.kind == parentServer && server.hub == fault.Index%max(w.config.Hubs, 1) {
				ids = append(ids, int32(id))
			}
		}
		return ids
	case "depot":
		return slices.Clone(w.cachesBySite[fault.Site])
	}
	return []int32{w.cachesBySite[fault.Site][fault.Index%len(w.cachesBySite[fault.Site])]}
}

// rollingDeploy replaces caches one after the other: each drains for a second, goes, and a cold one comes in its place.
func (w *World) rollingDeploy(fault Fault, e *event) {
	count := int64(math.Round(fault.Fraction * float64(w.config.CachesPerSite)))
	stepUs := int64(fault.DurationSeconds*float64(second)) / max(count, 1)
	i, ending := e.value/2, e.value%2 == 1
	if i >= count {
		return
	}
	id := w.cachesBySite[fault.Site][0] // replaced ones join the end: the oldest goes next
	if !ending {
		for _, c := range w.cachesBySite[fault.Site] {
			if w.servers[c].status == "healthy" {
				id = c
				break
			}
		}
		w.servers[id].status = "cordoned"
		w.publishEndpoint(id)
		w.push(event{time: w.now + second, kind: eventFault, target: e.target, value: e.value + 1})
		if i+1 < count {
			w.push(event{time: w.now + max(stepUs, 1), kind: eventFault, target: e.target, value: e.value + 2})
		}
		return
	}
	for _, c := range w.cachesBySite[fault.Site] {
		if w.servers[c].status == "cordoned" {
			id = c
			break
		}
	}
	w.killServer(id)
	w.servers[id].status = "deregistered"
	w.publishEndpoint(id)
	w.cachesBySite[fault.Site] = slices.DeleteFunc(w.cachesBySite[fault.Site], func(c int32) bool { return c == id })
	w.addCache(fault.Site, w.now)
}
