package admin

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"spantack/core/endpoints"
	"spantack/internal/loopback"
	"spantack/internal/testwait"
)

func TestMain(m *testing.M) {
	// closeWriteAndWait sleeps before it closes a connection, so it may outlast the tests.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*conn).closeWriteAndWait"))
}

// fakeRouter records the calls that reach it.
type fakeRouter struct {
	isReady atomic.Bool

	mu    sync.Mutex
	calls []string
}

func (r *fakeRouter) record(call string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, call)
}

// serverCall returns a call for which server s-0 is unknown, and which fails for s-full.
func (r *fakeRouter) serverCall(name string) func(id string) error {
	return func(id string) error {
		switch id {
		case "s-0":
			return endpoints.ErrUnknownServer
		case "s-full":
			return errors.New("disk full")
		}
		r.record(name + " " + id)
		return nil
	}
}

func (r *fakeRouter) drain() {
	r.record("drain")
	r.isReady.Store(false)
}

func (r *fakeRouter) rejoin() {
	r.record("rejoin")
	r.isReady.Store(true)
}

func (r *fakeRouter) metrics() []Metric {
	return []Metric{{Name: "results.page.succeeded", Value: 812}, {Name: "outstanding", Value: 14, IsGauge: true}}
}

// serve runs a server for a fake router that is ready, until the end of the test.
func serve(t *testing.T) (addr string, router *fakeRouter, s *Server) {
	t.Helper()
	router = &fakeRouter{}
	router.isReady.Store(true)
	s = &Server{
		IsReady: router.isReady.Load,
		Metrics: router.metrics,
		Exclude: router.serverCall("exclude"),
		Include: router.serverCall("include"),
		Drain:   router.drain,
		Rejoin:  router.rejoin,
		Log:     zerolog.Nop(),
	}
	ctx, stop := context.WithCancel(context.Background())
	l, err := Listen(ctx, loopback.FreeAddress())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx, l) }()
	t.Cleanup(func() {
		stop()
		if err := testwait.Receive(t, ended, "Serve to end"); err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String(), router, s
}

// call writes the pieces of one call, and returns the status and the body of the response. The status is 0 if the
// connection is closed without a response.
func call(t *testing.T, addr string, pieces ...string) (int, string) {
	t.Helper()
	c := testwait.Dial(t, addr)
	defer c.Close()
	for _, p := range pieces {
		io.WriteString(c, p)
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, ""
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		t.Error(err)
	}
	if !r.Close {
		t.Error("the connection stays open after the response")
	}
	return r.StatusCode, string(body)
}

// Each call must get the response that docs/operation.md documents, and must reach its function.
func TestCallResponses(t *testing.T) {
	addr, router, _ := serve(t)
	for _, tc := range []struct {
		line   string
		status int
		body   string // empty: any
	}{
		{"GET /api/ready", 200, "yes\n"},
		{"GET /api/telemetry", 200, "app.results.page.succeeded:812|c\napp.outstanding:14|g\n"},
		{"PUT /api/exclude/s-1", 200, "yes\n"},
		{"PUT /api/exclude/s-0", 404, "id: no such server is listed\n"},
		{"PUT /api/exclude/s-full", 503, "disk full\n"},
		{"PUT /api/include/s-1", 200, "yes\n"},
		{"PUT /api/include/s-0", 404, "id: no such server is listed\n"},
		{"PUT /api/exclude/" + strings.Repeat("x", maxIDLength+1), 400, "id: too long\n"},
		{"PUT /api/exclude/", 404, ""},
		{"GET /api/exclude/s-1", 405, ""},
		{"PUT /api/evacuate", 200, "yes\n"},
		{"GET /api/ready", 503, "no\n"},
		{"PUT /api/rejoin", 200, "yes\n"},
		{"GET /api/ready", 200, "yes\n"},
		{"GET /api/other", 404, ""},
	} {
		half := len(tc.line) / 2
		status, body := call(t, addr, tc.line[:half], tc.line[half:]+" HTTP/1.1\r\nHo", "st: r\r\nContent-Length: 0\r\n\r\n")
		if status != tc.status || tc.body != "" && body != tc.body {
			t.Errorf("%s: %d %q, want %d %q", tc.line, status, body, tc.status, tc.body)
		}
	}
	router.mu.Lock()
	defer router.mu.Unlock()
	if got := strings.Join(router.calls, ", "); got != "exclude s-1, include s-1, drain, rejoin" {
		t.Errorf("calls that reached the router: %s", got)
	}
}

// Any number of connections without a complete call must not block another call, and neither must input that is not a
// valid call.
func TestIncompleteCallsDoNotBlockOthers(t *testing.T) {
	addr, _, s := serve(t)
	incomplete := []string{"", "GET /api/re", "PUT /api/exclude/s-1 HTTP/1.1\r\nHost: r\r\nContent-Length: 900\r\n\r\nx"}
	for i := range 3 * MaxConns {
		c := testwait.Dial(t, addr)
		io.WriteString(c, incomplete[i%len(incomplete)])
	}
	if status, _ := call(t, addr, "GET /api/ready HTTP/1.1\r\nHost: r\r\n\r\n"); status != 200 {
		t.Errorf("status %d while other connections have incomplete calls, want 200", status)
	}
	s.mu.Lock()
	if n := len(s.conns); n > MaxConns {
		t.Errorf("%d connections are open", n)
	}
	s.mu.Unlock()
	for _, text := range []string{
		"\x00\x01\x02\r\n\r\n",
		"GET /api/ready HTTP/1.1\r\n" + strings.Repeat("X: y\r\n", 4000) + "\r\n",
		"GET\r\n\r\n",
	} {
		if status, _ := call(t, addr, text); status == 200 {
			t.Errorf("%.20q: status 200", text)
		}
	}
}
