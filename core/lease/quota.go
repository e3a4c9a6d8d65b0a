package lease

// floor is what this router may have in use without a lease.
func (n *Node) floor() float64 { return n.options.Limit.floor(n.options.Topology.Routers) }

// Quota is how much of the limit this router may have in use at present: its floor and what it has on lease. Many
// routers that use quotas below one by drawing lots keep the limit on average; what they take with TryAcquire keeps
// it always.
func (n *Node) Quota(now int64) float64 {
	return n.floor() + n.lessees[0].available(now+n.options.Limit.ExpiryMargin)
}

// SetDemand sets how much of the limit this router could use at present.
func (n *Node) SetDemand(amount float64) { n.demand = amount }

// TryAcquire takes one from the limit, and reports whether there was one to be had.
func (n *Node) TryAcquire(now int64) bool {
	if float64(n.inUse+1) > n.Quota(now) {
		return false
	}
	n.inUse++
	return true
}

// Release gives back one that was taken with TryAcquire.
func (n *Node) Release() { n.inUse = max(n.inUse-1, 0) }

// InUse is how many were acquired and not released.
func (n *Node) InUse() int { return n.inUse }

// Holder is the router from which this one has a lease for its own use; NoRank if it has none.
func (n *Node) Holder(now int64) int {
	if now >= n.lessees[0].lease.ExpiresAt {
		return NoRank
	}
	return n.lessees[0].holder
}

// HeldLevels lists the levels of the groups that this router holds at present: others ask it for leases, and it has a
// lease to grant them out of or, for the fleet, is elected.
func (n *Node) HeldLevels(now int64) (levels []int) {
	for level := 1; level < len(n.holders); level++ {
		if n.capacities(now, level)[0].ExpiresAt > now && n.holders[level].hasDemand(now) {
			levels = append(levels, level)
		}
	}
	return levels
}
