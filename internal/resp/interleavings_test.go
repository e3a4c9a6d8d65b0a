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

// What crosses on a connection to a server. The peer holds back what it reads or says until the pool stands at the point
// that the test is about; nothing here waits for time to pass, but where a bound on time is what is tested.

// tooMuch is more than the sockets' buffers hold: its write is stuck until the peer reads.
var tooMuch = []byte(strings.Repeat("x", 32<<20))

// shared are pools with one connection for all attempts.
func shared(t *testing.T, addr string, maxWait float64) *Pools {
	p := NewPools(t.Context(), Options{DialTimeout: 5000, IdleTimeout: 30_000, MaxStreams: 8, MaxConns: 1, MaxSendDelay: maxWait},
		clock.NewFake(1000), zerolog.Nop())
	p.timeouts.write = patient // a write that is stuck is still so when the test goes on
	list(p, "s-1", addr)
	return p
}

// stick puts an attempt on the connection whose write does not end, and returns once the peer has seen its first byte.
func stick(t *testing.T, p *Pools, l *link) router.PendingAttempt {
	t.Helper()
	k := p.Send(router.Attempt{Request: &router.Request{ID: "stuck", Body: tooMuch}, Server: "s-1"})
	if _, err := l.in.Peek(1); err != nil {
		t.Fatal(err)
	}
	return k
}

func (p *Pools) open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connCount
}

// rest reads all that still comes, and tells whether it ended in the middle of something.
func (l *link) readRest() (n int64, err error) { return io.Copy(io.Discard, l.in) }

// The DROP of an attempt is stuck behind another's write, and the server has answered since, so that it is no silent one:
// the connection must be closed before Drop returns, or the next attempt is a second one at once.
func TestDropBehindStuckWrite(t *testing.T) {
	c := listen(t)
	p := shared(t, c.addr(), 0)
	k, one := out(p, c)
	other := send(p, "b")
	one.expect("GET b")
	stuck := stick(t, p, one)
	one.say("b", "OK", "-", "x")
	wantCode(t, other, routing.OutcomeServed)
	k.Cancel(true)
	if n := p.open(); n != 0 {
		t.Errorf("%d connections open, the attempt on it not given up", n)
	}
	wantCode(t, stuck, routing.OutcomeConnectionReset) // a part of it went out, and what the server made of it is not known here yet
}

// A client leaves while its own request is half written: it must not come whole to the server later.
func TestLeftInTheMiddleOfAWrite(t *testing.T) {
	c := listen(t)
	p := shared(t, c.addr(), 0)
	send(p, "a")
	one := c.accept()
	one.expect("GET a")
	stick(t, p, one).Cancel(false)
	if n, _ := one.readRest(); n >= int64(len(tooMuch)) {
		t.Errorf("%d bytes came: the request was sent on whole", n)
	}
	if n := p.open(); n != 0 {
		t.Errorf("%d connections open", n)
	}
}

// A client leaves while its request waits behind a stuck write: neither it nor its DROP goes out when the write goes on.
func TestLeftInTheQueue(t *testing.T) {
	c := listen(t)
	p := shared(t, c.addr(), 0)
	send(p, "first")
	one := c.accept()
	one.expect("GET first")
	stick(t, p, one)
	send(p, "left").Cancel(false)
	send(p, "stays")
	discard := make([]byte, len(tooMuch))
	for head := false; !head; { // the stuck command, whose body is too long for ReadArray
		line, err := one.in.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		head = strings.HasPrefix(line, "$33554432")
	}
	if _, err := io.ReadFull(one.in, discard); err != nil {
		t.Fatal(err)
	}
	one.in.Discard(2)
	one.expect("GET stays")
}

// A write that is stuck is not waited for past the time at which drains and purges bind: what was half written is no
// request, and what waits behind it never ran.
func TestStuckPastTheGrace(t *testing.T) {
	c := listen(t)
	p := shared(t, c.addr(), 500)
	k := send(p, "first")
	one := c.accept()
	one.expect("GET first")
	stuck, behind := newCall(p, "stuck"), newCall(p, "behind")
	stuck.attempt.Body = tooMuch
	p.mu.Lock()
	for _, next := range []*pendingAttempt{stuck, behind} { // at once, or the first may have ended before the second comes
		p.servers["s-1"].conns[0].enqueue(next)
	}
	p.mu.Unlock()
	if _, err := one.in.Peek(1); err != nil {
		t.Fatal(err)
	}
	wantCode(t, stuck, routing.OutcomeConnectionRefused)
	wantCode(t, behind, routing.OutcomeConnectionRefused)
	wantCode(t, k, routing.OutcomeConnectionReset) // it was with the server
}

// The server closed an idle connection while an attempt was on its way to it: nothing of the attempt got through.
func TestEarlyCloseCrossesGet(t *testing.T) {
	c := listen(t)
	p, _ := newPools(t, c.addr())
	nc := testwait.Dial(t, c.addr())
	peer := c.accept()
	peer.Conn.(*net.TCPConn).SetLinger(0)
	peer.Close()
	nc.Read(make([]byte, 1)) // the reset is here
	k := newCall(p, "a")
	o := bare(p, nc)
	p.mu.Lock()
	o.enqueue(k)
	p.mu.Unlock()
	o.write()
	wantCode(t, k, routing.OutcomeConnectionRefused)

	o = bare(p, nc)
	k = newCall(p, "b")
	p.mu.Lock()
	o.enqueue(k)
	o.close() // the reader saw the close first
	p.mu.Unlock()
	wantCode(t, k, routing.OutcomeConnectionRefused)
}

// newCall is an attempt that is not sent yet.
func newCall(p *Pools, id string) *pendingAttempt {
	return &pendingAttempt{pools: p, attempt: router.Attempt{Request: &router.Request{ID: id}, Server: "s-1"}, chosenAt: 1000, result: make(chan router.AttemptResult, 1)}
}

// bare is a connection without reader and writer.
func bare(p *Pools, nc net.Conn) *conn {
	return &conn{pool: p.servers["s-1"], netConn: nc, queue: make(chan command, 4), attempts: map[string]*pendingAttempt{},
		droppedAt: map[string]float64{}, unservedAt: map[string]float64{}, done: make(chan struct{})}
}

// An answer comes a second time when the next attempt of its request is out on the same connection: it may end that
// attempt only once the server was told to give it up, or a third one would go out beside it.
func TestSecondAnswer(t *testing.T) {
	c := listen(t)
	p, _ := newPools(t, c.addr())
	k, one := out(p, c)
	one.say("a", "MISS", "-", "")
	wantCode(t, k, routing.OutcomeMiss)
	k = send(p, "a")
	one.expect("GET a")
	one.say("a", "MISS", "-", "")
	wantCode(t, k, routing.OutcomeMiss)
	next := send(p, "b") // stands for the third attempt: by now the second is given up
	one.expect("DROP a", "GET b")
	one.say("b", "MISS", "-", "")
	wantCode(t, next, routing.OutcomeMiss)
}

// The same where the first attempt was given up and its answer crossed the DROP; a good answer is its request's, whichever
// attempt it belongs to.
func TestLateAnswer(t *testing.T) {
	for word, code := range map[string]routing.AttemptOutcome{"BUSY": routing.OutcomeRejected, "OK": routing.OutcomeServed} {
		c := listen(t)
		p, _ := newPools(t, c.addr())
		k, one := out(p, c)
		one.live(p)
		k.Cancel(true)
		k = send(p, "a")
		one.expect("DROP a", "GET a")
		one.say("a", word, "-", "late but whole")
		wantCode(t, k, code)
		send(p, "b")
		one.expect("DROP a", "GET b")
	}
}

// dialled returns an attempt whose connection has come up and waits for Pools.mu. It leaves that locked: the caller unlocks it.
func dialled(p *Pools, c *cache) (k *pendingAttempt, l *serverPool, one *link) {
	k = newCall(p, "a")
	p.mu.Lock()
	l = p.servers["s-1"]
	l.dialing++
	p.connCount++
	go l.dial(k)
	return k, l, c.accept()
}

// The connection comes up when its server has left the list: the attempt is not sent, since another machine may be there.
func TestLeftTheListWhileDialling(t *testing.T) {
	c := listen(t)
	p, _ := newPools(t, c.addr())
	k, l, one := dialled(p, c)
	l.retire()
	p.mu.Unlock()
	wantCode(t, k, routing.OutcomeConnectionRefused)
	if n, err := one.readRest(); n != 0 || err != nil {
		t.Errorf("%d bytes (%v) on a connection to a server that left", n, err)
	}
}

// The connection comes up when the client has left: its request is not sent, and the connection serves the next.
func TestLeftWhileDialling(t *testing.T) {
	c := listen(t)
	p := shared(t, c.addr(), 0)
	k, l, one := dialled(p, c)
	k.finished = true // Drop, which finds no connection yet
	p.mu.Unlock()
	testwait.Until(t, "the connection to be up", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(l.conns) == 1
	})
	send(p, "next")
	one.expect("GET next")
}

// An attempt waits for a connection that comes up when it may go out no longer: it is not sent, and its end proves that. So it is where a
// class no longer drops repeats, though drains and purges leave more time, and where new settings let those bind sooner meanwhile.
func TestUpTooLate(t *testing.T) {
	for name, ms := range map[string]struct{ grace, within float64 }{"repeat past its window": {300, 150}, "shorter grace": {150, 0}} {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			c := listen(t)
			p, fake := newPools(t, c.addr())
			p.SetMaxSendDelay(ms.grace)
			fake.Advance(200) // since its choice
			k, _, one := dialled(p, c)
			k.attempt.SendWithin = ms.within
			p.mu.Unlock()
			wantCode(t, k, routing.OutcomeConnectionRefused)
			send(p, "next")
			one.expect("GET next")
		})
	}
}

// An attempt with effects never ran, so its request goes to the same server again, and then the first answer comes a second time. It must not
// tell that the second attempt never ran, or a third would have the effect twice.
func TestSecondAnswerOfAnEffect(t *testing.T) {
	c := listen(t)
	p, _ := newPools(t, c.addr())
	again := func() router.PendingAttempt {
		return p.Send(router.Attempt{Request: &router.Request{ID: "a"}, Server: "s-1", HasSideEffects: true})
	}
	k := again()
	one := c.accept()
	one.expect("GET a")
	one.say("a", "BUSY", "-", "")
	wantCode(t, k, routing.OutcomeRejected)
	k = again()
	two := c.accept() // on the same connection none comes
	two.expect("GET a")
	one.say("a", "BUSY", "-", "")
	crossed := send(p, "b") // once it is answered, the second BUSY has been read
	one.expect("GET b")
	one.say("b", "MISS", "-", "")
	wantCode(t, crossed, routing.OutcomeMiss)
	two.say("a", "OK", "-", "done once")
	wantCode(t, k, routing.OutcomeServed)
}

// The late answer of an attempt that was given up is a good one, of a copy older than the next attempt may take: since its choice a
// purge was told. It is not that attempt's answer, which comes after it.
func TestLateAnswerOfAnOlderCopy(t *testing.T) {
	c := listen(t)
	p, fake := newPools(t, c.addr())
	k, one := out(p, c)
	one.live(p)
	k.Cancel(true)
	fake.Advance(500)
	k = p.Send(router.Attempt{Request: &router.Request{ID: "a"}, Server: "s-1", MaxAge: 400})
	one.expect("DROP a", "GET a")
	one.say("a", "OK", "t0=1000", "of before the purge")
	one.say("a", "OK", "t0=1200", "of after it")
	if e := wantCode(t, k, routing.OutcomeServed); string(e.Body) != "of after it" {
		t.Errorf("answered with the copy %q", e.Body)
	}
}

// The time of an idle connection is over just as an attempt comes and ends on it: it is not closed.
func TestIdleTimeCrossesUse(t *testing.T) {
	c := listen(t)
	p, fake := newPools(t, c.addr())
	k, one := out(p, c)
	one.say("a", "MISS", "-", "")
	wantCode(t, k, routing.OutcomeMiss)
	p.mu.Lock()
	o := p.servers["s-1"].conns[0]
	p.mu.Unlock()
	due := fake.Now() + idleCloseShare*p.options.IdleTimeout
	p.mu.Lock()
	advanced := make(chan struct{})
	go func() {
		defer close(advanced)
		fake.Advance(idleCloseShare * p.options.IdleTimeout)
	}()
	testwait.Until(t, "the idle time to be over", func() bool { return fake.Now() >= due }) // the timer's function waits for the lock
	k2 := &pendingAttempt{pools: p, attempt: router.Attempt{Request: &router.Request{ID: "b"}}, result: make(chan router.AttemptResult, 1)}
	o.attempts["b"] = k2
	o.idleTimer.Stop()
	delete(o.attempts, "b")
	o.closeWhenIdle()
	p.mu.Unlock()
	testwait.Receive(t, advanced, "the timer of the idle time")
	if p.open() != 1 {
		t.Error("closed at once after use")
	}
}

// An answer stops short that began in the same read as the one before: what waits behind it must not wait for good.
func TestStallBehindAnAnswer(t *testing.T) {
	c := listen(t)
	p := shared(t, c.addr(), 0)
	first, second := send(p, "a"), router.PendingAttempt(nil)
	one := c.accept()
	one.expect("GET a")
	second = send(p, "b")
	one.expect("GET b")
	one.Write([]byte("*2\r\n$1\r\na\r\n$4\r\nMISS\r\n*2\r\n$1\r\nb"))
	wantCode(t, first, routing.OutcomeMiss)
	end := testwait.ReceiveWithin(t, 10*stallTimeout*time.Millisecond, second.Done(), "an attempt behind an answer that does not end")
	if end.Outcome != routing.OutcomeConnectionReset {
		t.Errorf("%v behind an answer that does not end", end.Outcome)
	}
}
