package process

import (
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"spantack/core/cells"
	"spantack/internal/features"
	"spantack/internal/testwait"
)

const (
	// routerTimeout bounds waits for routers.
	routerTimeout = time.Minute
	// loadTimeout bounds a load with all its responses: eight times the half minute that it takes on an idle machine.
	loadTimeout = 4 * time.Minute
	// callTimeout bounds a call to a router. Routers have their own time limits.
	callTimeout = testwait.Limit
)

// routerBinary is the path of the router binary. TestMain builds it once for all tests.
var routerBinary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "spantack-test-")
	if err == nil {
		routerBinary, err = Build(dir)
	}
	if err != nil {
		println(err.Error())
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// startDeployment starts a deployment that is stopped when the test ends.
func startDeployment(t *testing.T, options Options) *Deployment {
	t.Helper()
	options.RouterBinary = routerBinary
	d, err := Start(contextWithLimit(t, routerTimeout, "the deployment to start"), options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := d.Stop(); err != nil {
			t.Error(err)
		}
		goleak.VerifyNone(t)
	})
	return d
}

// contextWithLimit returns a context for a wait. After the limit, context.Cause returns an error that names what the
// test waited for.
func contextWithLimit(t *testing.T, limit time.Duration, what string) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeoutCause(t.Context(), limit, fmt.Errorf("waited %v for %s", limit, what))
	t.Cleanup(cancel)
	return ctx
}

// runLoad sends a load and waits for all responses.
func runLoad(t *testing.T, d *Deployment, load Load) (*LoadResult, error) {
	t.Helper()
	what := fmt.Sprintf("the responses to %d requests of seed %d", load.Requests, load.Seed)
	ctx := contextWithLimit(t, loadTimeout, what)
	result, err := d.RunLoad(ctx, load)
	if late := context.Cause(ctx); late != nil { // requests in flight count as lost
		err = late
	}
	return result, err
}

// mustRunLoad runs a load and ends the test if there is an error.
func mustRunLoad(t *testing.T, d *Deployment, load Load) *LoadResult {
	t.Helper()
	result, err := runLoad(t, d, load)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// startLoad is runLoad in a goroutine. The channel gets the result.
func startLoad(t *testing.T, d *Deployment, load Load) <-chan *LoadResult {
	t.Helper()
	ended := make(chan *LoadResult, 1)
	go func() {
		result, err := runLoad(t, d, load)
		if err != nil {
			t.Error(err)
		}
		ended <- result
	}()
	return ended
}

// waitForLoad waits for the result of a load that startLoad started.
func waitForLoad(t *testing.T, ended <-chan *LoadResult) *LoadResult {
	t.Helper()
	return testwait.ReceiveWithin(t, loadTimeout+routerTimeout, ended, "the load")
}

// waitUntil waits, at most for routerTimeout, until a condition holds. what describes the condition.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	testwait.UntilWithin(t, routerTimeout, what, holds)
}

// readLog returns a router's log.
func readLog(t *testing.T, r *Router) string {
	t.Helper()
	text, err := os.ReadFile(r.LogPath)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// waitForLog waits until a router's log contains substring.
func waitForLog(t *testing.T, r *Router, substring string) {
	t.Helper()
	waitUntil(t, fmt.Sprintf("the log of %s to contain %q", r.Addr, substring), func() bool {
		return strings.Contains(readLog(t, r), substring)
	})
}

// signal sends a signal to a router.
func signal(t *testing.T, r *Router, s syscall.Signal) {
	t.Helper()
	if err := r.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// reloadFeatures replaces the features file, sends SIGHUP to all routers, and waits until the log of each contains
// logged.
func reloadFeatures(t *testing.T, d *Deployment, text, logged string) {
	t.Helper()
	if err := d.WriteFeatures(text); err != nil {
		t.Fatal(err)
	}
	for _, r := range d.Routers {
		signal(t, r, syscall.SIGHUP)
	}
	for _, r := range d.Routers {
		waitForLog(t, r, logged)
	}
}

// checkNoOverlaps checks that no request had more than one attempt in flight at a time, by the request log.
func checkNoOverlaps(t *testing.T, d *Deployment) {
	t.Helper()
	if overlaps := d.RequestLog.Overlaps(); len(overlaps) > 0 {
		t.Errorf("requests with two attempts in flight at once: %v", overlaps)
	}
}

// checkAllAnswered checks that all requests got one correct response each.
func checkAllAnswered(t *testing.T, total Tally, requests int) {
	t.Helper()
	if n := total.Served + total.Rejected + total.Failed; n != requests || total.WrongBody+total.Lost > 0 {
		t.Errorf("outcomes: %+v, want %d in total, none wrong or lost", total, requests)
	}
}

// cacheNames returns the names of the edge caches.
func cacheNames(d *Deployment) (names []string) {
	for _, edgeCache := range d.EdgeCaches {
		names = append(names, edgeCache.Name())
	}
	return names
}

// cellByCache returns a map from the names of the edge caches to the names of their cells, as the given features file
// assigns them.
func cellByCache(t *testing.T, d *Deployment, text string) map[string]string {
	t.Helper()
	file, err := features.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return cellsOfCaches(file.CellSpec(), cacheNames(d))
}

// cellsOfCaches returns a map from the names of caches to the names of their cells.
func cellsOfCaches(spec *cells.Spec, names []string) map[string]string {
	cellOf := map[string]string{}
	for i, members := range spec.CachesByCell(names) {
		for _, name := range members {
			cellOf[name] = spec.Cells[i].Name
		}
	}
	return cellOf
}
