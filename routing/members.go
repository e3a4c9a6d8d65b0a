package routing

// Which servers there are, by the list.

import (
	"maps"
	"slices"
)

const resubscribeShare = 0.5 // share of MaxPollInterval within which a failed subscription is renewed

// updateEndpoints applies a list of servers. One that left it is not used until it is listed once more.
func (r *Engine) updateEndpoints(ev *Event) {
	if ev.UpdateMode == "unavailable" {
		// ask again, at random so that routers do not ask together
		wait := resubscribeShare * float64(r.settings.Guarantees.MaxPollInterval) * (0.1 + 0.9*r.rng.Float64())
		r.emit(Action{Kind: ActionSetTimer, Delay: int64(wait) + 1})
		return
	}
	if ev.UpdateMode != "update" {
		for _, n := range r.servers {
			n.isHealthy, n.isDelisted = false, true
		}
	}
	for _, row := range ev.Endpoints {
		n := r.servers[row.Server]
		if n == nil {
			n = &server{name: row.Server, missRatio: defaultMissRatio, startedAt: row.StartedAt}
			r.servers[row.Server] = n
		}
		if row.StartedAt != n.startedAt { // a new process: what was held against the old one is void
			n.resetForNewProcess(row.StartedAt)
		}
		n.isHealthy, n.isDelisted = row.Status == "healthy", row.Status == "deregistered"
		if row.Status == "deregistered" {
			continue
		}
		n.zone, n.cell, n.weight = row.Zone, row.Cell, row.Weight
		n.role = roleEdgeCache
		switch kind := slices.Index(r.settings.Kinds, row.Kind); {
		case kind == r.settings.Hierarchy.OriginKind:
			n.role = roleOrigin
		case kind == r.settings.Hierarchy.ParentKind:
			n.role = roleParent
		case n.zone != r.settings.Zone:
			n.role = roleRemoteCache
		}
		n.routers = float64(max(r.settings.FleetSize, 1))
		if s := valueAt(r.settings.Hierarchy.RoutersByZone, slices.Index(r.settings.Zones, n.zone)); n.role == roleEdgeCache && s > 0 {
			n.routers = float64(s)
		}
		if n.concurrencyLimit == 0 && n.role == roleOrigin {
			n.concurrencyLimit = initialLimit / n.routers
		} else if n.concurrencyLimit == 0 {
			n.concurrencyLimit = initialLimit/n.routers + initialLimitExtra
		}
	}
	maps.DeleteFunc(r.servers, func(_ string, n *server) bool { return n.isDelisted && n.inFlight == 0 })
	r.caches, r.parents, r.origin = nil, nil, nil
	for _, name := range slices.Sorted(maps.Keys(r.servers)) {
		n := r.servers[name]
		switch {
		case !n.isHealthy:
		case n.role == roleEdgeCache:
			r.caches = append(r.caches, n)
		case n.role == roleParent:
			r.parents = append(r.parents, n)
		case n.role == roleOrigin && r.origin == nil:
			r.origin = n
		}
	}
	r.endpointsVersion++
	r.parentRanking = newRendezvousRanking(r.parents, r.hasServerWeights)
	if ev.UpdateMode == "restored" && r.settings.Discovery == "subscribe" {
		r.emit(Action{Kind: ActionSubscribe, Enabled: true})
	}
}
