package plan

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/floats"
)

// planner keeps the load of each cell while tenants are placed and moved.
type planner struct {
	demand        []Demand
	objective     Objective
	relativeLoad  [][]float64 // by tenant and resource: part of the total
	priorityShare []float64   // by tenant: part of the total
	cellLoad      [][]float64 // by cell and resource: part of the total
	cellPriority  []float64   // by cell: part of the total
	cellByTenant  []int       // or unassigned
}

// priorityPenalty is the cost of a cell's priority weight above its bound, per relative excess. It outweighs any load.
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
		relativeLoad:  make([][]float64, len(demand)),
		priorityShare: make([]float64, len(demand)),
		cellLoad:      make([][]float64, cells),
		cellPriority:  make([]float64, cells),
		cellByTenant:  make([]int, len(demand)),
	}
	for i := range demand {
		p.relativeLoad[i] = relativeTo(totals, demand[i].Loads)
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
		return fmt.Errorf("demand of %s: %d loads where others have %d, or cell %d of %d",
			d.Name, len(d.Loads), resources, d.CurrentCell, cells)
	}
	return nil
}

// relativeTo returns loads as parts of their totals; of a resource that nobody takes, 0.
func relativeTo(totals []float64, loads Loads) []float64 {
	relative := make([]float64, len(loads))
	for resource, load := range loads {
		if totals[resource] > 0 {
			relative[resource] = load / totals[resource]
		}
	}
	return relative
}

// placeAll puts tenants into their current cells, then those without one into the cell where they cost least.
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
		return cmp.Compare(floats.Max(p.relativeLoad[b]), floats.Max(p.relativeLoad[a]))
	})
	for _, i := range unplaced {
		p.place(i, p.cheapestCell(i))
	}
}

// place puts a tenant into a cell, out of the one that it is in.
func (p *planner) place(tenant, cell int) {
	if from := p.cellByTenant[tenant]; from != unassigned {
		floats.Sub(p.cellLoad[from], p.relativeLoad[tenant])
		p.cellPriority[from] -= p.priorityShare[tenant]
	}
	p.cellByTenant[tenant] = cell
	floats.Add(p.cellLoad[cell], p.relativeLoad[tenant])
	p.cellPriority[cell] += p.priorityShare[tenant]
}

// maxLoad returns the greatest relative load of a cell over resources.
func (p *planner) maxLoad(cell int) float64 {
	return floats.Max(p.cellLoad[cell]) / p.objective.Shares[cell] * p.totalShare()
}

func (p *planner) totalShare() float64 { return floats.Sum(p.objective.Shares) }

// cost returns what a cell would cost with one tenant more and another one less, where they are not noTenant: its
// greatest relative load, and a penalty for priority weight above its bound.
func (p *planner) cost(cell, added, removed int) float64 {
	load := 0.0
	for resource, sum := range p.cellLoad[cell] {
		if added != noTenant {
			sum += p.relativeLoad[added][resource]
		}
		if removed != noTenant {
			sum -= p.relativeLoad[removed][resource]
		}
		load = max(load, sum)
	}
	load *= p.totalShare() / p.objective.Shares[cell]
	return load + p.priorityCost(cell, added, removed)
}

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

// currentCost returns the cost of a cell as it is.
func (p *planner) currentCost(cell int) float64 { return p.cost(cell, noTenant, noTenant) }

// cheapestCell returns the cell that costs least with one tenant more.
func (p *planner) cheapestCell(tenant int) int {
	best, lowest := 0, math.Inf(1)
	for cell := range p.cellLoad {
		if cost := p.cost(cell, tenant, noTenant); cost < lowest {
			best, lowest = cell, cost
		}
	}
	return best
}

// loadLowerBound returns a load that no assignment can beat: that of even cells, and of each tenant alone in the cell
// with the greatest share.
func (p *planner) loadLowerBound() float64 {
	bound := 1.0
	widest := floats.Max(p.objective.Shares)
	for tenant := range p.relativeLoad {
		bound = max(bound, floats.Max(p.relativeLoad[tenant])*p.totalShare()/widest)
	}
	return bound
}
