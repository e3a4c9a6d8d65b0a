package cells

import (
	"fmt"
	"math"
	"slices"

	"spantack/core/migration"
	"spantack/core/rollout"
	"spantack/routing"
)

// migrationProgress is one tenant's way from cell to cell in this depot, as this router goes it.
type migrationProgress struct {
	migration        *migration.Migration
	fromCell, toCell int // places of the cells in the assignment in force
	pace             migration.Pacer
}

// migrationRoute is how one request of a tenant on the move goes.
type migrationRoute struct {
	progress      *migrationProgress // nil: its tenant stays where it is
	toDestination bool               // it goes to the cell that objects go to at present: the new one, or the old one on the way back
	cold          bool               // its part has not been asked for there lately
	rejected      Reason             // it goes nowhere
}

// capacityInterval is how often, in microseconds, what cells bear is measured anew.
const capacityInterval = 250_000

// CheckMigrations holds a document of moves against an assignment: tenants and cells must be known, and a tenant's cell be one of its move's two.
func (a *Assignment) CheckMigrations(doc *migration.Document) error {
	if doc == nil {
		return nil
	}
	for i := range doc.Migrations {
		mv := &doc.Migrations[i]
		at := fmt.Sprintf("moves.moves[%d]", i)
		who, known := a.tenantByName[mv.Tenant]
		if !known {
			return fieldError(at+".tenant", "%q is no tenant", mv.Tenant)
		}
		if _, is := a.cellByName[mv.From]; !is {
			return fieldError(at+".from", "%q is no cell", mv.From)
		}
		if _, is := a.cellByName[mv.To]; !is {
			return fieldError(at+".to", "%q is no cell", mv.To)
		}
		if a.spec.Scheme != SchemeFixed && a.spec.Scheme != SchemeOverflow {
			return fieldError(at, "tenants move with schemes fixed and overflow, not %s", a.spec.Scheme)
		}
		depots := []string{mv.Site}
		if mv.Site == migration.AllSites {
			depots = []string{""}
			for depot := range a.spec.Tenants[who].CellBySite {
				depots = append(depots, depot)
			}
			slices.Sort(depots)
		}
		for _, depot := range depots {
			if home := a.spec.Cells[a.cellAt(int(who), depot)].Name; home != mv.From && home != mv.To {
				return fieldError(at+".from", "%s is in cell %s in depot %q, neither %s nor %s", mv.Tenant, home, depot, mv.From, mv.To)
			}
		}
	}
	return nil
}

// SetMigrations puts a document of moves in force, or with nil none. It must fit the assignment in force. A move that goes on keeps its pace; a
// tenant whose move is over or left out is in the cell that the assignment names, or for a move that is over the one it led to.
func (m *Admission) SetMigrations(now int64, doc *migration.Document) {
	if m.spec == nil {
		return
	}
	m.migrationDocument = doc
	m.bindMigrations(now)
}

// MigrationsVersion is the version of the document in force; 0: none.
func (m *Admission) MigrationsVersion() int64 {
	if m.migrationDocument == nil {
		return 0
	}
	return m.migrationDocument.Version
}

// bindMigrations sets the ways of this depot's moves by document and assignment.
func (m *Admission) bindMigrations(now int64) {
	type path struct{ tenant, from, to string }
	before := map[path]*migrationProgress{}
	for _, p := range m.activeMigrations {
		before[path{p.migration.Tenant, p.migration.From, p.migration.To}] = p
	}
	m.activeMigrations = nil
	for i := range m.tenants {
		m.tenants[i].migration = nil
	}
	if m.migrationDocument == nil {
		return
	}
	for i := range m.migrationDocument.Migrations {
		mv := &m.migrationDocument.Migrations[i]
		if mv.Site != m.settings.Zone && mv.Site != migration.AllSites {
			continue
		}
		who, known := m.assignment.tenantByName[mv.Tenant]
		from, is := m.assignment.cellByName[mv.From]
		to, also := m.assignment.cellByName[mv.To]
		if !known || !is || !also {
			continue // the assignment has changed under the document: the tenant is where that says
		}
		p := &migrationProgress{migration: mv, fromCell: int(from), toCell: int(to)}
		if o := before[path{mv.Tenant, mv.From, mv.To}]; o != nil {
			p.pace = o.pace
		}
		m.tenants[who].migration = p
		m.activeMigrations = append(m.activeMigrations, p)
	}
	m.capacityMeasuredAt = 0
	m.measureCapacity(now)
}

// documentMillis is the document's time.
func (m *Admission) documentMillis(now int64) float64 {
	return float64(now+m.DocumentClockOffset) / 1000
}

// measureCapacity steps the paces, and measures what cells bear.
func (m *Admission) measureCapacity(now int64) {
	if len(m.activeMigrations) == 0 || now-m.capacityMeasuredAt < capacityInterval && m.capacityMeasuredAt != 0 {
		return
	}
	m.capacityMeasuredAt = now
	caches, above := m.capacityTerms()
	m.healthyParents = m.healthyParents[:0]
	for _, name := range sortedNodes(m.parentServers) {
		if row := m.parentServers[name]; row.Status == "healthy" {
			m.healthyParents = append(m.healthyParents, migration.Server{Weight: row.Weight, StartedAt: row.StartedAt})
		}
	}
	_, warm := above.Capacity(now, m.healthyParents)
	if len(m.parentServers) == 0 {
		warm = 1 // fills come straight from the head office
	}
	routers := float64(m.routersAtSite())
	var servers []migration.Server
	for i := range m.cells {
		c := &m.cells[i]
		servers = servers[:0]
		whole := 0.0 // what all listed ones would bear warm
		for _, name := range c.caches {
			row := m.edgeCaches[name]
			weight := max(row.Weight, 1)
			whole += weight * caches.StreamKbPerS
			if row.Status == "healthy" {
				servers = append(servers, migration.Server{Weight: weight, StartedAt: row.StartedAt})
			}
		}
		kb, _ := caches.Capacity(now, servers)
		fills := math.Inf(1)
		for _, of := range [...]struct {
			t    *sharedRate
			warm float64
		}{{m.linkRate, 1}, {m.parentRate, warm}} {
			if of.t.perMicrosecond > 0 {
				fills = min(fills, of.t.perMicrosecond*1e6*c.share*of.warm)
			}
		}
		c.capacity.SetCapacity(now, kb/routers, fills)
		if c.warmFraction = 0; whole > 0 {
			c.warmFraction = kb / whole
		}
	}
	for _, p := range m.activeMigrations {
		p.pace.SetWarmCapacity(min(m.cells[p.fromCell].warmFraction, m.cells[p.toCell].warmFraction))
		share := p.pace.Step(m.documentMillis(now), p.migration)
		cell := p.fromCell
		if share >= 0.5 {
			cell = p.toCell
		}
		m.tenants[m.assignment.tenantByName[p.migration.Tenant]].cell = cell
	}
}

func sortedNodes(rows map[string]routing.Endpoint) []string {
	names := make([]string, 0, len(rows))
	for name := range rows {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// capacityTerms are what the settings say of caches, and of area caches.
func (m *Admission) capacityTerms() (caches, above migration.CapacityModel) {
	g, x := &m.settings.Guarantees, &m.settings.Hierarchy
	caches = migration.CapacityModel{StreamKbPerS: x.ResponseKBPerSecond, ColdFraction: g.InitialCapacity, WarmUp: g.WarmUpTime, LoadWindow: g.OverloadWindow}
	above = migration.CapacityModel{StreamKbPerS: x.ResponseKBPerSecond, ColdFraction: x.ParentInitialCapacity, WarmUp: x.ParentWarmUpTime, LoadWindow: g.OverloadWindow}
	return caches, above
}

// routeMigrating decides which of its two cells a request of a tenant on the move goes to. The one rule, also while caches are replaced or lost:
// the cell that the move gives its object; if that is the cell objects go to, and it has no live cache or no room, the other one, which
// still knows the object; if the other one has no live cache either, or is the one that went, the cell objects go to, as far as
// it bears; else it is refused.
func (m *Admission) routeMigrating(now int64, p *migrationProgress, ev *routing.Event, kb float64) (int, migrationRoute) {
	ms, mv := m.documentMillis(now), p.migration
	if !mv.InProgress(ms) {
		p.recordPart(m, now, ev)
		if mv.Phase(ms) == migration.Done {
			return p.toCell, migrationRoute{}
		}
		return p.fromCell, migrationRoute{}
	}
	into, other := p.toCell, p.fromCell
	over := mv.Position(ev.Object) < p.pace.Share()
	if mv.RollbackStarted(ms) {
		into, other, over = p.fromCell, p.toCell, !over
	}
	w := migrationRoute{progress: p, toDestination: over}
	here, there := m.cells[into].hasLiveCache, m.cells[other].hasLiveCache
	if !over && (there || !here) {
		p.recordPart(m, now, ev)
		return other, w
	}
	if !here { // the cell that objects go to has gone: the other one is the way back, or the cell's own neighbour is asked
		w.toDestination = false
		if there {
			return other, w
		}
		return into, w
	}
	known := m.recentParts.estimateHash(now, partInCellHash(ev, into)) >= recentThreshold
	w.cold = !known
	fill := 0.0
	if w.cold {
		fill = kb
	}
	room := mv.Unbounded || m.cells[into].capacity.TryAcquire(now, kb, fill)
	if over {
		p.pace.ObserveAdmission(ms, room)
	}
	switch {
	case room:
		w.toDestination = true
		return into, w
	case there:
		w.toDestination, w.cold = false, false
		m.Stats.Deferred++
		return other, w
	}
	w.rejected = ReasonMigrating
	return into, w
}

// recordPart books that a part was asked for in the cell where its tenant still lives.
func (p *migrationProgress) recordPart(m *Admission, now int64, ev *routing.Event) {
	cell := p.fromCell
	if p.migration.RollbackStarted(m.documentMillis(now)) {
		cell = p.toCell
	}
	m.recentParts.addHash(now, partInCellHash(ev, cell), 1)
}

// partInCellHash is the key of a part in a cell.
func partInCellHash(ev *routing.Event, cell int) uint64 {
	return partHash(ev.Object, ev.Chunk) + uint64(cell+1)*0xd1342543de82ef95
}

// adjustFill is what a request takes from above where it goes.
func (w *migrationRoute) adjustFill(fill, deep, kb float64) (float64, float64) {
	if w.cold && w.toDestination {
		return kb, deep // area caches know it: the old cell had it from there
	}
	return fill, deep
}

// admitMigrating books a request that goes to the cell that objects go to: only now is it sure to come there, and its part to be known there.
// Rules may send it to the other cell of its move where that one has no room. That never leads into the cell that objects go to, past what
// that one bears.
func (m *Admission) admitMigrating(now int64, w *migrationRoute, cell int, ev *routing.Event) {
	p := w.progress
	m.recentParts.addHash(now, partInCellHash(ev, cell), 1)
	m.Stats.Migrated++
	back := p.fromCell
	if ev.Subset == p.fromCell+1 {
		back = p.toCell
	}
	if ev.OverflowSubset == 0 && m.cells[back].hasLiveCache {
		ev.OverflowSubset = back + 1
	}
}

// observeAnswer tells a move's pace how an attempt of its tenant ended.
func (m *Admission) observeAnswer(now int64, o *openRequest, ev *routing.Event) {
	m.observeForRollout(now, o, ev)
	if ev.Outcome != routing.OutcomeServed || len(m.activeMigrations) == 0 {
		return // whether it was served in time shows at its end
	}
	if pace := m.settings.Hierarchy.ResponseKBPerSecond; (ev.CacheStatus == 2 || ev.CacheStatus == 3) && pace > 0 && o.sizeKB > 0 {
		m.cells[o.cell].capacity.ObserveFillCost(float64(ev.UpstreamWait) / (o.sizeKB / pace * 1e6))
	}
	if o.route.progress == nil {
		return
	}
	o.route.progress.pace.ObserveAnswer(m.documentMillis(now), o.route.toDestination, float64(now-o.admittedAt) > m.latencyObjective(o))
}

// latencyObjective is how long an answer may take in full worth, in microseconds.
func (m *Admission) latencyObjective(o *openRequest) float64 {
	c := &m.settings.Classes[o.class]
	if m.settings.Hierarchy.ResponseKBPerSecond <= 0 {
		return float64(c.LatencyObjective)
	}
	return float64(c.LatencyObjective) + c.ObjectiveSizeFactor*o.sizeKB/m.settings.Hierarchy.ResponseKBPerSecond*1e6
}

// observeUnserved tells a move's pace, and the stage that runs, of a request that rules refused or failed.
func (m *Admission) observeUnserved(now int64, o *openRequest, failed bool) {
	if m.rollout != nil {
		bad := 0.0
		if failed {
			bad = 1
		}
		m.countForRollout(o, rollout.Failures, bad)
		m.countForRollout(o, rollout.LateAnswers, 1)
	}
	if o.route.progress != nil {
		o.route.progress.pace.ObserveAnswer(m.documentMillis(now), o.route.toDestination, true)
	}
}

// MigrationStatus is one move as this router goes it.
type MigrationStatus struct {
	Tenant   string  `json:"tenant"`
	From     string  `json:"from"`
	To       string  `json:"to"`
	Phase    string  `json:"phase"`
	Share    float64 `json:"share"` // of the tenant's objects that go to the new cell from here
	MinShare float64 `json:"least"` // the document's bounds of it
	MaxShare float64 `json:"most"`
}

// Migrations tells how far the moves of this depot are.
func (m *Admission) Migrations(now int64) []MigrationStatus {
	ms := m.documentMillis(now)
	var all []MigrationStatus
	for _, p := range m.activeMigrations {
		all = append(all, MigrationStatus{p.migration.Tenant, p.migration.From, p.migration.To, p.migration.Phase(ms).String(), p.pace.Share(), p.migration.MinShare(ms), p.migration.MaxShare(ms)})
	}
	return all
}
