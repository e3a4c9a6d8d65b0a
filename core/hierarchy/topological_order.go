package hierarchy

import (
	"cmp"
	"slices"
)

// TopologicalOrder maintains a topological order of a directed graph while edges are added and removed. In this order
// every edge leads from an earlier node to a later one. An edge that would close a cycle is rejected, and the cycle is
// returned. The time to add an edge does not depend on the size of the graph. It depends on the number of nodes that
// lie between the ends of the edge in the order and are connected to them (Pearce and Kelly, "A dynamic topological
// sort algorithm for directed acyclic graphs", 2006).
//
// The zero value is an empty graph. It is not safe for concurrent use.
type TopologicalOrder struct {
	position     []int32   // by node: its position in the order; positions are distinct
	successors   [][]int32 // by node: nodes that its outgoing edges lead to
	predecessors [][]int32 // by node: nodes that its incoming edges come from

	// State of the searches of AddEdge, reused to save allocations.
	discoveredBy    []int32 // by node: the node from which the search reached it, or notReached
	reachedForward  []int32 // nodes that the search along the edges has reached
	reachedBackward []int32 // nodes that the search against the edges has reached
	stack           []int32 // nodes reached whose edges are still to be followed
	freePositions   []int32 // positions that reorder reassigns
}

// notReached marks a node that the search has not reached.
const notReached = -1

// Grow adds nodes until the graph has at least the given number, numbered from 0. New nodes have no edges and come last
// in the order.
func (o *TopologicalOrder) Grow(nodes int) {
	for node := len(o.position); node < nodes; node++ {
		o.position = append(o.position, int32(node))
		o.successors = append(o.successors, nil)
		o.predecessors = append(o.predecessors, nil)
		o.discoveredBy = append(o.discoveredBy, notReached)
	}
}

// Len returns the number of nodes.
func (o *TopologicalOrder) Len() int { return len(o.position) }

// Before reports whether node a comes before node b.
func (o *TopologicalOrder) Before(a, b int) bool { return o.position[a] < o.position[b] }

// Successors returns the nodes that the outgoing edges of a node lead to. The slice must not be changed, and is valid
// until the next change of the graph.
func (o *TopologicalOrder) Successors(node int) []int32 { return o.successors[node] }

// HasEdge reports whether there is an edge from one node to another.
func (o *TopologicalOrder) HasEdge(from, to int) bool {
	return slices.Contains(o.successors[from], int32(to))
}

// AddEdge adds an edge from node from to node to, and returns nil. If the edge would close a cycle, the graph does not
// change, and AddEdge returns the nodes of the cycle, starting and ending with node from. Adding an existing edge has
// no effect.
func (o *TopologicalOrder) AddEdge(from, to int) (cycle []int) {
	if from == to {
		return []int{from, to}
	}
	if o.HasEdge(from, to) {
		return nil
	}
	low, high := o.position[to], o.position[from]
	if low < high { // the edge violates the current order
		if !o.searchForward(int32(to), int32(from), high) {
			return o.cyclePath(from, to)
		}
		o.searchBackward(int32(from), low)
		o.reorder()
	}
	o.successors[from] = append(o.successors[from], int32(to))
	o.predecessors[to] = append(o.predecessors[to], int32(from))
	return nil
}

// RemoveEdge removes an edge and reports whether it existed. The order does not change.
func (o *TopologicalOrder) RemoveEdge(from, to int) bool {
	if !removeNode(&o.successors[from], int32(to)) {
		return false
	}
	removeNode(&o.predecessors[to], int32(from))
	return true
}

// removeNode removes a node from a list and reports whether the list contained it. The order of the list may change.
func removeNode(list *[]int32, node int32) bool {
	i := slices.Index(*list, node)
	if i < 0 {
		return false
	}
	last := len(*list) - 1
	(*list)[i] = (*list)[last]
	*list = (*list)[:last]
	return true
}

// searchForward stores in reachedForward the nodes at positions up to maxPosition that are reachable from start, and
// returns true. If it reaches goal, it returns false immediately, and leaves the search state as it is for cyclePath.
func (o *TopologicalOrder) searchForward(start, goal, maxPosition int32) bool {
	o.reachedForward = o.reachedForward[:0]
	o.stack = append(o.stack[:0], start)
	o.discoveredBy[start] = start
	for len(o.stack) > 0 {
		node := o.popStack()
		o.reachedForward = append(o.reachedForward, node)
		for _, next := range o.successors[node] {
			if o.discoveredBy[next] != notReached || o.position[next] > maxPosition {
				continue
			}
			o.discoveredBy[next] = node
			if next == goal {
				return false
			}
			o.stack = append(o.stack, next)
		}
	}
	o.resetSearch(o.reachedForward)
	return true
}

// searchBackward stores in reachedBackward the nodes from which start is reachable, limited to positions of minPosition
// or more.
func (o *TopologicalOrder) searchBackward(start, minPosition int32) {
	o.reachedBackward = o.reachedBackward[:0]
	o.stack = append(o.stack[:0], start)
	o.discoveredBy[start] = start
	for len(o.stack) > 0 {
		node := o.popStack()
		o.reachedBackward = append(o.reachedBackward, node)
		for _, next := range o.predecessors[node] {
			if o.discoveredBy[next] == notReached && o.position[next] >= minPosition {
				o.discoveredBy[next] = node
				o.stack = append(o.stack, next)
			}
		}
	}
	o.resetSearch(o.reachedBackward)
}

func (o *TopologicalOrder) popStack() int32 {
	last := len(o.stack) - 1
	node := o.stack[last]
	o.stack = o.stack[:last]
	return node
}

func (o *TopologicalOrder) resetSearch(nodes []int32) {
	for _, node := range nodes {
		o.discoveredBy[node] = notReached
	}
}

// cyclePath returns the cycle that an edge from node from to node to would close. The preceding searchForward must have
// started at node to and reached node from. cyclePath resets the search state.
func (o *TopologicalOrder) cyclePath(from, to int) []int {
	var path []int
	for node := int32(from); ; node = o.discoveredBy[node] {
		path = append(path, int(node))
		if int(node) == to {
			break
		}
	}
	path = append(path, from)
	slices.Reverse(path)
	o.discoveredBy[from] = notReached
	o.resetSearch(o.reachedForward)
	o.resetSearch(o.stack)
	return path
}

// reorder reassigns the positions of all reached nodes. The nodes reached backward get the lowest positions, and the
// nodes reached forward get the others. Both sets keep their internal order.
func (o *TopologicalOrder) reorder() {
	byPosition := func(a, b int32) int { return cmp.Compare(o.position[a], o.position[b]) }
	slices.SortFunc(o.reachedBackward, byPosition)
	slices.SortFunc(o.reachedForward, byPosition)
	o.freePositions = o.freePositions[:0]
	for _, node := range o.reachedBackward {
		o.freePositions = append(o.freePositions, o.position[node])
	}
	for _, node := range o.reachedForward {
		o.freePositions = append(o.freePositions, o.position[node])
	}
	slices.Sort(o.freePositions)
	for i, node := range o.reachedBackward {
		o.position[node] = o.freePositions[i]
	}
	for i, node := range o.reachedForward {
		o.position[node] = o.freePositions[len(o.reachedBackward)+i]
	}
}
