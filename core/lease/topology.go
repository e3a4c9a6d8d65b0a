package lease

import (
	"fmt"
	"slices"
)

// Topology places routers in the tree by their ranks. It is the same at all routers.
type Topology struct {
	// Routers is how many there may be: ranks are below it. One that is not there costs its floor and nothing else.
	Routers int `json:"routers" jsonschema_description:"how many routers there may be: ranks are below it; each costs its floor, there or not"`
	// GroupSizes are the numbers of ranks in a group of each level below the fleet, smallest first, each a multiple
	// of the one before.
	GroupSizes []int `json:"groups" jsonschema_description:"ranks in a group of each level below the fleet, smallest first, each a multiple of the one before"`
	// Electors are the ranks, an odd number, whose majority elects one of them as the fleet's holder.
	Electors []int `json:"electors" jsonschema_description:"ranks, an odd number, whose majority elects the holder of the fleet"`
}

const (
	maxRouters  = 1 << 16 // ranks go over the wire in 16 bits
	maxLevels   = 4       // of groups, that of the whole fleet among them
	maxElectors = 15
)

// Validate returns an error that names the first field that is out of its range, nil if none is. Fields have the
// names that they have in the features file.
func (t *Topology) Validate() error {
	if t.Routers < 1 || t.Routers > maxRouters {
		return fmt.Errorf("routers: %d is not 1 to %d", t.Routers, maxRouters)
	}
	if err := t.validateGroupSizes(); err != nil {
		return err
	}
	return t.validateElectors()
}

func (t *Topology) validateGroupSizes() error {
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
	return nil
}

func (t *Topology) validateElectors() error {
	if count := len(t.Electors); count < 1 || count > maxElectors || count%2 == 0 {
		return fmt.Errorf("electors: %d, an odd number up to %d is wanted", count, maxElectors)
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

// fleetLevel is the level of the whole fleet. Level 0 is a router's own use, level 1 that of the smallest groups.
func (t *Topology) fleetLevel() int { return len(t.GroupSizes) + 1 }

// inSameGroup reports whether two routers are in one group of a level.
func (t *Topology) inSameGroup(level, a, b int) bool {
	if level >= t.fleetLevel() {
		return true
	}
	size := t.GroupSizes[level-1]
	return a/size == b/size
}

// holderCandidates lists the ranks that may hold a router's group of a level: its members or, for the fleet, the
// electors.
func (t *Topology) holderCandidates(level, rank int) []int {
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

// isElector reports whether a router is one of the electors.
func (t *Topology) isElector(rank int) bool { return slices.Contains(t.Electors, rank) }
