package hierarchy

import (
	"slices"
	"strings"
)

// noRoute is the level of a node without a route to the origin.
const noRoute = -1

// Graph is a compiled topology. It is immutable and safe for concurrent use. Nodes are numbered: sites, then parent
// groups, then the origin, each in the document's order.
type Graph struct {
	topology  *Topology
	nodeIndex map[string]int // node number by name
	order     TopologicalOrder
	// levels holds each node's level, or noRoute. The level of the origin is 0. The level of any other node is one more
	// than the highest level of its parents.
	levels    []int
	originRTT []float64      // by node: round trip of its shortest route to the origin, ms, at most RejectionCostMillis
	linkIndex map[[2]int]int // index of a link in the topology, by its two nodes
	salts     []uint64       // hashes of the names of the groups, then of the origin
}

// Topology returns the document that the graph was compiled from. It must not be changed.
func (g *Graph) Topology() *Topology { return g.topology }

// Level returns the level of the node with the given name. The level of the origin is 0. The level of any other node is
// one more than the highest level of its parents. Level returns -1 for an unknown node and for a node without a route
// to the origin.
func (g *Graph) Level(name string) int {
	if node, known := g.nodeIndex[name]; known {
		return g.levels[node]
	}
	return noRoute
}

// Parents returns the names of the nodes that a node may fill from, in the document's order. Parents without a route to
// the origin are left out.
func (g *Graph) Parents(name string) []string {
	node, known := g.nodeIndex[name]
	if !known {
		return nil
	}
	parents := slices.Clone(g.order.Successors(node))
	slices.Sort(parents)
	var names []string
	for _, parent := range parents {
		if g.levels[parent] != noRoute {
			names = append(names, g.nodeName(int(parent)))
		}
	}
	return names
}

// ParentGroupOf returns the name of the parent group whose prefixes match a server's name, or "" if no group matches.
func (g *Graph) ParentGroupOf(server string) string {
	isPrefix := func(prefix string) bool { return strings.HasPrefix(server, prefix) }
	for _, group := range g.topology.ParentGroups {
		if slices.ContainsFunc(group.ServerPrefixes, isPrefix) {
			return group.Name
		}
	}
	return ""
}

// TargetName returns the name of a target of a Route. Targets are the parent groups by their index in the document,
// followed by the origin.
func (g *Graph) TargetName(target int) string { return g.nodeName(len(g.topology.Sites) + target) }

// link returns the link over which node from may fill from node to. The link must exist.
func (g *Graph) link(from, to int) *Link { return &g.topology.Links[g.linkIndex[[2]int{from, to}]] }

// originNode returns the number of the origin, which is the last node.
func (g *Graph) originNode() int { return g.topology.nodeCount() - 1 }

func (g *Graph) nodeName(node int) string {
	sites := len(g.topology.Sites)
	switch {
	case node < sites:
		return g.topology.Sites[node].Name
	case node < g.originNode():
		return g.topology.ParentGroups[node-sites].Name
	}
	return g.topology.Origin.Name
}

func (g *Graph) nodeNames(nodes []int) []string {
	var names []string
	for _, node := range nodes {
		names = append(names, g.nodeName(node))
	}
	return names
}

// parentsFirst returns the numbers of all nodes, each after its parents.
func (g *Graph) parentsFirst() []int {
	nodes := make([]int, g.order.Len())
	for i := range nodes {
		nodes[i] = i
	}
	slices.SortFunc(nodes, func(a, b int) int { return int(g.order.position[b]) - int(g.order.position[a]) })
	return nodes
}
