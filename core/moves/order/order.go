// Package order decides when each of many tenants moves: as many at once as the limits of cells, link and head office bear. The router
// does not need it.
package order

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/graph"
	"gonum.org/v1/gonum/graph/simple"
	"gonum.org/v1/gonum/graph/topo"

	"spantack/core/moves"
)

// Wish is a tenant that is to move in a depot. Rates are KB a second, of all the depot's routers together.
type Wish struct {
	Tenant   string
	From, To string
	KbPerS   float64  // what it asks for
	FillKb   float64  // what its new cell has to fill before it knows the tenant; AskedIn times KbPerS where nothing better is known
	Hot      []string // objects to go first
}

// AskedIn is the time, in seconds, in which a tenant asks for most of what it asks for at all.
const AskedIn = 20.0

// CellRoom is what one cell bears. Rates are KB a second.
type CellRoom struct {
	Bears float64 // sendings of its caches
	Lives float64 // of them used now
	Fill  float64 // fills beyond those of now; 0: no bound
}

// Aim is what a schedule is made for. Times are Unix milliseconds, spans milliseconds, rates KB a second.
type Aim struct {
	Depot  string
	Start  float64
	Warm   float64 // of a move that names hot objects
	Shift  float64 // of a move at the least
	Slow   float64 // multiple of Shift that a move may take in trouble; 1 at the least
	Settle float64
	Cells  map[string]CellRoom
	Fill   float64 // fills into the depot, beyond those of now; 0: no bound
	Origin float64 // of fills, those that reach the head office; 0: no bound
	Deep   float64 // part of fills that do
}

// Schedule is when each tenant moves. A tenant for whom there is no room at any time is left out, with the reason.
type Schedule struct {
	Moves   []moves.Move
	End     float64            // when the last has shifted
	Bound   float64            // no schedule that keeps the limits ends sooner
	Peak    map[string]float64 // greatest part of each limit in use, by its name
	LeftOut map[string]string  // reason by tenant
}

// ErrPlan is wrapped by the error for wishes that can't be planned.
var ErrPlan = errors.New("no plan")

const (
	slotMs    = 1000.0 // of the time table
	mostSlots = 4 * 3600
	// grain is the part of a limit that one move takes at most: several go on at once, and a small one is not held up by a large one.
	grain = 0.5
	// cellPart of what a cell bears may be in use once all that move there have come.
	cellPart = 0.95
)

// limit is one thing that moves share, in use by slot.
type limit struct {
	name string
	most float64
	used []float64
}

// planner keeps the time table.
type planner struct {
	aim    *Aim
	limits []*limit
	fill   map[string]*limit // by cell
	room   map[string]*limit // load of a cell
	all    *limit
	deep   *limit
}

func (p *planner) add(name string, most float64) *limit {
	l := &limit{name: name, most: most, used: make([]float64, mostSlots)}
	p.limits = append(p.limits, l)
	return l
}

// trip is a move, or moves that go at the same pace since each needs the room that another leaves.
type trip struct {
	wishes []Wish
	ms     float64 // warm and shift
	kb     float64
}

// Plan orders moves: the shortest first, as many at once as the limits of cells, link and head office bear together. Moves that
// wait for each other's room in a circle go at one pace, so that what comes and what goes keep level.
func Plan(wishes []Wish, aim Aim) (*Schedule, error) {
	if err := aim.check(wishes); err != nil {
		return nil, err
	}
	p := &planner{aim: &aim, fill: map[string]*limit{}, room: map[string]*limit{}}
	for _, name := range sortedKeys(aim.Cells) {
		c := aim.Cells[name]
		if c.Fill > 0 {
			p.fill[name] = p.add("fills into "+name, c.Fill)
		}
		p.room[name] = p.add("load of "+name, max(cellPart*c.Bears, c.Lives))
		for i := range p.room[name].used {
			p.room[name].used[i] = c.Lives
		}
	}
	if aim.Fill > 0 {
		p.all = p.add("fills into the depot", aim.Fill)
	}
	if aim.Origin > 0 {
		p.deep = p.add("head office", aim.Origin)
	}
	s := &Schedule{Peak: map[string]float64{}, LeftOut: map[string]string{}}
	s.Bound = p.bound(wishes)
	var waiting []trip
	for _, w := range wishes {
		waiting = append(waiting, p.trip([]Wish{w}))
	}
	waiting = p.pass(waiting, s)
	if len(waiting) > 0 { // no room at any time, unless those that leave and those that come go together
		waiting = p.pass(p.knots(waiting), s)
	}
	for _, t := range waiting {
		for _, w := range t.wishes {
			s.LeftOut[w.Tenant] = p.why(t)
		}
	}
	for _, l := range p.limits {
		s.Peak[l.name] = slices.Max(l.used) / l.most
	}
	slices.SortStableFunc(s.Moves, func(a, b moves.Move) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.Tenant, b.Tenant))
	})
	return s, nil
}

func (a *Aim) check(wishes []Wish) error {
	if !(a.Start > 0) || !(a.Shift >= moves.LeastShift) || !(a.Slow >= 1) || !(a.Warm >= 0) || !(a.Settle >= 0) || !(a.Fill >= 0) || !(a.Origin >= 0) || !(a.Deep >= 0 && a.Deep <= 1) {
		return fmt.Errorf("%w: start above 0, shift %d ms or more, slow 1 or more, deep 0 to 1, the rest 0 or more", ErrPlan, moves.LeastShift)
	}
	seen := map[string]bool{}
	for _, w := range wishes {
		for _, cell := range []string{w.From, w.To} {
			if _, known := a.Cells[cell]; !known {
				return fmt.Errorf("%w: tenant %s: no cell %q", ErrPlan, w.Tenant, cell)
			}
		}
		switch {
		case seen[w.Tenant]:
			return fmt.Errorf("%w: tenant %s twice", ErrPlan, w.Tenant)
		case w.From == w.To:
			return fmt.Errorf("%w: tenant %s is in %s", ErrPlan, w.Tenant, w.To)
		case !(w.KbPerS >= 0 && w.KbPerS < 1e12) || !(w.FillKb >= 0 && w.FillKb < 1e15):
			return fmt.Errorf("%w: tenant %s: %v KB/s, %v KB to fill", ErrPlan, w.Tenant, w.KbPerS, w.FillKb)
		}
		seen[w.Tenant] = true
	}
	return nil
}

// trip finds how long moves take: the least shift, or as long as no limit gives more than its grain.
func (p *planner) trip(wishes []Wish) trip {
	t := trip{wishes: wishes, ms: p.aim.Shift}
	sum := 0.0
	for _, w := range wishes {
		if l := p.fill[w.To]; l != nil {
			t.ms = max(t.ms, 1000*w.FillKb/(grain*l.most))
		}
		sum += w.FillKb
		t.kb += w.KbPerS
	}
	if p.all != nil {
		t.ms = max(t.ms, 1000*sum/(grain*p.all.most))
	}
	if p.deep != nil {
		t.ms = max(t.ms, 1000*sum*p.aim.Deep/(grain*p.deep.most))
	}
	if slices.ContainsFunc(wishes, func(w Wish) bool { return len(w.Hot) > 0 }) {
		t.ms += p.aim.Warm
	}
	return t
}

// bound is the least time by volume: a limit fills no more than its rate.
func (p *planner) bound(wishes []Wish) float64 {
	least, all := 0.0, 0.0
	into := map[string]float64{}
	for _, w := range wishes {
		into[w.To] += w.FillKb
		all += w.FillKb
		least = max(least, p.aim.Shift)
	}
	for cell, l := range p.fill {
		least = max(least, 1000*into[cell]/l.most)
	}
	if p.all != nil {
		least = max(least, 1000*all/p.all.most)
	}
	if p.deep != nil {
		least = max(least, 1000*all*p.aim.Deep/p.deep.most)
	}
	return p.aim.Start + least
}

// pass places trips, the shortest first, and returns those for which there was no room.
func (p *planner) pass(trips []trip, s *Schedule) (left []trip) {
	slices.SortStableFunc(trips, func(a, b trip) int {
		return cmp.Or(cmp.Compare(a.ms, b.ms), cmp.Compare(a.kb, b.kb), cmp.Compare(a.wishes[0].Tenant, b.wishes[0].Tenant))
	})
	// A trip that found no room because others had not left yet is tried again while trips are still placed.
	for again := true; again && len(trips) > 0; {
		again = false
		left = nil
		for _, t := range trips {
			at := p.find(t)
			if at < 0 {
				left = append(left, t)
				continue
			}
			again = true
			p.place(t, at)
			p.book(t, at, s)
		}
		trips = left
	}
	return trips
}

// uses calls for each limit that a trip takes of, with how much, from slot to slot; more reports that the rest of the time is meant.
func (p *planner) uses(t trip, at int, each func(l *limit, much float64, from, until int)) {
	n := int(math.Ceil(t.ms / slotMs))
	net := map[string]float64{}
	sum := 0.0
	for _, w := range t.wishes {
		rate := 1000 * w.FillKb / t.ms
		if l := p.fill[w.To]; l != nil {
			each(l, rate, at, at+n)
		}
		sum += rate
		net[w.To] += w.KbPerS
		net[w.From] -= w.KbPerS
	}
	if p.all != nil {
		each(p.all, sum, at, at+n)
	}
	if p.deep != nil {
		each(p.deep, sum*p.aim.Deep, at, at+n)
	}
	for _, cell := range sortedKeys(net) {
		if much := net[cell]; much > 0 { // from the first on, since a move may go faster than planned
			each(p.room[cell], much, at, mostSlots)
		} else if much < 0 {
			each(p.room[cell], much, at+n, mostSlots)
		}
	}
}

// find is the first slot at which a trip keeps all limits; -1: none.
func (p *planner) find(t trip) int {
	n := int(math.Ceil(t.ms / slotMs))
	for at := 0; at+n < mostSlots; {
		next := at
		p.uses(t, at, func(l *limit, much float64, from, until int) {
			if much <= 0 {
				return
			}
			for i := until - 1; i >= from && next <= at; i-- { // the last that has no room: the trip must begin after it
				if l.used[i]+much > l.most*(1+1e-9) {
					next = i + 1
					if until == mostSlots && i == mostSlots-1 {
						next = mostSlots
					}
				}
			}
		})
		if next == at {
			return at
		}
		at = next
	}
	return -1
}

func (p *planner) place(t trip, at int) {
	p.uses(t, at, func(l *limit, much float64, from, until int) {
		for i := from; i < min(until, mostSlots); i++ {
			l.used[i] += much
		}
	})
}

// book writes the moves of a trip.
func (p *planner) book(t trip, at int, s *Schedule) {
	for _, w := range t.wishes {
		m := moves.Move{Tenant: w.Tenant, Depot: p.aim.Depot, From: w.From, To: w.To, Start: p.aim.Start + float64(at)*slotMs, Shift: t.ms, Settle: p.aim.Settle, Hot: w.Hot}
		if len(w.Hot) > 0 {
			m.Warm = p.aim.Warm
			m.Shift = max(t.ms-m.Warm, moves.LeastShift)
		}
		m.Slow = p.aim.Slow * m.Shift
		s.Moves = append(s.Moves, m)
		s.End = max(s.End, m.Start+m.Warm+m.Shift)
	}
}

// why tells what keeps a trip from ever finding room.
func (p *planner) why(t trip) string {
	reason := "no time within four hours"
	p.uses(t, 0, func(l *limit, much float64, _, until int) {
		switch {
		case much > l.most:
			reason = fmt.Sprintf("%s: %.0f KB/s needed, %.0f in all", l.name, much, l.most)
		case until == mostSlots && much > 0 && l.used[mostSlots-1]+much > l.most:
			reason = fmt.Sprintf("%s: %.0f KB/s needed, %.0f left once all others have moved", l.name, much, l.most-l.used[mostSlots-1])
		}
	})
	return reason
}

// cellGraph has an edge from cell to cell for each way that moves take.
func cellGraph(ways func(each func(from, to string))) (*simple.DirectedGraph, []string) {
	g := simple.NewDirectedGraph()
	id := map[string]int64{}
	var names []string
	ways(func(from, to string) {
		for _, name := range []string{from, to} {
			if _, known := id[name]; !known {
				id[name] = 0
				names = append(names, name)
			}
		}
	})
	slices.Sort(names)
	for i, name := range names {
		id[name] = int64(i)
		g.AddNode(simple.Node(i))
	}
	ways(func(from, to string) {
		if from != to {
			g.SetEdge(g.NewEdge(simple.Node(id[from]), simple.Node(id[to])))
		}
	})
	return g, names
}

// knots joins trips whose cells lie on a circle into one, and leaves the others.
func (p *planner) knots(trips []trip) []trip {
	g, names := cellGraph(func(each func(from, to string)) {
		for _, t := range trips {
			each(t.wishes[0].From, t.wishes[0].To)
		}
	})
	in := map[string]int{}
	for i, part := range topo.TarjanSCC(g) {
		for _, n := range part {
			in[names[n.ID()]] = i
		}
	}
	joined := map[int][]Wish{}
	var out []trip
	for _, t := range trips {
		w := t.wishes[0]
		if in[w.From] == in[w.To] {
			joined[in[w.From]] = append(joined[in[w.From]], w)
		} else {
			out = append(out, t)
		}
	}
	for _, i := range sortedKeys(joined) {
		out = append(out, p.trip(joined[i]))
	}
	return out
}

// Circles lists cells whose moves wait for each other's room, each circle from its least cell on: A to B, B to C, C to A.
func Circles(d *moves.Document) [][]string {
	g, names := cellGraph(func(each func(from, to string)) {
		for _, m := range d.Moves {
			each(m.From, m.To)
		}
	})
	var circles [][]string
	for _, c := range topo.DirectedCyclesIn(g) {
		ids := c[:len(c)-1] // it ends where it begins
		least := 0
		for i, n := range ids {
			if n.ID() < ids[least].ID() {
				least = i
			}
		}
		circles = append(circles, cellNames(append(slices.Clone(ids[least:]), ids[:least]...), names))
	}
	slices.SortFunc(circles, slices.Compare[[]string])
	return circles
}

func cellNames(nodes []graph.Node, names []string) []string {
	var out []string
	for _, n := range nodes {
		out = append(out, names[n.ID()])
	}
	return out
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
