package cells

import (
	"maps"
	"slices"

	"spantack/core/migration"
	"spantack/routing"
)

// endpointList holds the entries of the endpoint list that this router uses.
type endpointList struct {
	edgeCaches map[string]routing.Endpoint // of this site, by name
	parents    map[string]routing.Endpoint // of all sites, by name
	version    int                         // number of updates applied
}

func newEndpointList() endpointList {
	return endpointList{edgeCaches: map[string]routing.Endpoint{}, parents: map[string]routing.Endpoint{}}
}

// applyEndpoints applies an update of the endpoint list. It changes nothing and returns false if discovery is
// unavailable (UpdateUnavailable).
func (s *shared) applyEndpoints(event *routing.Event) bool {
	if event.UpdateMode == routing.UpdateUnavailable {
		return false
	}
	list := &s.endpoints
	if event.UpdateMode != routing.UpdateChanges {
		clear(list.edgeCaches)
		clear(list.parents)
	}
	for _, endpoint := range event.Endpoints {
		kind := slices.Index(s.settings.Kinds, endpoint.Kind)
		delete(list.edgeCaches, endpoint.Server)
		delete(list.parents, endpoint.Server)
		switch {
		case endpoint.Status == routing.EndpointRemoved:
		case kind == s.settings.Hierarchy.ParentKind:
			list.parents[endpoint.Server] = endpoint
		case endpoint.Zone == s.settings.Zone && kind != s.settings.Hierarchy.OriginKind:
			list.edgeCaches[endpoint.Server] = endpoint
		}
	}
	list.version++
	return true
}

// IsEdgeCache reports whether an endpoint is an edge cache, that is, neither a parent nor the origin.
func (a *Admission) IsEdgeCache(endpoint routing.Endpoint) bool {
	kind := slices.Index(a.settings.Kinds, endpoint.Kind)
	return kind != a.settings.Hierarchy.OriginKind && kind != a.settings.Hierarchy.ParentKind
}

// parentNames returns the sorted names of the listed parents.
func (l *endpointList) parentNames() []string {
	return slices.Sorted(maps.Keys(l.parents))
}

// isHealthyCache reports whether an edge cache of this site is listed as healthy.
func (l *endpointList) isHealthyCache(name string) bool {
	return l.edgeCaches[name].Status == routing.EndpointHealthy
}

// routersAtSite returns the number of routers at this site as given in the settings, running or not. If the settings do
// not give it for this site, it returns the fleet size.
func (s *shared) routersAtSite() int {
	zone := slices.Index(s.settings.Zones, s.settings.Zone)
	if routers := s.settings.Hierarchy.RoutersByZone; zone >= 0 && zone < len(routers) && routers[zone] > 0 {
		return routers[zone]
	}
	return s.fleetSize()
}

// fleetSize returns the number of routers at all sites as given in the settings, running or not. If the settings do not
// give it, it returns 1.
func (s *shared) fleetSize() int { return max(s.settings.FleetSize, 1) }

// linkKBPerSecond returns the capacity of the link into this site, in KB per second, as given in the settings, or 0 if
// it is not given.
func (s *shared) linkKBPerSecond() float64 {
	links := s.settings.Hierarchy.ZoneLinkKBPerSecond
	if zone := slices.Index(s.settings.Zones, s.settings.Zone); zone >= 0 && zone < len(links) {
		return links[zone]
	}
	return 0
}

// edgeCapacity returns the capacity model of edge caches, as given in the settings.
func (s *shared) edgeCapacity() migration.CapacityModel {
	return migration.CapacityModel{
		ResponseKBPerSecond: s.settings.Hierarchy.ResponseKBPerSecond,
		InitialCapacity:     s.settings.Guarantees.InitialCapacity,
		WarmUp:              s.settings.Guarantees.WarmUpTime,
		OverloadWindow:      s.settings.Guarantees.OverloadWindow,
	}
}

// parentCapacity returns the capacity model of parents, as given in the settings.
func (s *shared) parentCapacity() migration.CapacityModel {
	return migration.CapacityModel{
		ResponseKBPerSecond: s.settings.Hierarchy.ResponseKBPerSecond,
		InitialCapacity:     s.settings.Hierarchy.ParentInitialCapacity,
		WarmUp:              s.settings.Hierarchy.ParentWarmUpTime,
		OverloadWindow:      s.settings.Guarantees.OverloadWindow,
	}
}
