package process

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"spantack/internal/msgpackrpc"
	"spantack/internal/router"
	"spantack/internal/testwait"
)

const (
	// largestBody is the size of the largest object, in bytes.
	largestBody = 240_000
	// slowReadRate is the rate of the slowest clients, in bytes a second, and slowReadSize how much they read at once.
	slowReadRate = 1_000_000
	slowReadSize = 20_000
	// killDelay is the time from SIGTERM to SIGKILL: the longest deadline, counted as 3 s, and 0.7 s.
	killDelay = 3700 * time.Millisecond
	// slowClientTimeoutMillis is how long a slow client waits for a response.
	slowClientTimeoutMillis = 6000
)

// slowConn is a connection from which at most slowReadRate is read.
type slowConn struct{ net.Conn }

// Read implements io.Reader.
func (s *slowConn) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b[:min(len(b), slowReadSize)])
	time.Sleep(time.Duration(n) * time.Second / slowReadRate)
	return n, err
}

// endings are the ways in which a router comes to close its connections. Each begins the end and returns a function that
// waits until nothing of it is left running.
var endings = map[string]func(*testing.T, *Deployment) (wait func()){
	"evacuation": func(t *testing.T, d *Deployment) func() {
		mustCall(t, d.Routers[0], http.MethodPut, "/api/evacuate")
		return func() {}
	},
	"SIGTERM": func(t *testing.T, d *Deployment) func() {
		signal(t, d.Routers[0], syscall.SIGTERM)
		return func() {}
	},
	"replacement": func(t *testing.T, d *Deployment) func() {
		replaced := make(chan error, 1)
		go func() { replaced <- replaceRouter(context.Background(), d, 0) }()
		return func() {
			if err := testwait.Receive(t, replaced, "the replacement"); err != nil {
				t.Error(err)
			}
		}
	},
}

// Guards against answers that are dropped because a router closes a connection while its client reads slowly: however
// the router comes to end, the requests that it has taken, and those that the client sends within the next 0.6 s, must
// get their responses.
func TestSlowReadersKeepTheirResponses(t *testing.T) {
	const before, after = 6, 3
	for name, end := range endings {
		t.Run(name, func(t *testing.T) {
			d := startDeployment(t, Options{Routers: 1, EdgeCaches: 2, HasAdminAPI: true, BodySize: largestBody})
			waitUntil(t, "the endpoint list", func() bool { return readMetrics(t, d.Routers[0])["app.discovered"] == 2 })
			conn, err := net.Dial("tcp", d.Routers[0].Addr)
			if err != nil {
				t.Fatal(err)
			}
			client := msgpackrpc.NewClient(&slowConn{conn})
			defer client.Close()
			var open sync.WaitGroup
			for i := range before {
				open.Go(func() { askSlowly(t, client, i) })
			}
			time.Sleep(200 * time.Millisecond)
			wait := end(t, d)
			for i := range after {
				time.Sleep(200 * time.Millisecond)
				open.Go(func() { askSlowly(t, client, before+i) })
			}
			testwait.WaitGroup(t, &open, "all responses")
			wait()
		})
	}
}

// askSlowly requests an object and fails the test unless the client gets its response.
func askSlowly(t *testing.T, client *msgpackrpc.Client, number int) {
	ctx, cancel := context.WithTimeout(t.Context(), testwait.Limit)
	defer cancel()
	request := requestFor(fmt.Sprintf("%016x", number+1), classVideo, number)
	request.ClientTimeout = slowClientTimeoutMillis
	response, err := client.Do(ctx, request)
	isServed := response.Outcome == router.Served && len(response.Body) == largestBody
	if err != nil || !isServed && response.Outcome != router.Rejected {
		t.Errorf("request %d: %v with %d bytes, %v", number, response.Outcome, len(response.Body), err)
	}
}

// Guards against clients that never read and delay the exit of a router beyond the time at which it is killed.
func TestClientsThatNeverReadDoNotDelayExit(t *testing.T) {
	const clients = 64
	d := startDeployment(t, Options{Routers: 1, EdgeCaches: 2, HasAdminAPI: true, BodySize: largestBody})
	r := d.Routers[0]
	waitUntil(t, "the endpoint list", func() bool { return readMetrics(t, r)["app.discovered"] == 2 })
	for i := range clients {
		conn, err := net.Dial("tcp", r.Addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		stalled := msgpackrpc.NewClient(&stalledConn{conn, t.Context()})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for n := range 4 {
			go func() {
				_, _ = stalled.Do(ctx, requestFor(fmt.Sprintf("%08x%08x", i+1, n+1), classVideo, n))
			}()
		}
	}
	waitUntil(t, "requests to be served, and none to be open", func() bool { // some are rejected, more on a busy machine
		metrics := readMetrics(t, r)
		return metrics["app.results."+classVideo+".succeeded"] > 0 && metrics["app.outstanding"] == 0
	})
	watch := testwait.StartStopwatch()
	signal(t, r, syscall.SIGTERM)
	testwait.Receive(t, r.exited, "the exit")
	if took := watch.Elapsed(); took > killDelay {
		t.Errorf("exited %v after SIGTERM, SIGKILL may follow after %v", took, killDelay)
	}
}

// stalledConn is a connection from which nothing is read until ctx ends.
type stalledConn struct {
	net.Conn
	ctx context.Context
}

// Read implements io.Reader.
func (s *stalledConn) Read([]byte) (int, error) {
	<-s.ctx.Done()
	return 0, s.ctx.Err()
}
