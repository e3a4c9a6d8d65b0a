package hierarchy

// Allocation is a division of the sites' fills, in KB/s. For each site, ToGroup, Direct and Rejected sum up to its
// demand.
type Allocation struct {
	ToGroup     [][]float64 // by site and group
	ToHomeGroup [][]float64 // by site and group: the part of ToGroup for objects whose home the group is
	Direct      []float64   // by site: to the origin, past the groups
	Rejected    []float64   // by site: what has no capacity anywhere
	OriginLoad  float64     // what the origin serves, direct and for the groups' misses
	OriginPrice float64     // cost in ms that one more KB of origin capacity would save; 0 if it does not bind
	Cost        float64     // sum of KB/s times round trip in ms, rejections included
}

// newAllocation returns an allocation of nothing.
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

// evaluate sets an allocation's origin load and cost.
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

// scaleGroup keeps a fraction of what is sent to a group and rejects the rest.
func (a *Allocation) scaleGroup(group int, fraction float64) {
	for site := range a.ToGroup {
		a.Rejected[site] += a.ToGroup[site][group] * (1 - fraction)
		a.ToGroup[site][group] *= fraction
		a.ToHomeGroup[site][group] *= fraction
	}
}

// interpolate returns a fraction of a and the rest of b.
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
