// Command spanlab runs the project's experiments on its emulator.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/schollz/progressbar/v3"

	"spantack/lab"
	"spantack/lab/process"
)

// Exit codes.
const (
	exitInvalid = 2
	exitShort   = 3
)

var errClaimShort = errors.New("a claim falls short")

type cli struct {
	List    listCmd    `name:"list" cmd:"" help:"Lists the experiments."`
	Run     runCmd     `name:"run" cmd:"" help:"Runs an experiment; exits with 3 when a claim falls short."`
	Demo    demoCmd    `name:"demo" cmd:"" help:"Brings a small deployment up on loopback, with one real router and a small load."`
	Compare compareCmd `name:"compare" cmd:"" help:"Sets two results side by side."`
	Live    struct {
		List scenarioListCmd `name:"list" cmd:"" help:"Lists the scenarios."`
		Run  scenarioRunCmd  `name:"run" cmd:"" help:"Plays one; exits with 3 when a bound does not hold."`
	} `name:"live" cmd:"" help:"Scripted faults between real router processes on loopback."`
	Scale struct {
		List scaleListCmd `name:"list" cmd:"" help:"Lists the scale tests."`
		Run  scaleRunCmd  `name:"run" cmd:"" help:"Runs one at several sizes; exits with 3 when the budget of a router is passed."`
		Page scalePageCmd `name:"page" cmd:"" help:"Puts the figures of results into the capacity page."`
	} `name:"scale" cmd:"" help:"What the fleet's own mechanisms cost as it grows."`
}

type listCmd struct{}

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

type runCmd struct {
	Name  string   `name:"name" arg:"" help:"The experiment."`
	Seed  uint64   `name:"seed" default:"1" help:"First seed, 0 to 2^63."`
	Seeds uint64   `name:"seeds" default:"1" help:"How many seeds, one after the other."`
	Size  string   `name:"size" default:"small" enum:"small,full" help:"small or full."`
	Out   string   `name:"out" help:"Folder for result.json, table.md and charts."`
	Set   []string `name:"set" help:"path=value, changes the experiment." sep:"none"`
}

func (c *runCmd) Run() error {
	if c.Seeds == 0 || c.Seed > math.MaxInt64 || c.Seeds > 1000 {
		return fmt.Errorf("--seed %d --seeds %d: seeds are 0 to 2^63, 1 to 1000 of them", c.Seed, c.Seeds)
	}
	e, err := lab.Load(c.Name, c.Set...)
	if err != nil {
		return err
	}
	var outcomes []*lab.Outcome
	runs := len(e.Arms) * len(e.Days)
	bar := newProgress(runs * int(c.Seeds))
	defer bar.finish()
	short := false
	for i := range c.Seeds {
		o, err := e.Run(c.Size, c.Seed+i, func(done, _ int) {
			bar.show(int(i)*runs+done, runs*int(c.Seeds))
		})
		if err != nil {
			return err
		}
		outcomes = append(outcomes, o)
		short = short || o.PassedCount() < len(o.Claims)
	}
	if c.Out != "" {
		if err := e.Write(c.Out, outcomes); err != nil {
			return err
		}
	}
	for _, o := range outcomes {
		fmt.Println(o.Summary())
	}
	if short {
		return errClaimShort
	}
	return nil
}

type demoCmd struct{}

// demoTimeout bounds the demonstration.
const demoTimeout = time.Minute

func (demoCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	bar := newProgress(-1)
	defer bar.finish()
	return process.Demo(ctx, os.Stdout, func(done, all int) { bar.show(done, all) })
}

// progress is a bar on a terminal, and nothing elsewhere.
type progress struct{ bar *progressbar.ProgressBar }

func newProgress(all int) *progress {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return &progress{}
	}
	return &progress{progressbar.NewOptions(all, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionThrottle(200*time.Millisecond),
		progressbar.OptionShowCount(), progressbar.OptionClearOnFinish())}
}

// A bar that can't be drawn stops nothing: its errors are left.
func (p *progress) show(done, all int) {
	if p.bar != nil {
		p.bar.ChangeMax(all)
		_ = p.bar.Set(done)
	}
}

func (p *progress) finish() {
	if p.bar != nil {
		_ = p.bar.Finish()
	}
}

type compareCmd struct {
	ResultA string `name:"a" arg:"" type:"existingfile" help:"result.json"`
	ResultB string `name:"b" arg:"" type:"existingfile" help:"result.json"`
}

func (c *compareCmd) Run() error {
	var both [2][]*lab.Outcome
	for i, file := range []string{c.ResultA, c.ResultB} {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(text, &both[i]); err != nil || len(both[i]) == 0 {
			return fmt.Errorf("%s: no result of spanlab run: %v", file, err)
		}
	}
	return lab.Compare(os.Stdout, both[0], both[1])
}

// gcPercent trades memory for time: worlds allocate much that is soon free.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	var c cli
	parser := kong.Must(&c, kong.Name("spanlab"), kong.Description("Experiments on the emulator."), kong.UsageOnError())
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "spanlab:", err)
		os.Exit(exitInvalid)
	}
	switch err := ctx.Run(); {
	case errors.Is(err, errClaimShort):
		os.Exit(exitShort)
	case err != nil:
		fmt.Fprintln(os.Stderr, "spanlab:", err)
		os.Exit(exitInvalid)
	}
}
