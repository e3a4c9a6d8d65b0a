package hierarchy

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Problem is what a planner is to share out: all in KB a second, lengths in ms.
type Problem struct {
	Wants  []float64   // by depot, its fills
	Bears  []float64   // by area, what its servers bear now, cold ones by their curve
	Asks   []float64   // by area, part of what it is asked for that the head office must give, 0 to 1
	Room   [][]float64 // by depot and area, what fits on the way; 0: there is none
	Ms     [][]float64 // and how long that is
	Direct []float64   // by depot, what fits on the way straight to the head office
	FarMs  []float64   // and how long that is
	Head   float64     // what the head office may be asked for
	// Home is the part of all objects whose place by hash each area is, the same for all depots: an area keeps an object once for all that
	// ask for it there. What goes elsewhere is stray: for the part Stray of that the head office must give it anew. nil: nothing is stray.
	Home  []float64
	Stray float64
	UpMs  []float64 // by area, how long it takes for what it has not; nil: 0
	// Refuse is what a refusal costs, as a length in ms: longer than any way, or nothing would be served.
	Refuse float64
}

// Plan is a way to share it: KB a second.
type Plan struct {
	To      [][]float64 // by depot and area
	Home    [][]float64 // of that, what goes where its objects' place is
	Direct  []float64
	Refused []float64
	HeadKb  float64 // what the head office is then asked for
	Price   float64 // of a KB from there, in ms: what one more would save
	Cost    float64 // KB times ms a second, refusals among them
}

// newPlan is one in which nothing goes anywhere.
func newPlan(depots, areas int) *Plan {
	plan := &Plan{To: make([][]float64, depots), Home: make([][]float64, depots), Direct: make([]float64, depots), Refused: make([]float64, depots)}
	for i := range depots {
		plan.To[i], plan.Home[i] = make([]float64, areas), make([]float64, areas)
	}
	return plan
}

// refuseAll is the plan in which all that is wanted is refused.
func (p *Problem) refuseAll() *Plan {
	plan := newPlan(len(p.Wants), len(p.Bears))
	copy(plan.Refused, p.Wants)
	p.sum(plan)
	return plan
}

// ErrProblem is wrapped by every fault of a problem.
var ErrProblem = errors.New("no such problem")

// unit is the smallest amount that a plan deals in, KB a second: what is borne is rounded down to it, and what is wanted up.
const unit = 1.0 / 16

// Check reports the first thing that can't be used.
func (p *Problem) Check() error {
	d, a := len(p.Wants), len(p.Bears)
	if len(p.Asks) != a || len(p.Room) != d || len(p.Ms) != d || len(p.Direct) != d || len(p.FarMs) != d {
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
	for i := range p.Wants {
		if len(p.Room[i]) != a || len(p.Ms[i]) != a {
			return fmt.Errorf("%w: ways of depot %d: not one for each area", ErrProblem, i)
		}
		if err := errors.Join(check("room", most, p.Room[i]...), check("ms", p.Refuse, p.Ms[i]...)); err != nil {
			return err
		}
	}
	if p.Home != nil && len(p.Home) != a || p.UpMs != nil && len(p.UpMs) != a {
		return fmt.Errorf("%w: %d areas, and home or upMs of other lengths", ErrProblem, a)
	}
	return errors.Join(check("home", 1, p.Home...), check("stray", 1, p.Stray), check("upMs", p.Refuse, p.UpMs...), check("wants", most, p.Wants...), check("bears", most, p.Bears...), check("asks", 1, p.Asks...), check("direct", most, p.Direct...),
		check("farMs", p.Refuse, p.FarMs...), check("head", most, p.Head), check("refuse", 1e9, p.Refuse))
}

// rounds bounds the search for the price. It ends by itself when the price is found, after some ten of them.
const rounds = 60

// Best is the plan of least cost: the linear programme's optimum, but for rounding to units. It is found as a flow of least cost in which a
// KB from the head office has a price, and of the prices the one at which its limit is just kept; between the two flows that are the
// cheapest at that price the limit decides (Lagrange's way, exact for linear programmes).
func (p *Problem) Best() (*Plan, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	f := p.flows()
	low := p.at(f, 0)
	if low.HeadKb <= p.Head {
		return low, nil
	}
	// With nothing served nothing is asked: the other end.
	high := p.refuseAll()
	price := 0.0
	for range rounds {
		price = (high.Cost - low.Cost) / (low.HeadKb - high.HeadKb)
		mid := p.at(f, price)
		if worth := mid.Cost + price*mid.HeadKb; worth >= (low.Cost+price*low.HeadKb)*(1-1e-9)-1e-6 {
			break // no flow is cheaper at this price than these two
		}
		if mid.HeadKb <= p.Head {
			high = mid
		} else {
			low = mid
		}
	}
	plan := mix(low, high, (p.Head-high.HeadKb)/(low.HeadKb-high.HeadKb))
	plan.Price = price
	return plan, nil
}

// flows sets the problem up in units.
func (p *Problem) flows() *flows {
	down := func(v float64) int64 { return int64(v / unit) }
	f := &flows{refuse: p.Refuse, arcs: make([][]arc, len(p.Wants)), past: make([]float64, len(p.Bears)), direct: make([]arc, len(p.Wants))}
	for _, b := range p.Bears {
		f.bears = append(f.bears, down(b))
	}
	for i, w := range p.Wants {
		f.wants = append(f.wants, int64(math.Ceil(w/unit)))
		f.direct[i] = arc{room: down(p.Direct[i]), cost: p.FarMs[i]}
		for a, room := range p.Room[i] {
			r := down(room)
			if r == 0 {
				continue
			}
			home := r
			if p.Home != nil {
				home = min(r, int64(math.Ceil(w*p.Home[a]/unit)))
			}
			if home > 0 {
				f.arcs[i] = append(f.arcs[i], arc{to: int32(a), room: home, cost: p.Ms[i][a] + p.upMs(a)*p.Asks[a]})
			}
			if r > home { // two ways side by side: what is stray, and the rest
				f.arcs[i] = append(f.arcs[i], arc{to: int32(a), room: r - home, cost: p.Ms[i][a] + p.upMs(a)*p.stray(a), stray: true})
			}
		}
	}
	return f
}

func (p *Problem) upMs(area int) float64 {
	if p.UpMs == nil {
		return 0
	}
	return p.UpMs[area]
}

// stray is the part of stray fills that an area asks the head office for.
func (p *Problem) stray(area int) float64 { return max(p.Asks[area], p.Stray) }

// at is the cheapest plan at a price of the head office's KB.
func (p *Problem) at(base *flows, price float64) *Plan {
	f := base.clone()
	for a := range f.past {
		f.past[a] = price * p.Asks[a]
	}
	for i := range f.direct {
		f.direct[i].cost += price
		for k := range f.arcs[i] {
			if w := &f.arcs[i][k]; w.stray {
				w.cost += price * (p.stray(int(w.to)) - p.Asks[w.to])
			}
		}
	}
	straight, nowhere := f.solve()
	plan := newPlan(len(p.Wants), len(p.Bears))
	plan.Price = price
	for i := range f.wants {
		rounded := float64(f.wants[i])*unit - p.Wants[i] // wanted for rounding only
		plan.Direct[i] = float64(straight[i]) * unit
		plan.Refused[i] = max(float64(nowhere[i])*unit-rounded, 0)
		for _, w := range f.arcs[i] {
			plan.To[i][w.to] += float64(w.flow) * unit
			if !w.stray {
				plan.Home[i][w.to] = float64(w.flow) * unit
			}
		}
	}
	p.sum(plan)
	return plan
}

// sum reckons what a plan costs and asks.
func (p *Problem) sum(plan *Plan) {
	plan.HeadKb, plan.Cost = 0, 0
	for i := range plan.To {
		for a, kb := range plan.To[i] {
			home := plan.Home[i][a]
			plan.HeadKb += home*p.Asks[a] + (kb-home)*p.stray(a)
			plan.Cost += kb*p.Ms[i][a] + p.upMs(a)*(home*p.Asks[a]+(kb-home)*p.stray(a))
		}
		plan.HeadKb += plan.Direct[i]
		plan.Cost += plan.Direct[i]*p.FarMs[i] + plan.Refused[i]*p.Refuse
	}
}

// cut refuses all but a part of what goes to an area.
func (plan *Plan) cut(area int, part float64) {
	for i := range plan.To {
		plan.Refused[i] += plan.To[i][area] * (1 - part)
		plan.To[i][area] *= part
		plan.Home[i][area] *= part
	}
}

// mix is a part of one plan and the rest of another.
func mix(a, b *Plan, part float64) *Plan {
	of := func(x, y float64) float64 { return part*x + (1-part)*y }
	m := newPlan(len(a.To), len(a.To[0]))
	m.HeadKb, m.Cost = of(a.HeadKb, b.HeadKb), of(a.Cost, b.Cost)
	for i := range a.To {
		for k := range m.To[i] {
			m.To[i][k], m.Home[i][k] = of(a.To[i][k], b.To[i][k]), of(a.Home[i][k], b.Home[i][k])
		}
		m.Direct[i], m.Refused[i] = of(a.Direct[i], b.Direct[i]), of(a.Refused[i], b.Refused[i])
	}
	return m
}

// Hashed is the plain way: each depot's fills go by hash to all areas that it has a way to, alike; what an area or way does not bear is
// refused, and of what the head office is asked too much for, everybody's part.
func (p *Problem) Hashed() *Plan { return p.share(func(int) []int { return nil }, 0) }

// Nearest is another: each depot fills from the nearest area, what that does not bear is refused.
func (p *Problem) Nearest() *Plan {
	return p.share(func(depot int) []int {
		best := -1
		for a, room := range p.Room[depot] {
			if room > 0 && (best < 0 || p.Ms[depot][a] < p.Ms[depot][best]) {
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
func (p *Problem) Bounded(times float64) *Plan { return p.share(func(int) []int { return nil }, times) }

// share plays a plain way: to names the areas of a depot, nil for all.
func (p *Problem) share(to func(depot int) []int, times float64) *Plan {
	plan := p.refuseAll()
	sent := make([]float64, len(p.Bears))
	all, bears := 0.0, 0.0
	for _, w := range p.Wants {
		all += w
	}
	for _, b := range p.Bears {
		bears += b
	}
	most := slices.Clone(p.Bears)
	if times > 0 && bears > 0 {
		for a := range most {
			most[a] = min(most[a], times*all*p.Bears[a]/bears)
		}
	}
	tried := 1
	if times > 0 {
		tried = len(p.Bears)
	}
	for range tried { // rounds: what was left over goes on to areas that have room
		for i := range p.Wants {
			areas := to(i)
			if areas == nil {
				for a, room := range p.Room[i] {
					if room > 0 && (times == 0 || most[a]-sent[a] > unit && room-plan.To[i][a] > unit) {
						areas = append(areas, a)
					}
				}
			}
			each := plan.Refused[i] / float64(max(len(areas), 1))
			for _, a := range areas {
				kb := max(min(each, p.Room[i][a]-plan.To[i][a], most[a]-sent[a]), 0)
				plan.To[i][a] += kb
				sent[a] += kb
				plan.Refused[i] -= kb
			}
		}
	}
	for i := range plan.To {
		for a, kb := range plan.To[i] {
			if plan.Home[i][a] = kb; p.Home != nil {
				plan.Home[i][a] = min(kb, p.Wants[i]*p.Home[a])
			}
		}
	}
	p.sum(plan)
	if plan.HeadKb > p.Head {
		part := p.Head / plan.HeadKb
		for a := range p.Bears {
			plan.cut(a, part)
		}
		p.sum(plan)
	}
	return plan
}
