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

// fleetFeatures is a features file with a fleet limit of so many origin fills, and with verdicts.
func fleetFeatures(originFills int) string {
	return fmt.Sprintf(`{"fleet": {"enabled": true, "asks": %d, "floor": 0.5, "verdicts": true}}`, originFills)
}

// loadAllCores runs a loop on each core until the test ends, or for a limit at most.
func loadAllCores(t *testing.T, limit time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
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

// endpointsDocument is the endpoint list in the form of a configuration: what a router that starts knows before it
// hears from the discovery service.
func endpointsDocument(d *Deployment) map[string]any {
	settings := Settings(d.options.Routers)
	zones := settings["Zones"].([]string)
	kinds := settings["Kinds"].([]string)
	var targets []any
	for _, endpoint := range d.endpoints {
		targets = append(targets, map[string]any{
			"uid":           fmt.Sprintf("s-%08x", endpoint.ID),
			"endpoint":      endpoint.Addr.String(),
			"az":            zones[endpoint.Zone],
			"model":         kinds[endpoint.Kind],
			"pod_group":     0,
			"state":         "Ready",
			"capacity_hint": endpoint.Weight,
			"boot_ms":       endpoint.StartedAtMillis,
		})
	}
	pool := map[string]any{"rev": 1, "all": true, "targets": targets}
	return map[string]any{"rev": 1, "notices": []any{map[string]any{"rev": 1, "pool": pool}}}
}

// waitUntilReady waits until a router that has just been started accepts connections and says over one that it is
// ready, as the platform's front does.
func waitUntilReady(ctx context.Context, r *Router) error {
	for {
		isReady, err := probe(ctx, r)
		if isReady {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("router at %s is not ready: %w", r.Addr, errors.Join(ctx.Err(), err))
		case <-r.exited:
			return fmt.Errorf("router at %s ended: %v", r.Addr, r.exitErr)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// probe makes one health check.
func probe(ctx context.Context, r *Router) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	client, err := msgpackrpc.Dial(r.Addr, loadDialTimeoutMillis)
	if err != nil {
		return false, err
	}
	defer client.Close()
	return client.Ready(ctx)
}

// restartRouters kills the routers with the least ranks, starts them anew at once, and returns how long each took to be
// ready, in order.
func restartRouters(t *testing.T, d *Deployment, count int) (times []time.Duration) {
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
	for rank, killed := range d.Routers[:count] {
		startedAt := time.Now()
		r, err := d.startRouter(rank, killed)
		if err != nil {
			t.Fatal(err)
		}
		d.Routers[rank] = r
		go func() {
			err := waitUntilReady(ctx, r)
			outcomes <- outcome{time.Since(startedAt), err}
		}()
	}
	for range count {
		o := <-outcomes
		if o.err != nil {
			t.Error(o.err)
		}
		times = append(times, o.took)
	}
	slices.Sort(times)
	return times
}

// checkRoutersForward asks each router for an object, again if it refuses, and finds by the request log that it was
// forwarded: a router is not ready that does not know where to send.
func checkRoutersForward(t *testing.T, d *Deployment, round int) {
	t.Helper()
	rankByRequest := map[string]int{}
	for rank, r := range d.Routers {
		for _, id := range askUntilServed(t, r, round, rank) {
			rankByRequest[id] = rank
		}
	}
	hasForwarded := map[int]bool{}
	for _, request := range d.RequestLog.Requests() {
		if rank, known := rankByRequest[request.ID]; known {
			hasForwarded[rank] = true
		}
	}
	for rank := range d.Routers {
		if !hasForwarded[rank] {
			t.Errorf("router %d says that it is ready and sent no request on", rank)
		}
	}
}

// askUntilServed sends a router requests until one is served, five at most, and returns their ids.
func askUntilServed(t *testing.T, r *Router, round, rank int) (ids []string) {
	t.Helper()
	const maxRequests = 5
	client, err := msgpackrpc.Dial(r.Addr, 5000)
	if err != nil {
		t.Fatalf("router %d: %v", rank, err)
	}
	defer client.Close()
	for i := range maxRequests {
		request := requestFor(fmt.Sprintf("%04x%04x%08x", round, i, rank), classCatalogue, rank)
		ids = append(ids, request.ID)
		response, err := client.Do(t.Context(), request)
		if err != nil || response.Outcome == router.Served {
			break
		}
	}
	return ids
}

// Thirty processes killed at one moment and started anew at once, on a machine on which a loop keeps each core busy,
// while discovery is slow, mute or down: nine in ten are ready within 10 s and all within 30 s, and each forwards
// requests by what its configuration tells.
func TestNineInTenAreReadyInTime(t *testing.T) {
	const routers = 30
	d := startDeployment(t, Options{
		Routers:    routers,
		EdgeCaches: 4,
		HasGossip:  true,
		Features:   fleetFeatures(300),
		ExtraFlags: []string{"--peers"},
	})
	for rank := range routers {
		err := d.Configure(rank, func(doc map[string]any) { doc["known"] = endpointsDocument(d) })
		if err != nil {
			t.Fatal(err)
		}
	}
	loadAllCores(t, 2*time.Minute)
	for round, mode := range []discovery.Mode{discovery.Slow, discovery.Mute, discovery.Down} {
		if err := d.Discovery.SetMode(mode); err != nil {
			t.Fatal(err)
		}
		times := restartRouters(t, d, routers)
		ninth := times[(len(times)*9+9)/10-1]
		t.Logf("discovery %v: ready after %v least, %v median, %v nine in ten, %v most",
			mode, times[0], times[len(times)/2], ninth, times[len(times)-1])
		if ninth > mostReadyLimit {
			t.Errorf("discovery %v: nine in ten are ready after %v, %v is the limit", mode, ninth, mostReadyLimit)
		}
		checkRoutersForward(t, d, round)
	}
}
