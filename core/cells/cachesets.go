package cells

import (
	"cmp"
	"math"
	"slices"

	"spantack/core/migration"
	"spantack/routing"
)

// Sets of caches are numbered for rules: 1 to MaxCells are the cells, the tenants' own follow.
const firstTenantSubset = MaxCells + 1

// SetAssignment puts an assignment in force, or with nil none. ReasonRequestRate under way end where they began; what is known of tenants
// that both have is kept.
func (m *Admission) SetAssignment(now int64, next *Assignment) {
	m.dropTenantSubsets(now)
	if next == nil {
		for i := range m.cells {
			m.engine.Step(now, []routing.Event{{Kind: routing.EventSubset, Subset: i + 1}})
		}
		m.assignment, m.spec, m.cells, m.tenants = nil, nil, nil, nil
		m.announceOriginLimit(now, true)
		m.migrationDocument, m.activeMigrations, m.rollout = nil, nil, nil
		clear(m.openRequests)
		return
	}
	if m.recentParts == nil {
		m.recentParts = NewCountMinSketch(recentSketchWidth, recentSketchDepth, recentHalfLife)
	}
	was, old := m.assignment, m.tenants
	spec := next.spec
	m.assignment, m.spec, m.overflowCell = next, spec, -1
	m.tenants = make([]tenant, len(spec.Tenants))
	moved := make([]int32, len(old)) // where tenants are now; -1: no more
	for i := range moved {
		moved[i] = -1
	}
	for i := range spec.Tenants {
		t := &spec.Tenants[i]
		m.tenants[i] = tenant{name: t.Name, weight: cmp.Or(t.Weight, 1), cell: next.cellAt(i, m.settings.Zone)}
		if was == nil {
			continue
		}
		if o, known := was.tenantByName[t.Name]; known {
			moved[o] = int32(i)
			m.tenants[i].usage, m.tenants[i].missRatio, m.tenants[i].demand = old[o].usage, old[o].missRatio, old[o].demand
		}
	}
	previousCells := m.cells
	m.cells = make([]cell, len(spec.Cells))
	shares := make([]float64, len(spec.Cells))
	for i, c := range spec.Cells {
		spill, named := next.cellByName[c.FallbackCell]
		if !named {
			spill = -1
		}
		m.cells[i] = cell{name: c.Name, share: c.Share, fallback: int(spill), missRatio: initialMissRatio, fairShare: fairShare{limit: math.Inf(1)}, capacity: migration.NewCapacityLimiter()}
		shares[i] = c.Share
		if c.Name == spec.OverflowCell {
			m.overflowCell = i
		}
	}
	for call, o := range m.openRequests { // those of cells and tenants that are no more are no longer counted
		to, known := next.cellByName[previousCells[o.cell].name]
		if !known || moved[o.tenant] < 0 {
			delete(m.openRequests, call)
			continue
		}
		o.cell, o.tenant = to, moved[o.tenant]
		m.cells[to].openRequests++
		m.openRequests[call] = o
	}
	for i := len(m.cells); i < len(previousCells); i++ {
		m.engine.Step(now, []routing.Event{{Kind: routing.EventSubset, Subset: i + 1}})
	}
	reclaim := cmp.Or(spec.Budget.ReclaimMillis, defaultReclaimMillis) * 1000
	routers := float64(m.routersAtSite())
	linkKBPerSecond := spec.Budget.FillKBPerSecond
	if zone := slices.Index(m.settings.Zones, m.settings.Zone); linkKBPerSecond == 0 && zone >= 0 && zone < len(m.settings.Hierarchy.ZoneLinkKBPerSecond) {
		linkKBPerSecond = m.settings.Hierarchy.ZoneLinkKBPerSecond[zone]
	}
	m.requestRate = newSharedRate(spec.Budget.RequestsPerSecond/routers, shares, reclaim)
	m.linkRate = newSharedRate(linkKBPerSecond/routers, shares, reclaim)
	m.uncacheableRate = newSharedRate(spec.Budget.UncacheablePerSecond/routers, shares, reclaim)
	fleetSize := float64(max(m.settings.FleetSize, 1))
	m.parentRate = newSharedRate(spec.Budget.ParentKBPerSecond/fleetSize, shares, reclaim)
	m.originRate = newSharedRate(spec.Budget.OriginKBPerSecond/fleetSize, shares, reclaim)
	m.maxOpenRequests = spec.Budget.MaxOpenRequests
	m.announceOriginLimit(now, true)
	m.assignCaches(now)
	m.bindMigrations(now)
}

// dropTenantSubsets takes the tenants' own sets back.
func (m *Admission) dropTenantSubsets(now int64) {
	for i, t := range m.tenants {
		if t.subsetVersion != 0 {
			m.engine.Step(now, []routing.Event{{Kind: routing.EventSubset, Subset: firstTenantSubset + i}})
		}
	}
}

// routersAtSite is how many share the depot, up or not: the settings tell it, nobody else does.
func (m *Admission) routersAtSite() int {
	zone := slices.Index(m.settings.Zones, m.settings.Zone)
	if s := m.settings.Hierarchy.RoutersByZone; zone >= 0 && zone < len(s) && s[zone] > 0 {
		return s[zone]
	}
	return max(m.settings.FleetSize, 1)
}

// AssignmentVersion is that of the specification in force, 0 without one.
func (m *Admission) AssignmentVersion() int64 {
	if m.spec == nil {
		return 0
	}
	return m.spec.Version
}

// assignCaches tells rules which caches each cell has. Draining ones keep their place until they are gone, so that a cell is
// divided anew once and not twice when one is replaced.
func (m *Admission) assignCaches(now int64) {
	m.caches = m.caches[:0]
	for name := range m.edgeCaches {
		m.caches = append(m.caches, name)
	}
	slices.Sort(m.caches)
	m.scopeEvents = m.scopeEvents[:0]
	for i, names := range divideCaches(m.spec.Cells, m.caches) {
		c := &m.cells[i]
		c.hasLiveCache = slices.ContainsFunc(names, func(name string) bool { return m.edgeCaches[name].Status == "healthy" })
		if m.spec.Scheme == SchemeShuffle { // the account's set is all caches: each tenant has its own
			names, c.hasLiveCache = m.caches, c.hasLiveCache || slices.ContainsFunc(m.caches, func(name string) bool { return m.edgeCaches[name].Status == "healthy" })
		}
		if slices.Equal(c.caches, names) && len(names) > 0 {
			continue
		}
		c.caches = slices.Clone(names)
		m.scopeEvents = append(m.scopeEvents, routing.Event{Kind: routing.EventSubset, Subset: i + 1, AccountingGroup: i + 1, CapacityShare: c.share, SubsetServers: c.caches})
	}
	if len(m.scopeEvents) > 0 {
		m.engine.Step(now, m.scopeEvents)
	}
}

// subsetOf is the set of a tenant's caches, drawn when first asked for.
func (m *Admission) subsetOf(now int64, who int, home int) int {
	t := &m.tenants[who]
	if m.spec.Scheme != SchemeShuffle && m.spec.Scheme != SchemeNested {
		return home + 1
	}
	if home != t.cell { // a guest: it uses the neighbour's caches as they are
		return home + 1
	}
	if t.subsetVersion != m.endpointsVersion+1 {
		t.subsetVersion = m.endpointsVersion + 1
		m.engine.Step(now, []routing.Event{{Kind: routing.EventSubset, Subset: firstTenantSubset + who, AccountingGroup: t.cell + 1, CapacityShare: m.cells[t.cell].share,
			SubsetServers: m.CachesOf(who)}})
	}
	return firstTenantSubset + who
}

// CachesOf names the caches that a tenant's requests go to at present; none while nothing is confined.
func (m *Admission) CachesOf(tenant int) []string {
	if m.spec == nil || tenant < 0 || tenant >= len(m.tenants) {
		return nil
	}
	t := &m.tenants[tenant]
	return m.spec.cachesOf(t.name, m.caches, m.cells[t.cell].caches)
}

// IsEdgeCache tells whether a row of the list is a cache's: no area cache, not the head office.
func (m *Admission) IsEdgeCache(row routing.Endpoint) bool {
	kind := slices.Index(m.settings.Kinds, row.Kind)
	return kind != m.settings.Hierarchy.OriginKind && kind != m.settings.Hierarchy.ParentKind
}
