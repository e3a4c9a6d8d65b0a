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
	Ready    routerReadyCmd    `name:"ready" cmd:"" help:"Whether routers take work."`
	Figures  routerFiguresCmd  `name:"figures" cmd:"" help:"Routers' figures, a line each."`
	Exclude  routerExcludeCmd  `name:"exclude" cmd:"" help:"Takes a server out at routers, whatever the list says, until include."`
	Include  routerIncludeCmd  `name:"include" cmd:"" help:"Puts a server back."`
	Evacuate routerEvacuateCmd `name:"evacuate" cmd:"" help:"Empties routers; they run on."`
	Rejoin   routerRejoinCmd   `name:"rejoin" cmd:"" help:"Puts emptied routers back to work."`
}

// answerTime bounds one call: a router owes its answer within a second.
const answerTime = 3 * time.Second

// mostAnswer bounds what is read of an answer.
const mostAnswer = 1 << 20

// errSaidNo is wrapped by what a router says beside a no.
var errSaidNo = errors.New("no")

// atRouters are the second addresses that a call is made at.
type atRouters struct {
	Routers []string `name:"routers" arg:"" help:"Second addresses of routers, host:port."`
}

type aboutServer struct {
	ID string `name:"id" arg:"" help:"Id of the server, such as s-00c41f7a."`
	atRouters
}

type (
	routerReadyCmd    struct{ atRouters }
	routerFiguresCmd  struct{ atRouters }
	routerExcludeCmd  struct{ aboutServer }
	routerIncludeCmd  struct{ aboutServer }
	routerEvacuateCmd struct{ atRouters }
	routerRejoinCmd   struct{ atRouters }
)

func (c *routerReadyCmd) Run(out io.Writer) error   { return c.call(out, http.MethodGet, "ready") }
func (c *routerFiguresCmd) Run(out io.Writer) error { return c.call(out, http.MethodGet, "telemetry") }
func (c *routerExcludeCmd) Run(out io.Writer) error {
	return c.call(out, http.MethodPut, "exclude/"+url.PathEscape(c.ID))
}
func (c *routerIncludeCmd) Run(out io.Writer) error {
	return c.call(out, http.MethodPut, "include/"+url.PathEscape(c.ID))
}
func (c *routerEvacuateCmd) Run(out io.Writer) error { return c.call(out, http.MethodPut, "evacuate") }
func (c *routerRejoinCmd) Run(out io.Writer) error   { return c.call(out, http.MethodPut, "rejoin") }

// call makes a call at each router, one after the other and at all of them even where some say no, and prints what each said. Its error
// names those that said no or nothing.
func (r *atRouters) call(out io.Writer, method, name string) error {
	var faults []error
	for _, addr := range r.Routers {
		text, err := callOne(addr, method, "/api/"+name)
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

func callOne(addr, method, path string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
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
	text, err := io.ReadAll(io.LimitReader(a.Body, mostAnswer))
	if err != nil {
		return "", err
	}
	if a.StatusCode/100 != 2 {
		return "", fmt.Errorf("%w: %d %s", errSaidNo, a.StatusCode, strings.TrimSpace(string(text)))
	}
	return string(text), nil
}
