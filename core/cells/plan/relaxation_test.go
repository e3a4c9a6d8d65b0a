package plan

import (
	"fmt"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// relaxation is the linear relaxation of a plan, in which a tenant may be spread over cells. Its variables are the part
// of each tenant in each cell, the greatest load, and a slack for each inequality.
type relaxation struct {
	demand       []Demand
	objective    Objective
	coefficients *mat.Dense
	rightSide    []float64
	parts        int // variables that are parts of tenants
	rows         int // filled in so far
}

// relaxedBound returns the lowest greatest load that any plan can have. It is exact and slow: for some thousand
// variables at most.
func relaxedBound(demand []Demand, objective Objective) (float64, error) {
	tenants, cells, resources := len(demand), len(objective.Shares), len(demand[0].Loads)
	rows := tenants + cells*resources
	if objective.MaxPriorityShare > 0 {
		rows += cells
	}
	r := &relaxation{demand: demand, objective: objective, rightSide: make([]float64, rows), parts: tenants * cells}
	variables := r.parts + 1 + rows - tenants
	r.coefficients = mat.NewDense(rows, variables, nil)
	r.addTenants()
	r.addCells(resources)
	costs := make([]float64, variables)
	costs[r.parts] = 1
	lowest, _, err := lp.Simplex(costs, r.coefficients, r.rightSide, 1e-9, nil)
	if err != nil {
		return 0, fmt.Errorf("relaxation: %w", err)
	}
	return lowest, nil
}

// addTenants adds, for each tenant, that its parts add up to 1.
func (r *relaxation) addTenants() {
	for tenant := range r.demand {
		for cell := range r.objective.Shares {
			r.coefficients.Set(tenant, r.part(tenant, cell), 1)
		}
		r.rightSide[tenant] = 1
	}
	r.rows = len(r.demand)
}

// addCells adds, for each cell, that no relative load is above the greatest, and the bound on priority weight.
func (r *relaxation) addCells(resources int) {
	totals, totalPriority := make([]float64, resources), 0.0
	for _, d := range r.demand {
		floats.Add(totals, d.Loads)
		totalPriority += d.PriorityWeight
	}
	shares := floats.Sum(r.objective.Shares)
	for cell, share := range r.objective.Shares {
		for resource := range resources {
			for tenant, d := range r.demand {
				load := d.Loads[resource] / totals[resource] * shares / share
				r.coefficients.Set(r.rows, r.part(tenant, cell), load)
			}
			r.coefficients.Set(r.rows, r.parts, -1)
			r.addSlack()
		}
		if r.objective.MaxPriorityShare > 0 {
			for tenant, d := range r.demand {
				r.coefficients.Set(r.rows, r.part(tenant, cell), d.PriorityWeight/totalPriority)
			}
			r.rightSide[r.rows] = r.objective.MaxPriorityShare
			r.addSlack()
		}
	}
}

// addSlack ends an inequality.
func (r *relaxation) addSlack() {
	r.coefficients.Set(r.rows, r.parts+1+r.rows-len(r.demand), 1)
	r.rows++
}

func (r *relaxation) part(tenant, cell int) int { return tenant*len(r.objective.Shares) + cell }
