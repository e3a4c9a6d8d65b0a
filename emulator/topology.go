package emulator

import (
	"errors"
	"math/rand/v2"
	"slices"

	"spantack/core/hierarchy"
)

// TopologyTrial is a trial of topologies: random ones, a third of them also with a loop planted. Each is then changed
// some times, while fills run through nodes of which a part has not heard of the last changes yet.
type TopologyTrial struct {
	Topologies      int `json:"shapes"`
	MaxParentGroups int `json:"areas"`
	MaxSites        int `json:"depots"`
	Changes         int `json:"changes"`
	FillsPerChange  int `json:"fills"`
}

// Validate returns an error that names the first field which can't be used, as experiments spell it.
func (t *TopologyTrial) Validate() error {
	return checkBounds("shapes.", []bounds{
		{"shapes", float64(t.Topologies), 1, 1e5},
		{"areas", float64(t.MaxParentGroups), 1, 1000},
		{"depots", float64(t.MaxSites), 1, 1000},
		{"changes", float64(t.Changes), 1, 1000},
		{"fills", float64(t.FillsPerChange), 1, 1e5},
	})
}

// TopologyTrialResult is what a trial counted.
type TopologyTrialResult struct {
	Valid            int64 // topologies without a loop
	ValidRejected    int64
	WithLoop         int64 // topologies with a planted loop
	LoopsAccepted    int64
	LoopsMisreported int64 // the error named none, or one that the topology does not have
	Fills            int64
	ByGuard          map[string]*FillOutcomes
}

// FillOutcomes is what became of the fills under one guard against loops.
type FillOutcomes struct {
	Served   int64 // reached the origin
	Stuck    int64 // found no route, or went round and round
	Revisits int64 // fills that visited a node twice
	Hops     int64
}

// Guards against loops that are compared.
const (
	guardNone = "plain" // each node forwards by its own topology
	guardPeer = "asker" // a node also sees which node asks it
	guardPath = "path"  // a fill carries its path; a node without a route says so, and the one before tries the next
)

var loopGuards = []string{guardNone, guardPeer, guardPath}

// maxVisits ends a fill that goes round and round.
const maxVisits = 64

// loopEvery is of how many topologies one has a loop planted.
const loopEvery = 3

// Run plays the trial. The same seed gives the same result.
func (t *TopologyTrial) Run(seed uint64) (*TopologyTrialResult, error) {
	if err := t.Validate(); err != nil {
		return nil, err
	}
	result := &TopologyTrialResult{ByGuard: map[string]*FillOutcomes{}}
	for _, guard := range loopGuards {
		result.ByGuard[guard] = &FillOutcomes{}
	}
	for i := range t.Topologies {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		t.runTopology(rng, i%loopEvery == 0, result)
	}
	return result, nil
}

// runTopology draws a topology, tests that a loop in it is found, and runs fills through its versions.
func (t *TopologyTrial) runTopology(rng *rand.Rand, withLoop bool, result *TopologyTrialResult) {
	groups := 2 + rng.IntN(max(t.MaxParentGroups-1, 1))
	sites := 1 + rng.IntN(t.MaxSites)
	topology := randomTopology(rng, groups, sites)
	if withLoop {
		result.countLoop(plantLoop(rng, topology))
	}
	graphs := map[string]*hierarchy.Graph{} // that each node has
	for version := 1; version <= t.Changes+1; version++ {
		if version > 1 {
			topology = changeTopology(rng, topology, groups)
		}
		topology.Version = int64(version)
		result.Valid++
		graph, err := hierarchy.Compile(topology)
		if err != nil {
			result.ValidRejected++
			return
		}
		for _, node := range nodeNames(topology) { // half of them hear of it now, the others of a later one
			if graphs[node] == nil || rng.IntN(2) == 0 {
				graphs[node] = graph
			}
		}
		for range t.FillsPerChange {
			site := siteName(rng.IntN(sites))
			draws := rng.Uint64() // the same for each guard
			result.Fills++
			for _, guard := range loopGuards {
				rng := rand.New(rand.NewPCG(draws, 1))
				followFill(graphs, site, guard, rng, result.ByGuard[guard])
			}
		}
	}
}

// countLoop counts whether the loop of a topology is found and named.
func (r *TopologyTrialResult) countLoop(topology *hierarchy.Topology) {
	r.WithLoop++
	_, err := hierarchy.Compile(topology)
	switch {
	case err == nil:
		r.LoopsAccepted++
	case !errors.Is(err, hierarchy.ErrCycle) || !hasReportedLoop(topology, err):
		r.LoopsMisreported++
	}
}

// fillRun is a fill on its way through nodes that may have different topologies.
type fillRun struct {
	graphs   map[string]*hierarchy.Graph
	guard    string
	rng      *rand.Rand
	outcomes *FillOutcomes
	visited  map[string]bool
	noRoute  []string // nodes that said so; with guardPath only
	revisits bool
}

// followFill follows one fill from a site, and counts what becomes of it.
func followFill(
	graphs map[string]*hierarchy.Graph, site, guard string, rng *rand.Rand, outcomes *FillOutcomes,
) {
	run := fillRun{
		graphs:   graphs,
		guard:    guard,
		rng:      rng,
		outcomes: outcomes,
		visited:  map[string]bool{site: true},
	}
	graph := graphs[site]
	if run.reachesOrigin(site, graph.Parents(site), graph.StartFill(site)) {
		outcomes.Served++
	} else {
		outcomes.Stuck++
	}
	if run.revisits {
		outcomes.Revisits++
	}
}

// reachesOrigin passes the fill from a node to one of the next ones, and on to the origin.
func (f *fillRun) reachesOrigin(node string, nodes []string, path hierarchy.FillPath) bool {
	for len(nodes) > 0 && len(path.Visited) < maxVisits {
		i := f.rng.IntN(len(nodes))
		next := nodes[i]
		nodes = slices.Delete(slices.Clone(nodes), i, i+1)
		if slices.Contains(f.noRoute, next) {
			continue
		}
		f.outcomes.Hops++
		if next == originNode {
			return true
		}
		f.revisits = f.revisits || f.visited[next]
		f.visited[next] = true
		parents, nextPath, err := f.forward(node, next, path)
		if err == nil && f.reachesOrigin(next, parents, nextPath) {
			return true
		}
		if f.guard != guardPath {
			return false
		}
		f.noRoute = append(f.noRoute, next)
	}
	return false
}

// forward returns where a node that has the fill from another one would pass it.
func (f *fillRun) forward(
	from, node string, path hierarchy.FillPath,
) (parents []string, next hierarchy.FillPath, err error) {
	graph := f.graphs[node]
	if f.guard == guardPath {
		path.NoRoute = f.noRoute
		return graph.Forward(node, path)
	}
	next = hierarchy.FillPath{Visited: append(slices.Clone(path.Visited), node)}
	if f.guard == guardPeer {
		parents, err = graph.ForwardByPeer(node, from)
		return parents, next, err
	}
	return graph.Parents(node), next, nil
}
