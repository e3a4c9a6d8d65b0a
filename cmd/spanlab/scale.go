package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"spantack/lab/scale"
)

// scaleCmd has the commands on scale tests.
type scaleCmd struct {
	List scaleListCmd `name:"list" cmd:"" help:"Lists the scale tests."`
	Run  scaleRunCmd  `name:"run" cmd:"" help:"Runs one at several sizes; exits with 3 when a router's budget is passed."`
	Page scalePageCmd `name:"page" cmd:"" help:"Puts the figures of results into the capacity page."`
}

// scaleListCmd lists the scale tests.
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
	Name    string `name:"name" arg:"" help:"The test."`
	Routers []int  `name:"routers" help:"How many request routers, in turn. Left out: 300, 1000, 3000, 11000."`
	Seed    uint64 `name:"seed" default:"1" help:"Of the network's chance and the load, 0 to 2^63."`
	Out     string `name:"out" help:"Folder for results.json and charts of cost over size."`
}

// The memory that a run may take, in bytes, and how far the collector lets garbage grow below that, in percent: worlds
// are large, and live long.
const (
	scaleMemory    = 5 << 30
	scaleGCPercent = 100
)

// Run runs the test at each size, writes the results where a folder is named, and prints their RESULT lines.
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
	isShort := false
	for _, result := range results {
		fmt.Println(result.Line())
		isShort = isShort || !result.WithinBudget()
	}
	if isShort {
		return errClaimShort
	}
	return nil
}

// runSizes runs the test at one size after the other, with a progress bar.
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
	Page    string `name:"page" default:"docs/CAPACITY.md" type:"existingfile" help:"The page, with named figures."`
	Results string `name:"results" default:"docs/results/scale" type:"existingdir" help:"Folder of all tests' results."`
}

// Run replaces the figures on the page by those of stored results.
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
