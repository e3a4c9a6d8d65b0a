// Package schedule decides when each of many tenants moves: as many at once as the limits of cells, link and head office bear. The router
// does not need it.
package schedule

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/graph"
	"gonum.org/v1/gonum/graph/simple"
	"gonum.org/v1/gonum/graph/topo"

	"spantack/core/migration"
)

// Request is a tenant that is to move in a depot. Rates are KB a second, of all the depot's routers together.
type Request struct {
	Tenant     string
	From, To   string
	KbPerS     float64  // what it asks for
	FillKb     float64  // what its new cell has to fill before it knows the tenant; WorkingSetSeconds times KbPerS where nothing better is known
	HotObjects []string // objects to go first
}

// WorkingSetSeconds is the time, in seconds, in which a tenant asks for most of what it asks for at all.
const WorkingSetSeconds = 20.0

// CellCapacity is what one cell bears. Rates are KB a second.
type CellCapacity struct {
	SendKbPerS float64 // sendings of its caches
	UsedKbPerS float64 // of them used now
	FillKbPerS float64 // fills beyond those of now; 0: no bound
}

// Constraints is what a schedule is made for. Times are Unix milliseconds, spans milliseconds, rates KB a second.
type Constraints struct {
	Site               string
	Start              float64
	WarmUp             float64 // of a move that names hot objects
	MinShift           float64 // of a move at the least
	MaxShiftFactor     float64 // multiple of Shift that a move may take in trouble; 1 at the least
	Settle             float64
	Cells              map[string]CellCapacity
	SiteFillKbPerS     float64 // fills into the depot, beyond those of now; 0: no bound
	OriginFillKbPerS   float64 // of fills, those that reach the head office; 0: no bound
	OriginFillFraction float64 // part of fills that do
}

// Schedule is when each tenant moves. A tenant for whom there is no room at any time is left out, with the reason.
type Schedule struct {
	Migrations  []migration.Migration
	End         float64            // when the last has shifted
	LowerBound  float64            // no schedule that keeps the limits ends sooner
	PeakUse     map[string]float64 // greatest part of each limit in use, by its name
	Unscheduled map[string]string  // reason by tenant
}

// ErrInvalid is wrapped by the error for wishes that can't be planned.
var ErrInvalid = errors.New("no plan")

const (
	slotMs   = 1000.0 // of the time table
	maxSlots = 4 * 3600
	// maxBatchFraction is the part of a limit that one move takes at most: several go on at once, and a small one is not held up by a large one.
	maxBatchFraction = 0.5
	// usableCellFraction of what a cell bears may be in use once all that move there have come.
	usableCellFraction = 0.95
)

// limit is one thing that moves share, in use by slot.
type limit struct {
	name     string
	capacity float64
	used     []float64
}

// planner keeps the time table.
type planner struct {
	constraints *Constraints
	limits      []*limit
	cellFills   map[string]*limit // by cell
	cellLoads   map[string]*limit // load of a cell
	siteFills   *limit
	originFills *limit
}

func (p *planner) addLimit(name string, most float64) *limit {
	l := &limit{name: name, capacity: most, used: make([]float64, maxSlots)}
	p.limits = append(p.limits, l)
	return l
}

// batch is a move, or moves that go at the same pace since each needs the room that another leaves.
type batch struct {
	requests   []Request
	durationMs float64 // warm and shift
	kbPerS     float64
}

// Plan orders moves: the shortest first, as many at once as the limits of cells, link and head office bear together. Moves that
// wait for each other's room in a circle go at one pace, so that what comes and what goes keep level.
func Plan(wishes []Request, aim Constraints) (*Schedule, error) {
	if err := aim.validate(wishes); err != nil {
		return nil, err
	}
	p := &planner{constraints: &aim, cellFills: map[string]*limit{}, cellLoads: map[string]*limit{}}
	for _, name := range sortedKeys(aim.Cells) {
		c := aim.Cells[name]
		if c.FillKbPerS > 0 {
			p.cellFills[name] = p.addLimit("fills into "+name, c.FillKbPerS)
		}
		p.cellLoads[name] = p.addLimit("load of "+name, max(usableCellFraction*c.SendKbPerS, c.UsedKbPerS))
		for i := range p.cellLoads[name].used {
			p.cellLoads[name].used[i] = c.UsedKbPerS
		}
	}
	if aim.SiteFillKbPerS > 0 {
		p.siteFills = p.addLimit("fills into the depot", aim.SiteFillKbPerS)
	}
	if aim.OriginFillKbPerS > 0 {
		p.originFills = p.addLimit("head office", aim.OriginFillKbPerS)
	}
	s := &Schedule{PeakUse: map[string]float64{}, Unscheduled: map[string]string{}}
	s.LowerBound = p.lowerBound(wishes)
	var waiting []batch
	for _, w := range wishes {
		waiting = append(waiting, p.newBatch([]Request{w}))
	}
	waiting = p.placeBatches(waiting, s)
	if len(waiting) > 0 { // no room at any time, unless those that leave and those that come go together
		waiting = p.placeBatches(p.joinCycles(waiting), s)
	}
	for _, t := range waiting {
		for _, w := range t.requests {
			s.Unscheduled[w.Tenant] = p.unscheduledReason(t)
		}
	}
	for _, l := range p.limits {
		s.PeakUse[l.name] = slices.Max(l.used) / l.capacity
	}
	slices.SortStableFunc(s.Migrations, func(a, b migration.Migration) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.Tenant, b.Tenant))
	})
	return s, nil
}

func (a *Constraints) validate(wishes []Request) error {
	if !(a.Start > 0) || !(a.MinShift >= migration.ShortestShiftMs) || !(a.MaxShiftFactor >= 1) || !(a.WarmUp >= 0) || !(a.Settle >= 0) || !(a.SiteFillKbPerS >= 0) || !(a.OriginFillKbPerS >= 0) || !(a.OriginFillFraction >= 0 && a.OriginFillFraction <= 1) {
		return fmt.Errorf("%w: start above 0, shift %d ms or more, slow 1 or more, deep 0 to 1, the rest 0 or more", ErrInvalid, migration.ShortestShiftMs)
	}
	seen := map[string]bool{}
	for _, w := range wishes {
		for _, cell := range []string{w.From, w.To} {
			if _, known := a.Cells[cell]; !known {
				return fmt.Errorf("%w: tenant %s: no cell %q", ErrInvalid, w.Tenant, cell)
			}
		}
		switch {
		case seen[w.Tenant]:
			return fmt.Errorf("%w: tenant %s twice", ErrInvalid, w.Tenant)
		case w.From == w.To:
			return fmt.Errorf("%w: tenant %s is in %s", ErrInvalid, w.Tenant, w.To)
		case !(w.KbPerS >= 0 && w.KbPerS < 1e12) || !(w.FillKb >= 0 && w.FillKb < 1e15):
			return fmt.Errorf("%w: tenant %s: %v KB/s, %v KB to fill", ErrInvalid, w.Tenant, w.KbPerS, w.FillKb)
		}
		seen[w.Tenant] = true
	}
	return nil
}

// newBatch finds how long moves take: the least shift, or as long as no limit gives more than its grain.
func (p *planner) newBatch(wishes []Request) batch {
	t := batch{requests: wishes, durationMs: p.constraints.MinShift}
	sum := 0.0
	for _, w := range wishes {
		if l := p.cellFills[w.To]; l != nil {
			t.durationMs = max(t.durationMs, 1000*w.FillKb/(maxBatchFraction*l.capacity))
		}
		sum += w.FillKb
		t.kbPerS += w.KbPerS
	}
	if p.siteFills != nil {
		t.durationMs = max(t.durationMs, 1000*sum/(maxBatchFraction*p.siteFills.capacity))
	}
	if p.originFills != nil {
		t.durationMs = max(t.durationMs, 1000*sum*p.constraints.OriginFillFraction/(maxBatchFraction*p.originFills.capacity))
	}
	if slices.ContainsFunc(wishes, func(w Request) bool { return len(w.HotObjects) > 0 }) {
		t.durationMs += p.constraints.WarmUp
	}
	return t
}

// lowerBound is the least time by volume: a limit fills no more than its rate.
func (p *planner) lowerBound(wishes []Request) float64 {
	least, all := 0.0, 0.0
	into := map[string]float64{}
	for _, w := range wishes {
		into[w.To] += w.FillKb
		all += w.FillKb
		least = max(least, p.constraints.MinShift)
	}
	for cell, l := range p.cellFills {
		least = max(least, 1000*into[cell]/l.capacity)
	}
	if p.siteFills != nil {
		least = max(least, 1000*all/p.siteFills.capacity)
	}
	if p.originFills != nil {
		least = max(least, 1000*all*p.constraints.OriginFillFraction/p.originFills.capacity)
	}
	return p.constraints.Start + least
}

// placeBatches places trips, the shortest first, and returns those for which there was no room.
func (p *planner) placeBatches(trips []batch, s *Schedule) (left []batch) {
	slices.SortStableFunc(trips, func(a, b batch) int {
		return cmp.Or(cmp.Compare(a.durationMs, b.durationMs), cmp.Compare(a.kbPerS, b.kbPerS), cmp.Compare(a.requests[0].Tenant, b.requests[0].Tenant))
	})
	// A trip that found no room because others had not left yet is tried again while trips are still placed.
	for again := true; again && len(trips) > 0; {
		again = false
		left = nil
		for _, t := range trips {
			at := p.firstFit(t)
			if at < 0 {
				left = append(left, t)
				continue
			}
			again = true
			p.reserve(t, at)
			p.addMigrations(t, at, s)
		}
		trips = left
	}
	return trips
}

// eachUse calls for each limit that a trip takes of, with how much, from slot to slot; more reports that the rest of the time is meant.
func (p *planner) eachUse(t batch, at int, each func(l *limit, much float64, from, until int)) {
	n := int(math.Ceil(t.durationMs / slotMs))
	net := map[string]float64{}
	sum := 0.0
	for _, w := range t.requests {
		rate := 1000 * w.FillKb / t.durationMs
		if l := p.cellFills[w.To]; l != nil {
			each(l, rate, at, at+n)
		}
		sum += rate
		net[w.To] += w.KbPerS
		net[w.From] -= w.KbPerS
	}
	if p.siteFills != nil {
		each(p.siteFills, sum, at, at+n)
	}
	if p.originFills != nil {
		each(p.originFills, sum*p.constraints.OriginFillFraction, at, at+n)
	}
	for _, cell := range sortedKeys(net) {
		if much := net[cell]; much > 0 { // from the first on, since a move may go faster than planned
			each(p.cellLoads[cell], much, at, maxSlots)
		} else if much < 0 {
			each(p.cellLoads[cell], much, at+n, maxSlots)
		}
	}
}

// firstFit is the first slot at which a trip keeps all limits; -1: none.
func (p *planner) firstFit(t batch) int {
	n := int(math.Ceil(t.durationMs / slotMs))
	for at := 0; at+n < maxSlots; {
		next := at
		p.eachUse(t, at, func(l *limit, much float64, from, until int) {
			if much <= 0 {
				return
			}
			for i := until - 1; i >= from && next <= at; i-- { // the last that has no room: the trip must begin after it
				if l.used[i]+much > l.capacity*(1+1e-9) {
					next = i + 1
					if until == maxSlots && i == maxSlots-1 {
						next = maxSlots
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

func (p *planner) reserve(t batch, at int) {
	p.eachUse(t, at, func(l *limit, much float64, from, until int) {
		for i := from; i < min(until, maxSlots); i++ {
			l.used[i] += much
		}
	})
}

// addMigrations writes the moves of a trip.
func (p *planner) addMigrations(t batch, at int, s *Schedule) {
	for _, w := range t.requests {
		m := migration.Migration{Tenant: w.Tenant, Site: p.constraints.Site, From: w.From, To: w.To, Start: p.constraints.Start + float64(at)*slotMs, MinShift: t.durationMs, Settle: p.constraints.Settle, HotObjects: w.HotObjects}
		if len(w.HotObjects) > 0 {
			m.WarmUp = p.constraints.WarmUp
			m.MinShift = max(t.durationMs-m.WarmUp, migration.ShortestShiftMs)
		}
		m.MaxShift = p.constraints.MaxShiftFactor * m.MinShift
		s.Migrations = append(s.Migrations, m)
		s.End = max(s.End, m.Start+m.WarmUp+m.MinShift)
	}
}

// unscheduledReason tells what keeps a trip from ever finding room.
func (p *planner) unscheduledReason(t batch) string {
	reason := "no time within four hours"
	p.eachUse(t, 0, func(l *limit, much float64, _, until int) {
		switch {
		case much > l.capacity:
			reason = fmt.Sprintf("%s: %.0f KB/s needed, %.0f in all", l.name, much, l.capacity)
		case until == maxSlots && much > 0 && l.used[maxSlots-1]+much > l.capacity:
			reason = fmt.Sprintf("%s: %.0f KB/s needed, %.0f left once all others have moved", l.name, much, l.capacity-l.used[maxSlots-1])
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

// joinCycles joins trips whose cells lie on a circle into one, and leaves the others.
func (p *planner) joinCycles(trips []batch) []batch {
	g, names := cellGraph(func(each func(from, to string)) {
		for _, t := range trips {
			each(t.requests[0].From, t.requests[0].To)
		}
	})
	in := map[string]int{}
	for i, part := range topo.TarjanSCC(g) {
		for _, n := range part {
			in[names[n.ID()]] = i
		}
	}
	joined := map[int][]Request{}
	var out []batch
	for _, t := range trips {
		w := t.requests[0]
		if in[w.From] == in[w.To] {
			joined[in[w.From]] = append(joined[in[w.From]], w)
		} else {
			out = append(out, t)
		}
	}
	for _, i := range sortedKeys(joined) {
		out = append(out, p.newBatch(joined[i]))
	}
	return out
}

// Cycles lists cells whose moves wait for each other's room, each circle from its least cell on: A to B, B to C, C to A.
func Cycles(d *migration.Document) [][]string {
	g, names := cellGraph(func(each func(from, to string)) {
		for _, m := range d.Migrations {
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
