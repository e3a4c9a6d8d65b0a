// Command spantack is a request router. It takes requests from clients and sends them to edge caches, parents and the
// origin, as the decision module in package routing decides.
//
// main catches signals and loads the configuration. run then builds the components (build.go), connects them (wire.go)
// and serves (serve.go) until a signal ends the process (shutdown.go). SIGHUP reloads the configuration and the
// features file (reload.go).
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"spantack/internal/asynclog"
	"spantack/internal/config"
)

// flags are the command-line flags. All other settings come from environment variables and the
// configuration file that RELAY_CONFIG names. Without flags all optional features are off.
type flags struct {
	Gossip   bool   `name:"peers" help:"Exchange reports of overloaded parents with other routers; see docs/gossip.md."`
	Features string `name:"features" help:"Features file, in Jsonnet; see deploy/features.jsonnet." placeholder:"FILE"`
}

func main() {
	var f flags
	parser := kong.Must(&f, kong.Name("spantack"),
		kong.Description("Request router, configured by RELAY_NAME, RELAY_LISTEN and RELAY_CONFIG."))
	_, err := parser.Parse(os.Args[1:])
	signals := catchSignals() // before the configuration is read: until then SIGHUP or SIGTERM would end the process
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
