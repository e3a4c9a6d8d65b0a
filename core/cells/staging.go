package cells

import (
	"fmt"
	"slices"

	"spantack/core/rollout"
	"spantack/routing"
)

// Notes of an attempt that tell of its fill.
const (
	noteFilledBySource = 2  // from the source
	noteFilledByOrigin = 3  // through it from the head office
	noteFillFailed     = 6  // this and greater ones: the fill failed
	noteSourceFailed   = 7  // its source is not there, or failed
	noteOriginFailed   = 10 // the head office failed behind it
)

// CheckRollout holds a stage against an assignment: its rings must name cells, and leave one without the release to compare with.
func (a *Assignment) CheckRollout(s *rollout.Rollout) error {
	if s == nil {
		return nil
	}
	if err := s.Validate(); err != nil {
		return fmt.Errorf("stage.%w", err)
	}
	for i, r := range s.Rings {
		for _, c := range r.Cells {
			if _, is := a.cellByName[c]; !is {
				return fieldError(fmt.Sprintf("stage.rings[%d].cells", i), "%q is no cell", c)
			}
		}
	}
	if len(a.spec.Cells) < 2 || len(s.Rings[0].Cells) == len(a.spec.Cells) {
		return fieldError("stage.rings[0].cells", "every cell: none is left to compare with")
	}
	return nil
}

// SetRollout puts a release on its way, or with nil ends that: its objects are then like any others. It must fit the assignment in force.
// Another version of the same stage goes on from where this router is.
func (m *Admission) SetRollout(now int64, s *rollout.Rollout) error {
	if s == nil || m.spec == nil {
		m.rollout = nil
		return nil
	}
	if m.rollout != nil && m.rollout.Continue(s) {
		return nil
	}
	p, err := rollout.NewProgress(s, m.documentMillis(now))
	if err != nil {
		return err
	}
	m.rollout = p
	return nil
}

// tickRollout lets the stage's time pass, and says in the log what changed.
func (m *Admission) tickRollout(now int64) {
	if m.rollout == nil {
		return
	}
	s := m.rollout.Rollout()
	for _, i := range m.rollout.Step(m.documentMillis(now)) {
		state, why := m.rollout.State(i)
		text := fmt.Sprintf("release %s, ring %d (%v): %s", s.Name, i, s.Rings[i].Cells, state)
		if m.rollout.HarmObserved(i) {
			text += ", by " + why.String()
		}
		m.logActions = append(m.logActions, routing.Action{Kind: routing.ActionLog, LogText: text})
	}
}

// Tick lets the time of moves, of a release and of plans pass also while no request comes, and returns what is to be logged.
func (m *Admission) Tick(now int64) []routing.Action {
	m.planFills(now)
	if m.spec != nil {
		m.measureCapacity(now)
		m.tickRollout(now)
	}
	says := m.logActions
	m.logActions = nil
	return says
}

// applyRolloutGate sets how old an answer to a request for the release may be in a cell, and reports whether there may be one.
func (m *Admission) applyRolloutGate(cell string, ev *routing.Event) bool {
	lets := m.rollout.Gate(cell)
	if lets.MadeSince > 0 {
		ev.MinVersionTime = int64(lets.MadeSince*1000) - m.DocumentClockOffset
	}
	ev.MaxAge = int64(lets.MaxAge * 1000)
	return !lets.Rejected
}

// observeForRollout books the end of an attempt for the stage that runs.
func (m *Admission) observeForRollout(now int64, o *openRequest, ev *routing.Event) {
	if m.rollout == nil {
		return
	}
	switch {
	case ev.CacheStatus == noteFilledBySource || ev.CacheStatus == noteFilledByOrigin:
		m.countForRollout(o, rollout.FillErrors, 0)
	case ev.CacheStatus >= noteFillFailed:
		m.countForRollout(o, rollout.FillErrors, 1)
	}
	if ev.Outcome != routing.OutcomeServed || !ev.IsFinal {
		return
	}
	late := 0.0
	if float64(now-o.admittedAt) > m.latencyObjective(o) {
		late = 1
	}
	m.countForRollout(o, rollout.LateAnswers, late)
	m.countForRollout(o, rollout.Failures, 0)
}

// countForRollout counts an event at its cell. Where a cell has the release, failures and fill errors are those of the release alone: among all
// others they would be found late; of a release that renews objects they are so already before a ring opens, to compare with. Late answers are those of the whole cell, since new objects are filled first and come later by themselves, and
// a release that harms what else its cell serves must show too.
func (m *Admission) countForRollout(o *openRequest, measure rollout.Metric, bad float64) {
	cell := m.cells[o.cell].name
	if measure != rollout.LateAnswers && !o.isRelease && m.rollout.CountsReleaseOnly(cell) {
		return
	}
	m.rollout.Count(cell, measure, 1, bad)
}

// RolloutStatus is the stage as this router has it.
type RolloutStatus struct {
	Name    string       `json:"name"`
	Version int64        `json:"version"`
	Rings   []RingStatus `json:"rings"`
}

// RingStatus is one ring of it. Evidence is by measure (late answers, failures, fill errors), the log of a bet against the release; that of
// routers may be summed.
type RingStatus struct {
	Cells       []string  `json:"cells"`
	State       string    `json:"state"`
	HarmMeasure string    `json:"by,omitempty"` // the measure in which harm was seen here
	Evidence    []float64 `json:"evidence"`
}

// RolloutStatus tells how far the stage is; nil without one.
func (m *Admission) RolloutStatus() *RolloutStatus {
	if m.rollout == nil {
		return nil
	}
	s := m.rollout.Rollout()
	now := &RolloutStatus{Name: s.Name, Version: s.Version}
	for i, r := range s.Rings {
		state, why := m.rollout.State(i)
		ring := RingStatus{Cells: slices.Clone(r.Cells), State: state.String(), Evidence: m.rollout.Evidence(i)}
		if m.rollout.HarmObserved(i) {
			ring.HarmMeasure = why.String()
		}
		now.Rings = append(now.Rings, ring)
	}
	return now
}
