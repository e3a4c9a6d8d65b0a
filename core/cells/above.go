package cells

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"

	"spantack/core/hierarchy"
	"spantack/core/moves"
	"spantack/rules"
)

// Sets of area caches are numbered far from those of caches, one for each area of the shape in the document's order.
const firstAreaSet = 1 << 20

// nobody is the number of a set that is never named: fills go to the head office.
const nobody = -1

// planEvery is how often, in microseconds, a plan is made anew while an area is cold; else that is done when the list of servers changes.
const planEvery = 500_000

// above is how this router's fills go to areas.
type above struct {
	graph  *hierarchy.Graph // nil: as rules has it, to all alike
	route  hierarchy.Route
	names  [][]string // of each area's servers that rules knows
	due    int64      // when to plan anew, in any case; 0: at the next event
	said   string
	broken error // why there is no plan

	areaOf map[string]int // of each server that the list has
	asked  map[string]int // area that a call's attempt under way names for its fill
	seen   []areaSeen
	wanted *Planning // to be worked out elsewhere; nil: nothing is due
}

// fewAreas are planned for at once, well under a millisecond; more only where nobody else plans. A plan for 40 takes 170 ms.
const fewAreas = 8

// Planning is a plan to be worked out, away from requests: Work takes long, reads nothing of the module, and may run beside it.
type Planning struct {
	graph *hierarchy.Graph
	state map[string]hierarchy.Now
	share *hierarchy.Share
	err   error
}

// Work works the plan out.
func (p *Planning) Work() { p.share, p.err = p.graph.Plan(p.state) }

// Wanted hands a plan that is due to whoever works it out, once; nil where none is.
func (m *Module) Wanted() *Planning {
	p := m.up.wanted
	m.up.wanted = nil
	return p
}

// Planned puts a plan in force that was worked out, unless the shape is another one since. What it reckoned with may be older than the list of
// servers: then the next plan is due already.
func (m *Module) Planned(p *Planning) {
	if p.graph == m.up.graph {
		m.follow(p.share, p.err)
	}
}

// areaSeen is what fills tell of an area before the list of servers does.
type areaSeen struct {
	fails int   // one after the other, none good between
	trial int64 // not 0: it is taken to be lost, and this is when one fill is next sent there
}

// An area is taken to be lost after so many failed fills for each of its servers, one after the other and none good between: about when rules
// has opened the breakers of all, and not when one of several has gone. While it is, one fill of a router goes there
// in trialEvery to twice that, in microseconds, drawn anew each time, so that trials of routers do not come together.
const (
	lostAfter  = 3
	trialEvery = 1_000_000
)

// Shape puts a shape of the hierarchy in force, or with nil none. It applies with and without an assignment to cells.
func (m *Module) Shape(now int64, g *hierarchy.Graph) {
	if g != nil && m.up.graph != nil && reflect.DeepEqual(g.Shape(), m.up.graph.Shape()) {
		return // what fills have told of its areas stays
	}
	for i := range m.up.names {
		m.rules.Step(now, []rules.Event{{Kind: rules.EventSubset, Subset: firstAreaSet + i}})
	}
	m.up = above{graph: g}
	if g != nil {
		n := len(g.Shape().Areas)
		m.up.asked, m.up.seen, m.up.names = map[string]int{}, make([]areaSeen, n), make([][]string, n)
	}
	m.plan(now)
}

// ShapeVersion is that of the shape in force, 0 without one.
func (m *Module) ShapeVersion() int64 {
	if m.up.graph == nil {
		return 0
	}
	return m.up.graph.Shape().Version
}

// plan shares the depots' fills out by the list of servers as it is. All routers that have the same list and shape come to the same plan.
func (m *Module) plan(now int64) {
	u := &m.up
	if u.graph == nil || u.due > now {
		return
	}
	areas := u.graph.Shape().Areas
	place := map[string]int{}
	for i := range areas {
		place[areas[i].Name] = i
	}
	u.areaOf = map[string]int{}
	names, servers := make([][]string, len(areas)), make([][]moves.Server, len(areas))
	for _, name := range sortedRows(m.above) {
		i, known := place[u.graph.AreaOf(name)]
		if known {
			u.areaOf[name] = i
		}
		if row := m.above[name]; known && row.Status == "healthy" {
			names[i] = append(names[i], name)
			servers[i] = append(servers[i], moves.Server{Weight: max(row.Weight, 1), CameUp: row.StartedAt})
		}
	}
	_, terms := m.terms()
	state := map[string]hierarchy.Now{}
	u.due = math.MaxInt64
	for i := range areas {
		if !slices.Equal(names[i], u.names[i]) {
			m.rules.Step(now, []rules.Event{{Kind: rules.EventSubset, Subset: firstAreaSet + i, SubsetServers: names[i]}})
			u.names[i] = names[i]
		}
		kb, warm := terms.KbPerS(now, servers[i])
		if u.seen[i].trial != 0 {
			kb = 0
		}
		state[areas[i].Name] = hierarchy.Now{KbPerS: kb, Warm: warm}
		if len(servers[i]) > 0 && warm < 1 {
			u.due = now + planEvery
		}
	}
	if p := (&Planning{graph: u.graph, state: state}); m.Elsewhere && len(areas) > fewAreas {
		u.wanted = p // until it is there fills go by the plan before, or without one as without a shape
	} else {
		p.Work()
		m.follow(p.share, p.err)
	}
}

// follow puts a plan in force.
func (m *Module) follow(share *hierarchy.Share, err error) {
	u := &m.up
	if u.broken = err; err != nil { // can't be with figures from the list; fills then go as without a shape
		u.route = hierarchy.Route{}
	} else {
		u.route = share.Route(m.set.Zone)
	}
	m.sayPlan()
}

// sayPlan puts a change of the plan by a tenth or more in the log: who gets fills, and that there is no room for some.
func (m *Module) sayPlan() {
	u := &m.up
	var to []string
	for i, part := range u.route.Parts() {
		if part >= 0.05 {
			to = append(to, fmt.Sprintf("%s %.1f", u.graph.Place(i), part))
		}
	}
	text := "fills go to " + strings.Join(to, ", ")
	switch {
	case u.broken != nil:
		text = "no plan for fills: " + u.broken.Error()
	case len(to) == 0:
		text = "fills have no way by the shape, and go as without one"
	}
	if u.route.Short >= 0.05 {
		text += fmt.Sprintf("; no room for %.1f of them", u.route.Short)
	}
	if text != u.said {
		u.said = text
		m.says = append(m.says, rules.Action{Kind: rules.ActionLog, LogText: text})
	}
}

// askAbove names the area that a request's fills go to. An object always has the same one, as long as the parts stay.
func (m *Module) askAbove(now int64, ev *rules.Event) {
	if m.up.graph == nil {
		return
	}
	m.plan(now)
	for i := range m.up.seen {
		if s := &m.up.seen[i]; s.trial != 0 && now >= s.trial && len(m.up.names[i]) > 0 {
			s.trial = m.nextTrial(now)
			ev.ParentSubset = firstAreaSet + i
			return
		}
	}
	switch i := m.up.route.Pick(partHash(ev.Object, 0)); {
	case i < 0: // no room by the plan: whoever has some after all, within the limits that rules keeps
	case i < len(m.up.names):
		ev.ParentSubset = firstAreaSet + i
	default:
		ev.ParentSubset = nobody
	}
}

// AboveOf names the area caches that an object's fills are asked of first; without a shape, and where it leaves none, all that are listed.
func (m *Module) AboveOf(object string) []string {
	if m.up.graph != nil {
		if i := m.up.route.Pick(partHash(object, 0)); i >= 0 && i < len(m.up.names) {
			return m.up.names[i]
		}
	}
	return sortedRows(m.above)
}

func (m *Module) nextTrial(now int64) int64 {
	return now + trialEvery + int64(m.rng.Float64()*trialEvery)
}

// asks notes which area an attempt names for its fill.
func (m *Module) asks(acts []rules.Action) {
	if m.up.graph == nil {
		return
	}
	for i := range acts {
		if a := &acts[i]; a.Kind == rules.ActionSend {
			if area, known := m.up.areaOf[a.Source]; known {
				m.up.asked[a.RequestID] = area
			}
		}
	}
}

// filled learns from the end of an attempt, or of a request, whether its area gives fills.
func (m *Module) filled(now int64, ev *rules.Event) {
	area, known := m.up.asked[ev.RequestID]
	if !known {
		return
	}
	delete(m.up.asked, ev.RequestID)
	if ev.Kind != rules.EventOutcome || area >= len(m.up.seen) {
		return
	}
	s := &m.up.seen[area]
	switch {
	case ev.CacheStatus == noteFilled || ev.CacheStatus == noteDeep:
		if s.fails = 0; s.trial != 0 {
			s.trial, m.up.due = 0, 0
		}
	case ev.CacheStatus == noteLost:
		if s.fails++; s.trial == 0 && s.fails >= lostAfter*len(m.up.names[area]) {
			s.trial, m.up.due = m.nextTrial(now), 0
		}
	}
}
