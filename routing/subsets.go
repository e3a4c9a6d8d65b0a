package routing

import "slices"

// subset is a set of edge caches, or of parents, from which a server is selected.
type subset struct {
	serverNames      []string // sorted; nil: all edge caches of the zone
	accountingGroup  int
	servers          []*server // the usable servers, sorted by name
	ranking          *rendezvousRanking
	endpointsVersion int  // the Engine.endpointsVersion that servers and ranking were computed from
	inPanic          bool // panic mode: all its edge caches were ejected at the last selection
}

// subsetOf returns the subset with the given number, updated to the current endpoint list. An undefined subset is
// empty.
func (e *Engine) subsetOf(number int) *subset {
	set := e.subsets[number]
	if set == nil {
		return e.emptySubset
	}
	if set.endpointsVersion != e.endpointsVersion {
		set.endpointsVersion = e.endpointsVersion
		set.servers = e.caches
		if set.serverNames != nil {
			set.servers = e.usableServers(set.serverNames)
		}
		set.ranking = newRendezvousRanking(set.servers, e.hasServerWeights)
	}
	return set
}

// usableServers returns the healthy servers with the given names, without the origin.
func (e *Engine) usableServers(names []string) (servers []*server) {
	for _, name := range names {
		if srv := e.servers[name]; srv != nil && srv.isHealthy && srv.role != roleOrigin {
			servers = append(servers, srv)
		}
	}
	return servers
}

// defineSubset defines a subset and sets the capacity share of its accounting group, or deletes the subset. Subset 0,
// which is all edge caches of the zone, cannot be changed.
func (e *Engine) defineSubset(ev *Event) {
	if ev.Subset == 0 {
		return
	}
	if len(ev.SubsetServers) == 0 {
		delete(e.subsets, ev.Subset)
		return
	}
	names := slices.Clone(ev.SubsetServers)
	slices.Sort(names)
	e.subsets[ev.Subset] = &subset{
		serverNames:      slices.Compact(names),
		accountingGroup:  ev.AccountingGroup,
		endpointsVersion: noEndpointsVersion,
	}
	for len(e.capacityShares) <= ev.AccountingGroup {
		e.capacityShares = append(e.capacityShares, 0)
	}
	e.capacityShares[ev.AccountingGroup] = ev.CapacityShare
}

// noEndpointsVersion is an endpointsVersion that no endpoint list has.
const noEndpointsVersion = -1

// groupUsage is the state of one accounting group at a server that groups share.
type groupUsage struct {
	breaker    circuitBreaker
	inFlight   int
	recentPeak decayingSum // recent maximum of inFlight; decays over reservationDecay
}

// reserved returns the capacity that is kept free for the group, in requests: its recent peak, but at most bound, less
// its requests in flight.
func (u *groupUsage) reserved(now int64, bound float64) float64 {
	used := min(u.recentPeak.valueAt(now, reservationDecay), bound)
	return max(used-float64(u.inFlight), 0)
}

// usageOf returns the state of an accounting group other than 0.
func (srv *server) usageOf(group int) *groupUsage {
	for len(srv.groupUsage) <= group {
		srv.groupUsage = append(srv.groupUsage, &groupUsage{})
	}
	return srv.groupUsage[group]
}

// breakerFor returns the circuit breaker for the requests of an accounting group. An edge cache has a single breaker
// for all groups.
func (srv *server) breakerFor(group int) *circuitBreaker {
	if group == 0 || srv.role == roleEdgeCache {
		return &srv.breaker
	}
	return &srv.usageOf(group).breaker
}

// addInFlight changes the number of requests in flight at a server, for an accounting group, by 1 or -1.
func (e *Engine) addInFlight(srv *server, group, change int) {
	srv.inFlight += change
	if group == 0 || srv.role == roleEdgeCache {
		return
	}
	usage := srv.usageOf(group)
	usage.inFlight += change
	if float64(usage.inFlight) >= usage.recentPeak.valueAt(e.now, reservationDecay) {
		usage.recentPeak = decayingSum{float64(usage.inFlight), e.now}
	}
}
