package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"spantack/lab/scale"
)

type scaleListCmd struct{}

func (scaleListCmd) Run() error {
	for _, t := range scale.Tests() {
		fmt.Printf("%-14s %s\n", t.Name, t.Title)
	}
	return nil
}

type scaleRunCmd struct {
	Name    string `name:"name" arg:"" help:"The test."`
	Routers []int  `name:"routers" help:"How many request routers; several sizes are run one after the other. Left out: 300, 1000, 3000 and 11000."`
	Seed    uint64 `name:"seed" default:"1" help:"Of the network's chance and the load, 0 to 2^63."`
	Out     string `name:"out" help:"Folder for results.json and charts of cost over size."`
}

// Memory that a run may take, and how far the collector lets garbage grow below that: worlds are large, and long alive.
const (
	scaleMemory    = 5 << 30
	scaleGCPercent = 100
)

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
	results, err := c.runAll(test, sizes)
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := scale.WriteResults(c.Out, results); err != nil {
			return err
		}
	}
	short := false
	for _, r := range results {
		fmt.Println(r.Line())
		short = short || !r.WithinBudget()
	}
	if short {
		return errClaimShort
	}
	return nil
}

// runAll runs the test at each size in turn, with a bar.
func (c *scaleRunCmd) runAll(test scale.Test, sizes []int) ([]*scale.Result, error) {
	bar := newProgress(-1)
	defer bar.finish()
	var results []*scale.Result
	for i, routers := range sizes {
		r, err := test.Run(scale.Options{Routers: routers, Seed: c.Seed, Progress: func(done, all int) { bar.show(i*all+done, len(sizes)*all) }})
		if err != nil {
			return nil, err
		}
		results = append(results, r)
	}
	return results, nil
}

type scalePageCmd struct {
	Page    string `name:"page" default:"docs/CAPACITY.md" type:"existingfile" help:"The page, with figures named as in it."`
	Results string `name:"results" default:"docs/results/scale" type:"existingdir" help:"Folder with a folder of results for each test."`
}

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
