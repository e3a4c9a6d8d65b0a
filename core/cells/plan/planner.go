package plan

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/floats"
)

// planner tracks the load of each cell while tenants are placed and moved.
type planner struct {
	demand        []Demand
	objective     Objective
	loadFraction  [][]float64 // by tenant and resource: fraction of the total load
	priorityShare []float64   // by tenant: fraction of the total priority weight
	cellLoad      [][]float64 // by cell and resource: fraction of the total load
	cellPriority  []float64   // by cell: fraction of the total priority weight
	cellByTenant  []int       // index of a cell, or unassigned
}

// priorityPenalty is the cost of priority weight that exceeds the limit by 100% of the limit. It is higher than the
// cost of any load, so that the limit is met first.
const priorityPenalty = 100

func newPlanner(demand []Demand, objective Objective) (*planner, error) {
	if len(objective.Shares) == 0 || len(demand) == 0 {
		return nil, errEmpty
	}
	if objective.Slack == 0 {
		objective.Slack = defaultSlack
	}
	resources, cells := len(demand[0].Loads), len(objective.Shares)
	totals, totalPriority := make([]float64, resources), 0.0
	for i := range demand {
		if err := demand[i].validate(resources, cells); err != nil {
			return nil, err
		}
		floats.Add(totals, demand[i].Loads)
		totalPriority += demand[i].PriorityWeight
	}
	p := &planner{
		demand:        demand,
		objective:     objective,
		loadFraction:  make([][]float64, len(demand)),
		priorityShare: make([]float64, len(demand)),
		cellLoad:      make([][]float64, cells),
		cellPriority:  make([]float64, cells),
		cellByTenant:  make([]int, len(demand)),
	}
	for i := range demand {
		p.loadFraction[i] = fractionsOf(totals, demand[i].Loads)
		if totalPriority > 0 {
			p.priorityShare[i] = demand[i].PriorityWeight / totalPriority
		}
		p.cellByTenant[i] = unassigned
	}
	for cell := range p.cellLoad {
		p.cellLoad[cell] = make([]float64, resources)
	}
	return p, nil
}

func (d *Demand) validate(resources, cells int) error {
	if len(d.Loads) != resources || d.CurrentCell >= cells {
		return fmt.Errorf("demand of %s: %d loads (must be %d), current cell index %d (must be below %d)",
			d.Name, len(d.Loads), resources, d.CurrentCell, cells)
	}
	return nil
}

// fractionsOf returns loads as fractions of their totals, 0 for a resource whose total is 0.
func fractionsOf(totals []float64, loads Loads) []float64 {
	fractions := make([]float64, len(loads))
	for resource, load := range loads {
		if totals[resource] > 0 {
			fractions[resource] = load / totals[resource]
		}
	}
	return fractions
}

// placeAll places tenants in their current cells. Then it places the tenants without a current cell in descending order
// of load, each in the cell where its cost is lowest.
func (p *planner) placeAll() {
	var unplaced []int
	for i := range p.demand {
		if current := p.demand[i].CurrentCell; current >= 0 {
			p.place(i, current)
		} else {
			unplaced = append(unplaced, i)
		}
	}
	slices.SortStableFunc(unplaced, func(a, b int) int {
		return cmp.Compare(floats.Max(p.loadFraction[b]), floats.Max(p.loadFraction[a]))
	})
	for _, i := range unplaced {
		p.place(i, p.cheapestCell(i))
	}
}

// place places a tenant in a cell, and removes it from its previous cell.
func (p *planner) place(tenant, cell int) {
	if from := p.cellByTenant[tenant]; from != unassigned {
		floats.Sub(p.cellLoad[from], p.loadFraction[tenant])
		p.cellPriority[from] -= p.priorityShare[tenant]
	}
	p.cellByTenant[tenant] = cell
	floats.Add(p.cellLoad[cell], p.loadFraction[tenant])
	p.cellPriority[cell] += p.priorityShare[tenant]
}

// maxLoad returns the highest relative load of a cell on any resource.
func (p *planner) maxLoad(cell int) float64 {
	return floats.Max(p.cellLoad[cell]) / p.objective.Shares[cell] * p.totalShare()
}

func (p *planner) totalShare() float64 { return floats.Sum(p.objective.Shares) }

// cost returns the cost of a cell after one tenant is added and another removed. Each of them may be noTenant. The cost
// is the highest relative load on any resource, plus a penalty for priority weight above the limit.
func (p *planner) cost(cell, added, removed int) float64 {
	load := 0.0
	for resource, sum := range p.cellLoad[cell] {
		if added != noTenant {
			sum += p.loadFraction[added][resource]
		}
		if removed != noTenant {
			sum -= p.loadFraction[removed][resource]
		}
		load = max(load, sum)
	}
	load *= p.totalShare() / p.objective.Shares[cell]
	return load + p.priorityCost(cell, added, removed)
}

// priorityCost returns the penalty for priority weight above the limit, after one tenant is added and another removed.
func (p *planner) priorityCost(cell, added, removed int) float64 {
	priority := p.cellPriority[cell]
	if added != noTenant {
		priority += p.priorityShare[added]
	}
	if removed != noTenant {
		priority -= p.priorityShare[removed]
	}
	limit := p.objective.MaxPriorityShare
	if limit <= 0 || priority <= limit+1e-12 {
		return 0
	}
	return priorityPenalty * (priority - limit) / limit
}

// currentCost returns the cost of a cell with its current tenants.
func (p *planner) currentCost(cell int) float64 { return p.cost(cell, noTenant, noTenant) }

// cheapestCell returns the cell with the lowest cost after a tenant is added.
func (p *planner) cheapestCell(tenant int) int {
	best, lowest := 0, math.Inf(1)
	for cell := range p.cellLoad {
		if cost := p.cost(cell, tenant, noTenant); cost < lowest {
			best, lowest = cell, cost
		}
	}
	return best
}

// loadLowerBound returns a lower bound on the maximum load of all assignments. It is the load of perfectly balanced
// cells, or, if higher, the load of the cell with the largest share when it contains only the largest tenant.
func (p *planner) loadLowerBound() float64 {
	bound := 1.0
	largestShare := floats.Max(p.objective.Shares)
	for tenant := range p.loadFraction {
		bound = max(bound, floats.Max(p.loadFraction[tenant])*p.totalShare()/largestShare)
	}
	return bound
}
