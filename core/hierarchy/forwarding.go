package hierarchy

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// FillPath is what a fill carries from node to node, where the protocol has a field for it.
type FillPath struct {
	Visited []string // nodes that it has passed, the site first
	NoRoute []string // nodes that returned it with ErrNoRoute
}

// MaxHops bounds the nodes of a FillPath, visited and without a route together. Real hierarchies are far less deep.
const MaxHops = 16

// ErrNoRoute is wrapped by an error of Forward and ForwardByPeer if a node has no parent left to forward a fill to.
var ErrNoRoute = errors.New("no route to the origin")

// StartFill returns the path that a site's fill begins with.
func (g *Graph) StartFill(site string) FillPath { return FillPath{Visited: []string{site}} }

// Forward returns the parents to which a node may forward a fill that came with a path, and the path to send along.
// Since nodes may have different topologies, a node can get a fill from one of its own parents: only nodes that the
// fill has not passed are returned.
//
// The error wraps ErrLoop if the fill has passed this node before, and ErrNoRoute if no parent is left or the path is
// MaxHops long. A node that gets ErrNoRoute from a parent adds it, and all nodes that it had tried, to NoRoute and
// goes on with the next parent. Levels are not compared: the path prevents loops by itself, and they would stop fills
// that can still arrive.
func (g *Graph) Forward(node string, path FillPath) (parents []string, next FillPath, err error) {
	if slices.Contains(path.Visited, node) {
		return nil, FillPath{}, fmt.Errorf("%w: %s > %s", ErrLoop, strings.Join(path.Visited, " > "), node)
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
		return nil, next, fmt.Errorf("%s, by %s: %w", node, strings.Join(path.Visited, " > "), ErrNoRoute)
	}
	return parents, next, nil
}

// ForwardByPeer returns the parents to which a node may forward a fill that carries no path, judging by the node that
// sent it. If that peer's level is not above this node's, the two have different topologies, and only the origin is
// returned, or an error that wraps ErrNoRoute.
//
// This prevents every loop in which the node that the fill returns to still has the topology by which it first
// forwarded the fill. A LoopDetector finds the others once they occur.
func (g *Graph) ForwardByPeer(node, peer string) (parents []string, err error) {
	peerIsBelow := g.Level(peer) > g.Level(node)
	for _, parent := range g.Parents(node) {
		if peerIsBelow || parent == g.topology.Origin.Name {
			parents = append(parents, parent)
		}
	}
	if len(parents) == 0 {
		return nil, fmt.Errorf("%s, asked by %s: %w", node, peer, ErrNoRoute)
	}
	return parents, nil
}
