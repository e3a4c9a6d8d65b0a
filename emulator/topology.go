package emulator

import (
	"errors"
	"math/rand/v2"
	"slices"

	"spantack/core/hierarchy"
)

// TopologyTrial is a trial of random topologies. For a third of the topologies it also checks that an added loop is
// rejected. It then changes each topology several times and runs fills while some nodes still have an older version.
type TopologyTrial struct {
	Topologies      int `json:"shapes"`
	MaxParentGroups int `json:"areas"`
	MaxSites        int `json:"depots"`
	Changes         int `json:"changes"`
	FillsPerChange  int `json:"fills"`
}

// Validate returns an error for the first field that is out of range. The error contains the field's name in experiment
// files.
func (t *TopologyTrial) Validate() error {
	return checkBounds("shapes.", []bounds{
		{"shapes", float64(t.Topologies), 1, 1e5},
		{"areas", float64(t.MaxParentGroups), 1, 1000},
		{"depots", float64(t.MaxSites), 1, 1000},
		{"changes", float64(t.Changes), 1, 1000},
		{"fills", float64(t.FillsPerChange), 1, 1e5},
	})
}

// TopologyTrialResult contains the counts of a trial.
type TopologyTrialResult struct {
	Valid            int64 // topologies without a loop
	ValidRejected    int64
	WithLoop         int64 // topologies with an added loop
	LoopsAccepted    int64
	LoopsMisreported int64 // the error named no loop, or one that the topology does not have
	Fills            int64
	ByGuard          map[string]*FillOutcomes
}

// FillOutcomes counts the outcomes of the fills under one guard against loops.
type FillOutcomes struct {
	Served   int64 // fills that reached the origin
	Stuck    int64 // fills that found no route or reached maxVisits
	Revisits int64 // fills that visited a node twice
	Hops     int64
}

// Guards against loops. The trial compares these guards.
const (
	guardNone = "plain" // each node forwards by its own topology
	guardPeer = "asker" // a node also knows which node it received the fill from
	guardPath = "path"  // a fill carries its path; if a node reports no route, the previous node tries another
)

var loopGuards = []string{guardNone, guardPeer, guardPath}

// maxVisits is the number of visits to nodes after which a fill ends as stuck.
const maxVisits = 64

// loopEvery is the number of topologies per added loop: the first of every loopEvery topologies gets one.
const loopEvery = 3

// Run executes the trial. The same seed gives the same result.
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

// runTopology generates a random topology, checks that an added loop is detected if withLoop is set, and runs fills
// through the versions of the topology.
func (t *TopologyTrial) runTopology(rng *rand.Rand, withLoop bool, result *TopologyTrialResult) {
	groups := 2 + rng.IntN(max(t.MaxParentGroups-1, 1))
	sites := 1 + rng.IntN(t.MaxSites)
	topology := randomTopology(rng, groups, sites)
	if withLoop {
		result.countLoop(addLoop(rng, topology))
	}
	graphs := map[string]*hierarchy.Graph{} // the topology version that each node has, by node name
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
		// A node without a version receives this one. Any other node receives it with probability 1/2.
		for _, node := range nodeNames(topology) {
			if graphs[node] == nil || rng.IntN(2) == 0 {
				graphs[node] = graph
			}
		}
		for range t.FillsPerChange {
			site := siteName(rng.IntN(sites))
			draws := rng.Uint64() // seed for the random choices of the fill, the same for each guard
			result.Fills++
			for _, guard := range loopGuards {
				rng := rand.New(rand.NewPCG(draws, 1))
				followFill(graphs, site, guard, rng, result.ByGuard[guard])
			}
		}
	}
}

// countLoop compiles a topology that has a loop. It counts the loop as accepted if there is no error, and as
// misreported if the error does not name a loop of the topology.
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

// fillRun is a fill that passes through nodes that may have different versions of the topology.
type fillRun struct {
	graphs   map[string]*hierarchy.Graph
	guard    string
	rng      *rand.Rand
	outcomes *FillOutcomes
	visited  map[string]bool
	noRoute  []string // nodes that reported no route; only with guardPath
	revisits bool
}

// followFill simulates one fill from a site and counts its outcome.
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

// reachesOrigin forwards the fill from a node to one of the given next nodes, and recursively towards the origin. It
// reports whether the fill reaches the origin.
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

// forward returns the nodes to which node may forward a fill that it received from the node from. It also returns the
// path of the fill including node.
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
