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

// A call reaches every router that is named, also if one of them fails, and the error tells of that.
func TestRouterCalls(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 2)
	// router starts a router's management server, which knows one server, and returns its address and a count of calls
	// for it.
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
	command(t, "router ready "+one+" "+two, one+" yes\n"+two+" yes\n", "")
	command(t, "router metrics "+one, one+" app.outstanding:3|g\n", "")
	command(t, "router exclude s-2 "+one+" "+two, two+" yes\n", one+": no: 404 id: no such server is listed")
	command(t, "router include s-1 "+one, one+" yes\n", "")
	if oneCalls.Load() != 1 || twoCalls.Load() != 1 {
		t.Errorf("%d and %d calls", oneCalls.Load(), twoCalls.Load())
	}
	command(t, "router drain "+one, "yes", "")
	command(t, "router ready "+one+" "+two, two+" yes\n", one+": no: 503 no")
	command(t, "router rejoin "+one, "yes", "")
	command(t, "router ready "+one, "yes", "")
	command(t, "router exclude a/b "+one, "", "no: 404")
	stop()
	for range 2 {
		if err := testwait.Receive(t, ended, "a management server to end"); err != nil {
			t.Error(err)
		}
	}
	command(t, "router ready "+one, "", one)
}
