package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"spantack/lab/scale"
)

// scaleCmd defines the commands for scale tests.
type scaleCmd struct {
	List scaleListCmd `name:"list" cmd:"" help:"List the scale tests."`
	Run  scaleRunCmd  `name:"run" cmd:"" help:"Run a scale test at several sizes; exit code 3 if a router exceeds its budget."`
	Page scalePageCmd `name:"page" cmd:"" help:"Update the numbers on the capacity page from results."`
}

// scaleListCmd prints the names of the scale tests.
type scaleListCmd struct{}

// Run prints a line for each scale test.
func (scaleListCmd) Run() error {
	for _, test := range scale.Tests() {
		fmt.Printf("%-14s %s\n", test.Name, test.Title)
	}
	return nil
}

// scaleRunCmd runs a scale test.
type scaleRunCmd struct {
	Name    string `name:"name" arg:"" help:"The scale test."`
	Routers []int  `name:"routers" help:"Numbers of request routers, one run each; default: 300, 1000, 3000, 11000."`
	Seed    uint64 `name:"seed" default:"1" help:"Seed of the network's random faults and of the load, 0 to 2^63."`
	Out     string `name:"out" help:"Folder for results.json and charts of cost by size; default: nothing is written."`
}

const (
	// scaleMemory is the Go runtime's memory limit for a run, in bytes.
	scaleMemory = 5 << 30
	// scaleGCPercent replaces gcPercent in scale tests, whose worlds are large and long-lived.
	scaleGCPercent = 100
)

// Run runs the test at each size, writes the results if a folder is given, and prints the RESULT line of each result.
// It returns errCheckFailed if a router exceeds its budget.
func (c *scaleRunCmd) Run() error {
	test, err := scale.FindTest(c.Name)
	if err != nil {
		return err
	}
	sizes := c.Routers
	if len(sizes) == 0 {
		sizes = scale.DefaultSizes
	}
	for _, routers := range sizes {
		if err := (scale.Options{Routers: routers, Seed: c.Seed}).Validate(); err != nil {
			return err
		}
	}
	debug.SetGCPercent(scaleGCPercent)
	debug.SetMemoryLimit(scaleMemory)
	results, err := c.runSizes(test, sizes)
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := scale.WriteResults(c.Out, results); err != nil {
			return err
		}
	}
	hasFailed := false
	for _, result := range results {
		fmt.Println(result.Line())
		hasFailed = hasFailed || !result.WithinBudget()
	}
	if hasFailed {
		return errCheckFailed
	}
	return nil
}

// runSizes runs the test at one size after the other and shows a progress bar.
func (c *scaleRunCmd) runSizes(test scale.Test, sizes []int) (results []*scale.Result, err error) {
	bar := newProgress(unknownCount)
	defer bar.finish()
	for i, routers := range sizes {
		show := func(done, all int) { bar.show(i*all+done, len(sizes)*all) }
		result, err := test.Run(scale.Options{Routers: routers, Seed: c.Seed, Progress: show})
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}

// scalePageCmd updates the capacity page.
type scalePageCmd struct {
	Page    string `name:"page" default:"docs/CAPACITY.md" type:"existingfile" help:"Page on which the marked numbers are updated."`
	Results string `name:"results" default:"docs/results/scale" type:"existingdir" help:"Folder with the results of all scale tests."`
}

// Run replaces the marked numbers on the page with the numbers of stored results.
func (c *scalePageCmd) Run() error {
	set, err := scale.ReadResultSet(c.Results)
	if err != nil {
		return fmt.Errorf("--results: %w", err)
	}
	page, err := os.ReadFile(c.Page)
	if err != nil {
		return fmt.Errorf("--page: %w", err)
	}
	page, err = set.UpdatePage(page)
	if err != nil {
		return fmt.Errorf("--page: %w", err)
	}
	return os.WriteFile(c.Page, page, 0o644)
}
