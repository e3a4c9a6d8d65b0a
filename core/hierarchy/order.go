package hierarchy

import (
	"cmp"
	"slices"
)

// TopologicalOrder keeps the nodes of a directed graph in an order in which every edge leads from an earlier one to a later one, while edges come and
// go. An edge that would close a circle is refused, and the circle named. What an edge costs follows from how many nodes lie between its
// ends in the order that are also reached from them, not from the size of the graph (Pearce and Kelly, "A dynamic topological sort
// algorithm for directed acyclic graphs", 2006).
//
// The zero value is an empty graph. It is not safe for concurrent use.
type TopologicalOrder struct {
	position                 []int32   // place of each node; places are distinct, and may have gaps no one sees
	successors, predecessors [][]int32 // neighbours
	discoveredBy             []int32   // by which node a search came to each, -1: not seen
	reachedForward           []int32   // nodes seen by the search forward
	reachedBackward          []int32   // and by the one back
	stack                    []int32
	freePositions            []int32
}

// Grow makes sure of so many nodes, numbered from 0. New ones come last.
func (o *TopologicalOrder) Grow(nodes int) {
	for n := len(o.position); n < nodes; n++ {
		o.position = append(o.position, int32(n))
		o.successors, o.predecessors, o.discoveredBy = append(o.successors, nil), append(o.predecessors, nil), append(o.discoveredBy, -1)
	}
}

// Len is how many nodes there are.
func (o *TopologicalOrder) Len() int { return len(o.position) }

// Before reports that a comes before b.
func (o *TopologicalOrder) Before(a, b int) bool { return o.position[a] < o.position[b] }

// Successors are the nodes that edges lead to from a node. The slice must not be changed, and is good until the next change.
func (o *TopologicalOrder) Successors(node int) []int32 { return o.successors[node] }

// HasEdge reports that there is an edge.
func (o *TopologicalOrder) HasEdge(from, to int) bool {
	return slices.Contains(o.successors[from], int32(to))
}

// AddEdge puts an edge in. It returns nil, or the circle that it would close, beginning and ending with from, and then nothing has changed. An
// edge that is there already is left as it is.
func (o *TopologicalOrder) AddEdge(from, to int) []int {
	if from == to {
		return []int{from, to}
	}
	if o.HasEdge(from, to) {
		return nil
	}
	if low, high := o.position[to], o.position[from]; low < high {
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

// RemoveEdge takes an edge out, and reports whether it was there. The order still holds.
func (o *TopologicalOrder) RemoveEdge(from, to int) bool {
	if !removeNode(&o.successors[from], int32(to)) {
		return false
	}
	removeNode(&o.predecessors[to], int32(from))
	return true
}

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

// searchForward finds all nodes reached from one up to a place, and reports false if one of them is the goal.
func (o *TopologicalOrder) searchForward(start, goal, most int32) bool {
	o.reachedForward, o.stack = o.reachedForward[:0], append(o.stack[:0], start)
	o.discoveredBy[start] = start
	for len(o.stack) > 0 {
		n := o.stack[len(o.stack)-1]
		o.stack = o.stack[:len(o.stack)-1]
		o.reachedForward = append(o.reachedForward, n)
		for _, next := range o.successors[n] {
			if o.discoveredBy[next] >= 0 || o.position[next] > most {
				continue
			}
			o.discoveredBy[next] = n
			if next == goal {
				return false
			}
			o.stack = append(o.stack, next)
		}
	}
	o.resetSearch(o.reachedForward)
	return true
}

// searchBackward finds all nodes that lead to one, down to a place.
func (o *TopologicalOrder) searchBackward(start, least int32) {
	o.reachedBackward, o.stack = o.reachedBackward[:0], append(o.stack[:0], start)
	o.discoveredBy[start] = start
	for len(o.stack) > 0 {
		n := o.stack[len(o.stack)-1]
		o.stack = o.stack[:len(o.stack)-1]
		o.reachedBackward = append(o.reachedBackward, n)
		for _, next := range o.predecessors[n] {
			if o.discoveredBy[next] < 0 && o.position[next] >= least {
				o.discoveredBy[next] = n
				o.stack = append(o.stack, next)
			}
		}
	}
	o.resetSearch(o.reachedBackward)
}

func (o *TopologicalOrder) resetSearch(nodes []int32) {
	for _, n := range nodes {
		o.discoveredBy[n] = -1
	}
}

// cyclePath spells out what a search forward that met its goal has found, and forgets the search.
func (o *TopologicalOrder) cyclePath(from, to int) (path []int) {
	for n := int32(from); ; n = o.discoveredBy[n] {
		path = append(path, int(n))
		if int(n) == to {
			break
		}
	}
	path = append(path, from)
	slices.Reverse(path)
	o.discoveredBy[from] = -1
	o.resetSearch(o.reachedForward)
	o.resetSearch(o.stack)
	return path
}

// reorder gives what leads to the new edge the first of the places that both sides have, and what is reached from it the rest.
func (o *TopologicalOrder) reorder() {
	byPlace := func(a, b int32) int { return cmp.Compare(o.position[a], o.position[b]) }
	slices.SortFunc(o.reachedBackward, byPlace)
	slices.SortFunc(o.reachedForward, byPlace)
	o.freePositions = o.freePositions[:0]
	for _, n := range o.reachedBackward {
		o.freePositions = append(o.freePositions, o.position[n])
	}
	for _, n := range o.reachedForward {
		o.freePositions = append(o.freePositions, o.position[n])
	}
	slices.Sort(o.freePositions)
	for i, n := range o.reachedBackward {
		o.position[n] = o.freePositions[i]
	}
	for i, n := range o.reachedForward {
		o.position[n] = o.freePositions[len(o.reachedBackward)+i]
	}
}
