// Package scale measures what the fleet's own mechanisms cost as the number of request routers grows: the real code of
// core and routing, in virtual time, in steady state and under faults, judged against what a request router may spend
// for control.
//
// Where a test can't hold all routers in memory or time it simulates a sample of processes in full, and each of them
// plays several routers (see world.go). Results name how many processes were simulated.
package scale

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Scenario names what a phase of a test plays. The text stands in results and on the capacity page.
type Scenario string

// The scenarios, in the order in which they are played.
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

// restartsInMassRestart returns whether MassRestart restarts the router or process with an index: seven in ten.
func restartsInMassRestart(index int) bool { return index%10 < 7 }

// Bounds of Options.
const (
	minRouters = 100
	maxRouters = 16_000
	maxSeed    = 1 << 63
)

// Options of a run.
type Options struct {
	// Routers is the size of the fleet, from 100 to 16,000.
	Routers int
	// Seed, up to 2^63, decides the network's chance and the load.
	Seed uint64
	// ShortPhases makes phases last a sixth or less, for tests.
	ShortPhases bool
	// MaxSimulated bounds how many processes are simulated in full; 0: as many as the test bears.
	MaxSimulated int
	// Progress is called after each phase with how many are done. It may be nil.
	Progress func(done, all int)
}

// Validate returns an error that names the option that can't be used.
func (o Options) Validate() error {
	switch {
	case o.Routers < minRouters || o.Routers > maxRouters:
		return fmt.Errorf("--routers %d: must be from %d to %d", o.Routers, minRouters, maxRouters)
	case o.Seed > maxSeed:
		return fmt.Errorf("--seed %d: must be from 0 to 2^63", o.Seed)
	case o.MaxSimulated < 0:
		return fmt.Errorf("MaxSimulated %d: must not be negative", o.MaxSimulated)
	}
	return nil
}

// Test is one that can be run.
type Test struct {
	Name, Title string
	run         func(Options) (*Result, error)
}

// Tests returns all tests, by name.
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

// FindTest returns the test of a name, or an error that lists all.
func FindTest(name string) (Test, error) {
	tests := Tests()
	var names []string
	for _, test := range tests {
		names = append(names, test.Name)
	}
	index := slices.Index(names, name)
	if index < 0 {
		return Test{}, fmt.Errorf("NAME %q: no such test; there are %s", name, strings.Join(names, ", "))
	}
	return tests[index], nil
}

// errInvalidOptions is what the errors of Run wrap that are about its options.
var errInvalidOptions = errors.New("invalid options")

// Run runs the test at one size.
func (t Test) Run(o Options) (*Result, error) {
	if err := o.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidOptions, err)
	}
	if o.Progress == nil {
		o.Progress = func(int, int) {}
	}
	result, err := t.run(o)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", t.Name, err)
	}
	result.Test = t.Name
	result.Routers = o.Routers
	result.Seed = o.Seed
	return result, nil
}
