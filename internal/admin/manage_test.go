package admin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"spantack/core/endpoints"
	"spantack/internal/loopback"
	"spantack/internal/testwait"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*conn).closeWriteAndWait")) // it sleeps before it closes
}

type calls struct {
	mu    sync.Mutex
	names []string
	ready atomic.Bool
}

func (c *calls) note(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.names = append(c.names, name)
}

func serve(t *testing.T) (addr string, c *calls, s *Server) {
	t.Helper()
	c = &calls{}
	c.ready.Store(true)
	by := func(what string) func(string) error {
		return func(id string) error {
			if id == "s-0" {
				return endpoints.ErrUnknownServer
			}
			if id == "s-full" {
				return errors.New("disk full")
			}
			c.note(what + " " + id)
			return nil
		}
	}
	s = &Server{IsReady: c.ready.Load, Exclude: by("out"), Include: by("back"), Log: zerolog.Nop(),
		Drain: func() { c.note("empty"); c.ready.Store(false) }, Rejoin: func() { c.note("rejoin"); c.ready.Store(true) },
		Metrics: func() []Metric {
			return []Metric{{Name: "results.page.succeeded", Value: 812}, {Name: "outstanding", Value: 14, IsGauge: true}}
		}}
	ctx, stop := context.WithCancel(context.Background())
	l, err := Listen(ctx, loopback.FreeAddress())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx, l) }()
	t.Cleanup(func() {
		stop()
		if err := testwait.Receive(t, ended, "the end of Serve"); err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String(), c, s
}

// call writes one call as it stands, in pieces, and returns the status and the body; 0 for a connection that ends without.
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
		t.Error("the connection is kept for a second call")
	}
	return r.StatusCode, string(body)
}

func TestCalls(t *testing.T) {
	addr, c, _ := serve(t)
	for i, one := range []struct {
		line string
		want int
		body string
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
		status, body := call(t, addr, one.line[:len(one.line)/2], one.line[len(one.line)/2:]+" HTTP/1.1\r\nHo", "st: r\r\nContent-Length: 0\r\n\r\n")
		if status != one.want || one.body != "" && body != one.body {
			t.Errorf("%d, %s: %d %q, want %d %q", i, one.line, status, body, one.want, one.body)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if got := strings.Join(c.names, ", "); got != "out s-1, back s-1, empty, rejoin" {
		t.Errorf("calls that came through: %s", got)
	}
}

// Callers that connect and send no whole call, however many, hold up no call; nor does what is no HTTP.
func TestHeldConnections(t *testing.T) {
	addr, _, s := serve(t)
	for i := range 3 * MaxConns {
		c := testwait.Dial(t, addr)
		io.WriteString(c, []string{"", "GET /api/re", "PUT /api/exclude/s-1 HTTP/1.1\r\nHost: r\r\nContent-Length: 900\r\n\r\nx"}[i%3])
	}
	if status, _ := call(t, addr, "GET /api/ready HTTP/1.1\r\nHost: r\r\n\r\n"); status != 200 {
		t.Errorf("status %d beside held connections", status)
	}
	s.mu.Lock()
	if n := len(s.conns); n > MaxConns {
		t.Errorf("%d connections are held", n)
	}
	s.mu.Unlock()
	for _, text := range []string{"\x00\x01\x02\r\n\r\n", "GET /api/ready HTTP/1.1\r\n" + strings.Repeat("X: y\r\n", 4000) + "\r\n", "GET\r\n\r\n"} {
		if status, _ := call(t, addr, text); status == 200 {
			t.Errorf("%.20q: answered", text)
		}
	}
}

// Two processes of one router change what is out: none forgets what the other did, and each hears of it by the file.
func TestStateDirTwoProcesses(t *testing.T) {
	dir := t.TempDir()
	type process struct {
		state *StateDir
		list  *endpoints.List
		mu    sync.Mutex
	}
	start := func() *process {
		p := &process{state: NewStateDir(dir, zerolog.Nop()), list: endpoints.New()}
		ids, err := p.state.Excluded()
		if err != nil {
			t.Fatal(err)
		}
		p.list.ReplaceExclusions(ids)
		return p
	}
	adopt := func(p *process) func([]string) error {
		return func(ids []string) error {
			p.mu.Lock()
			defer p.mu.Unlock()
			_, err := p.list.ReplaceExclusions(ids)
			return err
		}
	}
	excluded := func(p *process) func() []string {
		return func() []string {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.list.Exclusions()
		}
	}
	once := func(p *process, id string, in bool) error {
		return p.state.ChangeExcluded(adopt(p), func() error {
			p.mu.Lock()
			defer p.mu.Unlock()
			ids := p.list.Exclusions()
			if in {
				ids = slices.DeleteFunc(ids, func(o string) bool { return o == id })
			} else {
				ids = append(ids, id)
			}
			_, err := p.list.ReplaceExclusions(ids)
			return err
		}, excluded(p))
	}
	change := func(p *process, id string, in bool) error { // again where others had the lock for so long that a caller is told no
		err := once(p, id, in)
		for begin := time.Now(); errors.Is(err, syscall.EWOULDBLOCK) && time.Since(begin) < testwait.Limit; {
			err = once(p, id, in)
		}
		return err
	}
	old := start()
	if err := change(old, "a", false); err != nil {
		t.Fatal(err)
	}
	fresh := start()
	var group sync.WaitGroup
	for i := range 40 {
		group.Go(func() {
			if err := change([]*process{old, fresh}[i%2], fmt.Sprintf("s-%02d", i), false); err != nil {
				t.Error(err)
			}
		})
	}
	testwait.WaitGroupWithin(t, 2*testwait.Limit, &group, "all changes")
	if err := change(fresh, "a", true); err != nil {
		t.Fatal(err)
	}
	if got := excluded(fresh)(); len(got) != 40 || slices.Contains(got, "a") {
		t.Errorf("%d are out: %v", len(got), got)
	}
	heard := make(chan struct{})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- old.state.WatchExcluded(ctx, func(ids []string) error {
			if len(ids) == 40 {
				close(heard)
			}
			return adopt(old)(ids)
		})
	}()
	testwait.Receive(t, heard, "the other process to hear of the changes")
	stop()
	if err := testwait.Receive(t, ended, "the end of Follow"); err != nil {
		t.Error(err)
	}
	if got := excluded(old)(); slices.Contains(got, "a") {
		t.Errorf("the other process still has %v out", got)
	}
	if err := os.Remove(filepath.Join(dir, excludedFile)); err != nil {
		t.Fatal(err)
	}
	if err := change(fresh, "b", false); err != nil { // a file that was lost undoes nothing
		t.Fatal(err)
	}
	if got := excluded(fresh)(); len(got) != 41 {
		t.Errorf("%d are out after the file was lost", len(got))
	}
	for _, id := range excluded(fresh)() {
		if err := change(fresh, id, true); err != nil {
			t.Fatal(err)
		}
	}
	old.state.RestoreExcluded(adopt(old))
	if got := excluded(old)(); len(got) != 0 {
		t.Errorf("the last one put back is still out at the other process: %v", got)
	}
	left, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil || len(left) != 2 {
		t.Errorf("files left: %v, %v", left, err)
	}
}

// A corrupt file is no reason to stop; without a state directory all works but is not handed over.
func TestStateDirCorrupt(t *testing.T) {
	dir := t.TempDir()
	s := NewStateDir(dir, zerolog.Nop())
	if s.IsReplaced() {
		t.Error("replaced by nobody")
	}
	if err := s.ClaimServing(); err != nil || s.IsReplaced() {
		t.Errorf("replaced by itself, %v", err)
	}
	for _, text := range []string{"", "{", `{"a":1}`, strings.Repeat(" ", maxFileBytes+1)} {
		if err := os.WriteFile(filepath.Join(dir, excludedFile), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if ids, err := s.Excluded(); err == nil || ids != nil {
			t.Errorf("%.10q: read as %v", text, ids)
		}
	}
	claim := filepath.Join(dir, servingFile)
	if err := errors.Join(os.Remove(claim), os.WriteFile(claim, []byte("1"), 0o600)); err != nil || s.IsReplaced() {
		t.Errorf("replaced by a claim that no living process holds, %v", err)
	}
	none := NewStateDir("", zerolog.Nop())
	called := false
	if err := none.ChangeExcluded(nil, func() error { called = true; return nil }, nil); err != nil || !called || none.ClaimServing() != nil || none.IsReplaced() {
		t.Error("without a state directory")
	}
}
