package lease

import "fmt"

// Limit is an upper bound on the sum of the units that all routers have in use, such as requests in flight to an
// origin.
type Limit struct {
	// Max is the limit, above 0.
	Max float64
	// FloorFraction is the fraction of Max, 0 to 1, that is split evenly into floors, one for each possible router.
	// The rest is the pool, which is leased.
	FloorFraction float64
	// ExpiryMargin is a time (us). A router stops using a lease this long before it expires. Work that starts under a
	// lease and takes no longer than the margin ends before the lease expires.
	ExpiryMargin int64
}

// maxLimitValue bounds Limit.Max: on the wire, amounts are 32-bit numbers in units of AmountUnit.
const maxLimitValue = 1e6

// Validate returns an error that names the first field that is out of range, nil if all are valid.
func (l *Limit) Validate() error {
	switch {
	case !(l.Max > 0 && l.Max <= maxLimitValue):
		return fmt.Errorf("max: %v is out of range: must be above 0 and at most %.0f", l.Max, maxLimitValue)
	case !(l.FloorFraction >= 0 && l.FloorFraction <= 1):
		return fmt.Errorf("floorFraction: %v is not between 0 and 1", l.FloorFraction)
	case l.ExpiryMargin < 0 || l.ExpiryMargin >= leaseLifetime:
		return fmt.Errorf("expiryMargin: %d us is out of range: must be at least 0 and below %d us",
			l.ExpiryMargin, leaseLifetime)
	}
	return nil
}

// floor returns how much each router may have in use without a lease.
func (l *Limit) floor(routers int) float64 { return l.Max * l.FloorFraction / float64(routers) }

// pool returns the part of the limit that the holder of the fleet leases out.
func (l *Limit) pool() float64 { return l.Max * (1 - l.FloorFraction) }
