package hierarchy

import (
	"math"
	"slices"
)

// flowNetwork finds the cheapest way to send what each depot wants to areas, straight up, or nowhere, under the bounds of ways and areas: a
// transportation problem, by successive cheapest paths with potentials (Ahuja, Magnanti and Orlin, "Network Flows", 9.7). Amounts are whole
// numbers, so that it ends and comes out the same everywhere.
type flowNetwork struct {
	demand        []int64   // by depot
	capacity      []int64   // by area
	arcs          [][]arc   // by depot, to areas
	direct        []arc     // by depot, straight up; room 0: none
	groupCost     []float64 // by area, cost of what goes through it beyond its way
	rejectionCost float64   // cost of what goes nowhere

	sent          []int64 // by area
	arcsIntoGroup [][]arcRef
	// of the search, by node: depots first, then areas
	potential, dist []float64
	sinkPotential   float64 // potential of the common end
	viaArc          []int32 // arc by which a node was come to: its place in the depot's arcs
	previous        []int32 // and the node
	settled         []bool
	heap            []heapItem
}

type arc struct {
	group          int32
	capacity, flow int64
	cost           float64
	offHome        bool
}

type arcRef struct{ site, arc int32 }

type heapItem struct {
	dist float64
	node int32
}

// solve sends all that is wanted. It must be called once.
func (f *flowNetwork) solve() (straight, nowhere []int64) {
	d, n := len(f.demand), len(f.demand)+len(f.capacity)
	f.sent, f.arcsIntoGroup = make([]int64, len(f.capacity)), make([][]arcRef, len(f.capacity))
	f.potential, f.dist, f.viaArc, f.previous, f.settled = make([]float64, n), make([]float64, n), make([]int32, n), make([]int32, n), make([]bool, n)
	for i, arcs := range f.arcs {
		for k := range arcs {
			f.arcsIntoGroup[arcs[k].group] = append(f.arcsIntoGroup[arcs[k].group], arcRef{int32(i), int32(k)})
		}
	}
	straight, nowhere = make([]int64, d), make([]int64, d)
	for i := range f.demand {
		for left := f.demand[i]; left > 0; {
			end, up := f.search(i)
			amount := left
			switch {
			case up: // from a depot past the areas
				if a := &f.direct[end]; a.capacity > a.flow && a.cost <= f.rejectionCost {
					amount = min(amount, a.capacity-a.flow)
				}
			default:
				amount = min(amount, f.capacity[end-d]-f.sent[end-d])
			}
			for node := int32(end); node != int32(i); node = f.previous[node] {
				if int(node) >= d { // over a way
					a := &f.arcs[f.previous[node]][f.viaArc[node]]
					amount = min(amount, a.capacity-a.flow)
				} else { // an area gives back what this depot sends it
					amount = min(amount, f.arcs[node][f.viaArc[node]].flow)
				}
			}
			for node := int32(end); node != int32(i); node = f.previous[node] {
				if int(node) >= d {
					f.arcs[f.previous[node]][f.viaArc[node]].flow += amount
				} else {
					f.arcs[node][f.viaArc[node]].flow -= amount
				}
			}
			switch {
			case !up:
				f.sent[end-d] += amount
			case f.direct[end].capacity > f.direct[end].flow && f.direct[end].cost <= f.rejectionCost:
				f.direct[end].flow += amount
				straight[end] += amount
			default:
				nowhere[end] += amount
			}
			left -= amount
		}
	}
	return straight, nowhere
}

// search finds the cheapest place for one more of a depot's: an area with room, or a depot from where it goes straight up or nowhere.
// Costs are taken with the potentials of their ends, which keeps them from being negative; the common end of all has one too.
func (f *flowNetwork) search(start int) (end int, up bool) {
	d := len(f.demand)
	for i := range f.dist {
		f.dist[i], f.settled[i] = math.Inf(1), false
	}
	f.dist[start] = 0
	f.heap = append(f.heap[:0], heapItem{0, int32(start)})
	best := math.Inf(1)
	for len(f.heap) > 0 && f.heap[0].dist < best {
		it := f.pop()
		n := int(it.node)
		if f.settled[n] || it.dist > f.dist[n] {
			continue
		}
		f.settled[n] = true
		ends := func(cost float64) {
			if dist := it.dist + max(f.potential[n]+cost-f.sinkPotential, 0); dist < best {
				best, end, up = dist, n, n < d
			}
		}
		if n >= d {
			a := n - d
			if f.sent[a] < f.capacity[a] {
				ends(f.groupCost[a])
			}
			for _, u := range f.arcsIntoGroup[a] {
				if w := &f.arcs[u.site][u.arc]; w.flow > 0 {
					f.relax(int(u.site), it.dist+max(f.potential[n]-w.cost-f.potential[u.site], 0), u.arc, int32(n))
				}
			}
			continue
		}
		ends(f.rejectionCost)
		if s := &f.direct[n]; s.capacity > s.flow {
			ends(s.cost)
		}
		for k := range f.arcs[n] {
			if w := &f.arcs[n][k]; w.flow < w.capacity {
				f.relax(d+int(w.group), it.dist+max(f.potential[n]+w.cost-f.potential[d+int(w.group)], 0), int32(k), int32(n))
			}
		}
	}
	for i := range f.potential {
		f.potential[i] += min(f.dist[i], best)
	}
	f.sinkPotential += best
	return end, up
}

func (f *flowNetwork) relax(node int, dist float64, arc, by int32) {
	if dist < f.dist[node] {
		f.dist[node], f.viaArc[node], f.previous[node] = dist, arc, by
		f.push(heapItem{dist, int32(node)})
	}
}

func (f *flowNetwork) push(it heapItem) {
	f.heap = append(f.heap, it)
	for i := len(f.heap) - 1; i > 0; {
		up := (i - 1) / 2
		if f.heap[up].dist <= f.heap[i].dist {
			break
		}
		f.heap[up], f.heap[i] = f.heap[i], f.heap[up]
		i = up
	}
}

func (f *flowNetwork) pop() heapItem {
	top := f.heap[0]
	last := len(f.heap) - 1
	f.heap[0] = f.heap[last]
	f.heap = f.heap[:last]
	for i := 0; ; {
		least := i
		for k := 2*i + 1; k <= 2*i+2 && k < last; k++ {
			if f.heap[k].dist < f.heap[least].dist {
				least = k
			}
		}
		if least == i {
			return top
		}
		f.heap[i], f.heap[least] = f.heap[least], f.heap[i]
		i = least
	}
}

// clone is the same problem with nothing sent yet.
func (f *flowNetwork) clone() *flowNetwork {
	c := &flowNetwork{demand: f.demand, capacity: slices.Clone(f.capacity), rejectionCost: f.rejectionCost, groupCost: slices.Clone(f.groupCost), direct: slices.Clone(f.direct), arcs: make([][]arc, len(f.arcs))}
	for i := range f.arcs {
		c.arcs[i] = slices.Clone(f.arcs[i])
	}
	return c
}
