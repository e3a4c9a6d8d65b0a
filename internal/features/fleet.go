package features

import (
	"fmt"
	"reflect"

	"spantack/core/fleet"
	"spantack/core/lease"
	"spantack/routing"
)

// Fleet is the section of what all routers keep together: a limit on fills from the origin, and verdicts on servers.
type Fleet struct {
	Enabled     bool    `json:"enabled"`
	OriginFills float64 `json:"asks,omitempty" jsonschema_description:"fills that ask the head office at once, of all routers, up to 1000000; 0: no such limit"`
	Floor       float64 `json:"floor,omitempty" jsonschema_description:"part of that which is split evenly and never lent, 0 to 1"`
	// Verdicts makes routers avoid parent caches that two sites find failing.
	Verdicts bool `json:"verdicts,omitempty" jsonschema_description:"routers keep off area caches that two depots find failing"`
	// LeaseTree keeps the limit by a tree of leases, in which a router exchanges messages with its group only. If it is
	// left out, one router exchanges messages with all.
	LeaseTree lease.Topology `json:"tree,omitzero" jsonschema_description:"groups that lease the limit to one another, for a fleet of many hundreds or more"`
}

// FleetLimits returns the limits that the fleet keeps together; nil if there are none.
func (f *File) FleetLimits() []fleet.Limit {
	if f == nil || !f.Fleet.Enabled || f.Fleet.OriginFills == 0 {
		return nil
	}
	return []fleet.Limit{{Name: "asks", Max: f.Fleet.OriginFills, FloorFraction: f.Fleet.Floor}}
}

// LeaseTree returns the tree of leases by which the fleet's limits are kept; nil if one router holds each.
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
		return fieldError("fleet.asks", "0, must be above 0, or fleet.verdicts true, where fleet.enabled is true")
	}
	return nil
}

// checkFleetSettings checks that a router's settings let it see which requests reach the origin: it has parent
// caches, and each of their answers tells whether it came from the cache.
func (f *File) checkFleetSettings(settings *routing.Settings) error {
	if !f.Fleet.Enabled {
		return nil
	}
	if settings.Hierarchy.ParentKind < 0 {
		return fieldError("fleet.enabled", "true, but the settings have no area caches (Extra.ShieldKind)")
	}
	if settings.Hierarchy.CacheStatusReporting != routing.CacheStatusReported {
		return fieldError("fleet.enabled",
			"true, but by the settings not all answers have a note (Extra.NotesGiven is %q, must be %q)",
			settings.Hierarchy.CacheStatusReporting, routing.CacheStatusReported)
	}
	return nil
}
