package cells

// openRequest is an admitted request that has not ended. The fields are ordered to save memory, as there may be many.
type openRequest struct {
	sizeKB        float64
	fillKB        float64        // estimate of KB filled over the link
	originKB      float64        // estimate of KB sent by the origin
	admittedAt    int64          // microseconds
	route         migrationRoute // of a migrating tenant's request
	tenant        int32
	cell          int32
	class         int16 // index in the settings; 0 if no migration or rollout was active at admission
	recent        int8  // index in missRatio; 1: its chunk was requested recently
	isUncacheable bool
	isRelease     bool // the object belongs to the rollout's release
}

// hasOpenCapacity reports whether a cell may have one more open request. A cell may always use its own share. It may
// exceed its share only with capacity that is not reserved. The unused shares of other active cells are reserved.
func (a *Admission) hasOpenCapacity(cell int) bool {
	limit := float64(a.budget.maxOpenRequests)
	if limit == 0 {
		return true
	}
	c := &a.state.cells[cell]
	if float64(c.openRequests) < c.share*limit {
		return true
	}
	reserved := 0.0
	for i := range a.state.cells {
		if other := &a.state.cells[i]; i != cell && other.fairShare.activeTenants > 0 {
			reserved += max(other.share*limit-float64(other.openRequests), 0)
		}
	}
	return float64(len(a.openRequests))+reserved < maxOpenFraction*limit
}

// closeRequest removes a request that has ended.
func (a *Admission) closeRequest(id string) {
	a.parents.forget(id)
	if request, isOpen := a.openRequests[id]; isOpen {
		a.state.cells[request.cell].openRequests--
		delete(a.openRequests, id)
	}
}

// reassignOpenRequests maps open requests to the cells and tenants of a new assignment. A request whose cell or tenant
// is not in the new assignment is no longer tracked.
func (a *Admission) reassignOpenRequests(previousCells []cell, newTenantIndex []int32) {
	for id, request := range a.openRequests {
		newCell, exists := a.state.assignment.cellByName[previousCells[request.cell].name]
		newTenant := newTenantIndex[request.tenant]
		if !exists || newTenant == noTenant {
			delete(a.openRequests, id)
			continue
		}
		request.cell, request.tenant = newCell, newTenant
		a.state.cells[newCell].openRequests++
		a.openRequests[id] = request
	}
}

// isLate reports whether a response at this time misses the latency objective of the request's class.
func (s *shared) isLate(now int64, request *openRequest) bool {
	return float64(now-request.admittedAt) > s.latencyObjective(request)
}

// latencyObjective returns the maximum latency of a response that is in time, in microseconds. It grows with the size
// of the response.
func (s *shared) latencyObjective(request *openRequest) float64 {
	class := &s.settings.Classes[request.class]
	objective := float64(class.LatencyObjective)
	rate := s.settings.Hierarchy.ResponseKBPerSecond
	if rate <= 0 {
		return objective
	}
	return objective + class.ObjectiveSizeFactor*request.sizeKB/rate*1e6
}
