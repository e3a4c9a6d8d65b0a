package main

import (
	"fmt"
	"time"

	"spantack/lab/scenario"
)

// scenarioCmd defines the commands for scenarios.
type scenarioCmd struct {
	List scenarioListCmd `name:"list" cmd:"" help:"List the scenarios."`
	Run  scenarioRunCmd  `name:"run" cmd:"" help:"Run a scenario; exit code 3 if a bound does not hold."`
}

// scenarioListCmd prints the names of the scenarios.
type scenarioListCmd struct{}

// Run prints a line for each scenario.
func (scenarioListCmd) Run() error {
	for _, name := range scenario.Names() {
		s, err := scenario.Load(name)
		if err != nil {
			return err
		}
		fmt.Printf("%-14s %s\n", name, s.Title)
	}
	return nil
}

// Limits of a scenario run.
const (
	minScenarioRouters = 3
	maxScenarioRouters = 300
	scenarioTimeout    = 15 * time.Minute
)

// scenarioRunCmd runs a scenario.
type scenarioRunCmd struct {
	Name    string `name:"name" arg:"" help:"The scenario."`
	Routers int    `name:"routers" default:"16" help:"Number of router processes, 3 to 300."`
	Seed    uint64 `name:"seed" default:"1" help:"Seed of the load and of the network's random faults, 0 to 2^63."`
	Binary  string `name:"binary" help:"Router program; default: it is built from source." type:"existingfile"`
	Out     string `name:"out" help:"Folder for result.json, table.md and a chart; default: nothing is written."`
}

// Run runs the scenario, writes the result if a folder is given, and prints the failures and the RESULT line. It
// returns errCheckFailed if there are failures.
func (c *scenarioRunCmd) Run() error {
	if c.Routers < minScenarioRouters || c.Routers > maxScenarioRouters {
		return fmt.Errorf("--routers %d: must be %d to %d", c.Routers, minScenarioRouters, maxScenarioRouters)
	}
	s, err := scenario.Load(c.Name)
	if err != nil {
		return err
	}
	result, err := c.run(s)
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := result.Write(c.Out); err != nil {
			return err
		}
	}
	failures := result.Failures()
	for _, failure := range failures {
		fmt.Println(failure)
	}
	fmt.Println(result.Summary())
	if len(failures) > 0 {
		return errCheckFailed
	}
	return nil
}

// run runs the scenario and shows a progress bar.
func (c *scenarioRunCmd) run(s *scenario.Scenario) (*scenario.Result, error) {
	ctx, cancel := commandContext(scenarioTimeout)
	defer cancel()
	bar := newProgress(len(s.Steps))
	defer bar.finish()
	return s.Run(ctx, scenario.Options{
		Routers:      c.Routers,
		Seed:         c.Seed,
		RouterBinary: c.Binary,
		OnStep:       func(_ string, done, all int) { bar.show(done, all) },
	})
}
