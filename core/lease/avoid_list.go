package lease

import "maps"

// AvoidList has the ranks that are not eligible as a holder because they did not respond. It maps each of them to the
// time (us) at which the rank becomes eligible again.
type AvoidList map[int]int64

// Contains reports whether a rank is on the list.
func (l AvoidList) Contains(rank int) bool { return l[rank] != 0 }

// Expire removes the ranks that are eligible again.
func (l AvoidList) Expire(now int64) {
	maps.DeleteFunc(l, func(_ int, until int64) bool { return now >= until })
}
