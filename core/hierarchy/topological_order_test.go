package hierarchy

import (
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"spantack/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// fullSearchGraph detects cycles with a search of the whole graph for each new edge.
type fullSearchGraph struct {
	successors [][]int32
	reached    []bool
}

func newFullSearchGraph(nodes int) *fullSearchGraph {
	return &fullSearchGraph{make([][]int32, nodes), make([]bool, nodes)}
}

func (g *fullSearchGraph) reaches(from, to int) bool {
	clear(g.reached)
	stack := []int32{int32(from)}
	g.reached[from] = true
	for len(stack) > 0 {
		node := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if int(node) == to {
			return true
		}
		for _, next := range g.successors[node] {
			if !g.reached[next] {
				g.reached[next] = true
				stack = append(stack, next)
			}
		}
	}
	return false
}

// checkCycle fails the test unless cycle is a cycle that an edge from a to b would close.
func checkCycle(t *rapid.T, o *TopologicalOrder, a, b int, cycle []int) {
	if len(cycle) < 2 || cycle[0] != a || cycle[1] != b || cycle[len(cycle)-1] != a {
		t.Fatalf("cycle %v for edge %d > %d", cycle, a, b)
	}
	for i := 1; i+1 < len(cycle); i++ {
		if !o.HasEdge(cycle[i], cycle[i+1]) {
			t.Fatalf("cycle %v: no edge %d > %d", cycle, cycle[i], cycle[i+1])
		}
	}
}

// Guards against cycles that are accepted, valid edges that are rejected, and an order that violates an edge. Edges are
// added and removed at random, and the results are compared with a search of the whole graph.
func TestTopologicalOrderMatchesFullSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 24).Draw(t, "nodes")
		g := newFullSearchGraph(n)
		var o TopologicalOrder
		o.Grow(n)
		for range rapid.IntRange(1, 150).Draw(t, "changes") {
			a, b := rapid.IntRange(0, n-1).Draw(t, "a"), rapid.IntRange(0, n-1).Draw(t, "b")
			if rapid.IntRange(0, 3).Draw(t, "operation") == 0 {
				if o.RemoveEdge(a, b) != removeNode(&g.successors[a], int32(b)) {
					t.Fatalf("remove %d > %d: results differ", a, b)
				}
				continue
			}
			cycle := o.AddEdge(a, b)
			if want := g.reaches(b, a); (cycle != nil) != want {
				t.Fatalf("add %d > %d: cycle %v, full search %v", a, b, cycle, want)
			}
			if cycle != nil {
				checkCycle(t, &o, a, b, cycle)
				continue
			}
			if !slices.Contains(g.successors[a], int32(b)) {
				g.successors[a] = append(g.successors[a], int32(b))
			}
			for from, list := range g.successors {
				for _, to := range list {
					if !o.Before(from, int(to)) || !o.HasEdge(from, int(to)) {
						t.Fatalf("after %d > %d: %d is not before %d", a, b, from, to)
					}
				}
			}
			if slices.ContainsFunc(o.discoveredBy, func(by int32) bool { return by != notReached }) {
				t.Fatal("the search state was not reset")
			}
		}
	})
}

// randomEdges returns edges of a hierarchy with five levels. About 2% of them have a random direction, and about half
// of these close a cycle.
func randomEdges(nodes, n int) [][2]int {
	rng := rand.New(rand.NewPCG(7, 7))
	level := make([]int, nodes)
	for i := range level {
		level[i] = rng.IntN(5)
	}
	edges := make([][2]int, 0, n)
	for len(edges) < n {
		a, b := rng.IntN(nodes), rng.IntN(nodes)
		if level[a] > level[b] || rng.IntN(50) == 0 {
			edges = append(edges, [2]int{a, b})
		}
	}
	return edges
}

const (
	benchNodes = 10_000
	benchEdges = 100_000
	benchKept  = 30_000 // maximum number of edges; once it is reached, each new edge replaces the oldest
)

func BenchmarkTopologicalOrder(b *testing.B) {
	edges := randomEdges(benchNodes, benchEdges)
	b.Run("incremental", func(b *testing.B) {
		rejected := 0
		for b.Loop() {
			var o TopologicalOrder
			o.Grow(benchNodes)
			rejected = 0
			for i, edge := range edges {
				if o.AddEdge(edge[0], edge[1]) != nil {
					rejected++
				}
				if i >= benchKept {
					oldest := edges[i-benchKept]
					o.RemoveEdge(oldest[0], oldest[1])
				}
			}
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(edges)), "ns/change")
		b.ReportMetric(float64(rejected), "rejected")
	})
	b.Run("full-search", func(b *testing.B) {
		const searches = 3000 // earlier edges are added without a search
		searched := 0
		for b.Loop() {
			b.StopTimer()
			g := newFullSearchGraph(benchNodes)
			var o TopologicalOrder
			o.Grow(benchNodes)
			for _, edge := range edges[:benchKept] {
				if o.AddEdge(edge[0], edge[1]) == nil {
					g.successors[edge[0]] = append(g.successors[edge[0]], int32(edge[1]))
				}
			}
			b.StartTimer()
			for i, edge := range edges[benchKept : benchKept+searches] {
				searched++
				if !g.reaches(edge[1], edge[0]) {
					g.successors[edge[0]] = append(g.successors[edge[0]], int32(edge[1]))
				}
				removeNode(&g.successors[edges[i][0]], int32(edges[i][1]))
			}
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(searched), "ns/change")
	})
}
