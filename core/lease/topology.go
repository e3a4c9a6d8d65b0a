package lease

import (
	"errors"
	"fmt"
	"slices"
)

// Topology places routers in the tree by their ranks.
type Topology struct {
	// Routers is how many there may be: ranks are below it. Those that are not there cost their floors and nothing else.
	Routers int `json:"routers" jsonschema_description:"how many routers there may be: ranks are below it; each costs its floor, there or not"`
	// GroupSizes are the numbers of ranks in a group of each level below the fleet, smallest first. Each is a multiple of the one before.
	GroupSizes []int `json:"groups" jsonschema_description:"ranks in a group of each level below the fleet, smallest first, each a multiple of the one before"`
	// Electors are the ranks that elect the fleet's holder, of which it is one.
	Electors []int `json:"electors" jsonschema_description:"ranks, an odd number, whose majority elects the holder of the fleet"`
}

const (
	maxRouters  = 1 << 16
	maxLevels   = 4 // with that of the fleet
	maxElectors = 15
)

// Validate reports the field that can't be used.
func (t *Topology) Validate() error {
	if t.Routers < 1 || t.Routers > maxRouters {
		return fmt.Errorf("routers: %d is not 1 to %d", t.Routers, maxRouters)
	}
	if len(t.GroupSizes) >= maxLevels {
		return fmt.Errorf("groups: %d levels, %d at most", len(t.GroupSizes), maxLevels-1)
	}
	before := 1
	for i, size := range t.GroupSizes {
		if size <= before || size%before != 0 {
			return fmt.Errorf("groups[%d]: %d is not a multiple of %d above it", i, size, before)
		}
		before = size
	}
	if n := len(t.Electors); n < 1 || n > maxElectors || n%2 == 0 {
		return fmt.Errorf("electors: %d, an odd number up to %d is wanted", n, maxElectors)
	}
	for i, rank := range t.Electors {
		if rank < 0 || rank >= t.Routers {
			return fmt.Errorf("electors[%d]: rank %d of %d", i, rank, t.Routers)
		}
		if slices.Contains(t.Electors[:i], rank) {
			return fmt.Errorf("electors[%d]: rank %d twice", i, rank)
		}
	}
	return nil
}

// fleetLevel is the level of the fleet: 0 is a router's own use, 1 that of the smallest groups.
func (t *Topology) fleetLevel() int { return len(t.GroupSizes) + 1 }

// inSameGroup tells whether two routers are in one group of a level.
func (t *Topology) inSameGroup(level, a, b int) bool {
	if level >= t.fleetLevel() {
		return true
	}
	size := t.GroupSizes[level-1]
	return a/size == b/size
}

// groupMembers lists the ranks that may hold a router's group of a level.
func (t *Topology) groupMembers(level, rank int) []int {
	if level >= t.fleetLevel() {
		return t.Electors
	}
	size := t.GroupSizes[level-1]
	first := rank / size * size
	var ranks []int
	for member := first; member < min(first+size, t.Routers); member++ {
		ranks = append(ranks, member)
	}
	return ranks
}

// Limit is the number that is held together.
type Limit struct {
	Max           float64 // of all routers together
	FloorFraction float64 // part of it that is split evenly into floors, 0 to 1; the rest is the pool
	ExpiryMargin  int64   // us before the end of a lease from which nothing is begun under it
}

// maxLimitValue bounds Limit.Max: amounts go over the wire in 32 bits.
const maxLimitValue = 1e6

// Validate reports the field that can't be used.
func (l *Limit) Validate() error {
	switch {
	case !(l.Max > 0 && l.Max <= maxLimitValue):
		return fmt.Errorf("most: %v is not above 0 to %v", l.Max, maxLimitValue)
	case !(l.FloorFraction >= 0 && l.FloorFraction <= 1):
		return fmt.Errorf("floor: %v is not 0 to 1", l.FloorFraction)
	case l.ExpiryMargin < 0 || l.ExpiryMargin >= leaseLifetime:
		return errors.New("spare: not 0 to less than the lifetime of a lease")
	}
	return nil
}
