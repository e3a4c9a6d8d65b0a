package rules

// Which servers there are, by the list.

import (
	"maps"
	"slices"
)

const askShare = 0.5 // share of AskWithin within which a failed subscription is renewed

// members applies a list of servers. One that left it is not used until it is listed once more.
func (r *Router) members(ev *Event) {
	if ev.Mode == "unavailable" {
		// ask again, at random so that routers do not ask together
		wait := askShare * float64(r.set.Guarantees.AskWithin) * (0.1 + 0.9*r.rng.Float64())
		r.act(Action{Kind: SetTimer, In: int64(wait) + 1})
		return
	}
	if ev.Mode != "update" {
		for _, n := range r.nodes {
			n.usable, n.gone = false, true
		}
	}
	for _, row := range ev.Rows {
		n := r.nodes[row.Node]
		if n == nil {
			n = &node{name: row.Node, missPart: unknownMisses, cameUp: row.CameUp}
			r.nodes[row.Node] = n
		}
		if row.CameUp != n.cameUp { // a new process: what was held against the old one is void
			n.renew(row.CameUp)
		}
		n.usable, n.gone = row.Status == "healthy", row.Status == "deregistered"
		if row.Status == "deregistered" {
			continue
		}
		n.zone, n.cell, n.weight = row.Zone, row.Cell, row.Weight
		n.role = roleCache
		switch kind := slices.Index(r.set.Kinds, row.Kind); {
		case kind == r.set.Extra.MasterKind:
			n.role = roleOrigin
		case kind == r.set.Extra.ShieldKind:
			n.role = roleParent
		case n.zone != r.set.Zone:
			n.role = roleOther
		}
		n.seats = float64(max(r.set.Siblings, 1))
		if s := at(r.set.Extra.SeatsByZone, slices.Index(r.set.Zones, n.zone)); n.role == roleCache && s > 0 {
			n.seats = float64(s)
		}
		if n.limit == 0 && n.role == roleOrigin {
			n.limit = firstLimit / n.seats
		} else if n.limit == 0 {
			n.limit = firstLimit/n.seats + firstSpare
		}
	}
	maps.DeleteFunc(r.nodes, func(_ string, n *node) bool { return n.gone && n.out == 0 })
	r.caches, r.parents, r.origin = nil, nil, nil
	for _, name := range slices.Sorted(maps.Keys(r.nodes)) {
		n := r.nodes[name]
		switch {
		case !n.usable:
		case n.role == roleCache:
			r.caches = append(r.caches, n)
		case n.role == roleParent:
			r.parents = append(r.parents, n)
		case n.role == roleOrigin && r.origin == nil:
			r.origin = n
		}
	}
	r.listed++
	r.upRank = newRanks(r.parents, r.weighs)
	if ev.Mode == "restored" && r.set.Discovery == "subscribe" {
		r.act(Action{Kind: Subscribe, On: true})
	}
}
