// Command spantack is one request router: clients on one side, edge caches, parents and the origin on the other,
// and the decision module of package routing between them.
//
// main catches signals and loads the configuration. run then builds the parts (build.go), ties them together
// (wire.go) and serves (serve.go) until a signal ends the process (shutdown.go); SIGHUP reloads the configuration
// and the features file (reload.go).
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"spantack/internal/asynclog"
	"spantack/internal/config"
)

// flags are the command line; all else comes from the environment. Without flags nothing new is on.
type flags struct {
	Gossip   bool   `name:"peers" help:"Tell other routers of overloaded parents by datagrams; see docs/gossip.md."`
	Features string `name:"features" help:"Jsonnet file of features; see deploy/features.jsonnet." placeholder:"FILE"`
}

func main() {
	var f flags
	parser := kong.Must(&f, kong.Name("spantack"),
		kong.Description("A request router; it reads RELAY_NAME, RELAY_LISTEN and RELAY_CONFIG."))
	_, err := parser.Parse(os.Args[1:])
	signals := catchSignals() // before the configuration is read: until then a signal would end the process
	defer signals.release()
	out := asynclog.New(os.Stderr)
	loadConfig := func() (*config.Config, error) { return config.Load(os.Getenv) }
	var c *config.Config
	if err == nil {
		c, err = loadConfig()
	}
	if err == nil {
		err = run(c, loadConfig, f, signals, out)
	}
	if err != nil {
		fmt.Fprintln(out, "spantack:", err)
	}
	out.Close()
	if err != nil {
		os.Exit(1)
	}
}
