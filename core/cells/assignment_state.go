package cells

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"spantack/core/migration"
	"spantack/routing"
)

// firstTenantSubset is the number of the first tenant's subset in the engine. Subsets 1 to MaxCells belong to cells.
const firstTenantSubset = MaxCells + 1

func cellSubset(cell int) int     { return cell + 1 }
func tenantSubset(tenant int) int { return firstTenantSubset + tenant }

const (
	noCell         = -1
	noTenant int32 = -1
)

const (
	overloadRejectFraction = 0.05      // a cell is overloaded if the engine rejects more than this fraction of requests
	activeCountInterval    = 500_000   // minimum time between two counts of active tenants, microseconds
	activeWithin           = 2_000_000 // a tenant stays active for this time after its last request, microseconds
)

// assignmentState is the assignment in force, with the state of its tenants and cells at this router.
type assignmentState struct {
	*shared
	assignment   *Assignment // nil: none is in force
	spec         *Spec       // of the assignment
	tenants      []tenant    // in the order of the specification
	cells        []cell      // in the order of the specification
	overflowCell int         // or noCell
	recentChunks recentChunks

	caches          []string        // listed edge caches of this site, sorted
	subsetEvents    []routing.Event // reused
	activeCountedAt int64           // time of the last count of active tenants, microseconds; 0: never
}

// tenant is the state of one tenant at this router.
type tenant struct {
	name          string
	weight        float64
	cell          int
	usage         decayingSum // cost of its recent requests, in seconds; see budget.cost
	missRatio     missRatio
	demand        demandRate
	migration     *migrationProgress // nil: the tenant does not migrate
	subsetVersion int                // 1 + version of the endpoint list that its subset was defined for; 0: none
	isActive      bool
}

// cell is the state of one cell at this router.
type cell struct {
	name            string
	fallback        int     // index of a cell, or noCell
	share           float64 // fraction of each shared resource
	hasHealthyCache bool
	caches          []string // sorted
	fairShare       fairShare
	openRequests    int
	missRatio       missRatio                 // of all its tenants
	arrivals        decayingSum               // recent requests
	rejections      decayingSum               // recent requests that the engine rejected
	capacity        migration.CapacityLimiter // limits requests of tenants that migrate into the cell
	warmFraction    float64                   // current capacity of healthy caches / capacity of all caches when warm
}

// observeRejection records that the engine rejected a request. The cell counts as overloaded only while the engine
// rejects more than overloadRejectFraction of its requests, because a few rejections are not significant.
func (c *cell) observeRejection(now int64) {
	if c.rejections.add(now, 1) > overloadRejectFraction*c.arrivals.valueAt(now) {
		c.fairShare.observeRejection(now)
	}
}

// SetAssignment applies an assignment, or with nil removes it. Open requests end at the caches where they started. If
// the new assignment has both the cell and the tenant of an open request, the request is counted in the cell of the
// same name. Otherwise the request is no longer tracked. The state of a tenant is kept if both assignments have the
// tenant. The state of cells starts from its initial values.
func (a *Admission) SetAssignment(now int64, next *Assignment) {
	a.state.dropTenantSubsets(now)
	if next == nil {
		a.clearAssignment(now)
		return
	}
	previousCells := a.state.cells
	newTenantIndex := a.state.replace(next)
	a.reassignOpenRequests(previousCells, newTenantIndex)
	a.state.dropCellSubsets(now, len(a.state.cells), len(previousCells))
	a.budget = a.newBudget(next.spec)
	a.origin.setAssignmentLimit(now, next.spec.Budget.MaxOriginFills)
	a.state.assignCaches(now)
	a.migrations.rebuild(now)
}

func (a *Admission) clearAssignment(now int64) {
	a.state.dropCellSubsets(now, 0, len(a.state.cells))
	a.state.clear()
	a.origin.setAssignmentLimit(now, 0)
	a.migrations.clear()
	a.rollout.clear()
	clear(a.openRequests)
}

// AssignmentVersion returns the version of the assignment in force, or 0 without an assignment.
func (a *Admission) AssignmentVersion() int64 {
	if a.state.spec == nil {
		return 0
	}
	return a.state.spec.Version
}

// TenantOf returns the index in the specification of the tenant that a request belongs to. It must not be called
// without an assignment.
func (a *Admission) TenantOf(event *routing.Event) int { return a.state.tenantOf(event) }

// CachesOf returns the caches that a tenant's requests currently go to, or nil without an assignment.
func (a *Admission) CachesOf(tenant int) []string { return a.state.cachesOf(tenant) }

func (s *assignmentState) tenantOf(event *routing.Event) int {
	return s.assignment.tenantOf(int(event.PurgeGroup), event.Class, event.Object, event.Tenant)
}

func (s *assignmentState) cachesOf(index int) []string {
	if s.spec == nil || index < 0 || index >= len(s.tenants) {
		return nil
	}
	t := &s.tenants[index]
	return s.spec.cachesOf(t.name, s.caches, s.cells[t.cell].caches)
}

// replace replaces the tenants and cells by those of another assignment. The result is indexed by a tenant's old index
// and contains its new index, or noTenant if the new assignment does not have the tenant.
func (s *assignmentState) replace(next *Assignment) (newTenantIndex []int32) {
	if s.recentChunks.sketch == nil {
		s.recentChunks = newRecentChunks()
	}
	newTenantIndex = s.replaceTenants(next)
	s.replaceCells(next)
	s.assignment, s.spec = next, next.spec
	return newTenantIndex
}

func (s *assignmentState) replaceTenants(next *Assignment) (newIndex []int32) {
	previous, previousTenants := s.assignment, s.tenants
	newIndex = make([]int32, len(previousTenants))
	for i := range newIndex {
		newIndex[i] = noTenant
	}
	s.tenants = make([]tenant, len(next.spec.Tenants))
	for i := range next.spec.Tenants {
		spec, t := &next.spec.Tenants[i], &s.tenants[i]
		t.name = spec.Name
		t.weight = cmp.Or(spec.Weight, 1)
		t.cell = next.cellAt(i, s.settings.Zone)
		if previous == nil {
			continue
		}
		if old, existed := previous.tenantByName[spec.Name]; existed {
			newIndex[old] = int32(i)
			t.usage = previousTenants[old].usage
			t.missRatio = previousTenants[old].missRatio
			t.demand = previousTenants[old].demand
		}
	}
	return newIndex
}

func (s *assignmentState) replaceCells(next *Assignment) {
	s.cells = make([]cell, len(next.spec.Cells))
	s.overflowCell = noCell
	for i, spec := range next.spec.Cells {
		s.cells[i] = cell{
			name:      spec.Name,
			share:     spec.Share,
			fallback:  noCell,
			missRatio: initialMissRatio,
			fairShare: fairShare{limit: math.Inf(1)},
			capacity:  migration.NewCapacityLimiter(),
		}
		if fallback, isNamed := next.cellByName[spec.FallbackCell]; isNamed {
			s.cells[i].fallback = int(fallback)
		}
		if spec.Name == next.spec.OverflowCell {
			s.overflowCell = i
		}
	}
}

func (s *assignmentState) clear() {
	s.assignment, s.spec = nil, nil
	s.tenants, s.cells = nil, nil
}

// defineSubset defines a subset of servers in the engine. Without servers the subset is removed.
func (s *shared) defineSubset(now int64, subset int, servers []string) {
	s.engine.Step(now, []routing.Event{{Kind: routing.EventSubset, Subset: subset, SubsetServers: servers}})
}

func (s *assignmentState) dropTenantSubsets(now int64) {
	for i := range s.tenants {
		if s.tenants[i].subsetVersion != 0 {
			s.defineSubset(now, tenantSubset(i), nil)
		}
	}
}

func (s *assignmentState) dropCellSubsets(now int64, from, to int) {
	for i := from; i < to; i++ {
		s.defineSubset(now, cellSubset(i), nil)
	}
}

// assignCaches divides the listed caches among cells and updates the cells' subsets in the engine. A draining cache
// stays in its cell until it is removed from the list. Replacing a cache therefore changes the division once instead of
// twice.
func (s *assignmentState) assignCaches(now int64) {
	s.caches = slices.AppendSeq(s.caches[:0], maps.Keys(s.endpoints.edgeCaches))
	slices.Sort(s.caches)
	s.subsetEvents = s.subsetEvents[:0]
	for i, caches := range divideCaches(s.spec.Cells, s.caches) {
		c := &s.cells[i]
		if s.spec.Scheme == SchemeShuffle { // a cell's subset has all caches, because each tenant has its own subset
			caches = s.caches
		}
		c.hasHealthyCache = slices.ContainsFunc(caches, s.endpoints.isHealthyCache)
		if slices.Equal(c.caches, caches) && len(caches) > 0 {
			continue
		}
		c.caches = slices.Clone(caches)
		s.subsetEvents = append(s.subsetEvents, routing.Event{
			Kind:            routing.EventSubset,
			Subset:          cellSubset(i),
			AccountingGroup: i + 1,
			CapacityShare:   c.share,
			SubsetServers:   c.caches,
		})
	}
	if len(s.subsetEvents) > 0 {
		s.engine.Step(now, s.subsetEvents)
	}
}

// subsetOf returns the subset of caches for a tenant's requests in a cell. With SchemeShuffle and SchemeNested, a
// tenant has its own subset for its own cell. That subset is defined in the engine on first use. In another cell, and
// with the other schemes, a tenant uses the subset of the whole cell.
func (s *assignmentState) subsetOf(now int64, index, inCell int) int {
	t := &s.tenants[index]
	hasOwnSubset := s.spec.Scheme == SchemeShuffle || s.spec.Scheme == SchemeNested
	if !hasOwnSubset || inCell != t.cell {
		return cellSubset(inCell)
	}
	if t.subsetVersion != s.endpoints.version+1 {
		t.subsetVersion = s.endpoints.version + 1
		s.engine.Step(now, []routing.Event{{
			Kind:            routing.EventSubset,
			Subset:          tenantSubset(index),
			AccountingGroup: t.cell + 1,
			CapacityShare:   s.cells[t.cell].share,
			SubsetServers:   s.cachesOf(index),
		}})
	}
	return tenantSubset(index)
}

// countActiveTenants updates the number of active tenants of each cell, at most once per activeCountInterval.
func (s *assignmentState) countActiveTenants(now int64) {
	if now-s.activeCountedAt < activeCountInterval && s.activeCountedAt != 0 {
		return
	}
	s.activeCountedAt = now
	for i := range s.cells {
		s.cells[i].fairShare.activeTenants = 0
	}
	for i := range s.tenants {
		t := &s.tenants[i]
		if t.isActive && now-t.usage.updatedAt > activeWithin {
			t.isActive = false
		}
		if t.isActive {
			s.cells[t.cell].fairShare.activeTenants++
		}
	}
}
