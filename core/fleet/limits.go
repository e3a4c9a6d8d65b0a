package fleet

import (
	"errors"
	"fmt"
)

const (
	maxLimits     = 8   // of a fleet: a limit's index goes over the wire in a byte
	maxLimitValue = 1e6 // amounts go over the wire in 32 bits, in units of lease.AmountUnit
)

// RecoveryTime (us) is how long it takes until leases of a pool are granted again after its holder has died or was
// cut off, where more than half of all routers are in one partition: until the holder is declared dead, until the
// votes for it have expired, and until two requests have been answered. It is held by a test at 15 routers, with
// one datagram in ten lost; 300 took up to 18 s after a heal.
const RecoveryTime = 10_000_000

// Limit is a number that all routers together must not exceed.
type Limit struct {
	Name string
	// Max is the limit, above 0.
	Max float64
	// FloorFraction is the part of Max, 0 to 1, that is split evenly into floors, one for each router of the
	// settings. The rest is the pool, which is leased.
	FloorFraction float64
	// ExpiryMargin is how long (us) before the end of a lease a router stops using it. Whatever is begun under a
	// lease and takes no longer than that ends before the lease does.
	ExpiryMargin int64
}

// Validate returns an error that names the first field that is out of its range, nil if none is. Max goes by the
// limit's name, and FloorFraction by floor, as in the features file.
func (l *Limit) Validate() error {
	switch {
	case l.Name == "":
		return errors.New("name: missing")
	case !(l.Max > 0 && l.Max <= maxLimitValue):
		return fmt.Errorf("%s: %v is not above 0 to %d", l.Name, l.Max, int(maxLimitValue))
	case !(l.FloorFraction >= 0 && l.FloorFraction <= 1):
		return fmt.Errorf("floor: %v is not 0 to 1", l.FloorFraction)
	case l.ExpiryMargin < 0 || l.ExpiryMargin >= leaseLifetime:
		return fmt.Errorf("expiryMargin: %d us is not 0 to less than %d", l.ExpiryMargin, leaseLifetime)
	}
	return nil
}

// LimitName is the name of a limit by its index.
func (n *Node) LimitName(limit int) string { return n.options.Limits[limit].Name }

// Quota is how much of a limit this router may have in use at present: its floor and what it has on lease. Many
// routers that use quotas below one by drawing lots keep the limit on average; what they take with TryAcquire keeps
// it always.
func (n *Node) Quota(now int64, limit int) float64 {
	if n.leaseTrees != nil {
		return n.leaseTrees[limit].Quota(now)
	}
	return n.limits[limit].quota(now)
}

// SetDemand sets how much of a limit this router could use at present.
func (n *Node) SetDemand(limit int, amount float64) {
	if n.leaseTrees != nil {
		n.leaseTrees[limit].SetDemand(amount)
		return
	}
	n.limits[limit].demand = amount
}

// TryAcquire takes one from a limit, and reports whether there was one to be had.
func (n *Node) TryAcquire(now int64, limit int) bool {
	if n.leaseTrees != nil {
		return n.leaseTrees[limit].TryAcquire(now)
	}
	return n.limits[limit].tryAcquire(now)
}

// Release gives back one that was taken with TryAcquire.
func (n *Node) Release(limit int) {
	if n.leaseTrees != nil {
		n.leaseTrees[limit].Release()
		return
	}
	n.limits[limit].release()
}

// LimitStatus is this router's part in a limit. Its fields have the names of the log line "fleet".
type LimitStatus struct {
	Name       string  `json:"Name"`
	Quota      float64 `json:"Share"`
	InUse      int     `json:"InUse"`
	Holder     int     `json:"Holder"`           // that has granted this router a lease; lease.NoRank: none has
	IsHolder   bool    `json:"Holds"`            // this router grants leases: of the limit or, in a tree, of a group
	HeldLevels []int   `json:"Levels,omitempty"` // of the groups of a tree that this router holds: 1 is the smallest
}

// LimitStatuses are those of all limits, in the order of Options.Limits.
func (n *Node) LimitStatuses(now int64) (all []LimitStatus) {
	for i, tree := range n.leaseTrees {
		all = append(all, n.leaseTreeStatus(now, i, tree))
	}
	for _, limit := range n.limits {
		all = append(all, limit.status(now))
	}
	return all
}
