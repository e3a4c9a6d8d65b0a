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
	Name   string                               `json:"-"`
	Title  string                               `json:"title"`
	Sizes  map[string]emulator.Config           `json:"sizes"`
	Shapes map[string]emulator.TopologyTrial    `json:"shapes,omitempty"` // by size: a trial of shapes in place of a world
	Shield map[string]emulator.OriginLimitTrial `json:"shield,omitempty"` // by size: a trial of limits at the head office
	Tier   map[string]emulator.FleetLimitTrial  `json:"tier,omitempty"`   // by size: a trial of a limit that a tier keeps together
	Watch  int                                  `json:"watch"`            // the tenant that makes trouble on the other days
	Arms   map[string]Arm                       `json:"arms"`
	Days   map[string]Day                       `json:"days"`
	Claims []Claim                              `json:"claims"`
	Table  []string                             `json:"table,omitempty"` // figures in the table; left out: those of most experiments
	Chart  Chart                                `json:"chart"`
}

// Arm is a way to be compared.
type Arm struct {
	Cells  Count   `json:"cells,omitempty"` // how many; 0: none
	Scheme string  `json:"scheme,omitempty"`
	Width  int     `json:"width,omitempty"`
	Limit  float64 `json:"limit,omitempty"`
	// DropFetches lets area caches end what nobody waits for any more.
	DropFetches bool                                `json:"dropFetches,omitempty"`
	Law         string                              `json:"law,omitempty"`    // of a trial of limits
	Way         string                              `json:"way,omitempty"`    // of a trial of a tier's limit
	Burst       float64                             `json:"burst,omitempty"`  // of its limits
	Shield      string                              `json:"shield,omitempty"` // law of the head office's shield; none: rules alone
	Forget      bool                                `json:"forget,omitempty"` // the shield does not count fetches that were given up
	Shape       string                              `json:"shape,omitempty"`  // style of the hierarchy's shape; none: all area caches alike
	Trip        map[string]*emulator.MigrationTrial `json:"trip,omitempty"`   // by size
	Talk        *emulator.Gossip                    `json:"talk,omitempty"`   // routers tell one another of crowded area caches
	Site        *emulator.Deployment                `json:"site,omitempty"`   // in place of the world's own
}

// Count is a number, or one for each size.
type Count map[string]int

// UnmarshalJSON takes 4 as well as {"small": 4, "full": 8}.
func (c *Count) UnmarshalJSON(text []byte) error {
	var n int
	if json.Unmarshal(text, &n) == nil {
		*c = Count{"": n}
		return nil
	}
	var m map[string]int
	if err := json.Unmarshal(text, &m); err != nil {
		return fmt.Errorf("a number, or one for each size: %w", err)
	}
	*c = m
	return nil
}

func (c Count) of(size string) int { return cmp.Or(c[size], c[""]) }

// Day is what goes wrong.
type Day struct {
	Flood  *emulator.Flood  `json:"flood,omitempty"`
	Poison *emulator.Poison `json:"poison,omitempty"`
	Faults []emulator.Fault `json:"faults,omitempty"`
	SkewMs float64          `json:"skewMs,omitempty"`
	// Low is what is left of the head office from LowFromS on for LowForS, and DeadPart of the routers die at DeadAtS, in a trial of limits.
	Low      float64 `json:"low,omitempty"`
	LowFromS float64 `json:"lowFromS,omitempty"`
	LowForS  float64 `json:"lowForS,omitempty"`
	DeadPart float64 `json:"deadPart,omitempty"`
	// Parts is how many the tier falls into, from CutS on for CutForS, in a trial of a tier's limit; DeadPart of it die then.
	Parts   int     `json:"parts,omitempty"`
	CutS    float64 `json:"cutS,omitempty"`
	CutForS float64 `json:"cutForS,omitempty"`
	Loss    float64 `json:"loss,omitempty"` // of datagrams, more than the world's
	DeadAtS float64 `json:"deadAtS,omitempty"`
	// Release is a new version; Worlds plays the day so often, each time with a seed of its own, and takes means.
	Release *emulator.Release   `json:"release,omitempty"`
	Worlds  Count               `json:"worlds,omitempty"`
	Hot     *emulator.HotObject `json:"hot,omitempty"` // a new object that all want
}

// Claim bounds a figure, "ARM/DAY/FIGURE", or its quotient by another. "all/broken" sums up the broken rules of all runs.
type Claim struct {
	Name  string   `json:"name"`
	Of    string   `json:"of"`
	Over  string   `json:"over,omitempty"`
	Least *float64 `json:"least,omitempty"`
	Most  *float64 `json:"most,omitempty"`
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

func sorted[V any](m map[string]V) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
