package main

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"

	"spantack/core/endpoints"
	"spantack/internal/admin"
	"spantack/internal/testwait"
)

// Guards against a command that calls no further routers after a call has failed. Also guards against errors that do
// not name the router and the reason.
func TestRouterCalls(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 2)
	// router starts a management server that knows one server. It returns the address of the management server, and a
	// count of the calls to exclude and include the known server.
	router := func(knownServer string) (string, *atomic.Int64) {
		calls, ready := &atomic.Int64{}, &atomic.Bool{}
		ready.Store(true)
		count := func(id string) error {
			if id != knownServer {
				return endpoints.ErrUnknownServer
			}
			calls.Add(1)
			return nil
		}
		server := &admin.Server{
			IsReady: ready.Load,
			Exclude: count,
			Include: count,
			Drain:   func() { ready.Store(false) },
			Rejoin:  func() { ready.Store(true) },
			Log:     zerolog.Nop(),
			Metrics: func() []admin.Metric { return []admin.Metric{{Name: "outstanding", Value: 3, IsGauge: true}} },
		}
		listener, err := admin.Listen(ctx, "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() { ended <- server.Serve(ctx, listener) }()
		return listener.Addr().String(), calls
	}
	one, oneCalls := router("s-1")
	two, twoCalls := router("s-2")
	runCommand(t, "router ready "+one+" "+two, one+" yes\n"+two+" yes\n", "")
	runCommand(t, "router metrics "+one, one+" app.outstanding:3|g\n", "")
	runCommand(t, "router exclude s-2 "+one+" "+two, two+" yes\n",
		one+": unsuccessful response: 404 id: no such server is listed")
	runCommand(t, "router include s-1 "+one, one+" yes\n", "")
	if oneCalls.Load() != 1 || twoCalls.Load() != 1 {
		t.Errorf("%d and %d calls to exclude and include, want 1 and 1", oneCalls.Load(), twoCalls.Load())
	}
	runCommand(t, "router drain "+one, "yes", "")
	runCommand(t, "router ready "+one+" "+two, two+" yes\n", one+": unsuccessful response: 503 no")
	runCommand(t, "router rejoin "+one, "yes", "")
	runCommand(t, "router ready "+one, "yes", "")
	runCommand(t, "router exclude a/b "+one, "", "unsuccessful response: 404")
	stop()
	for range 2 {
		if err := testwait.Receive(t, ended, "a management server to end"); err != nil {
			t.Error(err)
		}
	}
	runCommand(t, "router ready "+one, "", one)
}
