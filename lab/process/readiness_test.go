package process

import (
	"context"
	"errors"
	"fmt"
	"os/exec"
	"runtime"
	"slices"
	"testing"
	"time"

	"spantack/internal/msgpackrpc"
	"spantack/internal/router"
	"spantack/standin/discovery"
)

const (
	// mostReadyLimit is how soon nine in ten restarted routers have to be ready, allReadyLimit how soon all.
	mostReadyLimit = 10 * time.Second
	allReadyLimit  = 30 * time.Second
)

// loadAllCores runs a loop on each core until the test ends, an end of their own after bound at the latest.
func loadAllCores(t *testing.T, bound time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	t.Cleanup(cancel)
	for range runtime.NumCPU() {
		loop := exec.CommandContext(ctx, "/bin/sh", "-c", "while :; do :; done")
		if err := loop.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			cancel()
			_ = loop.Wait() // killed: that is its end
		})
	}
}

// endpointsDocument is the configuration's form of the list of servers: what a router that starts is told before it hears from discovery.
func (d *Deployment) endpointsDocument() map[string]any {
	set := Settings(d.options.Routers)
	zones, kinds := set["Zones"].([]string), set["Kinds"].([]string)
	var targets []any
	for _, s := range d.endpoints {
		targets = append(targets, map[string]any{"uid": fmt.Sprintf("s-%08x", s.ID), "endpoint": s.Addr.String(), "az": zones[s.Zone], "model": kinds[s.Kind],
			"pod_group": 0, "state": "Ready", "capacity_hint": s.Weight, "boot_ms": s.StartedAtMillis})
	}
	return map[string]any{"rev": 1, "notices": []any{map[string]any{"rev": 1, "pool": map[string]any{"rev": 1, "all": true, "targets": targets}}}}
}

// waitUntilReady waits until a router that has just been started takes its address and says over it that it is ready, as the platform's front does.
func waitUntilReady(ctx context.Context, r *Router) error {
	for {
		probe, cancel := context.WithTimeout(ctx, time.Second)
		c, err := msgpackrpc.Dial(r.Addr, 1000)
		yes := false
		if err == nil {
			yes, err = c.Ready(probe)
			c.Close()
		}
		cancel()
		if yes {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("router at %s is not ready: %w", r.Addr, errors.Join(ctx.Err(), err))
		case ended := <-r.exited:
			r.exited <- ended
			return fmt.Errorf("router at %s ended: %v", r.Addr, ended)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// restartRouters kills the first so many routers, starts them anew at once and returns how long each took to be ready, in order.
func restartRouters(t *testing.T, d *Deployment, count int) []time.Duration {
	t.Helper()
	for _, r := range d.Routers[:count] {
		if err := r.Kill(); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), allReadyLimit)
	defer cancel()
	type outcome struct {
		took time.Duration
		err  error
	}
	outcomes := make(chan outcome, count)
	for i, before := range d.Routers[:count] {
		begin := time.Now()
		r, err := d.startRouter(i, before)
		if err != nil {
			t.Fatal(err)
		}
		d.Routers[i] = r
		go func() {
			err := waitUntilReady(ctx, r)
			outcomes <- outcome{time.Since(begin), err}
		}()
	}
	var took []time.Duration
	for range count {
		o := <-outcomes
		if o.err != nil {
			t.Error(o.err)
		}
		took = append(took, o.took)
	}
	slices.Sort(took)
	return took
}

// checkRoutersForward asks each router for an object, again if it refuses, and finds by the caches' request log that it was sent on: a router is not
// ready that does not know where to send.
func checkRoutersForward(t *testing.T, d *Deployment, round int) {
	t.Helper()
	const tries = 5
	asked := map[string]int{} // by id of request: the router
	for i, r := range d.Routers {
		c, err := msgpackrpc.Dial(r.Addr, 5000)
		if err != nil {
			t.Fatalf("router %d: %v", i, err)
		}
		for try := range tries {
			q := router.Request{ID: fmt.Sprintf("%04x%04x%08x", round, try, i), Class: Classes[1], Object: ObjectName(0, i), SizeKB: 20, ClientTimeout: 3000}
			asked[q.ID] = i
			a, err := c.Do(t.Context(), q)
			if err != nil || a.Outcome == router.Served {
				break
			}
		}
		c.Close()
	}
	sent := map[int]bool{}
	for _, g := range d.RequestLog.Requests() {
		if i, known := asked[g.ID]; known {
			sent[i] = true
		}
	}
	for i := range d.Routers {
		if !sent[i] {
			t.Errorf("router %d says that it is ready and sent no request on", i)
		}
	}
}

// Thirty processes killed at one moment and started anew at once, on a machine on which a loop keeps each core busy, while discovery is slow, mute or
// down: nine in ten are ready within 10 s and all within 30 s, and each sends requests on by what its configuration tells.
func TestNineInTenAreReadyInTime(t *testing.T) {
	const routers = 30
	fleet := `{"fleet": {"enabled": true, "asks": 300, "floor": 0.5, "verdicts": true}}`
	d := startDeployment(t, Options{Routers: routers, EdgeCaches: 4, HasGossip: true, Features: fleet, ExtraFlags: []string{"--peers"}})
	for i := range routers {
		if err := d.Configure(i, func(doc map[string]any) { doc["known"] = d.endpointsDocument() }); err != nil {
			t.Fatal(err)
		}
	}
	loadAllCores(t, 2*time.Minute)
	for round, mode := range []discovery.Mode{discovery.Slow, discovery.Mute, discovery.Down} {
		if err := d.Discovery.SetMode(mode); err != nil {
			t.Fatal(err)
		}
		took := restartRouters(t, d, routers)
		ninth := took[(len(took)*9+9)/10-1]
		t.Logf("discovery %v: ready after %v least, %v median, %v nine in ten, %v most", mode, took[0], took[len(took)/2], ninth, took[len(took)-1])
		if ninth > mostReadyLimit {
			t.Errorf("discovery %v: nine in ten are ready after %v, %v is the limit", mode, ninth, mostReadyLimit)
		}
		checkRoutersForward(t, d, round)
	}
}
