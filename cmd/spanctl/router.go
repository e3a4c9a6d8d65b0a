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
	Ready   routerReadyCmd   `name:"ready" cmd:"" help:"Whether routers take requests."`
	Metrics routerMetricsCmd `name:"metrics" aliases:"figures" cmd:"" help:"Routers' metrics, a line each."`
	Exclude routerExcludeCmd `name:"exclude" cmd:"" help:"Excludes a server at routers, whatever the endpoint list says, until include."`
	Include routerIncludeCmd `name:"include" cmd:"" help:"Ends the exclusion of a server."`
	Drain   routerDrainCmd   `name:"drain" aliases:"evacuate" cmd:"" help:"Drains routers; they run on."`
	Rejoin  routerRejoinCmd  `name:"rejoin" cmd:"" help:"Lets drained routers take requests again."`
}

// callTimeout bounds one call. A router must answer within a second.
const callTimeout = 3 * time.Second

// maxResponseBytes bounds what is read of a response.
const maxResponseBytes = 1 << 20

// errRejected is wrapped by the error for a response that is not a success.
var errRejected = errors.New("no")

// routerTargets are the routers that a call is made to.
type routerTargets struct {
	Routers []string `name:"routers" arg:"" help:"Addresses of routers for management calls, host:port."`
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

// Run asks whether the routers take requests.
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

// Run lets the routers take requests again.
func (c *routerRejoinCmd) Run(out io.Writer) error { return c.call(out, http.MethodPut, "rejoin") }

// call calls each router in turn and prints what it responds, a line with its address for each. All are called even
// if some fail; the error names those.
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

// callRouter makes one call and returns the body of a successful response. It uses no proxy and keeps no connection.
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
		return "", fmt.Errorf("%w: %d %s", errRejected, response.StatusCode, strings.TrimSpace(string(body)))
	}
	return string(body), nil
}
