package hierarchy

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// FillPath is sent with a fill from node to node, if the protocol has a field for it.
type FillPath struct {
	Visited []string // nodes that the fill has passed, starting with the site
	NoRoute []string // nodes that rejected the fill with ErrNoRoute, and the nodes that each of them has tried
}

// MaxHops is the maximum number of nodes in Visited and NoRoute of a FillPath together. Actual hierarchies have far
// fewer levels.
const MaxHops = 16

// ErrNoRoute is wrapped by errors of Forward and ForwardByPeer if a node has no parent to which it may forward a fill.
var ErrNoRoute = errors.New("no route to the origin")

// StartFill returns the initial path of a site's fill.
func (g *Graph) StartFill(site string) FillPath { return FillPath{Visited: []string{site}} }

// Forward returns the parents to which a node may forward a fill with the given path, and the path to send with it.
// Nodes may have different topologies, so a node can receive a fill from one of its own parents. Therefore Forward
// leaves out the parents that the fill has passed and the parents in NoRoute.
//
// The error wraps ErrCycle if the fill has passed this node before. It wraps ErrNoRoute if no parent remains or the
// path has MaxHops nodes. A node that gets ErrNoRoute from a parent must add this parent, and all nodes that the parent
// has tried, to NoRoute, and then try the next parent. Unlike ForwardByPeer, Forward does not compare levels, because
// the path alone prevents loops. A comparison would reject fills that can still reach the origin.
func (g *Graph) Forward(node string, path FillPath) (parents []string, next FillPath, err error) {
	if slices.Contains(path.Visited, node) {
		return nil, FillPath{}, fmt.Errorf("fill in a %w: %s > %s", ErrCycle, strings.Join(path.Visited, " > "), node)
	}
	if hops := len(path.Visited) + len(path.NoRoute); hops >= MaxHops {
		return nil, FillPath{}, fmt.Errorf("%s: %d nodes tried, at most %d: %w", node, hops, MaxHops, ErrNoRoute)
	}
	next = FillPath{Visited: append(slices.Clone(path.Visited), node), NoRoute: path.NoRoute}
	for _, parent := range g.Parents(node) {
		if !slices.Contains(path.Visited, parent) && !slices.Contains(path.NoRoute, parent) {
			parents = append(parents, parent)
		}
	}
	if len(parents) == 0 {
		return nil, next, fmt.Errorf("%s, via %s: %w", node, strings.Join(path.Visited, " > "), ErrNoRoute)
	}
	return parents, next, nil
}

// ForwardByPeer returns the parents to which a node may forward a fill that carries no path. The choice depends on the
// peer that sent the fill. If the peer's level is greater than the node's, all parents of the node are returned.
// Otherwise the peer and the node have different topologies. In this case only the origin is returned, or an error that
// wraps ErrNoRoute if the origin is not a parent of the node.
//
// This rule permits only one kind of loop: a fill may return to a node that has changed its topology since it first
// forwarded the fill. A LoopDetector detects such a loop when it occurs.
func (g *Graph) ForwardByPeer(node, peer string) (parents []string, err error) {
	isPeerBelow := g.Level(peer) > g.Level(node)
	for _, parent := range g.Parents(node) {
		if isPeerBelow || parent == g.topology.Origin.Name {
			parents = append(parents, parent)
		}
	}
	if len(parents) == 0 {
		return nil, fmt.Errorf("%s, requested by %s: %w", node, peer, ErrNoRoute)
	}
	return parents, nil
}
