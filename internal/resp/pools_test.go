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

// fakeServer is the listener of a server that the test implements.
type fakeServer struct {
	t *testing.T
	net.Listener
}

// fakeConn is the server's side of a connection.
type fakeConn struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func listen(t *testing.T) *fakeServer {
	return &fakeServer{t, testwait.Listen(t)}
}

func (s *fakeServer) accept() *fakeConn {
	s.t.Helper()
	netConn := testwait.Accept(s.t, s.Listener, "a connection to a server")
	return &fakeConn{s.t, netConn, bufio.NewReader(netConn)}
}

// readCommand reads the verb and id of the next command.
func (c *fakeConn) readCommand() string {
	parts, err := ReadArray(c.in)
	if err != nil {
		c.t.Fatal(err)
	}
	return string(parts[0]) + " " + string(parts[1])
}

// expect reads the next commands and checks the verb and id of each.
func (c *fakeConn) expect(want ...string) {
	c.t.Helper()
	for _, command := range want {
		if got := c.readCommand(); got != command {
			c.t.Fatalf("got %q, want %q", got, command)
		}
	}
}

// respond writes a response.
func (c *fakeConn) respond(words ...string) {
	var parts [][]byte
	for _, word := range words {
		parts = append(parts, []byte(word))
	}
	c.Write(AppendArray(nil, parts...))
}

// longerThanAnyWait is a time limit for writes, in milliseconds. It is longer than any wait of a test, so a test that
// passes has not reached it.
var longerThanAnyWait = 10 * float64(testwait.Limit.Milliseconds())

// newPools returns pools of up to two connections, with one server on the endpoint list.
func newPools(t *testing.T, addr string) (*Pools, *clock.Clock) {
	fake := clock.NewFake(1000)
	options := Options{DialTimeout: 5000, IdleTimeout: 30_000, MaxStreams: 2, MaxConns: 2, MaxSendDelay: 300}
	pools := NewPools(t.Context(), options, fake, zerolog.Nop())
	pools.timeouts.drop = longerThanAnyWait // no write gets stuck
	applyServer(pools, "s-1", addr)
	return pools, fake
}

// applyServer adds a server to the endpoint list.
func applyServer(pools *Pools, id, addr string) {
	pools.Apply(router.WatchEvent{Servers: []router.Server{{ID: id, Addr: addr, Status: "healthy"}}})
}

// send sends an attempt of a request to the server of newPools.
func send(pools *Pools, id string) router.PendingAttempt {
	return pools.Send(router.Attempt{Request: &router.Request{ID: id}, Server: "s-1"})
}

// sendFirst returns an attempt that has reached the fake server, and the connection to it, which is the first one.
func sendFirst(pools *Pools, server *fakeServer) (router.PendingAttempt, *fakeConn) {
	pending := send(pools, "a")
	conn := server.accept()
	conn.expect("GET a")
	return pending, conn
}

// sendUnmatchedResponse writes a response with an unknown id and returns once it is read, so that the connection does
// not count as silent.
func (c *fakeConn) sendUnmatchedResponse(pools *Pools) {
	c.respond("x", "VOID", "-", "")
	testwait.Until(c.t, "a response to be read", func() bool {
		pools.mu.Lock()
		defer pools.mu.Unlock()
		return pools.servers["s-1"].conns[0].lastResponseAt > 0
	})
}

func (s *fakeServer) addr() string { return s.Addr().String() }

// wantOutcome waits for the result of an attempt, checks its outcome and returns it.
func wantOutcome(t *testing.T, pending router.PendingAttempt, want routing.AttemptOutcome) router.AttemptResult {
	t.Helper()
	result := testwait.Receive(t, pending.Done(), fmt.Sprintf("an attempt to end %q", want))
	if result.Outcome != want {
		t.Errorf("ended %q, want %q", result.Outcome, want)
	}
	return result
}

// Responses are matched to their attempts in any order. New connections are opened up to MaxConns before one is shared.
// No connection carries more than MaxStreams attempts: a further attempt ends as skipped.
func TestConnectionLimitsAndResponseMatching(t *testing.T) {
	server := listen(t)
	pools, _ := newPools(t, server.addr())
	a := send(pools, "a")
	conn := server.accept()
	conn.expect("GET a")
	b := send(pools, "b")
	second := server.accept()
	second.expect("GET b")
	more := []router.PendingAttempt{send(pools, "c"), send(pools, "d")}
	wantOutcome(t, send(pools, "e"), routing.OutcomeSkipped)
	ids := []string{conn.readCommand(), second.readCommand()}
	slices.Sort(ids)
	if ids[0] != "GET c" || ids[1] != "GET d" {
		t.Fatalf("shared connections got %q", ids)
	}
	second.respond("b", "OK", "n=TCP_HIT", "bytes of b")
	conn.respond("a", "MISS", "-", "")
	if result := wantOutcome(t, b, routing.OutcomeServed); string(result.Body) != "bytes of b" || result.CacheStatus != 1 {
		t.Errorf("%+v", result)
	}
	wantOutcome(t, a, routing.OutcomeMiss)
	conn.Close()
	second.Close()
	for _, pending := range more { // after a reset it is not known whether they ran
		wantOutcome(t, pending, routing.OutcomeConnectionReset)
	}
}

// The next attempt of a request must follow the DROP of the previous one on the same connection, so that the server
// never has two attempts of the request at once.
func TestRetryFollowsDropOnSameConnection(t *testing.T) {
	server := listen(t)
	pools, _ := newPools(t, server.addr())
	pending, conn := sendFirst(pools, server)
	conn.respond("a", "OK", "-", "x")
	wantOutcome(t, pending, routing.OutcomeServed)
	pending = send(pools, "a") // the fake clock has not moved since the response, so the connection is not silent
	conn.expect("GET a")
	pending.Cancel(true)
	retry := send(pools, "a")
	conn.expect("DROP a", "GET a")
	conn.respond("a", "OK", "-", "x")
	wantOutcome(t, retry, routing.OutcomeServed)
}

// A machine that is cut off never reads the DROP, so Cancel must close a silent connection before it returns. Otherwise
// the next GET counts as a hedged request, on the same connection or at another server.
func TestCancelClosesSilentConnection(t *testing.T) {
	server := listen(t)
	pools, fake := newPools(t, server.addr())
	fake.Advance(1)
	pending, conn := sendFirst(pools, server)
	pending.Cancel(true)
	if pools.mu.Lock(); pools.connCount != 0 {
		t.Error("the connection is still open")
	}
	pools.mu.Unlock()
	conn.expect("DROP a")
	if _, err := ReadArray(conn.in); err != io.EOF {
		t.Errorf("after the DROP on the silent connection: %v, want EOF", err)
	}
	retry := send(pools, "a")
	second := server.accept()
	second.expect("GET a")
	second.respond("a", "OK", "-", "x")
	wantOutcome(t, retry, routing.OutcomeServed)
}

// Idle connections to one server must not prevent the first connection to another when MaxConns is reached.
func TestIdleConnectionsClosedForOtherServer(t *testing.T) {
	server, other := listen(t), listen(t)
	pools, _ := newPools(t, server.addr())
	applyServer(pools, "s-2", other.addr())
	a, b := send(pools, "a"), send(pools, "b")
	for range 2 {
		conn := server.accept()
		_, id, _ := strings.Cut(conn.readCommand(), " ")
		conn.respond(id, "MISS", "-", "")
	}
	wantOutcome(t, a, routing.OutcomeMiss)
	wantOutcome(t, b, routing.OutcomeMiss)
	pools.Send(router.Attempt{Request: &router.Request{ID: "c"}, Server: "s-2"})
	other.accept().expect("GET c")
}

// If no process listens at the address, the attempt ends as refused, since it can't have run.
func TestFailedDialEndsAsRefused(t *testing.T) {
	pools, _ := newPools(t, loopback.FreeAddress())
	wantOutcome(t, send(pools, "a"), routing.OutcomeConnectionRefused)
}

// A new server at a reused address gets a new connection, and a server that left the endpoint list gets no attempts.
func TestReusedAddressGetsNewConnection(t *testing.T) {
	server := listen(t)
	pools, _ := newPools(t, server.addr())
	pending, old := sendFirst(pools, server)
	pools.Apply(router.WatchEvent{Servers: []router.Server{{ID: "s-1", Status: "deregistered"}}})
	wantOutcome(t, send(pools, "b"), routing.OutcomeSkipped)
	applyServer(pools, "s-2", server.addr())
	fresh := pools.Send(router.Attempt{Request: &router.Request{ID: "b"}, Server: "s-2"})
	server.accept().expect("GET b")
	old.respond("a", "OK", "-", "late but complete")
	wantOutcome(t, pending, routing.OutcomeServed)
	if _, err := old.in.ReadByte(); err == nil {
		t.Error("the old connection is still open without attempts")
	}
	fresh.Cancel(false)
}

// A malformed response must close the connection and end the attempts in flight on it, but not the process.
func TestMalformedResponseClosesConnection(t *testing.T) {
	server := listen(t)
	pools, _ := newPools(t, server.addr())
	pending, conn := sendFirst(pools, server)
	conn.Write([]byte("HTTP/1.1 200 OK\r\n"))
	wantOutcome(t, pending, routing.OutcomeConnectionReset)
	if pools.mu.Lock(); pools.faultCount != 1 {
		t.Errorf("%d faults counted, want 1", pools.faultCount)
	}
	pools.mu.Unlock()
}

// An idle connection must be closed before the server closes it: for an attempt that crosses the server's close, it is
// not known whether it ran.
func TestIdleConnectionClosedBeforeServerDoes(t *testing.T) {
	server := listen(t)
	pools, fake := newPools(t, server.addr())
	pending, conn := sendFirst(pools, server)
	conn.respond("a", "MISS", "-", "")
	wantOutcome(t, pending, routing.OutcomeMiss)
	// The reader starts the idle timer while it holds the lock under which it ends the attempt.
	pools.mu.Lock()
	if conns := pools.servers["s-1"].conns; len(conns) != 1 || len(conns[0].attempts) != 0 || conns[0].idleTimer == nil {
		t.Error("no idle connection after the response")
	}
	pools.mu.Unlock()
	fake.Advance(24_000)
	if _, err := conn.in.ReadByte(); err == nil {
		t.Error("the idle connection is still open")
	}
}

// An attempt that was queued for longer than MaxSendDelay must not be sent, nor one that was canceled meanwhile.
func TestAttemptQueuedTooLongIsNotSent(t *testing.T) {
	pools, fake := newPools(t, "127.0.0.1:1")
	local, remote := net.Pipe()
	testwait.BoundConn(t, remote)
	conn := newTestConn(pools, local)
	attempts := map[string]*pendingAttempt{}
	pools.mu.Lock()
	for _, id := range []string{"late", "canceled", "good"} {
		pending := newAttempt(pools, id)
		pending.chosenAt = fake.Now()
		conn.enqueue(pending)
		attempts[id] = pending
		fake.Advance(301)
	}
	attempts["good"].chosenAt = fake.Now()
	attempts["canceled"].chosenAt = fake.Now()
	attempts["canceled"].finished = true
	pools.mu.Unlock()
	go conn.write()
	defer conn.cancel()
	(&fakeConn{t, remote, bufio.NewReader(remote)}).expect("GET good")
	wantOutcome(t, attempts["late"], routing.OutcomeConnectionRefused)
}

// A body may hold any bytes and must arrive unchanged. The other fields are validated before Send.
func TestBodyUnchanged(t *testing.T) {
	server := listen(t)
	pools, _ := newPools(t, server.addr())
	body := strings.Repeat("\r\n$3\x00", 9600)
	pools.Send(router.Attempt{Request: &router.Request{ID: "a", Body: []byte(body)}, Server: "s-1"})
	parts, err := ReadArray(server.accept().in)
	if err != nil || string(parts[3]) != body {
		t.Errorf("body changed; command of %d strings, error %v", len(parts), err)
	}
}

// A response that arrives before its attempt is written can't belong to the attempt. It must be ignored, and so must a
// second response and one with an unknown id. The attempt's own response ends it.
func TestResponseBeforeAttemptIsWritten(t *testing.T) {
	pools, _ := newPools(t, "127.0.0.1:1")
	local, remote := net.Pipe()
	testwait.BoundConn(t, remote)
	conn := newTestConn(pools, local)
	pending := newAttempt(pools, "a")
	pools.mu.Lock()
	conn.enqueue(pending) // queued; the writer is not started
	pools.mu.Unlock()
	go conn.read()
	server := &fakeConn{t, remote, bufio.NewReader(remote)}
	server.respond("a", "OK", "-", "ahead")
	server.respond("b", "OK", "-", "unknown") // read only after the previous response was handled
	go conn.write()
	server.expect("GET a")
	server.respond("a", "OK", "-", "true")
	if result := wantOutcome(t, pending, routing.OutcomeServed); string(result.Body) != "true" {
		t.Errorf("served %q", result.Body)
	}
	server.respond("a", "OK", "-", "second")
	server.respond("b", "OK", "-", "unknown")
}

// A response that is malformed, or can't belong to its request, must close the connection and end all attempts on it.
func TestInvalidResponseClosesConnection(t *testing.T) {
	for _, words := range [][]string{{"a", "SAME", "n=TCP_HIT"}, {"a", "OK", "n=TCP_HIT"}, {"a", "GOOD", "-", "x"}} {
		server := listen(t)
		pools, _ := newPools(t, server.addr())
		pending, conn := sendFirst(pools, server)
		conn.respond(words...)
		wantOutcome(t, pending, routing.OutcomeConnectionReset)
		if _, err := conn.in.ReadByte(); err == nil {
			t.Errorf("%q: the connection is still open", words)
		}
	}
}

// deadlineRecorder is a connection that returns one byte and records the deadline set after it.
type deadlineRecorder struct {
	net.Conn
	deadline time.Time
}

func (r *deadlineRecorder) Read([]byte) (int, error)           { return 1, nil }
func (r *deadlineRecorder) SetReadDeadline(at time.Time) error { r.deadline = at; return nil }

// A response that stops halfway on an open connection would block all others on it forever, so there must be a deadline
// for the next byte after the first one.
func TestReadSetsDeadlineForNextByte(t *testing.T) {
	r := &deadlineRecorder{}
	if _, err := (&stallGuard{Conn: r}).Read(nil); err != nil || r.deadline.IsZero() {
		t.Errorf("no deadline for the next byte (read error %v)", err)
	}
}
