// Command spanctl is the operators' command. It checks a features file, explains what it does with a request, plans
// cells, migrations, rollouts and fills, and writes the documents for them, all from files alone. `spanctl router`
// makes management calls to running routers.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// cli has the commands. Those with an alias had that name in earlier releases; it is still accepted, but not shown in
// the help.
type cli struct {
	Check    checkCmd    `name:"check" cmd:"" help:"Checks a features file as the router would; one line for the first error, exit code 1."`
	Topology topologyCmd `name:"topology" aliases:"shape" cmd:"" help:"Which sites and areas fill from which: show, diff, plan."`
	Rollout  rolloutCmd  `name:"rollout" aliases:"stage" cmd:"" help:"Releases admitted to cells ring by ring: start, status, stop."`
	Router   routerCmd   `name:"router" cmd:"" help:"Management calls to running routers: ready, metrics, exclude, include, drain, rejoin."`
	Cells    cellsCmd    `name:"cells" cmd:"" help:"Cells: show, explain, diff, plan; and migrations of tenants between them: migration, migrate, drain, pause, resume, rollback, finalize."`
}

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "spanctl:", err)
		os.Exit(1)
	}
}

// run parses and runs one command line.
func run(args []string, out io.Writer) error {
	var c cli
	parser, err := newParser(&c)
	if err != nil {
		return err
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		return err
	}
	ctx.BindTo(out, (*io.Writer)(nil))
	return ctx.Run()
}

func newParser(c *cli) (*kong.Kong, error) {
	return kong.New(c, kong.Name("spanctl"), kong.Description("Checks, explains and plans what routers are told."),
		kong.Help(helpWithoutAliases))
}

// helpWithoutAliases prints the help, in which kong would show the aliases beside the names. The program ends after it.
func helpWithoutAliases(options kong.HelpOptions, ctx *kong.Context) error {
	var removeAliases func(node *kong.Node)
	removeAliases = func(node *kong.Node) {
		node.Aliases = nil
		for _, child := range node.Children {
			removeAliases(child)
		}
	}
	removeAliases(ctx.Model.Node)
	return kong.DefaultHelpPrinter(options, ctx)
}
