package hierarchy

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// sampleTopology returns a topology with three sites, two groups that fill from a third group, and the origin.
func sampleTopology() *Topology {
	return &Topology{
		Version: 1,
		Origin:  Origin{"head", 5000},
		ParentGroups: []ParentGroup{
			{Name: "north", ServerPrefixes: []string{"n-"}},
			{Name: "south", ServerPrefixes: []string{"s-", "t-"}},
			{Name: "great", ServerPrefixes: []string{"g-"}, MissRatio: 0.5},
		},
		Sites: []Site{{"d1", 900}, {"d2", 800}, {"d3", 700}},
		Links: []Link{
			{"d1", "north", 2000, 9}, {"d1", "south", 500, 30},
			{"d2", "south", 2000, 8}, {"d2", "north", 500, 30},
			{"d3", "south", 2000, 8}, {"d3", "head", 300, 60},
			{"north", "great", 3000, 5}, {"south", "great", 3000, 5},
			{"great", "head", 5000, 12}, {"south", "head", 200, 40},
		},
	}
}

func mustCompile(t testing.TB, topology *Topology) *Graph {
	t.Helper()
	g, err := Compile(topology)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// randomTopology returns a topology with groups at several levels. Each group has a link to an earlier group or to the
// origin.
func randomTopology(rng *rand.Rand, groups, sites int) *Topology {
	topology := &Topology{Version: 1, Origin: Origin{"head", 1e4}}
	for i := range groups {
		name := fmt.Sprint("a", i)
		topology.ParentGroups = append(topology.ParentGroups, ParentGroup{Name: name, ServerPrefixes: []string{name + "-"}})
		parent := "head"
		if i > 0 && rng.IntN(3) > 0 {
			parent = fmt.Sprint("a", rng.IntN(i))
		}
		topology.Links = append(topology.Links, Link{name, parent, 1000, float64(rng.IntN(40))})
	}
	for i := range sites {
		name := fmt.Sprint("d", i)
		topology.Sites = append(topology.Sites, Site{name, 100})
		for k := range rng.Perm(groups)[:1+rng.IntN(groups)] {
			topology.Links = append(topology.Links, Link{name, fmt.Sprint("a", k), 200, float64(rng.IntN(40))})
		}
	}
	return topology
}

// Guards against invalid topologies that are accepted, including those with cycles, and against errors that do not name
// the invalid field.
func TestCompileErrorNamesInvalidField(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Topology)
		want   string // prefix of the error
		cycle  bool
	}{
		{"no version", func(s *Topology) { s.Version = 0 }, "version: ", false},
		{"site named twice", func(s *Topology) { s.Sites[1].Name = "d1" }, "depots[1].name: ", false},
		{"negative fill rate", func(s *Topology) { s.Sites[0].PeakFillKBPerS = -1 }, "depots[0].kbPerS: ", false},
		{"group named as a site", func(s *Topology) { s.ParentGroups[0].Name = "d1" }, "areas[0].name: ", false},
		{"no prefix", func(s *Topology) { s.ParentGroups[0].ServerPrefixes = nil }, "areas[0].servers: ", false},
		{"overlapping prefix", func(s *Topology) { s.ParentGroups[2].ServerPrefixes = []string{"n-4"} },
			"areas[2].servers: ", false},
		{"miss ratio over 1", func(s *Topology) { s.ParentGroups[1].MissRatio = 2 }, "areas[1].miss: ", false},
		{"origin without a name", func(s *Topology) { s.Origin.Name = "" }, "head.name: ", false},
		{"link from the origin", func(s *Topology) { s.Links[0].From = "head" }, "ways[0].from: ", false},
		{"link to a site", func(s *Topology) { s.Links[1].To = "d2" }, "ways[1].to: ", false},
		{"negative round trip", func(s *Topology) { s.Links[2].RTTMillis = -3 }, "ways[2]: ", false},
		{"link given twice", func(s *Topology) { s.Links[3] = s.Links[2] }, "ways[3]: ", false},
		{"site without a route", func(s *Topology) { s.Links = slices.Delete(s.Links, 4, 6) }, "depots[2]: ", false},
		{"two groups as parents of each other", func(s *Topology) {
			s.Links = append(s.Links, Link{"south", "north", 100, 1})
			s.Links[6] = Link{"north", "south", 100, 1}
		}, "ways[10]: invalid topology: cycle: south > north > south", true},
		{"cycle of two levels", func(s *Topology) { s.Links = append(s.Links, Link{"great", "south", 100, 1}) },
			"ways[10]: invalid topology: cycle: great > south > great", true},
		{"group as its own parent", func(s *Topology) { s.Links = append(s.Links, Link{"north", "north", 100, 1}) },
			"ways[10]: invalid topology: cycle: north > north", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			topology := sampleTopology()
			c.change(topology)
			_, err := Compile(topology)
			if !errors.Is(err, ErrTopology) || !strings.HasPrefix(err.Error(), c.want) {
				t.Errorf("got %v, want %s", err, c.want)
			}
			if c.cycle != errors.Is(err, ErrCycle) {
				t.Errorf("%v: is ErrCycle: %v", err, !c.cycle)
			}
		})
	}
}
