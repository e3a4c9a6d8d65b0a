package hierarchy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// randomProblem returns a problem with limited capacity of groups, links or the origin.
func randomProblem(rng *rand.Rand, sites, groups int) *Problem {
	p := &Problem{RejectionCost: 1000, OriginCapacity: 1e9}
	total := 0.0
	for range sites {
		demand := float64(20 + rng.IntN(400))
		total += demand
		p.Demand = append(p.Demand, demand)
		var capacity, rtt []float64
		for range groups {
			linkCapacity := 0.0
			if rng.IntN(4) > 0 {
				linkCapacity = float64(20 + rng.IntN(500))
			}
			capacity = append(capacity, linkCapacity)
			rtt = append(rtt, float64(1+rng.IntN(60)))
		}
		p.LinkCapacity = append(p.LinkCapacity, capacity)
		p.LinkRTT = append(p.LinkRTT, rtt)
		p.DirectCapacity = append(p.DirectCapacity, float64(rng.IntN(3)*50))
		p.DirectRTT = append(p.DirectRTT, 80)
	}
	for range groups {
		p.Capacity = append(p.Capacity, total/float64(groups)*(0.1+1.5*rng.Float64()))
		p.OriginFraction = append(p.OriginFraction, 0.2+0.8*rng.Float64())
	}
	if rng.IntN(2) == 0 { // objects have homes
		p.OffHomeOriginFraction = 0.5 + rng.Float64()/2
		sum := 0.0
		for range groups {
			p.HomeFraction = append(p.HomeFraction, rng.Float64())
			p.OriginRTT = append(p.OriginRTT, float64(rng.IntN(60)))
			sum += p.HomeFraction[len(p.HomeFraction)-1]
		}
		for group := range p.HomeFraction {
			p.HomeFraction[group] /= sum
		}
	}
	if rng.IntN(4) > 0 {
		p.OriginCapacity = total * rng.Float64() * 0.6
	}
	return p
}

// Values of variable.group for a flow that does not go to a group.
const (
	toOrigin = -1
	rejected = -2
)

// variable is a flow in the linear program.
type variable struct {
	site, group int  // group may also be toOrigin or rejected
	offHome     bool // whether the flow is for objects whose home is not group
}

// variables returns the flows of a problem and the cost per unit of each.
func variables(p *Problem) (vars []variable, cost []float64) {
	add := func(v variable, c float64) {
		vars = append(vars, v)
		cost = append(cost, c)
	}
	for site := range p.Demand {
		for group, capacity := range p.LinkCapacity[site] {
			if capacity == 0 {
				continue
			}
			rtt := p.LinkRTT[site][group]
			add(variable{site, group, false}, rtt+p.originRTT(group)*p.OriginFraction[group])
			if p.HomeFraction != nil {
				add(variable{site, group, true}, rtt+p.originRTT(group)*p.offHomeOriginFraction(group))
			}
		}
		add(variable{site, toOrigin, false}, p.DirectRTT[site])
		add(variable{site, rejected, false}, p.RejectionCost)
	}
	return vars, cost
}

// originLoadOf returns the load on the origin per unit of a flow.
func originLoadOf(p *Problem, v variable) float64 {
	switch {
	case v.offHome:
		return p.offHomeOriginFraction(v.group)
	case v.group >= 0:
		return p.OriginFraction[v.group]
	case v.group == toOrigin:
		return 1
	}
	return 0
}

// inequalities returns the upper bounds of a problem. For each bound, rows has a row with the factors of the variables.
func inequalities(p *Problem, vars []variable) (rows [][]float64, bounds []float64) {
	add := func(bound float64, factor func(v variable) float64) {
		row := make([]float64, len(vars))
		for k, v := range vars {
			row[k] = factor(v)
		}
		rows = append(rows, row)
		bounds = append(bounds, bound)
	}
	for group := range p.Capacity {
		add(p.Capacity[group], func(v variable) float64 { return indicator(v.group == group) })
	}
	add(p.OriginCapacity, func(v variable) float64 { return originLoadOf(p, v) })
	for _, v := range vars {
		switch {
		case v.group == toOrigin:
			add(p.DirectCapacity[v.site], func(o variable) float64 { return indicator(o == v) })
		case v.group >= 0 && !v.offHome:
			add(p.LinkCapacity[v.site][v.group], func(o variable) float64 {
				return indicator(o.site == v.site && o.group == v.group)
			})
			if p.HomeFraction != nil {
				add(p.Demand[v.site]*p.HomeFraction[v.group], func(o variable) float64 { return indicator(o == v) })
			}
		}
	}
	return rows, bounds
}

func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// linearOptimum returns the minimum cost, computed with gonum's simplex algorithm.
func linearOptimum(t testing.TB, p *Problem) float64 {
	vars, cost := variables(p)
	rows, bounds := inequalities(p, vars)
	// Standard form: one slack variable for each bound, and one equation for each site's demand.
	n, m := len(vars), len(rows)
	all := mat.NewDense(m+len(p.Demand), n+m, nil)
	for r := range rows {
		for k, factor := range rows[r] {
			all.Set(r, k, factor)
		}
		all.Set(r, n+r, 1)
	}
	b := append([]float64(nil), bounds...)
	for site, demand := range p.Demand {
		for k, v := range vars {
			all.Set(m+site, k, indicator(v.site == site))
		}
		b = append(b, demand)
	}
	optimum, _, err := lp.Simplex(append(cost, make([]float64, m)...), all, b, 1e-8, nil)
	if err != nil {
		t.Fatal(err)
	}
	return optimum
}

// checkAllocation returns an error for the first bound of the problem that an allocation violates.
func checkAllocation(p *Problem, a *Allocation) error {
	const tolerance = 1e-6
	sent, originLoad := make([]float64, len(p.Capacity)), 0.0
	for site := range p.Demand {
		sum := a.Direct[site] + a.Rejected[site]
		originLoad += a.Direct[site]
		if a.Direct[site] > p.DirectCapacity[site]+tolerance || a.Rejected[site] < -tolerance {
			return fmt.Errorf("site %d: %v KB/s direct, %v KB/s rejected", site, a.Direct[site], a.Rejected[site])
		}
		for group, amount := range a.ToGroup[site] {
			if amount < -tolerance || amount > p.LinkCapacity[site][group]+tolerance {
				return fmt.Errorf("site %d, group %d: %v KB/s, link capacity %v KB/s",
					site, group, amount, p.LinkCapacity[site][group])
			}
			sum += amount
			sent[group] += amount
			home := a.ToHomeGroup[site][group]
			aboveHome := p.HomeFraction != nil && home > p.Demand[site]*p.HomeFraction[group]+unitKBPerS+tolerance
			if home > amount+tolerance || aboveHome {
				return fmt.Errorf("site %d, group %d: %v of %v KB/s for home objects, demand %v KB/s",
					site, group, home, amount, p.Demand[site])
			}
			originLoad += home*p.OriginFraction[group] + (amount-home)*p.offHomeOriginFraction(group)
		}
		if math.Abs(sum-p.Demand[site]) > unitKBPerS+tolerance {
			return fmt.Errorf("site %d: %v KB/s allocated, demand %v KB/s", site, sum, p.Demand[site])
		}
	}
	for group := range sent {
		if sent[group] > p.Capacity[group]+tolerance {
			return fmt.Errorf("group %d: %v KB/s, capacity %v KB/s", group, sent[group], p.Capacity[group])
		}
	}
	if originLoad > p.OriginCapacity+tolerance || math.Abs(originLoad-a.OriginLoad) > tolerance*(1+originLoad) {
		return fmt.Errorf("origin: load %v KB/s, capacity %v KB/s, OriginLoad %v KB/s",
			originLoad, p.OriginCapacity, a.OriginLoad)
	}
	return nil
}

// baselines returns the allocations of the simple policies by name.
func baselines(p *Problem) map[string]*Allocation {
	return map[string]*Allocation{"hashed": p.Hashed(), "nearest": p.Nearest(), "bounded": p.Bounded(1.25)}
}

// Guards against three faults of an allocation: it violates a bound, its cost differs from the optimum of the linear
// program by more than rounding, or it costs more than the allocation of a simple policy.
func TestOptimalMatchesLinearProgram(t *testing.T) {
	bindingCount := 0
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		p := randomProblem(rng, 2+rng.IntN(5), 1+rng.IntN(4))
		best, err := p.Optimal()
		if err != nil {
			t.Fatal(err)
		}
		if err := checkAllocation(p, best); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		want := linearOptimum(t, p)
		rounding := unitKBPerS * p.RejectionCost * float64(len(p.Demand)*(len(p.Capacity)+2)+len(p.Capacity))
		if best.Cost < want-rounding || best.Cost > want+rounding {
			t.Errorf("seed %d: cost %v, optimum %v", seed, best.Cost, want)
		}
		if best.OriginPrice > 0 {
			bindingCount++
		}
		for name, other := range baselines(p) {
			if err := checkAllocation(p, other); err != nil {
				t.Errorf("seed %d, %s: %v", seed, name, err)
			}
			if other.Cost < best.Cost-rounding {
				t.Errorf("seed %d: policy %s has cost %v, less than %v of Optimal", seed, name, other.Cost, best.Cost)
			}
		}
	}
	if bindingCount < 15 {
		t.Errorf("the origin's capacity is binding in only %d problems, want at least 15", bindingCount)
	}
}

// largeProblem returns a problem with 200 sites and 40 groups. Eight groups are lost, four are cold, and the capacity
// of the origin is limited.
func largeProblem(seed uint64) *Problem {
	rng := rand.New(rand.NewPCG(seed, 9))
	const sites, groups = 200, 40
	p := &Problem{RejectionCost: 1000}
	for site := range sites {
		demand := 500 + 1500*rng.Float64()
		capacity, rtt := make([]float64, groups), make([]float64, groups)
		for group := range groups {
			distance := math.Abs(float64(site)/sites-float64(group)/groups) * 100
			capacity[group] = demand * max(1.5-distance/40, 0.1)
			rtt[group] = 4 + distance
		}
		p.Demand = append(p.Demand, demand)
		p.LinkCapacity = append(p.LinkCapacity, capacity)
		p.LinkRTT = append(p.LinkRTT, rtt)
		p.DirectCapacity = append(p.DirectCapacity, demand*0.2)
		p.DirectRTT = append(p.DirectRTT, 90)
	}
	for group := range groups {
		capacity, originFraction := 200*1250.0/groups*1.3, 0.35
		switch {
		case group < 8:
			capacity = 0
		case group < 12:
			capacity, originFraction = capacity*0.2, 0.9
		}
		p.Capacity = append(p.Capacity, capacity)
		p.OriginFraction = append(p.OriginFraction, originFraction)
	}
	p.OriginCapacity = 200 * 1250 * 0.3
	return p
}

func BenchmarkOptimal(b *testing.B) {
	p := largeProblem(1)
	var best *Allocation
	for b.Loop() {
		best, _ = p.Optimal()
	}
	total := 0.0
	for _, amount := range best.Rejected {
		total += amount
	}
	b.ReportMetric(total/(200*1250), "rejected")
	for name, other := range baselines(p) {
		b.ReportMetric(other.Cost/best.Cost, name+"-cost")
	}
}
