package fleet

import (
	"errors"
	"fmt"
)

const (
	// maxLimits is the maximum number of limits of a fleet. It must not exceed 256, because the index of a limit is one
	// byte on the wire.
	maxLimits = 8
	// maxLimitValue bounds Limit.Max. On the wire, amounts are 32-bit numbers in units of lease.AmountUnit.
	maxLimitValue = 1e6
)

// RecoveryTime (us) is the time until leases of a pool are granted again after its holder has died or was partitioned
// from the others. It applies if more than half of all routers are in one partition. In this time the holder is
// declared dead, the votes for it expire, and two requests are answered. The response to the first request has the
// timestamp that a vote must echo, and the second request carries the vote. A test checks RecoveryTime for 15 routers
// with 10% datagram loss. In the 2 s after RecoveryTime, at least 60% of the pool must be leased on average. Fleets of
// 300 routers can need up to 18 s after a partition has healed.
const RecoveryTime = 10_000_000

// Limit is an upper bound on the sum of the units that all routers have in use.
type Limit struct {
	Name string
	// Max is the limit, above 0.
	Max float64
	// FloorFraction is the fraction of Max, 0 to 1, that is split evenly into floors, one for each configured router.
	// The rest is the pool, which is leased.
	FloorFraction float64
	// ExpiryMargin is a time (us). A router stops using a lease this long before it expires. Work that starts under a
	// lease and takes no longer than the margin ends before the lease expires.
	ExpiryMargin int64
}

// Validate returns an error that names the first field that is out of range, nil if all are valid. It names fields by
// their keys in the features file: the name of the limit for Max, and "floor" for FloorFraction.
func (l *Limit) Validate() error {
	switch {
	case l.Name == "":
		return errors.New("name: missing")
	case !(l.Max > 0 && l.Max <= maxLimitValue):
		return fmt.Errorf("%s: %v is out of range: must be above 0 and at most %d", l.Name, l.Max, int(maxLimitValue))
	case !(l.FloorFraction >= 0 && l.FloorFraction <= 1):
		return fmt.Errorf("floor: %v is not between 0 and 1", l.FloorFraction)
	case l.ExpiryMargin < 0 || l.ExpiryMargin >= leaseLifetime:
		return fmt.Errorf("expiryMargin: %d us is out of range: must be at least 0 and below %d us",
			l.ExpiryMargin, leaseLifetime)
	}
	return nil
}

// LimitName returns the name of the limit with the given index in Options.Limits.
func (n *Node) LimitName(limit int) string { return n.options.Limits[limit].Name }

// Quota returns how much of a limit this router may have in use at present: its floor plus its lease. If routers use a
// quota below 1 as the probability of using a unit, the limit holds only on average. With TryAcquire the limit always
// holds.
func (n *Node) Quota(now int64, limit int) float64 {
	if n.leaseTrees != nil {
		return n.leaseTrees[limit].Quota(now)
	}
	return n.limits[limit].quota(now)
}

// SetDemand sets how much of a limit this router could use at present, its floor included.
func (n *Node) SetDemand(limit int, amount float64) {
	if n.leaseTrees != nil {
		n.leaseTrees[limit].SetDemand(amount)
		return
	}
	n.limits[limit].demand = amount
}

// TryAcquire acquires one unit of a limit and returns true. It returns false if the quota is used up.
func (n *Node) TryAcquire(now int64, limit int) bool {
	if n.leaseTrees != nil {
		return n.leaseTrees[limit].TryAcquire(now)
	}
	return n.limits[limit].tryAcquire(now)
}

// Release returns one unit of a limit that was acquired with TryAcquire.
func (n *Node) Release(limit int) {
	if n.leaseTrees != nil {
		n.leaseTrees[limit].Release()
		return
	}
	n.limits[limit].release()
}

// LimitStatus is the status of a limit at this router. The JSON names of its fields are those in the log line "fleet".
type LimitStatus struct {
	Name       string  `json:"Name"`
	Quota      float64 `json:"Share"`
	InUse      int     `json:"InUse"`
	Holder     int     `json:"Holder"`           // router that has granted the lease of this router; lease.NoRank: none
	IsHolder   bool    `json:"Holds"`            // whether this router holds the limit or, in a tree, a group
	HeldLevels []int   `json:"Levels,omitempty"` // levels of the groups that this router holds in a tree; 1: smallest
}

// LimitStatuses returns the status of each limit, in the order of Options.Limits.
func (n *Node) LimitStatuses(now int64) (all []LimitStatus) {
	for i, tree := range n.leaseTrees {
		all = append(all, n.leaseTreeStatus(now, i, tree))
	}
	for _, limit := range n.limits {
		all = append(all, limit.status(now))
	}
	return all
}
