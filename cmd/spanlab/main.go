// Command spanlab runs the project's experiments on its emulator, scenarios on real router processes, and scale tests.
// It exits with 0 if all claims and bounds hold and no budget is exceeded, with 3 otherwise, and with 2 after an error.
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
	exitError  = 2 // after any other error
	exitFailed = 3 // after errCheckFailed
)

// errCheckFailed is returned by a command that has run without an error, but found a claim or a bound that does not
// hold, or a budget that is exceeded. The command has already printed what failed.
var errCheckFailed = errors.New("a claim or bound does not hold, or a budget is exceeded")

// gcPercent makes the garbage collector run less often, at the cost of memory: the emulator allocates many
// short-lived objects.
const gcPercent = 400

// cli defines the commands. Aliases are the names of commands in earlier releases. They are still accepted, but not
// shown in the help.
type cli struct {
	List     listCmd     `name:"list" cmd:"" help:"List the experiments."`
	Run      runCmd      `name:"run" cmd:"" help:"Run an experiment; exit code 3 if a claim does not hold."`
	Demo     demoCmd     `name:"demo" cmd:"" help:"Run a real router on loopback under a small load."`
	Compare  compareCmd  `name:"compare" cmd:"" help:"Compare two results."`
	Scenario scenarioCmd `name:"scenario" aliases:"live" cmd:"" help:"Run real router processes with scripted faults."`
	Scale    scaleCmd    `name:"scale" cmd:"" help:"Measure the cost of the fleet protocols as the fleet grows."`
}

func main() {
	debug.SetGCPercent(gcPercent)
	err := run(os.Args[1:])
	switch {
	case errors.Is(err, errCheckFailed):
		os.Exit(exitFailed)
	case err != nil:
		fmt.Fprintln(os.Stderr, "spanlab:", err)
		os.Exit(exitError)
	}
}

// run parses and executes a command line.
func run(args []string) error {
	parser, err := kong.New(new(cli), kong.Name("spanlab"),
		kong.Description("Runs experiments, scenarios and scale tests."), kong.UsageOnError(), kong.Help(helpWithoutAliases))
	if err != nil {
		return err
	}
	command, err := parser.Parse(args)
	if err != nil {
		return err
	}
	return command.Run()
}

// helpWithoutAliases prints the help without the aliases that kong would show. It removes them from the parser, which
// is safe because the program exits after the help.
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

// commandContext returns the context of a command that starts processes. It is canceled at SIGINT or SIGTERM, and after
// a timeout.
func commandContext(timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	return ctx, func() {
		cancel()
		stop()
	}
}
