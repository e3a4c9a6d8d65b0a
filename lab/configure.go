package lab

import (
	"cmp"
	"fmt"

	"spantack/core/cells"
	"spantack/emulator"
)

// overflowShare is the share of all caches in the overflow cell, which serves requests that exceed the capacity of
// their cells.
const overflowShare = 1.0 / 8

// configure returns the emulator configuration for an arm on a day.
func (e *Experiment) configure(size string, seed uint64, arm Arm, day Day) (emulator.Config, error) {
	cfg, known := e.Sizes[size]
	if !known {
		return cfg, unknownSize(size)
	}
	cfg.Seed = seed
	addDay(&cfg, day)
	if err := addArm(&cfg, arm); err != nil {
		return cfg, err
	}
	err := e.addCells(&cfg, size, arm, day)
	return cfg, err
}

// unknownSize is the error for a size that an experiment does not define.
func unknownSize(size string) error { return fmt.Errorf("size %q is not defined", size) }

// addDay sets the faults and load changes of a day, but not its release, which addCells sets.
func addDay(cfg *emulator.Config, day Day) {
	cfg.Flood = day.Flood
	cfg.Poison = day.Poison
	cfg.Faults = day.Faults
	cfg.MaxClockSkewMillis = day.MaxClockSkewMillis
	cfg.HotObject = day.HotObject
}

// addArm sets the settings of an arm. It does not set the cells and migrations, which addCells sets, or the fields for
// trials.
func addArm(cfg *emulator.Config, arm Arm) (err error) {
	cfg.RateLimitFactor = arm.RateLimitFactor
	cfg.CancelsAbandonedFetches = arm.CancelsAbandonedFetches
	cfg.Gossip = arm.Gossip
	if arm.Deployment != nil {
		cfg.Deployment = arm.Deployment
	}
	if arm.OriginLimit != "" {
		cfg.OriginLimit = cfg.OriginLimitDocument(arm.OriginLimit, arm.ForgetsAbandonedFills)
	}
	if arm.TopologyStyle != "" {
		cfg.Topology, err = cfg.BuildTopology(arm.TopologyStyle)
	}
	return err
}

// addCells sets the cells of an arm, the release of the day and the migrations of the arm. Releases and migrations need
// cells. An arm without cells only uses the tenant assignment of another arm: the one with cells whose name sorts
// first. This makes the figures of all arms comparable.
func (e *Experiment) addCells(cfg *emulator.Config, size string, arm Arm, day Day) error {
	cellCount := arm.Cells.forSize(size)
	plannedCellCount := cellCount
	for _, other := range sortedKeys(e.Arms) {
		plannedCellCount = cmp.Or(plannedCellCount, e.Arms[other].Cells.forSize(size))
	}
	if plannedCellCount == 0 {
		return nil
	}
	spec, cellByTenant := emulator.PlanCells(cfg, plannedCellCount)
	cfg.CellByTenant = cellByTenant
	if cellCount == 0 {
		return nil
	}
	spec.Scheme = cmp.Or(cells.Scheme(arm.Scheme), cells.SchemeFixed)
	spec.Width = arm.ShardWidth
	if spec.Scheme == cells.SchemeOverflow {
		addOverflowCell(spec)
	}
	cfg.Cells = spec
	if day.Release != nil {
		release := *day.Release
		cfg.Release = &release
	}
	if migrations := arm.Migrations[size]; migrations != nil {
		if err := cfg.PlanMigrations(migrations); err != nil {
			return fmt.Errorf("trip: %w", err)
		}
	}
	return nil
}

// addOverflowCell adds an overflow cell with overflowShare of all caches, and shrinks the other cells accordingly.
func addOverflowCell(spec *cells.Spec) {
	for i := range spec.Cells {
		spec.Cells[i].Share *= 1 - overflowShare
	}
	spec.Cells = append(spec.Cells, cells.Cell{Name: "spare", Share: overflowShare})
	spec.OverflowCell = "spare"
}
