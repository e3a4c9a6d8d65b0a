package routing

import "slices"

// subset is a set of edge caches, or of parents, among which a server is selected.
type subset struct {
	serverNames      []string // sorted; nil: all edge caches of the zone
	accountingGroup  int
	servers          []*server // the usable ones, by name
	ranking          *rendezvousRanking
	endpointsVersion int  // the Engine.endpointsVersion at which servers and ranking were found
	inPanic          bool // the circuit breakers of all its edge caches were open at the last selection
}

// subsetOf returns a subset as the endpoint list has it now. One that was not defined is empty.
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

// usableServers returns those of the named servers that may be used in a subset.
func (e *Engine) usableServers(names []string) (servers []*server) {
	for _, name := range names {
		if srv := e.servers[name]; srv != nil && srv.isHealthy && srv.role != roleOrigin {
			servers = append(servers, srv)
		}
	}
	return servers
}

// defineSubset defines a subset, or drops it, and sets its accounting group's share of what all groups share. Subset 0,
// all edge caches of the zone, can be neither.
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
		endpointsVersion: neverFound,
	}
	for len(e.capacityShares) <= ev.AccountingGroup {
		e.capacityShares = append(e.capacityShares, 0)
	}
	e.capacityShares[ev.AccountingGroup] = ev.CapacityShare
}

// neverFound is a version that no endpoint list has.
const neverFound = -1

// groupUsage is what one accounting group has at a server that groups share.
type groupUsage struct {
	breaker    circuitBreaker
	inFlight   int
	recentPeak decayingSum // the most it had in flight recently; fades over reservedShareDecay
}

// reserved returns how much of a bound the group has free at present because it used it recently.
func (u *groupUsage) reserved(now int64, bound float64) float64 {
	used := min(u.recentPeak.valueAt(now, reservedShareDecay), bound)
	return max(used-float64(u.inFlight), 0)
}

// usageOf returns the usage of an accounting group above 0.
func (srv *server) usageOf(group int) *groupUsage {
	for len(srv.groupUsage) <= group {
		srv.groupUsage = append(srv.groupUsage, &groupUsage{})
	}
	return srv.groupUsage[group]
}

// breakerFor returns the circuit breaker that holds for the requests of an accounting group. An edge cache has one for
// all groups.
func (srv *server) breakerFor(group int) *circuitBreaker {
	if group == 0 || srv.role == roleEdgeCache {
		return &srv.breaker
	}
	return &srv.usageOf(group).breaker
}

// addInFlight books one more request in flight at a server, or with -1 one less, for an accounting group.
func (e *Engine) addInFlight(srv *server, group, change int) {
	srv.inFlight += change
	if group == 0 || srv.role == roleEdgeCache {
		return
	}
	usage := srv.usageOf(group)
	usage.inFlight += change
	if float64(usage.inFlight) >= usage.recentPeak.valueAt(e.now, reservedShareDecay) {
		usage.recentPeak = decayingSum{float64(usage.inFlight), e.now}
	}
}
