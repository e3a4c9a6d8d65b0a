package cells

import (
	"slices"

	"spantack/rules"
)

// note keeps the own depot's part of the list of servers.
func (m *Module) note(ev *rules.Event) {
	if ev.UpdateMode == "unavailable" {
		return
	}
	if ev.UpdateMode != "update" {
		clear(m.list)
		clear(m.above)
	}
	for _, row := range ev.Endpoints {
		kind := slices.Index(m.set.Kinds, row.Kind)
		shield := kind == m.set.Hierarchy.ParentKind
		delete(m.list, row.Server)
		delete(m.above, row.Server)
		switch {
		case row.Status == "deregistered":
		case shield:
			m.above[row.Server] = row
		case row.Zone == m.set.Zone && kind != m.set.Hierarchy.OriginKind:
			m.list[row.Server] = row
		}
	}
	m.listed++
	m.lookedAt = 0
}

// admit decides whether a request may try at all, and where. It costs no allocation.
func (m *Module) admit(now int64, ev *rules.Event) Reason {
	m.count(now)
	m.look(now)
	m.turn(now)
	who := m.Tenant(ev)
	t := &m.tenants[who]
	home := t.cell
	write := m.writes[ev.Class]
	kb := ev.SizeKB
	if kb <= 0 {
		kb = sizeUnsaid
	}
	var by way
	if t.move != nil && !write {
		if home, by = m.route(now, t.move, ev, kb); by.why != None {
			return by.why
		}
	}
	if straight := write && m.set.Hierarchy.AllowsDirectFetch; !straight && !m.cells[home].live { // what goes past the caches needs none
		home = m.cells[home].spill
		if home < 0 || !m.cells[home].live {
			return NoCache
		}
		m.Stats.Spilled++
	}
	c := &m.cells[home]
	release := m.stage != nil && m.stage.Stage().Holds(int(ev.PurgeGroup), ev.Object)
	if release && !m.onStage(c.name, ev) {
		return Staged
	}
	c.asked.add(now, 1)
	lately := int8(0)
	if m.seen.addHash(now, partHash(ev.Object, ev.Chunk), 1) >= 1+seenAtLeast {
		lately = 1
	}
	miss, deeper := t.fills.expect(lately, &m.cells[t.cell].fills)
	fill, deep := kb*miss, kb*deeper
	if write {
		fill, deep = 0, 0
	} else if by.move != nil {
		fill, deep = by.reckon(fill, deep, kb)
	}
	// What it takes of the depot, in seconds of the thing it takes most of.
	cost := 1e-6
	for _, of := range [...]struct {
		t      *tree
		amount float64
	}{{m.requests, 1}, {m.fills, fill}, {m.parents, fill}, {m.origin, deep}} {
		if of.t.rate > 0 {
			cost = max(cost, of.amount/(of.t.rate*1e6))
		}
	}
	used := t.used.add(now, cost) / t.weight
	t.busy = true
	t.wants.add(now, kb, fill, m.gains[ev.Class])
	c.fair.all.add(now, cost)
	c.fair.see(now, used)
	over := c.fair.over(now, used)
	if over && !write {
		return Heavy
	}
	why := None
	if write {
		m.puts.fill(now)
		if !m.puts.mayTake(home, !over) {
			why = Writes
		}
	} else {
		m.requests.fill(now)
		m.fills.fill(now)
		m.parents.fill(now)
		m.origin.fill(now)
		quiet := used < c.fair.all.now(now)/max(c.fair.tenants, 1)
		switch {
		case !m.requests.mayTake(home, quiet):
			why = Requests
		case !m.fills.mayTake(home, quiet):
			why = Fills
		case !m.parents.mayTake(home, quiet):
			why = Parents
		case !m.origin.mayTake(home, quiet):
			why = Origin
		}
	}
	if why == None && m.most > 0 && !m.mayOpen(home) {
		why = Open
	}
	if why != None {
		c.fair.press(now)
		return why
	}
	if write {
		m.puts.take(home, 1)
	} else {
		m.requests.take(home, 1)
		m.fills.take(home, fill)
		m.parents.take(home, fill)
		m.origin.take(home, deep)
	}
	ev.Subset = m.setOf(now, who, home)
	if m.spare >= 0 && home != m.spare {
		ev.OverflowSubset = m.spare + 1
	}
	if by.into {
		m.admitMover(now, &by, home, ev)
	} else if !write && len(m.paths) > 0 {
		c.room.Lives(now, kb, fill)
	}
	c.open++
	m.objects.Add(now, ev.Object, kb)
	class := 0
	if m.stage != nil || len(m.paths) > 0 {
		class = m.classes[ev.Class]
	}
	m.open[ev.RequestID] = open{tenant: int32(who), cell: int32(home), kb: kb, fill: fill, deep: deep, lately: lately, write: write, class: int16(class), release: release, since: now, way: by}
	m.Stats.Admitted++
	return None
}

// mayOpen keeps a place for each cell's share of the requests open at once.
func (m *Module) mayOpen(home int) bool {
	c := &m.cells[home]
	if float64(c.open) < c.share*float64(m.most) {
		return true
	}
	kept := 0.0
	for i := range m.cells {
		if o := &m.cells[i]; i != home && o.fair.tenants > 0 {
			kept += max(o.share*float64(m.most)-float64(o.open), 0)
		}
	}
	return float64(len(m.open))+kept < mostOpenPart*float64(m.most)
}

// count finds now and then how many tenants of each cell have asked of late.
func (m *Module) count(now int64) {
	if now-m.counted < countEvery && m.counted != 0 {
		return
	}
	m.counted = now
	for i := range m.cells {
		m.cells[i].fair.tenants = 0
	}
	for i := range m.tenants {
		t := &m.tenants[i]
		if t.busy && now-t.used.at > busyWithin {
			t.busy = false
		}
		if t.busy {
			m.cells[t.cell].fair.tenants++
		}
	}
}

// refuse is the answer at the gate. Whoever is over budget is told to stay away for long, at random so that they do
// not come back together.
func (m *Module) refuse(ev *rules.Event) rules.Action {
	most := float64(m.set.Permissions.MaxRetryAfter)
	return rules.Action{Kind: rules.ActionReject, RequestID: ev.RequestID, RetryAfter: int64(most * (waitLeast + (1-waitLeast)*m.rng.Float64()))}
}

// outcome corrects what was reckoned once it is known whether there was a fill.
func (m *Module) outcome(now int64, ev *rules.Event) {
	o, known := m.open[ev.RequestID]
	if !known {
		return
	}
	t := &m.tenants[o.tenant]
	if ev.Outcome == rules.OutcomeServed && !o.write {
		missed, deep := 0.0, 0.0
		if ev.CacheStatus == 2 || ev.CacheStatus == 3 {
			missed = 1
		}
		if ev.CacheStatus == 3 {
			deep = 1
		}
		if !o.way.cold { // what it finds in a cell that does not know it yet tells nothing of what it will take
			t.fills.learn(o.lately, missed, deep, missStep)
			m.cells[t.cell].fills.learn(o.lately, missed, deep, cellStep)
		}
		m.fills.settle(int(o.cell), o.kb*missed-o.fill)
		m.parents.settle(int(o.cell), o.kb*missed-o.fill)
		m.origin.settle(int(o.cell), o.kb*deep-o.deep)
	}
	m.saw(now, &o, ev)
	if ev.IsFinal {
		m.over(ev.RequestID)
	}
}

// answered looks at what rules decided: final answers, and refusals that show a crowded cell.
func (m *Module) answered(now int64, acts []rules.Action) {
	for i := range acts {
		switch a := &acts[i]; a.Kind {
		case rules.ActionReject:
			if o, known := m.open[a.RequestID]; known {
				m.cells[o.cell].crowded(now)
				m.unserved(now, &o, false)
			}
			m.over(a.RequestID)
		case rules.ActionFail:
			if o, known := m.open[a.RequestID]; known {
				m.unserved(now, &o, true)
			}
			m.over(a.RequestID)
		}
	}
}

func (m *Module) over(call string) {
	delete(m.up.asked, call)
	if o, known := m.open[call]; known {
		m.cells[o.cell].open--
		delete(m.open, call)
	}
}
