package main

import (
	"fmt"
	"time"

	"spantack/lab/scenario"
)

// scenarioCmd has the commands on scenarios.
type scenarioCmd struct {
	List scenarioListCmd `name:"list" cmd:"" help:"Lists the scenarios."`
	Run  scenarioRunCmd  `name:"run" cmd:"" help:"Runs one; exits with 3 when a bound does not hold."`
}

// scenarioListCmd lists the scenarios.
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

// Bounds of a scenario run.
const (
	minScenarioRouters = 3
	maxScenarioRouters = 300
	scenarioTimeout    = 15 * time.Minute
)

// scenarioRunCmd runs a scenario.
type scenarioRunCmd struct {
	Name    string `name:"name" arg:"" help:"The scenario."`
	Routers int    `name:"routers" default:"16" help:"How many router processes, 3 to 300."`
	Seed    uint64 `name:"seed" default:"1" help:"Of the load and the network's chance, 0 to 2^63."`
	Binary  string `name:"binary" help:"The router's program; left out: built from the sources." type:"existingfile"`
	Out     string `name:"out" help:"Folder for result.json, table.md and a chart."`
}

// Run runs the scenario, writes the result where a folder is named, and prints what fell short and the RESULT line.
func (c *scenarioRunCmd) Run() error {
	if c.Routers < minScenarioRouters || c.Routers > maxScenarioRouters {
		return fmt.Errorf("--routers %d: %d to %d", c.Routers, minScenarioRouters, maxScenarioRouters)
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
		return errClaimShort
	}
	return nil
}

// run runs the scenario with a progress bar.
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
