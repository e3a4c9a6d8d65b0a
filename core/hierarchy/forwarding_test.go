package hierarchy

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// swapNames exchanges the names of two groups in all links of a topology.
func swapNames(topology *Topology, a, b string) {
	for i := range topology.Links {
		for _, end := range []*string{&topology.Links[i].From, &topology.Links[i].To} {
			switch *end {
			case a:
				*end = b
			case b:
				*end = a
			}
		}
	}
}

// Guards against a fill that loops because nodes have different topologies, each of them valid. A fill that every node
// forwards with Forward must visit no node twice, and must end.
func TestForwardVisitsNoNodeTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		groups, sites := 2+rng.IntN(6), 1+rng.IntN(3)
		var graphs []*Graph
		for range 4 {
			topology := randomTopology(rng, groups, sites)
			rng.Shuffle(groups, func(i, k int) { swapNames(topology, fmt.Sprint("a", i), fmt.Sprint("a", k)) })
			g, err := Compile(topology)
			if err != nil {
				t.Fatal(err)
			}
			graphs = append(graphs, g)
		}
		graphOf := map[string]*Graph{}
		for i := range groups {
			graphOf[fmt.Sprint("a", i)] = graphs[rng.IntN(len(graphs))]
		}
		site := fmt.Sprint("d", rng.IntN(sites))
		g := graphs[rng.IntN(len(graphs))]
		path := g.StartFill(site)
		parents := g.Parents(site)
		visited := map[string]bool{site: true}
		for {
			node := parents[rng.IntN(len(parents))]
			if node == "head" {
				return
			}
			if visited[node] {
				t.Fatalf("%s is visited twice: %v", node, path.Visited)
			}
			visited[node] = true
			var err error
			parents, path, err = graphOf[node].Forward(node, path)
			if err != nil {
				if !errors.Is(err, ErrNoRoute) {
					t.Fatal(err)
				}
				return
			}
		}
	})
}

// Guards against a loop between two groups with different topologies, in which each has the other as its parent. The
// second group must forward the fill to the origin, or report that it has no route.
func TestForwardPreventsLoopAcrossTwoTopologies(t *testing.T) {
	one, two := sampleTopology(), sampleTopology()
	one.Links[6] = Link{"north", "south", 3000, 5} // and south fills from great and the origin
	two.Links[7] = Link{"south", "north", 3000, 5}
	a, b := mustCompile(t, one), mustCompile(t, two)
	parents, path, err := a.Forward("north", a.StartFill("d1"))
	if err != nil || !slices.Contains(parents, "south") {
		t.Fatal(parents, err)
	}
	parents, path, err = b.Forward("south", path)
	if err != nil || strings.Join(parents, " ") != "head" {
		t.Errorf("south forwards to %v, %v, want the origin", parents, err)
	}
	if _, _, err := a.Forward("north", path); !errors.Is(err, ErrCycle) {
		t.Errorf("second visit of north: %v", err)
	}
	retry := a.StartFill("d1")
	retry.NoRoute = []string{"south"}
	if parents, _, err := a.Forward("north", retry); err == nil {
		t.Errorf("north forwards to %v although south has no route", parents)
	}
	two.Links = slices.Delete(two.Links, 9, 10) // south has no parent but north
	_, path, _ = a.Forward("north", a.StartFill("d1"))
	if _, _, err := mustCompile(t, two).Forward("south", path); !errors.Is(err, ErrNoRoute) {
		t.Errorf("south without another parent: %v", err)
	}
	long := FillPath{Visited: make([]string, MaxHops)}
	if _, _, err := a.Forward("north", long); !errors.Is(err, ErrNoRoute) {
		t.Errorf("a path of %d nodes: %v", MaxHops, err)
	}
}
