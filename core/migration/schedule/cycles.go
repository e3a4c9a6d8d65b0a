package schedule

import (
	"maps"
	"slices"

	"gonum.org/v1/gonum/graph"
	"gonum.org/v1/gonum/graph/simple"
	"gonum.org/v1/gonum/graph/topo"

	"spantack/core/migration"
)

// cellPair is the source and the target cell of a migration.
type cellPair struct{ from, to string }

// cellGraph is a directed graph of cells, with an edge from the source to the target cell of each migration.
type cellGraph struct {
	*simple.DirectedGraph
	names []string // of cells, by node ID; sorted
}

func newCellGraph(pairs []cellPair) cellGraph {
	ids := map[string]int64{}
	for _, pair := range pairs {
		ids[pair.from] = 0
		ids[pair.to] = 0
	}
	g := cellGraph{simple.NewDirectedGraph(), slices.Sorted(maps.Keys(ids))}
	for i, name := range g.names {
		ids[name] = int64(i)
		g.AddNode(simple.Node(i))
	}
	for _, pair := range pairs {
		if pair.from != pair.to {
			g.SetEdge(g.NewEdge(simple.Node(ids[pair.from]), simple.Node(ids[pair.to])))
		}
	}
	return g
}

// namesOf returns the names of the cells that nodes stand for.
func (g cellGraph) namesOf(nodes []graph.Node) []string {
	var names []string
	for _, n := range nodes {
		names = append(names, g.names[n.ID()])
	}
	return names
}

// joinCycles joins the batches between cells that are connected by cycles: one batch for each strongly connected
// component. It returns the other batches unchanged. Each of the given batches must have a single request.
func (p *planner) joinCycles(batches []batch) []batch {
	var pairs []cellPair
	for _, b := range batches {
		pairs = append(pairs, cellPair{b.requests[0].From, b.requests[0].To})
	}
	g := newCellGraph(pairs)
	component := map[string]int{} // by cell
	for i, nodes := range topo.TarjanSCC(g) {
		for _, cell := range g.namesOf(nodes) {
			component[cell] = i
		}
	}
	joined := map[int][]Request{} // by component
	var result []batch
	for _, b := range batches {
		r := b.requests[0]
		if component[r.From] == component[r.To] {
			joined[component[r.From]] = append(joined[component[r.From]], r)
		} else {
			result = append(result, b)
		}
	}
	for _, i := range slices.Sorted(maps.Keys(joined)) {
		result = append(result, p.newBatch(joined[i]))
	}
	return result
}

// Cycles returns the cycles in the graph of the document's migrations, such as A to B, B to C, C to A. The migrations
// of a cycle may have to wait for capacity that another of them frees. Each cycle begins with its alphabetically first
// cell, and cycles are sorted.
func Cycles(d *migration.Document) [][]string {
	var pairs []cellPair
	for i := range d.Migrations {
		pairs = append(pairs, cellPair{d.Migrations[i].From, d.Migrations[i].To})
	}
	g := newCellGraph(pairs)
	var cycles [][]string
	for _, nodes := range topo.DirectedCyclesIn(g) {
		cells := g.namesOf(nodes[:len(nodes)-1]) // the last node repeats the first
		first := slices.Index(cells, slices.Min(cells))
		cycles = append(cycles, slices.Concat(cells[first:], cells[:first]))
	}
	slices.SortFunc(cycles, slices.Compare[[]string])
	return cycles
}
