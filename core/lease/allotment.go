package lease

import "slices"

// Allotment is an amount that may be in use until a time.
type Allotment struct {
	Amount    float64
	ExpiresAt int64 // us
}

// Outstanding is the greatest amount of the allotments that have not expired: the most that their owner may have in
// use from now on.
func Outstanding(now int64, allotments []Allotment) (amount float64) {
	for _, a := range allotments {
		if now < a.ExpiresAt {
			amount = max(amount, a.Amount)
		}
	}
	return amount
}

// Record writes an allotment over the one that expires first. If that one has not expired yet, the two become one
// that is no less than either, so that Outstanding never falls short of what was recorded.
func Record(now int64, allotments []Allotment, added Allotment) {
	first := &allotments[0]
	for i := range allotments {
		if allotments[i].ExpiresAt < first.ExpiresAt {
			first = &allotments[i]
		}
	}
	if now < first.ExpiresAt {
		added.Amount = max(added.Amount, first.Amount)
		added.ExpiresAt = max(added.ExpiresAt, first.ExpiresAt)
	}
	*first = added
}

// MajorityUntil is the time until which more than half of so many voters have voted, 0 if they have not, given when
// each of the votes cast expires. It sorts expirations.
func MajorityUntil(expirations []int64, voters int) int64 {
	majority := voters/2 + 1
	if len(expirations) < majority {
		return 0
	}
	slices.Sort(expirations)
	return expirations[len(expirations)-majority]
}
