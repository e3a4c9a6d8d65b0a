package main

import (
	"encoding/json"
	"fmt"
	"math"
	"os"

	"spantack/lab"
)

// listCmd prints the names of the experiments.
type listCmd struct{}

// Run prints a line for each experiment.
func (listCmd) Run() error {
	for _, name := range lab.Names() {
		e, err := lab.Load(name)
		if err != nil {
			return err
		}
		fmt.Printf("%-14s %s\n", name, e.Title)
	}
	return nil
}

// maxSeeds bounds the number of seeds of one command.
const maxSeeds = 1000

// runCmd runs an experiment.
type runCmd struct {
	Name  string   `name:"name" arg:"" help:"The experiment."`
	Seed  uint64   `name:"seed" default:"1" help:"First seed, 0 to 2^63-1."`
	Seeds uint64   `name:"seeds" default:"1" help:"Number of seeds, counted up from the first."`
	Size  string   `name:"size" default:"small" enum:"small,full" help:"Size of the experiment: small or full."`
	Out   string   `name:"out" help:"Folder for result.json, table.md and charts; default: nothing is written."`
	Set   []string `name:"set" help:"A setting of the experiment to change, as path=value; can be repeated." sep:"none"`
}

// Run runs the experiment with each seed, writes the outcomes if a folder is given, and prints the RESULT line of each
// outcome. It returns errCheckFailed if a claim does not hold.
func (c *runCmd) Run() error {
	if c.Seeds == 0 || c.Seed > math.MaxInt64 || c.Seeds > maxSeeds {
		return fmt.Errorf("--seed %d --seeds %d: must be 0 to 2^63-1 and 1 to %d", c.Seed, c.Seeds, maxSeeds)
	}
	e, err := lab.Load(c.Name, c.Set...)
	if err != nil {
		return err
	}
	outcomes, err := c.runSeeds(e)
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := e.Write(c.Out, outcomes); err != nil {
			return err
		}
	}
	hasFailed := false
	for _, outcome := range outcomes {
		fmt.Println(outcome.Summary())
		hasFailed = hasFailed || !outcome.Passed()
	}
	if hasFailed {
		return errCheckFailed
	}
	return nil
}

// runSeeds runs the experiment with one seed after the other and shows a progress bar.
func (c *runCmd) runSeeds(e *lab.Experiment) (outcomes []*lab.Outcome, err error) {
	runs := len(e.Arms) * len(e.Days)
	all := runs * int(c.Seeds)
	bar := newProgress(all)
	defer bar.finish()
	for i := range c.Seeds {
		outcome, err := e.Run(c.Size, c.Seed+i, func(done, _ int) { bar.show(int(i)*runs+done, all) })
		if err != nil {
			return nil, err
		}
		outcomes = append(outcomes, outcome)
	}
	return outcomes, nil
}

// compareCmd compares two result.json files.
type compareCmd struct {
	ResultA string `name:"a" arg:"" type:"existingfile" help:"File result.json of the first run."`
	ResultB string `name:"b" arg:"" type:"existingfile" help:"File result.json of the second run."`
}

// Run prints a table with the numbers of both results.
func (c *compareCmd) Run() error {
	a, err := readResult(c.ResultA)
	if err != nil {
		return err
	}
	b, err := readResult(c.ResultB)
	if err != nil {
		return err
	}
	return lab.Compare(os.Stdout, a, b)
}

// readResult reads a result.json file. It returns an error if the file has no outcome.
func readResult(file string) (outcomes []*lab.Outcome, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(text, &outcomes); err != nil {
		return nil, fmt.Errorf("%s: not a result of spanlab run: %w", file, err)
	}
	if len(outcomes) == 0 {
		return nil, fmt.Errorf("%s: not a result of spanlab run: it has no outcome", file)
	}
	return outcomes, nil
}
