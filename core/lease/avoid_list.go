package lease

import "maps"

// AvoidList maps each rank that is not eligible as a holder, because it did not answer, to the time (us) at which it
// becomes eligible again.
type AvoidList map[int]int64

// Contains reports whether a rank is on the list.
func (l AvoidList) Contains(rank int) bool { return l[rank] != 0 }

// Expire removes the ranks that are eligible again.
func (l AvoidList) Expire(now int64) {
	maps.DeleteFunc(l, func(_ int, until int64) bool { return now >= until })
}
