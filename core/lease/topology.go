package lease

import (
	"fmt"
	"slices"
)

// Topology assigns routers to the groups of the tree by rank. It is the same at all routers.
type Topology struct {
	// Routers is the maximum number of routers: ranks are 0 to Routers-1. A rank without a router only leaves its
	// floor unused.
	Routers int `json:"routers" jsonschema_description:"maximum number of routers; ranks are below it. The floor of a rank is reserved even if no router has that rank"`
	// GroupSizes has, for each level below the fleet, the number of ranks in a group. The smallest size comes first, and
	// each size is a multiple of the previous size.
	GroupSizes []int `json:"groups" jsonschema_description:"number of ranks in a group, one value for each level below the fleet. The smallest comes first, and each is a multiple of the one before it"`
	// Electors are the ranks of the electors, an odd number. A majority of them elects one of them as the holder of
	// the fleet.
	Electors []int `json:"electors" jsonschema_description:"ranks of the electors, an odd number. A majority of them elects the holder of the fleet"`
}

const (
	maxRouters  = 1 << 16 // ranks are 16-bit numbers on the wire
	maxLevels   = 4       // maximum number of levels of groups, including the level of the whole fleet
	maxElectors = 15
)

// Validate returns an error that names the first field that is out of range, nil if all are valid. Fields are named as
// in the features file.
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
		return fmt.Errorf("groups: %d levels, want at most %d", len(t.GroupSizes), maxLevels-1)
	}
	previous := 1
	for i, size := range t.GroupSizes {
		if size <= previous || size%previous != 0 {
			return fmt.Errorf("groups[%d]: %d is not a multiple of %d above %[3]d", i, size, previous)
		}
		previous = size
	}
	return nil
}

func (t *Topology) validateElectors() error {
	if count := len(t.Electors); count < 1 || count > maxElectors || count%2 == 0 {
		return fmt.Errorf("electors: %d, an odd number up to %d is required", count, maxElectors)
	}
	for i, rank := range t.Electors {
		if rank < 0 || rank >= t.Routers {
			return fmt.Errorf("electors[%d]: rank %d of %d routers is out of range", i, rank, t.Routers)
		}
		if slices.Contains(t.Electors[:i], rank) {
			return fmt.Errorf("electors[%d]: rank %d is a duplicate", i, rank)
		}
	}
	return nil
}

// fleetLevel returns the level of the whole fleet. Level 0 is a router itself, level 1 the smallest groups.
func (t *Topology) fleetLevel() int { return len(t.GroupSizes) + 1 }

// inSameGroup reports whether two routers belong to the same group of a level.
func (t *Topology) inSameGroup(level, a, b int) bool {
	if level >= t.fleetLevel() {
		return true
	}
	size := t.GroupSizes[level-1]
	return a/size == b/size
}

// holderCandidates returns the ranks that may hold the group to which a router belongs at a level. Below the level of
// the fleet, these are the members of the group. At the level of the fleet, they are the electors.
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
