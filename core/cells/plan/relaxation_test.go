package plan

import (
	"fmt"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// relaxation is the linear relaxation of a plan, in which a tenant may be split among cells. Its variables are the
// fraction of each tenant in each cell, the maximum load, and a slack variable for each inequality.
type relaxation struct {
	demand       []Demand
	objective    Objective
	coefficients *mat.Dense
	rightSide    []float64
	fractions    int // number of variables that are fractions of tenants
	rows         int // number of rows added so far
}

// relaxedBound returns the optimum of the relaxation, a lower bound on the maximum load of any plan. It is exact but
// slow: suitable for up to a few thousand variables.
func relaxedBound(demand []Demand, objective Objective) (float64, error) {
	tenants, cells, resources := len(demand), len(objective.Shares), len(demand[0].Loads)
	rows := tenants + cells*resources
	if objective.MaxPriorityShare > 0 {
		rows += cells
	}
	r := &relaxation{demand: demand, objective: objective, rightSide: make([]float64, rows), fractions: tenants * cells}
	variables := r.fractions + 1 + rows - tenants
	r.coefficients = mat.NewDense(rows, variables, nil)
	r.addTenants()
	r.addCells(resources)
	costs := make([]float64, variables)
	costs[r.fractions] = 1
	lowest, _, err := lp.Simplex(costs, r.coefficients, r.rightSide, 1e-9, nil)
	if err != nil {
		return 0, fmt.Errorf("relaxation: %w", err)
	}
	return lowest, nil
}

// addTenants adds a constraint for each tenant: its fractions add up to 1.
func (r *relaxation) addTenants() {
	for tenant := range r.demand {
		for cell := range r.objective.Shares {
			r.coefficients.Set(tenant, r.fraction(tenant, cell), 1)
		}
		r.rightSide[tenant] = 1
	}
	r.rows = len(r.demand)
}

// addCells adds constraints for each cell: each relative load is at most the maximum load, and the priority weight is
// at most its limit.
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
				r.coefficients.Set(r.rows, r.fraction(tenant, cell), load)
			}
			r.coefficients.Set(r.rows, r.fractions, -1)
			r.addSlack()
		}
		if r.objective.MaxPriorityShare > 0 {
			for tenant, d := range r.demand {
				r.coefficients.Set(r.rows, r.fraction(tenant, cell), d.PriorityWeight/totalPriority)
			}
			r.rightSide[r.rows] = r.objective.MaxPriorityShare
			r.addSlack()
		}
	}
}

// addSlack adds the slack variable of the current row, which completes an inequality.
func (r *relaxation) addSlack() {
	r.coefficients.Set(r.rows, r.fractions+1+r.rows-len(r.demand), 1)
	r.rows++
}

// fraction returns the index of the variable for the fraction of a tenant in a cell.
func (r *relaxation) fraction(tenant, cell int) int { return tenant*len(r.objective.Shares) + cell }
