package lease

import "slices"

// Lease is an amount that may be in use until a time.
type Lease struct {
	Amount    float64
	ExpiresAt int64 // us
}

// Outstanding returns the largest amount among the allotments that have not expired, 0 if all have. It bounds what
// their owner may have in use from now on: an owner uses one allotment at a time, and what it grants to others adds up
// to no more than its largest one.
func Outstanding(now int64, allotments []Lease) (amount float64) {
	for _, a := range allotments {
		if now < a.ExpiresAt {
			amount = max(amount, a.Amount)
		}
	}
	return amount
}

// RecordLease replaces the allotment that expires first with added. If that allotment has not expired yet, the two
// are merged: the result has the larger amount and the later expiry, so Outstanding is never below an unexpired
// amount that was recorded.
func RecordLease(now int64, allotments []Lease, added Lease) {
	earliest := &allotments[0]
	for i := range allotments {
		if allotments[i].ExpiresAt < earliest.ExpiresAt {
			earliest = &allotments[i]
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
