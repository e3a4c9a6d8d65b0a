package hierarchy

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Problem is what a planner is to share out: all in KB a second, lengths in ms.
type Problem struct {
	Demand         []float64   // by depot, its fills
	Capacity       []float64   // by area, what its servers bear now, cold ones by their curve
	OriginFraction []float64   // by area, part of what it is asked for that the head office must give, 0 to 1
	LinkCapacity   [][]float64 // by depot and area, what fits on the way; 0: there is none
	LinkRTT        [][]float64 // and how long that is
	DirectCapacity []float64   // by depot, what fits on the way straight to the head office
	DirectRTT      []float64   // and how long that is
	OriginCapacity float64     // what the head office may be asked for
	// HomeFraction is the part of all objects whose place by hash each area is, the same for all depots: an area keeps an object once for all that
	// ask for it there. What goes elsewhere is stray: for the part Stray of that the head office must give it anew. nil: nothing is stray.
	HomeFraction          []float64
	OffHomeOriginFraction float64
	OriginRTT             []float64 // by area, how long it takes for what it has not; nil: 0
	// RejectionCost is what a refusal costs, as a length in ms: longer than any way, or nothing would be served.
	RejectionCost float64
}

// Allocation is a way to share it: KB a second.
type Allocation struct {
	ToGroup     [][]float64 // by depot and area
	ToHomeGroup [][]float64 // of that, what goes where its objects' place is
	Direct      []float64
	Rejected    []float64
	OriginLoad  float64 // what the head office is then asked for
	OriginPrice float64 // of a KB from there, in ms: what one more would save
	Cost        float64 // KB times ms a second, refusals among them
}

// newAllocation is one in which nothing goes anywhere.
func newAllocation(depots, areas int) *Allocation {
	plan := &Allocation{ToGroup: make([][]float64, depots), ToHomeGroup: make([][]float64, depots), Direct: make([]float64, depots), Rejected: make([]float64, depots)}
	for i := range depots {
		plan.ToGroup[i], plan.ToHomeGroup[i] = make([]float64, areas), make([]float64, areas)
	}
	return plan
}

// rejectAll is the plan in which all that is wanted is refused.
func (p *Problem) rejectAll() *Allocation {
	plan := newAllocation(len(p.Demand), len(p.Capacity))
	copy(plan.Rejected, p.Demand)
	p.evaluate(plan)
	return plan
}

// ErrProblem is wrapped by every fault of a problem.
var ErrProblem = errors.New("no such problem")

// unitKBPerS is the smallest amount that a plan deals in, KB a second: what is borne is rounded down to it, and what is wanted up.
const unitKBPerS = 1.0 / 16

// Check reports the first thing that can't be used.
func (p *Problem) Check() error {
	d, a := len(p.Demand), len(p.Capacity)
	if len(p.OriginFraction) != a || len(p.LinkCapacity) != d || len(p.LinkRTT) != d || len(p.DirectCapacity) != d || len(p.DirectRTT) != d {
		return fmt.Errorf("%w: %d depots, %d areas, and fields of other lengths", ErrProblem, d, a)
	}
	check := func(field string, most float64, values ...float64) error {
		for i, v := range values {
			if !(v >= 0 && v <= most) {
				return fmt.Errorf("%w: %s[%d]: %v is not 0 to %v", ErrProblem, field, i, v, most)
			}
		}
		return nil
	}
	const most = 1e12
	for i := range p.Demand {
		if len(p.LinkCapacity[i]) != a || len(p.LinkRTT[i]) != a {
			return fmt.Errorf("%w: ways of depot %d: not one for each area", ErrProblem, i)
		}
		if err := errors.Join(check("room", most, p.LinkCapacity[i]...), check("ms", p.RejectionCost, p.LinkRTT[i]...)); err != nil {
			return err
		}
	}
	if p.HomeFraction != nil && len(p.HomeFraction) != a || p.OriginRTT != nil && len(p.OriginRTT) != a {
		return fmt.Errorf("%w: %d areas, and home or upMs of other lengths", ErrProblem, a)
	}
	return errors.Join(check("home", 1, p.HomeFraction...), check("stray", 1, p.OffHomeOriginFraction), check("upMs", p.RejectionCost, p.OriginRTT...), check("wants", most, p.Demand...), check("bears", most, p.Capacity...), check("asks", 1, p.OriginFraction...), check("direct", most, p.DirectCapacity...),
		check("farMs", p.RejectionCost, p.DirectRTT...), check("head", most, p.OriginCapacity), check("refuse", 1e9, p.RejectionCost))
}

// maxPriceRounds bounds the search for the price. It ends by itself when the price is found, after some ten of them.
const maxPriceRounds = 60

// Optimal is the plan of least cost: the linear programme's optimum, but for rounding to units. It is found as a flow of least cost in which a
// KB from the head office has a price, and of the prices the one at which its limit is just kept; between the two flows that are the
// cheapest at that price the limit decides (Lagrange's way, exact for linear programmes).
func (p *Problem) Optimal() (*Allocation, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	f := p.flowNetwork()
	low := p.atPrice(f, 0)
	if low.OriginLoad <= p.OriginCapacity {
		return low, nil
	}
	// With nothing served nothing is asked: the other end.
	high := p.rejectAll()
	price := 0.0
	for range maxPriceRounds {
		price = (high.Cost - low.Cost) / (low.OriginLoad - high.OriginLoad)
		mid := p.atPrice(f, price)
		if worth := mid.Cost + price*mid.OriginLoad; worth >= (low.Cost+price*low.OriginLoad)*(1-1e-9)-1e-6 {
			break // no flow is cheaper at this price than these two
		}
		if mid.OriginLoad <= p.OriginCapacity {
			high = mid
		} else {
			low = mid
		}
	}
	plan := interpolate(low, high, (p.OriginCapacity-high.OriginLoad)/(low.OriginLoad-high.OriginLoad))
	plan.OriginPrice = price
	return plan, nil
}

// flowNetwork sets the problem up in units.
func (p *Problem) flowNetwork() *flowNetwork {
	down := func(v float64) int64 { return int64(v / unitKBPerS) }
	f := &flowNetwork{rejectionCost: p.RejectionCost, arcs: make([][]arc, len(p.Demand)), groupCost: make([]float64, len(p.Capacity)), direct: make([]arc, len(p.Demand))}
	for _, b := range p.Capacity {
		f.capacity = append(f.capacity, down(b))
	}
	for i, w := range p.Demand {
		f.demand = append(f.demand, int64(math.Ceil(w/unitKBPerS)))
		f.direct[i] = arc{capacity: down(p.DirectCapacity[i]), cost: p.DirectRTT[i]}
		for a, room := range p.LinkCapacity[i] {
			r := down(room)
			if r == 0 {
				continue
			}
			home := r
			if p.HomeFraction != nil {
				home = min(r, int64(math.Ceil(w*p.HomeFraction[a]/unitKBPerS)))
			}
			if home > 0 {
				f.arcs[i] = append(f.arcs[i], arc{group: int32(a), capacity: home, cost: p.LinkRTT[i][a] + p.originRTT(a)*p.OriginFraction[a]})
			}
			if r > home { // two ways side by side: what is stray, and the rest
				f.arcs[i] = append(f.arcs[i], arc{group: int32(a), capacity: r - home, cost: p.LinkRTT[i][a] + p.originRTT(a)*p.offHomeOriginFraction(a), offHome: true})
			}
		}
	}
	return f
}

func (p *Problem) originRTT(area int) float64 {
	if p.OriginRTT == nil {
		return 0
	}
	return p.OriginRTT[area]
}

// offHomeOriginFraction is the part of stray fills that an area asks the head office for.
func (p *Problem) offHomeOriginFraction(area int) float64 {
	return max(p.OriginFraction[area], p.OffHomeOriginFraction)
}

// atPrice is the cheapest plan at a price of the head office's KB.
func (p *Problem) atPrice(base *flowNetwork, price float64) *Allocation {
	f := base.clone()
	for a := range f.groupCost {
		f.groupCost[a] = price * p.OriginFraction[a]
	}
	for i := range f.direct {
		f.direct[i].cost += price
		for k := range f.arcs[i] {
			if w := &f.arcs[i][k]; w.offHome {
				w.cost += price * (p.offHomeOriginFraction(int(w.group)) - p.OriginFraction[w.group])
			}
		}
	}
	straight, nowhere := f.solve()
	plan := newAllocation(len(p.Demand), len(p.Capacity))
	plan.OriginPrice = price
	for i := range f.demand {
		rounded := float64(f.demand[i])*unitKBPerS - p.Demand[i] // wanted for rounding only
		plan.Direct[i] = float64(straight[i]) * unitKBPerS
		plan.Rejected[i] = max(float64(nowhere[i])*unitKBPerS-rounded, 0)
		for _, w := range f.arcs[i] {
			plan.ToGroup[i][w.group] += float64(w.flow) * unitKBPerS
			if !w.offHome {
				plan.ToHomeGroup[i][w.group] = float64(w.flow) * unitKBPerS
			}
		}
	}
	p.evaluate(plan)
	return plan
}

// evaluate reckons what a plan costs and asks.
func (p *Problem) evaluate(plan *Allocation) {
	plan.OriginLoad, plan.Cost = 0, 0
	for i := range plan.ToGroup {
		for a, kb := range plan.ToGroup[i] {
			home := plan.ToHomeGroup[i][a]
			plan.OriginLoad += home*p.OriginFraction[a] + (kb-home)*p.offHomeOriginFraction(a)
			plan.Cost += kb*p.LinkRTT[i][a] + p.originRTT(a)*(home*p.OriginFraction[a]+(kb-home)*p.offHomeOriginFraction(a))
		}
		plan.OriginLoad += plan.Direct[i]
		plan.Cost += plan.Direct[i]*p.DirectRTT[i] + plan.Rejected[i]*p.RejectionCost
	}
}

// scaleGroup refuses all but a part of what goes to an area.
func (plan *Allocation) scaleGroup(area int, part float64) {
	for i := range plan.ToGroup {
		plan.Rejected[i] += plan.ToGroup[i][area] * (1 - part)
		plan.ToGroup[i][area] *= part
		plan.ToHomeGroup[i][area] *= part
	}
}

// interpolate is a part of one plan and the rest of another.
func interpolate(a, b *Allocation, part float64) *Allocation {
	of := func(x, y float64) float64 { return part*x + (1-part)*y }
	m := newAllocation(len(a.ToGroup), len(a.ToGroup[0]))
	m.OriginLoad, m.Cost = of(a.OriginLoad, b.OriginLoad), of(a.Cost, b.Cost)
	for i := range a.ToGroup {
		for k := range m.ToGroup[i] {
			m.ToGroup[i][k], m.ToHomeGroup[i][k] = of(a.ToGroup[i][k], b.ToGroup[i][k]), of(a.ToHomeGroup[i][k], b.ToHomeGroup[i][k])
		}
		m.Direct[i], m.Rejected[i] = of(a.Direct[i], b.Direct[i]), of(a.Rejected[i], b.Rejected[i])
	}
	return m
}

// Hashed is the plain way: each depot's fills go by hash to all areas that it has a way to, alike; what an area or way does not bear is
// refused, and of what the head office is asked too much for, everybody's part.
func (p *Problem) Hashed() *Allocation { return p.baseline(func(int) []int { return nil }, 0) }

// Nearest is another: each depot fills from the nearest area, what that does not bear is refused.
func (p *Problem) Nearest() *Allocation {
	return p.baseline(func(depot int) []int {
		best := -1
		for a, room := range p.LinkCapacity[depot] {
			if room > 0 && (best < 0 || p.LinkRTT[depot][a] < p.LinkRTT[depot][best]) {
				best = a
			}
		}
		if best < 0 {
			return []int{}
		}
		return []int{best}
	}, 0)
}

// Bounded is hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018): no area gets more than so many times the mean of all,
// by what they bear, and what is over goes to the next one by hash, as far as that and the ways have room.
func (p *Problem) Bounded(times float64) *Allocation {
	return p.baseline(func(int) []int { return nil }, times)
}

// baseline plays a plain way: to names the areas of a depot, nil for all.
func (p *Problem) baseline(to func(depot int) []int, times float64) *Allocation {
	plan := p.rejectAll()
	sent := make([]float64, len(p.Capacity))
	all, bears := 0.0, 0.0
	for _, w := range p.Demand {
		all += w
	}
	for _, b := range p.Capacity {
		bears += b
	}
	most := slices.Clone(p.Capacity)
	if times > 0 && bears > 0 {
		for a := range most {
			most[a] = min(most[a], times*all*p.Capacity[a]/bears)
		}
	}
	tried := 1
	if times > 0 {
		tried = len(p.Capacity)
	}
	for range tried { // rounds: what was left over goes on to areas that have room
		for i := range p.Demand {
			areas := to(i)
			if areas == nil {
				for a, room := range p.LinkCapacity[i] {
					if room > 0 && (times == 0 || most[a]-sent[a] > unitKBPerS && room-plan.ToGroup[i][a] > unitKBPerS) {
						areas = append(areas, a)
					}
				}
			}
			each := plan.Rejected[i] / float64(max(len(areas), 1))
			for _, a := range areas {
				kb := max(min(each, p.LinkCapacity[i][a]-plan.ToGroup[i][a], most[a]-sent[a]), 0)
				plan.ToGroup[i][a] += kb
				sent[a] += kb
				plan.Rejected[i] -= kb
			}
		}
	}
	for i := range plan.ToGroup {
		for a, kb := range plan.ToGroup[i] {
			if plan.ToHomeGroup[i][a] = kb; p.HomeFraction != nil {
				plan.ToHomeGroup[i][a] = min(kb, p.Demand[i]*p.HomeFraction[a])
			}
		}
	}
	p.evaluate(plan)
	if plan.OriginLoad > p.OriginCapacity {
		part := p.OriginCapacity / plan.OriginLoad
		for a := range p.Capacity {
			plan.scaleGroup(a, part)
		}
		p.evaluate(plan)
	}
	return plan
}
