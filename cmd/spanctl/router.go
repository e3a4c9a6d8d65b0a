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

// routerCmd makes management calls to running routers (docs/operation.md).
type routerCmd struct {
	Ready   routerReadyCmd   `name:"ready" cmd:"" help:"Print whether routers accept requests."`
	Metrics routerMetricsCmd `name:"metrics" aliases:"figures" cmd:"" help:"Print metrics of routers, one on each line."`
	Exclude routerExcludeCmd `name:"exclude" cmd:"" help:"Exclude a server at routers until spanctl router include, whatever its state in the endpoint list."`
	Include routerIncludeCmd `name:"include" cmd:"" help:"End the exclusion of a server."`
	Drain   routerDrainCmd   `name:"drain" aliases:"evacuate" cmd:"" help:"Drain routers; they keep running."`
	Rejoin  routerRejoinCmd  `name:"rejoin" cmd:"" help:"Let drained routers accept requests again."`
}

// callTimeout bounds one call. Routers respond within a second.
const callTimeout = 3 * time.Second

// maxResponseBytes is the maximum number of bytes that are read of a response.
const maxResponseBytes = 1 << 20

// errUnsuccessful is wrapped by the error for a response whose status code is not 2xx.
var errUnsuccessful = errors.New("unsuccessful response")

// routerTargets are the routers to which a call is made.
type routerTargets struct {
	Routers []string `name:"routers" arg:"" help:"Management addresses of routers, as host:port."`
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

// Run prints whether the routers accept requests.
func (c *routerReadyCmd) Run(out io.Writer) error { return c.call(out, http.MethodGet, "ready") }

// Run prints the routers' metrics.
func (c *routerMetricsCmd) Run(out io.Writer) error { return c.call(out, http.MethodGet, "telemetry") }

// Run excludes the server.
func (c *routerExcludeCmd) Run(out io.Writer) error {
	return c.call(out, http.MethodPut, "exclude/"+url.PathEscape(c.ID))
}

// Run ends the server's exclusion.
func (c *routerIncludeCmd) Run(out io.Writer) error {
	return c.call(out, http.MethodPut, "include/"+url.PathEscape(c.ID))
}

// Run drains the routers.
func (c *routerDrainCmd) Run(out io.Writer) error { return c.call(out, http.MethodPut, "evacuate") }

// Run lets the routers accept requests again.
func (c *routerRejoinCmd) Run(out io.Writer) error { return c.call(out, http.MethodPut, "rejoin") }

// call makes a call to one router after the other, and prints each line of the responses after the router's address. If
// calls fail, it goes on with the next router; the returned error has all failures.
func (t *routerTargets) call(out io.Writer, method, name string) error {
	var failed []error
	for _, addr := range t.Routers {
		text, err := callRouter(addr, method, "/api/"+name)
		if err != nil {
			failed = append(failed, fmt.Errorf("%s: %w", addr, err))
			continue
		}
		for line := range strings.Lines(text) {
			fmt.Fprintf(out, "%s %s\n", addr, strings.TrimRight(line, "\n"))
		}
	}
	return errors.Join(failed...)
}

// callRouter makes one call and returns the body of a successful response. It uses no proxy and no persistent
// connection.
func callRouter(addr, method, path string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return "", err
	}
	request.Close = true
	client := http.Client{Transport: &http.Transport{}}
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return "", err
	}
	if response.StatusCode/100 != 2 {
		return "", fmt.Errorf("%w: %d %s", errUnsuccessful, response.StatusCode, strings.TrimSpace(string(body)))
	}
	return string(body), nil
}
