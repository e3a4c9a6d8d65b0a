package hierarchy

import "slices"

// Simple policies that the tests compare Optimal with.

// allGroups lets baseline take every group that a site has a link to.
func allGroups(int) []int { return nil }

// Hashed spreads each site's fills evenly over all groups that it has a link to. What a group or link has no capacity
// for is rejected, and what is too much for the origin is rejected evenly.
func (p *Problem) Hashed() *Allocation { return p.baseline(allGroups, 0) }

// Nearest fills each site from the nearest group, and rejects what that has no capacity for.
func (p *Problem) Nearest() *Allocation {
	return p.baseline(func(site int) []int {
		best := -1
		for group, capacity := range p.LinkCapacity[site] {
			if capacity > 0 && (best < 0 || p.LinkRTT[site][group] < p.LinkRTT[site][best]) {
				best = group
			}
		}
		if best < 0 {
			return []int{}
		}
		return []int{best}
	}, 0)
}

// Bounded is consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018): no group gets more
// than so many times the mean load, weighted by capacity, and the rest goes to the next groups as far as these and
// the links have capacity.
func (p *Problem) Bounded(maxLoadFactor float64) *Allocation {
	return p.baseline(allGroups, maxLoadFactor)
}

// baseline plays a simple policy. groupsOf names the groups of a site, nil for all; maxLoadFactor 0 means unbounded.
func (p *Problem) baseline(groupsOf func(site int) []int, maxLoadFactor float64) *Allocation {
	plan := p.rejectAll()
	sent := make([]float64, len(p.Capacity))
	limits := p.boundedCapacity(maxLoadFactor)
	rounds := 1
	if maxLoadFactor > 0 {
		rounds = len(p.Capacity)
	}
	for range rounds { // what is left over goes on to groups that have capacity
		for site := range p.Demand {
			groups := groupsOf(site)
			if groups == nil {
				for group, capacity := range p.LinkCapacity[site] {
					hasCapacity := limits[group]-sent[group] > unitKBPerS && capacity-plan.ToGroup[site][group] > unitKBPerS
					if capacity > 0 && (maxLoadFactor == 0 || hasCapacity) {
						groups = append(groups, group)
					}
				}
			}
			each := plan.Rejected[site] / float64(max(len(groups), 1))
			for _, group := range groups {
				onLink := p.LinkCapacity[site][group] - plan.ToGroup[site][group]
				amount := max(min(each, onLink, limits[group]-sent[group]), 0)
				plan.ToGroup[site][group] += amount
				sent[group] += amount
				plan.Rejected[site] -= amount
			}
		}
	}
	for site := range plan.ToGroup {
		for group, amount := range plan.ToGroup[site] {
			plan.ToHomeGroup[site][group] = amount
			if p.HomeFraction != nil {
				plan.ToHomeGroup[site][group] = min(amount, p.Demand[site]*p.HomeFraction[group])
			}
		}
	}
	p.evaluate(plan)
	if plan.OriginLoad > p.OriginCapacity {
		fraction := p.OriginCapacity / plan.OriginLoad
		for group := range p.Capacity {
			plan.scaleGroup(group, fraction)
		}
		p.evaluate(plan)
	}
	return plan
}

// boundedCapacity returns the groups' capacities, limited to so many times their part of the demand; 0 means unlimited.
func (p *Problem) boundedCapacity(maxLoadFactor float64) []float64 {
	limits := slices.Clone(p.Capacity)
	demand, capacity := 0.0, 0.0
	for _, v := range p.Demand {
		demand += v
	}
	for _, v := range p.Capacity {
		capacity += v
	}
	if maxLoadFactor > 0 && capacity > 0 {
		for group := range limits {
			limits[group] = min(limits[group], maxLoadFactor*demand*p.Capacity[group]/capacity)
		}
	}
	return limits
}
