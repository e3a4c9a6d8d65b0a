package hierarchy

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// random is a problem of so many depots and areas in which something is short: areas, ways or the head office.
func random(rng *rand.Rand, depots, areas int) *Problem {
	p := &Problem{RejectionCost: 1000, OriginCapacity: 1e9}
	all := 0.0
	for range depots {
		w := float64(20 + rng.IntN(400))
		all += w
		p.Demand = append(p.Demand, w)
		var room, ms []float64
		for range areas {
			r := 0.0
			if rng.IntN(4) > 0 {
				r = float64(20 + rng.IntN(500))
			}
			room, ms = append(room, r), append(ms, float64(1+rng.IntN(60)))
		}
		p.LinkCapacity, p.LinkRTT = append(p.LinkCapacity, room), append(p.LinkRTT, ms)
		p.DirectCapacity, p.DirectRTT = append(p.DirectCapacity, float64(rng.IntN(3)*50)), append(p.DirectRTT, 80)
	}
	for range areas {
		p.Capacity = append(p.Capacity, all/float64(areas)*(0.1+1.5*rng.Float64()))
		p.OriginFraction = append(p.OriginFraction, 0.2+0.8*rng.Float64())
	}
	if rng.IntN(2) == 0 { // objects have a place
		p.OffHomeOriginFraction = 0.5 + rng.Float64()/2
		sum := 0.0
		for range areas {
			p.HomeFraction = append(p.HomeFraction, rng.Float64())
			p.OriginRTT = append(p.OriginRTT, float64(rng.IntN(60)))
			sum += p.HomeFraction[len(p.HomeFraction)-1]
		}
		for a := range p.HomeFraction {
			p.HomeFraction[a] /= sum
		}
	}
	if rng.IntN(4) > 0 {
		p.OriginCapacity = all * rng.Float64() * 0.6
	}
	return p
}

// optimum solves the same as a linear programme, with gonum.
func optimum(t testing.TB, p *Problem) float64 {
	type variable struct {
		depot, area int // area -1: straight up, -2: refused
		stray       bool
	}
	var vars []variable
	var cost []float64
	for i := range p.Demand {
		for a, room := range p.LinkCapacity[i] {
			if room > 0 {
				vars, cost = append(vars, variable{i, a, false}), append(cost, p.LinkRTT[i][a]+p.originRTT(a)*p.OriginFraction[a])
				if p.HomeFraction != nil {
					vars, cost = append(vars, variable{i, a, true}), append(cost, p.LinkRTT[i][a]+p.originRTT(a)*p.offHomeOriginFraction(a))
				}
			}
		}
		vars, cost = append(vars, variable{i, -1, false}, variable{i, -2, false}), append(cost, p.DirectRTT[i], p.RejectionCost)
	}
	n := len(vars)
	var rows [][]float64
	var bound []float64
	row := func(b float64, of func(v variable) float64) {
		r := make([]float64, n)
		for k, v := range vars {
			r[k] = of(v)
		}
		rows, bound = append(rows, r), append(bound, b)
	}
	one := func(is bool) float64 {
		if is {
			return 1
		}
		return 0
	}
	for a := range p.Capacity {
		row(p.Capacity[a], func(v variable) float64 { return one(v.area == a) })
	}
	row(p.OriginCapacity, func(v variable) float64 {
		switch {
		case v.stray:
			return p.offHomeOriginFraction(v.area)
		case v.area >= 0:
			return p.OriginFraction[v.area]
		case v.area == -1:
			return 1
		}
		return 0
	})
	for k, v := range vars {
		switch {
		case v.area == -1:
			row(p.DirectCapacity[v.depot], func(o variable) float64 { return one(o == v) })
		case v.area >= 0 && !v.stray:
			row(p.LinkCapacity[v.depot][v.area], func(o variable) float64 { return one(o.depot == v.depot && o.area == v.area) })
			if p.HomeFraction != nil {
				row(p.Demand[v.depot]*p.HomeFraction[v.area], func(o variable) float64 { return one(o == vars[k]) })
			}
		}
	}
	// Standard form: a slack for each bound, then what each depot wants.
	m := len(rows)
	all := mat.NewDense(m+len(p.Demand), n+m, nil)
	b := append([]float64(nil), bound...)
	for r := range rows {
		for k, v := range rows[r] {
			all.Set(r, k, v)
		}
		all.Set(r, n+r, 1)
	}
	for i, w := range p.Demand {
		for k, v := range vars {
			all.Set(m+i, k, one(v.depot == i))
		}
		b = append(b, w)
	}
	least, _, err := lp.Simplex(append(cost, make([]float64, m)...), all, b, 1e-8, nil)
	if err != nil {
		t.Fatal(err)
	}
	return least
}

// keeps reports what a plan breaks.
func keeps(p *Problem, plan *Allocation) error {
	const much = 1e-6
	sent, head := make([]float64, len(p.Capacity)), 0.0
	for i := range p.Demand {
		sum := plan.Direct[i] + plan.Rejected[i]
		head += plan.Direct[i]
		if plan.Direct[i] > p.DirectCapacity[i]+much || plan.Rejected[i] < -much {
			return fmt.Errorf("depot %d: %v straight up, %v refused", i, plan.Direct[i], plan.Rejected[i])
		}
		for a, kb := range plan.ToGroup[i] {
			if kb < -much || kb > p.LinkCapacity[i][a]+much {
				return fmt.Errorf("depot %d, area %d: %v of %v", i, a, kb, p.LinkCapacity[i][a])
			}
			sum += kb
			sent[a] += kb
			home := plan.ToHomeGroup[i][a]
			if home > kb+much || p.HomeFraction != nil && home > p.Demand[i]*p.HomeFraction[a]+unitKBPerS+much {
				return fmt.Errorf("depot %d, area %d: %v of %v at home, of %v wanted", i, a, home, kb, p.Demand[i])
			}
			head += home*p.OriginFraction[a] + (kb-home)*p.offHomeOriginFraction(a)
		}
		if math.Abs(sum-p.Demand[i]) > unitKBPerS+much {
			return fmt.Errorf("depot %d: %v of %v", i, sum, p.Demand[i])
		}
	}
	for a := range sent {
		if sent[a] > p.Capacity[a]+much {
			return fmt.Errorf("area %d: %v of %v", a, sent[a], p.Capacity[a])
		}
	}
	if head > p.OriginCapacity+much || math.Abs(head-plan.OriginLoad) > much*(1+head) {
		return fmt.Errorf("head office: %v of %v, said to be %v", head, p.OriginCapacity, plan.OriginLoad)
	}
	return nil
}

// The plan keeps every bound, costs what the linear programme's optimum costs but for rounding, and no plain way costs less.
func TestBestIsTheOptimum(t *testing.T) {
	priced := 0
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		p := random(rng, 2+rng.IntN(5), 1+rng.IntN(4))
		plan, err := p.Optimal()
		if err != nil {
			t.Fatal(err)
		}
		if err := keeps(p, plan); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		want := optimum(t, p)
		rounding := unitKBPerS * p.RejectionCost * float64(len(p.Demand)*(len(p.Capacity)+2)+len(p.Capacity))
		if plan.Cost < want-rounding || plan.Cost > want+rounding {
			t.Errorf("seed %d: costs %v, the optimum %v", seed, plan.Cost, want)
		}
		if plan.OriginPrice > 0 {
			priced++
		}
		for name, other := range map[string]*Allocation{"hashed": p.Hashed(), "nearest": p.Nearest(), "bounded": p.Bounded(1.25)} {
			if err := keeps(p, other); err != nil {
				t.Errorf("seed %d, %s: %v", seed, name, err)
			}
			if other.Cost < plan.Cost-rounding {
				t.Errorf("seed %d: %s costs %v, the best %v", seed, name, other.Cost, plan.Cost)
			}
		}
	}
	if priced < 15 {
		t.Errorf("the head office's limit bound in %d problems only", priced)
	}
}

func TestProblemNamesTheField(t *testing.T) {
	for want, spoil := range map[string]func(*Problem){
		"fields of other lengths": func(p *Problem) { p.OriginFraction = nil },
		"wants[1]: ":              func(p *Problem) { p.Demand[1] = math.NaN() },
		"bears[0]: ":              func(p *Problem) { p.Capacity[0] = -1 },
		"asks[0]: ":               func(p *Problem) { p.OriginFraction[0] = 1.5 },
		"ways of depot 1":         func(p *Problem) { p.LinkCapacity[1] = nil },
		"ms[0]: ":                 func(p *Problem) { p.LinkRTT[0][0] = 2000 },
		"head[0]: ":               func(p *Problem) { p.OriginCapacity = math.Inf(1) },
	} {
		p := random(rand.New(rand.NewPCG(1, 1)), 3, 2)
		spoil(p)
		if _, err := p.Optimal(); !errors.Is(err, ErrProblem) || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
}

// With 200 depots and 40 areas, eight of them lost, cold ones among the rest and the head office short.
func large(seed uint64) *Problem {
	rng := rand.New(rand.NewPCG(seed, 9))
	const depots, areas = 200, 40
	p := &Problem{RejectionCost: 1000}
	for i := range depots {
		w := 500 + 1500*rng.Float64()
		p.Demand = append(p.Demand, w)
		room, ms := make([]float64, areas), make([]float64, areas)
		for a := range areas {
			d := math.Abs(float64(i)/depots-float64(a)/areas) * 100
			room[a], ms[a] = w*max(1.5-d/40, 0.1), 4+d
		}
		p.LinkCapacity, p.LinkRTT = append(p.LinkCapacity, room), append(p.LinkRTT, ms)
		p.DirectCapacity, p.DirectRTT = append(p.DirectCapacity, w*0.2), append(p.DirectRTT, 90)
	}
	for a := range areas {
		bears, asks := 200*1250.0/areas*1.3, 0.35
		switch {
		case a < 8:
			bears = 0
		case a < 12:
			bears, asks = bears*0.2, 0.9
		}
		p.Capacity, p.OriginFraction = append(p.Capacity, bears), append(p.OriginFraction, asks)
	}
	p.OriginCapacity = 200 * 1250 * 0.3
	return p
}

func BenchmarkBest(b *testing.B) {
	p := large(1)
	var plan *Allocation
	for b.Loop() {
		plan, _ = p.Optimal()
	}
	best := 0.0
	for _, r := range plan.Rejected {
		best += r
	}
	b.ReportMetric(best/(200*1250), "refused")
	for name, other := range map[string]*Allocation{"hashed": p.Hashed(), "nearest": p.Nearest(), "bounded": p.Bounded(1.25)} {
		b.ReportMetric(other.Cost/plan.Cost, name+"-cost")
	}
}
