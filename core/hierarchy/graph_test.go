package hierarchy

import (
	"slices"
	"strings"
	"testing"
)

// Guards against a graph that returns a wrong level, wrong parents or the wrong group of a server.
func TestGraphReturnsLevelsParentsAndGroupOfServer(t *testing.T) {
	g := mustCompile(t, sampleTopology())
	for name, want := range map[string]int{"head": 0, "great": 1, "north": 2, "south": 2, "d1": 3, "d3": 3, "nobody": -1} {
		if got := g.Level(name); got != want {
			t.Errorf("level of %s is %d, want %d", name, got, want)
		}
	}
	if got := strings.Join(g.Parents("south"), " "); got != "great head" {
		t.Errorf("parents of south are %s, want great head", got)
	}
	for server, want := range map[string]string{"t-17": "south", "g-1": "great", "x-1": ""} {
		if got := g.ParentGroupOf(server); got != want {
			t.Errorf("server %s is assigned to the wrong group %q", server, got)
		}
	}
}

// Guards against fills that are sent to a group without a route to the origin. The group north loses its only link.
func TestGroupWithoutRouteIsNotAParent(t *testing.T) {
	topology := sampleTopology()
	topology.Links = slices.Delete(topology.Links, 6, 7)
	g := mustCompile(t, topology)
	if g.Level("north") != -1 || strings.Join(g.Parents("d1"), " ") != "south" {
		t.Errorf("north at level %d, d1 fills from %v", g.Level("north"), g.Parents("d1"))
	}
}
