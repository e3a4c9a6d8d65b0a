// Package plan proposes which cell each tenant should have: even loads, a bound on the part of the priority weight that
// one cell holds, and few migrations. It does no I/O; random numbers come from a seed.
package plan

import (
	"errors"
	"fmt"

	"gonum.org/v1/gonum/floats"
)

// Loads are what a tenant takes of each resource, such as requests, KB sent and KB filled per second. All tenants have
// the same resources in the same order. Units do not matter, as each load is divided by the total of its resource.
type Loads []float64

// Demand is one tenant's.
type Demand struct {
	Name           string
	Loads          Loads
	PriorityWeight float64 // per second
	CurrentCell    int     // index of a cell; negative: the tenant has none yet
}

// Objective says what a plan is to achieve.
type Objective struct {
	Shares           []float64 // of the cells
	MaxPriorityShare float64   // blast radius: greatest part of all priority weight that a cell may hold; 0: any
	MaxMigrations    int       // tenants that may leave their current cell; negative: any number
	Slack            float64   // excess of the greatest load over its bound that is accepted; 0: defaultSlack
	Seed             uint64
}

// defaultSlack is the relative excess of the greatest load over its bound below which no tenant is moved.
const defaultSlack = 0.02

// Plan is an assignment of tenants to cells. Loads are relative: 1 is a cell that has just its share of a resource.
type Plan struct {
	CellByTenant      []int
	MaxLoad           float64 // greatest relative load of a cell
	MaxLoadLowerBound float64 // no assignment has a lower MaxLoad
	Migrations        int     // tenants that leave their current cell
	MaxPriorityShare  float64 // greatest part of all priority weight in one cell
}

// ErrInfeasible is wrapped by the error for an objective that no assignment was found for.
var ErrInfeasible = errors.New("no assignment keeps the bound on worth")

// errEmpty is the error for an objective without cells, or a demand without tenants.
var errEmpty = errors.New("no cells or no tenants")

// unassigned is the cell of a tenant that has none.
const unassigned = -1

// Propose returns a plan: it starts from the current cells, gives tenants without one the cell where they cost least,
// the greatest loads first, then moves or swaps tenants out of the most expensive cell while that helps. With
// ErrInfeasible the plan is the best that was found.
func Propose(demand []Demand, objective Objective) (Plan, error) {
	p, err := newPlanner(demand, objective)
	if err != nil {
		return Plan{}, err
	}
	p.placeAll()
	bound := p.loadLowerBound()
	newSearch(p).run(bound)
	plan := p.result(bound)
	if limit := objective.MaxPriorityShare; limit > 0 && plan.MaxPriorityShare > limit+1e-9 {
		return plan, fmt.Errorf("%w: a cell holds %.3f of it, %.3f at most", ErrInfeasible, plan.MaxPriorityShare, limit)
	}
	return plan, nil
}

// result describes the present placement.
func (p *planner) result(bound float64) Plan {
	plan := Plan{
		CellByTenant:      p.cellByTenant,
		MaxLoadLowerBound: bound,
		MaxPriorityShare:  floats.Max(p.cellPriority),
	}
	for i := range p.demand {
		if current := p.demand[i].CurrentCell; current >= 0 && current != p.cellByTenant[i] {
			plan.Migrations++
		}
	}
	for cell := range p.cellLoad {
		plan.MaxLoad = max(plan.MaxLoad, p.maxLoad(cell))
	}
	return plan
}
