package cells

import (
	"math/rand/v2"

	"spantack/core/migration"
	"spantack/core/rollout"
	"spantack/routing"
)

// What the gate starts from and moves by.
const (
	defaultRequestKB       = 100.0 // KB of a request whose front does not tell its size
	defaultReclaimMillis   = 250.0 // ms, where the budget names none
	overloadRejectFraction = 0.05  // share of requests refused by rules past which a cell is crowded
	minRetryAfterFraction  = 0.25  // least time to stay away of a request over budget, in parts of the longest
	activeCountInterval    = 500_000
	recentSketchWidth      = 1 << 16 // counters in a row of the sketch of parts asked for
	recentSketchDepth      = 3
	recentHalfLife         = 20e6      // microseconds
	recentThreshold        = 0.2       // faded requests for a part that count as lately: one within 46 s
	maxHeavyObjects        = 256       // objects kept count of: each with more than 1/256 of all KB is among them
	objectHalfLife         = 60e6      // microseconds
	activeWithin           = 2_000_000 // microseconds since its last request in which a tenant counts as one of its cell
	maxOpenFraction        = 0.9       // part of the requests open at once that cells may fill; the rest is for quiet tenants
)

// tenant is one customer at this router.
type tenant struct {
	name          string
	weight        float64
	cell          int
	usage         decayingSum // in parts of what the depot can do in a second
	missRatio     missRatio   // what its requests take from above
	demand        demandRate
	migration     *migrationProgress // nil: it stays where it is
	subsetVersion int                // list of servers for which its own caches were drawn
	active        bool
}

// cell is one cell in this router's depot.
type cell struct {
	name         string
	fallback     int // -1: none
	share        float64
	hasLiveCache bool
	caches       []string
	fairShare    fairShare
	openRequests int
	missRatio    missRatio // of all its tenants
	// What rules refused of late, against what came.
	arrivals, rejections decayingSum
	capacity             migration.CapacityLimiter // for tenants that move into it
	warmFraction         float64                   // part of what its listed caches would bear warm that they bear
}

// observeRejection is told that rules refused a request. A few of those tell nothing; many tell that the cell is full.
func (c *cell) observeRejection(now int64) {
	if c.rejections.add(now, 1) > overloadRejectFraction*c.arrivals.valueAt(now) {
		c.fairShare.observeRejection(now)
	}
}

// openRequest is a request that the gate let in. Its fields lie close, since there is one for each request under way.
type openRequest struct {
	sizeKB, fillKB, originKB float64 // KB; reckoned over the link; and of the head office
	admittedAt               int64
	route                    migrationRoute // of a tenant that moves
	tenant, cell             int32
	class                    int16 // while somebody moves or a release is on its way
	recent                   int8  // 1: its part was asked for lately
	isUncacheable            bool
	isRelease                bool // it is for the stage's release
}

// Stats count since the start.
type Stats struct {
	Admitted int64              `json:"Admitted"`
	FellBack int64              `json:"Spilled"`
	Rejected [reasonCount]int64 `json:"Refused"`
	Migrated int64              `json:"Moved"` // requests of tenants on the move sent to the cell they move into
	Deferred int64              `json:"Kept"`  // kept from it for want of room there
}

// Admission is the decision module behind its gate: rules.Engine with each request confined to its tenant's cell. Without
// a specification it is rules.Engine and nothing else. It is not safe for concurrent use.
type Admission struct {
	Stats Stats
	// Ahead, in microseconds, is how far the clock by which documents of moves are read is ahead of the times of events.
	DocumentClockOffset int64
	// PlansInBackground says that somebody asks for plans that are Wanted and hands them back Planned. Without that they are worked out while
	// an event waits.
	PlansInBackground bool

	engine             *routing.Engine
	settings           routing.Settings
	rng                *rand.Rand
	assignment         *Assignment
	spec               *Spec // of the assignment
	tenants            []tenant
	cells              []cell
	overflowCell       int // -1: none
	edgeCaches         map[string]routing.Endpoint
	endpointsVersion   int
	caches             []string // listed ones of the own depot
	scopeEvents        []routing.Event
	uncacheable        map[string]bool
	classIndex         map[string]int     // places in the settings
	priorityWeight     map[string]float64 // worth of a timely answer, by class
	heavyObjects       *HeavyHitters      // by KB asked for
	recentParts        *CountMinSketch    // requests, by part
	openRequests       map[string]openRequest
	migrationDocument  *migration.Document  // nil: nobody moves
	activeMigrations   []*migrationProgress // moves of this depot that are not over
	parentServers      map[string]routing.Endpoint
	parents            parentSelection
	healthyParents     []migration.Server // area caches listed
	capacityMeasuredAt int64              // when rooms were last measured
	rollout            *rollout.Progress
	originLimit        *originLimiter   // nil: nothing bounds what fills ask of the head office but rules
	originFillLease    float64          // of fills that ask the head office, by the fleet's limit; 0: none
	logActions         []routing.Action // for the log

	requestRate, linkRate, parentRate, originRate, uncacheableRate *sharedRate
	maxOpenRequests                                                int // requests open at once
	activeCountedAt                                                int64
}

// NewAdmission returns a module for the settings, confining nothing until Confine is called.
func NewAdmission(set routing.Settings, seed int64) (*Admission, error) {
	inner, err := routing.NewEngine(set, seed)
	if err != nil {
		return nil, err
	}
	m := &Admission{engine: inner, settings: set, rng: rand.New(rand.NewPCG(uint64(seed), 1)), edgeCaches: map[string]routing.Endpoint{}, parentServers: map[string]routing.Endpoint{},
		openRequests: map[string]openRequest{}, uncacheable: map[string]bool{}, classIndex: map[string]int{}, priorityWeight: map[string]float64{}, heavyObjects: NewHeavyHitters(maxHeavyObjects, objectHalfLife)}
	m.indexClasses(set)
	return m, nil
}

// indexClasses keeps what the gate has to know of the settings' classes.
func (m *Admission) indexClasses(set routing.Settings) {
	clear(m.priorityWeight)
	clear(m.classIndex)
	clear(m.uncacheable)
	for i, c := range set.Classes {
		m.priorityWeight[c.Name], m.classIndex[c.Name] = c.PriorityWeight, i
		m.uncacheable[c.Name] = i < len(set.Hierarchy.Uncacheable) && set.Hierarchy.Uncacheable[i]
	}
}

// UpdateSettings puts other settings in force as rules.Router.UpdateSettings does. How late an answer to an open request is told by its
// class's place among the new ones, or, where it has none, by the first one's: that is all the gate keeps of it.
func (m *Admission) UpdateSettings(now int64, set routing.Settings) error {
	if err := m.engine.UpdateSettings(set); err != nil {
		return err
	}
	set.Zone, set.Zones, set.Kinds = m.settings.Zone, m.settings.Zones, m.settings.Kinds
	set.Hierarchy.OriginKind, set.Hierarchy.ParentKind = m.settings.Hierarchy.OriginKind, m.settings.Hierarchy.ParentKind
	old := m.settings
	m.settings = set
	m.indexClasses(set)
	for call, o := range m.openRequests {
		o.class = int16(m.classIndex[old.Classes[o.class].Name])
		m.openRequests[call] = o
	}
	if m.assignment != nil {
		m.SetAssignment(now, m.assignment)
	}
	return nil
}

// LearnedState and Believe are those of the module behind the gate. What the gate itself has learnt of tenants is not handed on.
func (m *Admission) LearnedState(now int64) routing.LearnedState { return m.engine.LearnedState(now) }

// RestoreLearnedState takes over what another process of the same router believed.
func (m *Admission) RestoreLearnedState(now int64, b routing.LearnedState) error {
	return m.engine.RestoreLearnedState(now, b)
}

// EjectedCaches names the listed caches of the own depot that requests are kept off by their breakers.
func (m *Admission) EjectedCaches(now int64) []string { return m.engine.EjectedCaches(now) }

// Step takes what came in at a time and returns what to do, in order.
func (m *Admission) Step(now int64, events []routing.Event) []routing.Action {
	var acts []routing.Action
	if m.spec == nil && m.parents.graph == nil && m.originLimit == nil {
		for i := range events {
			if events[i].Kind == routing.EventEndpoints {
				m.updateEndpoints(&events[i])
			}
		}
		return m.engine.Step(now, events)
	}
	for i := range events {
		ev := &events[i]
		refused := false
		switch ev.Kind {
		case routing.EventRequest:
			m.selectParentGroup(now, ev)
			if m.spec == nil {
				break
			}
			if why := m.admit(now, ev); why != ReasonNone {
				m.Stats.Rejected[why]++
				acts, refused = append(acts, m.rejection(ev)), true
			}
		case routing.EventOutcome:
			m.observeFill(now, ev)
			m.observeOriginAttempt(now, ev)
			m.observeOutcome(now, ev)
		case routing.EventAborted:
			m.observeFill(now, ev)
			m.observeOriginAttempt(now, ev)
			m.closeRequest(ev.RequestID)
		case routing.EventEndpoints:
			m.updateEndpoints(ev)
		}
		if refused {
			continue
		}
		next := m.engine.Step(now, events[i:i+1])
		m.observeDecisions(now, next)
		m.recordFillAttempts(next)
		m.recordOriginAttempts(next)
		m.announceOriginLimit(now, false)
		if ev.Kind == routing.EventEndpoints {
			if m.spec != nil {
				m.assignCaches(now)
			}
			m.parents.planDueAt = 0
			m.planFills(now)
		}
		if acts == nil {
			acts = next
		} else {
			acts = append(acts, next...)
		}
	}
	if len(m.logActions) > 0 {
		acts, m.logActions = append(acts, m.logActions...), nil
	}
	return acts
}

// TenantOf tells whose request it is, by its place in the specification.
func (m *Admission) TenantOf(ev *routing.Event) int {
	return int(m.assignment.tenantByKey[m.assignment.keys.find(int(ev.PurgeGroup), ev.Class, ev.Object, ev.Tenant)])
}
