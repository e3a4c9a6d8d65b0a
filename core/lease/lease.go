package lease

import "slices"

// Lease is an amount of a limit that its lessee may have in use, or grant to others, until a time. The pool of an
// elected holder is described by a Lease too.
type Lease struct {
	Amount    float64
	ExpiresAt int64 // us
}

// Outstanding returns the largest amount among the leases that have not expired, 0 if all have expired. The lessee of
// these leases never has more than this amount in use from now on. A lessee uses one lease at a time, and the leases
// that it grants to others add up to no more than its largest lease.
func Outstanding(now int64, leases []Lease) (amount float64) {
	for _, l := range leases {
		if now < l.ExpiresAt {
			amount = max(amount, l.Amount)
		}
	}
	return amount
}

// RecordLease replaces the lease that expires first with added. If the replaced lease has not expired yet, the two are
// merged into a lease with the larger amount and the later expiry. Outstanding is therefore never below the amount of a
// recorded lease that has not expired.
func RecordLease(now int64, leases []Lease, added Lease) {
	earliest := &leases[0]
	for i := range leases {
		if leases[i].ExpiresAt < earliest.ExpiresAt {
			earliest = &leases[i]
		}
	}
	if now < earliest.ExpiresAt {
		added.Amount = max(added.Amount, earliest.Amount)
		added.ExpiresAt = max(added.ExpiresAt, earliest.ExpiresAt)
	}
	*earliest = added
}

// MajorityUntil returns the time (us) until which votes of more than half of the voters are valid, 0 if fewer have
// voted. The parameter expirations has the expiry of each vote and is sorted in place.
func MajorityUntil(expirations []int64, voters int) int64 {
	majority := voters/2 + 1
	if len(expirations) < majority {
		return 0
	}
	slices.Sort(expirations)
	return expirations[len(expirations)-majority]
}
