package lease

// floor returns how much this router may have in use without a lease.
func (n *Node) floor() float64 { return n.options.Limit.floor(n.options.Topology.Routers) }

// Quota returns how much of the limit this router may have in use at present: its floor plus its lease. If routers use
// a quota below 1 as the probability of using a unit, the limit holds only on average. With TryAcquire the limit always
// holds.
func (n *Node) Quota(now int64) float64 {
	return n.floor() + n.lessees[0].available(now+n.options.Limit.ExpiryMargin)
}

// SetDemand sets how much of the limit this router could use at present, its floor included.
func (n *Node) SetDemand(amount float64) { n.demand = amount }

// TryAcquire acquires one unit of the limit and returns true. It returns false if the quota is used up.
func (n *Node) TryAcquire(now int64) bool {
	if float64(n.inUse+1) > n.Quota(now) {
		return false
	}
	n.inUse++
	return true
}

// Release returns one unit that was acquired with TryAcquire.
func (n *Node) Release() { n.inUse = max(n.inUse-1, 0) }

// InUse returns the number of units that were acquired and not released.
func (n *Node) InUse() int { return n.inUse }

// Holder returns the router that has granted the lease that this router uses at present, NoRank if it has no lease.
func (n *Node) Holder(now int64) int {
	if now >= n.lessees[0].lease.ExpiresAt {
		return NoRank
	}
	return n.lessees[0].holder
}

// HeldLevels returns the levels of the groups that this router holds at present. To hold a group, the router must have
// received a recent request from a lessee of the group. It must also have an unexpired lease from which it can grant
// leases. At the level of the fleet, it must be elected instead.
func (n *Node) HeldLevels(now int64) (levels []int) {
	for level := 1; level < len(n.holders); level++ {
		if n.sources(now, level)[0].ExpiresAt > now && n.holders[level].hasDemand(now) {
			levels = append(levels, level)
		}
	}
	return levels
}
