// Package plan proposes an assignment of tenants to cells, with even loads, a limit on the fraction of the total
// priority weight in one cell, and few migrations. It does no I/O. Random numbers come from a seed.
package plan

import (
	"errors"
	"fmt"

	"gonum.org/v1/gonum/floats"
)

// Loads is the load of a tenant on each resource, such as requests, KB sent and KB filled per second. All tenants have
// the same resources in the same order. Units do not matter, because each load is divided by the total of its resource.
type Loads []float64

// Demand is the demand of one tenant.
type Demand struct {
	Name           string
	Loads          Loads
	PriorityWeight float64 // per second
	CurrentCell    int     // index of a cell; negative: the tenant has no cell yet
}

// Objective states what a plan must achieve: loads in proportion to the shares of cells, within these limits.
type Objective struct {
	Shares           []float64 // share of each cell
	MaxPriorityShare float64   // blast radius: maximum fraction of the total priority weight in a cell; 0: no limit
	MaxMigrations    int       // maximum number of tenants that leave their current cell; negative: no limit
	Slack            float64   // fraction by which the maximum load may exceed its lower bound; 0: defaultSlack
	Seed             uint64
}

// defaultSlack is the slack for an Objective that sets none. No tenant is moved while the maximum load exceeds its
// lower bound by at most this fraction.
const defaultSlack = 0.02

// Plan is an assignment of tenants to cells. Loads are relative: a load of 1 is exactly the cell's share of a resource.
type Plan struct {
	CellByTenant      []int   // index of a cell by tenant
	MaxLoad           float64 // highest relative load of any cell and resource
	MaxLoadLowerBound float64 // lower bound on MaxLoad of all assignments
	Migrations        int     // number of tenants that leave their current cell
	MaxPriorityShare  float64 // highest fraction of the total priority weight in one cell
}

// ErrInfeasible is wrapped by the error that Propose returns if it finds no assignment within the limit on the priority
// weight ("worth") of a cell.
var ErrInfeasible = errors.New("no assignment keeps the bound on worth")

// errEmpty is the error for an objective without cells or a demand without tenants.
var errEmpty = errors.New("no cells or no tenants")

// unassigned is the cell index of a tenant without a cell.
const unassigned = -1

// Propose returns a plan for a demand and an objective. It starts from the current cells. Tenants without a cell are
// placed in descending order of load, each in the cell where its cost is lowest. Then tenants are moved or swapped out
// of the cell with the highest cost, for as long as this reduces that cost. If the error is ErrInfeasible, the returned
// plan is the best that was found. Other errors are for invalid arguments.
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
		return plan, fmt.Errorf("%w: a cell has the fraction %.3f of the total priority weight, the limit is %.3f",
			ErrInfeasible, plan.MaxPriorityShare, limit)
	}
	return plan, nil
}

// result returns the current placement as a plan.
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
