package hierarchy

import (
	"math"
	"slices"
)

// flowNetwork computes a minimum-cost flow within the capacities of arcs and groups. Each unit of a site's demand goes
// to a parent group, goes directly to the origin, or is rejected. This is a transportation problem, solved by
// successive shortest paths with potentials (Ahuja, Magnanti and Orlin, "Network Flows", section 9.7). Amounts are
// integers. Therefore the algorithm terminates and gives the same result on every machine.
//
// Nodes of the search are numbered: sites, then groups. The search runs in the residual network. A path goes forward,
// from a site to a group, over arcs with residual capacity. It goes backward, from a group to a site, over arcs with
// flow, and reduces that flow.
type flowNetwork struct {
	demand        []int64   // by site
	capacity      []int64   // by group
	arcs          [][]arc   // by site, to groups
	direct        []arc     // by site, to the origin; capacity 0 if there is none
	groupCost     []float64 // by group: cost per unit sent to the group, in addition to the cost of the arc
	rejectionCost float64   // cost per rejected unit

	sent          []int64    // by group: total flow to it
	arcsIntoGroup [][]arcRef // by group

	// State of the search, by node.
	potential     []float64
	dist          []float64
	viaArc        []int32 // arc over which the search reached the node: the arc's index among its site's arcs
	previous      []int32 // node from which the search reached the node
	settled       []bool
	sinkPotential float64 // potential of the common sink of all paths
	heap          []heapItem
}

// arc is a connection from a site to a group or the origin.
type arc struct {
	group          int32 // unused for arcs to the origin
	capacity, flow int64
	cost           float64 // per unit
	offHome        bool    // for objects whose home is another group
}

// hasCapacity reports whether the arc has residual capacity.
func (a *arc) hasCapacity() bool { return a.flow < a.capacity }

// arcRef identifies an arc by its site and its index among the site's arcs.
type arcRef struct{ site, arc int32 }

// clone returns a copy without search state. Demand and capacity are shared, because solve does not change them.
func (f *flowNetwork) clone() *flowNetwork {
	c := &flowNetwork{
		demand:        f.demand,
		capacity:      f.capacity,
		arcs:          make([][]arc, len(f.arcs)),
		direct:        slices.Clone(f.direct),
		groupCost:     slices.Clone(f.groupCost),
		rejectionCost: f.rejectionCost,
	}
	for site := range f.arcs {
		c.arcs[site] = slices.Clone(f.arcs[site])
	}
	return c
}

// solve assigns all demand. It returns, by site, the units sent directly to the origin and the units rejected. The
// units sent to groups are in the flow fields of arcs. solve must be called only once.
func (f *flowNetwork) solve() (direct, rejected []int64) {
	f.prepare()
	direct = make([]int64, len(f.demand))
	rejected = make([]int64, len(f.demand))
	for site, remaining := range f.demand {
		for remaining > 0 {
			end, endsAtSite := f.search(site)
			amount := min(remaining, f.endCapacity(end, endsAtSite, remaining))
			amount = f.pathCapacity(site, end, amount)
			f.addFlow(site, end, amount)
			switch {
			case !endsAtSite:
				f.sent[end-len(f.demand)] += amount
			case f.usesDirectLink(end):
				f.direct[end].flow += amount
				direct[end] += amount
			default:
				rejected[end] += amount
			}
			remaining -= amount
		}
	}
	return direct, rejected
}

// prepare allocates the state of the search.
func (f *flowNetwork) prepare() {
	groups := len(f.capacity)
	nodes := len(f.demand) + groups
	f.sent = make([]int64, groups)
	f.arcsIntoGroup = make([][]arcRef, groups)
	f.potential = make([]float64, nodes)
	f.dist = make([]float64, nodes)
	f.viaArc = make([]int32, nodes)
	f.previous = make([]int32, nodes)
	f.settled = make([]bool, nodes)
	for site, arcs := range f.arcs {
		for i := range arcs {
			group := arcs[i].group
			f.arcsIntoGroup[group] = append(f.arcsIntoGroup[group], arcRef{int32(site), int32(i)})
		}
	}
}

// usesDirectLink reports whether the flow of an augmenting path that ends at a site is sent over the site's direct link
// to the origin. Otherwise this flow is rejected.
func (f *flowNetwork) usesDirectLink(site int) bool {
	direct := &f.direct[site]
	return direct.hasCapacity() && direct.cost <= f.rejectionCost
}

// endCapacity returns the residual capacity at the end of an augmenting path: the residual capacity of the group at
// which the path ends, or of the direct link that usesDirectLink selects. If the flow of the path is rejected,
// endCapacity returns amount.
func (f *flowNetwork) endCapacity(end int, endsAtSite bool, amount int64) int64 {
	if endsAtSite {
		if f.usesDirectLink(end) {
			return f.direct[end].capacity - f.direct[end].flow
		}
		return amount
	}
	group := end - len(f.demand)
	return f.capacity[group] - f.sent[group]
}

// pathCapacity returns how much of amount the path found by search can carry from start to end. It does not consider
// the capacity that endCapacity returns.
func (f *flowNetwork) pathCapacity(start, end int, amount int64) int64 {
	for node := int32(end); node != int32(start); node = f.previous[node] {
		if f.isGroup(node) {
			arc := &f.arcs[f.previous[node]][f.viaArc[node]]
			amount = min(amount, arc.capacity-arc.flow)
		} else { // the flow from this site to the group is reduced
			amount = min(amount, f.arcs[node][f.viaArc[node]].flow)
		}
	}
	return amount
}

// addFlow adds an amount of flow to the path found by search, from start to end.
func (f *flowNetwork) addFlow(start, end int, amount int64) {
	for node := int32(end); node != int32(start); node = f.previous[node] {
		if f.isGroup(node) {
			f.arcs[f.previous[node]][f.viaArc[node]].flow += amount
		} else {
			f.arcs[node][f.viaArc[node]].flow -= amount
		}
	}
}

func (f *flowNetwork) isGroup(node int32) bool { return int(node) >= len(f.demand) }

// search finds the cheapest path for one more unit of a site, with Dijkstra's algorithm. The path ends at a group with
// residual capacity, or at a site. In the second case a unit of that site is sent directly to the origin or rejected.
// The reduced cost of an arc is its cost, plus the potential of its start, minus the potential of its end. The search
// uses reduced costs because they are never negative.
func (f *flowNetwork) search(start int) (end int, endsAtSite bool) {
	sites := len(f.demand)
	for node := range f.dist {
		f.dist[node] = math.Inf(1)
		f.settled[node] = false
	}
	f.dist[start] = 0
	f.heap = append(f.heap[:0], heapItem{0, int32(start)})
	best := math.Inf(1)
	for len(f.heap) > 0 && f.heap[0].dist < best {
		item := f.pop()
		node := int(item.node)
		if f.settled[node] || item.dist > f.dist[node] {
			continue
		}
		f.settled[node] = true
		cost := f.endCost(node)
		if dist := item.dist + max(f.potential[node]+cost-f.sinkPotential, 0); dist < best {
			best, end, endsAtSite = dist, node, node < sites
		}
		if node < sites {
			f.relaxFromSite(node, item.dist)
		} else {
			f.relaxFromGroup(node, item.dist)
		}
	}
	for node := range f.potential {
		f.potential[node] += min(f.dist[node], best)
	}
	f.sinkPotential += best
	return end, endsAtSite
}

// endCost returns the cost of ending the path of a unit at a node. It is infinite for a group without residual
// capacity.
func (f *flowNetwork) endCost(node int) float64 {
	sites := len(f.demand)
	if node < sites {
		if direct := &f.direct[node]; direct.hasCapacity() {
			return min(f.rejectionCost, direct.cost)
		}
		return f.rejectionCost
	}
	group := node - sites
	if f.sent[group] < f.capacity[group] {
		return f.groupCost[group]
	}
	return math.Inf(1)
}

// relaxFromSite updates the distances of the groups to which a site has arcs with residual capacity.
func (f *flowNetwork) relaxFromSite(site int, dist float64) {
	sites := len(f.demand)
	for i := range f.arcs[site] {
		arc := &f.arcs[site][i]
		if arc.hasCapacity() {
			group := sites + int(arc.group)
			reduced := max(f.potential[site]+arc.cost-f.potential[group], 0)
			f.relax(group, dist+reduced, int32(i), int32(site))
		}
	}
}

// relaxFromGroup updates the distances of the sites that send flow to a group, since this flow can be rerouted.
func (f *flowNetwork) relaxFromGroup(node int, dist float64) {
	for _, ref := range f.arcsIntoGroup[node-len(f.demand)] {
		arc := &f.arcs[ref.site][ref.arc]
		if arc.flow > 0 {
			reduced := max(f.potential[node]-arc.cost-f.potential[ref.site], 0)
			f.relax(int(ref.site), dist+reduced, ref.arc, int32(node))
		}
	}
}

// relax records a path to a node if it is the shortest so far.
func (f *flowNetwork) relax(node int, dist float64, viaArc, previous int32) {
	if dist < f.dist[node] {
		f.dist[node] = dist
		f.viaArc[node] = viaArc
		f.previous[node] = previous
		f.push(heapItem{dist, int32(node)})
	}
}

// heapItem is a node to visit, in a binary heap ordered by distance. The result of solve depends on the order in which
// nodes of equal distance are popped. Changes to push and pop must preserve this order.
type heapItem struct {
	dist float64
	node int32
}

func (f *flowNetwork) push(item heapItem) {
	f.heap = append(f.heap, item)
	for i := len(f.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if f.heap[parent].dist <= f.heap[i].dist {
			break
		}
		f.heap[parent], f.heap[i] = f.heap[i], f.heap[parent]
		i = parent
	}
}

func (f *flowNetwork) pop() heapItem {
	top := f.heap[0]
	last := len(f.heap) - 1
	f.heap[0] = f.heap[last]
	f.heap = f.heap[:last]
	for i := 0; ; {
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if f.heap[child].dist < f.heap[smallest].dist {
				smallest = child
			}
		}
		if smallest == i {
			return top
		}
		f.heap[i], f.heap[smallest] = f.heap[smallest], f.heap[i]
		i = smallest
	}
}
