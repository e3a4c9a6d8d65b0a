package plan

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

func randomDemand(seed uint64, tenants, cells int) ([]Demand, Objective) {
	rng := rand.New(rand.NewPCG(seed, 1))
	var demand []Demand
	for i := range tenants {
		weight := math.Pow(float64(i+1), -0.8)
		demand = append(demand, Demand{Name: fmt.Sprint("t", i), Loads: Loads{weight * (0.5 + rng.Float64()), weight * (0.2 + 2*rng.Float64())}, PriorityWeight: weight, CurrentCell: -1})
	}
	aim := Objective{MaxMigrations: -1, Seed: seed}
	for range cells {
		aim.Shares = append(aim.Shares, 1/float64(cells))
	}
	return demand, aim
}

// exhaustiveBest is the least worst load of all assignments, by trying them.
func exhaustiveBest(p *planner, i int, least float64) float64 {
	worst := 0.0
	for c := range p.cellLoad {
		worst = max(worst, p.maxLoad(c))
	}
	if worst >= least {
		return least
	}
	if i == len(p.demand) {
		return worst
	}
	for c := range p.cellLoad {
		p.cellByTenant[i] = -1
		p.place(i, c)
		least = exhaustiveBest(p, i+1, least)
		for r := range p.cellLoad[c] {
			p.cellLoad[c][r] -= p.relativeLoad[i][r]
		}
		p.cellPriority[c] -= p.priorityShare[i]
		p.cellByTenant[i] = -1
	}
	return least
}

// Small worlds: the plan is not far from the best assignment, and neither is under the relaxation's bound.
func TestPlanAgainstExhaustiveSearchAndRelaxation(t *testing.T) {
	gap := 0.0
	for seed := range uint64(12) {
		demand, aim := randomDemand(seed, 9, 3)
		p, err := Propose(demand, aim)
		if err != nil {
			t.Fatal(err)
		}
		bound, err := relaxedBound(demand, aim)
		if err != nil {
			t.Fatal(err)
		}
		all := &planner{demand: demand, objective: aim, cellByTenant: make([]int, len(demand)), cellPriority: make([]float64, 3), priorityShare: make([]float64, len(demand))}
		totals := make([]float64, 2)
		for _, d := range demand {
			totals[0] += d.Loads[0]
			totals[1] += d.Loads[1]
		}
		for i, d := range demand {
			all.relativeLoad = append(all.relativeLoad, []float64{d.Loads[0] / totals[0], d.Loads[1] / totals[1]})
			all.cellByTenant[i] = -1
		}
		for range 3 {
			all.cellLoad = append(all.cellLoad, make([]float64, 2))
		}
		exact := exhaustiveBest(all, 0, math.Inf(1))
		if p.MaxLoad < exact-1e-9 || exact < bound-1e-6 || p.MaxLoadLowerBound > exact+1e-9 {
			t.Errorf("seed %d: plan %.4f, best %.4f, relaxation %.4f, bound %.4f", seed, p.MaxLoad, exact, bound, p.MaxLoadLowerBound)
		}
		gap = max(gap, p.MaxLoad/exact-1)
	}
	t.Logf("at most %.3f over the best of all assignments", gap)
	if gap > 0.15 {
		t.Errorf("%.3f over the best", gap)
	}
}

func TestLargePlanIsNearItsBound(t *testing.T) {
	demand, aim := randomDemand(1, 10_000, 64)
	p, err := Propose(demand, aim)
	if err != nil {
		t.Fatal(err)
	}
	if p.MaxLoad > p.MaxLoadLowerBound*1.05 {
		t.Errorf("worst %.4f, bound %.4f", p.MaxLoad, p.MaxLoadLowerBound)
	}
}

// From a present assignment that went out of balance, few moves bring most of it back.
func TestMigrationsAreFew(t *testing.T) {
	demand, aim := randomDemand(2, 400, 8)
	p, err := Propose(demand, aim)
	if err != nil {
		t.Fatal(err)
	}
	for i := range demand {
		demand[i].CurrentCell = p.CellByTenant[i]
		if p.CellByTenant[i] == 0 {
			demand[i].Loads[0] *= 2
			demand[i].Loads[1] *= 2
		}
	}
	aim.MaxMigrations = 0
	stay, err := Propose(demand, aim)
	if err != nil || stay.Migrations != 0 || stay.MaxLoad < 1.5 {
		t.Fatalf("%v, %+v", err, stay.MaxLoad)
	}
	aim.MaxMigrations = 30
	few, err := Propose(demand, aim)
	if err != nil {
		t.Fatal(err)
	}
	if few.Migrations > 30 || few.MaxLoad > 1.15 {
		t.Errorf("%d moves, worst %.3f (%.3f without)", few.Migrations, few.MaxLoad, stay.MaxLoad)
	}
	for i := range demand {
		if few.CellByTenant[i] != demand[i].CurrentCell {
			few.Migrations--
		}
	}
	if few.Migrations != 0 {
		t.Errorf("%d moves miscounted", few.Migrations)
	}
}

func TestPriorityShareStaysUnderItsBound(t *testing.T) {
	demand, aim := randomDemand(3, 200, 8)
	aim.MaxPriorityShare = 0.14
	p, err := Propose(demand, aim)
	if err != nil || p.MaxPriorityShare > 0.14+1e-9 {
		t.Errorf("%v: %.4f of the worth in one cell", err, p.MaxPriorityShare)
	}
	aim.MaxPriorityShare = 0.05 // 8 cells can't
	if _, err := Propose(demand, aim); !errors.Is(err, ErrInfeasible) {
		t.Errorf("got %v", err)
	}
	if _, err := Propose(nil, aim); err == nil {
		t.Error("a plan without tenants")
	}
	demand[3].Loads = demand[3].Loads[:1]
	if _, err := Propose(demand, aim); err == nil {
		t.Error("a plan for loads of two kinds")
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ tenants, cells int }{{100, 4}, {1000, 8}, {10_000, 64}} {
		b.Run(fmt.Sprintf("%dx%d", size.tenants, size.cells), func(b *testing.B) {
			demand, aim := randomDemand(1, size.tenants, size.cells)
			gap := 0.0
			for b.Loop() {
				p, err := Propose(demand, aim)
				if err != nil {
					b.Fatal(err)
				}
				gap = p.MaxLoad/p.MaxLoadLowerBound - 1
			}
			b.ReportMetric(100*gap, "%gap")
		})
	}
}
