package msgpackrpc

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"spantack/internal/clock"
	"spantack/internal/router"
	"spantack/internal/testwait"
)

// The tests of this file cover race conditions on a client's connection. The client delays its messages, and the
// handler its response, until the server has reached the state under test.

// Drain or a shutdown may start after a reader has checked whether its connection is to close, and before the reader
// waits for the next message. The connection must still close promptly; it must not stay open for the idle timeout.
func TestDrainBetweenCheckAndWaitClosesConnection(t *testing.T) {
	for name, drain := range map[string]func(*testClient){
		"drain": func(c *testClient) { c.Drain() },
		"shutdown": func(c *testClient) {
			c.stopServer()
			testwait.Until(c.t, "the server to start draining", c.closesConnections)
			c.Server.mu.Lock()
			open := c.connections()
			c.Server.mu.Unlock()
			for _, conn := range open { // startDraining makes the same calls, but possibly after this hook has returned
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
			t.Errorf("%s: connection not closed: %v", name, err)
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
	deadlineCount int
}

func (d *deadlineCounter) SetReadDeadline(time.Time) error { d.deadlineCount++; return nil }

// wake must not shorten the wait for a last message, since a request in transit must still be accepted.
func TestWakeKeepsWaitForLastMessage(t *testing.T) {
	deadlines := &deadlineCounter{}
	c := &conn{netConn: deadlines, awaitsLastMessage: true}
	c.wake()
	if deadlines.deadlineCount != 0 {
		t.Error("wake shortened the wait for a last message")
	}
	c = &conn{netConn: deadlines}
	if c.wake(); deadlines.deadlineCount != 1 {
		t.Error("wake did not wake a waiting reader")
	}
}

// If the handler of a canceled request returns only after a second request has reused its message id, the second
// request must still get its response.
func TestReusedMessageIDGetsResponseAfterCancel(t *testing.T) {
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
		t.Fatalf("second request: handler got id %s", id)
	}
	// It is not known which of the two handlers receives a response, so each gets one.
	testwait.Send(t, responses, router.Response{}, "the end of a handler")
	testwait.Until(t, "one handler to end", func() bool {
		client.Server.mu.Lock()
		defer client.Server.mu.Unlock()
		return client.queuedBytes == requestOverhead
	})
	testwait.Send(t, responses, router.Response{Outcome: router.Failed}, "the end of the other handler")
	client.expect("[1 1 [Error map[]] <nil>]")
}

// When a client cancels a request or disconnects, the context of the request's handler must end, before and during a
// shutdown. Otherwise the router would go on forwarding the request.
func TestDisconnectCancelsRequest(t *testing.T) {
	for name, disconnect := range map[string]func(c *testClient){
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
		for _, isShuttingDown := range []bool{false, true} {
			client := startServer(t)
			client.sendRequest(1, "page", "0000000000000001")
			call := client.nextCall()
			if isShuttingDown {
				client.stopServer()
				testwait.Until(t, "the server to start draining", client.closesConnections)
			}
			disconnect(client)
			awaited := fmt.Sprintf("the end of the request context: %s, shutting down %v", name, isShuttingDown)
			testwait.Receive(t, call.ctx.Done(), awaited)
		}
	}
}

// Client must send a cancel message when the context of a call ends. Otherwise the router would go on with the request.
func TestClientSendsCancel(t *testing.T) {
	client := startServer(t)
	caller, err := Dial(client.addr, 1000)
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := caller.Do(ctx, router.Request{ID: "0000000000000001", Class: "page", ClientTimeout: 1500})
		ended <- err
	}()
	call := client.nextCall()
	cancel()
	if err := testwait.Receive(t, ended, "the end of the call"); err != context.Canceled {
		t.Error(err)
	}
	call.awaitCancel(t)
}

// If a client disconnects right after the last byte of its request, the connection and the reserved bytes must be
// released, whether or not the handler has started by then.
func TestDisconnectRightAfterRequest(t *testing.T) {
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
		testwait.Receive(t, accepted, "the connection to be accepted") // otherwise there may be no connection to end yet
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

// An operator can drain a server before Serve is called, since the management address opens earlier. Connections that
// are accepted later must be closed as well.
func TestDrainBeforeServeClosesConnections(t *testing.T) {
	startDrain := make(chan struct{})
	client := startServer(t, func(server *Server) {
		go func() {
			<-startDrain
			server.Drain()
		}()
	})
	close(startDrain)
	client.SetReadDeadline(time.Now().Add(firstMessageTimeout / 2 * time.Millisecond))
	if _, err := client.reader.ReadByte(); err != io.EOF {
		t.Errorf("connection not closed: %v", err)
	}
}

// A client that does not read must not use up MaxQueuedBytes. Otherwise large responses to other clients fail, while
// small ones succeed. A single connection must still be able to reserve at least a quarter of MaxQueuedBytes while the
// rest is free.
func TestUnreadResponsesLeaveCapacity(t *testing.T) {
	const large = 200 << 10
	client := startServer(t, func(server *Server) {
		server.MaxQueuedBytes = 40 * large
		server.MaxConns = 8
	})
	client.sendRequest(1, "page", "0000000000000001")
	call := client.nextCall()
	// This connection has no writer, so its responses stay queued, as for a client that does not read.
	unread := &conn{server: client.Server, queue: make(chan encodedResponse, maxQueuedResponses)}
	for id := range uint64(maxQueuedResponses) {
		if err := unread.respond(id, router.Response{Outcome: router.Served, Body: make([]byte, large)}); err != nil {
			t.Fatal(err)
		}
	}
	call.respond(t, router.Response{Outcome: router.Served, Body: make([]byte, large)})
	value, err := newDecoder(client.reader, 2*large, 2*large, nil).readMessage()
	if list, _ := value.([]any); err != nil || len(list) != 4 || list[2] != nil {
		t.Errorf("large response to another client: got %.80v, %v", value, err)
	}
	client.Server.mu.Lock()
	defer client.Server.mu.Unlock()
	if unread.reservedBytes < client.MaxQueuedBytes/4 {
		t.Errorf("one client can reserve only %d bytes, want at least a quarter of MaxQueuedBytes", unread.reservedBytes)
	}
}

// A request may arrive at the moment at which its idle connection is woken, or at the end of its idle time. A read fails at
// its deadline even if bytes have arrived; they must be read, and not be dropped with the connection.
func TestRequestAtTheEndOfTheIdleTimeIsHandled(t *testing.T) {
	fake := clock.NewFake(1_764_576_000_000)
	var client *testClient
	started := make(chan struct{})
	arrived := make(chan struct{})
	checks := 0
	testHookAwait = func() {
		<-started
		if checks++; checks != 2 { // the second check is the one after the first message
			return
		}
		<-arrived
		client.Server.mu.Lock()
		open := client.connections()
		client.Server.mu.Unlock()
		testwait.Until(t, "the request in the socket", func() bool { return open[0].peekSocket() == socketHasData })
		open[0].wake()
	}
	defer func() { testHookAwait = func() {} }()
	client = startServer(t, func(server *Server) { server.Clock = fake })
	close(started)
	client.sendHealthRequest()
	client.expect("[1 1 <nil> [true map[]]]")
	fake.Advance(idleTimeout)
	client.sendRequest(2, "page", "0000000000000002")
	close(arrived)
	client.nextCall().respond(t, router.Response{Outcome: router.Failed})
	client.expect("[1 2 [Error map[]] <nil>]")
	client.stopServer()
	client.Close()
	client.awaitServeEnd()
}
