package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"spantack/lab/scenario"
)

type scenarioListCmd struct{}

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

type scenarioRunCmd struct {
	Name    string `name:"name" arg:"" help:"The scenario."`
	Routers int    `name:"routers" default:"16" help:"How many router processes, 3 to 300."`
	Seed    uint64 `name:"seed" default:"1" help:"Of the load and the network's chance, 0 to 2^63."`
	Binary  string `name:"binary" help:"The router's program, such as one of an earlier version; left out: built from the sources." type:"existingfile"`
	Out     string `name:"out" help:"Folder for result.json, table.md and a chart."`
}

// scenarioTimeout bounds a play.
const scenarioTimeout = 15 * time.Minute

func (c *scenarioRunCmd) Run() error {
	if c.Routers < 3 || c.Routers > 300 {
		return fmt.Errorf("--routers %d: 3 to 300", c.Routers)
	}
	s, err := scenario.Load(c.Name)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, scenarioTimeout)
	defer cancel()
	bar := newProgress(len(s.Steps))
	defer bar.finish()
	r, err := s.Run(ctx, scenario.Options{Routers: c.Routers, Seed: c.Seed, RouterBinary: c.Binary, OnStep: func(_ string, done, all int) { bar.show(done, all) }})
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := r.Write(c.Out); err != nil {
			return err
		}
	}
	for _, fault := range r.Failures() {
		fmt.Println(fault)
	}
	fmt.Println(r.Summary())
	if len(r.Failures()) > 0 {
		return errClaimShort
	}
	return nil
}
