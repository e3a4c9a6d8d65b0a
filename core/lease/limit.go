package lease

import "fmt"

// Limit is a number that all routers together must not exceed, such as requests in flight to an origin.
type Limit struct {
	// Max is the limit, above 0.
	Max float64
	// FloorFraction is the part of Max, 0 to 1, that is split evenly into floors, one for each router that there
	// may be. The rest is the pool, which is leased.
	FloorFraction float64
	// ExpiryMargin is how long (us) before the end of a lease a router stops using it. Whatever is begun under a
	// lease and takes no longer than that ends before the lease does.
	ExpiryMargin int64
}

// maxLimitValue bounds Limit.Max: amounts go over the wire in 32 bits, in units of AmountUnit.
const maxLimitValue = 1e6

// Validate returns an error that names the first field that is out of its range, nil if none is.
func (l *Limit) Validate() error {
	switch {
	case !(l.Max > 0 && l.Max <= maxLimitValue):
		return fmt.Errorf("max: %v is not above 0 to %v", l.Max, maxLimitValue)
	case !(l.FloorFraction >= 0 && l.FloorFraction <= 1):
		return fmt.Errorf("floorFraction: %v is not 0 to 1", l.FloorFraction)
	case l.ExpiryMargin < 0 || l.ExpiryMargin >= leaseLifetime:
		return fmt.Errorf("expiryMargin: %d us is not 0 to less than %d", l.ExpiryMargin, leaseLifetime)
	}
	return nil
}

// floor is what each router may have in use without a lease.
func (l *Limit) floor(routers int) float64 { return l.Max * l.FloorFraction / float64(routers) }

// pool is what the fleet's holder leases.
func (l *Limit) pool() float64 { return l.Max * (1 - l.FloorFraction) }
