package cells

import (
	"math/rand/v2"

	"spantack/routing"
)

// Admission wraps a routing engine. It limits each request to the caches of its tenant's cell, selects the parents for
// its fills, and rejects requests that exceed the cell's share. Three parts are enabled independently of each other, by
// SetAssignment, SetTopology and SetOriginLimit. Without any of them, events pass through to the engine unchanged. An
// Admission is not safe for concurrent use.
type Admission struct {
	// Stats counts decisions since the start. It is read-only for callers.
	Stats Stats
	Options
	*shared

	// Used only with an assignment.
	state        assignmentState
	budget       budget
	openRequests map[string]openRequest // admitted requests that have not ended, by request ID
	heavyObjects *HeavyHitters          // objects with the most KB requested recently
	migrations   migrations
	rollout      rolloutGate

	// Used with and without an assignment.
	parents parentSelection
	origin  originGate
}

// Options may be set by the owner of an Admission before the first call or between calls.
type Options struct {
	// DocumentClockOffset, in microseconds, is added to the time of an event to get the time on the clock that
	// documents (migrations, rollouts) use.
	DocumentClockOffset int64
	// PlansInBackground is set if the owner polls TakePlanJob, runs each job outside of request processing and passes
	// the job to ApplyPlanJob. If it is not set, plans are computed inline, while an event waits. Plans for at most
	// maxGroupsPlannedInline parent groups are always computed inline.
	PlansInBackground bool
}

// shared is the state that all parts of an Admission use.
type shared struct {
	engine     *routing.Engine
	settings   routing.Settings
	classes    map[string]requestClass // by name
	endpoints  endpointList
	options    *Options
	stats      *Stats
	rng        *rand.Rand
	logActions []routing.Action // returned by the next Step or Tick
}

// requestClass holds the settings of a request class that admission needs.
type requestClass struct {
	index          int // of the class in the settings
	priorityWeight float64
	isUncacheable  bool
}

const (
	maxHeavyObjects = 256  // objects tracked; they include every object with more than 1/256 of all KB
	objectHalfLife  = 60e6 // half-life of the KB counted for an object, microseconds
)

// NewAdmission returns an Admission without assignment, topology or origin limit. The seed is used for the random
// numbers of both the Admission and its engine.
func NewAdmission(settings routing.Settings, seed int64) (*Admission, error) {
	engine, err := routing.NewEngine(settings, seed)
	if err != nil {
		return nil, err
	}
	a := &Admission{
		openRequests: map[string]openRequest{},
		heavyObjects: NewHeavyHitters(maxHeavyObjects, objectHalfLife),
	}
	a.shared = &shared{
		engine:    engine,
		settings:  settings,
		endpoints: newEndpointList(),
		options:   &a.Options,
		stats:     &a.Stats,
		rng:       rand.New(rand.NewPCG(uint64(seed), 1)),
	}
	a.indexClasses()
	a.state = assignmentState{shared: a.shared, overflowCell: noCell}
	a.migrations = migrations{shared: a.shared, state: &a.state, budget: &a.budget}
	a.rollout = rolloutGate{shared: a.shared, state: &a.state}
	a.parents = parentSelection{shared: a.shared}
	a.origin = originGate{shared: a.shared}
	return a, nil
}

// UpdateSettings replaces the settings, as routing.Engine.UpdateSettings does. Each open request is then counted in the
// class that has the same name in the new settings. If the new settings lack this class, the request is counted in
// their first class.
func (a *Admission) UpdateSettings(now int64, settings routing.Settings) error {
	if err := a.engine.UpdateSettings(settings); err != nil {
		return err
	}
	old := a.settings
	settings.Zone, settings.Zones, settings.Kinds = old.Zone, old.Zones, old.Kinds
	settings.Hierarchy.OriginKind = old.Hierarchy.OriginKind
	settings.Hierarchy.ParentKind = old.Hierarchy.ParentKind
	a.settings = settings
	a.indexClasses()
	for id, request := range a.openRequests {
		request.class = int16(a.classes[old.Classes[request.class].Name].index)
		a.openRequests[id] = request
	}
	if a.state.assignment != nil {
		a.SetAssignment(now, a.state.assignment)
	}
	return nil
}

func (s *shared) indexClasses() {
	uncacheable := s.settings.Hierarchy.Uncacheable
	s.classes = make(map[string]requestClass, len(s.settings.Classes))
	for i, class := range s.settings.Classes {
		s.classes[class.Name] = requestClass{
			index:          i,
			priorityWeight: class.PriorityWeight,
			isUncacheable:  i < len(uncacheable) && uncacheable[i],
		}
	}
}

// documentMillis converts a time to the clock of documents, in milliseconds.
func (s *shared) documentMillis(now int64) float64 {
	return float64(now+s.options.DocumentClockOffset) / 1000
}

// log adds a line to the log actions that the next Step or Tick returns.
func (s *shared) log(text string) {
	s.logActions = append(s.logActions, routing.Action{Kind: routing.ActionLog, LogText: text})
}

// LearnedState returns the learned state of the engine. It does not include the Admission's own estimates for tenants.
func (a *Admission) LearnedState(now int64) routing.LearnedState { return a.engine.LearnedState(now) }

// RestoreLearnedState restores the learned state of the engine of another process of the same router.
func (a *Admission) RestoreLearnedState(now int64, state routing.LearnedState) error {
	return a.engine.RestoreLearnedState(now, state)
}

// EjectedCaches returns those listed caches of this site that the engine's circuit breakers have ejected.
func (a *Admission) EjectedCaches(now int64) []string { return a.engine.EjectedCaches(now) }

// Parents returns all listed parents, and those among them that the engine's circuit breakers have ejected.
func (a *Admission) Parents(now int64) (all, ejected []string) { return a.engine.Parents(now) }

// ConfirmedOriginFills returns the number of fills in flight that are known to reach the origin.
func (a *Admission) ConfirmedOriginFills() int { return a.engine.ConfirmedOriginFills() }

// Step handles events that happen at the same time and returns the resulting actions, in order.
func (a *Admission) Step(now int64, events []routing.Event) []routing.Action {
	if a.isPassThrough() {
		for i := range events {
			if events[i].Kind == routing.EventEndpoints {
				a.updateEndpoints(&events[i])
			}
		}
		return a.engine.Step(now, events)
	}
	var actions []routing.Action
	for i := range events {
		actions = a.stepOne(now, events[i:i+1], actions)
	}
	if len(a.logActions) > 0 {
		actions = append(actions, a.takeLogActions()...)
	}
	return actions
}

// isPassThrough reports whether all parts are disabled. Events then go to the engine unchanged.
func (a *Admission) isPassThrough() bool {
	return a.state.spec == nil && a.parents.graph == nil && a.origin.limiter == nil
}

// stepOne handles one event and appends the resulting actions. The event is passed as a slice of length 1 to avoid an
// allocation.
func (a *Admission) stepOne(now int64, events []routing.Event, actions []routing.Action) []routing.Action {
	event := &events[0]
	switch event.Kind {
	case routing.EventRequest:
		a.parents.selectGroup(now, event)
		if a.state.spec == nil {
			break
		}
		if reason := a.admit(now, event); reason != ReasonNone {
			a.Stats.Rejected[reason]++
			return append(actions, a.rejection(event))
		}
	case routing.EventOutcome:
		a.parents.observeFill(now, event)
		a.origin.observeAttempt(now, event)
		a.observeOutcome(now, event)
	case routing.EventAborted:
		a.parents.observeFill(now, event)
		a.origin.observeAttempt(now, event)
		a.closeRequest(event.RequestID)
	case routing.EventEndpoints:
		a.updateEndpoints(event)
	}
	decisions := a.engine.Step(now, events)
	a.observeDecisions(now, decisions)
	a.parents.recordAttempts(decisions)
	a.origin.recordAttempts(decisions)
	a.origin.sendIfChanged(now)
	if event.Kind == routing.EventEndpoints {
		if a.state.spec != nil {
			a.state.assignCaches(now)
		}
		a.parents.replan(now)
	}
	if actions == nil {
		return decisions
	}
	return append(actions, decisions...)
}

// Tick advances migrations and the rollout, and computes the fill plan if one is due. Requests cause the same updates,
// so Tick is only needed at times without requests. It returns pending log actions.
func (a *Admission) Tick(now int64) []routing.Action {
	a.parents.planIfDue(now)
	if a.state.spec != nil {
		a.migrations.advance(now)
		a.rollout.advance(now)
	}
	return a.takeLogActions()
}

func (s *shared) takeLogActions() []routing.Action {
	actions := s.logActions
	s.logActions = nil
	return actions
}

func (a *Admission) updateEndpoints(event *routing.Event) {
	if a.applyEndpoints(event) {
		a.migrations.forceNextAdvance()
	}
}
