// Package scale measures how the cost of the fleet's control mechanisms grows with the number of request routers. It
// runs the real code of core and routing in virtual time, in steady state and under faults, and compares the cost with
// the budget of a request router.
//
// If a test would need too much memory or time to simulate all routers, it simulates a sample of processes in full, and
// each process represents several routers (see world.go). Results contain the number of simulated processes.
package scale

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Scenario is the name of the scenario of a phase. Results and the capacity page contain it.
type Scenario string

// The scenarios. Each test simulates some of them.
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

// restartsInMassRestart returns whether MassRestart restarts the router or process at index. It restarts seven of every
// ten.
func restartsInMassRestart(index int) bool { return index%10 < 7 }

// Bounds of Options.
const (
	minRouters = 100
	maxRouters = 16_000
	maxSeed    = 1 << 63
)

// Options are the options of a run.
type Options struct {
	// Routers is the size of the fleet, from 100 to 16,000.
	Routers int
	// Seed, from 0 to 2^63, is the seed of all random numbers, such as those of the network.
	Seed uint64
	// ShortPhases makes phases shorter, many of them a sixth as long or less, for Go tests. The discovery and leases
	// tests ignore it.
	ShortPhases bool
	// MaxSimulated is the maximum number of processes that are simulated in full; 0: a default for the fleet's size.
	// Only the membership and limits tests use it.
	MaxSimulated int
	// Progress is called after each phase with the number of finished phases and of all phases. It may be nil.
	Progress func(done, all int)
}

// Validate returns an error that names the first invalid option, or nil.
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

// Test is a scale test, selected by Name. Title describes it in one line.
type Test struct {
	Name, Title string
	run         func(Options) (*Result, error)
}

// Tests returns all tests, sorted by name.
func Tests() []Test {
	return []Test{
		{"decisions", "routing decisions of one router, with all caches in the endpoint list", runDecisions},
		{"discovery", "updates from the discovery service, and reconnections after the service was down", runDiscovery},
		{"leases", "leases of one fleet limit for all routers, from a lease tree, without membership", runLeases},
		{"limits", "leases of one fleet limit for all routers, from a single holder", runLimits},
		{"membership", "fleet membership: probes and membership updates", runMembership},
		{"purges", "purges that one router receives from the discovery service and stores", runPurges},
		{"verdicts", "health reports when all routers observe one server failing, without membership", runVerdicts},
	}
}

// FindTest returns the test with a name, or an error that lists the names of all tests.
func FindTest(name string) (Test, error) {
	tests := Tests()
	var names []string
	for _, test := range tests {
		names = append(names, test.Name)
	}
	index := slices.Index(names, name)
	if index < 0 {
		return Test{}, fmt.Errorf("NAME %q: no such test; must be one of %s", name, strings.Join(names, ", "))
	}
	return tests[index], nil
}

// errInvalidOptions is wrapped by the errors of Run for invalid options.
var errInvalidOptions = errors.New("invalid options")

// Run runs the test with a fleet of o.Routers routers. It returns an error if an option is invalid.
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
