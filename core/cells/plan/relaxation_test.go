package plan

import (
	"fmt"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// relaxedBound solves the linear relaxation, in which a tenant may be spread over cells: the least worst load that any plan
// for the aim can have. It is exact and slow: for some thousand variables at most.
func relaxedBound(demand []Demand, aim Objective) (float64, error) {
	n, cells, resources := len(demand), len(aim.Shares), len(demand[0].Loads)
	totals, worth := make([]float64, resources), 0.0
	for _, d := range demand {
		floats.Add(totals, d.Loads)
		worth += d.PriorityWeight
	}
	// Variables: n*cells parts, the worst load, then a slack for each inequality.
	rows := n + cells*resources
	if aim.MaxPriorityShare > 0 {
		rows += cells
	}
	parts := n * cells
	vars := parts + 1 + rows - n
	a, b, c := mat.NewDense(rows, vars, nil), make([]float64, rows), make([]float64, vars)
	c[parts] = 1
	for i := range n {
		for j := range cells {
			a.Set(i, i*cells+j, 1)
		}
		b[i] = 1
	}
	row, sum := n, floats.Sum(aim.Shares)
	for j := range cells {
		for r := range resources {
			for i, d := range demand {
				a.Set(row, i*cells+j, d.Loads[r]/totals[r]*sum/aim.Shares[j])
			}
			a.Set(row, parts, -1)
			a.Set(row, parts+1+row-n, 1)
			row++
		}
		if aim.MaxPriorityShare > 0 {
			for i, d := range demand {
				a.Set(row, i*cells+j, d.PriorityWeight/worth)
			}
			b[row] = aim.MaxPriorityShare
			a.Set(row, parts+1+row-n, 1)
			row++
		}
	}
	best, _, err := lp.Simplex(c, a, b, 1e-9, nil)
	if err != nil {
		return 0, fmt.Errorf("relaxation: %w", err)
	}
	return best, nil
}
