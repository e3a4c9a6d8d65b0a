package cells

// openRequest is an admitted request under way. There is one for each, so the fields are ordered to save memory.
type openRequest struct {
	sizeKB        float64
	fillKB        float64        // estimate of what is filled over the link
	originKB      float64        // estimate of what the origin sends
	admittedAt    int64          // microseconds
	route         migrationRoute // of a migrating tenant's request
	tenant        int32
	cell          int32
	class         int16 // index in the settings; 0 while there is neither a migration nor a rollout
	recent        int8  // 1: its chunk had been requested recently; index of missRatio
	isUncacheable bool
	isRelease     bool // the object belongs to the rollout's release
}

// hasOpenCapacity reports whether a cell may have one more open request. It may use its share at any time; beyond that
// the shares of other active cells stay reserved.
func (a *Admission) hasOpenCapacity(cell int) bool {
	limit := float64(a.budget.maxOpenRequests)
	if limit == 0 {
		return true
	}
	c := &a.scope.cells[cell]
	if float64(c.openRequests) < c.share*limit {
		return true
	}
	reserved := 0.0
	for i := range a.scope.cells {
		if other := &a.scope.cells[i]; i != cell && other.fairShare.activeTenants > 0 {
			reserved += max(other.share*limit-float64(other.openRequests), 0)
		}
	}
	return float64(len(a.openRequests))+reserved < maxOpenFraction*limit
}

// closeRequest forgets a request that has ended.
func (a *Admission) closeRequest(id string) {
	a.parents.forget(id)
	if request, isOpen := a.openRequests[id]; isOpen {
		a.scope.cells[request.cell].openRequests--
		delete(a.openRequests, id)
	}
}

// reassignOpenRequests moves open requests to the cells and tenants of a new assignment. Those whose cell or tenant it
// does not have are no longer counted.
func (a *Admission) reassignOpenRequests(previousCells []cell, newTenantIndex []int32) {
	for id, request := range a.openRequests {
		newCell, exists := a.scope.assignment.cellByName[previousCells[request.cell].name]
		newTenant := newTenantIndex[request.tenant]
		if !exists || newTenant == noTenant {
			delete(a.openRequests, id)
			continue
		}
		request.cell, request.tenant = newCell, newTenant
		a.scope.cells[newCell].openRequests++
		a.openRequests[id] = request
	}
}

// isLate reports whether an answer that comes now misses the latency objective of its class.
func (s *shared) isLate(now int64, request *openRequest) bool {
	return float64(now-request.admittedAt) > s.latencyObjective(request)
}

// latencyObjective returns how long an answer may take to count in full, in microseconds. It grows with the size.
func (s *shared) latencyObjective(request *openRequest) float64 {
	class := &s.settings.Classes[request.class]
	objective := float64(class.LatencyObjective)
	rate := s.settings.Hierarchy.ResponseKBPerSecond
	if rate <= 0 {
		return objective
	}
	return objective + class.ObjectiveSizeFactor*request.sizeKB/rate*1e6
}
