package hierarchy

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Topology says who may fill from whom. It is a document: every router that has the same one knows the same shape.
type Topology struct {
	Version      int64         `json:"version" jsonschema:"minimum=0" jsonschema_description:"number of this document; a later one is greater"`
	Origin       Origin        `json:"head"`
	ParentGroups []ParentGroup `json:"areas,omitempty"`
	Sites        []Site        `json:"depots,omitempty"`
	Links        []Link        `json:"ways,omitempty"`
}

// Origin is the head office. All ways end there.
type Origin struct {
	Name           string  `json:"name"`
	CapacityKBPerS float64 `json:"kbPerS" jsonschema_description:"what all fills together may ask of it"`
}

// ParentGroup is a set of area caches that stand together: what a hub has.
type ParentGroup struct {
	Name string `json:"name"`
	// ServerPrefixes begin so by name; those of the list that no area names are in none, and get no fills.
	ServerPrefixes []string `json:"servers" jsonschema_description:"how the names of its servers begin"`
	MissRatio      float64  `json:"miss,omitempty" jsonschema_description:"part of what it is asked for that it asks for in turn, 0 to 1; 0.35 if left out"`
}

// Site is a place with caches and routers.
type Site struct {
	Name           string  `json:"name"`
	PeakFillKBPerS float64 `json:"kbPerS" jsonschema_description:"what it fills at its peak"`
}

// Link is that one node may fill from another.
type Link struct {
	From           string  `json:"from"`
	To             string  `json:"to"`
	CapacityKBPerS float64 `json:"kbPerS" jsonschema_description:"what fits on it"`
	RTTMillis      float64 `json:"ms,omitempty" jsonschema_description:"its length there and back: of two ways with room the shorter is taken"`
}

// ErrTopology is wrapped by every fault of a shape.
var ErrTopology = errors.New("can't be used")

// ErrLoop is wrapped too where the fault is a circle of ways.
var ErrLoop = errors.New("a circle")

// cycleError is a circle of ways.
type cycleError struct{ nodes []string }

func (e *cycleError) Error() string        { return ErrLoop.Error() + ": " + strings.Join(e.nodes, " > ") }
func (e *cycleError) Is(target error) bool { return target == ErrLoop }

// Cycle is the circle that an error of Compile names, its first node last again; nil where it names none.
func Cycle(err error) []string {
	var circle *cycleError
	if errors.As(err, &circle) {
		return circle.nodes
	}
	return nil
}

// Bounds of a shape.
const (
	MaxNodes         = 20_000
	MaxLinks         = 200_000
	defaultMissRatio = 0.35
)

// Graph is a shape that holds together. Nodes are numbered: depots, then areas, then the head office, each in the document's order.
type Graph struct {
	topology  *Topology
	nodeIndex map[string]int
	order     TopologicalOrder
	levels    []int     // of each node: the head office's is 0, any other's one more than the greatest of those that it fills from
	originRTT []float64 // of each node, its shortest way to the head office, RejectionCostMillis at most
	linkIndex map[[2]int]int
	salts     []uint64 // of each area's name, then the head office's
}

// Compile reports the first thing that can't be used, or returns the graph. Every depot must have a way to the head office.
func Compile(s *Topology) (*Graph, error) {
	fault := func(field, format string, args ...any) error {
		return fmt.Errorf("%s: %w: %s", field, ErrTopology, fmt.Sprintf(format, args...))
	}
	if s.Version < 1 {
		return nil, fault("version", "%d is under 1", s.Version)
	}
	if n := len(s.Sites) + len(s.ParentGroups) + 1; n > MaxNodes || len(s.Links) > MaxLinks {
		return nil, fault("ways", "%d nodes and %d ways, %d and %d at most", n, len(s.Links), MaxNodes, MaxLinks)
	}
	amount := func(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }
	g := &Graph{topology: s, nodeIndex: make(map[string]int, len(s.Sites)+len(s.ParentGroups)+1), linkIndex: make(map[[2]int]int, len(s.Links))}
	name := func(field, n string) error {
		if _, known := g.nodeIndex[n]; known || n == "" {
			return fault(field, "%q is missing, or there already", n)
		}
		g.nodeIndex[n] = len(g.nodeIndex)
		return nil
	}
	for i, d := range s.Sites {
		at := fmt.Sprintf("depots[%d]", i)
		if err := name(at+".name", d.Name); err != nil {
			return nil, err
		}
		if !amount(d.PeakFillKBPerS) {
			return nil, fault(at+".kbPerS", "%v", d.PeakFillKBPerS)
		}
	}
	for i, a := range s.ParentGroups {
		at := fmt.Sprintf("areas[%d]", i)
		if err := name(at+".name", a.Name); err != nil {
			return nil, err
		}
		if len(a.ServerPrefixes) == 0 || slices.Contains(a.ServerPrefixes, "") {
			return nil, fault(at+".servers", "none, or an empty one")
		}
		if !(a.MissRatio >= 0 && a.MissRatio <= 1) {
			return nil, fault(at+".miss", "%v is not 0 to 1", a.MissRatio)
		}
	}
	for i, a := range s.ParentGroups { // a server must be in one area
		for k, b := range s.ParentGroups[:i] {
			for _, p := range a.ServerPrefixes {
				if j := slices.IndexFunc(b.ServerPrefixes, func(q string) bool { return strings.HasPrefix(p, q) || strings.HasPrefix(q, p) }); j >= 0 {
					return nil, fault(fmt.Sprintf("areas[%d].servers", i), "%q: areas[%d] has %q", p, k, b.ServerPrefixes[j])
				}
			}
		}
	}
	if err := name("head.name", s.Origin.Name); err != nil {
		return nil, err
	}
	if !amount(s.Origin.CapacityKBPerS) {
		return nil, fault("head.kbPerS", "%v", s.Origin.CapacityKBPerS)
	}
	g.order.Grow(len(g.nodeIndex))
	for i, w := range s.Links {
		at := fmt.Sprintf("ways[%d]", i)
		from, known := g.nodeIndex[w.From]
		if !known || from == g.originNode() {
			return nil, fault(at+".from", "%q is no depot or area", w.From)
		}
		to, known := g.nodeIndex[w.To]
		if !known || to < len(s.Sites) {
			return nil, fault(at+".to", "%q is no area or head office", w.To)
		}
		if !amount(w.CapacityKBPerS) || !amount(w.RTTMillis) {
			return nil, fault(at, "%v KB/s, %v ms", w.CapacityKBPerS, w.RTTMillis)
		}
		if _, twice := g.linkIndex[[2]int{from, to}]; twice {
			return nil, fault(at, "%s > %s is there already", w.From, w.To)
		}
		g.linkIndex[[2]int{from, to}] = i
		if circle := g.order.AddEdge(from, to); circle != nil {
			return nil, fmt.Errorf("%s: %w: %w", at, ErrTopology, &cycleError{g.nodeNames(circle)})
		}
	}
	for _, a := range s.ParentGroups {
		g.salts = append(g.salts, xxhash.Sum64String(a.Name))
	}
	g.salts = append(g.salts, xxhash.Sum64String(s.Origin.Name))
	g.computeLevels()
	for i, d := range s.Sites {
		if g.levels[i] < 0 {
			return nil, fault(fmt.Sprintf("depots[%d]", i), "%s has no way to the head office", d.Name)
		}
	}
	return g, nil
}

// computeLevels counts them from the head office on. A node without a way to it has none, which is -1, and nothing is filled from there.
func (g *Graph) computeLevels() {
	g.levels, g.originRTT = make([]int, g.order.Len()), make([]float64, g.order.Len())
	for _, n := range g.parentsFirst() {
		if n == g.originNode() {
			continue
		}
		g.levels[n], g.originRTT[n] = -1, RejectionCostMillis
		for _, to := range g.order.Successors(n) {
			if g.levels[to] >= 0 {
				g.levels[n] = max(g.levels[n], g.levels[to]+1)
				g.originRTT[n] = min(g.originRTT[n], g.link(n, int(to)).RTTMillis+g.originRTT[to])
			}
		}
	}
}

// link is the one that there is from a node to another.
func (g *Graph) link(from, to int) *Link { return &g.topology.Links[g.linkIndex[[2]int{from, to}]] }

func (g *Graph) originNode() int { return len(g.topology.Sites) + len(g.topology.ParentGroups) }

func (g *Graph) nodeName(node int) string {
	switch d := len(g.topology.Sites); {
	case node < d:
		return g.topology.Sites[node].Name
	case node < g.originNode():
		return g.topology.ParentGroups[node-d].Name
	}
	return g.topology.Origin.Name
}

// TargetName names a place of a route: an area by its number in the document, behind the last the head office.
func (g *Graph) TargetName(i int) string { return g.nodeName(len(g.topology.Sites) + i) }

func (g *Graph) nodeNames(nodes []int) (all []string) {
	for _, n := range nodes {
		all = append(all, g.nodeName(n))
	}
	return all
}

// Topology is the document that this was made from.
func (g *Graph) Topology() *Topology { return g.topology }

// Level is that of a node by name: 0 the head office's, greater ones fill from smaller ones. -1: it is unknown, or has no way to the head office.
func (g *Graph) Level(name string) int {
	if n, known := g.nodeIndex[name]; known {
		return g.levels[n]
	}
	return -1
}

// Parents names whom a node may fill from, in the document's order of nodes.
func (g *Graph) Parents(name string) (all []string) {
	n, known := g.nodeIndex[name]
	if !known {
		return nil
	}
	to := slices.Clone(g.order.Successors(n))
	slices.Sort(to)
	for _, t := range to {
		if g.levels[t] >= 0 {
			all = append(all, g.nodeName(int(t)))
		}
	}
	return all
}

// ParentGroupOf is the area of a server by its name, "" for none.
func (g *Graph) ParentGroupOf(server string) string {
	for _, a := range g.topology.ParentGroups {
		if slices.ContainsFunc(a.ServerPrefixes, func(p string) bool { return strings.HasPrefix(server, p) }) {
			return a.Name
		}
	}
	return ""
}

// Changes spells out what a new shape changes, a line each: nodes, ways, and what they bear.
func Changes(old, next *Topology) (lines []string) {
	say := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	if old.Origin != next.Origin {
		say("head office %s, %.0f KB/s: now %s, %.0f KB/s", old.Origin.Name, old.Origin.CapacityKBPerS, next.Origin.Name, next.Origin.CapacityKBPerS)
	}
	compareItems(old.Sites, next.Sites, func(d Site) string { return d.Name }, func(d Site) string { return fmt.Sprintf("depot %s, %.0f KB/s", d.Name, d.PeakFillKBPerS) }, say)
	compareItems(old.ParentGroups, next.ParentGroups, func(a ParentGroup) string { return a.Name }, func(a ParentGroup) string {
		return fmt.Sprintf("area %s, servers %s, miss %.2f", a.Name, strings.Join(a.ServerPrefixes, " "), a.missRatio())
	}, say)
	compareItems(old.Links, next.Links, func(w Link) string { return w.From + " > " + w.To }, func(w Link) string {
		return fmt.Sprintf("way %s > %s, %.0f KB/s, %.1f ms", w.From, w.To, w.CapacityKBPerS, w.RTTMillis)
	}, say)
	return lines
}

func (a *ParentGroup) missRatio() float64 {
	if a.MissRatio == 0 {
		return defaultMissRatio
	}
	return a.MissRatio
}

func compareItems[T any](old, next []T, name, text func(T) string, say func(string, ...any)) {
	was, is := map[string]string{}, map[string]bool{}
	for _, o := range old {
		was[name(o)] = text(o)
	}
	for _, n := range next {
		is[name(n)] = true
		switch before, known := was[name(n)]; {
		case !known:
			say("new: %s", text(n))
		case before != text(n):
			say("%s: now %s", before, text(n))
		}
	}
	for _, o := range old {
		if !is[name(o)] {
			say("gone: %s", text(o))
		}
	}
}
