package stages

import (
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gonum.org/v1/gonum/stat/distuv"
)

func stage() Stage {
	return Stage{Version: 1, Name: "prices", Prefix: "00ff", Since: 1000, Rings: []Ring{
		{Cells: []string{"a"}, Open: 60_000, For: 120_000}, {Cells: []string{"b", "c"}, Open: 70_000, For: 120_000}, {Cells: []string{"d", "e", "f", "g"}, Open: 70_000, For: 120_000}}}
}

// day plays a stage second by second; rate is the part of a cell's requests that fail at a time.
func day(t testing.TB, s Stage, seed uint64, perS float64, rate func(p *Progress, cell string) float64, until float64) (*Progress, [][]RingState) {
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
			p.Count(cell, Failed, perS, min(bad, perS))
			p.Count(cell, Late, perS, min(distuv.Poisson{Lambda: perS * 0.02, Src: src}.Rand(), perS))
			p.Count(cell, FillBad, perS/4, min(distuv.Poisson{Lambda: perS / 4 * 0.01, Src: src}.Rand(), perS/4))
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
		if st, _ := good.State(i); st != Passed {
			t.Errorf("ring %d of a good release: %s", i, st)
		}
	}
	for _, s := range states {
		if s[1] != Shut && s[0] != Passed || s[2] != Shut && s[1] != Passed {
			t.Errorf("states %v", s)
		}
	}
	bad, states := day(t, stage(), 2, 300, func(p *Progress, cell string) float64 {
		if p.Open(cell) {
			return 0.05
		}
		return 0.01
	}, 600_000)
	for _, s := range states {
		if s[1] != Shut && s[1] != Stopped {
			t.Errorf("a bad release gets to the second ring: %v", s)
		}
	}
	if st, why := bad.State(0); st != Stopped || why != Failed || bad.Open("a") {
		t.Errorf("a bad release: %s by %s", st, why)
	}
	later, _ := day(t, stage(), 3, 300, func(p *Progress, cell string) float64 {
		if p.Open(cell) && cell != "a" {
			return 0.08
		}
		return 0.01
	}, 600_000)
	for _, cell := range []string{"a", "b", "c", "d"} {
		if later.Open(cell) {
			t.Errorf("harm in the second ring, and %s still has the release", cell)
		}
	}
}

// With hardly any traffic a ring is neither passed nor stopped, and says so; whether the next one opens is as the document says.
func TestCantTell(t *testing.T) {
	for _, unsure := range []string{"", "go"} {
		s := stage()
		s.Unsure = unsure
		p, _ := day(t, s, 4, 0.5, func(*Progress, string) float64 { return 0.01 }, 250_000)
		st, _ := p.State(0)
		next, _ := p.State(1)
		if st != Unsure || (next == Shut) != (unsure == "") {
			t.Errorf("unsure %q: %s, and the next %s", unsure, st, next)
		}
	}
}

// The document's stop takes all rings back at its time, and for good.
func TestStopByDocument(t *testing.T) {
	s := stage()
	s.StopAt = 80_000
	p, _ := day(t, s, 5, 300, func(*Progress, string) float64 { return 0.01 }, 250_000)
	for i := range s.Rings {
		if st, _ := p.State(i); st != Stopped {
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
				if p.Open(c) {
					open++
				}
			}
			if open != 0 && open != len(r.Cells) {
				t.Fatalf("%d of %v have the release", open, r.Cells)
			}
		}
		return 0.01
	}, 100_000)
	if p.Open("h") || p.Open("nowhere") {
		t.Error("a cell in no ring has the release")
	}
	if len(p.Evidence(0)) != int(measures) || len(p.look) != 0 && slices.Max(p.Evidence(0)) == math.Inf(1) {
		t.Error("no evidence")
	}
}

// What cells answer with of a release that renews objects, at each point of its life: old copies where the ring is shut, new ones where it
// is open, none or whatever there is where it was taken back for harm, and only what was made since the document took it back.
func TestWhatCellsAnswerWith(t *testing.T) {
	type lets map[string]Lets
	old, renewed, none, restored := Lets{Age: 5000}, Lets{From: 1000}, Lets{Not: true}, Lets{From: 400_000}
	for back, after := range map[string]Lets{"": none, "serve": old} {
		s := stage()
		s.Renews, s.Keep, s.Back = true, 5000, back
		bad := func(p *Progress, cell string) float64 {
			if p.Open(cell) && cell != "a" { // harm shows in the second ring
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
			s.StopAt = at.stop
			p, _ := day(t, s, 3, 300, bad, at.until)
			for cell, want := range at.want {
				if got := p.Lets(cell); got != want {
					t.Errorf("back %q, until %v, cell %s: %+v, want %+v", back, at.until, cell, got, want)
				}
			}
		}
	}
	s := stage()
	p, _ := day(t, s, 3, 300, func(*Progress, string) float64 { return 0.01 }, 61_001)
	if p.Lets("a") != (Lets{}) || p.Lets("b") != none || p.Lets("h") != none {
		t.Error("new objects")
	}
	s.Version, s.Renews, s.Keep = 2, true, 5000
	if p.Continue(&s) {
		t.Error("a release of another kind goes on as the same")
	}
}

func TestStageNamesTheField(t *testing.T) {
	for want, spoil := range map[string]func(*Stage){
		"version: ":                  func(s *Stage) { s.Version = 0 },
		"name: ":                     func(s *Stage) { s.Name = "" },
		"prefix: ":                   func(s *Stage) { s.Prefix = "" },
		"prefix: can't":              func(s *Stage) { s.Prefix = "xy" },
		"families: ":                 func(s *Stage) { s.Families = []int{3, 1} },
		"since: ":                    func(s *Stage) { s.Since = math.NaN() },
		"unsure: ":                   func(s *Stage) { s.Unsure = "maybe" },
		"stopAt: ":                   func(s *Stage) { s.StopAt = -1 },
		"rings: ":                    func(s *Stage) { s.Rings = nil },
		"rings[1].cells: ":           func(s *Stage) { s.Rings[1].Cells = []string{"a"} },
		"rings[0].cells: ":           func(s *Stage) { s.Rings[0].Cells = nil },
		"rings[2].open: ":            func(s *Stage) { s.Rings[2].Open = 5 },
		"rings[0].open: ":            func(s *Stage) { s.Rings[0].For = 0 },
		"can't be used: a":           func(s *Stage) { s.Alpha = 0.7 },
		"back: can't be used: \"so":  func(s *Stage) { s.Back = "so" },
		"back: ":                     func(s *Stage) { s.Back = "serve" },
		"keep: ":                     func(s *Stage) { s.Keep = 5 },
		"keep: can't be used: 0 ms":  func(s *Stage) { s.Renews = true },
		"keep: can't be used: 1e+10": func(s *Stage) { s.Renews, s.Keep = true, 1e10 },
	} {
		s := stage()
		spoil(&s)
		if err := s.Check(); !errors.Is(err, ErrStage) || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
	s := stage()
	s.Families = []int{2, 4}
	if !s.Holds(3, "00ff01") || s.Holds(5, "00ff01") || s.Holds(3, "00fe") {
		t.Error("what belongs to it")
	}
}
