package cells

import (
	"maps"
	"slices"

	"spantack/core/migration"
	"spantack/routing"
)

// endpointList is the part of the endpoint list that concerns this router's site.
type endpointList struct {
	edgeCaches map[string]routing.Endpoint // of the own site, by name
	parents    map[string]routing.Endpoint // of all sites, by name
	version    int                         // counts updates
}

func newEndpointList() endpointList {
	return endpointList{edgeCaches: map[string]routing.Endpoint{}, parents: map[string]routing.Endpoint{}}
}

// applyEndpoints applies an update of the endpoint list and reports whether there was one.
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

// IsEdgeCache reports whether an endpoint is an edge cache: neither a parent nor the origin.
func (a *Admission) IsEdgeCache(endpoint routing.Endpoint) bool {
	kind := slices.Index(a.settings.Kinds, endpoint.Kind)
	return kind != a.settings.Hierarchy.OriginKind && kind != a.settings.Hierarchy.ParentKind
}

// parentNames lists the parents by name.
func (l *endpointList) parentNames() []string {
	return slices.Sorted(maps.Keys(l.parents))
}

// isHealthyCache reports whether an edge cache of the own site is listed as healthy.
func (l *endpointList) isHealthyCache(name string) bool {
	return l.edgeCaches[name].Status == routing.EndpointHealthy
}

// routersAtSite returns how many routers share the site, running or not, by the settings.
func (s *shared) routersAtSite() int {
	zone := slices.Index(s.settings.Zones, s.settings.Zone)
	if routers := s.settings.Hierarchy.RoutersByZone; zone >= 0 && zone < len(routers) && routers[zone] > 0 {
		return routers[zone]
	}
	return s.fleetSize()
}

// fleetSize returns how many routers there are at all sites, running or not, by the settings.
func (s *shared) fleetSize() int { return max(s.settings.FleetSize, 1) }

// linkKBPerSecond returns the capacity of the link into the site by the settings; 0: unknown.
func (s *shared) linkKBPerSecond() float64 {
	links := s.settings.Hierarchy.ZoneLinkKBPerSecond
	if zone := slices.Index(s.settings.Zones, s.settings.Zone); zone >= 0 && zone < len(links) {
		return links[zone]
	}
	return 0
}

// edgeCapacity returns the capacity of edge caches by the settings.
func (s *shared) edgeCapacity() migration.CapacityModel {
	return migration.CapacityModel{
		ResponseKBPerSecond: s.settings.Hierarchy.ResponseKBPerSecond,
		InitialCapacity:     s.settings.Guarantees.InitialCapacity,
		WarmUp:              s.settings.Guarantees.WarmUpTime,
		OverloadWindow:      s.settings.Guarantees.OverloadWindow,
	}
}

// parentCapacity returns the capacity of parents by the settings.
func (s *shared) parentCapacity() migration.CapacityModel {
	return migration.CapacityModel{
		ResponseKBPerSecond: s.settings.Hierarchy.ResponseKBPerSecond,
		InitialCapacity:     s.settings.Hierarchy.ParentInitialCapacity,
		WarmUp:              s.settings.Hierarchy.ParentWarmUpTime,
		OverloadWindow:      s.settings.Guarantees.OverloadWindow,
	}
}
