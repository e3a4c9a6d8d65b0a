package cells

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"

	"spantack/core/hierarchy"
	"spantack/core/migration"
	"spantack/routing"
)

// Sets of area caches are numbered far from those of caches, one for each area of the shape in the document's order.
const firstParentSubset = 1 << 20

// unnamedSubset is the number of a set that is never named: fills go to the head office.
const unnamedSubset = -1

// replanInterval is how often, in microseconds, a plan is made anew while an area is cold; else that is done when the list of servers changes.
const replanInterval = 500_000

// parentSelection is how this router's fills go to areas.
type parentSelection struct {
	graph          *hierarchy.Graph // nil: as rules has it, to all alike
	route          hierarchy.Route
	serversByGroup [][]string // of each area's servers that rules knows
	planDueAt      int64      // when to plan anew, in any case; 0: at the next event
	lastLogged     string
	planErr        error // why there is no plan

	groupByServer  map[string]int // of each server that the list has
	groupByRequest map[string]int // area that a call's attempt under way names for its fill
	health         []parentGroupHealth
	pendingJob     *PlanJob // to be worked out elsewhere; nil: nothing is due
}

// maxGroupsPlannedInline are planned for at once, well under a millisecond; more only where nobody else plans. A plan for 40 takes 170 ms.
const maxGroupsPlannedInline = 8

// PlanJob is a plan to be worked out, away from requests: Work takes long, reads nothing of the module, and may run beside it.
type PlanJob struct {
	graph *hierarchy.Graph
	state map[string]hierarchy.GroupStatus
	share *hierarchy.FillPlan
	err   error
}

// Run works the plan out.
func (p *PlanJob) Run() { p.share, p.err = p.graph.PlanFills(p.state) }

// TakePlanJob hands a plan that is due to whoever works it out, once; nil where none is.
func (m *Admission) TakePlanJob() *PlanJob {
	p := m.parents.pendingJob
	m.parents.pendingJob = nil
	return p
}

// ApplyPlanJob puts a plan in force that was worked out, unless the shape is another one since. What it reckoned with may be older than the list of
// servers: then the next plan is due already.
func (m *Admission) ApplyPlanJob(p *PlanJob) {
	if p.graph == m.parents.graph {
		m.applyFillPlan(p.share, p.err)
	}
}

// parentGroupHealth is what fills tell of an area before the list of servers does.
type parentGroupHealth struct {
	consecutiveFailures int   // one after the other, none good between
	nextTrialAt         int64 // not 0: it is taken to be lost, and this is when one fill is next sent there
}

// An area is taken to be lost after so many failed fills for each of its servers, one after the other and none good between: about when rules
// has opened the breakers of all, and not when one of several has gone. While it is, one fill of a router goes there
// in trialInterval to twice that, in microseconds, drawn anew each time, so that trials of routers do not come together.
const (
	failuresPerServer = 3
	trialInterval     = 1_000_000
)

// SetTopology puts a shape of the hierarchy in force, or with nil none. It applies with and without an assignment to cells.
func (m *Admission) SetTopology(now int64, g *hierarchy.Graph) {
	if g != nil && m.parents.graph != nil && reflect.DeepEqual(g.Topology(), m.parents.graph.Topology()) {
		return // what fills have told of its areas stays
	}
	for i := range m.parents.serversByGroup {
		m.engine.Step(now, []routing.Event{{Kind: routing.EventSubset, Subset: firstParentSubset + i}})
	}
	m.parents = parentSelection{graph: g}
	if g != nil {
		n := len(g.Topology().ParentGroups)
		m.parents.groupByRequest, m.parents.health, m.parents.serversByGroup = map[string]int{}, make([]parentGroupHealth, n), make([][]string, n)
	}
	m.planFills(now)
}

// TopologyVersion is that of the shape in force, 0 without one.
func (m *Admission) TopologyVersion() int64 {
	if m.parents.graph == nil {
		return 0
	}
	return m.parents.graph.Topology().Version
}

// planFills shares the depots' fills out by the list of servers as it is. All routers that have the same list and shape come to the same plan.
func (m *Admission) planFills(now int64) {
	u := &m.parents
	if u.graph == nil || u.planDueAt > now {
		return
	}
	areas := u.graph.Topology().ParentGroups
	place := map[string]int{}
	for i := range areas {
		place[areas[i].Name] = i
	}
	u.groupByServer = map[string]int{}
	names, servers := make([][]string, len(areas)), make([][]migration.Server, len(areas))
	for _, name := range sortedNodes(m.parentServers) {
		i, known := place[u.graph.ParentGroupOf(name)]
		if known {
			u.groupByServer[name] = i
		}
		if row := m.parentServers[name]; known && row.Status == "healthy" {
			names[i] = append(names[i], name)
			servers[i] = append(servers[i], migration.Server{Weight: max(row.Weight, 1), StartedAt: row.StartedAt})
		}
	}
	_, terms := m.capacityTerms()
	state := map[string]hierarchy.GroupStatus{}
	u.planDueAt = math.MaxInt64
	for i := range areas {
		if !slices.Equal(names[i], u.serversByGroup[i]) {
			m.engine.Step(now, []routing.Event{{Kind: routing.EventSubset, Subset: firstParentSubset + i, SubsetServers: names[i]}})
			u.serversByGroup[i] = names[i]
		}
		kb, warm := terms.Capacity(now, servers[i])
		if u.health[i].nextTrialAt != 0 {
			kb = 0
		}
		state[areas[i].Name] = hierarchy.GroupStatus{CapacityKBPerS: kb, WarmFraction: warm}
		if len(servers[i]) > 0 && warm < 1 {
			u.planDueAt = now + replanInterval
		}
	}
	if p := (&PlanJob{graph: u.graph, state: state}); m.PlansInBackground && len(areas) > maxGroupsPlannedInline {
		u.pendingJob = p // until it is there fills go by the plan before, or without one as without a shape
	} else {
		p.Run()
		m.applyFillPlan(p.share, p.err)
	}
}

// applyFillPlan puts a plan in force.
func (m *Admission) applyFillPlan(share *hierarchy.FillPlan, err error) {
	u := &m.parents
	if u.planErr = err; err != nil { // can't be with figures from the list; fills then go as without a shape
		u.route = hierarchy.Route{}
	} else {
		u.route = share.Route(m.settings.Zone)
	}
	m.logFillPlan()
}

// logFillPlan puts a change of the plan by a tenth or more in the log: who gets fills, and that there is no room for some.
func (m *Admission) logFillPlan() {
	u := &m.parents
	var to []string
	for i, part := range u.route.Fractions() {
		if part >= 0.05 {
			to = append(to, fmt.Sprintf("%s %.1f", u.graph.TargetName(i), part))
		}
	}
	text := "fills go to " + strings.Join(to, ", ")
	switch {
	case u.planErr != nil:
		text = "no plan for fills: " + u.planErr.Error()
	case len(to) == 0:
		text = "fills have no way by the shape, and go as without one"
	}
	if u.route.RejectedFraction >= 0.05 {
		text += fmt.Sprintf("; no room for %.1f of them", u.route.RejectedFraction)
	}
	if text != u.lastLogged {
		u.lastLogged = text
		m.logActions = append(m.logActions, routing.Action{Kind: routing.ActionLog, LogText: text})
	}
}

// selectParentGroup names the area that a request's fills go to. An object always has the same one, as long as the parts stay.
func (m *Admission) selectParentGroup(now int64, ev *routing.Event) {
	if m.parents.graph == nil {
		return
	}
	m.planFills(now)
	for i := range m.parents.health {
		if s := &m.parents.health[i]; s.nextTrialAt != 0 && now >= s.nextTrialAt && len(m.parents.serversByGroup[i]) > 0 {
			s.nextTrialAt = m.nextTrialAt(now)
			ev.ParentSubset = firstParentSubset + i
			return
		}
	}
	switch i := m.parents.route.Pick(partHash(ev.Object, 0)); {
	case i < 0: // no room by the plan: whoever has some after all, within the limits that rules keeps
	case i < len(m.parents.serversByGroup):
		ev.ParentSubset = firstParentSubset + i
	default:
		ev.ParentSubset = unnamedSubset
	}
}

// ParentsOf names the area caches that an object's fills are asked of first; without a shape, and where it leaves none, all that are listed.
func (m *Admission) ParentsOf(object string) []string {
	if m.parents.graph != nil {
		if i := m.parents.route.Pick(partHash(object, 0)); i >= 0 && i < len(m.parents.serversByGroup) {
			return m.parents.serversByGroup[i]
		}
	}
	return sortedNodes(m.parentServers)
}

func (m *Admission) nextTrialAt(now int64) int64 {
	return now + trialInterval + int64(m.rng.Float64()*trialInterval)
}

// recordFillAttempts notes which area an attempt names for its fill.
func (m *Admission) recordFillAttempts(acts []routing.Action) {
	if m.parents.graph == nil {
		return
	}
	for i := range acts {
		if a := &acts[i]; a.Kind == routing.ActionSend {
			if area, known := m.parents.groupByServer[a.Source]; known {
				m.parents.groupByRequest[a.RequestID] = area
			}
		}
	}
}

// observeFill learns from the end of an attempt, or of a request, whether its area gives fills.
func (m *Admission) observeFill(now int64, ev *routing.Event) {
	area, known := m.parents.groupByRequest[ev.RequestID]
	if !known {
		return
	}
	delete(m.parents.groupByRequest, ev.RequestID)
	if ev.Kind != routing.EventOutcome || area >= len(m.parents.health) {
		return
	}
	s := &m.parents.health[area]
	switch {
	case ev.CacheStatus == noteFilledBySource || ev.CacheStatus == noteFilledByOrigin:
		if s.consecutiveFailures = 0; s.nextTrialAt != 0 {
			s.nextTrialAt, m.parents.planDueAt = 0, 0
		}
	case ev.CacheStatus == noteSourceFailed:
		if s.consecutiveFailures++; s.nextTrialAt == 0 && s.consecutiveFailures >= failuresPerServer*len(m.parents.serversByGroup[area]) {
			s.nextTrialAt, m.parents.planDueAt = m.nextTrialAt(now), 0
		}
	}
}
