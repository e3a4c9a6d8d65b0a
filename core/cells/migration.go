package cells

import (
	"math"

	"spantack/core/migration"
	"spantack/routing"
)

// capacityInterval, in microseconds, is how often the capacity of cells and the share of migrated objects are updated.
const capacityInterval = 250_000

// migrations selects the cells for requests of migrating tenants.
type migrations struct {
	*shared
	state          *assignmentState
	budget         *budget
	document       *migration.Document  // nil: no tenant migrates
	active         []*migrationProgress // of this site
	advancedAt     int64                // microseconds; 0: advance at the next call
	healthyParents []migration.Server   // reused
}

// migrationProgress is the state of one tenant's migration at this router.
type migrationProgress struct {
	migration *migration.Migration
	fromCell  int // index of a cell in the assignment in force
	toCell    int
	pacer     migration.Pacer // determines the share of the tenant's objects that go to toCell
}

// migrationRoute is the routing decision for one request of a migrating tenant. The destination is the cell that
// objects move to. The source is the other cell. The destination is the new cell, or during a rollback the old cell.
type migrationRoute struct {
	progress      *migrationProgress // nil: the tenant does not migrate
	toDestination bool               // the request goes to the destination
	isCold        bool               // the chunk has not been requested in the destination recently
	rejected      Reason             // why the request is rejected, or ReasonNone
}

func (r *migrationRoute) isColdInDestination() bool { return r.isCold && r.toDestination }

// SetMigrations applies a document, or with nil removes the current one. The document must be valid for the assignment
// in force. A migration that is in both the old and the new document keeps its share of migrated objects. If a tenant's
// migration is no longer in the document, the tenant is in the cell of the assignment. If a tenant's migration has
// ended, the tenant is in the new cell, or after a rollback in the old cell.
func (a *Admission) SetMigrations(now int64, document *migration.Document) {
	if a.state.spec == nil {
		return
	}
	a.migrations.document = document
	a.migrations.rebuild(now)
}

// MigrationsVersion returns the version of the document in force, or 0 without a document.
func (a *Admission) MigrationsVersion() int64 {
	if a.migrations.document == nil {
		return 0
	}
	return a.migrations.document.Version
}

// MigrationStatus is the state of one migration at this router.
type MigrationStatus struct {
	Tenant   string  `json:"tenant"`
	From     string  `json:"from"`
	To       string  `json:"to"`
	Phase    string  `json:"phase"`
	Share    float64 `json:"share"` // fraction of the tenant's objects that this router sends to the new cell
	MinShare float64 `json:"least"` // minimum of Share that the document allows now
	MaxShare float64 `json:"most"`  // maximum of Share that the document allows now
}

// Migrations returns the status of each migration at this site.
func (a *Admission) Migrations(now int64) []MigrationStatus {
	millis := a.documentMillis(now)
	var all []MigrationStatus
	for _, p := range a.migrations.active {
		all = append(all, MigrationStatus{
			Tenant:   p.migration.Tenant,
			From:     p.migration.From,
			To:       p.migration.To,
			Phase:    p.migration.Phase(millis).String(),
			Share:    p.pacer.Share(),
			MinShare: p.migration.MinShare(millis),
			MaxShare: p.migration.MaxShare(millis),
		})
	}
	return all
}

func (m *migrations) areActive() bool { return len(m.active) > 0 }

func (m *migrations) clear() { m.document, m.active = nil, nil }

// rebuild creates the active migrations of this site from the document and the assignment. A migration that was already
// active keeps its share of migrated objects.
func (m *migrations) rebuild(now int64) {
	type key struct{ tenant, from, to string }
	previous := map[key]*migrationProgress{}
	for _, p := range m.active {
		previous[key{p.migration.Tenant, p.migration.From, p.migration.To}] = p
	}
	m.active = nil
	for i := range m.state.tenants {
		m.state.tenants[i].migration = nil
	}
	if m.document == nil {
		return
	}
	for i := range m.document.Migrations {
		entry := &m.document.Migrations[i]
		p, tenant := m.newProgress(entry)
		if p == nil {
			continue
		}
		if before := previous[key{entry.Tenant, entry.From, entry.To}]; before != nil {
			p.pacer = before.pacer
		}
		tenant.migration = p
		m.active = append(m.active, p)
	}
	m.forceNextAdvance()
	m.advance(now)
}

// newProgress returns the progress of a new migration and its tenant. It returns nil if the migration is for another
// site, or if the assignment no longer has the migration's tenant or one of its cells. The tenant, if it still exists,
// is then in the cell of the assignment.
func (m *migrations) newProgress(entry *migration.Migration) (*migrationProgress, *tenant) {
	if entry.Site != m.settings.Zone && entry.Site != migration.AllSites {
		return nil, nil
	}
	tenant, hasTenant := m.state.assignment.tenantByName[entry.Tenant]
	from, hasFrom := m.state.assignment.cellByName[entry.From]
	to, hasTo := m.state.assignment.cellByName[entry.To]
	if !hasTenant || !hasFrom || !hasTo {
		return nil, nil
	}
	return &migrationProgress{migration: entry, fromCell: int(from), toCell: int(to)}, &m.state.tenants[tenant]
}

// forceNextAdvance makes the next call of advance run without waiting for capacityInterval.
func (m *migrations) forceNextAdvance() { m.advancedAt = 0 }

// advance updates the capacity of cells and the share of each migration, at most once per capacityInterval.
func (m *migrations) advance(now int64) {
	if !m.areActive() || now-m.advancedAt < capacityInterval && m.advancedAt != 0 {
		return
	}
	m.advancedAt = now
	m.updateCapacity(now)
	for _, p := range m.active {
		m.updateShare(now, p)
	}
}

// updateShare updates the fraction of a migrating tenant's objects that go to the new cell. The tenant belongs to the
// new cell while at least half of its objects go there, otherwise to the old cell.
func (m *migrations) updateShare(now int64, p *migrationProgress) {
	p.pacer.SetWarmCapacity(min(m.state.cells[p.fromCell].warmFraction, m.state.cells[p.toCell].warmFraction))
	cell := p.fromCell
	if p.pacer.Step(m.documentMillis(now), p.migration) >= 0.5 {
		cell = p.toCell
	}
	m.state.tenants[m.state.assignment.tenantByName[p.migration.Tenant]].cell = cell
}

// updateCapacity updates how much load each cell can accept from this router.
func (m *migrations) updateCapacity(now int64) {
	model := m.edgeCapacity()
	parentWarmFraction := m.parentWarmFraction(now)
	routers := float64(m.routersAtSite())
	var servers []migration.Server
	for i := range m.state.cells {
		c := &m.state.cells[i]
		servers = servers[:0]
		capacityWhenWarm := 0.0
		for _, name := range c.caches {
			cache := m.endpoints.edgeCaches[name]
			weight := max(cache.Weight, 1)
			capacityWhenWarm += weight * model.ResponseKBPerSecond
			if cache.Status == routing.EndpointHealthy {
				servers = append(servers, migration.Server{Weight: weight, StartedAt: cache.StartedAt})
			}
		}
		capacity, _ := model.Capacity(now, servers)
		c.capacity.SetCapacity(now, capacity/routers, m.fillCapacity(c, parentWarmFraction))
		c.warmFraction = 0
		if capacityWhenWarm > 0 {
			c.warmFraction = capacity / capacityWhenWarm
		}
	}
}

// parentWarmFraction returns the current capacity of the healthy parents as a fraction of their capacity when warm.
func (m *migrations) parentWarmFraction(now int64) float64 {
	if len(m.endpoints.parents) == 0 {
		return 1 // fills come directly from the origin
	}
	m.healthyParents = m.healthyParents[:0]
	for _, name := range m.endpoints.parentNames() {
		if parent := m.endpoints.parents[name]; parent.Status == routing.EndpointHealthy {
			server := migration.Server{Weight: parent.Weight, StartedAt: parent.StartedAt}
			m.healthyParents = append(m.healthyParents, server)
		}
	}
	model := m.parentCapacity()
	_, warmFraction := model.Capacity(now, m.healthyParents)
	return warmFraction
}

// fillCapacity returns the KB per second of fills that the budget allows a cell, or infinity without a limit.
func (m *migrations) fillCapacity(c *cell, parentWarmFraction float64) float64 {
	capacity := math.Inf(1)
	if m.budget.link.isLimited() {
		capacity = min(capacity, m.budget.link.perSecond()*c.share)
	}
	if m.budget.parents.isLimited() {
		capacity = min(capacity, m.budget.parents.perSecond()*c.share*parentWarmFraction)
	}
	return capacity
}

// selectCell selects one of the two cells of a migration for a request. Before the migration and after a rollback it
// selects the old cell. After the migration it selects the new cell. While the migration or its rollback is in
// progress, it selects the cell to which the object is assigned at this time, except in two cases. If this cell is the
// destination and lacks a healthy cache or capacity, the request goes to the source, which still has the object. If the
// source has no healthy cache, the request goes to the destination up to its capacity, and is rejected beyond that. An
// unbounded migration ignores the destination's capacity.
func (m *migrations) selectCell(
	now int64, p *migrationProgress, event *routing.Event, sizeKB float64,
) (int, migrationRoute) {
	millis := m.documentMillis(now)
	if !p.migration.InProgress(millis) {
		m.recordInSource(now, p, event)
		if p.migration.Phase(millis) == migration.Done {
			return p.toCell, migrationRoute{}
		}
		return p.fromCell, migrationRoute{}
	}
	destination, source := p.toCell, p.fromCell
	hasMigrated := p.migration.Position(event.Object) < p.pacer.Share()
	if p.migration.RollbackStarted(millis) {
		destination, source = p.fromCell, p.toCell
		hasMigrated = !hasMigrated
	}
	route := migrationRoute{progress: p, toDestination: hasMigrated}
	destinationIsHealthy := m.state.cells[destination].hasHealthyCache
	sourceIsHealthy := m.state.cells[source].hasHealthyCache
	switch {
	case !hasMigrated && (sourceIsHealthy || !destinationIsHealthy):
		m.recordInSource(now, p, event)
		return source, route
	case !destinationIsHealthy:
		route.toDestination = false
		if sourceIsHealthy {
			return source, route
		}
		return destination, route // the caller uses the destination's fallback cell or rejects the request
	}
	route.isCold = !m.state.recentChunks.isRecentInCell(now, event.Object, event.Chunk, destination)
	hasCapacity := p.migration.Unbounded || m.tryAcquire(now, destination, sizeKB, route.isCold)
	if hasMigrated {
		p.pacer.ObserveAdmission(millis, hasCapacity)
	}
	switch {
	case hasCapacity:
		route.toDestination = true
		return destination, route
	case sourceIsHealthy:
		m.stats.KeptInSource++
		return source, migrationRoute{progress: p}
	}
	route.rejected = ReasonMigrating
	return destination, route
}

// tryAcquire reserves capacity of a cell for a request, and reports whether the cell had enough.
func (m *migrations) tryAcquire(now int64, cell int, sizeKB float64, isCold bool) bool {
	fillKB := 0.0
	if isCold {
		fillKB = sizeKB
	}
	return m.state.cells[cell].capacity.TryAcquire(now, sizeKB, fillKB)
}

// recordInSource records that a chunk was requested in the source cell: the old cell, or the new one during a rollback.
func (m *migrations) recordInSource(now int64, p *migrationProgress, event *routing.Event) {
	cell := p.fromCell
	if p.migration.RollbackStarted(m.documentMillis(now)) {
		cell = p.toCell
	}
	m.state.recentChunks.recordInCell(now, event.Object, event.Chunk, cell)
}

// admitToDestination records an admitted request for the destination. The request's chunk is recorded only after
// admission, because a rejected request fills nothing. If the engine finds no capacity in the destination, it may send
// the request to the overflow cell, if the event has one, otherwise to the source, if the source has a healthy cache. A
// request for the source does not get the destination as its alternative, because the destination must not get more
// requests than its capacity allows.
func (m *migrations) admitToDestination(now int64, route *migrationRoute, cell int, event *routing.Event) {
	m.state.recentChunks.recordInCell(now, event.Object, event.Chunk, cell)
	m.stats.Migrated++
	other := route.progress.fromCell
	if event.Subset == cellSubset(other) {
		other = route.progress.toCell
	}
	if event.OverflowSubset == 0 && m.state.cells[other].hasHealthyCache {
		event.OverflowSubset = cellSubset(other)
	}
}

// observeOutcome updates the fill cost of a cell and the pacer of a migration with a served attempt.
func (m *migrations) observeOutcome(now int64, request *openRequest, event *routing.Event) {
	if event.Outcome != routing.OutcomeServed || !m.areActive() {
		return // an attempt that was not served may be retried, so the request may still be served in time
	}
	rate := m.settings.Hierarchy.ResponseKBPerSecond
	if event.CacheStatus.IsFilled() && rate > 0 && request.sizeKB > 0 {
		expected := request.sizeKB / rate * 1e6
		m.state.cells[request.cell].capacity.ObserveFillCost(float64(event.UpstreamWait) / expected)
	}
	if request.route.progress != nil {
		m.observeResponse(now, request, m.isLate(now, request))
	}
}

// observeUnserved counts as late a request that the engine rejected, or that failed.
func (m *migrations) observeUnserved(now int64, request *openRequest) {
	if request.route.progress != nil {
		m.observeResponse(now, request, true)
	}
}

func (m *migrations) observeResponse(now int64, request *openRequest, isLate bool) {
	pacer := &request.route.progress.pacer
	pacer.ObserveAnswer(m.documentMillis(now), request.route.toDestination, isLate)
}
