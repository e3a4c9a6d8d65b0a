package schedule

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"spantack/core/migration"
	"spantack/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

const start = 1_764_576_000_000.0

func aim(cells map[string]CellCapacity) Constraints {
	return Constraints{Site: "d", Start: start, WarmUp: 5000, MinShift: 10_000, MaxShiftFactor: 3, Settle: 10_000, Cells: cells, SiteFillKbPerS: 4000, OriginFillKbPerS: 1500, OriginFillFraction: 0.2}
}

// In any plan each tenant moves once or is left out with a reason, no limit is passed at any time by what the moves say of themselves,
// and no plan beats the bound by volume. With the search for room planted to return the first slot always, this fails at once.
func TestPlanKeepsAllLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cells := map[string]CellCapacity{}
		n := rapid.IntRange(2, 6).Draw(t, "cells")
		for i := range n {
			bears := rapid.Float64Range(5000, 20_000).Draw(t, "bears")
			cells[fmt.Sprintf("c%d", i)] = CellCapacity{SendKbPerS: bears, UsedKbPerS: bears * rapid.Float64Range(0.2, 1.05).Draw(t, "lives"), FillKbPerS: rapid.Float64Range(200, 3000).Draw(t, "fill")}
		}
		var wishes []Request
		for i := range rapid.IntRange(1, 30).Draw(t, "wishes") {
			from := rapid.IntRange(0, n-1).Draw(t, "from")
			kb := rapid.Float64Range(0, 3000).Draw(t, "kb")
			w := Request{Tenant: fmt.Sprintf("t%d", i), From: fmt.Sprintf("c%d", from), To: fmt.Sprintf("c%d", (from+rapid.IntRange(1, n-1).Draw(t, "to"))%n), KbPerS: kb, FillKb: kb * WorkingSetSeconds}
			if rapid.Bool().Draw(t, "hot") {
				w.HotObjects = []string{"h"}
			}
			wishes = append(wishes, w)
		}
		a := aim(cells)
		s, err := Plan(wishes, a)
		if err != nil {
			t.Fatal(err)
		}
		if len(s.Migrations)+len(s.Unscheduled) != len(wishes) {
			t.Fatalf("%d moves and %d left out of %d", len(s.Migrations), len(s.Unscheduled), len(wishes))
		}
		if len(s.Migrations) == len(wishes) && s.End < s.LowerBound-1 {
			t.Fatalf("ends at %v, before the bound %v", s.End, s.LowerBound)
		}
		if len(s.Migrations) > 0 {
			if err := (&migration.Document{Version: 1, Migrations: s.Migrations}).Validate(start, nil); err != nil {
				t.Fatal(err)
			}
		}
		of := map[string]Request{}
		for _, w := range wishes {
			of[w.Tenant] = w
		}
		for at := start + 500; at < s.End+1000; at += 1000 {
			fill, load, all := map[string]float64{}, map[string]float64{}, 0.0
			for _, m := range s.Migrations {
				w := of[m.Tenant]
				if at >= m.Start && at < m.Start+m.WarmUp+m.MinShift {
					rate := 1000 * w.FillKb / (m.WarmUp + m.MinShift)
					fill[m.To] += rate
					all += rate
				}
				share := m.MaxShare(at)
				load[m.To] += share * w.KbPerS
				load[m.From] -= share * w.KbPerS
			}
			for name, c := range cells {
				if fill[name] > c.FillKbPerS*1.001 {
					t.Fatalf("%v KB/s of fills into %s, %v allowed", fill[name], name, c.FillKbPerS)
				}
				if most := max(usableCellFraction*c.SendKbPerS, c.UsedKbPerS); c.UsedKbPerS+load[name] > most*1.001 {
					t.Fatalf("%v KB/s at %s, %v allowed", c.UsedKbPerS+load[name], name, most)
				}
			}
			if all > a.SiteFillKbPerS*1.001 || all*a.OriginFillFraction > a.OriginFillKbPerS*1.001 {
				t.Fatalf("%v KB/s into the depot", all)
			}
		}
	})
}

// A circle without room to spare moves at one pace; a wish that no time has room for is left out and says why.
func TestPlanOfCircles(t *testing.T) {
	full := CellCapacity{SendKbPerS: 10_000, UsedKbPerS: 9500, FillKbPerS: 2000}
	cells := map[string]CellCapacity{"a": full, "b": full, "c": full}
	wishes := []Request{{"1", "a", "b", 500, 15_000, nil}, {"2", "b", "c", 500, 15_000, nil}, {"3", "c", "a", 500, 15_000, nil}}
	s, err := Plan(wishes, aim(cells))
	if err != nil || len(s.Migrations) != 3 {
		t.Fatalf("%v, %+v", err, s)
	}
	for _, m := range s.Migrations[1:] {
		if m.Start != s.Migrations[0].Start || m.MinShift != s.Migrations[0].MinShift {
			t.Errorf("not at one pace: %+v", s.Migrations)
		}
	}
	if got := fmt.Sprint(Cycles(&migration.Document{Migrations: s.Migrations})); got != "[[a b c]]" {
		t.Error(got)
	}
	s, err = Plan(append(wishes, Request{"4", "a", "b", 3000, 90_000, nil}), aim(cells))
	if err != nil || len(s.Migrations) != 3 && len(s.Unscheduled) == 0 {
		t.Fatalf("%v, %+v", err, s)
	}
	if s, err = Plan([]Request{{"4", "a", "b", 3000, 90_000, nil}}, aim(cells)); err != nil || !strings.Contains(s.Unscheduled["4"], "load of b") {
		t.Errorf("%v, %+v", err, s)
	}
}

func TestPlanNamesWhatIsWrong(t *testing.T) {
	cells := map[string]CellCapacity{"a": {SendKbPerS: 1}, "b": {SendKbPerS: 1}}
	for want, w := range map[string][]Request{
		"no cell":  {{"t", "a", "x", 1, 1, nil}},
		"twice":    {{"t", "a", "b", 1, 1, nil}, {"t", "a", "b", 1, 1, nil}},
		"is in":    {{"t", "a", "a", 1, 1, nil}},
		"KB to fi": {{"t", "a", "b", 1, -1, nil}},
	} {
		if _, err := Plan(w, aim(cells)); !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v", want, err)
		}
	}
	if _, err := Plan(nil, Constraints{}); !errors.Is(err, ErrInvalid) {
		t.Errorf("got %v", err)
	}
}

func BenchmarkPlan(b *testing.B) {
	cells := map[string]CellCapacity{}
	for i := range 64 {
		cells[fmt.Sprintf("c%02d", i)] = CellCapacity{SendKbPerS: 50_000, UsedKbPerS: 25_000, FillKbPerS: 3000}
	}
	var wishes []Request
	for i := range 1000 {
		wishes = append(wishes, Request{Tenant: fmt.Sprint(i), From: fmt.Sprintf("c%02d", i%64), To: fmt.Sprintf("c%02d", (i*7+1)%64), KbPerS: float64(50 + i%300), FillKb: float64(50+i%300) * WorkingSetSeconds})
	}
	for i := range wishes {
		if wishes[i].From == wishes[i].To {
			wishes[i].To = "c63"
		}
	}
	a := aim(cells)
	a.SiteFillKbPerS, a.OriginFillKbPerS = 40_000, 8000
	for b.Loop() {
		s, err := Plan(wishes, a)
		if err != nil || len(s.Migrations) < 900 {
			b.Fatal(err, len(s.Migrations))
		}
	}
}
