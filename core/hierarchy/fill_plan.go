package hierarchy

import (
	"fmt"
	"slices"
)

// RejectionCostMillis is the cost of a rejected KB in a plan, as a round trip.
const RejectionCostMillis = 10_000

// originCostMillis is the cost of a KB from the origin in addition to its round trip. It applies also while the
// origin has capacity: otherwise fills would leave their home group for the sake of a shorter link, and groups cache
// the same objects.
const originCostMillis = 150.0

const (
	coldMissRatio    = 1.0 // miss ratio of a cold group
	offHomeMissRatio = 1.0 // miss ratio for objects whose home is another group
)

// maxPlanRounds bounds how often a plan is computed again because groups would overload their parents.
const maxPlanRounds = 8

// GroupStatus is the present state of a parent group, from the endpoint list.
type GroupStatus struct {
	CapacityKBPerS float64 // what its caches can serve now; 0: none are up
	WarmFraction   float64 // part of what they would serve when warm, 0 to 1
}

// effectiveMissRatio is the part of a group's requests that it forwards to its parents, as warm as its caches are.
func (g *ParentGroup) effectiveMissRatio(status GroupStatus) float64 {
	return status.WarmFraction*g.missRatio() + (1-status.WarmFraction)*coldMissRatio
}

// FillPlan divides the fills of all sites. Every router computes the same one from the same topology and endpoint list.
type FillPlan struct {
	Graph      *Graph
	Allocation *Allocation
	// Problem is what Allocation solves. A group's capacity is lowered there if its parents would be overloaded.
	Problem *Problem
	// ChildDemandKBPerS is what each parent group gets from other groups, by its place in the topology.
	ChildDemandKBPerS []float64
}

// PlanFills divides the sites' peak fills among the parent groups as they are now; a group without a status has no
// capacity. The plan decides only where sites send their fills. Each group then spreads its misses evenly over its
// parents, and so the plan sends a group less if one of its parents, or a link to one, would get more than its
// capacity.
//
// An error wraps ErrProblem and names the group whose status is invalid.
func (g *Graph) PlanFills(now map[string]GroupStatus) (*FillPlan, error) {
	return g.planFills(now, maxPlanRounds)
}

// planFills computes the plan in at most so many further rounds. What is over a capacity after the last one is
// rejected.
func (g *Graph) planFills(now map[string]GroupStatus, maxRounds int) (*FillPlan, error) {
	p, err := newFillPlanner(g, now)
	if err != nil {
		return nil, err
	}
	for round := 0; ; round++ {
		allocation, err := p.problem.Optimal()
		if err != nil {
			return nil, err
		}
		load := p.groupLoad(allocation)
		childDemand := p.childDemand(load, load.sent)
		scales := p.overloadScales(load, childDemand)
		if scales == nil {
			return p.plan(allocation, childDemand), nil
		}
		p.lowerCapacity(load, scales)
		if round == maxRounds {
			return p.scaledPlan(allocation, load, scales), nil
		}
	}
}

// fillPlanner holds what the rounds of a plan have in common. Groups and targets are numbered by their place in the
// topology; the origin is the target behind the last group.
type fillPlanner struct {
	graph    *Graph
	problem  *Problem
	capacity []float64 // by group: its capacity; the problem's is lowered from round to round

	parents       [][]int     // by group: targets that it forwards misses to
	missPerParent []float64   // by group: part of its requests that each of its parents gets
	usage         [][]float64 // by group and target: part of the group's requests that reach the target, over any path
}

// groupLoad is what an allocation sends to the groups, by group.
type groupLoad struct {
	sent []float64 // KB/s from sites
	// missWeight is the miss ratio of what is sent, as a multiple of the group's own: requests for objects of other
	// homes miss more often.
	missWeight []float64
}

func newFillPlanner(g *Graph, now map[string]GroupStatus) (*fillPlanner, error) {
	p := &fillPlanner{
		graph: g,
		problem: &Problem{
			OriginCapacity: g.topology.Origin.CapacityKBPerS,
			RejectionCost:  RejectionCostMillis,
		},
	}
	if err := p.addCapacities(now); err != nil {
		return nil, err
	}
	p.computeUsage(now)
	p.addSites()
	p.problem.assignHomeFractions(g)
	p.capacity = slices.Clone(p.problem.Capacity)
	return p, nil
}

func (p *fillPlanner) groups() int { return len(p.graph.topology.ParentGroups) }

// node returns the graph's number of a target.
func (p *fillPlanner) node(target int) int { return len(p.graph.topology.Sites) + target }

// addCapacities checks the groups' statuses and adds their capacities to the problem.
func (p *fillPlanner) addCapacities(now map[string]GroupStatus) error {
	for _, group := range p.graph.topology.ParentGroups {
		status := now[group.Name]
		if !isAmount(status.CapacityKBPerS) || !(status.WarmFraction >= 0 && status.WarmFraction <= 1) {
			return fmt.Errorf("%w: area %s: %v KB/s, must be 0 or more; warm fraction %v, must be 0 to 1",
				ErrProblem, group.Name, status.CapacityKBPerS, status.WarmFraction)
		}
		p.problem.Capacity = append(p.problem.Capacity, status.CapacityKBPerS)
	}
	return nil
}

// canForward reports whether a node is the origin or a group that can serve fills and has a route to the origin.
func (p *fillPlanner) canForward(node int) bool {
	if node == p.graph.originNode() {
		return true
	}
	group := node - len(p.graph.topology.Sites)
	return group >= 0 && p.graph.levels[node] != noRoute && p.problem.Capacity[group] > 0
}

// computeUsage computes, from the origin down, which part of each group's requests reaches each target. A group that
// has no parent to forward to loses its capacity.
func (p *fillPlanner) computeUsage(now map[string]GroupStatus) {
	groups := p.groups()
	p.parents = make([][]int, groups)
	p.missPerParent = make([]float64, groups)
	p.usage = make([][]float64, groups+1)
	for _, node := range p.graph.parentsFirst() {
		group := node - len(p.graph.topology.Sites)
		if group < 0 {
			continue
		}
		p.usage[group] = make([]float64, groups+1)
		if group < groups && p.canForward(node) {
			p.computeGroupUsage(group, now)
		}
	}
	for group := range p.problem.Capacity {
		p.problem.OriginFraction = append(p.problem.OriginFraction, min(p.usage[group][groups], 1))
	}
}

func (p *fillPlanner) computeGroupUsage(group int, now map[string]GroupStatus) {
	var parents []int
	for _, parent := range p.graph.order.Successors(p.node(group)) {
		if p.canForward(int(parent)) {
			parents = append(parents, int(parent)-len(p.graph.topology.Sites))
		}
	}
	if len(parents) == 0 {
		p.problem.Capacity[group] = 0
		return
	}
	slices.Sort(parents)
	document := &p.graph.topology.ParentGroups[group]
	share := document.effectiveMissRatio(now[document.Name]) / float64(len(parents))
	usage := p.usage[group]
	for _, parent := range parents {
		usage[parent] += share
		for target, part := range p.usage[parent] {
			usage[target] += share * part
		}
	}
	p.parents[group] = parents
	p.missPerParent[group] = share
}

// addSites adds the sites' demand and links to the problem.
func (p *fillPlanner) addSites() {
	for site := range p.graph.topology.Sites {
		p.addSite(site)
	}
}

func (p *fillPlanner) addSite(site int) {
	capacity := make([]float64, p.groups())
	rtt := make([]float64, p.groups())
	directCapacity, directRTT := 0.0, 0.0
	for _, parent := range p.graph.order.Successors(site) {
		node := int(parent)
		link := p.graph.link(site, node)
		switch {
		case node == p.graph.originNode():
			directCapacity = link.CapacityKBPerS
			directRTT = min(link.RTTMillis+originCostMillis, RejectionCostMillis)
		case p.canForward(node):
			group := node - len(p.graph.topology.Sites)
			capacity[group] = link.CapacityKBPerS
			rtt[group] = min(link.RTTMillis, RejectionCostMillis)
		}
	}
	problem := p.problem
	problem.Demand = append(problem.Demand, p.graph.topology.Sites[site].PeakFillKBPerS)
	problem.LinkCapacity = append(problem.LinkCapacity, capacity)
	problem.LinkRTT = append(problem.LinkRTT, rtt)
	problem.DirectCapacity = append(problem.DirectCapacity, directCapacity)
	problem.DirectRTT = append(problem.DirectRTT, directRTT)
}

// assignHomeFractions makes each group that sites fill from the home of a part of all objects, in proportion to its
// capacity. This is the result of weighted rendezvous hashing over these groups.
func (p *Problem) assignHomeFractions(g *Graph) {
	p.OffHomeOriginFraction = offHomeMissRatio
	p.HomeFraction = make([]float64, len(p.Capacity))
	p.OriginRTT = make([]float64, len(p.Capacity))
	total := 0.0
	for group, capacity := range p.Capacity {
		hasLink := func(links []float64) bool { return links[group] > 0 }
		if slices.ContainsFunc(p.LinkCapacity, hasLink) {
			p.HomeFraction[group] = capacity
		}
		total += p.HomeFraction[group]
		rtt := g.originRTT[len(g.topology.Sites)+group]
		p.OriginRTT[group] = min(rtt+originCostMillis, RejectionCostMillis)
	}
	if total == 0 {
		return
	}
	for group := range p.HomeFraction {
		p.HomeFraction[group] /= total
	}
}

// groupLoad sums up what an allocation sends to each group.
func (p *fillPlanner) groupLoad(a *Allocation) groupLoad {
	load := groupLoad{sent: make([]float64, p.groups()), missWeight: make([]float64, p.groups())}
	for site := range a.ToGroup {
		for group, sent := range a.ToGroup[site] {
			load.sent[group] += sent
		}
	}
	for group, sent := range load.sent {
		home := 0.0
		for site := range a.ToHomeGroup {
			home += a.ToHomeGroup[site][group]
		}
		load.missWeight[group] = 1
		if fraction := p.problem.OriginFraction[group]; fraction > 0 && sent > 0 {
			load.missWeight[group] = (home + (sent-home)*p.problem.offHomeOriginFraction(group)/fraction) / sent
		}
	}
	return load
}

// childDemand returns what each group gets from other groups if they serve so much.
func (p *fillPlanner) childDemand(load groupLoad, served []float64) []float64 {
	demand := make([]float64, p.groups())
	for child := range served {
		for group := range demand {
			demand[group] += served[child] * load.missWeight[child] * p.usage[child][group]
		}
	}
	return demand
}

// overloadScales returns, by group, the fraction of its load that its parents and its links to them have capacity
// for; nil if that is all of it for every group.
func (p *fillPlanner) overloadScales(load groupLoad, childDemand []float64) []float64 {
	scales := make([]float64, p.groups())
	overloaded := false
	for group := range scales {
		scales[group] = min(p.parentScale(group, load, childDemand), p.linkScale(group, load))
		overloaded = overloaded || scales[group] != 1
	}
	if !overloaded {
		return nil
	}
	return scales
}

// parentScale returns the fraction of a group's load that the groups above it have capacity for.
func (p *fillPlanner) parentScale(group int, load groupLoad, childDemand []float64) float64 {
	scale := 1.0
	for parent, demand := range childDemand {
		if p.usage[group][parent] > 0 && demand+load.sent[parent] > p.capacity[parent]+unitKBPerS {
			scale = min(scale, max(p.capacity[parent]-load.sent[parent], 0)/demand)
		}
	}
	return scale
}

// linkScale returns the fraction of a group's load whose misses its links to its parents have capacity for.
func (p *fillPlanner) linkScale(group int, load groupLoad) float64 {
	scale := 1.0
	misses := load.sent[group] * min(load.missWeight[group]*p.missPerParent[group], 1)
	for _, parent := range p.parents[group] {
		if capacity := p.graph.link(p.node(group), p.node(parent)).CapacityKBPerS; misses > capacity+unitKBPerS {
			scale = min(scale, capacity/misses)
		}
	}
	return scale
}

// lowerCapacity limits the groups whose scale is below 1 to what their parents have capacity for.
func (p *fillPlanner) lowerCapacity(load groupLoad, scales []float64) {
	for group, scale := range scales {
		if scale != 1 {
			p.problem.Capacity[group] = load.sent[group] * scale
		}
	}
}

func (p *fillPlanner) plan(a *Allocation, childDemand []float64) *FillPlan {
	return &FillPlan{Graph: p.graph, Allocation: a, Problem: p.problem, ChildDemandKBPerS: childDemand}
}

// scaledPlan returns a plan that rejects what the groups' parents have no capacity for.
func (p *fillPlanner) scaledPlan(a *Allocation, load groupLoad, scales []float64) *FillPlan {
	for group, scale := range scales {
		if scale != 1 {
			a.scaleGroup(group, scale)
		}
	}
	p.problem.evaluate(a)
	served := make([]float64, p.groups())
	for group, sent := range load.sent {
		served[group] = min(sent, p.problem.Capacity[group])
	}
	return p.plan(a, p.childDemand(load, served))
}
