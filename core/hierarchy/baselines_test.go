package hierarchy

import "slices"

// Simple allocation policies with which the tests compare Optimal.

// allGroups makes baseline use every group to which a site has a link.
func allGroups(int) []int { return nil }

// Hashed distributes each site's fills evenly over all groups to which it has a link. Fills that exceed the capacity
// of a group or link are rejected. If the origin is overloaded, the load of all groups is reduced by the same factor.
func (p *Problem) Hashed() *Allocation { return p.baseline(allGroups, 0) }

// Nearest fills each site from the nearest group, and rejects fills that exceed the capacity of this group or its link.
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

// Bounded is consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018). No group gets more than
// maxLoadFactor times the mean load, weighted by capacity. The excess goes to the next groups, within the capacity of
// these groups and of the links to them.
func (p *Problem) Bounded(maxLoadFactor float64) *Allocation {
	return p.baseline(allGroups, maxLoadFactor)
}

// baseline returns the allocation of a simple policy. groupsOf returns the groups that a site may use, or nil for all
// groups to which the site has a link. maxLoadFactor 0 means no bound on the load.
func (p *Problem) baseline(groupsOf func(site int) []int, maxLoadFactor float64) *Allocation {
	allocation := p.rejectAll()
	sent := make([]float64, len(p.Capacity))
	limits := p.boundedCapacity(maxLoadFactor)
	rounds := 1
	if maxLoadFactor > 0 {
		rounds = len(p.Capacity)
	}
	for range rounds { // fills that exceed a capacity in one round go to groups with free capacity in the next round
		for site := range p.Demand {
			groups := groupsOf(site)
			if groups == nil {
				for group, capacity := range p.LinkCapacity[site] {
					hasCapacity := limits[group]-sent[group] > unitKBPerS && capacity-allocation.ToGroup[site][group] > unitKBPerS
					if capacity > 0 && (maxLoadFactor == 0 || hasCapacity) {
						groups = append(groups, group)
					}
				}
			}
			amountPerGroup := allocation.Rejected[site] / float64(max(len(groups), 1))
			for _, group := range groups {
				linkCapacity := p.LinkCapacity[site][group] - allocation.ToGroup[site][group]
				amount := max(min(amountPerGroup, linkCapacity, limits[group]-sent[group]), 0)
				allocation.ToGroup[site][group] += amount
				sent[group] += amount
				allocation.Rejected[site] -= amount
			}
		}
	}
	for site := range allocation.ToGroup {
		for group, amount := range allocation.ToGroup[site] {
			allocation.ToHomeGroup[site][group] = amount
			if p.HomeFraction != nil {
				allocation.ToHomeGroup[site][group] = min(amount, p.Demand[site]*p.HomeFraction[group])
			}
		}
	}
	p.evaluate(allocation)
	if allocation.OriginLoad > p.OriginCapacity {
		fraction := p.OriginCapacity / allocation.OriginLoad
		for group := range p.Capacity {
			allocation.scaleGroup(group, fraction)
		}
		p.evaluate(allocation)
	}
	return allocation
}

// boundedCapacity returns the groups' capacities. Each is limited to maxLoadFactor times the group's part of the total
// demand, which is proportional to the group's capacity. maxLoadFactor 0 means no limit.
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
