// Package plan proposes which cell each tenant should have: even loads, a bound on what one cell may hold of all worth, and
// few tenants moved. It does no I/O; random numbers come from a seed.
package plan

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// Loads are what a tenant takes, by resource: sent, filled, asked. All tenants name the same resources in the same
// order; units do not matter, since each is weighed against its total.
type Loads []float64

// Demand is a tenant as the planner sees it.
type Demand struct {
	Name           string
	Loads          Loads
	PriorityWeight float64 // earned a second
	CurrentCell    int     // its cell at present; -1: none
}

// Objective is what a plan is made for.
type Objective struct {
	Shares           []float64 // of the cells
	MaxPriorityShare float64   // blast radius: the greatest part of all worth that one cell may hold; 0: any
	MaxMigrations    int       // tenants that may change their cell; below 0: any number
	Slack            float64   // worst load over its bound past which a further move is worth while; 0.02 if 0
	Seed             uint64
}

// Plan is an assignment. Loads are relative: 1 is a cell that has of some resource just its share of the total.
type Plan struct {
	CellByTenant      []int
	MaxLoad           float64 // greatest relative load of a cell
	MaxLoadLowerBound float64 // no assignment has a lower one
	Migrations        int
	MaxPriorityShare  float64 // greatest part of all worth in one cell
}

// ErrInfeasible is wrapped by the error for an aim that no assignment was found for.
var ErrInfeasible = errors.New("no assignment keeps the bound on worth")

// planner keeps the load of each cell while tenants are placed and moved.
type planner struct {
	demand        []Demand
	relativeLoad  [][]float64 // by tenant and resource: part of the total
	priorityShare []float64   // part of the total
	objective     Objective
	cellLoad      [][]float64 // by cell and resource
	cellPriority  []float64   // worth by cell
	cellByTenant  []int
}

// Propose proposes an assignment: the present one mended by as few moves as it takes, or where tenants have no cell, the
// heaviest first to where it hurts least; then single moves and swaps out of the worst cell while they help.
func Propose(demand []Demand, aim Objective) (Plan, error) {
	if len(aim.Shares) == 0 || len(demand) == 0 {
		return Plan{}, errors.New("no cells or no tenants")
	}
	p := &planner{demand: demand, objective: aim, cellByTenant: make([]int, len(demand)), cellPriority: make([]float64, len(aim.Shares)), priorityShare: make([]float64, len(demand))}
	if p.objective.Slack == 0 {
		p.objective.Slack = 0.02
	}
	resources := len(demand[0].Loads)
	totals, worth := make([]float64, resources), 0.0
	for i, d := range demand {
		if len(d.Loads) != resources || d.CurrentCell >= len(aim.Shares) {
			return Plan{}, fmt.Errorf("demand of %s: %d loads where others have %d, or cell %d of %d", d.Name, len(d.Loads), resources, d.CurrentCell, len(aim.Shares))
		}
		floats.Add(totals, demand[i].Loads)
		worth += d.PriorityWeight
	}
	for i, d := range demand {
		rel := make([]float64, resources)
		for r, l := range d.Loads {
			if totals[r] > 0 {
				rel[r] = l / totals[r]
			}
		}
		p.relativeLoad = append(p.relativeLoad, rel)
		if worth > 0 {
			p.priorityShare[i] = d.PriorityWeight / worth
		}
		p.cellByTenant[i] = -1
	}
	for range aim.Shares {
		p.cellLoad = append(p.cellLoad, make([]float64, resources))
	}
	var homeless []int
	for i, d := range demand {
		if d.CurrentCell >= 0 {
			p.place(i, d.CurrentCell)
		} else {
			homeless = append(homeless, i)
		}
	}
	slices.SortStableFunc(homeless, func(a, b int) int { return cmp.Compare(floats.Max(p.relativeLoad[b]), floats.Max(p.relativeLoad[a])) })
	for _, i := range homeless {
		p.place(i, p.cheapestCell(i))
	}
	bound := p.loadLowerBound()
	p.search(bound)
	out := Plan{CellByTenant: p.cellByTenant, MaxLoadLowerBound: bound, MaxPriorityShare: floats.Max(p.cellPriority)}
	for i, d := range demand {
		if d.CurrentCell >= 0 && d.CurrentCell != p.cellByTenant[i] {
			out.Migrations++
		}
	}
	for c := range p.cellLoad {
		out.MaxLoad = max(out.MaxLoad, p.maxLoad(c))
	}
	if aim.MaxPriorityShare > 0 && out.MaxPriorityShare > aim.MaxPriorityShare+1e-9 {
		return out, fmt.Errorf("%w: a cell holds %.3f of it, %.3f at most", ErrInfeasible, out.MaxPriorityShare, aim.MaxPriorityShare)
	}
	return out, nil
}

func (p *planner) place(i, c int) {
	if from := p.cellByTenant[i]; from >= 0 {
		floats.Sub(p.cellLoad[from], p.relativeLoad[i])
		p.cellPriority[from] -= p.priorityShare[i]
	}
	p.cellByTenant[i] = c
	floats.Add(p.cellLoad[c], p.relativeLoad[i])
	p.cellPriority[c] += p.priorityShare[i]
}

// maxLoad is the greatest relative load of a cell.
func (p *planner) maxLoad(c int) float64 {
	return floats.Max(p.cellLoad[c]) / p.objective.Shares[c] * p.totalShare()
}

func (p *planner) totalShare() float64 { return floats.Sum(p.objective.Shares) }

// cost of a cell with a tenant more (or one exchanged for another); worth past its bound weighs most.
func (p *planner) cost(c, in, out int) float64 {
	most := 0.0
	for r, l := range p.cellLoad[c] {
		if in >= 0 {
			l += p.relativeLoad[in][r]
		}
		if out >= 0 {
			l -= p.relativeLoad[out][r]
		}
		most = max(most, l)
	}
	most *= p.totalShare() / p.objective.Shares[c]
	held := p.cellPriority[c]
	if in >= 0 {
		held += p.priorityShare[in]
	}
	if out >= 0 {
		held -= p.priorityShare[out]
	}
	if p.objective.MaxPriorityShare > 0 && held > p.objective.MaxPriorityShare+1e-12 {
		most += 100 * (held - p.objective.MaxPriorityShare) / p.objective.MaxPriorityShare
	}
	return most
}

func (p *planner) cheapestCell(i int) int {
	best, least := 0, math.Inf(1)
	for c := range p.cellLoad {
		if cost := p.cost(c, i, -1); cost < least {
			best, least = c, cost
		}
	}
	return best
}

// loadLowerBound is what no assignment can beat: the even one, and each tenant alone in the cell that bears it best.
func (p *planner) loadLowerBound() float64 {
	bound := 1.0
	widest := floats.Max(p.objective.Shares)
	for i := range p.relativeLoad {
		bound = max(bound, floats.Max(p.relativeLoad[i])*p.totalShare()/widest)
	}
	return bound
}

// search takes the worst cell again and again and moves the tenant out of it, or swaps two, that helps most for one
// move. It ends within the slack over the bound, when moves are used up, or when nothing helps.
func (p *planner) search(bound float64) {
	rng := rand.New(rand.NewPCG(p.objective.Seed, 0x91a2))
	in := make([][]int, len(p.cellLoad))
	for i, c := range p.cellByTenant {
		in[c] = append(in[c], i)
	}
	moved := func(i, to int) int { // moves more than before if i went there
		now := p.demand[i].CurrentCell
		if now < 0 || p.cellByTenant[i] == to {
			return 0
		}
		switch now {
		case p.cellByTenant[i]:
			return 1
		case to:
			return -1
		}
		return 0
	}
	moves := 0
	for range 20 * len(p.demand) {
		worst, most := 0, 0.0
		for c := range p.cellLoad {
			if cost := p.cost(c, -1, -1); cost > most {
				worst, most = c, cost
			}
		}
		if most <= bound*(1+p.objective.Slack) {
			return
		}
		left := math.MaxInt
		if p.objective.MaxMigrations >= 0 {
			left = p.objective.MaxMigrations - moves
		}
		type change struct{ out, to, in int }
		best, gain, price := change{-1, 0, -1}, 1e-9, 0
		look := func(ch change) {
			n := moved(ch.out, ch.to)
			if ch.in >= 0 {
				n += moved(ch.in, worst)
			}
			if n > left {
				return
			}
			after := max(p.cost(worst, ch.in, ch.out), p.cost(ch.to, ch.out, ch.in))
			if g := (most - after) / float64(max(n, 0)+1); g > gain {
				best, gain, price = ch, g, n
			}
		}
		// Cells with the least load are where a tenant can go; a sample of their tenants is what can come back.
		targets := make([]int, 0, len(p.cellLoad))
		for c := range p.cellLoad {
			if c != worst {
				targets = append(targets, c)
			}
		}
		slices.SortFunc(targets, func(a, b int) int {
			return cmp.Or(cmp.Compare(p.cost(a, -1, -1), p.cost(b, -1, -1)), cmp.Compare(a, b))
		})
		for _, out := range in[worst] {
			for _, to := range targets[:min(4, len(targets))] {
				look(change{out, to, -1})
			}
		}
		if best.out < 0 {
			for _, to := range targets[:min(4, len(targets))] {
				for range min(32, len(in[to])) {
					back := in[to][rng.IntN(len(in[to]))]
					for range min(32, len(in[worst])) {
						look(change{in[worst][rng.IntN(len(in[worst]))], to, back})
					}
				}
			}
		}
		if best.out < 0 {
			return
		}
		moves += price
		shift := func(i, from, to int) {
			p.place(i, to)
			in[from] = slices.DeleteFunc(in[from], func(o int) bool { return o == i })
			in[to] = append(in[to], i)
		}
		shift(best.out, worst, best.to)
		if best.in >= 0 {
			shift(best.in, best.to, worst)
		}
	}
}

// RelaxedBound solves the linear relaxation, in which a tenant may be spread over cells: the least worst load that any plan
// for the aim can have. It is exact and slow: for some thousand variables at most.
func RelaxedBound(demand []Demand, aim Objective) (float64, error) {
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
