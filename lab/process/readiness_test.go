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
	// mostReadyLimit is the time limit for nine in ten restarted routers to be ready, and allReadyLimit for all.
	mostReadyLimit = 10 * time.Second
	allReadyLimit  = 30 * time.Second
)

// fleetFeatures returns a features file with a fleet limit on origin fills, and with verdicts.
func fleetFeatures(originFills int) string {
	return fmt.Sprintf(`{"fleet": {"enabled": true, "asks": %d, "floor": 0.5, "verdicts": true}}`, originFills)
}

// keepAllCoresBusy runs a busy loop on each core until the test ends or the limit has passed.
func keepAllCoresBusy(t *testing.T, limit time.Duration) {
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
			_ = loop.Wait() // returns an error, because the loop was killed
		})
	}
}

// endpointsDocument returns the endpoint list in the format of the configuration. A router uses this list from its
// start until the discovery service responds.
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

// waitForHealthCheck waits until a new router accepts connections and passes a health check, as the platform's front
// end does.
func waitForHealthCheck(ctx context.Context, r *Router) error {
	for {
		isReady, err := probe(ctx, r)
		if isReady {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("router at %s is not ready: %w", r.Addr, errors.Join(ctx.Err(), err))
		case <-r.exited:
			return fmt.Errorf("router at %s exited: %v", r.Addr, r.exitErr)
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

// restartRouters kills the count routers with the lowest ranks and restarts all of them at the same time. It returns
// the sorted times until they were ready.
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
			err := waitForHealthCheck(ctx, r)
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

// checkRoutersForward sends each router requests until one is served, and checks by the request log that each router
// forwarded one. A router that reported ready without knowing any server fails the test.
func checkRoutersForward(t *testing.T, d *Deployment, round int) {
	t.Helper()
	rankByRequest := map[string]int{}
	for rank, r := range d.Routers {
		for _, id := range requestUntilServed(t, r, round, rank) {
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
			t.Errorf("router %d is ready but forwarded no request", rank)
		}
	}
}

// requestUntilServed sends a router up to five requests until one is served, and returns their ids.
func requestUntilServed(t *testing.T, r *Router, round, rank int) (ids []string) {
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

// Thirty routers are killed and restarted at the same time, with all cores busy, while the discovery service is slow,
// silent or down. Nine in ten are ready within 10 s and all within 30 s. Each forwards requests by the endpoint list in
// its configuration.
func TestRestartedRoutersAreReadyInTime(t *testing.T) {
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
	keepAllCoresBusy(t, 2*time.Minute)
	for round, mode := range []discovery.Mode{discovery.Slow, discovery.Mute, discovery.Down} {
		if err := d.Discovery.SetMode(mode); err != nil {
			t.Fatal(err)
		}
		times := restartRouters(t, d, routers)
		p90 := times[(len(times)*9+9)/10-1]
		t.Logf("discovery %v: time until ready: min %v, median %v, p90 %v, max %v",
			mode, times[0], times[len(times)/2], p90, times[len(times)-1])
		if p90 > mostReadyLimit {
			t.Errorf("discovery %v: nine in ten routers ready after %v, limit %v", mode, p90, mostReadyLimit)
		}
		checkRoutersForward(t, d, round)
	}
}
