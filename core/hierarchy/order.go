package hierarchy

import (
	"cmp"
	"slices"
)

// Order keeps the nodes of a directed graph in an order in which every edge leads from an earlier one to a later one, while edges come and
// go. An edge that would close a circle is refused, and the circle named. What an edge costs follows from how many nodes lie between its
// ends in the order that are also reached from them, not from the size of the graph (Pearce and Kelly, "A dynamic topological sort
// algorithm for directed acyclic graphs", 2006).
//
// The zero value is an empty graph. It is not safe for concurrent use.
type Order struct {
	at      []int32   // place of each node; places are distinct, and may have gaps no one sees
	out, in [][]int32 // neighbours
	from    []int32   // by which node a search came to each, -1: not seen
	found   []int32   // nodes seen by the search forward
	behind  []int32   // and by the one back
	stack   []int32
	places  []int32
}

// Grow makes sure of so many nodes, numbered from 0. New ones come last.
func (o *Order) Grow(nodes int) {
	for n := len(o.at); n < nodes; n++ {
		o.at = append(o.at, int32(n))
		o.out, o.in, o.from = append(o.out, nil), append(o.in, nil), append(o.from, -1)
	}
}

// Len is how many nodes there are.
func (o *Order) Len() int { return len(o.at) }

// Before reports that a comes before b.
func (o *Order) Before(a, b int) bool { return o.at[a] < o.at[b] }

// Out are the nodes that edges lead to from a node. The slice must not be changed, and is good until the next change.
func (o *Order) Out(node int) []int32 { return o.out[node] }

// Has reports that there is an edge.
func (o *Order) Has(from, to int) bool { return slices.Contains(o.out[from], int32(to)) }

// Add puts an edge in. It returns nil, or the circle that it would close, beginning and ending with from, and then nothing has changed. An
// edge that is there already is left as it is.
func (o *Order) Add(from, to int) []int {
	if from == to {
		return []int{from, to}
	}
	if o.Has(from, to) {
		return nil
	}
	if low, high := o.at[to], o.at[from]; low < high {
		if !o.forward(int32(to), int32(from), high) {
			return o.circle(from, to)
		}
		o.back(int32(from), low)
		o.reorder()
	}
	o.out[from] = append(o.out[from], int32(to))
	o.in[to] = append(o.in[to], int32(from))
	return nil
}

// Remove takes an edge out, and reports whether it was there. The order still holds.
func (o *Order) Remove(from, to int) bool {
	if !cut(&o.out[from], int32(to)) {
		return false
	}
	cut(&o.in[to], int32(from))
	return true
}

func cut(list *[]int32, node int32) bool {
	i := slices.Index(*list, node)
	if i < 0 {
		return false
	}
	last := len(*list) - 1
	(*list)[i] = (*list)[last]
	*list = (*list)[:last]
	return true
}

// forward finds all nodes reached from one up to a place, and reports false if one of them is the goal.
func (o *Order) forward(start, goal, most int32) bool {
	o.found, o.stack = o.found[:0], append(o.stack[:0], start)
	o.from[start] = start
	for len(o.stack) > 0 {
		n := o.stack[len(o.stack)-1]
		o.stack = o.stack[:len(o.stack)-1]
		o.found = append(o.found, n)
		for _, next := range o.out[n] {
			if o.from[next] >= 0 || o.at[next] > most {
				continue
			}
			o.from[next] = n
			if next == goal {
				return false
			}
			o.stack = append(o.stack, next)
		}
	}
	o.forget(o.found)
	return true
}

// back finds all nodes that lead to one, down to a place.
func (o *Order) back(start, least int32) {
	o.behind, o.stack = o.behind[:0], append(o.stack[:0], start)
	o.from[start] = start
	for len(o.stack) > 0 {
		n := o.stack[len(o.stack)-1]
		o.stack = o.stack[:len(o.stack)-1]
		o.behind = append(o.behind, n)
		for _, next := range o.in[n] {
			if o.from[next] < 0 && o.at[next] >= least {
				o.from[next] = n
				o.stack = append(o.stack, next)
			}
		}
	}
	o.forget(o.behind)
}

func (o *Order) forget(nodes []int32) {
	for _, n := range nodes {
		o.from[n] = -1
	}
}

// circle spells out what a search forward that met its goal has found, and forgets the search.
func (o *Order) circle(from, to int) (path []int) {
	for n := int32(from); ; n = o.from[n] {
		path = append(path, int(n))
		if int(n) == to {
			break
		}
	}
	path = append(path, from)
	slices.Reverse(path)
	o.from[from] = -1
	o.forget(o.found)
	o.forget(o.stack)
	return path
}

// reorder gives what leads to the new edge the first of the places that both sides have, and what is reached from it the rest.
func (o *Order) reorder() {
	byPlace := func(a, b int32) int { return cmp.Compare(o.at[a], o.at[b]) }
	slices.SortFunc(o.behind, byPlace)
	slices.SortFunc(o.found, byPlace)
	o.places = o.places[:0]
	for _, n := range o.behind {
		o.places = append(o.places, o.at[n])
	}
	for _, n := range o.found {
		o.places = append(o.places, o.at[n])
	}
	slices.Sort(o.places)
	for i, n := range o.behind {
		o.at[n] = o.places[i]
	}
	for i, n := range o.found {
		o.at[n] = o.places[len(o.behind)+i]
	}
}
