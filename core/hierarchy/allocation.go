package hierarchy

// Allocation assigns the sites' fills to targets. Rates are in KB/s. For each site, ToGroup, Direct and Rejected add up
// to its demand, except for rounding by at most unitKBPerS.
type Allocation struct {
	ToGroup     [][]float64 // by site and group
	ToHomeGroup [][]float64 // by site and group: part of ToGroup for objects with the group as their home
	Direct      []float64   // by site: sent to the origin directly
	Rejected    []float64   // by site: fills for which there is no capacity
	OriginLoad  float64     // rate that the origin serves, for direct fills and for misses of groups
	OriginPrice float64     // cost in ms saved per additional KB of origin capacity; 0 if there is capacity left
	Cost        float64     // sum of KB/s times round-trip time in ms; a rejected KB costs Problem.RejectionCost
}

// newAllocation returns an allocation in which all rates are 0.
func newAllocation(sites, groups int) *Allocation {
	a := &Allocation{
		ToGroup:     make([][]float64, sites),
		ToHomeGroup: make([][]float64, sites),
		Direct:      make([]float64, sites),
		Rejected:    make([]float64, sites),
	}
	for site := range sites {
		a.ToGroup[site] = make([]float64, groups)
		a.ToHomeGroup[site] = make([]float64, groups)
	}
	return a
}

// rejectAll returns the allocation that rejects all demand.
func (p *Problem) rejectAll() *Allocation {
	a := newAllocation(len(p.Demand), len(p.Capacity))
	copy(a.Rejected, p.Demand)
	p.evaluate(a)
	return a
}

// evaluate computes the OriginLoad and Cost of an allocation.
func (p *Problem) evaluate(a *Allocation) {
	a.OriginLoad = 0
	a.Cost = 0
	for site := range a.ToGroup {
		for group, sent := range a.ToGroup[site] {
			home := a.ToHomeGroup[site][group]
			fromOrigin := home*p.OriginFraction[group] + (sent-home)*p.offHomeOriginFraction(group)
			a.OriginLoad += fromOrigin
			a.Cost += sent*p.LinkRTT[site][group] + p.originRTT(group)*fromOrigin
		}
		a.OriginLoad += a.Direct[site]
		a.Cost += a.Direct[site]*p.DirectRTT[site] + a.Rejected[site]*p.RejectionCost
	}
}

// scaleGroup multiplies the rates sent to a group by fraction, and adds the rest of each site's rate to its Rejected.
func (a *Allocation) scaleGroup(group int, fraction float64) {
	for site := range a.ToGroup {
		a.Rejected[site] += a.ToGroup[site][group] * (1 - fraction)
		a.ToGroup[site][group] *= fraction
		a.ToHomeGroup[site][group] *= fraction
	}
}

// interpolate returns the weighted average fraction*a + (1-fraction)*b. Both allocations must be for the same problem.
func interpolate(a, b *Allocation, fraction float64) *Allocation {
	between := func(x, y float64) float64 { return fraction*x + (1-fraction)*y }
	mixed := newAllocation(len(a.ToGroup), len(a.ToGroup[0]))
	mixed.OriginLoad = between(a.OriginLoad, b.OriginLoad)
	mixed.Cost = between(a.Cost, b.Cost)
	for site := range a.ToGroup {
		for group := range mixed.ToGroup[site] {
			mixed.ToGroup[site][group] = between(a.ToGroup[site][group], b.ToGroup[site][group])
			mixed.ToHomeGroup[site][group] = between(a.ToHomeGroup[site][group], b.ToHomeGroup[site][group])
		}
		mixed.Direct[site] = between(a.Direct[site], b.Direct[site])
		mixed.Rejected[site] = between(a.Rejected[site], b.Rejected[site])
	}
	return mixed
}
