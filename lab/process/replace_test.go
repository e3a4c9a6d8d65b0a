package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"spantack/standin/cache"
)

// States of a server in the endpoint list.
const (
	stateDraining = 1
	stateGone     = 2
)

const (
	// readyCallInterval is the time between two readiness calls of replaceRouter.
	readyCallInterval = 5 * time.Millisecond
	// maxCallBody is the maximum number of bytes read of a response of the admin API.
	maxCallBody = 1 << 20
)

// replaceCache replaces an edge cache as a deploy does, and returns the new one. The old one is drained for a duration
// and then removed. The new one has an empty store. If keepsAddr is set, it has the address of the old one.
func replaceCache(t *testing.T, d *Deployment, index int, drain time.Duration, keepsAddr bool) *cache.Server {
	t.Helper()
	old := d.EdgeCaches[index]
	at := -1
	for i, endpoint := range d.endpoints {
		if endpoint.Addr == old.Addr() && fmt.Sprintf("s-%08x", endpoint.ID) == old.Name() {
			at = i
		}
	}
	if at < 0 {
		t.Fatalf("cache %d is not in the endpoint list", index)
	}
	row := d.endpoints[at]
	row.State = stateDraining
	d.Discovery.Publish(false, row)
	time.Sleep(drain)
	old.Close()
	row.State = stateGone
	d.Discovery.Publish(false, row)
	d.endpoints = append(d.endpoints[:at], d.endpoints[at+1:]...)
	addr := ""
	if keepsAddr {
		addr = row.Addr.String()
	}
	fresh, err := d.addServer(kindEdgeCache, addr, time.Now().UnixMilli())
	if err != nil {
		t.Fatal(err)
	}
	d.EdgeCaches[index] = fresh
	d.Discovery.Publish(false, d.endpoints[len(d.endpoints)-1])
	return fresh
}

// parentName returns the name of a parent, which is known even before the deployment starts. Names follow the order of
// start: the origin is the first server, and then come the parents.
func parentName(index int) string { return fmt.Sprintf("s-%08x", uint32(2+index)*idFactor) }

// replaceRouter starts a second process of a router, terminates the old one when the new one is ready, and returns when
// the old one has exited.
func replaceRouter(ctx context.Context, d *Deployment, rank int) error {
	old := d.Routers[rank]
	next, err := d.startRouter(rank, old)
	if err != nil {
		return err
	}
	for startedAt := time.Now(); ; time.Sleep(readyCallInterval) {
		if status, _, err := callAdmin(ctx, next, http.MethodGet, "/api/ready"); err == nil && status == http.StatusOK {
			break
		}
		if time.Since(startedAt) > readyTimeout {
			return errors.Join(fmt.Errorf("the new process at %s is not ready", next.AdminAddr), next.Kill())
		}
	}
	d.Routers[rank] = next
	if err := old.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-old.exited
	return old.exitErr
}

// callAdmin makes a call to a router's admin API and returns the HTTP status and the body of the response.
func callAdmin(ctx context.Context, r *Router, method, path string) (status int, body string, err error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+r.AdminAddr+path, nil)
	if err != nil {
		return 0, "", err
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxCallBody))
	return response.StatusCode, string(text), err
}
