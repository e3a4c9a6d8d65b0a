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

// Race conditions on a client's connection. The client holds back what it sends, and the handler its response, until
// the server has reached the point that the test is about.

// Drain, or the end of accepting, comes between a reader's check whether its connection is to close and its wait for
// the next message: the connection must close as others do, and not stay for the idle timeout.
func TestDrainWhileReaderChecks(t *testing.T) {
	for name, drain := range map[string]func(*testClient){
		"drain": func(c *testClient) { c.Drain() },
		"end": func(c *testClient) {
			c.stopServer()
			testwait.Until(c.t, "the end of accepting", c.closesConnections)
			c.Server.mu.Lock()
			open := c.connections()
			c.Server.mu.Unlock()
			for _, conn := range open { // the server's own calls of wake may come a moment later: these are the same
				conn.wake()
			}
		},
	} {
		var client *testClient
		started := make(chan struct{})
		checks := 0
		testHookAwait = func() {
			<-started
			if checks++; checks == 2 { // after the first message
				drain(client)
			}
		}
		client = startServer(t)
		close(started)
		client.sendHealthRequest()
		client.expect("[1 1 <nil> [true map[]]]")
		client.SetReadDeadline(time.Now().Add(idleTimeout / 3 * time.Millisecond))
		if _, err := client.reader.ReadByte(); err != io.EOF {
			t.Errorf("%s: the connection stays: %v", name, err)
		}
		client.stopServer()
		client.Close()
		client.awaitServeEnd()
	}
	testHookAwait = func() {}
}

// deadlineCounter is a connection that counts how often its read deadline is set.
type deadlineCounter struct {
	net.Conn
	setCount int
}

func (d *deadlineCounter) SetReadDeadline(time.Time) error { d.setCount++; return nil }

// A reader that waits for a last message has its full time for that, whoever wakes it meanwhile: a request that is
// under way must be accepted.
func TestWakeWhileAwaitingLastMessage(t *testing.T) {
	deadlines := &deadlineCounter{}
	c := &conn{netConn: deadlines, awaitsLastMessage: true}
	c.wake()
	if deadlines.setCount != 0 {
		t.Error("the wait for a last message was cut short")
	}
	c = &conn{netConn: deadlines}
	if c.wake(); deadlines.setCount != 1 {
		t.Error("a waiting reader was not woken")
	}
}

// The handler of a canceled request ends when its message id is another request's: that one still gets its response.
func TestIdUsedAgainAfterCancel(t *testing.T) {
	entered := make(chan string)
	responses := make(chan router.Response)
	client := startServer(t, func(server *Server) {
		server.Handle = func(_ context.Context, request router.Request) router.Response { // ignores its context
			entered <- request.ID
			return <-responses
		}
	})
	client.sendRequest(1, "page", "0000000000000001")
	testwait.Receive(t, entered, "the first request")
	client.sendCancel(uint64(1))
	client.sendRequest(1, "page", "0000000000000002")
	if id := testwait.Receive(t, entered, "the second request"); id != "0000000000000002" {
		t.Fatalf("handled %s", id)
	}
	// Which of the two handlers takes a response is not known, so each gets one.
	testwait.Send(t, responses, router.Response{}, "the end of a handler")
	testwait.Until(t, "one handler to end", func() bool {
		client.Server.mu.Lock()
		defer client.Server.mu.Unlock()
		return client.queuedBytes == requestOverhead
	})
	testwait.Send(t, responses, router.Response{Outcome: router.Failed}, "the end of the other handler")
	client.expect("[1 1 [Error map[]] <nil>]")
}

// A client leaves in each way there is while its request is open, before the end of accepting and after. The handler's
// context ends, so that nothing more is forwarded.
func TestWaysOfLeaving(t *testing.T) {
	for name, leave := range map[string]func(c *testClient){
		"cancel":     func(c *testClient) { c.sendCancel(uint64(1)) },
		"close":      func(c *testClient) { c.Close() },
		"reset":      func(c *testClient) { c.Conn.(*net.TCPConn).SetLinger(0); c.Close() },
		"half-close": func(c *testClient) { c.Conn.(*net.TCPConn).CloseWrite() },
		"half a message and a reset": func(c *testClient) {
			c.Write([]byte("\x94\x00\x02\xa4pa"))
			c.Conn.(*net.TCPConn).SetLinger(0)
			c.Close()
		},
	} {
		for _, isEnding := range []bool{false, true} {
			client := startServer(t)
			client.sendRequest(1, "page", "0000000000000001")
			call := client.nextCall()
			if isEnding {
				client.stopServer()
				testwait.Until(t, "the end of accepting", client.closesConnections)
			}
			leave(client)
			what := fmt.Sprintf("the end of the request of a client that left: %s, ending %v", name, isEnding)
			testwait.Receive(t, call.ctx.Done(), what)
		}
	}
}

// A call of this package's Client is given up: the router is notified of it as the protocol says.
func TestCallGivenUp(t *testing.T) {
	client := startServer(t)
	caller, err := Dial(client.addr, 1000)
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
	call := client.nextCall()
	giveUp()
	if err := testwait.Receive(t, ended, "the end of the call"); err != context.Canceled {
		t.Error(err)
	}
	call.awaitCancel(t)
}

// A client leaves right after the last byte of its request: whether the request was begun or not, its handler ends.
func TestClientLeavesAtOnce(t *testing.T) {
	defer func() { testHookAwait = func() {} }()
	for _, withReset := range []bool{false, true} {
		accepted := make(chan struct{})
		testHookAwait = sync.OnceFunc(func() { close(accepted) })
		client := startServer(t)
		client.sendRequest(1, "page", "0000000000000001")
		if withReset {
			client.Conn.(*net.TCPConn).SetLinger(0)
		}
		client.Close()
		testwait.Receive(t, accepted, "the connection to be accepted") // until then there is none to end
		testwait.Until(t, "the end of the connection and of its request", func() bool {
			select {
			case call := <-client.handlerCalls:
				call.awaitCancel(t)
			default:
			}
			client.Server.mu.Lock()
			defer client.Server.mu.Unlock()
			return len(client.conns) == 0 && client.queuedBytes == 0
		})
		client.stopServer()
		client.awaitServeEnd()
	}
}

// An operator drains a server that does not serve yet: its second address is open by then. Connections that it accepts
// later are closed likewise.
func TestDrainBeforeServe(t *testing.T) {
	begin := make(chan struct{})
	client := startServer(t, func(server *Server) {
		go func() {
			<-begin
			server.Drain()
		}()
	})
	close(begin)
	client.SetReadDeadline(time.Now().Add(firstMessageTimeout / 2 * time.Millisecond))
	if _, err := client.reader.ReadByte(); err != io.EOF {
		t.Errorf("the connection stays: %v", err)
	}
}

// A client that does not read must not use up MaxQueuedBytes: the large responses of others failed then, small ones did
// not.
func TestUnreadResponsesLeaveCapacity(t *testing.T) {
	const large = 200 << 10
	client := startServer(t, func(server *Server) {
		server.MaxQueuedBytes = 40 * large
		server.MaxConns = 8
	})
	client.sendRequest(1, "page", "0000000000000001")
	call := client.nextCall()
	// Nothing writes the queue of this connection: its responses wait, as for a client that does not read.
	unread := &conn{server: client.Server, queue: make(chan encodedResponse, maxQueuedResponses)}
	for id := range uint64(maxQueuedResponses) {
		if err := unread.respond(id, router.Response{Outcome: router.Served, Body: make([]byte, large)}); err != nil {
			t.Fatal(err)
		}
	}
	call.respond(t, router.Response{Outcome: router.Served, Body: make([]byte, large)})
	d := decoder{reader: client.reader, remaining: 2 * large, maxLength: 2 * large}
	value, err := d.readValue(0)
	if list, _ := value.([]any); err != nil || len(list) != 4 || list[2] != nil {
		t.Errorf("a large response to another client: %.80v, %v", value, err)
	}
	client.Server.mu.Lock()
	defer client.Server.mu.Unlock()
	if unread.reservedBytes < client.MaxQueuedBytes/4 {
		t.Errorf("one client gets only %d bytes while nobody else needs them", unread.reservedBytes)
	}
}
