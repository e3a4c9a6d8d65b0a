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
	// firstParentSubset is the number of the first parent group's subset in the engine. The other groups follow in the
	// order of the topology. This number is above all subset numbers of edge caches.
	firstParentSubset = 1 << 20
	// undefinedSubset is never defined in the engine. Fills with this subset go to the origin.
	undefinedSubset = -1
)

const (
	// replanInterval, in microseconds, is the interval between plans of fills while a parent group is warming up. At
	// other times, fills are planned when the endpoint list or the availability of a group changes.
	replanInterval = 500_000
	// maxGroupsPlannedInline is the maximum number of parent groups for which a plan is computed while an event waits.
	// A plan for this number takes well under 1 ms. A plan for 40 groups takes 170 ms, which is too long for an event
	// to wait.
	maxGroupsPlannedInline = 8
	// minLoggedFraction is a fraction of the fills. Targets with a smaller fraction are left out of the log.
	minLoggedFraction = 0.05
)

// A parent group becomes unavailable when the number of consecutive failed fills reaches failuresPerServer times the
// number of its servers. At about this number, the engine has opened the circuit breakers of all servers of the group.
// A failure of only one of several servers does not make the group unavailable. While the group is unavailable, a
// router sends it one fill as a probe, at random intervals of probeInterval to twice probeInterval. The intervals are
// random so that the probes of different routers do not coincide.
const (
	failuresPerServer = 3
	probeInterval     = 1_000_000 // minimum time between probes of a group, microseconds
)

// parentSelection distributes this router's fills over parent groups by a topology.
type parentSelection struct {
	*shared
	graph          *hierarchy.Graph // nil: no topology; the engine does not distinguish parent groups
	route          hierarchy.Route  // this site's part of the plan in force
	planErr        error            // error of the last planning
	planDueAt      int64            // time of the next planning, microseconds; 0: at the next event
	pendingJob     *PlanJob         // to be run by the owner; nil: none is due
	lastLogged     string
	serversByGroup [][]string          // healthy servers of each subset that is defined in the engine
	groupByServer  map[string]int      // of all listed parents
	groupByRequest map[string]int      // group of the source of the request's current attempt, by request ID
	health         []parentGroupHealth // by group
}

// parentGroupHealth is the health of a parent group by the results of fills. Fills show a failure earlier than the
// endpoint list does.
type parentGroupHealth struct {
	consecutiveFailures int
	nextProbeAt         int64 // time of the next probe, microseconds; 0: the group is available
}

func (h *parentGroupHealth) isAvailable() bool { return h.nextProbeAt == 0 }

// SetTopology applies a topology, or with nil removes it. A topology has effect with and without an assignment.
func (a *Admission) SetTopology(now int64, graph *hierarchy.Graph) { a.parents.setTopology(now, graph) }

// TopologyVersion returns the version of the topology in force, or 0 without a topology.
func (a *Admission) TopologyVersion() int64 {
	if a.parents.graph == nil {
		return 0
	}
	return a.parents.graph.Topology().Version
}

// ParentsOf returns the parents that an object's fills try first. It returns all listed parents if there is no
// topology, or if the plan assigns no parent group to the object.
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
		return // unchanged: keep the health of the topology's groups
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

// PlanJob is a fill plan to be computed. Run is slow. It may run concurrently with calls of the Admission, because Run
// does not access the Admission.
type PlanJob struct {
	graph  *hierarchy.Graph
	status map[string]hierarchy.GroupStatus // by group
	plan   *hierarchy.FillPlan
	err    error
}

// Run computes the plan for Admission.ApplyPlanJob.
func (j *PlanJob) Run() { j.plan, j.err = j.graph.PlanFills(j.status) }

// TakePlanJob returns the job for the plan that is due, or nil if none is due. It returns each job only once. See
// Options.PlansInBackground.
func (a *Admission) TakePlanJob() *PlanJob {
	job := a.parents.pendingJob
	a.parents.pendingJob = nil
	return job
}

// ApplyPlanJob applies a computed plan, unless the topology has changed since TakePlanJob. The plan is also applied if
// only the endpoint list has changed since TakePlanJob. Another plan is then already due.
func (a *Admission) ApplyPlanJob(job *PlanJob) {
	if job.graph == a.parents.graph {
		a.parents.applyPlan(job.plan, job.err)
	}
}

// replan plans fills now, whether or not a plan is due.
func (p *parentSelection) replan(now int64) {
	p.planDueAt = 0
	p.planIfDue(now)
}

// planIfDue plans the fills of all sites by the endpoint list, if a plan is due. Routers with the same list, topology
// and availability of groups compute the same plan.
func (p *parentSelection) planIfDue(now int64) {
	if p.graph == nil || p.planDueAt > now {
		return
	}
	p.planDueAt = math.MaxInt64
	job := &PlanJob{graph: p.graph, status: p.groupStatus(now)}
	if p.options.PlansInBackground && len(p.serversByGroup) > maxGroupsPlannedInline {
		p.pendingJob = job // the previous plan stays in force until the job is applied
		return
	}
	job.Run()
	p.applyPlan(job.plan, job.err)
}

// groupStatus returns the capacity of each parent group. It also updates the groups' subsets in the engine, and
// schedules the next planning if a group is warming up.
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

// listedServers returns the names and capacity inputs of the healthy servers of each group, by the endpoint list. It
// also rebuilds groupByServer.
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
	if err != nil {
		// An error is not expected, because the capacities come from the endpoint list. After an error, parents are
		// selected as if there were no topology.
		p.route = hierarchy.Route{}
	} else {
		p.route = plan.Route(p.settings.Zone)
	}
	p.logPlan()
}

// logPlan logs the fraction of fills for each target and the fraction without capacity, with one decimal, if the
// resulting text has changed.
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
	text := "fill fractions by target: " + strings.Join(targets, ", ")
	switch {
	case p.planErr != nil:
		text = "planning fills failed: " + p.planErr.Error()
	case len(targets) == 0:
		text = "the topology has no route for fills; parents are selected as if there were no topology"
	}
	if p.route.RejectedFraction >= minLoggedFraction {
		text += fmt.Sprintf("; fraction without capacity: %.1f", p.route.RejectedFraction)
	}
	return text
}

// selectGroup selects the parent group for a request's fills and sets its subset in the event. An object keeps its
// group while the fractions of the plan stay the same.
func (p *parentSelection) selectGroup(now int64, event *routing.Event) {
	if p.graph == nil {
		return
	}
	p.planIfDue(now)
	if group, isDue := p.dueProbe(now); isDue {
		p.health[group].nextProbeAt = p.nextProbeTime(now)
		event.ParentSubset = firstParentSubset + group
		return
	}
	group := p.route.Pick(chunkHash(event.Object, 0))
	switch {
	case group < 0: // no capacity by the plan: the engine may use any parent that has capacity, within its limits
	case group < len(p.serversByGroup):
		event.ParentSubset = firstParentSubset + group
	default:
		event.ParentSubset = undefinedSubset
	}
}

// dueProbe returns an unavailable group for which a probe is due.
func (p *parentSelection) dueProbe(now int64) (group int, isDue bool) {
	for i := range p.health {
		h := &p.health[i]
		if !h.isAvailable() && now >= h.nextProbeAt && len(p.serversByGroup[i]) > 0 {
			return i, true
		}
	}
	return 0, false
}

// nextProbeTime returns a random time for the next probe, probeInterval to twice probeInterval from now.
func (p *parentSelection) nextProbeTime(now int64) int64 {
	return now + probeInterval + int64(p.rng.Float64()*probeInterval)
}

// recordAttempts records the parent group of the source of each started attempt.
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

// forget removes a request that has ended.
func (p *parentSelection) forget(requestID string) { delete(p.groupByRequest, requestID) }

// observeFill updates the health of a parent group at the end of an attempt or request.
func (p *parentSelection) observeFill(now int64, event *routing.Event) {
	group, isRecorded := p.groupByRequest[event.RequestID]
	if !isRecorded {
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
			h.nextProbeAt = 0
			p.planDueAt = 0
		}
	case event.CacheStatus == routing.SourceUnreachable:
		h.consecutiveFailures++
		if h.isAvailable() && h.consecutiveFailures >= failuresPerServer*len(p.serversByGroup[group]) {
			h.nextProbeAt = p.nextProbeTime(now)
			p.planDueAt = 0
		}
	}
}
