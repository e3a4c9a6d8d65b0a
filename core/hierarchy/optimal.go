package hierarchy

import "math"

// unitKBPerS is the smallest rate that an allocation is computed in: capacities are rounded down to it, demand up.
const unitKBPerS = 1.0 / 16

// maxPriceRounds bounds the search for the origin's price, which ends by itself after about ten rounds.
const maxPriceRounds = 60

// Optimal returns the allocation of least cost: the optimum of the linear programme, but for rounding to units.
//
// Without the origin's capacity the problem is a flow of least cost, which flowNetwork solves exactly. The capacity
// gets a price per KB, which is added to the costs (Lagrangian relaxation, exact for linear programmes). Two
// allocations are kept, one above the capacity and one within; the next price is the one at which both cost the same.
// If no allocation is cheaper at that price, the optimum is the mixture of the two that just meets the capacity.
func (p *Problem) Optimal() (*Allocation, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	network := p.flowNetwork()
	above := p.atPrice(network, 0)
	if above.OriginLoad <= p.OriginCapacity {
		return above, nil
	}
	within := p.rejectAll()
	price := 0.0
	for range maxPriceRounds {
		price = (within.Cost - above.Cost) / (above.OriginLoad - within.OriginLoad)
		next := p.atPrice(network, price)
		if notCheaper(next.Cost+price*next.OriginLoad, above.Cost+price*above.OriginLoad) {
			break
		}
		if next.OriginLoad <= p.OriginCapacity {
			within = next
		} else {
			above = next
		}
	}
	fraction := (p.OriginCapacity - within.OriginLoad) / (above.OriginLoad - within.OriginLoad)
	best := interpolate(above, within, fraction)
	best.OriginPrice = price
	return best, nil
}

// notCheaper reports whether a cost is not below another one, but for rounding.
func notCheaper(cost, other float64) bool { return cost >= other*(1-1e-9)-1e-6 }

// unitsDown converts a capacity in KB/s to units.
func unitsDown(kbPerS float64) int64 { return int64(kbPerS / unitKBPerS) }

// unitsUp converts a demand in KB/s to units.
func unitsUp(kbPerS float64) int64 { return int64(math.Ceil(kbPerS / unitKBPerS)) }

// flowNetwork returns the problem in units, at a price of 0.
func (p *Problem) flowNetwork() *flowNetwork {
	f := &flowNetwork{
		rejectionCost: p.RejectionCost,
		arcs:          make([][]arc, len(p.Demand)),
		groupCost:     make([]float64, len(p.Capacity)),
		direct:        make([]arc, len(p.Demand)),
	}
	for _, capacity := range p.Capacity {
		f.capacity = append(f.capacity, unitsDown(capacity))
	}
	for site, demand := range p.Demand {
		f.demand = append(f.demand, unitsUp(demand))
		f.direct[site] = arc{capacity: unitsDown(p.DirectCapacity[site]), cost: p.DirectRTT[site]}
		for group := range p.Capacity {
			f.arcs[site] = p.appendArcs(f.arcs[site], site, group)
		}
	}
	return f
}

// appendArcs appends the arcs for a site's link to a group: one for objects whose home the group is, and one for the
// others with the capacity that is left.
func (p *Problem) appendArcs(arcs []arc, site, group int) []arc {
	capacity := unitsDown(p.LinkCapacity[site][group])
	home := capacity
	if p.HomeFraction != nil {
		home = min(capacity, unitsUp(p.Demand[site]*p.HomeFraction[group]))
	}
	rtt := p.LinkRTT[site][group]
	if home > 0 {
		cost := rtt + p.originRTT(group)*p.OriginFraction[group]
		arcs = append(arcs, arc{group: int32(group), capacity: home, cost: cost})
	}
	if capacity > home {
		cost := rtt + p.originRTT(group)*p.offHomeOriginFraction(group)
		arcs = append(arcs, arc{group: int32(group), capacity: capacity - home, cost: cost, offHome: true})
	}
	return arcs
}

// atPrice returns the allocation of least cost at a price of a KB from the origin.
func (p *Problem) atPrice(base *flowNetwork, price float64) *Allocation {
	f := base.clone()
	p.addPrice(f, price)
	direct, rejected := f.solve()
	a := newAllocation(len(p.Demand), len(p.Capacity))
	a.OriginPrice = price
	for site := range f.demand {
		roundedUp := float64(f.demand[site])*unitKBPerS - p.Demand[site]
		a.Direct[site] = float64(direct[site]) * unitKBPerS
		a.Rejected[site] = max(float64(rejected[site])*unitKBPerS-roundedUp, 0)
		for _, arc := range f.arcs[site] {
			sent := float64(arc.flow) * unitKBPerS
			a.ToGroup[site][arc.group] += sent
			if !arc.offHome {
				a.ToHomeGroup[site][arc.group] = sent
			}
		}
	}
	p.evaluate(a)
	return a
}

// addPrice adds the price of what each arc and group sends to the origin to its cost.
func (p *Problem) addPrice(f *flowNetwork, price float64) {
	for group := range f.groupCost {
		f.groupCost[group] = price * p.OriginFraction[group]
	}
	for site := range f.direct {
		f.direct[site].cost += price
		for i := range f.arcs[site] {
			if arc := &f.arcs[site][i]; arc.offHome {
				group := int(arc.group)
				arc.cost += price * (p.offHomeOriginFraction(group) - p.OriginFraction[group])
			}
		}
	}
}
