package plan

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// randomDemand has tenants with loads by a power law and cells of equal shares.
func randomDemand(seed uint64, tenants, cells int) ([]Demand, Objective) {
	rng := rand.New(rand.NewPCG(seed, 1))
	var demand []Demand
	for i := range tenants {
		weight := math.Pow(float64(i+1), -0.8)
		demand = append(demand, Demand{
			Name:           fmt.Sprint("t", i),
			Loads:          Loads{weight * (0.5 + rng.Float64()), weight * (0.2 + 2*rng.Float64())},
			PriorityWeight: weight,
			CurrentCell:    unassigned,
		})
	}
	objective := Objective{MaxMigrations: -1, Seed: seed}
	for range cells {
		objective.Shares = append(objective.Shares, 1/float64(cells))
	}
	return demand, objective
}

// exhaustivePlanner is a planner whose tenants are in no cell, made without newPlanner.
func exhaustivePlanner(demand []Demand, objective Objective) *planner {
	cells := len(objective.Shares)
	p := &planner{
		demand:        demand,
		objective:     objective,
		cellByTenant:  make([]int, len(demand)),
		cellPriority:  make([]float64, cells),
		priorityShare: make([]float64, len(demand)),
	}
	totals := make([]float64, 2)
	for _, d := range demand {
		totals[0] += d.Loads[0]
		totals[1] += d.Loads[1]
	}
	for i, d := range demand {
		p.relativeLoad = append(p.relativeLoad, []float64{d.Loads[0] / totals[0], d.Loads[1] / totals[1]})
		p.cellByTenant[i] = unassigned
	}
	for range cells {
		p.cellLoad = append(p.cellLoad, make([]float64, 2))
	}
	return p
}

// exhaustiveBest returns the lowest greatest load of all assignments of tenants from the given one on, by trying them;
// lowest is the best one known.
func exhaustiveBest(p *planner, tenant int, lowest float64) float64 {
	load := 0.0
	for cell := range p.cellLoad {
		load = max(load, p.maxLoad(cell))
	}
	if load >= lowest {
		return lowest
	}
	if tenant == len(p.demand) {
		return load
	}
	for cell := range p.cellLoad {
		p.cellByTenant[tenant] = unassigned
		p.place(tenant, cell)
		lowest = exhaustiveBest(p, tenant+1, lowest)
		for resource := range p.cellLoad[cell] {
			p.cellLoad[cell][resource] -= p.relativeLoad[tenant][resource]
		}
		p.cellPriority[cell] -= p.priorityShare[tenant]
		p.cellByTenant[tenant] = unassigned
	}
	return lowest
}

// With few tenants, the plan is not far from the best assignment, and neither is below the relaxation's bound.
func TestPlanAgainstExhaustiveSearchAndRelaxation(t *testing.T) {
	gap := 0.0
	for seed := range uint64(12) {
		demand, objective := randomDemand(seed, 9, 3)
		plan, err := Propose(demand, objective)
		if err != nil {
			t.Fatal(err)
		}
		relaxed, err := relaxedBound(demand, objective)
		if err != nil {
			t.Fatal(err)
		}
		best := exhaustiveBest(exhaustivePlanner(demand, objective), 0, math.Inf(1))
		if plan.MaxLoad < best-1e-9 || best < relaxed-1e-6 || plan.MaxLoadLowerBound > best+1e-9 {
			t.Errorf("seed %d: plan %.4f, best %.4f, relaxation %.4f, bound %.4f",
				seed, plan.MaxLoad, best, relaxed, plan.MaxLoadLowerBound)
		}
		gap = max(gap, plan.MaxLoad/best-1)
	}
	t.Logf("at most %.3f over the best of all assignments", gap)
	if gap > 0.15 {
		t.Errorf("%.3f over the best", gap)
	}
}

func TestLargePlanIsNearItsBound(t *testing.T) {
	demand, objective := randomDemand(1, 10_000, 64)
	p, err := Propose(demand, objective)
	if err != nil {
		t.Fatal(err)
	}
	if p.MaxLoad > p.MaxLoadLowerBound*1.05 {
		t.Errorf("worst %.4f, bound %.4f", p.MaxLoad, p.MaxLoadLowerBound)
	}
}

// From a current assignment that got out of balance, few migrations bring most of it back.
func TestMigrationsAreFew(t *testing.T) {
	demand, objective := randomDemand(2, 400, 8)
	p, err := Propose(demand, objective)
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
	objective.MaxMigrations = 0
	stay, err := Propose(demand, objective)
	if err != nil || stay.Migrations != 0 || stay.MaxLoad < 1.5 {
		t.Fatalf("%v, %+v", err, stay.MaxLoad)
	}
	objective.MaxMigrations = 30
	few, err := Propose(demand, objective)
	if err != nil {
		t.Fatal(err)
	}
	if few.Migrations > 30 || few.MaxLoad > 1.15 {
		t.Errorf("%d migrations, greatest load %.3f (%.3f without)", few.Migrations, few.MaxLoad, stay.MaxLoad)
	}
	for i := range demand {
		if few.CellByTenant[i] != demand[i].CurrentCell {
			few.Migrations--
		}
	}
	if few.Migrations != 0 {
		t.Errorf("%d migrations miscounted", few.Migrations)
	}
}

func TestPriorityShareStaysUnderItsBound(t *testing.T) {
	demand, objective := randomDemand(3, 200, 8)
	objective.MaxPriorityShare = 0.14
	p, err := Propose(demand, objective)
	if err != nil || p.MaxPriorityShare > 0.14+1e-9 {
		t.Errorf("%v: %.4f of the worth in one cell", err, p.MaxPriorityShare)
	}
	objective.MaxPriorityShare = 0.05 // 8 cells can't
	if _, err := Propose(demand, objective); !errors.Is(err, ErrInfeasible) {
		t.Errorf("got %v", err)
	}
	if _, err := Propose(nil, objective); err == nil {
		t.Error("a plan without tenants")
	}
	demand[3].Loads = demand[3].Loads[:1]
	if _, err := Propose(demand, objective); err == nil {
		t.Error("a plan for loads of two kinds")
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ tenants, cells int }{{100, 4}, {1000, 8}, {10_000, 64}} {
		b.Run(fmt.Sprintf("%dx%d", size.tenants, size.cells), func(b *testing.B) {
			demand, objective := randomDemand(1, size.tenants, size.cells)
			gap := 0.0
			for b.Loop() {
				p, err := Propose(demand, objective)
				if err != nil {
					b.Fatal(err)
				}
				gap = p.MaxLoad/p.MaxLoadLowerBound - 1
			}
			b.ReportMetric(100*gap, "%gap")
		})
	}
}
