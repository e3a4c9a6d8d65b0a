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
	Name  string
	Loads Loads
	Worth float64 // earned a second
	Now   int     // its cell at present; -1: none
}

// Aim is what a plan is made for.
type Aim struct {
	Shares    []float64 // of the cells
	MostWorth float64   // blast radius: the greatest part of all worth that one cell may hold; 0: any
	MostMoves int       // tenants that may change their cell; below 0: any number
	Slack     float64   // worst load over its bound past which a further move is worth while; 0.02 if 0
	Seed      uint64
}

// Plan is an assignment. Loads are relative: 1 is a cell that has of some resource just its share of the total.
type Plan struct {
	Cell      []int
	Worst     float64 // greatest relative load of a cell
	Bound     float64 // no assignment has a lower one
	Moves     int
	MostWorth float64 // greatest part of all worth in one cell
}

// ErrNoPlan is wrapped by the error for an aim that no assignment was found for.
var ErrNoPlan = errors.New("no assignment keeps the bound on worth")

// planner keeps the load of each cell while tenants are placed and moved.
type planner struct {
	demand []Demand
	rel    [][]float64 // by tenant and resource: part of the total
	worth  []float64   // part of the total
	aim    Aim
	load   [][]float64 // by cell and resource
	held   []float64   // worth by cell
	cell   []int
}

// Make proposes an assignment: the present one mended by as few moves as it takes, or where tenants have no cell, the
// heaviest first to where it hurts least; then single moves and swaps out of the worst cell while they help.
func Make(demand []Demand, aim Aim) (Plan, error) {
	if len(aim.Shares) == 0 || len(demand) == 0 {
		return Plan{}, errors.New("no cells or no tenants")
	}
	p := &planner{demand: demand, aim: aim, cell: make([]int, len(demand)), held: make([]float64, len(aim.Shares)), worth: make([]float64, len(demand))}
	if p.aim.Slack == 0 {
		p.aim.Slack = 0.02
	}
	resources := len(demand[0].Loads)
	totals, worth := make([]float64, resources), 0.0
	for i, d := range demand {
		if len(d.Loads) != resources || d.Now >= len(aim.Shares) {
			return Plan{}, fmt.Errorf("demand of %s: %d loads where others have %d, or cell %d of %d", d.Name, len(d.Loads), resources, d.Now, len(aim.Shares))
		}
		floats.Add(totals, demand[i].Loads)
		worth += d.Worth
	}
	for i, d := range demand {
		rel := make([]float64, resources)
		for r, l := range d.Loads {
			if totals[r] > 0 {
				rel[r] = l / totals[r]
			}
		}
		p.rel = append(p.rel, rel)
		if worth > 0 {
			p.worth[i] = d.Worth / worth
		}
		p.cell[i] = -1
	}
	for range aim.Shares {
		p.load = append(p.load, make([]float64, resources))
	}
	var homeless []int
	for i, d := range demand {
		if d.Now >= 0 {
			p.put(i, d.Now)
		} else {
			homeless = append(homeless, i)
		}
	}
	slices.SortStableFunc(homeless, func(a, b int) int { return cmp.Compare(floats.Max(p.rel[b]), floats.Max(p.rel[a])) })
	for _, i := range homeless {
		p.put(i, p.best(i))
	}
	bound := p.bound()
	p.search(bound)
	out := Plan{Cell: p.cell, Bound: bound, MostWorth: floats.Max(p.held)}
	for i, d := range demand {
		if d.Now >= 0 && d.Now != p.cell[i] {
			out.Moves++
		}
	}
	for c := range p.load {
		out.Worst = max(out.Worst, p.worst(c))
	}
	if aim.MostWorth > 0 && out.MostWorth > aim.MostWorth+1e-9 {
		return out, fmt.Errorf("%w: a cell holds %.3f of it, %.3f at most", ErrNoPlan, out.MostWorth, aim.MostWorth)
	}
	return out, nil
}

func (p *planner) put(i, c int) {
	if from := p.cell[i]; from >= 0 {
		floats.Sub(p.load[from], p.rel[i])
		p.held[from] -= p.worth[i]
	}
	p.cell[i] = c
	floats.Add(p.load[c], p.rel[i])
	p.held[c] += p.worth[i]
}

// worst is the greatest relative load of a cell.
func (p *planner) worst(c int) float64 { return floats.Max(p.load[c]) / p.aim.Shares[c] * p.sum() }

func (p *planner) sum() float64 { return floats.Sum(p.aim.Shares) }

// cost of a cell with a tenant more (or one exchanged for another); worth past its bound weighs most.
func (p *planner) cost(c, in, out int) float64 {
	most := 0.0
	for r, l := range p.load[c] {
		if in >= 0 {
			l += p.rel[in][r]
		}
		if out >= 0 {
			l -= p.rel[out][r]
		}
		most = max(most, l)
	}
	most *= p.sum() / p.aim.Shares[c]
	held := p.held[c]
	if in >= 0 {
		held += p.worth[in]
	}
	if out >= 0 {
		held -= p.worth[out]
	}
	if p.aim.MostWorth > 0 && held > p.aim.MostWorth+1e-12 {
		most += 100 * (held - p.aim.MostWorth) / p.aim.MostWorth
	}
	return most
}

func (p *planner) best(i int) int {
	best, least := 0, math.Inf(1)
	for c := range p.load {
		if cost := p.cost(c, i, -1); cost < least {
			best, least = c, cost
		}
	}
	return best
}

// bound is what no assignment can beat: the even one, and each tenant alone in the cell that bears it best.
func (p *planner) bound() float64 {
	bound := 1.0
	widest := floats.Max(p.aim.Shares)
	for i := range p.rel {
		bound = max(bound, floats.Max(p.rel[i])*p.sum()/widest)
	}
	return bound
}

// search takes the worst cell again and again and moves the tenant out of it, or swaps two, that helps most for one
// move. It ends within the slack over the bound, when moves are used up, or when nothing helps.
func (p *planner) search(bound float64) {
	rng := rand.New(rand.NewPCG(p.aim.Seed, 0x91a2))
	in := make([][]int, len(p.load))
	for i, c := range p.cell {
		in[c] = append(in[c], i)
	}
	moved := func(i, to int) int { // moves more than before if i went there
		now := p.demand[i].Now
		if now < 0 || p.cell[i] == to {
			return 0
		}
		switch now {
		case p.cell[i]:
			return 1
		case to:
			return -1
		}
		return 0
	}
	moves := 0
	for range 20 * len(p.demand) {
		worst, most := 0, 0.0
		for c := range p.load {
			if cost := p.cost(c, -1, -1); cost > most {
				worst, most = c, cost
			}
		}
		if most <= bound*(1+p.aim.Slack) {
			return
		}
		left := math.MaxInt
		if p.aim.MostMoves >= 0 {
			left = p.aim.MostMoves - moves
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
		targets := make([]int, 0, len(p.load))
		for c := range p.load {
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
			p.put(i, to)
			in[from] = slices.DeleteFunc(in[from], func(o int) bool { return o == i })
			in[to] = append(in[to], i)
		}
		shift(best.out, worst, best.to)
		if best.in >= 0 {
			shift(best.in, best.to, worst)
		}
	}
}

// Relaxed solves the linear relaxation, in which a tenant may be spread over cells: the least worst load that any plan
// for the aim can have. It is exact and slow: for some thousand variables at most.
func Relaxed(demand []Demand, aim Aim) (float64, error) {
	n, cells, resources := len(demand), len(aim.Shares), len(demand[0].Loads)
	totals, worth := make([]float64, resources), 0.0
	for _, d := range demand {
		floats.Add(totals, d.Loads)
		worth += d.Worth
	}
	// Variables: n*cells parts, the worst load, then a slack for each inequality.
	rows := n + cells*resources
	if aim.MostWorth > 0 {
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
		if aim.MostWorth > 0 {
			for i, d := range demand {
				a.Set(row, i*cells+j, d.Worth/worth)
			}
			b[row] = aim.MostWorth
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
