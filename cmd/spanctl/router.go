package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// routerCmd makes the calls of routers' second addresses (docs/operation.md).
type routerCmd struct {
	Ready   routerReadyCmd   `name:"ready" cmd:"" help:"Whether routers take work."`
	Metrics routerMetricsCmd `name:"figures" cmd:"" help:"Routers' figures, a line each."`
	Exclude routerExcludeCmd `name:"exclude" cmd:"" help:"Takes a server out at routers, whatever the list says, until include."`
	Include routerIncludeCmd `name:"include" cmd:"" help:"Puts a server back."`
	Drain   routerDrainCmd   `name:"evacuate" cmd:"" help:"Empties routers; they run on."`
	Rejoin  routerRejoinCmd  `name:"rejoin" cmd:"" help:"Puts emptied routers back to work."`
}

// callTimeout bounds one call: a router owes its answer within a second.
const callTimeout = 3 * time.Second

// maxResponseBytes bounds what is read of an answer.
const maxResponseBytes = 1 << 20

// errRejected is wrapped by what a router says beside a no.
var errRejected = errors.New("no")

// routerTargets are the second addresses that a call is made at.
type routerTargets struct {
	Routers []string `name:"routers" arg:"" help:"Second addresses of routers, host:port."`
}

type serverTarget struct {
	ID string `name:"id" arg:"" help:"Id of the server, such as s-00c41f7a."`
	routerTargets
}

type (
	routerReadyCmd   struct{ routerTargets }
	routerMetricsCmd struct{ routerTargets }
	routerExcludeCmd struct{ serverTarget }
	routerIncludeCmd struct{ serverTarget }
	routerDrainCmd   struct{ routerTargets }
	routerRejoinCmd  struct{ routerTargets }
)

func (c *routerReadyCmd) Run(out io.Writer) error { return c.callAll(out, http.MethodGet, "ready") }
func (c *routerMetricsCmd) Run(out io.Writer) error {
	return c.callAll(out, http.MethodGet, "telemetry")
}
func (c *routerExcludeCmd) Run(out io.Writer) error {
	return c.callAll(out, http.MethodPut, "exclude/"+url.PathEscape(c.ID))
}
func (c *routerIncludeCmd) Run(out io.Writer) error {
	return c.callAll(out, http.MethodPut, "include/"+url.PathEscape(c.ID))
}
func (c *routerDrainCmd) Run(out io.Writer) error  { return c.callAll(out, http.MethodPut, "evacuate") }
func (c *routerRejoinCmd) Run(out io.Writer) error { return c.callAll(out, http.MethodPut, "rejoin") }

// callAll makes a call at each router, one after the other and at all of them even where some say no, and prints what each said. Its error
// names those that said no or nothing.
func (r *routerTargets) callAll(out io.Writer, method, name string) error {
	var faults []error
	for _, addr := range r.Routers {
		text, err := callRouter(addr, method, "/api/"+name)
		if err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", addr, err))
			continue
		}
		for line := range strings.Lines(text) {
			fmt.Fprintf(out, "%s %s\n", addr, strings.TrimRight(line, "\n"))
		}
	}
	return errors.Join(faults...)
}

func callRouter(addr, method, path string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return "", err
	}
	q.Close = true                                      // one call to a connection
	client := http.Client{Transport: &http.Transport{}} // straight to the router, past any proxy
	a, err := client.Do(q)
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(io.LimitReader(a.Body, maxResponseBytes))
	if err != nil {
		return "", err
	}
	if a.StatusCode/100 != 2 {
		return "", fmt.Errorf("%w: %d %s", errRejected, a.StatusCode, strings.TrimSpace(string(text)))
	}
	return string(text), nil
}
