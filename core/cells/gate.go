package cells

import (
	"math/rand/v2"

	"spantack/core/moves"
	"spantack/core/stages"
	"spantack/rules"
)

// What the gate starts from and moves by.
const (
	sizeUnsaid     = 100.0 // KB of a request whose front does not tell its size
	giveAtFirst    = 250.0 // ms, where the budget names none
	crowdedShare   = 0.05  // share of requests refused by rules past which a cell is crowded
	waitLeast      = 0.25  // least time to stay away of a request over budget, in parts of the longest
	countEvery     = 500_000
	seenWidth      = 1 << 16 // counters in a row of the sketch of parts asked for
	seenDepth      = 3
	seenHalfLife   = 20e6      // microseconds
	seenAtLeast    = 0.2       // faded requests for a part that count as lately: one within 46 s
	heavyObjects   = 256       // objects kept count of: each with more than 1/256 of all KB is among them
	objectHalfLife = 60e6      // microseconds
	busyWithin     = 2_000_000 // microseconds since its last request in which a tenant counts as one of its cell
	mostOpenPart   = 0.9       // part of the requests open at once that cells may fill; the rest is for quiet tenants
)

// tenant is one customer at this router.
type tenant struct {
	name   string
	weight float64
	cell   int
	used   use    // in parts of what the depot can do in a second
	fills  misses // what its requests take from above
	wants  wants
	move   *moving // nil: it stays where it is
	setAt  int     // list of servers for which its own caches were drawn
	busy   bool
}

// cell is one cell in this router's depot.
type cell struct {
	name  string
	spill int // -1: none
	share float64
	live  bool
	names []string
	fair  fair
	open  int
	fills misses // of all its tenants
	// What rules refused of late, against what came.
	asked, turned use
	room          moves.Room // for tenants that move into it
	warm          float64    // part of what its listed caches would bear warm that they bear
}

// crowded is told that rules refused a request. A few of those tell nothing; many tell that the cell is full.
func (c *cell) crowded(now int64) {
	if c.turned.add(now, 1) > crowdedShare*c.asked.now(now) {
		c.fair.press(now)
	}
}

// open is a request that the gate let in. Its fields lie close, since there is one for each request under way.
type open struct {
	kb, fill, deep float64 // KB; reckoned over the link; and of the head office
	since          int64
	way            way // of a tenant that moves
	tenant, cell   int32
	class          int16 // while somebody moves or a release is on its way
	lately         int8  // 1: its part was asked for lately
	write          bool
	release        bool // it is for the stage's release
}

// Stats count since the start.
type Stats struct {
	Admitted int64          `json:"Admitted"`
	Spilled  int64          `json:"Spilled"`
	Refused  [reasons]int64 `json:"Refused"`
	Moved    int64          `json:"Moved"` // requests of tenants on the move sent to the cell they move into
	Kept     int64          `json:"Kept"`  // kept from it for want of room there
}

// Module is the decision module behind its gate: rules.Engine with each request confined to its tenant's cell. Without
// a specification it is rules.Engine and nothing else. It is not safe for concurrent use.
type Module struct {
	Stats Stats
	// Ahead, in microseconds, is how far the clock by which documents of moves are read is ahead of the times of events.
	Ahead int64
	// Elsewhere says that somebody asks for plans that are Wanted and hands them back Planned. Without that they are worked out while
	// an event waits.
	Elsewhere bool

	rules    *rules.Engine
	set      rules.Settings
	rng      *rand.Rand
	assigned *Assignment
	spec     *Spec // of the assignment
	tenants  []tenant
	cells    []cell
	spare    int // -1: none
	list     map[string]rules.Endpoint
	listed   int
	caches   []string // listed ones of the own depot
	confine  []rules.Event
	writes   map[string]bool
	classes  map[string]int     // places in the settings
	gains    map[string]float64 // worth of a timely answer, by class
	objects  *Hitters           // by KB asked for
	seen     *Counts            // requests, by part
	open     map[string]open
	doc      *moves.Document // nil: nobody moves
	paths    []*moving       // moves of this depot that are not over
	above    map[string]rules.Endpoint
	up       above
	behind   []moves.Server // area caches listed
	lookedAt int64          // when rooms were last measured
	stage    *stages.Progress
	guard    *guard         // nil: nothing bounds what fills ask of the head office but rules
	lease    float64        // of fills that ask the head office, by the fleet's limit; 0: none
	says     []rules.Action // for the log

	requests, fills, parents, origin, puts *tree
	most                                   int // requests open at once
	counted                                int64
}

// NewModule returns a module for the settings, confining nothing until Confine is called.
func NewModule(set rules.Settings, seed int64) (*Module, error) {
	inner, err := rules.NewEngine(set, seed)
	if err != nil {
		return nil, err
	}
	m := &Module{rules: inner, set: set, rng: rand.New(rand.NewPCG(uint64(seed), 1)), list: map[string]rules.Endpoint{}, above: map[string]rules.Endpoint{},
		open: map[string]open{}, writes: map[string]bool{}, classes: map[string]int{}, gains: map[string]float64{}, objects: NewHitters(heavyObjects, objectHalfLife)}
	m.learnClasses(set)
	return m, nil
}

// learnClasses keeps what the gate has to know of the settings' classes.
func (m *Module) learnClasses(set rules.Settings) {
	clear(m.gains)
	clear(m.classes)
	clear(m.writes)
	for i, c := range set.Classes {
		m.gains[c.Name], m.classes[c.Name] = c.PriorityWeight, i
		m.writes[c.Name] = i < len(set.Hierarchy.Uncacheable) && set.Hierarchy.Uncacheable[i]
	}
}

// Retune puts other settings in force as rules.Router.UpdateSettings does. How late an answer to an open request is told by its
// class's place among the new ones, or, where it has none, by the first one's: that is all the gate keeps of it.
func (m *Module) Retune(now int64, set rules.Settings) error {
	if err := m.rules.UpdateSettings(set); err != nil {
		return err
	}
	set.Zone, set.Zones, set.Kinds = m.set.Zone, m.set.Zones, m.set.Kinds
	set.Hierarchy.OriginKind, set.Hierarchy.ParentKind = m.set.Hierarchy.OriginKind, m.set.Hierarchy.ParentKind
	old := m.set
	m.set = set
	m.learnClasses(set)
	for call, o := range m.open {
		o.class = int16(m.classes[old.Classes[o.class].Name])
		m.open[call] = o
	}
	if m.assigned != nil {
		m.Confine(now, m.assigned)
	}
	return nil
}

// Beliefs and Believe are those of the module behind the gate. What the gate itself has learnt of tenants is not handed on.
func (m *Module) Beliefs(now int64) rules.LearnedState { return m.rules.LearnedState(now) }

// Believe takes over what another process of the same router believed.
func (m *Module) Believe(now int64, b rules.LearnedState) error {
	return m.rules.RestoreLearnedState(now, b)
}

// Avoided names the listed caches of the own depot that requests are kept off by their breakers.
func (m *Module) Avoided(now int64) []string { return m.rules.EjectedCaches(now) }

// Step takes what came in at a time and returns what to do, in order.
func (m *Module) Step(now int64, events []rules.Event) []rules.Action {
	var acts []rules.Action
	if m.spec == nil && m.up.graph == nil && m.guard == nil {
		for i := range events {
			if events[i].Kind == rules.EventEndpoints {
				m.note(&events[i])
			}
		}
		return m.rules.Step(now, events)
	}
	for i := range events {
		ev := &events[i]
		refused := false
		switch ev.Kind {
		case rules.EventRequest:
			m.askAbove(now, ev)
			if m.spec == nil {
				break
			}
			if why := m.admit(now, ev); why != None {
				m.Stats.Refused[why]++
				acts, refused = append(acts, m.refuse(ev)), true
			}
		case rules.EventOutcome:
			m.filled(now, ev)
			m.guarded(now, ev)
			m.outcome(now, ev)
		case rules.EventAborted:
			m.filled(now, ev)
			m.guarded(now, ev)
			m.over(ev.RequestID)
		case rules.EventEndpoints:
			m.note(ev)
		}
		if refused {
			continue
		}
		next := m.rules.Step(now, events[i:i+1])
		m.answered(now, next)
		m.asks(next)
		m.guards(next)
		m.capBehind(now, false)
		if ev.Kind == rules.EventEndpoints {
			if m.spec != nil {
				m.divide(now)
			}
			m.up.due = 0
			m.plan(now)
		}
		if acts == nil {
			acts = next
		} else {
			acts = append(acts, next...)
		}
	}
	if len(m.says) > 0 {
		acts, m.says = append(acts, m.says...), nil
	}
	return acts
}

// Tenant tells whose request it is, by its place in the specification.
func (m *Module) Tenant(ev *rules.Event) int {
	return int(m.assigned.ofKey[m.assigned.keys.find(int(ev.PurgeGroup), ev.Class, ev.Object, ev.Tenant)])
}
