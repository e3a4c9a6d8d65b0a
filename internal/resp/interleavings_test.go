package resp

import (
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

// Race conditions on a connection to a server. The fake server holds back what it reads or writes until the pool has
// reached the point that the test is about. No test waits for time to pass, except where a time limit is what it tests.

// stuckBody is more than the sockets' buffers hold: its write is stuck until the fake server reads.
var stuckBody = []byte(strings.Repeat("x", 32<<20))

// newSharedPools returns pools with one connection for all attempts.
func newSharedPools(t *testing.T, addr string, maxSendDelay float64) *Pools {
	options := Options{DialTimeout: 5000, IdleTimeout: 30_000, MaxStreams: 8, MaxConns: 1, MaxSendDelay: maxSendDelay}
	pools := NewPools(t.Context(), options, clock.NewFake(1000), zerolog.Nop())
	pools.timeouts.write = longerThanAnyWait // a write that is stuck is still so when the test goes on
	applyServer(pools, "s-1", addr)
	return pools
}

// sendStuck sends an attempt whose write does not end, and returns once the fake server has its first byte.
func sendStuck(t *testing.T, pools *Pools, conn *fakeConn) router.PendingAttempt {
	t.Helper()
	pending := pools.Send(router.Attempt{Request: &router.Request{ID: "stuck", Body: stuckBody}, Server: "s-1"})
	if _, err := conn.in.Peek(1); err != nil {
		t.Fatal(err)
	}
	return pending
}

// openConns is the number of connections that are open or being dialed.
func (p *Pools) openConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connCount
}

// readRest discards all that still comes, and returns its length and the error that ended it.
func (c *fakeConn) readRest() (n int64, err error) { return io.Copy(io.Discard, c.in) }

// The DROP of an attempt is stuck behind another's write, and the server has responded since, so that it is not silent:
// the connection must be closed before Cancel returns, or two attempts of the request could be out at once.
func TestDropBehindStuckWrite(t *testing.T) {
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
		t.Errorf("%d connections open, the attempt on it not given up", n)
	}
	wantOutcome(t, stuck, routing.OutcomeConnectionReset) // part of it went out, and may have run
}

// A client leaves while its own request is half written: the server must not get all of it later.
func TestLeftInTheMiddleOfAWrite(t *testing.T) {
	server := listen(t)
	pools := newSharedPools(t, server.addr(), 0)
	send(pools, "a")
	conn := server.accept()
	conn.expect("GET a")
	sendStuck(t, pools, conn).Cancel(false)
	if n, _ := conn.readRest(); n >= int64(len(stuckBody)) {
		t.Errorf("%d bytes came: the request was sent in full", n)
	}
	if n := pools.openConns(); n != 0 {
		t.Errorf("%d connections open", n)
	}
}

// A client leaves while its request waits behind a stuck write: neither it nor its DROP goes out after that write.
func TestLeftInTheQueue(t *testing.T) {
	server := listen(t)
	pools := newSharedPools(t, server.addr(), 0)
	send(pools, "first")
	conn := server.accept()
	conn.expect("GET first")
	sendStuck(t, pools, conn)
	send(pools, "left").Cancel(false)
	send(pools, "stays")
	discard := make([]byte, len(stuckBody))
	for bodyIsNext := false; !bodyIsNext; { // the stuck command, whose body is too long for ReadArray
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

// A write that is stuck is not waited for beyond MaxSendDelay: what was half written is no request, and what waits
// behind it never ran.
func TestStuckPastTheGrace(t *testing.T) {
	server := listen(t)
	pools := newSharedPools(t, server.addr(), 500)
	pending := send(pools, "first")
	conn := server.accept()
	conn.expect("GET first")
	stuck, behind := newAttempt(pools, "stuck"), newAttempt(pools, "behind")
	stuck.attempt.Body = stuckBody
	pools.mu.Lock()
	for _, next := range []*pendingAttempt{stuck, behind} { // at once, or the first may end before the second is queued
		pools.servers["s-1"].conns[0].enqueue(next)
	}
	pools.mu.Unlock()
	if _, err := conn.in.Peek(1); err != nil {
		t.Fatal(err)
	}
	wantOutcome(t, stuck, routing.OutcomeConnectionRefused)
	wantOutcome(t, behind, routing.OutcomeConnectionRefused)
	wantOutcome(t, pending, routing.OutcomeConnectionReset) // it was with the server
}

// The server closed an idle connection while an attempt was on its way to it: nothing of the attempt got through.
func TestEarlyCloseCrossesGet(t *testing.T) {
	server := listen(t)
	pools, _ := newPools(t, server.addr())
	netConn := testwait.Dial(t, server.addr())
	peer := server.accept()
	peer.Conn.(*net.TCPConn).SetLinger(0)
	peer.Close()
	netConn.Read(make([]byte, 1)) // the reset is here
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
	conn.close() // the reader saw the close first
	pools.mu.Unlock()
	wantOutcome(t, pending, routing.OutcomeConnectionRefused)
}

// newAttempt returns an attempt that is not sent yet, chosen at the start of the fake clock.
func newAttempt(pools *Pools, id string) *pendingAttempt {
	return &pendingAttempt{
		pools:    pools,
		attempt:  router.Attempt{Request: &router.Request{ID: id}, Server: "s-1"},
		chosenAt: 1000,
		result:   make(chan router.AttemptResult, 1),
	}
}

// newTestConn returns a connection without reader and writer.
func newTestConn(pools *Pools, netConn net.Conn) *conn {
	return &conn{
		pool:       pools.servers["s-1"],
		netConn:    netConn,
		queue:      make(chan command, 4),
		done:       make(chan struct{}),
		attempts:   map[string]*pendingAttempt{},
		droppedAt:  map[string]float64{},
		unservedAt: map[string]float64{},
	}
}

// A response comes twice, the second time when the next attempt of its request is out on the same connection: it may
// end that attempt only once the server was told to give it up, or a third one would go out beside it.
func TestSecondAnswer(t *testing.T) {
	server := listen(t)
	pools, _ := newPools(t, server.addr())
	pending, conn := sendFirst(pools, server)
	conn.respond("a", "MISS", "-", "")
	wantOutcome(t, pending, routing.OutcomeMiss)
	pending = send(pools, "a")
	conn.expect("GET a")
	conn.respond("a", "MISS", "-", "")
	wantOutcome(t, pending, routing.OutcomeMiss)
	next := send(pools, "b") // stands for the third attempt: by now the second is given up
	conn.expect("DROP a", "GET b")
	conn.respond("b", "MISS", "-", "")
	wantOutcome(t, next, routing.OutcomeMiss)
}

// The same where the first attempt was given up and its response crossed the DROP. A request may be served by the
// response of any of its attempts.
func TestLateAnswer(t *testing.T) {
	for word, outcome := range map[string]routing.AttemptOutcome{
		"BUSY": routing.OutcomeRejected,
		"OK":   routing.OutcomeServed,
	} {
		server := listen(t)
		pools, _ := newPools(t, server.addr())
		pending, conn := sendFirst(pools, server)
		conn.proveAlive(pools)
		pending.Cancel(true)
		pending = send(pools, "a")
		conn.expect("DROP a", "GET a")
		conn.respond("a", word, "-", "late but complete")
		wantOutcome(t, pending, outcome)
		send(pools, "b")
		conn.expect("DROP a", "GET b")
	}
}

// dialLocked returns an attempt whose connection has come up and waits for Pools.mu, which it leaves locked: the caller
// unlocks it.
func dialLocked(pools *Pools, fake *fakeServer) (pending *pendingAttempt, server *serverPool, conn *fakeConn) {
	pending = newAttempt(pools, "a")
	pools.mu.Lock()
	server = pools.servers["s-1"]
	server.dialing++
	pools.connCount++
	go server.dial(pending)
	return pending, server, fake.accept()
}

// The connection comes up after its server left the list: the attempt is not sent, since another machine may be there.
func TestLeftTheListWhileDialling(t *testing.T) {
	server := listen(t)
	pools, _ := newPools(t, server.addr())
	pending, pool, conn := dialLocked(pools, server)
	pool.retire()
	pools.mu.Unlock()
	wantOutcome(t, pending, routing.OutcomeConnectionRefused)
	if n, err := conn.readRest(); n != 0 || err != nil {
		t.Errorf("%d bytes (%v) on a connection to a server that left", n, err)
	}
}

// The connection comes up after the client left: its request is not sent, and the connection serves the next one.
func TestLeftWhileDialling(t *testing.T) {
	server := listen(t)
	pools := newSharedPools(t, server.addr(), 0)
	pending, pool, conn := dialLocked(pools, server)
	pending.finished = true // Cancel, which finds no connection yet
	pools.mu.Unlock()
	testwait.Until(t, "the connection to be up", func() bool {
		pools.mu.Lock()
		defer pools.mu.Unlock()
		return len(pool.conns) == 1
	})
	send(pools, "next")
	conn.expect("GET next")
}

// An attempt waits for a connection that comes up too late: it is not sent, and its outcome proves that. The limit is
// SendWithin where that is shorter than MaxSendDelay, and the MaxSendDelay of settings that came after the choice.
func TestUpTooLate(t *testing.T) {
	for name, limits := range map[string]struct{ maxSendDelay, sendWithin float64 }{
		"repeat past its window": {300, 150},
		"shorter grace":          {150, 0},
	} {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			server := listen(t)
			pools, fake := newPools(t, server.addr())
			pools.SetMaxSendDelay(limits.maxSendDelay)
			fake.Advance(200) // since its choice
			pending, _, conn := dialLocked(pools, server)
			pending.attempt.SendWithin = limits.sendWithin
			pools.mu.Unlock()
			wantOutcome(t, pending, routing.OutcomeConnectionRefused)
			send(pools, "next")
			conn.expect("GET next")
		})
	}
}

// An attempt with side effects never ran, so its request goes to the same server again, and then the first response
// comes a second time. It must not end the second attempt as one that never ran, or a third could run besides.
func TestSecondAnswerOfAnEffect(t *testing.T) {
	server := listen(t)
	pools, _ := newPools(t, server.addr())
	again := func() router.PendingAttempt {
		return pools.Send(router.Attempt{Request: &router.Request{ID: "a"}, Server: "s-1", HasSideEffects: true})
	}
	pending := again()
	conn := server.accept()
	conn.expect("GET a")
	conn.respond("a", "BUSY", "-", "")
	wantOutcome(t, pending, routing.OutcomeRejected)
	pending = again()
	second := server.accept() // it does not go to the same connection
	second.expect("GET a")
	conn.respond("a", "BUSY", "-", "")
	crossed := send(pools, "b") // once it is answered, the second BUSY has been read
	conn.expect("GET b")
	conn.respond("b", "MISS", "-", "")
	wantOutcome(t, crossed, routing.OutcomeMiss)
	second.respond("a", "OK", "-", "done once")
	wantOutcome(t, pending, routing.OutcomeServed)
}

// An attempt that was given up is served late, with a copy older than the next attempt may take, since a purge was
// notified in between. That is not the next attempt's response, which comes after it.
func TestLateAnswerOfAnOlderCopy(t *testing.T) {
	server := listen(t)
	pools, fake := newPools(t, server.addr())
	pending, conn := sendFirst(pools, server)
	conn.proveAlive(pools)
	pending.Cancel(true)
	fake.Advance(500)
	pending = pools.Send(router.Attempt{Request: &router.Request{ID: "a"}, Server: "s-1", MaxAge: 400})
	conn.expect("DROP a", "GET a")
	conn.respond("a", "OK", "t0=1000", "from before the purge")
	conn.respond("a", "OK", "t0=1200", "from after it")
	if result := wantOutcome(t, pending, routing.OutcomeServed); string(result.Body) != "from after it" {
		t.Errorf("answered with the copy %q", result.Body)
	}
}

// The idle timer of a connection fires just as an attempt comes and ends on it: the connection is not closed.
func TestIdleTimeCrossesUse(t *testing.T) {
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
	// From then on the timer's function waits for the lock.
	testwait.Until(t, "the idle time to be over", func() bool { return fake.Now() >= due })
	idle.attempts["b"] = newAttempt(pools, "b")
	idle.idleTimer.Stop()
	delete(idle.attempts, "b")
	idle.closeWhenIdle()
	pools.mu.Unlock()
	testwait.Receive(t, advanced, "the timer of the idle time")
	if pools.openConns() != 1 {
		t.Error("closed at once after use")
	}
}

// A response stops short that began in the same read as the one before: attempts behind it must not wait forever.
func TestStallBehindAnAnswer(t *testing.T) {
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
	result := testwait.ReceiveWithin(t, limit, second.Done(), "an attempt behind a response that does not end")
	if result.Outcome != routing.OutcomeConnectionReset {
		t.Errorf("%v behind a response that does not end", result.Outcome)
	}
}
