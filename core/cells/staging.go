package cells

import (
	"fmt"
	"slices"

	"spantack/core/stages"
	"spantack/rules"
)

// Notes of an attempt that tell of its fill.
const (
	noteFilled = 2  // from the source
	noteDeep   = 3  // through it from the head office
	noteBad    = 6  // this and greater ones: the fill failed
	noteLost   = 7  // its source is not there, or failed
	noteRoot   = 10 // the head office failed behind it
)

// FitsStage holds a stage against an assignment: its rings must name cells, and leave one without the release to compare with.
func (a *Assignment) FitsStage(s *stages.Stage) error {
	if s == nil {
		return nil
	}
	if err := s.Check(); err != nil {
		return fmt.Errorf("stage.%w", err)
	}
	for i, r := range s.Rings {
		for _, c := range r.Cells {
			if _, is := a.places[c]; !is {
				return fault(fmt.Sprintf("stage.rings[%d].cells", i), "%q is no cell", c)
			}
		}
	}
	if len(a.spec.Cells) < 2 || len(s.Rings[0].Cells) == len(a.spec.Cells) {
		return fault("stage.rings[0].cells", "every cell: none is left to compare with")
	}
	return nil
}

// Stage puts a release on its way, or with nil ends that: its objects are then like any others. It must fit the assignment in force.
// Another version of the same stage goes on from where this router is.
func (m *Module) Stage(now int64, s *stages.Stage) error {
	if s == nil || m.spec == nil {
		m.stage = nil
		return nil
	}
	if m.stage != nil && m.stage.Continue(s) {
		return nil
	}
	p, err := stages.NewProgress(s, m.millis(now))
	if err != nil {
		return err
	}
	m.stage = p
	return nil
}

// turn lets the stage's time pass, and says in the log what changed.
func (m *Module) turn(now int64) {
	if m.stage == nil {
		return
	}
	s := m.stage.Stage()
	for _, i := range m.stage.Step(m.millis(now)) {
		state, why := m.stage.State(i)
		text := fmt.Sprintf("release %s, ring %d (%v): %s", s.Name, i, s.Rings[i].Cells, state)
		if m.stage.Harmed(i) {
			text += ", by " + why.String()
		}
		m.says = append(m.says, rules.Action{Kind: rules.ActionLog, LogText: text})
	}
}

// Turn lets the time of moves, of a release and of plans pass also while no request comes, and returns what is to be logged.
func (m *Module) Turn(now int64) []rules.Action {
	m.plan(now)
	if m.spec != nil {
		m.look(now)
		m.turn(now)
	}
	says := m.says
	m.says = nil
	return says
}

// onStage sets how old an answer to a request for the release may be in a cell, and reports whether there may be one.
func (m *Module) onStage(cell string, ev *rules.Event) bool {
	lets := m.stage.Lets(cell)
	if lets.From > 0 {
		ev.MinVersionTime = int64(lets.From*1000) - m.Ahead
	}
	ev.MaxAge = int64(lets.Age * 1000)
	return !lets.Not
}

// judged books the end of an attempt for the stage that runs.
func (m *Module) judged(now int64, o *open, ev *rules.Event) {
	if m.stage == nil {
		return
	}
	switch {
	case ev.CacheStatus == noteFilled || ev.CacheStatus == noteDeep:
		m.tally(o, stages.FillBad, 0)
	case ev.CacheStatus >= noteBad:
		m.tally(o, stages.FillBad, 1)
	}
	if ev.Outcome != rules.OutcomeServed || !ev.IsFinal {
		return
	}
	late := 0.0
	if float64(now-o.since) > m.aims(o) {
		late = 1
	}
	m.tally(o, stages.Late, late)
	m.tally(o, stages.Failed, 0)
}

// tally counts an event at its cell. Where a cell has the release, failures and fill errors are those of the release alone: among all
// others they would be found late; of a release that renews objects they are so already before a ring opens, to compare with. Late answers are those of the whole cell, since new objects are filled first and come later by themselves, and
// a release that harms what else its cell serves must show too.
func (m *Module) tally(o *open, measure stages.Measure, bad float64) {
	cell := m.cells[o.cell].name
	if measure != stages.Late && !o.release && m.stage.Apart(cell) {
		return
	}
	m.stage.Count(cell, measure, 1, bad)
}

// StageNow is the stage as this router has it.
type StageNow struct {
	Name    string    `json:"name"`
	Version int64     `json:"version"`
	Rings   []RingNow `json:"rings"`
}

// RingNow is one ring of it. Evidence is by measure (late answers, failures, fill errors), the log of a bet against the release; that of
// routers may be summed.
type RingNow struct {
	Cells    []string  `json:"cells"`
	State    string    `json:"state"`
	By       string    `json:"by,omitempty"` // the measure in which harm was seen here
	Evidence []float64 `json:"evidence"`
}

// StageNow tells how far the stage is; nil without one.
func (m *Module) StageNow() *StageNow {
	if m.stage == nil {
		return nil
	}
	s := m.stage.Stage()
	now := &StageNow{Name: s.Name, Version: s.Version}
	for i, r := range s.Rings {
		state, why := m.stage.State(i)
		ring := RingNow{Cells: slices.Clone(r.Cells), State: state.String(), Evidence: m.stage.Evidence(i)}
		if m.stage.Harmed(i) {
			ring.By = why.String()
		}
		now.Rings = append(now.Rings, ring)
	}
	return now
}
