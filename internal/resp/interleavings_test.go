package resp

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"spantack/internal/clock"
	"spantack/internal/router"
	"spantack/internal/testwait"
	"spantack/routing"
)

// The tests of this file cover race conditions on a connection to a server. The fake server delays its reads and writes
// until the pool has reached the state under test. No test waits for time to pass, except tests of a time limit.

// stuckBody is larger than the sockets' buffers: its write is stuck until the fake server reads.
var stuckBody = []byte(strings.Repeat("x", 32<<20))

// newSharedPools returns pools in which all attempts share one connection.
func newSharedPools(t *testing.T, addr string, maxSendDelay float64) *Pools {
	options := Options{DialTimeout: 5000, IdleTimeout: 30_000, MaxStreams: 8, MaxConns: 1, MaxSendDelay: maxSendDelay}
	pools := NewPools(t.Context(), options, clock.NewFake(1000), zerolog.Nop())
	pools.timeouts.write = longerThanAnyWait // a stuck write does not time out during the test
	applyServer(pools, "s-1", addr)
	return pools
}

// sendStuck sends an attempt whose write gets stuck, and returns once the fake server has received its first byte.
func sendStuck(t *testing.T, pools *Pools, conn *fakeConn) router.PendingAttempt {
	t.Helper()
	pending := pools.Send(router.Attempt{Request: &router.Request{ID: "stuck", Body: stuckBody}, Server: "s-1"})
	if _, err := conn.in.Peek(1); err != nil {
		t.Fatal(err)
	}
	return pending
}

// openConns returns the number of connections that are open or being dialed.
func (p *Pools) openConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connCount
}

// readRest discards all further data, and returns its length and the error that ended it, nil for io.EOF.
func (c *fakeConn) readRest() (n int64, err error) { return io.Copy(io.Discard, c.in) }

// The DROP of an attempt is stuck behind the write of another attempt, and the connection is not silent. Cancel must
// close the connection before it returns, or two attempts of the request could be in flight at once.
func TestCancelClosesConnectionIfDropIsStuck(t *testing.T) {
	server := listen(t)
	pools := newSharedPools(t, server.addr(), 0)
	pending, conn := sendFirst(pools, server)
	other := send(pools, "b")
	conn.expect("GET b")
	stuck := sendStuck(t, pools, conn)
	conn.respond("b", "OK", "-", "x")
	wantOutcome(t, other, routing.OutcomeServed)
	pending.Cancel(true)
	if n := pools.openConns(); n != 0 {
		t.Errorf("%d connections open, want 0: the attempt is not canceled", n)
	}
	// The write of the stuck attempt had started when the connection was closed, so the pool does not know how much was
	// sent.
	wantOutcome(t, stuck, routing.OutcomeConnectionReset)
}

// A client leaves while its request is partly written: the server must not receive the rest of it later.
func TestRestOfPartlyWrittenRequestIsNotSent(t *testing.T) {
	server := listen(t)
	pools := newSharedPools(t, server.addr(), 0)
	send(pools, "a")
	conn := server.accept()
	conn.expect("GET a")
	sendStuck(t, pools, conn).Cancel(false)
	if n, _ := conn.readRest(); n >= int64(len(stuckBody)) {
		t.Errorf("%d bytes received: the request was sent in full", n)
	}
	if n := pools.openConns(); n != 0 {
		t.Errorf("%d connections open, want 0", n)
	}
}

// A client leaves while its request is queued behind a stuck write: neither the request nor a DROP for it is sent after
// that write.
func TestCanceledQueuedRequestIsNotSent(t *testing.T) {
	server := listen(t)
	pools := newSharedPools(t, server.addr(), 0)
	send(pools, "first")
	conn := server.accept()
	conn.expect("GET first")
	sendStuck(t, pools, conn)
	send(pools, "left").Cancel(false)
	send(pools, "stays")
	discard := make([]byte, len(stuckBody))
	for bodyIsNext := false; !bodyIsNext; { // skips the stuck command, whose body is too long for ReadArray
		line, err := conn.in.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		bodyIsNext = strings.HasPrefix(line, "$33554432")
	}
	if _, err := io.ReadFull(conn.in, discard); err != nil {
		t.Fatal(err)
	}
	conn.in.Discard(2)
	conn.expect("GET stays")
}

// A stuck write must end after MaxSendDelay. The partly written attempt and the one queued behind it end as refused,
// since neither can have run.
func TestStuckWriteEndsAfterMaxSendDelay(t *testing.T) {
	server := listen(t)
	pools := newSharedPools(t, server.addr(), 500)
	pending := send(pools, "first")
	conn := server.accept()
	conn.expect("GET first")
	stuck, behind := newAttempt(pools, "stuck"), newAttempt(pools, "behind")
	stuck.attempt.Body = stuckBody
	pools.mu.Lock()
	// Both are queued under one lock; otherwise the connection may be closed before the second is queued.
	for _, next := range []*pendingAttempt{stuck, behind} {
		pools.servers["s-1"].conns[0].enqueue(next)
	}
	pools.mu.Unlock()
	if _, err := conn.in.Peek(1); err != nil {
		t.Fatal(err)
	}
	wantOutcome(t, stuck, routing.OutcomeConnectionRefused)
	wantOutcome(t, behind, routing.OutcomeConnectionRefused)
	wantOutcome(t, pending, routing.OutcomeConnectionReset) // the first attempt was sent in full
}

// The server closes an idle connection while an attempt is about to be sent on it: the attempt must end as refused,
// since the server received nothing of it.
func TestAttemptOnClosedConnectionEndsAsRefused(t *testing.T) {
	server := listen(t)
	pools, _ := newPools(t, server.addr())
	netConn := testwait.Dial(t, server.addr())
	peer := server.accept()
	peer.Conn.(*net.TCPConn).SetLinger(0)
	peer.Close()
	netConn.Read(make([]byte, 1)) // waits for the reset
	pending := newAttempt(pools, "a")
	conn := newTestConn(pools, netConn)
	pools.mu.Lock()
	conn.enqueue(pending)
	pools.mu.Unlock()
	conn.write()
	wantOutcome(t, pending, routing.OutcomeConnectionRefused)

	conn = newTestConn(pools, netConn)
	pending = newAttempt(pools, "b")
	pools.mu.Lock()
	conn.enqueue(pending)
	conn.close() // as the reader does when it notices the close first
	pools.mu.Unlock()
	wantOutcome(t, pending, routing.OutcomeConnectionRefused)
}

// newAttempt returns an attempt that has not been sent. Its server was chosen at the start of the fake clock.
func newAttempt(pools *Pools, id string) *pendingAttempt {
	return &pendingAttempt{
		pools:    pools,
		attempt:  router.Attempt{Request: &router.Request{ID: id}, Server: "s-1"},
		chosenAt: 1000,
		result:   make(chan router.AttemptResult, 1),
	}
}

// newTestConn returns a connection whose reader and writer are not started.
func newTestConn(pools *Pools, netConn net.Conn) *conn {
	ctx, cancel := context.WithCancel(pools.ctx)
	return &conn{
		pool:       pools.servers["s-1"],
		netConn:    netConn,
		queue:      make(chan command, 4),
		ctx:        ctx,
		cancel:     cancel,
		attempts:   map[string]*pendingAttempt{},
		droppedAt:  map[string]float64{},
		unservedAt: map[string]float64{},
	}
}

// A response arrives twice, the second time while the next attempt of its request is in flight on the same connection.
// It may end the second attempt only after the DROP of that attempt is written. Otherwise a third attempt could start
// while the second is still in flight.
func TestDuplicateResponseEndsRetryOnlyAfterDrop(t *testing.T) {
	server := listen(t)
	pools, _ := newPools(t, server.addr())
	pending, conn := sendFirst(pools, server)
	conn.respond("a", "MISS", "-", "")
	wantOutcome(t, pending, routing.OutcomeMiss)
	pending = send(pools, "a")
	conn.expect("GET a")
	conn.respond("a", "MISS", "-", "")
	wantOutcome(t, pending, routing.OutcomeMiss)
	next := send(pools, "b") // stands for a third attempt: the DROP of the second must be written before it
	conn.expect("DROP a", "GET b")
	conn.respond("b", "MISS", "-", "")
	wantOutcome(t, next, routing.OutcomeMiss)
}

// The first attempt was canceled, and its response crossed the DROP. A DROP must be sent for the second attempt too.
// The request may be served by the response to either of its attempts.
func TestDropIsSentForRetryEndedByLateResponse(t *testing.T) {
	for word, outcome := range map[string]routing.AttemptOutcome{
		"BUSY": routing.OutcomeRejected,
		"OK":   routing.OutcomeServed,
	} {
		server := listen(t)
		pools, _ := newPools(t, server.addr())
		pending, conn := sendFirst(pools, server)
		conn.sendUnmatchedResponse(pools)
		pending.Cancel(true)
		pending = send(pools, "a")
		conn.expect("DROP a", "GET a")
		conn.respond("a", word, "-", "late but complete")
		wantOutcome(t, pending, outcome)
		send(pools, "b")
		conn.expect("DROP a", "GET b")
	}
}

// dialLocked returns an attempt whose connection is established but not yet added to the pool, since that requires
// Pools.mu. It returns with Pools.mu locked; the caller unlocks it.
func dialLocked(pools *Pools, fake *fakeServer) (pending *pendingAttempt, server *serverPool, conn *fakeConn) {
	pending = newAttempt(pools, "a")
	pools.mu.Lock()
	server = pools.servers["s-1"]
	server.dialing++
	pools.connCount++
	go server.dial(pending)
	return pending, server, fake.accept()
}

// The connection is established after its server left the endpoint list: the attempt must not be sent, since another
// machine may have the address.
func TestNothingIsSentToServerRemovedWhileDialing(t *testing.T) {
	server := listen(t)
	pools, _ := newPools(t, server.addr())
	pending, pool, conn := dialLocked(pools, server)
	pool.retire()
	pools.mu.Unlock()
	wantOutcome(t, pending, routing.OutcomeConnectionRefused)
	if n, err := conn.readRest(); n != 0 || err != nil {
		t.Errorf("%d bytes (error %v) on a connection to a removed server", n, err)
	}
}

// The connection is established after the client left: its request must not be sent, and the connection must be used
// for the next request.
func TestConnectionDialedForDepartedClientIsReused(t *testing.T) {
	server := listen(t)
	pools := newSharedPools(t, server.addr(), 0)
	pending, pool, conn := dialLocked(pools, server)
	pending.finished = true // as Cancel does while there is no connection yet
	pools.mu.Unlock()
	testwait.Until(t, "the connection to be established", func() bool {
		pools.mu.Lock()
		defer pools.mu.Unlock()
		return len(pool.conns) == 1
	})
	send(pools, "next")
	conn.expect("GET next")
}

// An attempt waits for a connection that is established too late: it must not be sent, and must end as refused. The
// limit is the shorter of SendWithin and MaxSendDelay, also if MaxSendDelay was changed after the server was chosen.
func TestAttemptIsNotSentAfterSendLimit(t *testing.T) {
	for name, limits := range map[string]struct{ maxSendDelay, sendWithin float64 }{
		"SendWithin exceeded":   {300, 150},
		"MaxSendDelay exceeded": {150, 0},
	} {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			server := listen(t)
			pools, fake := newPools(t, server.addr())
			pools.SetMaxSendDelay(limits.maxSendDelay)
			fake.Advance(200) // 200 ms pass after the attempt's server was chosen
			pending, _, conn := dialLocked(pools, server)
			pending.attempt.SendWithin = limits.sendWithin
			pools.mu.Unlock()
			wantOutcome(t, pending, routing.OutcomeConnectionRefused)
			send(pools, "next")
			conn.expect("GET next")
		})
	}
}

// An attempt with side effects was rejected, so its request is sent to the same server again. Then the first response
// arrives a second time. It must not be taken for the second attempt's response, or a third attempt could run at the
// same time.
func TestDuplicateRejectionDoesNotEndAttemptWithSideEffects(t *testing.T) {
	server := listen(t)
	pools, _ := newPools(t, server.addr())
	sendWithSideEffects := func() router.PendingAttempt {
		return pools.Send(router.Attempt{Request: &router.Request{ID: "a"}, Server: "s-1", HasSideEffects: true})
	}
	pending := sendWithSideEffects()
	conn := server.accept()
	conn.expect("GET a")
	conn.respond("a", "BUSY", "-", "")
	wantOutcome(t, pending, routing.OutcomeRejected)
	pending = sendWithSideEffects()
	second := server.accept() // the second attempt must not use the same connection
	second.expect("GET a")
	conn.respond("a", "BUSY", "-", "")
	crossed := send(pools, "b") // its response is read after the second BUSY
	conn.expect("GET b")
	conn.respond("b", "MISS", "-", "")
	wantOutcome(t, crossed, routing.OutcomeMiss)
	second.respond("a", "OK", "-", "done once")
	wantOutcome(t, pending, routing.OutcomeServed)
}

// A canceled attempt is served late, with a copy older than the MaxAge of the next attempt, since a purge arrived in
// between. This response must be ignored: the next attempt's own response comes after it.
func TestCopyFromBeforePurgeIsIgnored(t *testing.T) {
	server := listen(t)
	pools, fake := newPools(t, server.addr())
	pending, conn := sendFirst(pools, server)
	conn.sendUnmatchedResponse(pools)
	pending.Cancel(true)
	fake.Advance(500)
	pending = pools.Send(router.Attempt{Request: &router.Request{ID: "a"}, Server: "s-1", MaxAge: 400})
	conn.expect("DROP a", "GET a")
	conn.respond("a", "OK", "t0=1000", "from before the purge")
	conn.respond("a", "OK", "t0=1200", "from after it")
	if result := wantOutcome(t, pending, routing.OutcomeServed); string(result.Body) != "from after it" {
		t.Errorf("served the copy %q", result.Body)
	}
}

// The idle timer of a connection fires while an attempt starts and ends on it: the connection must stay open.
func TestFiredIdleTimerDoesNotCloseUsedConnection(t *testing.T) {
	server := listen(t)
	pools, fake := newPools(t, server.addr())
	pending, conn := sendFirst(pools, server)
	conn.respond("a", "MISS", "-", "")
	wantOutcome(t, pending, routing.OutcomeMiss)
	pools.mu.Lock()
	idle := pools.servers["s-1"].conns[0]
	pools.mu.Unlock()
	due := fake.Now() + idleCloseShare*pools.options.IdleTimeout
	pools.mu.Lock()
	advanced := make(chan struct{})
	go func() {
		defer close(advanced)
		fake.Advance(idleCloseShare * pools.options.IdleTimeout)
	}()
	// From this point on, the timer's function waits for the lock.
	testwait.Until(t, "the idle time to be over", func() bool { return fake.Now() >= due })
	idle.attempts["b"] = newAttempt(pools, "b")
	idle.idleTimer.Stop()
	delete(idle.attempts, "b")
	idle.closeWhenIdle()
	pools.mu.Unlock()
	testwait.Receive(t, advanced, "the idle timer to have run")
	if pools.openConns() != 1 {
		t.Error("connection closed right after use")
	}
}

// A response whose start was read together with the previous response stops halfway: its attempt must not wait forever.
func TestStalledResponseInBufferTimesOut(t *testing.T) {
	server := listen(t)
	pools := newSharedPools(t, server.addr(), 0)
	first := send(pools, "a")
	conn := server.accept()
	conn.expect("GET a")
	second := send(pools, "b")
	conn.expect("GET b")
	conn.Write([]byte("*2\r\n$1\r\na\r\n$4\r\nMISS\r\n*2\r\n$1\r\nb"))
	wantOutcome(t, first, routing.OutcomeMiss)
	limit := 10 * stallTimeout * time.Millisecond
	result := testwait.ReceiveWithin(t, limit, second.Done(), "an attempt whose response is incomplete")
	if result.Outcome != routing.OutcomeConnectionReset {
		t.Errorf("outcome %v after an incomplete response", result.Outcome)
	}
}
