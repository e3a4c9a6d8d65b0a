// Package lab runs experiments on the emulator: arms to compare, on days with and without trouble, and claims, which are
// bounds on figures. The same seed and size give the same result to the byte.
package lab

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"spantack/emulator"
)

// Experiment is what a file under experiments says.
type Experiment struct {
	Name              string                               `json:"-"`
	Title             string                               `json:"title"`
	Sizes             map[string]emulator.Config           `json:"sizes"`
	TopologyTrials    map[string]emulator.TopologyTrial    `json:"shapes,omitempty"` // by size: a trial of shapes in place of a world
	OriginLimitTrials map[string]emulator.OriginLimitTrial `json:"shield,omitempty"` // by size: a trial of limits at the head office
	FleetLimitTrials  map[string]emulator.FleetLimitTrial  `json:"tier,omitempty"`   // by size: a trial of a limit that a tier keeps together
	WatchedTenant     int                                  `json:"watch"`            // the tenant that makes trouble on the other days
	Arms              map[string]Arm                       `json:"arms"`
	Days              map[string]Day                       `json:"days"`
	Claims            []Claim                              `json:"claims"`
	TableFigures      []string                             `json:"table,omitempty"` // figures in the table; left out: those of most experiments
	Chart             Chart                                `json:"chart"`
}

// Arm is a way to be compared.
type Arm struct {
	Cells           CountBySize `json:"cells,omitempty"` // how many; 0: none
	Scheme          string      `json:"scheme,omitempty"`
	ShardWidth      int         `json:"width,omitempty"`
	RateLimitFactor float64     `json:"limit,omitempty"`
	// CancelsAbandonedFetches lets area caches end what nobody waits for any more.
	CancelsAbandonedFetches bool                                `json:"dropFetches,omitempty"`
	Algorithm               string                              `json:"law,omitempty"`    // of a trial of limits
	Method                  string                              `json:"way,omitempty"`    // of a trial of a tier's limit
	Burst                   float64                             `json:"burst,omitempty"`  // of its limits
	OriginLimit             string                              `json:"shield,omitempty"` // law of the head office's shield; none: rules alone
	ForgetsAbandonedFills   bool                                `json:"forget,omitempty"` // the shield does not count fetches that were given up
	TopologyStyle           string                              `json:"shape,omitempty"`  // style of the hierarchy's shape; none: all area caches alike
	Migrations              map[string]*emulator.MigrationTrial `json:"trip,omitempty"`   // by size
	Gossip                  *emulator.Gossip                    `json:"talk,omitempty"`   // routers tell one another of crowded area caches
	Deployment              *emulator.Deployment                `json:"site,omitempty"`   // in place of the world's own
}

// CountBySize is a number, or one for each size.
type CountBySize map[string]int

// UnmarshalJSON takes 4 as well as {"small": 4, "full": 8}.
func (c *CountBySize) UnmarshalJSON(text []byte) error {
	var n int
	if json.Unmarshal(text, &n) == nil {
		*c = CountBySize{"": n}
		return nil
	}
	var m map[string]int
	if err := json.Unmarshal(text, &m); err != nil {
		return fmt.Errorf("a number, or one for each size: %w", err)
	}
	*c = m
	return nil
}

func (c CountBySize) forSize(size string) int { return cmp.Or(c[size], c[""]) }

// Day is what goes wrong.
type Day struct {
	Flood              *emulator.Flood  `json:"flood,omitempty"`
	Poison             *emulator.Poison `json:"poison,omitempty"`
	Faults             []emulator.Fault `json:"faults,omitempty"`
	MaxClockSkewMillis float64          `json:"skewMs,omitempty"`
	// BrownoutCapacity is what is left of the head office from BrownoutStartSeconds on for BrownoutDurationSeconds, and FailedFraction of the routers die at FailureSeconds, in a trial of limits.
	BrownoutCapacity        float64 `json:"low,omitempty"`
	BrownoutStartSeconds    float64 `json:"lowFromS,omitempty"`
	BrownoutDurationSeconds float64 `json:"lowForS,omitempty"`
	FailedFraction          float64 `json:"deadPart,omitempty"`
	// Partitions is how many the tier falls into, from PartitionSeconds on for PartitionDurationSeconds, in a trial of a tier's limit; FailedFraction of it die then.
	Partitions               int     `json:"parts,omitempty"`
	PartitionSeconds         float64 `json:"cutS,omitempty"`
	PartitionDurationSeconds float64 `json:"cutForS,omitempty"`
	ExtraLossRatio           float64 `json:"loss,omitempty"` // of datagrams, more than the world's
	FailureSeconds           float64 `json:"deadAtS,omitempty"`
	// Release is a new version; Worlds plays the day so often, each time with a seed of its own, and takes means.
	Release   *emulator.Release   `json:"release,omitempty"`
	Worlds    CountBySize         `json:"worlds,omitempty"`
	HotObject *emulator.HotObject `json:"hot,omitempty"` // a new object that all want
}

// Claim bounds a figure, "ARM/DAY/FIGURE", or its quotient by another. "all/broken" sums up the broken rules of all runs.
type Claim struct {
	Name    string   `json:"name"`
	Figure  string   `json:"of"`
	Divisor string   `json:"over,omitempty"`
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

// Run is one arm on one day.
type Run struct {
	Arm     string             `json:"arm"`
	Day     string             `json:"day"`
	Figures map[string]float64 `json:"figures"`
	Seconds []float64          `json:"seconds"` // timely share of the others, by second
	Broken  map[string]int64   `json:"broken,omitempty"`
}

// Outcome is an experiment on one seed.
type Outcome struct {
	Experiment string    `json:"experiment"`
	Size       string    `json:"size"`
	Seed       uint64    `json:"seed"`
	Runs       []Run     `json:"runs"`
	Claims     []Verdict `json:"claims"`
}

func sortedKeys[V any](m map[string]V) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
