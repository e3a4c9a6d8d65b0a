package lease

import "maps"

// AvoidList holds the ranks that are passed over in the choice of a holder because they did not answer, each with the
// time (us) at which it may be chosen again.
type AvoidList map[int]int64

// Contains reports whether a rank is on the list.
func (l AvoidList) Contains(rank int) bool { return l[rank] != 0 }

// Expire removes the ranks whose time has come.
func (l AvoidList) Expire(now int64) {
	maps.DeleteFunc(l, func(_ int, until int64) bool { return now >= until })
}
