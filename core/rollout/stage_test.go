package rollout

import (
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gonum.org/v1/gonum/stat/distuv"
)

func stage() Rollout {
	return Rollout{Version: 1, Name: "prices", Prefix: "00ff", Since: 1000, Rings: []Ring{
		{Cells: []string{"a"}, OpensAt: 60_000, JudgeWithin: 120_000}, {Cells: []string{"b", "c"}, OpensAt: 70_000, JudgeWithin: 120_000}, {Cells: []string{"d", "e", "f", "g"}, OpensAt: 70_000, JudgeWithin: 120_000}}}
}

// day plays a stage second by second; rate is the part of a cell's requests that fail at a time.
func day(t testing.TB, s Rollout, seed uint64, perS float64, rate func(p *Progress, cell string) float64, until float64) (*Progress, [][]RingState) {
	t.Helper()
	p, err := NewProgress(&s, 0)
	if err != nil {
		t.Fatal(err)
	}
	src := rand.NewPCG(seed, 0x57)
	var states [][]RingState
	for now := 0.0; now < until; now += 1000 {
		for _, cell := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			bad := distuv.Poisson{Lambda: perS * rate(p, cell), Src: src}.Rand()
			p.Count(cell, Failures, perS, min(bad, perS))
			p.Count(cell, LateAnswers, perS, min(distuv.Poisson{Lambda: perS * 0.02, Src: src}.Rand(), perS))
			p.Count(cell, FillErrors, perS/4, min(distuv.Poisson{Lambda: perS / 4 * 0.01, Src: src}.Rand(), perS/4))
		}
		if changed := p.Step(now); len(changed) > 0 {
			var now []RingState
			for i := range s.Rings {
				st, _ := p.State(i)
				now = append(now, st)
			}
			states = append(states, now)
		}
	}
	return p, states
}

// A good release passes ring after ring, each after the one before; a bad one is stopped in the first ring and reaches no other cell, and one
// that does harm in the second ring's cells alone is taken back in the first as well.
func TestRingsGoOnOrAreTakenBack(t *testing.T) {
	good, states := day(t, stage(), 1, 300, func(*Progress, string) float64 { return 0.01 }, 600_000)
	for i := range 3 {
		if st, _ := good.State(i); st != RingPassed {
			t.Errorf("ring %d of a good release: %s", i, st)
		}
	}
	for _, s := range states {
		if s[1] != RingClosed && s[0] != RingPassed || s[2] != RingClosed && s[1] != RingPassed {
			t.Errorf("states %v", s)
		}
	}
	bad, states := day(t, stage(), 2, 300, func(p *Progress, cell string) float64 {
		if p.HasRelease(cell) {
			return 0.05
		}
		return 0.01
	}, 600_000)
	for _, s := range states {
		if s[1] != RingClosed && s[1] != RingStopped {
			t.Errorf("a bad release gets to the second ring: %v", s)
		}
	}
	if st, why := bad.State(0); st != RingStopped || why != Failures || bad.HasRelease("a") {
		t.Errorf("a bad release: %s by %s", st, why)
	}
	later, _ := day(t, stage(), 3, 300, func(p *Progress, cell string) float64 {
		if p.HasRelease(cell) && cell != "a" {
			return 0.08
		}
		return 0.01
	}, 600_000)
	for _, cell := range []string{"a", "b", "c", "d"} {
		if later.HasRelease(cell) {
			t.Errorf("harm in the second ring, and %s still has the release", cell)
		}
	}
}

// With hardly any traffic a ring is neither passed nor stopped, and says so; whether the next one opens is as the document says.
func TestCantTell(t *testing.T) {
	for _, unsure := range []string{"", "go"} {
		s := stage()
		s.OnUndecided = unsure
		p, _ := day(t, s, 4, 0.5, func(*Progress, string) float64 { return 0.01 }, 250_000)
		st, _ := p.State(0)
		next, _ := p.State(1)
		if st != RingUndecided || (next == RingClosed) != (unsure == "") {
			t.Errorf("unsure %q: %s, and the next %s", unsure, st, next)
		}
	}
}

// The document's stop takes all rings back at its time, and for good.
func TestStopByDocument(t *testing.T) {
	s := stage()
	s.RollbackAt = 80_000
	p, _ := day(t, s, 5, 300, func(*Progress, string) float64 { return 0.01 }, 250_000)
	for i := range s.Rings {
		if st, _ := p.State(i); st != RingStopped {
			t.Errorf("ring %d: %s", i, st)
		}
	}
}

// Every cell of a ring has the release or none has, and no cell outside the rings ever.
func TestOpenIsByRing(t *testing.T) {
	s := stage()
	p, _ := day(t, s, 6, 100, func(p *Progress, cell string) float64 {
		for _, r := range s.Rings {
			open := 0
			for _, c := range r.Cells {
				if p.HasRelease(c) {
					open++
				}
			}
			if open != 0 && open != len(r.Cells) {
				t.Fatalf("%d of %v have the release", open, r.Cells)
			}
		}
		return 0.01
	}, 100_000)
	if p.HasRelease("h") || p.HasRelease("nowhere") {
		t.Error("a cell in no ring has the release")
	}
	if len(p.Evidence(0)) != int(metricCount) || len(p.counts) != 0 && slices.Max(p.Evidence(0)) == math.Inf(1) {
		t.Error("no evidence")
	}
}

// What cells answer with of a release that renews objects, at each point of its life: old copies where the ring is shut, new ones where it
// is open, none or whatever there is where it was taken back for harm, and only what was made since the document took it back.
func TestWhatCellsAnswerWith(t *testing.T) {
	type lets map[string]GateDecision
	old, renewed, none, restored := GateDecision{MaxAge: 5000}, GateDecision{MadeSince: 1000}, GateDecision{Rejected: true}, GateDecision{MadeSince: 400_000}
	for back, after := range map[string]GateDecision{"": none, "serve": old} {
		s := stage()
		s.ReplacesObjects, s.OldCopyMaxAge, s.OnRollback = true, 5000, back
		bad := func(p *Progress, cell string) float64 {
			if p.HasRelease(cell) && cell != "a" { // harm shows in the second ring
				return 0.08
			}
			return 0.01
		}
		for _, at := range []struct {
			until, stop float64
			want        lets
		}{
			{59_000, 0, lets{"a": old, "b": old, "d": old, "h": old}},
			{61_001, 0, lets{"a": renewed, "b": old, "d": old, "h": old}},
			{380_000, 0, lets{"a": after, "b": after, "d": old, "h": old}},
			{402_000, 400_000, lets{"a": restored, "b": restored, "d": restored, "h": restored}},
		} {
			s.RollbackAt = at.stop
			p, _ := day(t, s, 3, 300, bad, at.until)
			for cell, want := range at.want {
				if got := p.Gate(cell); got != want {
					t.Errorf("back %q, until %v, cell %s: %+v, want %+v", back, at.until, cell, got, want)
				}
			}
		}
	}
	s := stage()
	p, _ := day(t, s, 3, 300, func(*Progress, string) float64 { return 0.01 }, 61_001)
	if p.Gate("a") != (GateDecision{}) || p.Gate("b") != none || p.Gate("h") != none {
		t.Error("new objects")
	}
	s.Version, s.ReplacesObjects, s.OldCopyMaxAge = 2, true, 5000
	if p.Continue(&s) {
		t.Error("a release of another kind goes on as the same")
	}
}

func TestStageNamesTheField(t *testing.T) {
	for want, spoil := range map[string]func(*Rollout){
		"version: ":                  func(s *Rollout) { s.Version = 0 },
		"name: ":                     func(s *Rollout) { s.Name = "" },
		"prefix: ":                   func(s *Rollout) { s.Prefix = "" },
		"prefix: can't":              func(s *Rollout) { s.Prefix = "xy" },
		"families: ":                 func(s *Rollout) { s.FamilyRange = []int{3, 1} },
		"since: ":                    func(s *Rollout) { s.Since = math.NaN() },
		"unsure: ":                   func(s *Rollout) { s.OnUndecided = "maybe" },
		"stopAt: ":                   func(s *Rollout) { s.RollbackAt = -1 },
		"rings: ":                    func(s *Rollout) { s.Rings = nil },
		"rings[1].cells: ":           func(s *Rollout) { s.Rings[1].Cells = []string{"a"} },
		"rings[0].cells: ":           func(s *Rollout) { s.Rings[0].Cells = nil },
		"rings[2].open: ":            func(s *Rollout) { s.Rings[2].OpensAt = 5 },
		"rings[0].open: ":            func(s *Rollout) { s.Rings[0].JudgeWithin = 0 },
		"can't be used: a":           func(s *Rollout) { s.Alpha = 0.7 },
		"back: can't be used: \"so":  func(s *Rollout) { s.OnRollback = "so" },
		"back: ":                     func(s *Rollout) { s.OnRollback = "serve" },
		"keep: ":                     func(s *Rollout) { s.OldCopyMaxAge = 5 },
		"keep: can't be used: 0 ms":  func(s *Rollout) { s.ReplacesObjects = true },
		"keep: can't be used: 1e+10": func(s *Rollout) { s.ReplacesObjects, s.OldCopyMaxAge = true, 1e10 },
	} {
		s := stage()
		spoil(&s)
		if err := s.Validate(); !errors.Is(err, ErrInvalid) || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
	s := stage()
	s.FamilyRange = []int{2, 4}
	if !s.Contains(3, "00ff01") || s.Contains(5, "00ff01") || s.Contains(3, "00fe") {
		t.Error("what belongs to it")
	}
}
