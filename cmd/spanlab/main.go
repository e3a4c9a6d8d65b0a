// Command spanlab runs the project's experiments on its emulator.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"
	"github.com/schollz/progressbar/v3"

	"spantack/lab"
)

// Exit codes.
const (
	exitBad   = 2
	exitShort = 3
)

var errShort = errors.New("a claim falls short")

type cli struct {
	List    listCmd    `cmd:"" help:"Lists the experiments."`
	Run     runCmd     `cmd:"" help:"Runs an experiment; exits with 3 when a claim falls short."`
	Compare compareCmd `cmd:"" help:"Sets two results side by side."`
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
	Name  string   `arg:"" help:"The experiment."`
	Seed  uint64   `default:"1" help:"First seed, 0 to 2^63."`
	Seeds uint64   `default:"1" help:"How many seeds, one after the other."`
	Size  string   `default:"small" enum:"small,full" help:"small or full."`
	Out   string   `help:"Folder for result.json, table.md and charts."`
	Set   []string `help:"path=value, changes the experiment." sep:"none"`
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
	var bar *progressbar.ProgressBar
	if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
		bar = progressbar.NewOptions(int(c.Seeds)*len(e.Arms)*len(e.Days), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionClearOnFinish())
	}
	short := false
	for i := range c.Seeds {
		o, err := e.Play(c.Size, c.Seed+i, func(int, int) {
			if bar != nil {
				_ = bar.Add(1)
			}
		})
		if err != nil {
			return err
		}
		outcomes = append(outcomes, o)
		short = short || o.Kept() < len(o.Claims)
	}
	if c.Out != "" {
		if err := e.Write(c.Out, outcomes); err != nil {
			return err
		}
	}
	for _, o := range outcomes {
		fmt.Println(o.Line())
	}
	if short {
		return errShort
	}
	return nil
}

type compareCmd struct {
	A string `arg:"" type:"existingfile" help:"result.json"`
	B string `arg:"" type:"existingfile" help:"result.json"`
}

func (c *compareCmd) Run() error {
	var both [2][]*lab.Outcome
	for i, file := range []string{c.A, c.B} {
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
		os.Exit(exitBad)
	}
	switch err := ctx.Run(); {
	case errors.Is(err, errShort):
		os.Exit(exitShort)
	case err != nil:
		fmt.Fprintln(os.Stderr, "spanlab:", err)
		os.Exit(exitBad)
	}
}
