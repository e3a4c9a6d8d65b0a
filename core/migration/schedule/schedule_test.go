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

func sampleConstraints(cells map[string]CellCapacity) Constraints {
	return Constraints{
		Site: "d", Start: start, WarmUp: 5000, MinShift: 10_000, MaxShiftFactor: 3, Settle: 10_000, Cells: cells,
		SiteFillKBPerS: 4000, OriginFillKBPerS: 1500, OriginFillFraction: 0.2,
	}
}

// Guards against plans that lose a tenant, exceed a limit at some time, or end before the lower bound. The test fails
// if firstFit always returns the first slot.
func TestPlanStaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cells := drawCells(t)
		requests := drawRequests(t, len(cells))
		constraints := sampleConstraints(cells)
		s, err := Plan(requests, constraints)
		if err != nil {
			t.Fatal(err)
		}
		if len(s.Migrations)+len(s.Unscheduled) != len(requests) {
			t.Fatalf("%d migrations and %d unscheduled tenants of %d", len(s.Migrations), len(s.Unscheduled), len(requests))
		}
		if len(s.Migrations) == len(requests) && s.End < s.LowerBound-1 {
			t.Fatalf("plan ends at %v, before the lower bound %v", s.End, s.LowerBound)
		}
		if len(s.Migrations) > 0 {
			document := migration.Document{Version: 1, Migrations: s.Migrations}
			if err := document.Validate(start, nil); err != nil {
				t.Fatal(err)
			}
		}
		requestOf := map[string]Request{}
		for _, r := range requests {
			requestOf[r.Tenant] = r
		}
		for at := start + 500; at < s.End+1000; at += 1000 {
			checkLimits(t, s, &constraints, requestOf, at)
		}
	})
}

func drawCells(t *rapid.T) map[string]CellCapacity {
	cells := map[string]CellCapacity{}
	for i := range rapid.IntRange(2, 6).Draw(t, "cells") {
		sends := rapid.Float64Range(5000, 20_000).Draw(t, "sendKBPerS")
		cells[fmt.Sprintf("c%d", i)] = CellCapacity{
			SendKBPerS: sends,
			UsedKBPerS: sends * rapid.Float64Range(0.2, 1.05).Draw(t, "used"),
			FillKBPerS: rapid.Float64Range(200, 3000).Draw(t, "fillKBPerS"),
		}
	}
	return cells
}

func drawRequests(t *rapid.T, cells int) []Request {
	var requests []Request
	for i := range rapid.IntRange(1, 30).Draw(t, "requests") {
		from := rapid.IntRange(0, cells-1).Draw(t, "from")
		kbPerS := rapid.Float64Range(0, 3000).Draw(t, "kbPerS")
		to := (from + rapid.IntRange(1, cells-1).Draw(t, "to")) % cells
		r := Request{
			Tenant:       fmt.Sprintf("t%d", i),
			From:         fmt.Sprintf("c%d", from),
			To:           fmt.Sprintf("c%d", to),
			DemandKBPerS: kbPerS,
			FillKB:       kbPerS * WorkingSetSeconds,
		}
		if rapid.Bool().Draw(t, "hot") {
			r.HotObjects = []string{"h"}
		}
		requests = append(requests, r)
	}
	return requests
}

// checkLimits fails the test if the migrations together exceed a limit at the time at.
func checkLimits(t *rapid.T, s *Schedule, c *Constraints, requestOf map[string]Request, at float64) {
	fills, load, allFills := map[string]float64{}, map[string]float64{}, 0.0
	for _, m := range s.Migrations {
		r := requestOf[m.Tenant]
		if at >= m.Start && at < m.Start+m.WarmUp+m.MinShift {
			rate := 1000 * r.FillKB / (m.WarmUp + m.MinShift)
			fills[m.To] += rate
			allFills += rate
		}
		share := m.MaxShare(at)
		load[m.To] += share * r.DemandKBPerS
		load[m.From] -= share * r.DemandKBPerS
	}
	for name, cell := range c.Cells {
		if fills[name] > cell.FillKBPerS*1.001 {
			t.Fatalf("%v KB/s of fills into %s, %v allowed", fills[name], name, cell.FillKBPerS)
		}
		limit := max(usableCellFraction*cell.SendKBPerS, cell.UsedKBPerS)
		if cell.UsedKBPerS+load[name] > limit*1.001 {
			t.Fatalf("%v KB/s of load at %s, %v allowed", cell.UsedKBPerS+load[name], name, limit)
		}
	}
	if allFills > c.SiteFillKBPerS*1.001 || allFills*c.OriginFillFraction > c.OriginFillKBPerS*1.001 {
		t.Fatalf("%v KB/s of fills into the site, more than the limit of the site or of the origin allows", allFills)
	}
}

// Guards against wrong plans for full cells. A cycle of them must be scheduled as one batch. A request that exceeds a
// limit must not be scheduled, and the reason must name the limit.
func TestPlanSchedulesCyclesTogether(t *testing.T) {
	full := CellCapacity{SendKBPerS: 10_000, UsedKBPerS: 9500, FillKBPerS: 2000}
	constraints := sampleConstraints(map[string]CellCapacity{"a": full, "b": full, "c": full})
	cycle := []Request{
		{"1", "a", "b", 500, 15_000, nil},
		{"2", "b", "c", 500, 15_000, nil},
		{"3", "c", "a", 500, 15_000, nil},
	}
	s, err := Plan(cycle, constraints)
	if err != nil || len(s.Migrations) != 3 {
		t.Fatalf("cycle is not scheduled: %v, %+v", err, s)
	}
	for _, m := range s.Migrations[1:] {
		if m.Start != s.Migrations[0].Start || m.MinShift != s.Migrations[0].MinShift {
			t.Errorf("different starts or durations: %+v", s.Migrations)
		}
	}
	if got := fmt.Sprint(Cycles(&migration.Document{Migrations: s.Migrations})); got != "[[a b c]]" {
		t.Error(got)
	}
	tooLarge := Request{"4", "a", "b", 3000, 90_000, nil}
	s, err = Plan(append(cycle, tooLarge), constraints)
	// Not all four requests fit, because one is too large.
	if err != nil || len(s.Migrations) != 3 && len(s.Unscheduled) == 0 {
		t.Fatalf("cycle and a request that is too large: %v, %+v", err, s)
	}
	s, err = Plan([]Request{tooLarge}, constraints)
	if err != nil || !strings.Contains(s.Unscheduled["4"], "load of b") {
		t.Errorf("request that is too large is scheduled, or the reason is wrong: %v, %+v", err, s)
	}
}

func TestPlanNamesInvalidField(t *testing.T) {
	constraints := sampleConstraints(map[string]CellCapacity{"a": {SendKBPerS: 1}, "b": {SendKBPerS: 1}})
	for _, test := range []struct {
		want     string // in the error text
		requests []Request
	}{
		{`tenant t: unknown cell "x"`, []Request{{"t", "a", "x", 1, 1, nil}}},
		{"tenant t: has two requests", []Request{{"t", "a", "b", 1, 1, nil}, {"t", "a", "b", 1, 1, nil}}},
		{`tenant t: is already in cell "a"`, []Request{{"t", "a", "a", 1, 1, nil}}},
		{"tenant t: -1 KB to fill", []Request{{"t", "a", "b", 1, -1, nil}}},
	} {
		t.Run(test.want, func(t *testing.T) {
			_, err := Plan(test.requests, constraints)
			if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v", err)
			}
		})
	}
	if _, err := Plan(nil, Constraints{}); !errors.Is(err, ErrInvalid) {
		t.Errorf("got %v", err)
	}
}

func BenchmarkPlan(b *testing.B) {
	cells := map[string]CellCapacity{}
	for i := range 64 {
		cells[fmt.Sprintf("c%02d", i)] = CellCapacity{SendKBPerS: 50_000, UsedKBPerS: 25_000, FillKBPerS: 3000}
	}
	var requests []Request
	for i := range 1000 {
		r := Request{
			Tenant:       fmt.Sprint(i),
			From:         fmt.Sprintf("c%02d", i%64),
			To:           fmt.Sprintf("c%02d", (i*7+1)%64),
			DemandKBPerS: float64(50 + i%300),
			FillKB:       float64(50+i%300) * WorkingSetSeconds,
		}
		if r.From == r.To {
			r.To = "c63"
		}
		requests = append(requests, r)
	}
	constraints := sampleConstraints(cells)
	constraints.SiteFillKBPerS = 40_000
	constraints.OriginFillKBPerS = 8000
	for b.Loop() {
		s, err := Plan(requests, constraints)
		if err != nil || len(s.Migrations) < 900 {
			b.Fatal(err, len(s.Migrations))
		}
	}
}
