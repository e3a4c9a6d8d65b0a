package hierarchy

import "math"

// unitKBPerS is the rate unit of allocations. Capacities are rounded down to whole units, demand is rounded up.
const unitKBPerS = 1.0 / 16

// maxPriceRounds is the maximum number of rounds of the search for the origin's price. The search usually needs about
// ten.
const maxPriceRounds = 60

// Optimal returns the allocation with the minimum cost: the optimum of the linear program, except for rounding to
// units. The error comes from Check.
//
// Without the limit on the origin's capacity, the problem is a minimum-cost flow, and flowNetwork solves it exactly.
// Optimal therefore replaces the limit by a price per KB from the origin and adds this price to the costs (Lagrangian
// relaxation, exact for linear programs). The search maintains two allocations, one above the limit and one within it.
// The next price is the price at which both have the same cost. If no allocation is cheaper at this price, the optimum
// is the weighted average of the two allocations whose origin load is exactly the origin's capacity.
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
		if costsAtLeast(next.Cost+price*next.OriginLoad, above.Cost+price*above.OriginLoad) {
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

// costsAtLeast reports whether cost is equal to other or greater, with a tolerance for rounding errors.
func costsAtLeast(cost, other float64) bool { return cost >= other*(1-1e-9)-1e-6 }

// unitsDown converts a capacity in KB/s to units.
func unitsDown(kbPerS float64) int64 { return int64(kbPerS / unitKBPerS) }

// unitsUp converts a demand in KB/s to units.
func unitsUp(kbPerS float64) int64 { return int64(math.Ceil(kbPerS / unitKBPerS)) }

// flowNetwork returns the problem as a flow network in units, with an origin price of 0.
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

// appendArcs appends the arcs for the link of a site to a group. The first arc is for objects whose home is the group.
// The second arc is for all other objects and has the remaining capacity of the link. An arc without capacity is left
// out.
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

// atPrice returns the allocation with the minimum cost if price is added to the cost of each KB from the origin. The
// Cost of the returned allocation does not include the price.
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

// addPrice adds the price of the origin load to the costs per unit. The cost of a group increases by price times the
// origin fraction for objects whose home is the group. The cost of an off-home arc increases by price times the
// difference between the off-home origin fraction and that fraction. The cost of a direct link increases by price.
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
