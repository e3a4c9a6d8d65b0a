// Package lab runs experiments on the emulator. An experiment compares arms, which are variants of the configuration,
// on days with and without faults, and checks claims, which are bounds on figures. The same seed and size give
// byte-identical results on any machine.
package lab

import (
	"cmp"
	"encoding/json"
	"fmt"

	"spantack/emulator"
)

// Experiment is one file of the folder experiments. For each size it defines either a world, in Sizes, or a trial.
type Experiment struct {
	Name  string                     `json:"-"`
	Title string                     `json:"title"`
	Sizes map[string]emulator.Config `json:"sizes"`

	// Trials by size, used instead of a world. They compare topologies, limits at the origin, or methods of sharing a
	// limit in a fleet.
	TopologyTrials    map[string]emulator.TopologyTrial    `json:"shapes,omitempty"`
	OriginLimitTrials map[string]emulator.OriginLimitTrial `json:"shield,omitempty"`
	FleetLimitTrials  map[string]emulator.FleetLimitTrial  `json:"tier,omitempty"`

	// WatchedTenant is the tenant that causes the flood or poison on some days. Its requests are counted separately on
	// the other days too. This makes the days comparable. Below 0: none.
	WatchedTenant int            `json:"watch"`
	Arms          map[string]Arm `json:"arms"`
	Days          map[string]Day `json:"days"`
	Claims        []Claim        `json:"claims"`
	// TableFigures are the columns of the table; empty: defaultTableFigures.
	TableFigures []string `json:"table,omitempty"`
	Chart        Chart    `json:"chart"`
}

// Arm is one of the variants that an experiment compares. An omitted field switches its mechanism off, or leaves the
// value of the world. The order of the fields is the order in the stored form.
type Arm struct {
	Cells           CountBySize `json:"cells,omitempty"` // 0: no cells
	Scheme          string      `json:"scheme,omitempty"`
	ShardWidth      int         `json:"width,omitempty"` // caches per tenant, with the schemes shuffle and nested
	RateLimitFactor float64     `json:"limit,omitempty"` // per tenant, as a multiple of its usual rate; 0: no limit
	// CancelsAbandonedFetches makes parents cancel fetches that no client waits for any more.
	CancelsAbandonedFetches bool `json:"dropFetches,omitempty"`

	// For trials: algorithm and burst of a limit at the origin, and method of a limit shared by a fleet.
	Algorithm string  `json:"law,omitempty"`
	Method    string  `json:"way,omitempty"`
	Burst     float64 `json:"burst,omitempty"`

	OriginLimit string `json:"shield,omitempty"` // algorithm of the origin limit
	// ForgetsAbandonedFills makes the origin limit not count fills that no client waits for any more.
	ForgetsAbandonedFills bool                               `json:"forget,omitempty"`
	TopologyStyle         string                             `json:"shape,omitempty"`
	Migrations            map[string]*emulator.MigrationSpec `json:"trip,omitempty"` // by size
	Gossip                *emulator.Gossip                   `json:"talk,omitempty"` // datagrams about overloaded parents
	Deployment            *emulator.Deployment               `json:"site,omitempty"` // replaces the world's deployment
}

// CountBySize is a number for each size. The entry with an empty key applies to all sizes that are not listed.
type CountBySize map[string]int

// UnmarshalJSON accepts one number for all sizes, such as 4, or an object such as {"small": 4, "full": 8}.
func (c *CountBySize) UnmarshalJSON(text []byte) error {
	var number int
	if json.Unmarshal(text, &number) == nil {
		*c = CountBySize{"": number}
		return nil
	}
	var bySize map[string]int
	if err := json.Unmarshal(text, &bySize); err != nil {
		return fmt.Errorf("want a number or an object with a number for each size: %w", err)
	}
	*c = bySize
	return nil
}

// forSize returns the number for a size, 0 if there is none.
func (c CountBySize) forSize(size string) int { return cmp.Or(c[size], c[""]) }

// Day describes the faults and load changes of an emulated day; the zero value has none. The order of the fields is the
// order in the stored form.
type Day struct {
	Flood              *emulator.Flood  `json:"flood,omitempty"`
	Poison             *emulator.Poison `json:"poison,omitempty"`
	Faults             []emulator.Fault `json:"faults,omitempty"`
	MaxClockSkewMillis float64          `json:"skewMs,omitempty"`

	// For a trial of limits at the origin: the fraction of the origin's capacity that remains during the brownout, and
	// the fraction of the routers that fail at FailureSeconds.
	BrownoutCapacity        float64 `json:"low,omitempty"`
	BrownoutStartSeconds    float64 `json:"lowFromS,omitempty"`
	BrownoutDurationSeconds float64 `json:"lowForS,omitempty"`
	FailedFraction          float64 `json:"deadPart,omitempty"`

	// For a trial of a limit shared by a fleet: the number of parts into which the network is partitioned, and the
	// start and duration of the partition. FailedFraction of the routers are down during that time.
	Partitions               int     `json:"parts,omitempty"`
	PartitionSeconds         float64 `json:"cutS,omitempty"`
	PartitionDurationSeconds float64 `json:"cutForS,omitempty"`
	ExtraLossRatio           float64 `json:"loss,omitempty"` // of datagrams, added to the loss ratio of the world

	FailureSeconds float64           `json:"deadAtS,omitempty"`
	Release        *emulator.Release `json:"release,omitempty"` // release of a new version of objects
	// Worlds is the number of worlds, each with its own seed, that emulate the day. 0 means one.
	Worlds    CountBySize         `json:"worlds,omitempty"`
	HotObject *emulator.HotObject `json:"hot,omitempty"` // a new object in high demand
}

// Claim is a bound on a figure, or on the quotient of two figures. Their names are those that Outcome.Figure accepts.
type Claim struct {
	Name    string   `json:"name"`
	Figure  string   `json:"of"`
	Divisor string   `json:"over,omitempty"` // figure to divide by; empty: no division
	Min     *float64 `json:"least,omitempty"`
	Max     *float64 `json:"most,omitempty"`
}

// Chart selects the figure, arms and days of the charts.
type Chart struct {
	Figure string   `json:"figure"`
	Title  string   `json:"title"`
	Arms   []string `json:"arms"`
	Days   []string `json:"days"`
}
