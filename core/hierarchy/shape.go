package hierarchy

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Shape says who may fill from whom. It is a document: every router that has the same one knows the same shape.
type Shape struct {
	Version int64   `json:"version" jsonschema:"minimum=0" jsonschema_description:"number of this document; a later one is greater"`
	Head    Head    `json:"head"`
	Areas   []Area  `json:"areas,omitempty"`
	Depots  []Depot `json:"depots,omitempty"`
	Ways    []Way   `json:"ways,omitempty"`
}

// Head is the head office. All ways end there.
type Head struct {
	Name   string  `json:"name"`
	KbPerS float64 `json:"kbPerS" jsonschema_description:"what all fills together may ask of it"`
}

// Area is a set of area caches that stand together: what a hub has.
type Area struct {
	Name string `json:"name"`
	// Servers begin so by name; those of the list that no area names are in none, and get no fills.
	Servers []string `json:"servers" jsonschema_description:"how the names of its servers begin"`
	Miss    float64  `json:"miss,omitempty" jsonschema_description:"part of what it is asked for that it asks for in turn, 0 to 1; 0.35 if left out"`
}

// Depot is a place with caches and routers.
type Depot struct {
	Name   string  `json:"name"`
	KbPerS float64 `json:"kbPerS" jsonschema_description:"what it fills at its peak"`
}

// Way is that one node may fill from another.
type Way struct {
	From   string  `json:"from"`
	To     string  `json:"to"`
	KbPerS float64 `json:"kbPerS" jsonschema_description:"what fits on it"`
	Ms     float64 `json:"ms,omitempty" jsonschema_description:"its length there and back: of two ways with room the shorter is taken"`
}

// ErrShape is wrapped by every fault of a shape.
var ErrShape = errors.New("can't be used")

// ErrLoop is wrapped too where the fault is a circle of ways.
var ErrLoop = errors.New("a circle")

// circleError is a circle of ways.
type circleError struct{ nodes []string }

func (e *circleError) Error() string        { return ErrLoop.Error() + ": " + strings.Join(e.nodes, " > ") }
func (e *circleError) Is(target error) bool { return target == ErrLoop }

// Circle is the circle that an error of Compile names, its first node last again; nil where it names none.
func Circle(err error) []string {
	var circle *circleError
	if errors.As(err, &circle) {
		return circle.nodes
	}
	return nil
}

// Bounds of a shape.
const (
	MaxNodes  = 20_000
	MaxWays   = 200_000
	usualMiss = 0.35
)

// Graph is a shape that holds together. Nodes are numbered: depots, then areas, then the head office, each in the document's order.
type Graph struct {
	shape *Shape
	place map[string]int
	order Order
	level []int     // of each node: the head office's is 0, any other's one more than the greatest of those that it fills from
	upMs  []float64 // of each node, its shortest way to the head office, Refuse at most
	ways  map[[2]int]int
	salt  []uint64 // of each area's name, then the head office's
}

// Compile reports the first thing that can't be used, or returns the graph. Every depot must have a way to the head office.
func Compile(s *Shape) (*Graph, error) {
	fault := func(field, format string, args ...any) error {
		return fmt.Errorf("%s: %w: %s", field, ErrShape, fmt.Sprintf(format, args...))
	}
	if s.Version < 1 {
		return nil, fault("version", "%d is under 1", s.Version)
	}
	if n := len(s.Depots) + len(s.Areas) + 1; n > MaxNodes || len(s.Ways) > MaxWays {
		return nil, fault("ways", "%d nodes and %d ways, %d and %d at most", n, len(s.Ways), MaxNodes, MaxWays)
	}
	amount := func(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }
	g := &Graph{shape: s, place: make(map[string]int, len(s.Depots)+len(s.Areas)+1), ways: make(map[[2]int]int, len(s.Ways))}
	name := func(field, n string) error {
		if _, known := g.place[n]; known || n == "" {
			return fault(field, "%q is missing, or there already", n)
		}
		g.place[n] = len(g.place)
		return nil
	}
	for i, d := range s.Depots {
		at := fmt.Sprintf("depots[%d]", i)
		if err := name(at+".name", d.Name); err != nil {
			return nil, err
		}
		if !amount(d.KbPerS) {
			return nil, fault(at+".kbPerS", "%v", d.KbPerS)
		}
	}
	for i, a := range s.Areas {
		at := fmt.Sprintf("areas[%d]", i)
		if err := name(at+".name", a.Name); err != nil {
			return nil, err
		}
		if len(a.Servers) == 0 || slices.Contains(a.Servers, "") {
			return nil, fault(at+".servers", "none, or an empty one")
		}
		if !(a.Miss >= 0 && a.Miss <= 1) {
			return nil, fault(at+".miss", "%v is not 0 to 1", a.Miss)
		}
	}
	for i, a := range s.Areas { // a server must be in one area
		for k, b := range s.Areas[:i] {
			for _, p := range a.Servers {
				if j := slices.IndexFunc(b.Servers, func(q string) bool { return strings.HasPrefix(p, q) || strings.HasPrefix(q, p) }); j >= 0 {
					return nil, fault(fmt.Sprintf("areas[%d].servers", i), "%q: areas[%d] has %q", p, k, b.Servers[j])
				}
			}
		}
	}
	if err := name("head.name", s.Head.Name); err != nil {
		return nil, err
	}
	if !amount(s.Head.KbPerS) {
		return nil, fault("head.kbPerS", "%v", s.Head.KbPerS)
	}
	g.order.Grow(len(g.place))
	for i, w := range s.Ways {
		at := fmt.Sprintf("ways[%d]", i)
		from, known := g.place[w.From]
		if !known || from == g.head() {
			return nil, fault(at+".from", "%q is no depot or area", w.From)
		}
		to, known := g.place[w.To]
		if !known || to < len(s.Depots) {
			return nil, fault(at+".to", "%q is no area or head office", w.To)
		}
		if !amount(w.KbPerS) || !amount(w.Ms) {
			return nil, fault(at, "%v KB/s, %v ms", w.KbPerS, w.Ms)
		}
		if _, twice := g.ways[[2]int{from, to}]; twice {
			return nil, fault(at, "%s > %s is there already", w.From, w.To)
		}
		g.ways[[2]int{from, to}] = i
		if circle := g.order.Add(from, to); circle != nil {
			return nil, fmt.Errorf("%s: %w: %w", at, ErrShape, &circleError{g.names(circle)})
		}
	}
	for _, a := range s.Areas {
		g.salt = append(g.salt, xxhash.Sum64String(a.Name))
	}
	g.salt = append(g.salt, xxhash.Sum64String(s.Head.Name))
	g.levels()
	for i, d := range s.Depots {
		if g.level[i] < 0 {
			return nil, fault(fmt.Sprintf("depots[%d]", i), "%s has no way to the head office", d.Name)
		}
	}
	return g, nil
}

// levels counts them from the head office on. A node without a way to it has none, which is -1, and nothing is filled from there.
func (g *Graph) levels() {
	g.level, g.upMs = make([]int, g.order.Len()), make([]float64, g.order.Len())
	for _, n := range g.upward() {
		if n == g.head() {
			continue
		}
		g.level[n], g.upMs[n] = -1, Refuse
		for _, to := range g.order.Out(n) {
			if g.level[to] >= 0 {
				g.level[n] = max(g.level[n], g.level[to]+1)
				g.upMs[n] = min(g.upMs[n], g.way(n, int(to)).Ms+g.upMs[to])
			}
		}
	}
}

// way is the one that there is from a node to another.
func (g *Graph) way(from, to int) *Way { return &g.shape.Ways[g.ways[[2]int{from, to}]] }

func (g *Graph) head() int { return len(g.shape.Depots) + len(g.shape.Areas) }

func (g *Graph) name(node int) string {
	switch d := len(g.shape.Depots); {
	case node < d:
		return g.shape.Depots[node].Name
	case node < g.head():
		return g.shape.Areas[node-d].Name
	}
	return g.shape.Head.Name
}

// Place names a place of a route: an area by its number in the document, behind the last the head office.
func (g *Graph) Place(i int) string { return g.name(len(g.shape.Depots) + i) }

func (g *Graph) names(nodes []int) (all []string) {
	for _, n := range nodes {
		all = append(all, g.name(n))
	}
	return all
}

// Shape is the document that this was made from.
func (g *Graph) Shape() *Shape { return g.shape }

// Level is that of a node by name: 0 the head office's, greater ones fill from smaller ones. -1: it is unknown, or has no way to the head office.
func (g *Graph) Level(name string) int {
	if n, known := g.place[name]; known {
		return g.level[n]
	}
	return -1
}

// Above names whom a node may fill from, in the document's order of nodes.
func (g *Graph) Above(name string) (all []string) {
	n, known := g.place[name]
	if !known {
		return nil
	}
	to := slices.Clone(g.order.Out(n))
	slices.Sort(to)
	for _, t := range to {
		if g.level[t] >= 0 {
			all = append(all, g.name(int(t)))
		}
	}
	return all
}

// AreaOf is the area of a server by its name, "" for none.
func (g *Graph) AreaOf(server string) string {
	for _, a := range g.shape.Areas {
		if slices.ContainsFunc(a.Servers, func(p string) bool { return strings.HasPrefix(server, p) }) {
			return a.Name
		}
	}
	return ""
}

// Changes spells out what a new shape changes, a line each: nodes, ways, and what they bear.
func Changes(old, next *Shape) (lines []string) {
	say := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	if old.Head != next.Head {
		say("head office %s, %.0f KB/s: now %s, %.0f KB/s", old.Head.Name, old.Head.KbPerS, next.Head.Name, next.Head.KbPerS)
	}
	compare(old.Depots, next.Depots, func(d Depot) string { return d.Name }, func(d Depot) string { return fmt.Sprintf("depot %s, %.0f KB/s", d.Name, d.KbPerS) }, say)
	compare(old.Areas, next.Areas, func(a Area) string { return a.Name }, func(a Area) string {
		return fmt.Sprintf("area %s, servers %s, miss %.2f", a.Name, strings.Join(a.Servers, " "), a.miss())
	}, say)
	compare(old.Ways, next.Ways, func(w Way) string { return w.From + " > " + w.To }, func(w Way) string {
		return fmt.Sprintf("way %s > %s, %.0f KB/s, %.1f ms", w.From, w.To, w.KbPerS, w.Ms)
	}, say)
	return lines
}

func (a *Area) miss() float64 {
	if a.Miss == 0 {
		return usualMiss
	}
	return a.Miss
}

func compare[T any](old, next []T, name, text func(T) string, say func(string, ...any)) {
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
