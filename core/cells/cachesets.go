package cells

import (
	"cmp"
	"math"
	"slices"

	"spantack/core/moves"
	"spantack/rules"
)

// Sets of caches are numbered for rules: 1 to MaxCells are the cells, the tenants' own follow.
const firstTenantSet = MaxCells + 1

// Confine puts an assignment in force, or with nil none. Requests under way end where they began; what is known of tenants
// that both have is kept.
func (m *Module) Confine(now int64, next *Assignment) {
	m.dropSets(now)
	if next == nil {
		for i := range m.cells {
			m.rules.Step(now, []rules.Event{{Kind: rules.EventSubset, Subset: i + 1}})
		}
		m.assigned, m.spec, m.cells, m.tenants = nil, nil, nil, nil
		m.capBehind(now, true)
		m.doc, m.paths, m.stage = nil, nil, nil
		clear(m.open)
		return
	}
	if m.seen == nil {
		m.seen = NewCounts(seenWidth, seenDepth, seenHalfLife)
	}
	was, old := m.assigned, m.tenants
	spec := next.spec
	m.assigned, m.spec, m.spare = next, spec, -1
	m.tenants = make([]tenant, len(spec.Tenants))
	moved := make([]int32, len(old)) // where tenants are now; -1: no more
	for i := range moved {
		moved[i] = -1
	}
	for i := range spec.Tenants {
		t := &spec.Tenants[i]
		m.tenants[i] = tenant{name: t.Name, weight: cmp.Or(t.Weight, 1), cell: next.cellOf(i, m.set.Zone)}
		if was == nil {
			continue
		}
		if o, known := was.byName[t.Name]; known {
			moved[o] = int32(i)
			m.tenants[i].used, m.tenants[i].fills, m.tenants[i].wants = old[o].used, old[o].fills, old[o].wants
		}
	}
	before := m.cells
	m.cells = make([]cell, len(spec.Cells))
	shares := make([]float64, len(spec.Cells))
	for i, c := range spec.Cells {
		spill, named := next.places[c.Spill]
		if !named {
			spill = -1
		}
		m.cells[i] = cell{name: c.Name, share: c.Share, spill: int(spill), fills: missesAtFirst, fair: fair{level: math.Inf(1)}, room: moves.NewRoom()}
		shares[i] = c.Share
		if c.Name == spec.Spare {
			m.spare = i
		}
	}
	for call, o := range m.open { // those of cells and tenants that are no more are no longer counted
		to, known := next.places[before[o.cell].name]
		if !known || moved[o.tenant] < 0 {
			delete(m.open, call)
			continue
		}
		o.cell, o.tenant = to, moved[o.tenant]
		m.cells[to].open++
		m.open[call] = o
	}
	for i := len(m.cells); i < len(before); i++ {
		m.rules.Step(now, []rules.Event{{Kind: rules.EventSubset, Subset: i + 1}})
	}
	give := cmp.Or(spec.Budget.GiveMs, giveAtFirst) * 1000
	routers := float64(m.routers())
	link := spec.Budget.FillKbPerS
	if zone := slices.Index(m.set.Zones, m.set.Zone); link == 0 && zone >= 0 && zone < len(m.set.Hierarchy.ZoneLinkKBPerSecond) {
		link = m.set.Hierarchy.ZoneLinkKBPerSecond[zone]
	}
	m.requests = newTree(spec.Budget.RequestsPerS/routers, shares, give)
	m.fills = newTree(link/routers, shares, give)
	m.puts = newTree(spec.Budget.WritesPerS/routers, shares, give)
	tier := float64(max(m.set.FleetSize, 1))
	m.parents = newTree(spec.Budget.ParentKbPerS/tier, shares, give)
	m.origin = newTree(spec.Budget.OriginKbPerS/tier, shares, give)
	m.most = spec.Budget.Open
	m.capBehind(now, true)
	m.divide(now)
	m.bind(now)
}

// dropSets takes the tenants' own sets back.
func (m *Module) dropSets(now int64) {
	for i, t := range m.tenants {
		if t.setAt != 0 {
			m.rules.Step(now, []rules.Event{{Kind: rules.EventSubset, Subset: firstTenantSet + i}})
		}
	}
}

// routers is how many share the depot, up or not: the settings tell it, nobody else does.
func (m *Module) routers() int {
	zone := slices.Index(m.set.Zones, m.set.Zone)
	if s := m.set.Hierarchy.RoutersByZone; zone >= 0 && zone < len(s) && s[zone] > 0 {
		return s[zone]
	}
	return max(m.set.FleetSize, 1)
}

// Version is that of the specification in force, 0 without one.
func (m *Module) Version() int64 {
	if m.spec == nil {
		return 0
	}
	return m.spec.Version
}

// divide tells rules which caches each cell has. Draining ones keep their place until they are gone, so that a cell is
// divided anew once and not twice when one is replaced.
func (m *Module) divide(now int64) {
	m.caches = m.caches[:0]
	for name := range m.list {
		m.caches = append(m.caches, name)
	}
	slices.Sort(m.caches)
	m.confine = m.confine[:0]
	for i, names := range divide(m.spec.Cells, m.caches) {
		c := &m.cells[i]
		c.live = slices.ContainsFunc(names, func(name string) bool { return m.list[name].Status == "healthy" })
		if m.spec.Scheme == Shuffle { // the account's set is all caches: each tenant has its own
			names, c.live = m.caches, c.live || slices.ContainsFunc(m.caches, func(name string) bool { return m.list[name].Status == "healthy" })
		}
		if slices.Equal(c.names, names) && len(names) > 0 {
			continue
		}
		c.names = slices.Clone(names)
		m.confine = append(m.confine, rules.Event{Kind: rules.EventSubset, Subset: i + 1, AccountingGroup: i + 1, CapacityShare: c.share, SubsetServers: c.names})
	}
	if len(m.confine) > 0 {
		m.rules.Step(now, m.confine)
	}
}

// setOf is the set of a tenant's caches, drawn when first asked for.
func (m *Module) setOf(now int64, who int, home int) int {
	t := &m.tenants[who]
	if m.spec.Scheme != Shuffle && m.spec.Scheme != Nested {
		return home + 1
	}
	if home != t.cell { // a guest: it uses the neighbour's caches as they are
		return home + 1
	}
	if t.setAt != m.listed+1 {
		t.setAt = m.listed + 1
		m.rules.Step(now, []rules.Event{{Kind: rules.EventSubset, Subset: firstTenantSet + who, AccountingGroup: t.cell + 1, CapacityShare: m.cells[t.cell].share,
			SubsetServers: m.CachesOf(who)}})
	}
	return firstTenantSet + who
}

// CachesOf names the caches that a tenant's requests go to at present; none while nothing is confined.
func (m *Module) CachesOf(tenant int) []string {
	if m.spec == nil || tenant < 0 || tenant >= len(m.tenants) {
		return nil
	}
	t := &m.tenants[tenant]
	return m.spec.cachesOf(t.name, m.caches, m.cells[t.cell].names)
}

// Cache tells whether a row of the list is a cache's: no area cache, not the head office.
func (m *Module) Cache(row rules.Endpoint) bool {
	kind := slices.Index(m.set.Kinds, row.Kind)
	return kind != m.set.Hierarchy.OriginKind && kind != m.set.Hierarchy.ParentKind
}
