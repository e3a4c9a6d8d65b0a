package msgpackrpc

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"spantack/internal/clock"
	"spantack/internal/router"
	"spantack/internal/testwait"
)

// client is the test's side of a connection; the test is the router too, by way of asked.
type client struct {
	t *testing.T
	net.Conn
	in    *bufio.Reader
	asked chan *asked
	stop  context.CancelFunc
	ended chan error
	addr  string
	*Server
}

type asked struct {
	router.Request
	ctx    context.Context
	answer chan router.Response
}

func start(t *testing.T, setup ...func(*Server)) *client {
	t.Helper()
	l := testwait.Listen(t)
	c := &client{t: t, asked: make(chan *asked, 4), ended: make(chan error, 1), addr: l.Addr().String()}
	s := &Server{IsReady: func() bool { return true }, KeyRequired: map[string]bool{"page": false, "report": true}, MaxConns: 2,
		MaxQueuedBytes: 1 << 20, ShutdownTimeout: 60_000, Clock: &clock.Clock{}, Log: zerolog.Nop(),
		Handle: func(ctx context.Context, q router.Request) router.Response {
			a := &asked{q, ctx, make(chan router.Response)}
			c.asked <- a
			select {
			case answer := <-a.answer:
				return answer
			case <-ctx.Done():
				return router.Response{}
			}
		}}
	c.Server = s
	for _, set := range setup {
		set(s)
	}
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	over := make(chan struct{})
	go func() {
		defer close(over)
		c.ended <- s.Serve(ctx, l)
	}()
	c.Conn = testwait.Dial(t, c.addr)
	c.in = bufio.NewReader(c.Conn)
	t.Cleanup(func() { // nothing of one test runs on into the next
		stop()
		c.Close()
		testwait.Receive(t, over, "the end of Serve")
	})
	return c
}

// another is a further client of the same server.
func (c *client) another() *client {
	c.t.Helper()
	nc := testwait.Dial(c.t, c.addr)
	return &client{t: c.t, Conn: nc, in: bufio.NewReader(nc), asked: c.asked}
}

// next is the next request that comes to the handler.
func (c *client) next() *asked {
	c.t.Helper()
	return testwait.Receive(c.t, c.asked, "a request at the handler")
}

// finish waits for the end of Serve, which must be an orderly one.
func (c *client) finish() {
	c.t.Helper()
	if err := testwait.Receive(c.t, c.ended, "the end of Serve"); err != nil {
		c.t.Error(err)
	}
}

// reply ends a request at the handler.
func (a *asked) reply(t *testing.T, answer router.Response) {
	t.Helper()
	testwait.Send(t, a.answer, answer, "the answer to "+a.ID)
}

// cancelled waits until the handler of a request is told that its client no longer waits.
func (a *asked) cancelled(t *testing.T) {
	t.Helper()
	testwait.Receive(t, a.ctx.Done(), "the end of "+a.ID)
}

func (c *client) request(id uint64, method, ref string) {
	c.Write(encode(nil, []any{uint64(0), id, method, []any{map[string]any{"ref": ref, "allow": "1500"}, []byte(nil)}}))
}

func (c *client) expect(want string) {
	c.t.Helper()
	v, err := readMessage(c.in)
	if got := fmt.Sprintf("%v", v); err != nil || got != want {
		c.t.Fatalf("got %s (%v), want %s", got, err, want)
	}
}

func TestAnswers(t *testing.T) {
	c := start(t)
	c.Write(encode(nil, []any{uint64(0), uint64(1), "health", []any{map[string]any{}}}))
	c.expect("[1 1 <nil> [true map[]]]")
	c.request(2, "page", "0000000000000002")
	c.request(3, "page", "0000000000000003")
	c.request(4, "page", "0000000000000004")
	byRef := map[string]*asked{}
	for range 3 {
		a := c.next()
		byRef[a.ID] = a
	}
	byRef["0000000000000004"].reply(t, router.Response{Outcome: router.Served, Body: []byte{0, 255}})
	c.expect("[1 4 <nil> [[0 255] map[]]]")
	byRef["0000000000000002"].reply(t, router.Response{Outcome: router.Served, NotModified: true})
	c.expect("[1 2 <nil> [[] map[keep:1]]]")
	byRef["0000000000000003"].reply(t, router.Response{Outcome: router.Rejected, RetryAfter: 99.6})
	c.expect("[1 3 [Full map[cooldown:100]] <nil>]")
	c.request(5, "page", "0000000000000005")
	c.next().reply(t, router.Response{Outcome: router.Failed})
	c.expect("[1 5 [Error map[]] <nil>]")
}

// What can't be used is answered under its message id, and the connection lives on.
func TestUnusable(t *testing.T) {
	c := start(t)
	c.request(1, "film", "0000000000000001")
	c.expect("[1 1 [Error map[reason:unknown method]] <nil>]")
	c.request(2, "page", "")
	c.expect("[1 2 [Error map[reason:field ref can't be used]] <nil>]")
	c.request(3, "report", "0000000000000003")
	c.expect("[1 3 [Error map[reason:field replay can't be used]] <nil>]")
}

// A cancelled request gets no answer, though its id was open a moment ago.
func TestCancel(t *testing.T) {
	c := start(t)
	c.request(1, "page", "0000000000000001")
	a := c.next()
	c.Write(encode(nil, []any{uint64(2), "cancel", []any{uint64(1), uint64(99)}}))
	a.cancelled(t)
	c.request(2, "page", "0000000000000002")
	c.next().reply(t, router.Response{Outcome: router.Failed})
	c.expect("[1 2 [Error map[]] <nil>]")
}

// A malformed stream ends that connection and its requests; the next one is served.
func TestMalformed(t *testing.T) {
	for _, text := range []string{"\xc1", "GET / HTTP/1.1\r\n\r\n", "\x93\x00\x01\x02",
		string(encode(nil, []any{uint64(0), uint64(1), "page", []any{map[string]any{"ref": "0000000000000002", "allow": "9"}, []byte(nil)}}))} {
		c := start(t)
		c.request(1, "page", "0000000000000001")
		a := c.next()
		c.Write([]byte(text))
		a.cancelled(t)
		if _, err := c.in.ReadByte(); err == nil {
			t.Errorf("%q: the connection is still open", text)
		}
		next := testwait.Dial(t, c.addr)
		next.Write(encode(nil, []any{uint64(0), uint64(1), "health", []any{}}))
		want := []any{int64(1), int64(1), nil, []any{true, map[string]any{}}}
		if v, err := readMessage(bufio.NewReader(next)); err != nil || !reflect.DeepEqual(v, want) {
			t.Errorf("%q: then %v, %v", text, v, err)
		}
		next.Close()
	}
}

// At the end what was taken is still answered, and the connection closes after it.
func TestDrain(t *testing.T) {
	c := start(t)
	c.request(1, "page", "0000000000000001")
	a := c.next()
	c.stop()
	a.reply(t, router.Response{Outcome: router.Served, Body: []byte("x")})
	c.expect("[1 1 <nil> [[120] map[]]]")
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Errorf("after the last answer: %v", err)
	}
	c.Close()
	c.finish()
}

// The process is run so late that an answer is given only once Patience is over: the client still gets it. One that is never given holds up
// the end no longer than Late.
func TestDrainRunLate(t *testing.T) {
	const patience = 20
	c := start(t, func(s *Server) {
		s.ShutdownTimeout, s.ResponseReadTimeout, s.ShutdownGracePeriod = patience, 60_000, 60_000
	})
	c.request(1, "page", "0000000000000001")
	a := c.next()
	c.stop()
	testwait.Until(t, "the end of accepting", c.closesConnections)
	time.Sleep(10 * patience * time.Millisecond)
	a.reply(t, router.Response{Outcome: router.Failed})
	c.expect("[1 1 [Error map[]] <nil>]")
	c.finish()

	c = start(t, func(s *Server) {
		s.ShutdownTimeout, s.ResponseReadTimeout, s.ShutdownGracePeriod = patience, 60_000, patience
	})
	c.request(1, "page", "0000000000000001")
	a = c.next()
	c.stop()
	a.cancelled(t)
	c.finish()
}

// A message that has begun when the end comes is read to its end and answered.
func TestDrainInsideMessage(t *testing.T) {
	c := start(t)
	c.request(1, "page", "0000000000000001")
	a := c.next()
	text := encode(nil, []any{uint64(0), uint64(2), "page", []any{map[string]any{"ref": "0000000000000002", "allow": "1500"}, []byte(nil)}})
	c.request(3, "film", "0000000000000003") // its answer tells that the reader is past it
	c.Write(text[:9])
	c.expect("[1 3 [Error map[reason:unknown method]] <nil>]")
	c.stop()
	a.reply(t, router.Response{Outcome: router.Failed})
	c.expect("[1 1 [Error map[]] <nil>]")
	c.Write(text[9:])
	c.next().reply(t, router.Response{Outcome: router.Failed})
	c.expect("[1 2 [Error map[]] <nil>]")
}

// Emptied by staff: what is open gets its answer, and the connection closes after it; a client that keeps its connection busy is refused
// in time; and after it all is as before.
func TestDrainUntilRejoin(t *testing.T) {
	fake, turned := clock.NewFake(1_764_576_000_000), make(chan string, 1)
	c := start(t, func(s *Server) { s.Clock, s.OnRejected = fake, func(class string) { turned <- class } })
	c.request(1, "page", "0000000000000001")
	a := c.next()
	c.Drain()
	if !c.Draining() {
		t.Error("not draining")
	}
	c.request(2, "page", "0000000000000002") // clients go on using open connections
	b := c.next()
	fake.Advance(rejectAfter)
	c.request(3, "page", "0000000000000003")
	c.expect("[1 3 [Full map[cooldown:1000]] <nil>]")
	if class := testwait.Receive(t, turned, "a request that was refused"); class != "page" {
		t.Errorf("refused a request of %q", class)
	}
	a.reply(t, router.Response{Outcome: router.Served, Body: []byte("x")})
	c.expect("[1 1 <nil> [[120] map[]]]")
	b.reply(t, router.Response{Outcome: router.Failed})
	c.expect("[1 2 [Error map[]] <nil>]")
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Errorf("after the last answer: %v", err)
	}
	c.Rejoin()
	if c.Draining() {
		t.Error("draining after Rejoin")
	}
	again := c.another()
	again.request(1, "page", "0000000000000004")
	again.next().reply(t, router.Response{Outcome: router.Failed})
	again.expect("[1 1 [Error map[]] <nil>]")
}

// Classes change under a connection: a new one is known at once, one that was dropped no more.
func TestRetune(t *testing.T) {
	c := start(t)
	c.UpdateClasses(map[string]bool{"price": false})
	c.request(1, "page", "0000000000000001")
	c.expect("[1 1 [Error map[reason:unknown method]] <nil>]")
	c.request(2, "price", "0000000000000002")
	c.next().reply(t, router.Response{Outcome: router.Failed})
	c.expect("[1 2 [Error map[]] <nil>]")
}

// Answers that nobody reads are bounded, by connection and in bytes.
func TestQueueBounds(t *testing.T) {
	s := &Server{MaxQueuedBytes: 100, Clock: &clock.Clock{}}
	c := &conn{server: s, queue: make(chan encodedResponse, 1)}
	if err := c.respond(1, router.Response{Outcome: router.Served, Body: make([]byte, 80)}); err != nil {
		t.Fatal(err)
	}
	if err := c.respond(2, router.Response{Outcome: router.Served, Body: make([]byte, 10)}); err == nil || s.queuedBytes != 80 {
		t.Errorf("a full queue takes another answer: %v, %d bytes booked", err, s.queuedBytes)
	}
	testwait.Receive(t, c.queue, "the first answer in the queue")
	if err := c.respond(3, router.Response{Outcome: router.Served, Body: make([]byte, 30)}); err != nil || s.queuedBytes != 80 {
		t.Errorf("%v, %d bytes booked", err, s.queuedBytes)
	}
	if text := string(testwait.Receive(t, c.queue, "an answer in the queue").parts[0]); text != string(appendError(nil, 3, "Error", "reason", "too many answers wait")) {
		t.Errorf("%q", text)
	}
}

// A client that asked once and holds its connection for good, or never says anything, gives way to a new one; a
// connection that is owed an answer does not. On a churn day such clients held all places, and 9,000 requests of others
// were never taken up.
func TestQuietGivesWay(t *testing.T) {
	c := start(t) // with two places
	c.request(1, "page", "0000000000000001")
	c.next().reply(t, router.Response{Outcome: router.Failed})
	c.expect("[1 1 [Error map[]] <nil>]")
	testwait.Until(t, "the answer to be booked", func() bool { // the client may have it a moment before
		c.Server.mu.Lock()
		defer c.Server.mu.Unlock()
		for o := range c.conns {
			if math.IsInf(o.evictionRank(), 1) {
				return false
			}
		}
		return true
	})
	busy := c.another()
	busy.request(1, "page", "0000000000000002")
	owed := c.next()
	next := c.another()
	next.request(1, "page", "0000000000000003")
	other := c.next()
	// Half the idle limit: a connection closed only for being idle would still be open then.
	c.Conn.SetReadDeadline(time.Now().Add(clock.Duration(idleTimeout / 2)))
	var late net.Error
	if _, err := c.in.ReadByte(); err == nil || errors.As(err, &late) && late.Timeout() {
		t.Errorf("the quiet connection is still open (%v)", err)
	}
	if _, err := c.another().in.ReadByte(); err == nil {
		t.Error("a connection found a place where all were owed answers")
	}
	for _, a := range []*asked{owed, other} {
		a.reply(t, router.Response{Outcome: router.Failed})
	}
	busy.expect("[1 1 [Error map[]] <nil>]")
	next.expect("[1 1 [Error map[]] <nil>]")
}

// Usual clients close after 4 s without a request and ask as soon as they connect: who says nothing for longer holds a
// place for nothing. An answer that is still being written is not nothing.
func TestIdle(t *testing.T) {
	fake := clock.NewFake(1000)
	s := &Server{Clock: fake}
	for _, x := range []struct {
		c     *conn
		after float64
		want  bool
	}{
		{&conn{}, firstMessageTimeout - 1, false},
		{&conn{}, firstMessageTimeout, true},
		{&conn{receivedAny: true}, idleTimeout - 1, false},
		{&conn{receivedAny: true}, idleTimeout, true},
		{&conn{receivedAny: true, unsentResponses: 1}, idleTimeout, false},
	} {
		x.c.server, x.c.idleSince = s, fake.Now()-x.after
		if got := x.c.isIdleTooLong(); got != x.want {
			t.Errorf("spoken %v, %d unsent, after %v ms: idle %v", x.c.receivedAny, x.c.unsentResponses, x.after, got)
		}
	}
}
