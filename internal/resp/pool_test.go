package resp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"spantack/internal/clock"
	"spantack/internal/loopback"
	"spantack/internal/router"
	"spantack/internal/testwait"
	"spantack/routing"
)

// cache is the test's side of a server.
type cache struct {
	t *testing.T
	net.Listener
}

type link struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func listen(t *testing.T) *cache {
	return &cache{t, testwait.Listen(t)}
}

func (c *cache) accept() *link {
	c.t.Helper()
	nc := testwait.Accept(c.t, c.Listener, "a connection to a server")
	return &link{c.t, nc, bufio.NewReader(nc)}
}

// command reads the verb and id of the next command.
func (l *link) command() string {
	parts, err := ReadArray(l.in)
	if err != nil {
		l.t.Fatal(err)
	}
	return string(parts[0]) + " " + string(parts[1])
}

func (l *link) expect(want ...string) {
	l.t.Helper()
	for _, w := range want {
		if got := l.command(); got != w {
			l.t.Fatalf("got %q, want %q", got, w)
		}
	}
}

func (l *link) say(words ...string) {
	var parts [][]byte
	for _, w := range words {
		parts = append(parts, []byte(w))
	}
	l.Write(AppendArray(nil, parts...))
}

// patient is a bound in milliseconds on a write that is longer than any wait of a test: a test that passes has not waited for it.
var patient = 10 * float64(testwait.Limit.Milliseconds())

func newPools(t *testing.T, addr string) (*Pools, *clock.Clock) {
	fake := clock.NewFake(1000)
	p := NewPools(t.Context(), Options{DialTimeout: 5000, IdleTimeout: 30_000, MaxStreams: 2, MaxConns: 2, MaxSendDelay: 300}, fake, zerolog.Nop())
	p.timeouts.drop = patient // none is stuck
	list(p, "s-1", addr)
	return p, fake
}

func list(p *Pools, id, addr string) {
	p.Apply(router.WatchEvent{Servers: []router.Server{{ID: id, Addr: addr, Status: "healthy"}}})
}

func send(p *Pools, id string) router.PendingAttempt {
	return p.Send(router.Attempt{Request: &router.Request{ID: id}, Server: "s-1"})
}

// out is an attempt that has come to the peer, on the first connection to it.
func out(p *Pools, c *cache) (router.PendingAttempt, *link) {
	k := send(p, "a")
	one := c.accept()
	one.expect("GET a")
	return k, one
}

// live says something on a connection and returns once it is heard: its server is no silent one.
func (l *link) live(p *Pools) {
	l.say("x", "VOID", "-", "")
	testwait.Until(l.t, "an answer to be heard", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.servers["s-1"].conns[0].lastResponseAt > 0
	})
}

func (c *cache) addr() string { return c.Addr().String() }

func wantCode(t *testing.T, k router.PendingAttempt, want routing.AttemptOutcome) router.AttemptResult {
	t.Helper()
	e := testwait.Receive(t, k.Done(), fmt.Sprintf("an attempt to end %q", want))
	if e.Outcome != want {
		t.Errorf("ended %q, want %q", e.Outcome, want)
	}
	return e
}

// Answers find their attempts in any order, two connections are opened before one is shared, and none gets more than
// MaxStreams: what finds no place was never sent.
func TestPlaces(t *testing.T) {
	c := listen(t)
	p, _ := newPools(t, c.addr())
	a := send(p, "a")
	one := c.accept()
	one.expect("GET a")
	b := send(p, "b")
	two := c.accept()
	two.expect("GET b")
	more := []router.PendingAttempt{send(p, "c"), send(p, "d")}
	wantCode(t, send(p, "e"), routing.OutcomeSkipped)
	ids := []string{one.command(), two.command()}
	slices.Sort(ids)
	if ids[0] != "GET c" || ids[1] != "GET d" {
		t.Fatalf("shared by %q", ids)
	}
	two.say("b", "OK", "n=TCP_HIT", "bytes of b")
	one.say("a", "MISS", "-", "")
	if e := wantCode(t, b, routing.OutcomeServed); string(e.Body) != "bytes of b" || e.CacheStatus != 1 {
		t.Errorf("%+v", e)
	}
	wantCode(t, a, routing.OutcomeMiss)
	one.Close()
	two.Close()
	for _, k := range more { // a break proves nothing
		wantCode(t, k, routing.OutcomeConnectionReset)
	}
}

// The next attempt of a request goes behind the DROP of the one before, on its connection: the server must never see
// two of them at once.
func TestDropThenGet(t *testing.T) {
	c := listen(t)
	p, _ := newPools(t, c.addr())
	k, one := out(p, c)
	one.say("a", "OK", "-", "x")
	wantCode(t, k, routing.OutcomeServed)
	k = send(p, "a") // the connection has been heard of as late as this was sent
	one.expect("GET a")
	k.Cancel(true)
	again := send(p, "a")
	one.expect("DROP a", "GET a")
	one.say("a", "OK", "-", "x")
	wantCode(t, again, routing.OutcomeServed)
}

// A machine that is cut off never reads the DROP. Both a GET on the same silent connection (fleet day, seed 11) and one
// to another server (seed 15) were counted as second copies: the silent connection must be closed before Drop returns.
func TestDropOnSilentConnection(t *testing.T) {
	c := listen(t)
	p, fake := newPools(t, c.addr())
	fake.Advance(1)
	k, one := out(p, c)
	k.Cancel(true)
	if p.mu.Lock(); p.connCount != 0 {
		t.Error("the connection is still open")
	}
	p.mu.Unlock()
	one.expect("DROP a")
	if _, err := ReadArray(one.in); err != io.EOF {
		t.Errorf("on the silent connection: %v", err)
	}
	again := send(p, "a")
	two := c.accept()
	two.expect("GET a")
	two.say("a", "OK", "-", "x")
	wantCode(t, again, routing.OutcomeServed)
}

// Connections that lie idle at one server do not keep another from its first.
func TestIdleGiveWay(t *testing.T) {
	c, other := listen(t), listen(t)
	p, _ := newPools(t, c.addr())
	list(p, "s-2", other.addr())
	a, b := send(p, "a"), send(p, "b")
	for range 2 {
		l := c.accept()
		_, id, _ := strings.Cut(l.command(), " ")
		l.say(id, "MISS", "-", "")
	}
	wantCode(t, a, routing.OutcomeMiss)
	wantCode(t, b, routing.OutcomeMiss)
	p.Send(router.Attempt{Request: &router.Request{ID: "c"}, Server: "s-2"})
	other.accept().expect("GET c")
}

// Nothing listens: the refusal proves that nothing ran.
func TestRefused(t *testing.T) {
	p, _ := newPools(t, loopback.FreeAddress())
	wantCode(t, send(p, "a"), routing.OutcomeConnectionRefused)
}

// A new machine at an old address gets a connection of its own, and one that left the list gets nothing.
func TestAddressReused(t *testing.T) {
	c := listen(t)
	p, _ := newPools(t, c.addr())
	k, old := out(p, c)
	p.Apply(router.WatchEvent{Servers: []router.Server{{ID: "s-1", Status: "deregistered"}}})
	wantCode(t, send(p, "b"), routing.OutcomeSkipped)
	list(p, "s-2", c.addr())
	fresh := p.Send(router.Attempt{Request: &router.Request{ID: "b"}, Server: "s-2"})
	c.accept().expect("GET b")
	old.say("a", "OK", "-", "late but whole")
	wantCode(t, k, routing.OutcomeServed)
	if _, err := old.in.ReadByte(); err == nil {
		t.Error("the old connection stays open with nothing out on it")
	}
	fresh.Cancel(false)
}

// A malformed answer ends the connection and what is out on it, not the process.
func TestMalformed(t *testing.T) {
	c := listen(t)
	p, _ := newPools(t, c.addr())
	k, one := out(p, c)
	one.Write([]byte("HTTP/1.1 200 OK\r\n"))
	wantCode(t, k, routing.OutcomeConnectionReset)
	if p.mu.Lock(); p.faultCount != 1 {
		t.Errorf("%d faults counted", p.faultCount)
	}
	p.mu.Unlock()
}

// An idle connection is closed here before the server would: an attempt that crosses a close proves nothing.
func TestIdle(t *testing.T) {
	c := listen(t)
	p, fake := newPools(t, c.addr())
	k, one := out(p, c)
	one.say("a", "MISS", "-", "")
	wantCode(t, k, routing.OutcomeMiss)
	// the reader arms the idle close under the same lock as it ends the attempt
	p.mu.Lock()
	if conns := p.servers["s-1"].conns; len(conns) != 1 || len(conns[0].attempts) != 0 || conns[0].idleTimer == nil {
		t.Error("the answer left no connection that is idle")
	}
	p.mu.Unlock()
	fake.Advance(24_000)
	if _, err := one.in.ReadByte(); err == nil {
		t.Error("still open")
	}
}

// An attempt that waited for its connection past the time in which a drain or a purge binds is not sent, nor is one
// that was given up meanwhile.
func TestWaitedTooLong(t *testing.T) {
	p, fake := newPools(t, "127.0.0.1:1")
	near, far := net.Pipe()
	testwait.BoundConn(t, far)
	c := bare(p, near)
	calls := map[string]*pendingAttempt{}
	p.mu.Lock()
	for _, id := range []string{"late", "over", "good"} {
		k := &pendingAttempt{pools: p, attempt: router.Attempt{Request: &router.Request{ID: id}}, chosenAt: fake.Now(), result: make(chan router.AttemptResult, 1)}
		c.enqueue(k)
		calls[id] = k
		fake.Advance(301)
	}
	calls["good"].chosenAt, calls["over"].chosenAt, calls["over"].finished = fake.Now(), fake.Now(), true
	p.mu.Unlock()
	go c.write()
	defer close(c.done)
	(&link{t, far, bufio.NewReader(far)}).expect("GET good")
	wantCode(t, calls["late"], routing.OutcomeConnectionRefused)
}

// Fields that would break the list of pairs never get this far, but a body holds any bytes.
func TestBodyUnchanged(t *testing.T) {
	c := listen(t)
	p, _ := newPools(t, c.addr())
	body := strings.Repeat("\r\n$3\x00", 9600)
	p.Send(router.Attempt{Request: &router.Request{ID: "a", Body: []byte(body)}, Server: "s-1"})
	parts, err := ReadArray(c.accept().in)
	if err != nil || string(parts[3]) != body {
		t.Errorf("%d bytes, %v", len(parts), err)
	}
}

// An answer that comes before its attempt has been written can't be the attempt's: it is ignored, as are a second copy
// and an unknown id, and the true answer is taken.
func TestAnswerAhead(t *testing.T) {
	p, _ := newPools(t, "127.0.0.1:1")
	near, far := net.Pipe()
	testwait.BoundConn(t, far)
	c := bare(p, near)
	k := &pendingAttempt{pools: p, attempt: router.Attempt{Request: &router.Request{ID: "a"}}, chosenAt: 1000, result: make(chan router.AttemptResult, 1)}
	p.mu.Lock()
	c.enqueue(k) // queued, and no writer yet
	p.mu.Unlock()
	go c.read()
	l := &link{t, far, bufio.NewReader(far)}
	l.say("a", "OK", "-", "ahead")
	l.say("b", "OK", "-", "unknown") // its first byte is taken when the one before has been dealt with
	go c.write()
	l.expect("GET a")
	l.say("a", "OK", "-", "true")
	if e := wantCode(t, k, routing.OutcomeServed); string(e.Body) != "true" {
		t.Errorf("served %q", e.Body)
	}
	l.say("a", "OK", "-", "second")
	l.say("b", "OK", "-", "unknown")
}

// What can't be its request's answer spoils the connection, with all that is out on it.
func TestCannotBelong(t *testing.T) {
	for _, words := range [][]string{{"a", "SAME", "n=TCP_HIT"}, {"a", "OK", "n=TCP_HIT"}, {"a", "GOOD", "-", "x"}} {
		c := listen(t)
		p, _ := newPools(t, c.addr())
		k, one := out(p, c)
		one.say(words...)
		wantCode(t, k, routing.OutcomeConnectionReset)
		if _, err := one.in.ReadByte(); err == nil {
			t.Errorf("%q: the connection is still open", words)
		}
	}
}

// recorder is a connection that brings one byte and notes the deadline set after it.
type recorder struct {
	net.Conn
	due time.Time
}

func (r *recorder) Read([]byte) (int, error)            { return 1, nil }
func (r *recorder) SetReadDeadline(due time.Time) error { r.due = due; return nil }

// An answer that stops short on an open connection held up all others on it for good: after a first byte the next is
// due.
func TestStall(t *testing.T) {
	r := &recorder{}
	if _, err := (&stallGuard{Conn: r}).Read(nil); err != nil || r.due.IsZero() {
		t.Errorf("no deadline for the next byte (%v)", err)
	}
}
