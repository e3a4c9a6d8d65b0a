package hierarchy

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Compile validates a topology and returns its graph. Names must be unique, links must not form a cycle, and every site
// must have a route to the origin. Otherwise the error names the first invalid field and wraps ErrTopology. The graph
// refers to the topology, which must not be changed afterwards.
func Compile(t *Topology) (*Graph, error) {
	g := &Graph{
		topology:  t,
		nodeIndex: make(map[string]int, t.nodeCount()),
		linkIndex: make(map[[2]int]int, len(t.Links)),
	}
	steps := []func() error{
		t.checkSize, g.addSites, g.addParentGroups, t.checkServerPrefixes, g.addOrigin, g.addLinks, g.computeLevels,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	g.computeSalts()
	return g, nil
}

// nodeCount returns the number of nodes: sites, parent groups and the origin.
func (t *Topology) nodeCount() int { return len(t.Sites) + len(t.ParentGroups) + 1 }

func (t *Topology) checkSize() error {
	if t.Version < 1 {
		return invalid("version", "%d, must be 1 or more", t.Version)
	}
	if nodes := t.nodeCount(); nodes > MaxNodes || len(t.Links) > MaxLinks {
		return invalid("depots, areas or ways", "%d nodes and %d ways, at most %d and %d are allowed",
			nodes, len(t.Links), MaxNodes, MaxLinks)
	}
	return nil
}

// isFiniteNonNegative reports whether a rate or time is a finite number of 0 or more.
func isFiniteNonNegative(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

// addNode assigns the next node number to a name. It returns an error for field if the name is empty or not unique.
func (g *Graph) addNode(field, name string) error {
	if name == "" {
		return invalid(field, "missing")
	}
	if _, exists := g.nodeIndex[name]; exists {
		return invalid(field, "%q is already the name of another node", name)
	}
	g.nodeIndex[name] = len(g.nodeIndex)
	return nil
}

func (g *Graph) addSites() error {
	for i, site := range g.topology.Sites {
		field := fmt.Sprintf("depots[%d]", i)
		if err := g.addNode(field+".name", site.Name); err != nil {
			return err
		}
		if !isFiniteNonNegative(site.PeakFillKBPerS) {
			return invalid(field+".kbPerS", "%v, must be a finite number of 0 or more", site.PeakFillKBPerS)
		}
	}
	return nil
}

func (g *Graph) addParentGroups() error {
	for i, group := range g.topology.ParentGroups {
		field := fmt.Sprintf("areas[%d]", i)
		if err := g.addNode(field+".name", group.Name); err != nil {
			return err
		}
		if len(group.ServerPrefixes) == 0 || slices.Contains(group.ServerPrefixes, "") {
			return invalid(field+".servers", "%q, must contain at least one prefix and no empty one", group.ServerPrefixes)
		}
		if !(group.MissRatio >= 0 && group.MissRatio <= 1) {
			return invalid(field+".miss", "%v, must be 0 to 1", group.MissRatio)
		}
	}
	return nil
}

// checkServerPrefixes returns an error if a server name could match two groups.
func (t *Topology) checkServerPrefixes() error {
	for i, group := range t.ParentGroups {
		for k, earlier := range t.ParentGroups[:i] {
			for _, prefix := range group.ServerPrefixes {
				overlaps := func(other string) bool {
					return strings.HasPrefix(prefix, other) || strings.HasPrefix(other, prefix)
				}
				if j := slices.IndexFunc(earlier.ServerPrefixes, overlaps); j >= 0 {
					return invalid(fmt.Sprintf("areas[%d].servers", i), "%q overlaps %q of areas[%d]",
						prefix, earlier.ServerPrefixes[j], k)
				}
			}
		}
	}
	return nil
}

func (g *Graph) addOrigin() error {
	origin := g.topology.Origin
	if err := g.addNode("head.name", origin.Name); err != nil {
		return err
	}
	if !isFiniteNonNegative(origin.CapacityKBPerS) {
		return invalid("head.kbPerS", "%v, must be a finite number of 0 or more", origin.CapacityKBPerS)
	}
	return nil
}

// addLinks validates the links and adds them to the topological order, which detects cycles.
func (g *Graph) addLinks() error {
	g.order.Grow(len(g.nodeIndex))
	for i := range g.topology.Links {
		if err := g.addLink(i); err != nil {
			return err
		}
	}
	return nil
}

func (g *Graph) addLink(i int) error {
	link := g.topology.Links[i]
	field := fmt.Sprintf("ways[%d]", i)
	from, known := g.nodeIndex[link.From]
	if !known || from == g.originNode() {
		return invalid(field+".from", "%q is not a name in depots or areas", link.From)
	}
	to, known := g.nodeIndex[link.To]
	if !known || to < len(g.topology.Sites) {
		return invalid(field+".to", "%q is not a name in areas or head", link.To)
	}
	if !isFiniteNonNegative(link.CapacityKBPerS) || !isFiniteNonNegative(link.RTTMillis) {
		return invalid(field, "%v KB/s, %v ms, both must be finite numbers of 0 or more", link.CapacityKBPerS, link.RTTMillis)
	}
	ends := [2]int{from, to}
	if first, exists := g.linkIndex[ends]; exists {
		return invalid(field, "%s > %s is already ways[%d]", link.From, link.To, first)
	}
	g.linkIndex[ends] = i
	if cycle := g.order.AddEdge(from, to); cycle != nil {
		return fmt.Errorf("%s: %w: %w", field, ErrTopology, &cycleError{g.nodeNames(cycle)})
	}
	return nil
}

// computeLevels computes, for each node, its level and the shortest round trip to the origin. It visits each node after
// its parents. It returns an error if a site has no route to the origin.
func (g *Graph) computeLevels() error {
	g.levels = make([]int, g.order.Len())
	g.originRTT = make([]float64, g.order.Len())
	for _, node := range g.parentsFirst() {
		if node == g.originNode() {
			continue
		}
		g.levels[node] = noRoute
		g.originRTT[node] = RejectionCostMillis
		for _, parent := range g.order.Successors(node) {
			if g.levels[parent] == noRoute {
				continue
			}
			g.levels[node] = max(g.levels[node], g.levels[parent]+1)
			g.originRTT[node] = min(g.originRTT[node], g.link(node, int(parent)).RTTMillis+g.originRTT[parent])
		}
	}
	for i, site := range g.topology.Sites {
		if g.levels[i] == noRoute {
			return invalid(fmt.Sprintf("depots[%d]", i), "%s has no route to the origin", site.Name)
		}
	}
	return nil
}

// computeSalts computes the hashes of the names of the groups and of the origin. Route.Pick uses them as salts.
func (g *Graph) computeSalts() {
	for _, group := range g.topology.ParentGroups {
		g.salts = append(g.salts, xxhash.Sum64String(group.Name))
	}
	g.salts = append(g.salts, xxhash.Sum64String(g.topology.Origin.Name))
}
