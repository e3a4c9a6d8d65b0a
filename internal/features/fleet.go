package features

import (
	"fmt"
	"reflect"

	"spantack/core/fleet"
	"spantack/core/lease"
	"spantack/routing"
)

// Fleet is the section of features for which routers exchange messages: a limit on fills that reach the origin, and
// verdicts on servers.
type Fleet struct {
	Enabled     bool    `json:"enabled"`
	OriginFills float64 `json:"asks,omitempty" jsonschema_description:"maximum of concurrent fills that reach the origin, of all routers, up to 1000000; 0: no limit"`
	Floor       float64 `json:"floor,omitempty" jsonschema_description:"fraction of the limit that is split evenly among routers and never lent, 0 to 1"`
	// Verdicts makes routers avoid parent caches that fail according to two sites.
	Verdicts bool `json:"verdicts,omitempty" jsonschema_description:"routers avoid parent caches that fail according to two sites"`
	// LeaseTree distributes the limit through a tree of leases, in which a router exchanges messages with its group only.
	// Without it, one router exchanges messages with all others.
	LeaseTree lease.Topology `json:"tree,omitzero" jsonschema_description:"groups of routers that lease the limit from one another, for a fleet of many hundreds of routers or more; if left out, one router holds the limit"`
}

// FleetLimits returns the limit on origin fills of all routers together, as a list of one; nil if there is no limit.
func (f *File) FleetLimits() []fleet.Limit {
	if f == nil || !f.Fleet.Enabled || f.Fleet.OriginFills == 0 {
		return nil
	}
	return []fleet.Limit{{Name: "asks", Max: f.Fleet.OriginFills, FloorFraction: f.Fleet.Floor}}
}

// LeaseTree returns the tree of leases that distributes the fleet's limits; nil if one router holds each limit.
func (f *File) LeaseTree() *lease.Topology {
	if f == nil || !f.Fleet.Enabled || reflect.DeepEqual(f.Fleet.LeaseTree, lease.Topology{}) {
		return nil
	}
	return &f.Fleet.LeaseTree
}

// VerdictsEnabled reports whether routers share verdicts on servers and act on them.
func (f *File) VerdictsEnabled() bool { return f != nil && f.Fleet.Enabled && f.Fleet.Verdicts }

func (f *File) validateFleet() error {
	for _, limit := range f.FleetLimits() {
		if err := limit.Validate(); err != nil {
			return fmt.Errorf("fleet.%w", err)
		}
	}
	if tree := f.LeaseTree(); tree != nil {
		if err := tree.Validate(); err != nil {
			return fmt.Errorf("fleet.tree.%w", err)
		}
	}
	if f.Fleet.Enabled && f.Fleet.OriginFills == 0 && !f.Fleet.Verdicts {
		return fieldError("fleet.asks", "0; if fleet.enabled is true, it must be above 0 or fleet.verdicts must be true")
	}
	return nil
}

// checkFleetSettings checks that the router can determine which requests reach the origin: its settings must name a
// kind of parent cache, and must state that every response reports its cache status.
func (f *File) checkFleetSettings(settings *routing.Settings) error {
	if !f.Fleet.Enabled {
		return nil
	}
	if settings.Hierarchy.ParentKind < 0 {
		return fieldError("fleet.enabled", "true, but the settings have no parent caches (Extra.ShieldKind)")
	}
	if settings.Hierarchy.CacheStatusReporting != routing.CacheStatusReported {
		return fieldError("fleet.enabled",
			"true, but not every response reports its cache status (Extra.NotesGiven is %q, must be %q)",
			settings.Hierarchy.CacheStatusReporting, routing.CacheStatusReported)
	}
	return nil
}
