package hierarchy

import (
	"cmp"
	"slices"
)

// TopologicalOrder keeps the nodes of a directed graph in an order in which every edge leads from an earlier node to
// a later one, while edges are added and removed. An edge that would close a cycle is rejected, and the cycle
// reported. Adding an edge costs time in proportion to the nodes that lie between its ends in the order and are
// connected with them, not to the size of the graph (Pearce and Kelly, "A dynamic topological sort algorithm for
// directed acyclic graphs", 2006).
//
// The zero value is an empty graph. It is not safe for concurrent use.
type TopologicalOrder struct {
	position     []int32   // by node: its position in the order; positions are distinct
	successors   [][]int32 // by node: where its edges lead to
	predecessors [][]int32 // by node: where the edges to it come from

	// State of the searches of AddEdge, kept to save allocations.
	discoveredBy    []int32 // by node: the node from which the search reached it, or notReached
	reachedForward  []int32 // nodes that the search along the edges has reached
	reachedBackward []int32 // nodes that the search against the edges has reached
	stack           []int32 // nodes reached whose edges are still to be followed
	freePositions   []int32 // positions that reorder gives out anew
}

// notReached marks a node that the search has not reached.
const notReached = -1

// Grow makes sure that there are at least so many nodes, numbered from 0. New ones have no edges and come last.
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

// Successors returns the nodes that edges lead to from a node. The slice must not be changed, and is valid until the
// next change of the graph.
func (o *TopologicalOrder) Successors(node int) []int32 { return o.successors[node] }

// HasEdge reports whether there is an edge between two nodes.
func (o *TopologicalOrder) HasEdge(from, to int) bool {
	return slices.Contains(o.successors[from], int32(to))
}

// AddEdge adds an edge and returns nil. If the edge would close a cycle, nothing changes, and the nodes of the cycle
// are returned, from first and again last. Adding an edge that exists does nothing.
func (o *TopologicalOrder) AddEdge(from, to int) (cycle []int) {
	if from == to {
		return []int{from, to}
	}
	if o.HasEdge(from, to) {
		return nil
	}
	low, high := o.position[to], o.position[from]
	if low < high { // the edge contradicts the order
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

// RemoveEdge removes an edge, and reports whether it existed. The order stays as it is.
func (o *TopologicalOrder) RemoveEdge(from, to int) bool {
	if !removeNode(&o.successors[from], int32(to)) {
		return false
	}
	removeNode(&o.predecessors[to], int32(from))
	return true
}

// removeNode removes a node from a list, whose order it does not keep, and reports whether it was there.
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

// searchForward finds the nodes that can be reached from start, up to a position. It returns false as soon as goal is
// one of them, and leaves the search's state for cyclePath then.
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

// searchBackward finds the nodes from which start can be reached, down to a position.
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

// cyclePath returns the cycle that a search forward has found, which began at to and met from, and resets the search.
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

// reorder gives the positions of all reached nodes out anew: the lowest to those reached backward, the rest to those
// reached forward, and on each side in the order that they had.
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
