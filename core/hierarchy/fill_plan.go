package hierarchy

import (
	"fmt"
	"slices"
)

// RejectionCostMillis is the cost of a rejected KB in a plan, expressed as a round-trip time in ms.
const RejectionCostMillis = 10_000

// originCostMillis is the cost of a KB from the origin in addition to its round trip. It applies even while the origin
// has free capacity. Without this cost a miss would be cheap, and a plan would choose the group with the shortest link
// rather than the object's home group. Several groups would then cache the same objects.
const originCostMillis = 150.0

const (
	coldMissRatio    = 1.0 // miss ratio of a cold group
	offHomeMissRatio = 1.0 // miss ratio of a group for objects whose home is another group
)

// maxPlanRounds is the maximum number of times that a plan is recomputed because groups would overload their parents or
// the links to these parents.
const maxPlanRounds = 8

// GroupStatus is the current state of a parent group, as derived from the endpoint list.
type GroupStatus struct {
	CapacityKBPerS float64 // rate that its caches can serve at present; 0 if no cache is available
	WarmFraction   float64 // hit ratio of its caches relative to that of a warm group, 0 to 1
}

// effectiveMissRatio returns the fraction of a group's requests that it forwards to its parents. It is interpolated
// between the miss ratios of a cold and a warm group.
func (g *ParentGroup) effectiveMissRatio(status GroupStatus) float64 {
	return status.WarmFraction*g.missRatio() + (1-status.WarmFraction)*coldMissRatio
}

// FillPlan assigns the fills of all sites to parent groups and the origin. Routers with the same topology and endpoint
// list compute the same plan.
type FillPlan struct {
	Graph      *Graph
	Allocation *Allocation
	// Problem is the problem that Allocation solves. Its capacity of a group is less than the actual one if the group's
	// parents, or the links to these parents, would be overloaded otherwise.
	Problem *Problem
	// ChildDemandKBPerS is, by group, the rate of requests that the group gets from other groups. Groups are indexed as
	// in the topology.
	ChildDemandKBPerS []float64
}

// PlanFills divides the sites' peak fills among parent groups and the origin. statuses holds the current state of each
// parent group by name. A group without a status has no capacity. The plan decides only where sites send their fills.
// Each group distributes its misses evenly over its parents. Therefore the plan sends less to a group if one of its
// parents, or the link to one, would exceed its capacity.
//
// The error wraps ErrProblem. If the status of a group is invalid, the error names the group.
func (g *Graph) PlanFills(statuses map[string]GroupStatus) (*FillPlan, error) {
	return g.planFills(statuses, maxPlanRounds)
}

// planFills computes a plan and recomputes it at most maxRounds times. If a capacity is still exceeded after the last
// round, the excess is rejected.
func (g *Graph) planFills(statuses map[string]GroupStatus, maxRounds int) (*FillPlan, error) {
	p, err := newFillPlanner(g, statuses)
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

// fillPlanner holds the state that the rounds of a plan share. Groups are numbered by their index in the topology.
// Targets are the groups, with the same numbers, followed by the origin.
type fillPlanner struct {
	graph    *Graph
	problem  *Problem
	capacity []float64 // by group: actual capacity; the capacity in problem is reduced from round to round

	parents       [][]int   // by group: targets that it forwards misses to
	missPerParent []float64 // by group: fraction of its requests that it forwards to each of its parents
	// forwardFraction is, by group and target, the fraction of the group's requests that reach the target over any path.
	forwardFraction [][]float64
}

// groupLoad is the load that an allocation puts on the groups, by group.
type groupLoad struct {
	sent []float64 // KB/s from sites
	// missWeight is a ratio of origin loads per KB sent to the group: the average over all objects in sent, divided by
	// the value for objects whose home is the group. It is above 1 if the group gets requests for objects with another
	// home, since these miss more often.
	missWeight []float64
}

func newFillPlanner(g *Graph, statuses map[string]GroupStatus) (*fillPlanner, error) {
	p := &fillPlanner{
		graph: g,
		problem: &Problem{
			OriginCapacity: g.topology.Origin.CapacityKBPerS,
			RejectionCost:  RejectionCostMillis,
		},
	}
	if err := p.addCapacities(statuses); err != nil {
		return nil, err
	}
	p.computeForwardFractions(statuses)
	p.addSites()
	p.problem.setHomeFields(g)
	p.capacity = slices.Clone(p.problem.Capacity)
	return p, nil
}

func (p *fillPlanner) groups() int { return len(p.graph.topology.ParentGroups) }

// node returns the graph's number of a target.
func (p *fillPlanner) node(target int) int { return len(p.graph.topology.Sites) + target }

// addCapacities validates the groups' statuses and adds their capacities to the problem.
func (p *fillPlanner) addCapacities(statuses map[string]GroupStatus) error {
	for _, group := range p.graph.topology.ParentGroups {
		status := statuses[group.Name]
		if !isFiniteNonNegative(status.CapacityKBPerS) || !(status.WarmFraction >= 0 && status.WarmFraction <= 1) {
			return fmt.Errorf("%w: area %s: %v KB/s, must be a finite number of 0 or more; warm fraction %v, must be 0 to 1",
				ErrProblem, group.Name, status.CapacityKBPerS, status.WarmFraction)
		}
		p.problem.Capacity = append(p.problem.Capacity, status.CapacityKBPerS)
	}
	return nil
}

// isUsableParent reports whether fills can be sent to a node. The node must be the origin, or a group that has both
// capacity and a route to the origin.
func (p *fillPlanner) isUsableParent(node int) bool {
	if node == p.graph.originNode() {
		return true
	}
	group := node - len(p.graph.topology.Sites)
	return group >= 0 && p.graph.levels[node] != noRoute && p.problem.Capacity[group] > 0
}

// computeForwardFractions computes forwardFraction and the problem's OriginFraction. It visits each group after its
// parents. It sets the capacity of a group without a usable parent to 0.
func (p *fillPlanner) computeForwardFractions(statuses map[string]GroupStatus) {
	groups := p.groups()
	p.parents = make([][]int, groups)
	p.missPerParent = make([]float64, groups)
	p.forwardFraction = make([][]float64, groups+1)
	for _, node := range p.graph.parentsFirst() {
		group := node - len(p.graph.topology.Sites)
		if group < 0 {
			continue
		}
		p.forwardFraction[group] = make([]float64, groups+1)
		if group < groups && p.isUsableParent(node) {
			p.computeGroupForwardFractions(group, statuses)
		}
	}
	for group := range p.problem.Capacity {
		p.problem.OriginFraction = append(p.problem.OriginFraction, min(p.forwardFraction[group][groups], 1))
	}
}

// computeGroupForwardFractions computes the parents, missPerParent and forwardFraction of one group. If the group has
// no usable parent, its capacity is set to 0 instead. The forwardFraction of the parents must have been computed.
func (p *fillPlanner) computeGroupForwardFractions(group int, statuses map[string]GroupStatus) {
	var parents []int
	for _, parent := range p.graph.order.Successors(p.node(group)) {
		if p.isUsableParent(int(parent)) {
			parents = append(parents, int(parent)-len(p.graph.topology.Sites))
		}
	}
	if len(parents) == 0 {
		p.problem.Capacity[group] = 0
		return
	}
	slices.Sort(parents)
	parentGroup := &p.graph.topology.ParentGroups[group]
	share := parentGroup.effectiveMissRatio(statuses[parentGroup.Name]) / float64(len(parents))
	fractions := p.forwardFraction[group]
	for _, parent := range parents {
		fractions[parent] += share
		for target, fraction := range p.forwardFraction[parent] {
			fractions[target] += share * fraction
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
		case p.isUsableParent(node):
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

// setHomeFields sets the fields of the problem that concern homes: HomeFraction, OffHomeOriginFraction and OriginRTT. A
// group's HomeFraction is proportional to its capacity, and 0 if no site has a link to the group. Route.Pick uses these
// fractions as weights of the rendezvous hashing. Each group is therefore the home of this fraction of all objects.
func (p *Problem) setHomeFields(g *Graph) {
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

// groupLoad returns the load that an allocation puts on each group.
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

// childDemand returns, by group, the KB/s that other groups request from the group. served is, by group, the rate of
// the sites' fills that the group serves.
func (p *fillPlanner) childDemand(load groupLoad, served []float64) []float64 {
	demand := make([]float64, p.groups())
	for child := range served {
		for group := range demand {
			demand[group] += served[child] * load.missWeight[child] * p.forwardFraction[child][group]
		}
	}
	return demand
}

// overloadScales returns, by group, the fraction of the group's load for which its parents, and the links to these
// parents, have capacity. It returns nil if this fraction is 1 for every group.
func (p *fillPlanner) overloadScales(load groupLoad, childDemand []float64) []float64 {
	scales := make([]float64, p.groups())
	isOverloaded := false
	for group := range scales {
		scales[group] = min(p.parentScale(group, load, childDemand), p.linkScale(group, load))
		isOverloaded = isOverloaded || scales[group] != 1
	}
	if !isOverloaded {
		return nil
	}
	return scales
}

// parentScale returns the fraction of a group's load at which every group reached by its misses has enough capacity.
func (p *fillPlanner) parentScale(group int, load groupLoad, childDemand []float64) float64 {
	scale := 1.0
	for parent, demand := range childDemand {
		if p.forwardFraction[group][parent] > 0 && demand+load.sent[parent] > p.capacity[parent]+unitKBPerS {
			scale = min(scale, max(p.capacity[parent]-load.sent[parent], 0)/demand)
		}
	}
	return scale
}

// linkScale returns the fraction of a group's load at which no link to a parent exceeds its capacity.
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

// lowerCapacity reduces the capacity of each group whose scale is below 1. The new capacity is the group's load times
// its scale. The parents of the group and the links to them can carry the misses of that load.
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

// scaledPlan returns a plan that rejects the load for which the groups' parents, or the links to these parents, have no
// capacity.
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
