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
	// readyCallInterval is how long replaceRouter waits between two calls to the new process.
	readyCallInterval = 5 * time.Millisecond
	// maxCallBody bounds what is read of the answer to a call of the admin API.
	maxCallBody = 1 << 20
)

// replaceCache replaces an edge cache as a deploy does: it drains for a while, then goes, and a new one, with nothing
// in its store, is listed in its place, at the same address if that is asked for.
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
		t.Fatalf("cache %d is not listed", index)
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

// parentName is the name that a parent will have, before the deployment starts. The origin is the first server, then
// come the parents.
func parentName(index int) string { return fmt.Sprintf("s-%08x", uint32(2+index)*idFactor) }

// replaceRouter starts a router's program anew beside the process that serves, ends that one with SIGTERM once the new
// one says that it is ready, and returns when the old one has ended.
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
			return errors.Join(fmt.Errorf("the new process at %s says no", next.AdminAddr), next.Kill())
		}
	}
	d.Routers[rank] = next
	if err := old.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-old.exited
	return old.exitErr
}

// callAdmin makes a call to a router's admin API.
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
