package cells

import (
	"fmt"
	"math"
	"slices"

	"spantack/core/moves"
	"spantack/core/stages"
	"spantack/rules"
)

// moving is one tenant's way from cell to cell in this depot, as this router goes it.
type moving struct {
	move     *moves.Move
	from, to int // places of the cells in the assignment in force
	pace     moves.Pace
}

// way is how one request of a tenant on the move goes.
type way struct {
	move *moving // nil: its tenant stays where it is
	into bool    // it goes to the cell that objects go to at present: the new one, or the old one on the way back
	cold bool    // its part has not been asked for there lately
	why  Reason  // it goes nowhere
}

// roomEvery is how often, in microseconds, what cells bear is measured anew.
const roomEvery = 250_000

// Fits holds a document of moves against an assignment: tenants and cells must be known, and a tenant's cell be one of its move's two.
func (a *Assignment) Fits(doc *moves.Document) error {
	if doc == nil {
		return nil
	}
	for i := range doc.Moves {
		mv := &doc.Moves[i]
		at := fmt.Sprintf("moves.moves[%d]", i)
		who, known := a.byName[mv.Tenant]
		if !known {
			return fault(at+".tenant", "%q is no tenant", mv.Tenant)
		}
		if _, is := a.places[mv.From]; !is {
			return fault(at+".from", "%q is no cell", mv.From)
		}
		if _, is := a.places[mv.To]; !is {
			return fault(at+".to", "%q is no cell", mv.To)
		}
		if a.spec.Scheme != Fixed && a.spec.Scheme != Overflow {
			return fault(at, "tenants move with schemes fixed and overflow, not %s", a.spec.Scheme)
		}
		depots := []string{mv.Depot}
		if mv.Depot == moves.AllDepots {
			depots = []string{""}
			for depot := range a.spec.Tenants[who].Depots {
				depots = append(depots, depot)
			}
			slices.Sort(depots)
		}
		for _, depot := range depots {
			if home := a.spec.Cells[a.cellOf(int(who), depot)].Name; home != mv.From && home != mv.To {
				return fault(at+".from", "%s is in cell %s in depot %q, neither %s nor %s", mv.Tenant, home, depot, mv.From, mv.To)
			}
		}
	}
	return nil
}

// Move puts a document of moves in force, or with nil none. It must fit the assignment in force. A move that goes on keeps its pace; a
// tenant whose move is over or left out is in the cell that the assignment names, or for a move that is over the one it led to.
func (m *Module) Move(now int64, doc *moves.Document) {
	if m.spec == nil {
		return
	}
	m.doc = doc
	m.bind(now)
}

// Moves is the version of the document in force; 0: none.
func (m *Module) Moves() int64 {
	if m.doc == nil {
		return 0
	}
	return m.doc.Version
}

// bind sets the ways of this depot's moves by document and assignment.
func (m *Module) bind(now int64) {
	type path struct{ tenant, from, to string }
	before := map[path]*moving{}
	for _, p := range m.paths {
		before[path{p.move.Tenant, p.move.From, p.move.To}] = p
	}
	m.paths = nil
	for i := range m.tenants {
		m.tenants[i].move = nil
	}
	if m.doc == nil {
		return
	}
	for i := range m.doc.Moves {
		mv := &m.doc.Moves[i]
		if mv.Depot != m.set.Zone && mv.Depot != moves.AllDepots {
			continue
		}
		who, known := m.assigned.byName[mv.Tenant]
		from, is := m.assigned.places[mv.From]
		to, also := m.assigned.places[mv.To]
		if !known || !is || !also {
			continue // the assignment has changed under the document: the tenant is where that says
		}
		p := &moving{move: mv, from: int(from), to: int(to)}
		if o := before[path{mv.Tenant, mv.From, mv.To}]; o != nil {
			p.pace = o.pace
		}
		m.tenants[who].move = p
		m.paths = append(m.paths, p)
	}
	m.lookedAt = 0
	m.look(now)
}

// millis is the document's time.
func (m *Module) millis(now int64) float64 { return float64(now+m.Ahead) / 1000 }

// look steps the paces, and measures what cells bear.
func (m *Module) look(now int64) {
	if len(m.paths) == 0 || now-m.lookedAt < roomEvery && m.lookedAt != 0 {
		return
	}
	m.lookedAt = now
	caches, above := m.terms()
	m.behind = m.behind[:0]
	for _, name := range sortedRows(m.above) {
		if row := m.above[name]; row.Status == "healthy" {
			m.behind = append(m.behind, moves.Server{Weight: row.Weight, CameUp: row.StartedAt})
		}
	}
	_, warm := above.KbPerS(now, m.behind)
	if len(m.above) == 0 {
		warm = 1 // fills come straight from the head office
	}
	routers := float64(m.routers())
	var servers []moves.Server
	for i := range m.cells {
		c := &m.cells[i]
		servers = servers[:0]
		whole := 0.0 // what all listed ones would bear warm
		for _, name := range c.names {
			row := m.list[name]
			weight := max(row.Weight, 1)
			whole += weight * caches.PaceKbPerS
			if row.Status == "healthy" {
				servers = append(servers, moves.Server{Weight: weight, CameUp: row.StartedAt})
			}
		}
		kb, _ := caches.KbPerS(now, servers)
		fills := math.Inf(1)
		for _, of := range [...]struct {
			t    *tree
			warm float64
		}{{m.fills, 1}, {m.parents, warm}} {
			if of.t.rate > 0 {
				fills = min(fills, of.t.rate*1e6*c.share*of.warm)
			}
		}
		c.room.Bears(now, kb/routers, fills)
		if c.warm = 0; whole > 0 {
			c.warm = kb / whole
		}
	}
	for _, p := range m.paths {
		p.pace.Bears(min(m.cells[p.from].warm, m.cells[p.to].warm))
		share := p.pace.Step(m.millis(now), p.move)
		cell := p.from
		if share >= 0.5 {
			cell = p.to
		}
		m.tenants[m.assigned.byName[p.move.Tenant]].cell = cell
	}
}

func sortedRows(rows map[string]rules.Endpoint) []string {
	names := make([]string, 0, len(rows))
	for name := range rows {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// terms are what the settings say of caches, and of area caches.
func (m *Module) terms() (caches, above moves.Terms) {
	g, x := &m.set.Guarantees, &m.set.Hierarchy
	caches = moves.Terms{PaceKbPerS: x.ResponseKBPerSecond, ColdFrom: g.InitialCapacity, Cold: g.WarmUpTime, Fall: g.OverloadWindow}
	above = moves.Terms{PaceKbPerS: x.ResponseKBPerSecond, ColdFrom: x.ParentInitialCapacity, Cold: x.ParentWarmUpTime, Fall: g.OverloadWindow}
	return caches, above
}

// route decides which of its two cells a request of a tenant on the move goes to. The one rule, also while caches are replaced or lost:
// the cell that the move gives its object; if that is the cell objects go to, and it has no live cache or no room, the other one, which
// still knows the object; if the other one has no live cache either, or is the one that went, the cell objects go to, as far as
// it bears; else it is refused.
func (m *Module) route(now int64, p *moving, ev *rules.Event, kb float64) (int, way) {
	ms, mv := m.millis(now), p.move
	if !mv.Pending(ms) {
		p.note(m, now, ev)
		if mv.Phase(ms) == moves.Done {
			return p.to, way{}
		}
		return p.from, way{}
	}
	into, other := p.to, p.from
	over := mv.Place(ev.Object) < p.pace.Share()
	if mv.GoesBack(ms) {
		into, other, over = p.from, p.to, !over
	}
	w := way{move: p, into: over}
	here, there := m.cells[into].live, m.cells[other].live
	if !over && (there || !here) {
		p.note(m, now, ev)
		return other, w
	}
	if !here { // the cell that objects go to has gone: the other one is the way back, or the cell's own neighbour is asked
		w.into = false
		if there {
			return other, w
		}
		return into, w
	}
	known := m.seen.hashNow(now, cellHash(ev, into)) >= seenAtLeast
	w.cold = !known
	fill := 0.0
	if w.cold {
		fill = kb
	}
	room := mv.Unbounded || m.cells[into].room.Take(now, kb, fill)
	if over {
		p.pace.Offered(ms, room)
	}
	switch {
	case room:
		w.into = true
		return into, w
	case there:
		w.into, w.cold = false, false
		m.Stats.Kept++
		return other, w
	}
	w.why = Moving
	return into, w
}

// note books that a part was asked for in the cell where its tenant still lives.
func (p *moving) note(m *Module, now int64, ev *rules.Event) {
	cell := p.from
	if p.move.GoesBack(m.millis(now)) {
		cell = p.to
	}
	m.seen.addHash(now, cellHash(ev, cell), 1)
}

// cellHash is the key of a part in a cell.
func cellHash(ev *rules.Event, cell int) uint64 {
	return partHash(ev.Object, ev.Chunk) + uint64(cell+1)*0xd1342543de82ef95
}

// reckon is what a request takes from above where it goes.
func (w *way) reckon(fill, deep, kb float64) (float64, float64) {
	if w.cold && w.into {
		return kb, deep // area caches know it: the old cell had it from there
	}
	return fill, deep
}

// admitMover books a request that goes to the cell that objects go to: only now is it sure to come there, and its part to be known there.
// Rules may send it to the other cell of its move where that one has no room. That never leads into the cell that objects go to, past what
// that one bears.
func (m *Module) admitMover(now int64, w *way, cell int, ev *rules.Event) {
	p := w.move
	m.seen.addHash(now, cellHash(ev, cell), 1)
	m.Stats.Moved++
	back := p.from
	if ev.Subset == p.from+1 {
		back = p.to
	}
	if ev.OverflowSubset == 0 && m.cells[back].live {
		ev.OverflowSubset = back + 1
	}
}

// saw tells a move's pace how an attempt of its tenant ended.
func (m *Module) saw(now int64, o *open, ev *rules.Event) {
	m.judged(now, o, ev)
	if ev.Outcome != rules.OutcomeServed || len(m.paths) == 0 {
		return // whether it was served in time shows at its end
	}
	if pace := m.set.Hierarchy.ResponseKBPerSecond; (ev.CacheStatus == 2 || ev.CacheStatus == 3) && pace > 0 && o.kb > 0 {
		m.cells[o.cell].room.Learn(float64(ev.UpstreamWait) / (o.kb / pace * 1e6))
	}
	if o.way.move == nil {
		return
	}
	o.way.move.pace.Saw(m.millis(now), o.way.into, float64(now-o.since) > m.aims(o))
}

// aims is how long an answer may take in full worth, in microseconds.
func (m *Module) aims(o *open) float64 {
	c := &m.set.Classes[o.class]
	if m.set.Hierarchy.ResponseKBPerSecond <= 0 {
		return float64(c.LatencyObjective)
	}
	return float64(c.LatencyObjective) + c.ObjectiveSizeFactor*o.kb/m.set.Hierarchy.ResponseKBPerSecond*1e6
}

// unserved tells a move's pace, and the stage that runs, of a request that rules refused or failed.
func (m *Module) unserved(now int64, o *open, failed bool) {
	if m.stage != nil {
		bad := 0.0
		if failed {
			bad = 1
		}
		m.tally(o, stages.Failed, bad)
		m.tally(o, stages.Late, 1)
	}
	if o.way.move != nil {
		o.way.move.pace.Saw(m.millis(now), o.way.into, true)
	}
}

// MoveNow is one move as this router goes it.
type MoveNow struct {
	Tenant string  `json:"tenant"`
	From   string  `json:"from"`
	To     string  `json:"to"`
	Phase  string  `json:"phase"`
	Share  float64 `json:"share"` // of the tenant's objects that go to the new cell from here
	Least  float64 `json:"least"` // the document's bounds of it
	Most   float64 `json:"most"`
}

// Paths tells how far the moves of this depot are.
func (m *Module) Paths(now int64) []MoveNow {
	ms := m.millis(now)
	var all []MoveNow
	for _, p := range m.paths {
		all = append(all, MoveNow{p.move.Tenant, p.move.From, p.move.To, p.move.Phase(ms).String(), p.pace.Share(), p.move.Floor(ms), p.move.Share(ms)})
	}
	return all
}
