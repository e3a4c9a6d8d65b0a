// Command spanlab runs the project's experiments on its emulator, scenarios on real router processes, and scale tests.
// It exits with 0 where all claims hold, with 3 where one falls short, and with 2 after any error.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

// Exit codes, besides 0.
const (
	exitInvalid = 2 // after an error
	exitShort   = 3 // after errClaimShort
)

// errClaimShort is the error of a command that ran, but for a claim or a bound that does not hold. What fell short has
// been printed.
var errClaimShort = errors.New("a claim falls short")

// gcPercent trades memory for time: worlds allocate much that is soon free.
const gcPercent = 400

// cli has the commands. Those with an alias had that name in earlier releases; it is still accepted, but not shown in
// the help.
type cli struct {
	List     listCmd     `name:"list" cmd:"" help:"Lists the experiments."`
	Run      runCmd      `name:"run" cmd:"" help:"Runs an experiment; exits with 3 when a claim falls short."`
	Demo     demoCmd     `name:"demo" cmd:"" help:"Brings up a real router on loopback, with a small load."`
	Compare  compareCmd  `name:"compare" cmd:"" help:"Sets two results side by side."`
	Scenario scenarioCmd `name:"scenario" aliases:"live" cmd:"" help:"Scripted faults between real router processes."`
	Scale    scaleCmd    `name:"scale" cmd:"" help:"What the fleet's own mechanisms cost as it grows."`
}

func main() {
	debug.SetGCPercent(gcPercent)
	err := run(os.Args[1:])
	switch {
	case errors.Is(err, errClaimShort):
		os.Exit(exitShort)
	case err != nil:
		fmt.Fprintln(os.Stderr, "spanlab:", err)
		os.Exit(exitInvalid)
	}
}

// run parses and runs one command line.
func run(args []string) error {
	parser, err := kong.New(new(cli), kong.Name("spanlab"), kong.Description("Experiments on the emulator."),
		kong.UsageOnError(), kong.Help(helpWithoutAliases))
	if err != nil {
		return err
	}
	command, err := parser.Parse(args)
	if err != nil {
		return err
	}
	return command.Run()
}

// helpWithoutAliases prints the help, in which kong would show the aliases beside the names. The program ends after it.
func helpWithoutAliases(options kong.HelpOptions, command *kong.Context) error {
	var removeAliases func(node *kong.Node)
	removeAliases = func(node *kong.Node) {
		node.Aliases = nil
		for _, child := range node.Children {
			removeAliases(child)
		}
	}
	removeAliases(command.Model.Node)
	return kong.DefaultHelpPrinter(options, command)
}

// commandContext is the context of a command that starts processes: it ends with the first signal to stop, and after a
// timeout.
func commandContext(timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	return ctx, func() {
		cancel()
		stop()
	}
}
