package cells

import (
	"slices"

	"spantack/routing"
)

// updateEndpoints keeps the own depot's part of the list of servers.
func (m *Admission) updateEndpoints(ev *routing.Event) {
	if ev.UpdateMode == "unavailable" {
		return
	}
	if ev.UpdateMode != "update" {
		clear(m.edgeCaches)
		clear(m.parentServers)
	}
	for _, row := range ev.Endpoints {
		kind := slices.Index(m.settings.Kinds, row.Kind)
		shield := kind == m.settings.Hierarchy.ParentKind
		delete(m.edgeCaches, row.Server)
		delete(m.parentServers, row.Server)
		switch {
		case row.Status == "deregistered":
		case shield:
			m.parentServers[row.Server] = row
		case row.Zone == m.settings.Zone && kind != m.settings.Hierarchy.OriginKind:
			m.edgeCaches[row.Server] = row
		}
	}
	m.endpointsVersion++
	m.capacityMeasuredAt = 0
}

// admit decides whether a request may try at all, and where. It costs no allocation.
func (m *Admission) admit(now int64, ev *routing.Event) Reason {
	m.countActiveTenants(now)
	m.measureCapacity(now)
	m.tickRollout(now)
	tenantIndex := m.TenantOf(ev)
	t := &m.tenants[tenantIndex]
	home := t.cell
	write := m.uncacheable[ev.Class]
	sizeKB := ev.SizeKB
	if sizeKB <= 0 {
		sizeKB = defaultRequestKB
	}
	var route migrationRoute
	if t.migration != nil && !write {
		if home, route = m.routeMigrating(now, t.migration, ev, sizeKB); route.rejected != ReasonNone {
			return route.rejected
		}
	}
	if straight := write && m.settings.Hierarchy.AllowsDirectFetch; !straight && !m.cells[home].hasLiveCache { // what goes past the caches needs none
		home = m.cells[home].fallback
		if home < 0 || !m.cells[home].hasLiveCache {
			return ReasonNoLiveCache
		}
		m.Stats.FellBack++
	}
	c := &m.cells[home]
	release := m.rollout != nil && m.rollout.Rollout().Contains(int(ev.PurgeGroup), ev.Object)
	if release && !m.applyRolloutGate(c.name, ev) {
		return ReasonNotReleased
	}
	c.arrivals.add(now, 1)
	recent := int8(0)
	if m.recentParts.addHash(now, partHash(ev.Object, ev.Chunk), 1) >= 1+recentThreshold {
		recent = 1
	}
	miss, deeper := t.missRatio.expect(recent, &m.cells[t.cell].missRatio)
	fillKB, originKB := sizeKB*miss, sizeKB*deeper
	if write {
		fillKB, originKB = 0, 0
	} else if route.progress != nil {
		fillKB, originKB = route.adjustFill(fillKB, originKB, sizeKB)
	}
	// What it takes of the depot, in seconds of the thing it takes most of.
	cost := 1e-6
	for _, of := range [...]struct {
		t      *sharedRate
		amount float64
	}{{m.requestRate, 1}, {m.linkRate, fillKB}, {m.parentRate, fillKB}, {m.originRate, originKB}} {
		if of.t.perMicrosecond > 0 {
			cost = max(cost, of.amount/(of.t.perMicrosecond*1e6))
		}
	}
	used := t.usage.add(now, cost) / t.weight
	t.active = true
	t.demand.add(now, sizeKB, fillKB, m.priorityWeight[ev.Class])
	c.fairShare.total.add(now, cost)
	c.fairShare.observe(now, used)
	over := c.fairShare.exceeds(now, used)
	if over && !write {
		return ReasonHeavyTenant
	}
	reason := ReasonNone
	if write {
		m.uncacheableRate.refill(now)
		if !m.uncacheableRate.mayTake(home, !over) {
			reason = ReasonUncacheableRate
		}
	} else {
		m.requestRate.refill(now)
		m.linkRate.refill(now)
		m.parentRate.refill(now)
		m.originRate.refill(now)
		quiet := used < c.fairShare.total.valueAt(now)/max(c.fairShare.activeTenants, 1)
		switch {
		case !m.requestRate.mayTake(home, quiet):
			reason = ReasonRequestRate
		case !m.linkRate.mayTake(home, quiet):
			reason = ReasonLinkRate
		case !m.parentRate.mayTake(home, quiet):
			reason = ReasonParentRate
		case !m.originRate.mayTake(home, quiet):
			reason = ReasonOriginRate
		}
	}
	if reason == ReasonNone && m.maxOpenRequests > 0 && !m.hasOpenCapacity(home) {
		reason = ReasonOpenRequests
	}
	if reason != ReasonNone {
		c.fairShare.observeRejection(now)
		return reason
	}
	if write {
		m.uncacheableRate.take(home, 1)
	} else {
		m.requestRate.take(home, 1)
		m.linkRate.take(home, fillKB)
		m.parentRate.take(home, fillKB)
		m.originRate.take(home, originKB)
	}
	ev.Subset = m.subsetOf(now, tenantIndex, home)
	if m.overflowCell >= 0 && home != m.overflowCell {
		ev.OverflowSubset = m.overflowCell + 1
	}
	if route.toDestination {
		m.admitMigrating(now, &route, home, ev)
	} else if !write && len(m.activeMigrations) > 0 {
		c.capacity.RecordResident(now, sizeKB, fillKB)
	}
	c.openRequests++
	m.heavyObjects.Add(now, ev.Object, sizeKB)
	class := 0
	if m.rollout != nil || len(m.activeMigrations) > 0 {
		class = m.classIndex[ev.Class]
	}
	m.openRequests[ev.RequestID] = openRequest{tenant: int32(tenantIndex), cell: int32(home), sizeKB: sizeKB, fillKB: fillKB, originKB: originKB, recent: recent, isUncacheable: write, class: int16(class), isRelease: release, admittedAt: now, route: route}
	m.Stats.Admitted++
	return ReasonNone
}

// hasOpenCapacity keeps a place for each cell's share of the requests open at once.
func (m *Admission) hasOpenCapacity(home int) bool {
	c := &m.cells[home]
	if float64(c.openRequests) < c.share*float64(m.maxOpenRequests) {
		return true
	}
	kept := 0.0
	for i := range m.cells {
		if o := &m.cells[i]; i != home && o.fairShare.activeTenants > 0 {
			kept += max(o.share*float64(m.maxOpenRequests)-float64(o.openRequests), 0)
		}
	}
	return float64(len(m.openRequests))+kept < maxOpenFraction*float64(m.maxOpenRequests)
}

// countActiveTenants finds now and then how many tenants of each cell have asked of late.
func (m *Admission) countActiveTenants(now int64) {
	if now-m.activeCountedAt < activeCountInterval && m.activeCountedAt != 0 {
		return
	}
	m.activeCountedAt = now
	for i := range m.cells {
		m.cells[i].fairShare.activeTenants = 0
	}
	for i := range m.tenants {
		t := &m.tenants[i]
		if t.active && now-t.usage.updatedAt > activeWithin {
			t.active = false
		}
		if t.active {
			m.cells[t.cell].fairShare.activeTenants++
		}
	}
}

// rejection is the answer at the gate. Whoever is over budget is told to stay away for long, at random so that they do
// not come back together.
func (m *Admission) rejection(ev *routing.Event) routing.Action {
	most := float64(m.settings.Permissions.MaxRetryAfter)
	return routing.Action{Kind: routing.ActionReject, RequestID: ev.RequestID, RetryAfter: int64(most * (minRetryAfterFraction + (1-minRetryAfterFraction)*m.rng.Float64()))}
}

// observeOutcome corrects what was reckoned once it is known whether there was a fill.
func (m *Admission) observeOutcome(now int64, ev *routing.Event) {
	o, known := m.openRequests[ev.RequestID]
	if !known {
		return
	}
	t := &m.tenants[o.tenant]
	if ev.Outcome == routing.OutcomeServed && !o.isUncacheable {
		missed, deep := 0.0, 0.0
		if ev.CacheStatus == 2 || ev.CacheStatus == 3 {
			missed = 1
		}
		if ev.CacheStatus == 3 {
			deep = 1
		}
		if !o.route.cold { // what it finds in a cell that does not know it yet tells nothing of what it will take
			t.missRatio.learn(o.recent, missed, deep, tenantLearningStep)
			m.cells[t.cell].missRatio.learn(o.recent, missed, deep, cellLearningStep)
		}
		m.linkRate.correct(int(o.cell), o.sizeKB*missed-o.fillKB)
		m.parentRate.correct(int(o.cell), o.sizeKB*missed-o.fillKB)
		m.originRate.correct(int(o.cell), o.sizeKB*deep-o.originKB)
	}
	m.observeAnswer(now, &o, ev)
	if ev.IsFinal {
		m.closeRequest(ev.RequestID)
	}
}

// observeDecisions looks at what rules decided: final answers, and refusals that show a crowded cell.
func (m *Admission) observeDecisions(now int64, acts []routing.Action) {
	for i := range acts {
		switch a := &acts[i]; a.Kind {
		case routing.ActionReject:
			if o, known := m.openRequests[a.RequestID]; known {
				m.cells[o.cell].observeRejection(now)
				m.observeUnserved(now, &o, false)
			}
			m.closeRequest(a.RequestID)
		case routing.ActionFail:
			if o, known := m.openRequests[a.RequestID]; known {
				m.observeUnserved(now, &o, true)
			}
			m.closeRequest(a.RequestID)
		}
	}
}

func (m *Admission) closeRequest(call string) {
	delete(m.parents.groupByRequest, call)
	if o, known := m.openRequests[call]; known {
		m.cells[o.cell].openRequests--
		delete(m.openRequests, call)
	}
}
