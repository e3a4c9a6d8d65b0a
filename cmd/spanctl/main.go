// Command spanctl is the command for operators. It checks features files, explains how a request is assigned, plans
// cells, migrations, rollouts and fills, and writes the documents for them. These commands use only files;
// `spanctl router` makes management calls to running routers.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// cli defines the commands. Aliases are the names of commands in earlier releases. They are still accepted, but not
// shown in the help.
type cli struct {
	Check    checkCmd    `name:"check" cmd:"" help:"Check a features file as the router does; prints the first error, with exit code 1."`
	Topology topologyCmd `name:"topology" aliases:"shape" cmd:"" help:"Levels of sites and parent groups, and their fills: show, diff, plan."`
	Rollout  rolloutCmd  `name:"rollout" aliases:"stage" cmd:"" help:"Rollout of a release to cells, ring by ring: start, status, stop."`
	Router   routerCmd   `name:"router" cmd:"" help:"Make management calls to running routers: ready, metrics, exclude, include, drain, rejoin."`
	Cells    cellsCmd    `name:"cells" cmd:"" help:"Cells: show, explain, diff, plan; migrations of tenants between cells: migration, migrate, drain, pause, resume, rollback, finalize."`
}

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "spanctl:", err)
		os.Exit(1)
	}
}

// run parses and executes a command line. Commands print to out.
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
	return kong.New(c, kong.Name("spanctl"),
		kong.Description("Checks features files, plans changes to them, and manages routers."), kong.Help(helpWithoutAliases))
}

// helpWithoutAliases prints the help without the aliases that kong would show. It removes them from the parser, which
// is safe because the program exits after the help.
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
