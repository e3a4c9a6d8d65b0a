// Package lab runs experiments on the emulator: arms to compare, on days with and without faults, and claims, which are
// bounds on figures. The same seed and size give the same result to the byte, on any machine.
package lab

import (
	"cmp"
	"encoding/json"
	"fmt"

	"spantack/emulator"
)

// Experiment is one file of the folder experiments. It has a world in Sizes, or else a trial, for each size.
type Experiment struct {
	Name  string                     `json:"-"`
	Title string                     `json:"title"`
	Sizes map[string]emulator.Config `json:"sizes"`

	// Trials in place of a world, by size: of topologies, of limits at the origin, and of a limit that a fleet shares.
	TopologyTrials    map[string]emulator.TopologyTrial    `json:"shapes,omitempty"`
	OriginLimitTrials map[string]emulator.OriginLimitTrial `json:"shield,omitempty"`
	FleetLimitTrials  map[string]emulator.FleetLimitTrial  `json:"tier,omitempty"`

	// WatchedTenant is counted apart on days without a flood or poison: the one that causes them on others. Below 0:
	// there is none.
	WatchedTenant int            `json:"watch"`
	Arms          map[string]Arm `json:"arms"`
	Days          map[string]Day `json:"days"`
	Claims        []Claim        `json:"claims"`
	// TableFigures are the columns of the table. Empty stands for defaultTableFigures.
	TableFigures []string `json:"table,omitempty"`
	Chart        Chart    `json:"chart"`
}

// Arm is one of the ways that an experiment compares. What is left out is off, or as the world has it. The order of the
// fields is that of the stored form.
type Arm struct {
	Cells           CountBySize `json:"cells,omitempty"` // 0: there are none
	Scheme          string      `json:"scheme,omitempty"`
	ShardWidth      int         `json:"width,omitempty"` // caches of a tenant, under schemes that shard
	RateLimitFactor float64     `json:"limit,omitempty"` // of each tenant, in multiples of its usual rate
	// CancelsAbandonedFetches lets parents end fetches that no client waits for any more.
	CancelsAbandonedFetches bool `json:"dropFetches,omitempty"`

	// Of a trial: the algorithm and the burst of limits at the origin, the method of a limit that a fleet shares.
	Algorithm string  `json:"law,omitempty"`
	Method    string  `json:"way,omitempty"`
	Burst     float64 `json:"burst,omitempty"`

	OriginLimit           string                             `json:"shield,omitempty"` // algorithm of the origin limit
	ForgetsAbandonedFills bool                               `json:"forget,omitempty"` // it does not count them
	TopologyStyle         string                             `json:"shape,omitempty"`
	Migrations            map[string]*emulator.MigrationSpec `json:"trip,omitempty"` // by size
	Gossip                *emulator.Gossip                   `json:"talk,omitempty"` // on overloaded parents
	Deployment            *emulator.Deployment               `json:"site,omitempty"` // in place of the world's own
}

// CountBySize is a number for each size. That of the empty size stands for all others.
type CountBySize map[string]int

// UnmarshalJSON takes 4 as well as {"small": 4, "full": 8}.
func (c *CountBySize) UnmarshalJSON(text []byte) error {
	var number int
	if json.Unmarshal(text, &number) == nil {
		*c = CountBySize{"": number}
		return nil
	}
	var bySize map[string]int
	if err := json.Unmarshal(text, &bySize); err != nil {
		return fmt.Errorf("a number, or one for each size: %w", err)
	}
	*c = bySize
	return nil
}

// forSize returns the number for a size.
func (c CountBySize) forSize(size string) int { return cmp.Or(c[size], c[""]) }

// Day is what goes wrong on a day; the zero value is a calm one. The order of the fields is that of the stored form.
type Day struct {
	Flood              *emulator.Flood  `json:"flood,omitempty"`
	Poison             *emulator.Poison `json:"poison,omitempty"`
	Faults             []emulator.Fault `json:"faults,omitempty"`
	MaxClockSkewMillis float64          `json:"skewMs,omitempty"`

	// In a trial of limits at the origin: the fraction of the origin's capacity that is left for a time, and the
	// fraction of the routers that fail at FailureSeconds.
	BrownoutCapacity        float64 `json:"low,omitempty"`
	BrownoutStartSeconds    float64 `json:"lowFromS,omitempty"`
	BrownoutDurationSeconds float64 `json:"lowForS,omitempty"`
	FailedFraction          float64 `json:"deadPart,omitempty"`

	// In a trial of a limit that a fleet shares: the number of partitions that it falls into for a time, within which
	// FailedFraction of the routers are down.
	Partitions               int     `json:"parts,omitempty"`
	PartitionSeconds         float64 `json:"cutS,omitempty"`
	PartitionDurationSeconds float64 `json:"cutForS,omitempty"`
	ExtraLossRatio           float64 `json:"loss,omitempty"` // of datagrams, beyond the world's

	FailureSeconds float64             `json:"deadAtS,omitempty"`
	Release        *emulator.Release   `json:"release,omitempty"` // a new version of objects
	Worlds         CountBySize         `json:"worlds,omitempty"`  // that the day is emulated in, each with its own seed
	HotObject      *emulator.HotObject `json:"hot,omitempty"`     // a new object that all ask for
}

// Claim bounds a figure, or its quotient by another one. Figures are named as Outcome.Figure takes them.
type Claim struct {
	Name    string   `json:"name"`
	Figure  string   `json:"of"`
	Divisor string   `json:"over,omitempty"` // figure to divide by; empty: none
	Min     *float64 `json:"least,omitempty"`
	Max     *float64 `json:"most,omitempty"`
}

// Chart names the figure to draw, by arm and day.
type Chart struct {
	Figure string   `json:"figure"`
	Title  string   `json:"title"`
	Arms   []string `json:"arms"`
	Days   []string `json:"days"`
}
