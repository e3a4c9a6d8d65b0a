package cells

import "spantack/routing"

const (
	defaultRequestKB      = 100.0 // assumed response size for a request that does not state it
	minRetryAfterFraction = 0.25  // shortest Retry-After of a rejected request, as a fraction of the longest
)

// candidate is a request that admission is deciding on.
type candidate struct {
	tenantIndex      int
	tenant           *tenant
	cellIndex        int
	cell             *cell
	class            requestClass
	isUncacheable    bool
	isRelease        bool // the object belongs to the rollout's release
	sizeKB           float64
	recent           int8    // 1: its chunk was requested recently; 0: it was not
	fillKB           float64 // estimate of KB filled over the link
	originKB         float64 // estimate of KB sent by the origin
	usage            float64 // usage of the request's tenant, divided by the tenant's weight
	exceedsFairShare bool    // the usage is above the cell's fair-share limit
	route            migrationRoute
}

// admit decides whether the engine may handle a request, and sets the caches that the engine may use. There must be an
// assignment in force. admit allocates memory only while its maps and lists grow, when a tenant's subset is first used,
// and in the periodic updates of migrations and the rollout.
func (a *Admission) admit(now int64, event *routing.Event) Reason {
	a.state.countActiveTenants(now)
	a.migrations.advance(now)
	a.rollout.advance(now)

	c := a.newCandidate(event)
	if reason := a.selectCell(now, event, &c); reason != ReasonNone {
		return reason
	}
	if reason := a.rollout.gate(event, &c); reason != ReasonNone {
		return reason
	}
	a.estimateFill(now, event, &c)
	a.recordUsage(now, &c)
	if c.exceedsFairShare && !c.isUncacheable {
		return ReasonHeavyTenant
	}
	if reason := a.checkBudget(now, &c); reason != ReasonNone {
		c.cell.fairShare.observeRejection(now)
		return reason
	}
	a.takeBudget(&c)
	a.setSubsets(now, event, &c)
	a.recordOpenRequest(now, event, &c)
	return ReasonNone
}

func (a *Admission) newCandidate(event *routing.Event) candidate {
	index := a.state.tenantOf(event)
	class := a.classes[event.Class]
	c := candidate{
		tenantIndex:   index,
		tenant:        &a.state.tenants[index],
		class:         class,
		isUncacheable: class.isUncacheable,
		sizeKB:        event.SizeKB,
	}
	if c.sizeKB <= 0 {
		c.sizeKB = defaultRequestKB
	}
	return c
}

// selectCell selects the cell of a request. For a cacheable request of a migrating tenant, this is one of the
// migration's two cells, otherwise the tenant's cell. If the request needs a cache and the selected cell has no healthy
// one, selectCell uses that cell's fallback cell. It returns ReasonNoHealthyCache if the fallback cell has no healthy
// cache either, or if there is no fallback cell.
func (a *Admission) selectCell(now int64, event *routing.Event, c *candidate) Reason {
	c.cellIndex = c.tenant.cell
	if c.tenant.migration != nil && !c.isUncacheable {
		c.cellIndex, c.route = a.migrations.selectCell(now, c.tenant.migration, event, c.sizeKB)
		if c.route.rejected != ReasonNone {
			return c.route.rejected
		}
	}
	needsCache := !c.isUncacheable || !a.settings.Hierarchy.AllowsDirectFetch
	if needsCache && !a.state.cells[c.cellIndex].hasHealthyCache {
		c.cellIndex = a.state.cells[c.cellIndex].fallback
		if c.cellIndex == noCell || !a.state.cells[c.cellIndex].hasHealthyCache {
			return ReasonNoHealthyCache
		}
		a.Stats.FellBack++
	}
	c.cell = &a.state.cells[c.cellIndex]
	return ReasonNone
}

// estimateFill estimates how many KB a request needs from the link and the parents, and how many from the origin.
func (a *Admission) estimateFill(now int64, event *routing.Event, c *candidate) {
	c.cell.arrivals.add(now, 1)
	if a.state.recentChunks.record(now, event.Object, event.Chunk) {
		c.recent = 1
	}
	if c.isUncacheable {
		return
	}
	fillRatio, originRatio := c.tenant.missRatio.estimate(c.recent, &a.state.cells[c.tenant.cell].missRatio)
	c.fillKB = c.sizeKB * fillRatio
	c.originKB = c.sizeKB * originRatio
	if c.route.isColdInDestination() {
		c.fillKB = c.sizeKB // originKB stays: the parents have the object, as they filled it for the source cell
	}
}

// recordUsage adds a request to the usage and demand of its tenant, and sets exceedsFairShare by comparing the usage
// with the cell's fair-share limit. Requests that the limit or the budget then rejects are counted too.
func (a *Admission) recordUsage(now int64, c *candidate) {
	cost := a.budget.cost(c.fillKB, c.originKB)
	c.usage = c.tenant.usage.add(now, cost) / c.tenant.weight
	c.tenant.isActive = true
	c.tenant.demand.add(now, c.sizeKB, c.fillKB, c.class.priorityWeight)
	fair := &c.cell.fairShare
	fair.total.add(now, cost)
	fair.observe(now, c.usage)
	c.exceedsFairShare = fair.exceeds(now, c.usage)
}

// checkBudget returns the reason for which the cell's budget does not allow a request, or ReasonNone. Requests of
// tenants with low usage may put the cell into debt, which is a negative number of tokens. For a cacheable request, low
// usage means below the mean usage of the cell's active tenants. For an uncacheable request, it means at most the
// fair-share limit.
func (a *Admission) checkBudget(now int64, c *candidate) Reason {
	reason := ReasonNone
	if c.isUncacheable {
		reason = a.budget.checkUncacheable(now, c.cellIndex, !c.exceedsFairShare)
	} else {
		reason = a.budget.check(now, c.cellIndex, c.usage < c.cell.fairShare.meanUsage(now))
	}
	if reason == ReasonNone && !a.hasOpenCapacity(c.cellIndex) {
		reason = ReasonOpenRequests
	}
	return reason
}

func (a *Admission) takeBudget(c *candidate) {
	if c.isUncacheable {
		a.budget.uncacheable.take(c.cellIndex, 1)
	} else {
		a.budget.take(c.cellIndex, c.fillKB, c.originKB)
	}
}

// setSubsets sets the subsets of caches in the event. The engine may use only these caches for the request.
func (a *Admission) setSubsets(now int64, event *routing.Event, c *candidate) {
	event.Subset = a.state.subsetOf(now, c.tenantIndex, c.cellIndex)
	if overflow := a.state.overflowCell; overflow != noCell && c.cellIndex != overflow {
		event.OverflowSubset = cellSubset(overflow)
	}
	if c.route.toDestination {
		a.migrations.admitToDestination(now, &c.route, c.cellIndex, event)
	} else if !c.isUncacheable && a.migrations.areActive() {
		c.cell.capacity.RecordResident(now, c.sizeKB, c.fillKB)
	}
}

// recordOpenRequest stores an admitted request until it ends.
func (a *Admission) recordOpenRequest(now int64, event *routing.Event, c *candidate) {
	c.cell.openRequests++
	a.heavyObjects.Add(now, event.Object, c.sizeKB)
	request := openRequest{
		sizeKB:        c.sizeKB,
		fillKB:        c.fillKB,
		originKB:      c.originKB,
		admittedAt:    now,
		route:         c.route,
		tenant:        int32(c.tenantIndex),
		cell:          int32(c.cellIndex),
		recent:        c.recent,
		isUncacheable: c.isUncacheable,
		isRelease:     c.isRelease,
	}
	if a.rollout.isActive() || a.migrations.areActive() {
		request.class = int16(c.class.index)
	}
	a.openRequests[event.RequestID] = request
	a.Stats.Admitted++
}

// rejection returns the action that rejects a request. Its Retry-After is random, between minRetryAfterFraction of
// MaxRetryAfter and MaxRetryAfter. This prevents clients from retrying all at the same time.
func (a *Admission) rejection(event *routing.Event) routing.Action {
	maxRetryAfter := float64(a.settings.Permissions.MaxRetryAfter)
	fraction := minRetryAfterFraction + (1-minRetryAfterFraction)*a.rng.Float64()
	return routing.Action{
		Kind:       routing.ActionReject,
		RequestID:  event.RequestID,
		RetryAfter: int64(maxRetryAfter * fraction),
	}
}

// observeOutcome updates estimates, the rollout and migrations with the outcome of an attempt.
func (a *Admission) observeOutcome(now int64, event *routing.Event) {
	request, isOpen := a.openRequests[event.RequestID]
	if !isOpen {
		return
	}
	if event.Outcome == routing.OutcomeServed && !request.isUncacheable {
		a.learnFill(&request, event.CacheStatus)
	}
	a.rollout.observeOutcome(now, &request, event)
	a.migrations.observeOutcome(now, &request, event)
	if event.IsFinal {
		a.closeRequest(event.RequestID)
	}
}

// learnFill updates miss ratios with a served attempt, and replaces the request's estimate in the budget by its actual
// usage.
func (a *Admission) learnFill(request *openRequest, status routing.CacheStatus) {
	filled, fromOrigin := 0.0, 0.0
	if status.IsFilled() {
		filled = 1
	}
	if status == routing.FilledFromOrigin {
		fromOrigin = 1
	}
	if !request.route.isCold { // the first miss of a chunk in a migration's destination predicts no later misses
		tenant := &a.state.tenants[request.tenant]
		tenant.missRatio.learn(request.recent, filled, fromOrigin, tenantLearningStep)
		a.state.cells[tenant.cell].missRatio.learn(request.recent, filled, fromOrigin, cellLearningStep)
	}
	a.budget.correct(request, request.sizeKB*filled, request.sizeKB*fromOrigin)
}

// observeDecisions records requests that the engine rejected or failed. Rejections indicate an overloaded cell.
func (a *Admission) observeDecisions(now int64, actions []routing.Action) {
	for i := range actions {
		action := &actions[i]
		if action.Kind != routing.ActionReject && action.Kind != routing.ActionFail {
			continue
		}
		if request, isOpen := a.openRequests[action.RequestID]; isOpen {
			if action.Kind == routing.ActionReject {
				a.state.cells[request.cell].observeRejection(now)
			}
			a.rollout.observeUnserved(&request, action.Kind == routing.ActionFail)
			a.migrations.observeUnserved(now, &request)
		}
		a.closeRequest(action.RequestID)
	}
}
