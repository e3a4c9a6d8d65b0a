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

const (
	// firstParentSubset numbers the subsets of parents in the engine, one for each parent group in the topology's order,
	// far from those of edge caches.
	firstParentSubset = 1 << 20
	// unnamedSubset is a subset that is never defined: fills go to the origin.
	unnamedSubset = -1
)

const (
	// replanInterval, in microseconds, is how often fills are planned while a parent group is warming up. Otherwise that
	// is done when the endpoint list changes.
	replanInterval = 500_000
	// maxGroupsPlannedInline is how many parent groups are planned for while an event waits, which takes well under a
	// millisecond; a plan for 40 takes 170 ms.
	maxGroupsPlannedInline = 8
	// minLoggedFraction is the least part of the fills that is mentioned in the log.
	minLoggedFraction = 0.05
)

// A parent group is unavailable after so many failed fills for each of its servers, without a good one between: about
// when the engine has opened the circuit breakers of all, and not when one of several has failed. While it is
// unavailable, a router sends it one fill every trialInterval to twice that, drawn anew each time, so that the trials
// of routers do not come together.
const (
	failuresPerServer = 3
	trialInterval     = 1_000_000 // microseconds
)

// parentSelection divides this router's fills among parent groups by a topology.
type parentSelection struct {
	*shared
	graph          *hierarchy.Graph // nil: no topology; the engine treats all parents alike
	route          hierarchy.Route  // of the plan in force
	planErr        error            // why there is no plan
	planDueAt      int64            // microseconds; 0: at the next event
	pendingJob     *PlanJob         // to be run by the owner; nil: none is due
	lastLogged     string
	serversByGroup [][]string          // healthy ones, as the engine knows them
	groupByServer  map[string]int      // of all listed parents
	groupByRequest map[string]int      // group that the attempt under way names for its fill
	health         []parentGroupHealth // by group
}

// parentGroupHealth is what fills say of a parent group before the endpoint list does.
type parentGroupHealth struct {
	consecutiveFailures int
	nextTrialAt         int64 // microseconds; 0: the group is available
}

func (h *parentGroupHealth) isAvailable() bool { return h.nextTrialAt == 0 }

// SetTopology puts a topology in force, or with nil none. It applies with and without an assignment.
func (a *Admission) SetTopology(now int64, graph *hierarchy.Graph) { a.parents.setTopology(now, graph) }

// TopologyVersion returns the version of the topology in force, 0 without one.
func (a *Admission) TopologyVersion() int64 {
	if a.parents.graph == nil {
		return 0
	}
	return a.parents.graph.Topology().Version
}

// ParentsOf returns the parents that an object's fills go to first. Without a topology, and where it leaves none, these
// are all that are listed.
func (a *Admission) ParentsOf(object string) []string {
	p := &a.parents
	if p.graph != nil {
		if group := p.route.Pick(chunkHash(object, 0)); group >= 0 && group < len(p.serversByGroup) {
			return p.serversByGroup[group]
		}
	}
	return a.endpoints.parentNames()
}

func (p *parentSelection) setTopology(now int64, graph *hierarchy.Graph) {
	if graph != nil && p.graph != nil && reflect.DeepEqual(graph.Topology(), p.graph.Topology()) {
		return // the health of its groups is kept
	}
	for group := range p.serversByGroup {
		p.defineSubset(now, firstParentSubset+group, nil)
	}
	*p = parentSelection{shared: p.shared, graph: graph}
	if graph != nil {
		groups := len(graph.Topology().ParentGroups)
		p.groupByRequest = map[string]int{}
		p.health = make([]parentGroupHealth, groups)
		p.serversByGroup = make([][]string, groups)
	}
	p.planIfDue(now)
}

// PlanJob is a fill plan to be computed. Run takes long; it may run beside the Admission, of which it reads nothing.
type PlanJob struct {
	graph  *hierarchy.Graph
	status map[string]hierarchy.GroupStatus // by group
	plan   *hierarchy.FillPlan
	err    error
}

// Run computes the plan.
func (j *PlanJob) Run() { j.plan, j.err = j.graph.PlanFills(j.status) }

// TakePlanJob hands out a plan that is due to be computed, once; nil where none is. See Options.PlansInBackground.
func (a *Admission) TakePlanJob() *PlanJob {
	job := a.parents.pendingJob
	a.parents.pendingJob = nil
	return job
}

// ApplyPlanJob puts a computed plan in force, unless the topology has changed since. The endpoint list may have changed
// since: then the next plan is due already.
func (a *Admission) ApplyPlanJob(job *PlanJob) {
	if job.graph == a.parents.graph {
		a.parents.applyPlan(job.plan, job.err)
	}
}

// replan plans fills now.
func (p *parentSelection) replan(now int64) {
	p.planDueAt = 0
	p.planIfDue(now)
}

// planIfDue plans the fills of all sites by the endpoint list. Routers that have the same list and topology come to the
// same plan.
func (p *parentSelection) planIfDue(now int64) {
	if p.graph == nil || p.planDueAt > now {
		return
	}
	p.planDueAt = math.MaxInt64
	job := &PlanJob{graph: p.graph, status: p.groupStatus(now)}
	if p.options.PlansInBackground && len(p.serversByGroup) > maxGroupsPlannedInline {
		p.pendingJob = job // until it is done the plan before stays in force
		return
	}
	job.Run()
	p.applyPlan(job.plan, job.err)
}

// groupStatus returns the capacity of each parent group, tells the engine which servers they have, and notes when to
// plan again.
func (p *parentSelection) groupStatus(now int64) map[string]hierarchy.GroupStatus {
	groups := p.graph.Topology().ParentGroups
	names, servers := p.listedServers(groups)
	model := p.parentCapacity()
	status := map[string]hierarchy.GroupStatus{}
	for i := range groups {
		if !slices.Equal(names[i], p.serversByGroup[i]) {
			p.defineSubset(now, firstParentSubset+i, names[i])
			p.serversByGroup[i] = names[i]
		}
		capacity, warmFraction := model.Capacity(now, servers[i])
		if !p.health[i].isAvailable() {
			capacity = 0
		}
		status[groups[i].Name] = hierarchy.GroupStatus{CapacityKBPerS: capacity, WarmFraction: warmFraction}
		if len(servers[i]) > 0 && warmFraction < 1 {
			p.planDueAt = now + replanInterval
		}
	}
	return status
}

// listedServers returns the healthy servers of each group by the endpoint list, and notes the group of each parent.
func (p *parentSelection) listedServers(groups []hierarchy.ParentGroup) ([][]string, [][]migration.Server) {
	groupIndex := make(map[string]int, len(groups))
	for i := range groups {
		groupIndex[groups[i].Name] = i
	}
	p.groupByServer = map[string]int{}
	names := make([][]string, len(groups))
	servers := make([][]migration.Server, len(groups))
	for _, name := range p.endpoints.parentNames() {
		group, isKnown := groupIndex[p.graph.ParentGroupOf(name)]
		if !isKnown {
			continue
		}
		p.groupByServer[name] = group
		if parent := p.endpoints.parents[name]; parent.Status == routing.EndpointHealthy {
			names[group] = append(names[group], name)
			server := migration.Server{Weight: max(parent.Weight, 1), StartedAt: parent.StartedAt}
			servers[group] = append(servers[group], server)
		}
	}
	return names, servers
}

func (p *parentSelection) applyPlan(plan *hierarchy.FillPlan, err error) {
	p.planErr = err
	if err != nil { // can't be with capacities from the endpoint list; fills then go as without a topology
		p.route = hierarchy.Route{}
	} else {
		p.route = plan.Route(p.settings.Zone)
	}
	p.logPlan()
}

// logPlan logs where fills go and what is rejected, in tenths, if that has changed.
func (p *parentSelection) logPlan() {
	text := p.describePlan()
	if text != p.lastLogged {
		p.lastLogged = text
		p.log(text)
	}
}

func (p *parentSelection) describePlan() string {
	var targets []string
	for i, fraction := range p.route.Fractions() {
		if fraction >= minLoggedFraction {
			targets = append(targets, fmt.Sprintf("%s %.1f", p.graph.TargetName(i), fraction))
		}
	}
	text := "fills go to " + strings.Join(targets, ", ")
	switch {
	case p.planErr != nil:
		text = "no plan for fills: " + p.planErr.Error()
	case len(targets) == 0:
		text = "fills have no way by the shape, and go as without one"
	}
	if p.route.RejectedFraction >= minLoggedFraction {
		text += fmt.Sprintf("; no room for %.1f of them", p.route.RejectedFraction)
	}
	return text
}

// selectGroup names the parent group in an event that a request's fills go to. An object keeps its group as long as the
// plan's fractions stay.
func (p *parentSelection) selectGroup(now int64, event *routing.Event) {
	if p.graph == nil {
		return
	}
	p.planIfDue(now)
	if group, isDue := p.dueTrial(now); isDue {
		p.health[group].nextTrialAt = p.drawTrial(now)
		event.ParentSubset = firstParentSubset + group
		return
	}
	group := p.route.Pick(chunkHash(event.Object, 0))
	switch {
	case group < 0: // rejected by the plan: any parent that has capacity after all, within the engine's limits
	case group < len(p.serversByGroup):
		event.ParentSubset = firstParentSubset + group
	default:
		event.ParentSubset = unnamedSubset
	}
}

// dueTrial returns an unavailable group that is to be tried now.
func (p *parentSelection) dueTrial(now int64) (group int, isDue bool) {
	for i := range p.health {
		h := &p.health[i]
		if !h.isAvailable() && now >= h.nextTrialAt && len(p.serversByGroup[i]) > 0 {
			return i, true
		}
	}
	return 0, false
}

// drawTrial draws the time of the next trial.
func (p *parentSelection) drawTrial(now int64) int64 {
	return now + trialInterval + int64(p.rng.Float64()*trialInterval)
}

// recordAttempts notes which group attempts name for their fills.
func (p *parentSelection) recordAttempts(actions []routing.Action) {
	if p.graph == nil {
		return
	}
	for i := range actions {
		action := &actions[i]
		if action.Kind != routing.ActionSend {
			continue
		}
		if group, isKnown := p.groupByServer[action.Source]; isKnown {
			p.groupByRequest[action.RequestID] = group
		}
	}
}

// forget drops what is noted of a request that has ended.
func (p *parentSelection) forget(requestID string) { delete(p.groupByRequest, requestID) }

// observeFill learns from the end of an attempt or request whether its parent group is available.
func (p *parentSelection) observeFill(now int64, event *routing.Event) {
	group, isNoted := p.groupByRequest[event.RequestID]
	if !isNoted {
		return
	}
	p.forget(event.RequestID)
	if event.Kind != routing.EventOutcome || group >= len(p.health) {
		return
	}
	h := &p.health[group]
	switch {
	case event.CacheStatus.IsFilled():
		h.consecutiveFailures = 0
		if !h.isAvailable() {
			h.nextTrialAt = 0
			p.planDueAt = 0
		}
	case event.CacheStatus == routing.SourceUnreachable:
		h.consecutiveFailures++
		if h.isAvailable() && h.consecutiveFailures >= failuresPerServer*len(p.serversByGroup[group]) {
			h.nextTrialAt = p.drawTrial(now)
			p.planDueAt = 0
		}
	}
}
