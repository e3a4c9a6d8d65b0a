package hierarchy

import (
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"spantack/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// plainGraph is the plain way: edges in a set, and a full search for each new one.
type plainGraph struct {
	out  [][]int32
	seen []bool
}

func (g *plainGraph) reaches(from, to int) bool {
	clear(g.seen)
	stack := []int32{int32(from)}
	g.seen[from] = true
	for len(stack) > 0 {
		n := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if int(n) == to {
			return true
		}
		for _, next := range g.out[n] {
			if !g.seen[next] {
				g.seen[next] = true
				stack = append(stack, next)
			}
		}
	}
	return false
}

// Whatever comes and goes: an edge is refused if and only if it closes a circle, the circle named is one, and every edge leads forward.
func TestOrderAgreesWithTheFullSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 24).Draw(t, "nodes")
		g := plainGraph{make([][]int32, n), make([]bool, n)}
		var o TopologicalOrder
		o.Grow(n)
		for range rapid.IntRange(1, 150).Draw(t, "changes") {
			a, b := rapid.IntRange(0, n-1).Draw(t, "a"), rapid.IntRange(0, n-1).Draw(t, "b")
			if rapid.IntRange(0, 3).Draw(t, "what") == 0 {
				if o.RemoveEdge(a, b) != removeNode(&g.out[a], int32(b)) {
					t.Fatalf("remove %d > %d", a, b)
				}
				continue
			}
			circle := o.AddEdge(a, b)
			if want := g.reaches(b, a); (circle != nil) != want {
				t.Fatalf("add %d > %d: circle %v, full search %v", a, b, circle, want)
			}
			if circle != nil {
				if len(circle) < 2 || circle[0] != a || circle[1] != b || circle[len(circle)-1] != a {
					t.Fatalf("circle %v of %d > %d", circle, a, b)
				}
				for i := 1; i+1 < len(circle); i++ {
					if !o.HasEdge(circle[i], circle[i+1]) {
						t.Fatalf("circle %v: no edge %d > %d", circle, circle[i], circle[i+1])
					}
				}
				continue
			}
			if !slices.Contains(g.out[a], int32(b)) {
				g.out[a] = append(g.out[a], int32(b))
			}
			for from, list := range g.out {
				for _, to := range list {
					if !o.Before(from, int(to)) || !o.HasEdge(from, int(to)) {
						t.Fatalf("after %d > %d: %d is not before %d", a, b, from, to)
					}
				}
			}
			if slices.ContainsFunc(o.discoveredBy, func(f int32) bool { return f >= 0 }) {
				t.Fatal("a search was not forgotten")
			}
		}
	})
}

// changes are edges that come and go in a hierarchy of 10,000 nodes: five levels, two to four parents each, now and then an edge of the
// wrong direction, half of which close circles.
func changes(nodes, n int) [][2]int {
	rng := rand.New(rand.NewPCG(7, 7))
	level := make([]int, nodes)
	for i := range level {
		level[i] = rng.IntN(5)
	}
	all := make([][2]int, 0, n)
	for len(all) < n {
		a, b := rng.IntN(nodes), rng.IntN(nodes)
		if level[a] > level[b] || rng.IntN(50) == 0 {
			all = append(all, [2]int{a, b})
		}
	}
	return all
}

const benchNodes, benchChanges = 10_000, 100_000

// Each change adds an edge, and from the 30,000th on takes the oldest out.
func BenchmarkOrder(b *testing.B) {
	all := changes(benchNodes, benchChanges)
	b.Run("incremental", func(b *testing.B) {
		refused := 0
		for b.Loop() {
			var o TopologicalOrder
			o.Grow(benchNodes)
			refused = 0
			for i, e := range all {
				if o.AddEdge(e[0], e[1]) != nil {
					refused++
				}
				if i >= 30_000 {
					o.RemoveEdge(all[i-30_000][0], all[i-30_000][1])
				}
			}
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(all)), "ns/change")
		b.ReportMetric(float64(refused), "refused")
	})
	b.Run("full-search", func(b *testing.B) {
		const some = 3000 // of the changes, after all before them have been put in unlooked
		refused := 0
		var searched int
		for b.Loop() {
			b.StopTimer()
			g := plainGraph{make([][]int32, benchNodes), make([]bool, benchNodes)}
			var o TopologicalOrder
			o.Grow(benchNodes)
			for _, e := range all[:30_000] {
				if o.AddEdge(e[0], e[1]) == nil {
					g.out[e[0]] = append(g.out[e[0]], int32(e[1]))
				}
			}
			b.StartTimer()
			for i, e := range all[30_000 : 30_000+some] {
				searched++
				if g.reaches(e[1], e[0]) {
					refused++
				} else {
					g.out[e[0]] = append(g.out[e[0]], int32(e[1]))
				}
				removeNode(&g.out[all[i][0]], int32(all[i][1]))
			}
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(searched), "ns/change")
	})
}
