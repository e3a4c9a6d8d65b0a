package plan

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// randomDemand returns tenants whose loads follow a power law, and cells with equal shares.
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

// exhaustivePlanner returns a planner with unassigned tenants. It does not call newPlanner, because
// Propose, the function under test, does.
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
		p.loadFraction = append(p.loadFraction, []float64{d.Loads[0] / totals[0], d.Loads[1] / totals[1]})
		p.cellByTenant[i] = unassigned
	}
	for range cells {
		p.cellLoad = append(p.cellLoad, make([]float64, 2))
	}
	return p
}

// exhaustiveBest returns the lowest maximum load over all assignments of the given tenant and the tenants after it,
// found by exhaustive search. It returns lowest if no assignment has a lower maximum load. Partial assignments with a
// load of at least lowest are pruned.
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
			p.cellLoad[cell][resource] -= p.loadFraction[tenant][resource]
		}
		p.cellPriority[cell] -= p.priorityShare[tenant]
		p.cellByTenant[tenant] = unassigned
	}
	return lowest
}

// With few tenants, the maximum load of the plan must be at most 15% above the optimum that exhaustive search finds.
// Neither the plan's maximum load nor the optimum may be below the lower bounds.
func TestPlanIsNearExhaustiveOptimum(t *testing.T) {
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
			t.Errorf("seed %d: maximum load of plan %.4f, optimum %.4f, relaxation %.4f, lower bound %.4f",
				seed, plan.MaxLoad, best, relaxed, plan.MaxLoadLowerBound)
		}
		gap = max(gap, plan.MaxLoad/best-1)
	}
	t.Logf("relative excess over the optimum: at most %.3f", gap)
	if gap > 0.15 {
		t.Errorf("relative excess over the optimum: %.3f", gap)
	}
}

// With 10,000 tenants and 64 cells, the maximum load of the plan must be at most 5% above its lower bound.
func TestLargePlanIsNearLowerBound(t *testing.T) {
	demand, objective := randomDemand(1, 10_000, 64)
	p, err := Propose(demand, objective)
	if err != nil {
		t.Fatal(err)
	}
	if p.MaxLoad > p.MaxLoadLowerBound*1.05 {
		t.Errorf("maximum load %.4f, lower bound %.4f", p.MaxLoad, p.MaxLoadLowerBound)
	}
}

// The load of all tenants in one cell doubles. A plan with at most 30 migrations must balance the cells again, stay
// within that limit and report the number of migrations correctly.
func TestFewMigrationsRestoreBalance(t *testing.T) {
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
		t.Fatalf("without migrations: %v, maximum load %+v", err, stay.MaxLoad)
	}
	objective.MaxMigrations = 30
	few, err := Propose(demand, objective)
	if err != nil {
		t.Fatal(err)
	}
	if few.Migrations > 30 || few.MaxLoad > 1.15 {
		t.Errorf("%d migrations, maximum load %.3f (%.3f without)", few.Migrations, few.MaxLoad, stay.MaxLoad)
	}
	for i := range demand {
		if few.CellByTenant[i] != demand[i].CurrentCell {
			few.Migrations--
		}
	}
	if few.Migrations != 0 {
		t.Errorf("reported migrations minus actual ones: %d", few.Migrations)
	}
}

// The plan must meet the limit on the priority weight of a cell. A limit that can't be met must give ErrInfeasible.
// Invalid demand must be an error.
func TestPriorityShareStaysWithinLimit(t *testing.T) {
	demand, objective := randomDemand(3, 200, 8)
	objective.MaxPriorityShare = 0.14
	p, err := Propose(demand, objective)
	if err != nil || p.MaxPriorityShare > 0.14+1e-9 {
		t.Errorf("%v: fraction %.4f of the priority weight in one cell", err, p.MaxPriorityShare)
	}
	objective.MaxPriorityShare = 0.05 // infeasible with 8 cells
	if _, err := Propose(demand, objective); !errors.Is(err, ErrInfeasible) {
		t.Errorf("infeasible limit: got %v", err)
	}
	if _, err := Propose(nil, objective); err == nil {
		t.Error("no error without tenants")
	}
	demand[3].Loads = demand[3].Loads[:1]
	if _, err := Propose(demand, objective); err == nil {
		t.Error("no error for a tenant with too few loads")
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
