package plan

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

func world(seed uint64, tenants, cells int) ([]Demand, Aim) {
	rng := rand.New(rand.NewPCG(seed, 1))
	var demand []Demand
	for i := range tenants {
		weight := math.Pow(float64(i+1), -0.8)
		demand = append(demand, Demand{Name: fmt.Sprint("t", i), Loads: Loads{weight * (0.5 + rng.Float64()), weight * (0.2 + 2*rng.Float64())}, Worth: weight, Now: -1})
	}
	aim := Aim{MostMoves: -1, Seed: seed}
	for range cells {
		aim.Shares = append(aim.Shares, 1/float64(cells))
	}
	return demand, aim
}

// best is the least worst load of all assignments, by trying them.
func best(p *planner, i int, least float64) float64 {
	worst := 0.0
	for c := range p.load {
		worst = max(worst, p.worst(c))
	}
	if worst >= least {
		return least
	}
	if i == len(p.demand) {
		return worst
	}
	for c := range p.load {
		p.cell[i] = -1
		p.put(i, c)
		least = best(p, i+1, least)
		for r := range p.load[c] {
			p.load[c][r] -= p.rel[i][r]
		}
		p.held[c] -= p.worth[i]
		p.cell[i] = -1
	}
	return least
}

// Small worlds: the plan is not far from the best assignment, and neither is under the relaxation's bound.
func TestPlanAgainstBestAndRelaxation(t *testing.T) {
	gap := 0.0
	for seed := range uint64(12) {
		demand, aim := world(seed, 9, 3)
		p, err := Make(demand, aim)
		if err != nil {
			t.Fatal(err)
		}
		bound, err := Relaxed(demand, aim)
		if err != nil {
			t.Fatal(err)
		}
		all := &planner{demand: demand, aim: aim, cell: make([]int, len(demand)), held: make([]float64, 3), worth: make([]float64, len(demand))}
		totals := make([]float64, 2)
		for _, d := range demand {
			totals[0] += d.Loads[0]
			totals[1] += d.Loads[1]
		}
		for i, d := range demand {
			all.rel = append(all.rel, []float64{d.Loads[0] / totals[0], d.Loads[1] / totals[1]})
			all.cell[i] = -1
		}
		for range 3 {
			all.load = append(all.load, make([]float64, 2))
		}
		exact := best(all, 0, math.Inf(1))
		if p.Worst < exact-1e-9 || exact < bound-1e-6 || p.Bound > exact+1e-9 {
			t.Errorf("seed %d: plan %.4f, best %.4f, relaxation %.4f, bound %.4f", seed, p.Worst, exact, bound, p.Bound)
		}
		gap = max(gap, p.Worst/exact-1)
	}
	t.Logf("at most %.3f over the best of all assignments", gap)
	if gap > 0.15 {
		t.Errorf("%.3f over the best", gap)
	}
}

func TestLargePlanIsNearItsBound(t *testing.T) {
	demand, aim := world(1, 10_000, 64)
	p, err := Make(demand, aim)
	if err != nil {
		t.Fatal(err)
	}
	if p.Worst > p.Bound*1.05 {
		t.Errorf("worst %.4f, bound %.4f", p.Worst, p.Bound)
	}
}

// From a present assignment that went out of balance, few moves bring most of it back.
func TestMovesAreFew(t *testing.T) {
	demand, aim := world(2, 400, 8)
	p, err := Make(demand, aim)
	if err != nil {
		t.Fatal(err)
	}
	for i := range demand {
		demand[i].Now = p.Cell[i]
		if p.Cell[i] == 0 {
			demand[i].Loads[0] *= 2
			demand[i].Loads[1] *= 2
		}
	}
	aim.MostMoves = 0
	stay, err := Make(demand, aim)
	if err != nil || stay.Moves != 0 || stay.Worst < 1.5 {
		t.Fatalf("%v, %+v", err, stay.Worst)
	}
	aim.MostMoves = 30
	few, err := Make(demand, aim)
	if err != nil {
		t.Fatal(err)
	}
	if few.Moves > 30 || few.Worst > 1.15 {
		t.Errorf("%d moves, worst %.3f (%.3f without)", few.Moves, few.Worst, stay.Worst)
	}
	for i := range demand {
		if few.Cell[i] != demand[i].Now {
			few.Moves--
		}
	}
	if few.Moves != 0 {
		t.Errorf("%d moves miscounted", few.Moves)
	}
}

func TestWorthStaysUnderItsBound(t *testing.T) {
	demand, aim := world(3, 200, 8)
	aim.MostWorth = 0.14
	p, err := Make(demand, aim)
	if err != nil || p.MostWorth > 0.14+1e-9 {
		t.Errorf("%v: %.4f of the worth in one cell", err, p.MostWorth)
	}
	aim.MostWorth = 0.05 // 8 cells can't
	if _, err := Make(demand, aim); !errors.Is(err, ErrNoPlan) {
		t.Errorf("got %v", err)
	}
	if _, err := Make(nil, aim); err == nil {
		t.Error("a plan without tenants")
	}
	demand[3].Loads = demand[3].Loads[:1]
	if _, err := Make(demand, aim); err == nil {
		t.Error("a plan for loads of two kinds")
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ tenants, cells int }{{100, 4}, {1000, 8}, {10_000, 64}} {
		b.Run(fmt.Sprintf("%dx%d", size.tenants, size.cells), func(b *testing.B) {
			demand, aim := world(1, size.tenants, size.cells)
			gap := 0.0
			for b.Loop() {
				p, err := Make(demand, aim)
				if err != nil {
					b.Fatal(err)
				}
				gap = p.Worst/p.Bound - 1
			}
			b.ReportMetric(100*gap, "%gap")
		})
	}
}
