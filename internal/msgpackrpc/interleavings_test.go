package msgpackrpc

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"spantack/internal/router"
	"spantack/internal/testwait"
)

// What crosses on a client's connection. The client holds back what it sends, and the handler its answer, until the server
// stands at the point that the test is about.

// Drain, or the end, comes between a reader's check whether its connection is to close and its wait for the next message:
// the connection must close as others do, and not stay for the idle time.
func TestEmptiedWhileReaderLooks(t *testing.T) {
	for name, empty := range map[string]func(*client){
		"drain": func(c *client) { c.Drain() },
		"end": func(c *client) {
			c.stop()
			testwait.Until(c.t, "the end of accepting", c.closesConnections)
			c.Server.mu.Lock()
			rest := c.connections()
			c.Server.mu.Unlock()
			for _, o := range rest { // its own calls of wake may come a moment later: these are the same
				o.wake()
			}
		},
	} {
		var c *client
		started, looks := make(chan struct{}), 0
		testHookAwait = func() {
			<-started
			if looks++; looks == 2 { // after the first message
				empty(c)
			}
		}
		c = start(t)
		close(started)
		c.Write(encode(nil, []any{uint64(0), uint64(1), "health", []any{map[string]any{}}}))
		c.expect("[1 1 <nil> [true map[]]]")
		c.SetReadDeadline(time.Now().Add(idleTimeout / 3 * time.Millisecond))
		if _, err := c.in.ReadByte(); err != io.EOF {
			t.Errorf("%s: the connection stays: %v", name, err)
		}
		c.stop()
		c.Close()
		c.finish()
	}
	testHookAwait = func() {}
}

// deadlines is a connection that counts how often its reader's time is set.
type deadlines struct {
	net.Conn
	set int
}

func (d *deadlines) SetReadDeadline(time.Time) error { d.set++; return nil }

// A reader that looks for a last message has its time for that, whoever wakes it meanwhile: a request on its way counts
// as taken.
func TestPokeInLastLook(t *testing.T) {
	d := &deadlines{}
	c := &conn{netConn: d, awaitsLastMessage: true}
	c.wake()
	if d.set != 0 {
		t.Error("the last look was cut short")
	}
	c = &conn{netConn: d}
	if c.wake(); d.set != 1 {
		t.Error("a waiting reader was not woken")
	}
}

// A cancelled request's handler ends when its message id stands for another request: that one still gets its answer.
func TestIdUsedAgainAfterCancel(t *testing.T) {
	enter, leave := make(chan string), make(chan router.Response)
	c := start(t, func(s *Server) {
		s.Handle = func(_ context.Context, q router.Request) router.Response { // ends when the test says so, cancelled or not
			enter <- q.ID
			return <-leave
		}
	})
	c.request(1, "page", "0000000000000001")
	testwait.Receive(t, enter, "the first request")
	c.Write(encode(nil, []any{uint64(2), "cancel", []any{uint64(1)}}))
	c.request(1, "page", "0000000000000002")
	if id := testwait.Receive(t, enter, "the second request"); id != "0000000000000002" {
		t.Fatalf("asked %s", id)
	}
	testwait.Send(t, leave, router.Response{}, "the end of a handler") // either of them: both wait for the same word, so it is said twice
	testwait.Until(t, "one handler to end", func() bool {
		c.Server.mu.Lock()
		defer c.Server.mu.Unlock()
		return c.queuedBytes == requestOverhead
	})
	testwait.Send(t, leave, router.Response{Outcome: router.Failed}, "the end of the other handler")
	c.expect("[1 1 [Error map[]] <nil>]")
}

// A client leaves in each way there is, while its request waits: before the end of the process has begun and after. The
// handler is told, so that nothing more is sent on.
func TestWaysOfLeaving(t *testing.T) {
	for name, leave := range map[string]func(c *client){
		"cancel": func(c *client) { c.Write(encode(nil, []any{uint64(2), "cancel", []any{uint64(1)}})) },
		"close":  func(c *client) { c.Close() },
		"reset":  func(c *client) { c.Conn.(*net.TCPConn).SetLinger(0); c.Close() },
		"half-close": func(c *client) {
			c.Conn.(*net.TCPConn).CloseWrite()
		},
		"half a message and a reset": func(c *client) {
			c.Write([]byte("\x94\x00\x02\xa4pa"))
			c.Conn.(*net.TCPConn).SetLinger(0)
			c.Close()
		},
	} {
		for _, ending := range []bool{false, true} {
			c := start(t)
			c.request(1, "page", "0000000000000001")
			a := c.next()
			if ending {
				c.stop()
				testwait.Until(c.t, "the end of accepting", c.closesConnections)
			}
			leave(c)
			testwait.Receive(t, a.ctx.Done(), fmt.Sprintf("the end of the request of a client that left: %s, ending %v", name, ending))
		}
	}
}

// A call of our own client is given up: the router hears of it in the words of the protocol.
func TestCallGivenUp(t *testing.T) {
	c := start(t)
	caller, err := Dial(c.addr, 1000)
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	ctx, giveUp := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := caller.Do(ctx, router.Request{ID: "0000000000000001", Class: "page", ClientTimeout: 1500})
		ended <- err
	}()
	a := c.next()
	giveUp()
	if err := testwait.Receive(t, ended, "the end of the call"); err != context.Canceled {
		t.Error(err)
	}
	a.cancelled(t)
}

// A client writes its last byte and is gone: whether its request was begun or not, it does not wait on.
func TestGoneAtOnce(t *testing.T) {
	defer func() { testHookAwait = func() {} }()
	for _, reset := range []bool{false, true} {
		taken := make(chan struct{})
		testHookAwait = sync.OnceFunc(func() { close(taken) })
		c := start(t)
		c.request(1, "page", "0000000000000001")
		if reset {
			c.Conn.(*net.TCPConn).SetLinger(0)
		}
		c.Close()
		testwait.Receive(t, taken, "the connection to be taken up") // until then none is there to end
		testwait.Until(t, "the end of the connection and of its request", func() bool {
			select {
			case a := <-c.asked:
				a.cancelled(t)
			default:
			}
			c.Server.mu.Lock()
			defer c.Server.mu.Unlock()
			return len(c.conns) == 0 && c.queuedBytes == 0
		})
		c.stop()
		c.finish()
	}
}

// Staff empty a server that has not begun to serve: its second address is open by then. What it serves from then on closes likewise.
func TestEmptiedBeforeItServes(t *testing.T) {
	begin := make(chan struct{})
	c := start(t, func(s *Server) { go func() { <-begin; s.Drain() }() })
	close(begin)
	c.SetReadDeadline(time.Now().Add(firstMessageTimeout / 2 * time.Millisecond))
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Errorf("the connection stays: %v", err)
	}
}

// A client that does not read must not fill what all may hold: the large answers of others failed then, small ones did not.
func TestUnreadAnswersLeaveRoom(t *testing.T) {
	const large = 200 << 10
	c := start(t, func(s *Server) { s.MaxQueuedBytes, s.MaxConns = 40*large, 8 })
	c.request(1, "page", "0000000000000001")
	asked := c.next()
	// No one writes for a connection made here: what is answered on it waits, as for a client that does not read.
	deaf := &conn{server: c.Server, queue: make(chan encodedResponse, maxQueuedResponses)}
	for id := range uint64(maxQueuedResponses) {
		if err := deaf.respond(id, router.Response{Outcome: router.Served, Body: make([]byte, large)}); err != nil {
			t.Fatal(err)
		}
	}
	asked.reply(t, router.Response{Outcome: router.Served, Body: make([]byte, large)})
	d := decoder{reader: c.in, remaining: 2 * large, maxLength: 2 * large}
	v, err := d.readValue(0)
	if list, _ := v.([]any); err != nil || len(list) != 4 || list[2] != nil {
		t.Errorf("a large answer of another client: %.80v, %v", v, err)
	}
	c.Server.mu.Lock()
	defer c.Server.mu.Unlock()
	if deaf.reservedBytes < c.MaxQueuedBytes/4 {
		t.Errorf("%d bytes are all that wait for one client while nobody else needs them", deaf.reservedBytes)
	}
}
