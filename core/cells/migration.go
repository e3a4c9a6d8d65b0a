package cells

import (
	"math"

	"spantack/core/migration"
	"spantack/routing"
)

// capacityInterval, in microseconds, is how often the capacity of cells is measured and migrations are paced.
const capacityInterval = 250_000

// migrations leads the requests of migrating tenants from cell to cell.
type migrations struct {
	*shared
	scope          *scope
	budget         *budget
	document       *migration.Document  // nil: no tenant migrates
	active         []*migrationProgress // of this site
	advancedAt     int64                // microseconds; 0: advance at the next call
	healthyParents []migration.Server   // reused
}

// migrationProgress is one tenant's migration as this router performs it.
type migrationProgress struct {
	migration *migration.Migration
	fromCell  int // index of a cell in the assignment in force
	toCell    int
	pace      migration.Pacer
}

// migrationRoute is how one request of a migrating tenant goes.
type migrationRoute struct {
	progress      *migrationProgress // nil: its tenant does not migrate
	toDestination bool               // it goes to the cell that objects go to: the new cell, or the old one in a rollback
	isCold        bool               // its chunk has not been requested there recently
	rejected      Reason             // why it goes nowhere, or ReasonNone
}

func (r *migrationRoute) isColdInDestination() bool { return r.isCold && r.toDestination }

// SetMigrations puts a document in force, or with nil none. It must fit the assignment in force. A migration that goes
// on keeps its pace. A tenant whose migration is left out is in the cell that the assignment names, one whose migration
// is over in the cell that it led to.
func (a *Admission) SetMigrations(now int64, document *migration.Document) {
	if a.scope.spec == nil {
		return
	}
	a.migrations.document = document
	a.migrations.bind(now)
}

// MigrationsVersion returns the version of the document in force, 0 without one.
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
	Share    float64 `json:"share"` // of the tenant's objects that go to the new cell from this router
	MinShare float64 `json:"least"` // that the document allows now
	MaxShare float64 `json:"most"`  // that the document allows now
}

// Migrations describes the migrations of this site.
func (a *Admission) Migrations(now int64) []MigrationStatus {
	millis := a.documentMillis(now)
	var all []MigrationStatus
	for _, p := range a.migrations.active {
		all = append(all, MigrationStatus{
			Tenant:   p.migration.Tenant,
			From:     p.migration.From,
			To:       p.migration.To,
			Phase:    p.migration.Phase(millis).String(),
			Share:    p.pace.Share(),
			MinShare: p.migration.MinShare(millis),
			MaxShare: p.migration.MaxShare(millis),
		})
	}
	return all
}

func (m *migrations) areActive() bool { return len(m.active) > 0 }

func (m *migrations) clear() { m.document, m.active = nil, nil }

// bind starts the migrations of this site by document and assignment; those that go on keep their pace.
func (m *migrations) bind(now int64) {
	type key struct{ tenant, from, to string }
	previous := map[key]*migrationProgress{}
	for _, p := range m.active {
		previous[key{p.migration.Tenant, p.migration.From, p.migration.To}] = p
	}
	m.active = nil
	for i := range m.scope.tenants {
		m.scope.tenants[i].migration = nil
	}
	if m.document == nil {
		return
	}
	for i := range m.document.Migrations {
		entry := &m.document.Migrations[i]
		p, tenant := m.start(entry)
		if p == nil {
			continue
		}
		if before := previous[key{entry.Tenant, entry.From, entry.To}]; before != nil {
			p.pace = before.pace
		}
		tenant.migration = p
		m.active = append(m.active, p)
	}
	m.advanceDue()
	m.advance(now)
}

// start returns the progress of a migration with its tenant, or nil where it is not for this site or the assignment no
// longer has its tenant or cells: the tenant then is where the assignment says.
func (m *migrations) start(entry *migration.Migration) (*migrationProgress, *tenant) {
	if entry.Site != m.settings.Zone && entry.Site != migration.AllSites {
		return nil, nil
	}
	tenant, hasTenant := m.scope.assignment.tenantByName[entry.Tenant]
	from, hasFrom := m.scope.assignment.cellByName[entry.From]
	to, hasTo := m.scope.assignment.cellByName[entry.To]
	if !hasTenant || !hasFrom || !hasTo {
		return nil, nil
	}
	return &migrationProgress{migration: entry, fromCell: int(from), toCell: int(to)}, &m.scope.tenants[tenant]
}

// advanceDue makes the next advance measure capacity at once.
func (m *migrations) advanceDue() { m.advancedAt = 0 }

// advance measures, at intervals, the capacity of cells, and paces the migrations.
func (m *migrations) advance(now int64) {
	if !m.areActive() || now-m.advancedAt < capacityInterval && m.advancedAt != 0 {
		return
	}
	m.advancedAt = now
	m.measureCells(now)
	for _, p := range m.active {
		m.pace(now, p)
	}
}

// pace steps a migration. Its tenant counts in the cell that has the greater part of its objects.
func (m *migrations) pace(now int64, p *migrationProgress) {
	p.pace.SetWarmCapacity(min(m.scope.cells[p.fromCell].warmFraction, m.scope.cells[p.toCell].warmFraction))
	cell := p.fromCell
	if p.pace.Step(m.documentMillis(now), p.migration) >= 0.5 {
		cell = p.toCell
	}
	m.scope.tenants[m.scope.assignment.tenantByName[p.migration.Tenant]].cell = cell
}

// measureCells measures how much each cell can take at this router.
func (m *migrations) measureCells(now int64) {
	model := m.edgeCapacity()
	parentWarmFraction := m.parentWarmFraction(now)
	routers := float64(m.routersAtSite())
	var servers []migration.Server
	for i := range m.scope.cells {
		c := &m.scope.cells[i]
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

// parentWarmFraction returns the capacity of the healthy parents as a part of that when they are warm.
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

// fillCapacity returns the KB per second of fills that a cell may take by the budget; infinite without a limit.
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

// selectCell decides which of its two cells a request of a migrating tenant goes to, also while caches are replaced or
// lost. It is the cell that the migration gives its object. Where that is the destination, and it has no healthy cache
// or no capacity, it is the source, which still has the object. Where the source has no healthy cache, it is the
// destination as far as its capacity goes; otherwise the request is rejected.
func (m *migrations) selectCell(
	now int64, p *migrationProgress, event *routing.Event, sizeKB float64,
) (int, migrationRoute) {
	millis := m.documentMillis(now)
	if !p.migration.InProgress(millis) {
		m.recordAtHome(now, p, event)
		if p.migration.Phase(millis) == migration.Done {
			return p.toCell, migrationRoute{}
		}
		return p.fromCell, migrationRoute{}
	}
	destination, source := p.toCell, p.fromCell
	hasMigrated := p.migration.Position(event.Object) < p.pace.Share()
	if p.migration.RollbackStarted(millis) {
		destination, source = p.fromCell, p.toCell
		hasMigrated = !hasMigrated
	}
	route := migrationRoute{progress: p, toDestination: hasMigrated}
	destinationLives := m.scope.cells[destination].hasLiveCache
	sourceLives := m.scope.cells[source].hasLiveCache
	switch {
	case !hasMigrated && (sourceLives || !destinationLives):
		m.recordAtHome(now, p, event)
		return source, route
	case !destinationLives:
		route.toDestination = false
		if sourceLives {
			return source, route
		}
		return destination, route // which has a fallback cell, or rejects the request
	}
	route.isCold = !m.scope.recentChunks.isRecentInCell(now, event.Object, event.Chunk, destination)
	hasCapacity := p.migration.Unbounded || m.acquire(now, destination, sizeKB, route.isCold)
	if hasMigrated {
		p.pace.ObserveAdmission(millis, hasCapacity)
	}
	switch {
	case hasCapacity:
		route.toDestination = true
		return destination, route
	case sourceLives:
		m.stats.Deferred++
		return source, migrationRoute{progress: p}
	}
	route.rejected = ReasonMigrating
	return destination, route
}

// acquire takes a request from the capacity of a cell, if there is enough left.
func (m *migrations) acquire(now int64, cell int, sizeKB float64, isCold bool) bool {
	fillKB := 0.0
	if isCold {
		fillKB = sizeKB
	}
	return m.scope.cells[cell].capacity.TryAcquire(now, sizeKB, fillKB)
}

// recordAtHome records that a chunk was requested in the cell that its object goes from.
func (m *migrations) recordAtHome(now int64, p *migrationProgress, event *routing.Event) {
	cell := p.fromCell
	if p.migration.RollbackStarted(m.documentMillis(now)) {
		cell = p.toCell
	}
	m.scope.recentChunks.recordInCell(now, event.Object, event.Chunk, cell)
}

// admitToDestination records an admitted request that goes to the destination: only now its chunk will be known there.
// The engine may send it to the other cell where this one has no capacity, but never into the destination beyond the
// destination's capacity.
func (m *migrations) admitToDestination(now int64, route *migrationRoute, cell int, event *routing.Event) {
	m.scope.recentChunks.recordInCell(now, event.Object, event.Chunk, cell)
	m.stats.Migrated++
	other := route.progress.fromCell
	if event.Subset == cellSubset(other) {
		other = route.progress.toCell
	}
	if event.OverflowSubset == 0 && m.scope.cells[other].hasLiveCache {
		event.OverflowSubset = cellSubset(other)
	}
}

// observeOutcome learns from an attempt that was served.
func (m *migrations) observeOutcome(now int64, request *openRequest, event *routing.Event) {
	if event.Outcome != routing.OutcomeServed || !m.areActive() {
		return // of other attempts, only the end of the request shows whether it was served in time
	}
	rate := m.settings.Hierarchy.ResponseKBPerSecond
	if event.CacheStatus.IsFilled() && rate > 0 && request.sizeKB > 0 {
		expected := request.sizeKB / rate * 1e6
		m.scope.cells[request.cell].capacity.ObserveFillCost(float64(event.UpstreamWait) / expected)
	}
	if request.route.progress != nil {
		m.observeAnswer(now, request, m.isLate(now, request))
	}
}

// observeUnserved learns from a request that the engine rejected or failed.
func (m *migrations) observeUnserved(now int64, request *openRequest) {
	if request.route.progress != nil {
		m.observeAnswer(now, request, true)
	}
}

func (m *migrations) observeAnswer(now int64, request *openRequest, isLate bool) {
	pace := &request.route.progress.pace
	pace.ObserveAnswer(m.documentMillis(now), request.route.toDestination, isLate)
}
