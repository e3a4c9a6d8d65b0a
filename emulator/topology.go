package emulator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"spantack/core/hierarchy"
)

// TopologyTrial describes a trial of shapes: random ones, a third with a circle planted, each then changed some times while fills run through nodes
// of which a part has not heard of the last changes yet.
type TopologyTrial struct {
	Topologies      int `json:"shapes"`
	MaxParentGroups int `json:"areas"`  // at most
	MaxSites        int `json:"depots"` // at most
	Changes         int `json:"changes"`
	FillsPerChange  int `json:"fills"` // after each change
}

// Validate reports the first field that can't be used.
func (s *TopologyTrial) Validate() error {
	for _, f := range []struct {
		name  string
		value int
		most  int
	}{{"shapes", s.Topologies, 1e5}, {"areas", s.MaxParentGroups, 1000}, {"depots", s.MaxSites, 1000}, {"changes", s.Changes, 1000}, {"fills", s.FillsPerChange, 1e5}} {
		if f.value < 1 || f.value > f.most {
			return fmt.Errorf("shapes.%s: %d is not 1 to %d", f.name, f.value, f.most)
		}
	}
	return nil
}

// TopologyTrialResult is what a trial counted.
type TopologyTrialResult struct {
	Valid, ValidRejected    int64
	WithLoop, LoopsAccepted int64
	LoopsMisreported        int64 // circles named that are none of the shape's
	Fills                   int64
	ByGuard                 map[string]*FillOutcomes
}

// FillOutcomes is what became of the fills under one guard.
type FillOutcomes struct {
	Served, Stuck int64 // at the head office; or without a way on, round and round among them
	Revisits      int64 // that visited a node twice
	Hops          int64
}

// loopGuards are the ways compared: nothing; by who asks alone; by a path carried along.
var loopGuards = []string{"plain", "asker", "path"}

// maxVisits ends a fill that goes round and round.
const maxVisits = 64

// Run plays the trial.
func (s *TopologyTrial) Run(seed uint64) (*TopologyTrialResult, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	res := &TopologyTrialResult{ByGuard: map[string]*FillOutcomes{}}
	for _, g := range loopGuards {
		res.ByGuard[g] = &FillOutcomes{}
	}
	for n := range s.Topologies {
		s.runTopology(rand.New(rand.NewPCG(seed, uint64(n))), n%3 == 0, res)
	}
	return res, nil
}

func (s *TopologyTrial) runTopology(rng *rand.Rand, planted bool, res *TopologyTrialResult) {
	areas, depots := 2+rng.IntN(max(s.MaxParentGroups-1, 1)), 1+rng.IntN(s.MaxSites)
	shape := randomTopology(rng, areas, depots)
	if planted {
		res.WithLoop++
		bad := plantLoop(rng, shape)
		switch _, err := hierarchy.Compile(bad); {
		case err == nil:
			res.LoopsAccepted++
		case !errors.Is(err, hierarchy.ErrLoop) || !hasReportedLoop(bad, err):
			res.LoopsMisreported++
		}
	}
	told := map[string]*hierarchy.Graph{}
	for version := 1; version <= s.Changes+1; version++ {
		if version > 1 {
			shape = changeTopology(rng, shape, areas)
		}
		shape.Version = int64(version)
		res.Valid++
		g, err := hierarchy.Compile(shape)
		if err != nil {
			res.ValidRejected++
			return
		}
		for _, name := range nodeNames(shape) { // half hear of it now, the rest of a later one
			if told[name] == nil || rng.IntN(2) == 0 {
				told[name] = g
			}
		}
		for range s.FillsPerChange {
			depot := fmt.Sprint("d", rng.IntN(depots))
			draws := rng.Uint64()
			res.Fills++
			for _, guard := range loopGuards {
				followFill(told, depot, guard, rand.New(rand.NewPCG(draws, 1)), res.ByGuard[guard])
			}
		}
	}
}

// followFill follows one fill through nodes that have shapes of their own. A node that has no way on says so, and where a path is carried the one
// before it asks the next.
func followFill(told map[string]*hierarchy.Graph, depot, guard string, rng *rand.Rand, res *FillOutcomes) {
	visited := map[string]bool{depot: true}
	twice := false
	var tried []string
	var pass func(at string, to []string, hop hierarchy.FillPath) bool
	pass = func(at string, to []string, hop hierarchy.FillPath) bool {
		for len(to) > 0 && len(hop.Visited) < maxVisits {
			i := rng.IntN(len(to))
			next := to[i]
			to = slices.Delete(slices.Clone(to), i, i+1)
			if slices.Contains(tried, next) {
				continue
			}
			res.Hops++
			if next == "head" {
				return true
			}
			twice = twice || visited[next]
			visited[next] = true
			var on []string
			var err error
			further := hierarchy.FillPath{Visited: append(slices.Clone(hop.Visited), next)}
			switch g := told[next]; guard {
			case "plain":
				on = g.Parents(next)
			case "asker":
				on, err = g.ForwardByPeer(next, at)
			default:
				hop.NoRoute = tried
				on, further, err = g.Forward(next, hop)
			}
			if err == nil && pass(next, on, further) {
				return true
			}
			if guard != "path" {
				return false
			}
			tried = append(tried, next)
		}
		return false
	}
	if pass(depot, told[depot].Parents(depot), told[depot].StartFill(depot)) {
		res.Served++
	} else {
		res.Stuck++
	}
	if twice {
		res.Revisits++
	}
}

func nodeNames(s *hierarchy.Topology) (all []string) {
	for _, d := range s.Sites {
		all = append(all, d.Name)
	}
	for _, a := range s.ParentGroups {
		all = append(all, a.Name)
	}
	return all
}

// randomTopology draws an order of areas, and ways that all lead down it.
func randomTopology(rng *rand.Rand, areas, depots int) *hierarchy.Topology {
	s := &hierarchy.Topology{Origin: hierarchy.Origin{Name: "head", CapacityKBPerS: 1e4}}
	for i := range areas {
		name := fmt.Sprint("a", i)
		s.ParentGroups = append(s.ParentGroups, hierarchy.ParentGroup{Name: name, ServerPrefixes: []string{name + "-"}})
	}
	for i := range depots {
		s.Sites = append(s.Sites, hierarchy.Site{Name: fmt.Sprint("d", i), PeakFillKBPerS: 100})
	}
	s.Links = randomLinks(rng, areas, depots)
	return s
}

func randomLinks(rng *rand.Rand, areas, depots int) (ways []hierarchy.Link) {
	order := rng.Perm(areas)
	for i, a := range order {
		name := fmt.Sprint("a", a)
		if i == 0 || rng.IntN(4) == 0 {
			ways = append(ways, hierarchy.Link{From: name, To: "head", CapacityKBPerS: 1000})
		}
		for _, k := range rng.Perm(i)[:min(i, 1+rng.IntN(3))] {
			ways = append(ways, hierarchy.Link{From: name, To: fmt.Sprint("a", order[k]), CapacityKBPerS: 1000})
		}
	}
	for d := range depots {
		for _, k := range rng.Perm(areas)[:1+rng.IntN(min(areas, 4))] {
			ways = append(ways, hierarchy.Link{From: fmt.Sprint("d", d), To: fmt.Sprint("a", k), CapacityKBPerS: 1000})
		}
	}
	return ways
}

// changeTopology is a shape with some change: ways drawn anew, all ways of one area turned to the head office, or one taken away that nobody needs.
func changeTopology(rng *rand.Rand, s *hierarchy.Topology, areas int) *hierarchy.Topology {
	next := *s
	next.Links = slices.Clone(s.Links)
	switch rng.IntN(3) {
	case 0:
		next.Links = randomLinks(rng, areas, len(s.Sites))
	case 1:
		name := fmt.Sprint("a", rng.IntN(areas))
		next.Links = slices.DeleteFunc(next.Links, func(w hierarchy.Link) bool { return w.From == name })
		next.Links = append(next.Links, hierarchy.Link{From: name, To: "head", CapacityKBPerS: 1000})
	default:
		w := next.Links[rng.IntN(len(next.Links))]
		left := 0
		for _, o := range next.Links {
			if o.From == w.From {
				left++
			}
		}
		if left > 1 {
			next.Links = slices.DeleteFunc(next.Links, func(o hierarchy.Link) bool { return o == w })
		}
	}
	return &next
}

// plantLoop puts a way in that closes a circle: from a node that some area leads to, back to that one.
func plantLoop(rng *rand.Rand, s *hierarchy.Topology) *hierarchy.Topology {
	next := *s
	next.Version, next.Links = 1, slices.Clone(s.Links)
	start := fmt.Sprint("a", rng.IntN(len(s.ParentGroups)))
	at := start
	for range rng.IntN(len(s.ParentGroups)) {
		var up []string
		for _, w := range s.Links {
			if w.From == at && w.To != "head" {
				up = append(up, w.To)
			}
		}
		if len(up) == 0 {
			break
		}
		at = up[rng.IntN(len(up))]
	}
	at2 := rng.IntN(len(next.Links) + 1)
	next.Links = slices.Insert(next.Links, at2, hierarchy.Link{From: at, To: start, CapacityKBPerS: 1000})
	return &next
}

// hasReportedLoop reports that the circle which an error names is one of the shape's.
func hasReportedLoop(s *hierarchy.Topology, err error) bool {
	nodes := hierarchy.Cycle(err)
	if len(nodes) < 2 || nodes[0] != nodes[len(nodes)-1] {
		return false
	}
	for i := range nodes[1:] {
		if !slices.ContainsFunc(s.Links, func(w hierarchy.Link) bool { return w.From == nodes[i] && w.To == nodes[i+1] }) {
			return false
		}
	}
	return true
}
