package emulator

import (
	"math"
	"slices"

	"spantack/routing"
)

// Values of an eventFault. They do not apply to a deploy: its value is a step number, with two steps for each cache.
// The first step drains the cache, the second replaces it.
const (
	faultBegins = 0
	faultEnds   = 1
)

// Delays in faults.
const (
	frontendStartDelay = second // from the restart of a router until the frontend sends clients to it
	deployDrainTime    = second // between the drain notice of a cache and its shutdown
)

// applyFault performs a step of a fault and schedules the next one.
func (w *World) applyFault(e *event) {
	fault := w.config.Faults[e.target]
	switch fault.Kind {
	case FaultRouter:
		w.routerFault(fault, e)
	case FaultCache, FaultParent, FaultSite, FaultHub:
		for _, id := range w.faultTargets(fault) {
			w.killServer(id)
			w.push(event{time: w.now + fault.duration(), kind: eventServerRestart, target: id})
		}
	case FaultDeploy:
		w.rollingDeploy(fault, e)
	case FaultPurge:
		w.startPurge(fault)
	case FaultBrownout:
		w.brownout(fault, e)
	}
}

func (f *Fault) duration() int64 { return fromSeconds(f.DurationSeconds) }

// pushFaultStep schedules a later step of the fault that an event belongs to.
func (w *World) pushFaultStep(e *event, delay, step int64) {
	w.push(event{time: w.now + delay, kind: eventFault, target: e.target, value: step})
}

// routerFault crashes a router or restarts it.
func (w *World) routerFault(fault Fault, e *event) {
	id := int32(fault.Site*w.config.RoutersPerSite + fault.Index%w.config.RoutersPerSite)
	if e.value == faultBegins {
		w.killRouter(id)
		w.pushFaultStep(e, max(fault.duration(), frontendDetectionDelay+1), faultEnds)
		return
	}
	if err := w.startRouter(id); err != nil {
		w.result.countViolation(violationRouterStart + err.Error())
	}
	w.push(event{time: w.now + frontendStartDelay, kind: eventFrontendUpdate, target: id, value: 1})
}

// brownout reduces the capacity of the origin or restores it.
func (w *World) brownout(fault Fault, e *event) {
	id := w.servers[w.origin].link
	l := &w.links[id]
	l.advance(w.now)
	if e.value == faultBegins {
		l.capacity *= fault.Fraction
		w.pushFaultStep(e, fault.duration(), faultEnds)
	} else {
		l.capacity /= fault.Fraction
	}
	l.dueAt = 0 // the end times of transfers change, so schedule them again
	w.scheduleLink(id)
}

// faultTargets returns the servers that a fault affects.
func (w *World) faultTargets(fault Fault) []int32 {
	switch fault.Kind {
	case FaultParent:
		return []int32{w.origin + 1 + int32(fault.Index%w.config.Parents)}
	case FaultHub:
		return w.parentsAt(fault.Index % max(w.config.Hubs, 1))
	case FaultSite:
		return slices.Clone(w.cachesBySite[fault.Site])
	default:
		caches := w.cachesBySite[fault.Site]
		return []int32{caches[fault.Index%len(caches)]}
	}
}

func (w *World) parentsAt(hub int) (ids []int32) {
	for id := range w.servers {
		server := &w.servers[id]
		if server.kind == parentServer && server.hub == hub {
			ids = append(ids, int32(id))
		}
	}
	return ids
}

// rollingDeploy replaces edge caches one by one: each is drained for deployDrainTime, then shut down and replaced by a
// cold one.
func (w *World) rollingDeploy(fault Fault, e *event) {
	count := int64(math.Round(fault.Fraction * float64(w.config.CachesPerSite)))
	interval := fault.duration() / max(count, 1)
	index, isReplacement := e.value/2, e.value%2 == 1
	if index >= count {
		return
	}
	if isReplacement {
		w.replaceCache(fault.Site)
		return
	}
	id := w.firstCache(fault.Site, routing.EndpointHealthy)
	w.servers[id].status = routing.EndpointDraining
	w.publishEndpoint(id)
	w.pushFaultStep(e, deployDrainTime, e.value+1)
	if index+1 < count {
		w.pushFaultStep(e, max(interval, 1), e.value+2)
	}
}

// firstCache returns the first cache of a site with the given status, or the site's first cache if none has that
// status. Replacements are added at the end of the list, so the oldest cache comes first.
func (w *World) firstCache(site int, status routing.EndpointStatus) int32 {
	for _, id := range w.cachesBySite[site] {
		if w.servers[id].status == status {
			return id
		}
	}
	return w.cachesBySite[site][0]
}

// replaceCache shuts down the site's draining cache and starts a cold one.
func (w *World) replaceCache(site int) {
	id := w.firstCache(site, routing.EndpointDraining)
	w.killServer(id)
	w.servers[id].status = routing.EndpointRemoved
	w.publishEndpoint(id)
	w.cachesBySite[site] = slices.DeleteFunc(w.cachesBySite[site], func(c int32) bool { return c == id })
	w.addCache(site, w.now)
}

// poisonKind returns the kind of poison that affects a tenant now, or poisonNone.
func (w *World) poisonKind(tenant int32) PoisonKind {
	p := w.config.Poison
	if p == nil || tenant != int32(p.Tenant) {
		return poisonNone
	}
	if w.now < fromSeconds(p.StartSeconds) || w.now >= fromSeconds(p.StartSeconds+p.DurationSeconds) {
		return poisonNone
	}
	return p.Kind
}
