// Package scale measures what the fleet's own mechanisms cost as the number of request routers grows: the real core and rules, in virtual
// time, on an ordinary day and in troubles, judged against what a request router may spend for control.
//
// Where a test can't hold all routers in memory or time it simulates a sample of processes in full, and each of them plays several routers
// (see world.go). Results name how many processes were simulated.
package scale

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// The fleet that the operators name: sizes of other fleets are in the same proportions.
const (
	FleetRouters = 11_000
	fleetSites   = 890
	fleetCaches  = 1_700
	fleetRegions = 29
	fleetZones   = 92

	purgesPerSecond          = 240
	endpointChangesPerSecond = 18_000.0 / (24 * 60 * 60)
	requestsPerSecond        = 7_900_000.0 / FleetRouters // of one router at the peak
	controlPlaneMachines     = 49
)

// DefaultSizes are the numbers of routers that a test is run at when none is named.
var DefaultSizes = []int{300, 1_000, 3_000, FleetRouters}

// Bounds of Options.Routers.
const (
	minRouters = 100
	maxRouters = 16_000
)

// Budget is what one request router may spend for control.
type Budget struct {
	BytesPerSecond float64
	CPUPercent     float64
	MemoryKB       float64
}

// RouterBudget is the operators' bound: 12 KB a second, 4.4% of a core, 128 MB.
var RouterBudget = Budget{BytesPerSecond: 12_000, CPUPercent: 4.4, MemoryKB: 128 * 1024}

// Scenario names what a phase of a test plays.
type Scenario string

// The troubles, in the order in which they are played.
const (
	ColdStart          Scenario = "cold start"
	SteadyState        Scenario = "ordinary day"
	ServerFailing      Scenario = "server failing"
	PacketLoss         Scenario = "server failing and three datagrams in ten lost"
	ProcessLost        Scenario = "process lost"
	RackLost           Scenario = "rack lost"
	ZoneLost           Scenario = "zone lost"
	RegionLost         Scenario = "region lost"
	RegionsPartitioned Scenario = "regions cut off"
	MassRestart        Scenario = "seven in ten restarted"
)

// Options of a run.
type Options struct {
	Routers     int
	Seed        uint64
	ShortPhases bool // phases last a sixth or less, for tests
	// MaxSimulated is how many processes are simulated in full at most; 0: as many as the test bears.
	MaxSimulated int
	Progress     func(done, all int) // of phases; may be nil
}

// Validate reports the option that can't be used.
func (o Options) Validate() error {
	switch {
	case o.Routers < minRouters || o.Routers > maxRouters:
		return fmt.Errorf("--routers %d: %d to %d", o.Routers, minRouters, maxRouters)
	case o.Seed > 1<<63:
		return fmt.Errorf("--seed %d: 0 to 2^63", o.Seed)
	case o.MaxSimulated < 0:
		return fmt.Errorf("Simulated: %d", o.MaxSimulated)
	}
	return nil
}

// scaled is a number of the operators' fleet in one of this size, 1 at least.
func (o Options) scaled(fleet int) int { return max((fleet*o.Routers+FleetRouters/2)/FleetRouters, 1) }

// Phase is what one phase of a test measured. Bytes are payloads of datagrams and frames, in and out; those of a process are means over
// the phase, and the worst process is the one with the most.
type Phase struct {
	Scenario                Scenario `json:"Trouble"`
	Seconds                 float64  `json:"Seconds"`
	MeanBytesPerSecond      float64  `json:"MeanBytesPerSecond"`
	WorstBytesPerSecond     float64  `json:"WorstBytesPerSecond"`
	PeakBytes               float64  `json:"PeakBytes"` // the most of any process in one second
	WorstDatagramsPerSecond float64  `json:"WorstDatagramsPerSecond"`
	CPUPercent              float64  `json:"CPUPercent"` // of one core, for the process with the most bytes; the one figure that a seed does not fix
	MemoryKB                float64  `json:"MemoryKB"`   // state of that process, in the part under test
}

// Metric is a further result of a test.
type Metric struct {
	Name  string  `json:"Name"`
	Value float64 `json:"Value"`
}

// Result is what one run of a test measured at one size.
type Result struct {
	Test               string   `json:"Test"`
	Routers            int      `json:"Routers"`
	Seed               uint64   `json:"Seed"`
	SimulatedProcesses int      `json:"Simulated"` // processes simulated in full; where fewer than routers, each plays several
	Phases             []Phase  `json:"Phases"`
	Metrics            []Metric `json:"Figures"`
}

// Worst is the greatest of each figure over all phases.
func (r *Result) Worst() (worst Phase) {
	for _, p := range r.Phases {
		if p.WorstBytesPerSecond >= worst.WorstBytesPerSecond {
			worst.Scenario, worst.WorstBytesPerSecond = p.Scenario, p.WorstBytesPerSecond
		}
		worst.PeakBytes = max(worst.PeakBytes, p.PeakBytes)
		worst.WorstDatagramsPerSecond = max(worst.WorstDatagramsPerSecond, p.WorstDatagramsPerSecond)
		worst.CPUPercent = max(worst.CPUPercent, p.CPUPercent)
		worst.MemoryKB = max(worst.MemoryKB, p.MemoryKB)
	}
	return worst
}

// MeanBytesPerSecond is the mean over processes on the ordinary day.
func (r *Result) MeanBytesPerSecond() float64 {
	for _, p := range r.Phases {
		if p.Scenario == SteadyState {
			return p.MeanBytesPerSecond
		}
	}
	return 0
}

// WithinBudget reports whether the worst process stayed within the budget in every phase.
func (r *Result) WithinBudget() bool {
	w := r.Worst()
	return w.WorstBytesPerSecond <= RouterBudget.BytesPerSecond && w.CPUPercent <= RouterBudget.CPUPercent && w.MemoryKB <= RouterBudget.MemoryKB
}

// Line is the run in one line.
func (r *Result) Line() string {
	verdict := "short"
	if r.WithinBudget() {
		verdict = "kept"
	}
	w := r.Worst()
	line := fmt.Sprintf("RESULT scale %s routers=%d seed=%d verdict=%s mean_bytes_per_s=%.0f worst_bytes_per_s=%.0f worst_datagrams_per_s=%.1f cpu_percent=%.3f memory_kb=%.0f simulated=%d peak_bytes=%.0f worst_phase=%s",
		r.Test, r.Routers, r.Seed, verdict, r.MeanBytesPerSecond(), w.WorstBytesPerSecond, w.WorstDatagramsPerSecond, w.CPUPercent, w.MemoryKB, r.SimulatedProcesses,
		w.PeakBytes, strings.ReplaceAll(string(w.Scenario), " ", "_"))
	for _, f := range r.Metrics {
		line += fmt.Sprintf(" %s=%.4g", f.Name, f.Value)
	}
	return line
}

// Test is one that can be run.
type Test struct {
	Name, Title string
	run         func(Options) (*Result, error)
}

// Tests are all, by name.
func Tests() []Test {
	return []Test{
		{"decisions", "a request's decision, with all caches listed", runDecisions},
		{"discovery", "the discovery service: its updates, and all that lose it at once", runDiscovery},
		{"leases", "leases of one fleet limit that all routers want, by a tree of groups, without membership", runLeases},
		{"limits", "leases of one fleet limit that all routers want, from one holder", runLimits},
		{"membership", "who is up: probes and membership updates", runMembership},
		{"purges", "purges, told by the discovery service and remembered by each router", runPurges},
		{"verdicts", "health reports of one server that all routers observe failing, without membership", runVerdicts},
	}
}

// FindTest returns the test of that name.
func FindTest(name string) (Test, error) {
	all := Tests()
	if at := slices.IndexFunc(all, func(t Test) bool { return t.Name == name }); at >= 0 {
		return all[at], nil
	}
	var names []string
	for _, t := range all {
		names = append(names, t.Name)
	}
	return Test{}, fmt.Errorf("NAME %q: no such test; there are %s", name, strings.Join(names, ", "))
}

var errInvalidOptions = errors.New("bad options")

// Run runs the test at one size.
func (t Test) Run(o Options) (*Result, error) {
	if err := o.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidOptions, err)
	}
	if o.Progress == nil {
		o.Progress = func(int, int) {}
	}
	r, err := t.run(o)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", t.Name, err)
	}
	r.Test, r.Routers, r.Seed = t.Name, o.Routers, o.Seed
	return r, nil
}
