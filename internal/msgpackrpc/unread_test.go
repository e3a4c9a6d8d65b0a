package msgpackrpc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"spantack/internal/clock"
	"spantack/internal/router"
	"spantack/internal/testwait"
)

const (
	// largeBody is the size of an object's largest chunk, in bytes.
	largeBody = 240_000
	// pastOldClose is longer than a connection without open requests once took to be closed, whether or not its client had
	// read the responses: drainTimeout and lingerTimeout.
	pastOldClose = 2 * (drainTimeout + lingerTimeout) * time.Millisecond
)

// startLargeServer runs a server with a fake clock that serves each request with largeBody bytes, and returns a client.
// While the client does not read, its system takes less than one response. Since the server's clock stands still, a slow
// test machine does not make a client stall.
func startLargeServer(t *testing.T, setup ...func(*Server)) (*testClient, *clock.Clock) {
	t.Helper()
	fake := clock.NewFake(1_764_576_000_000)
	serveLarge := func(server *Server) {
		server.Clock = fake
		server.MaxQueuedBytes = 16 << 20
		server.Handle = func(context.Context, router.Request) router.Response {
			return router.Response{Outcome: router.Served, Body: make([]byte, largeBody)}
		}
	}
	return startServer(t, append([]func(*Server){serveLarge}, setup...)...), fake
}

// requestLarge sends n requests with ids from first.
func (c *testClient) requestLarge(first, n uint64) {
	for id := first; id < first+n; id++ {
		c.sendRequest(id, "page", fmt.Sprintf("%016x", id))
	}
}

// awaitOnlyUnread waits until the server has no open request and has at least one response that the client has not
// taken. It returns the server's connections.
func (c *testClient) awaitOnlyUnread() (conns []*conn) {
	c.t.Helper()
	testwait.Until(c.t, "responses to be unread and no request to be open", func() bool {
		c.Server.mu.Lock()
		conns = c.connections()
		c.Server.mu.Unlock()
		for _, open := range conns {
			open.mu.Lock()
			isHandled := open.receivedAny && len(open.openRequests) == 0
			open.mu.Unlock()
			if !isHandled || !open.hasUnread() {
				return false
			}
		}
		return len(conns) > 0
	})
	return conns
}

// expectAll reads n responses, checks that they are served or rejected, each once, and that the stream then ends.
func (c *testClient) expectAll(n int) {
	c.t.Helper()
	answered := map[uint64]bool{}
	for range n {
		value, err := newDecoder(c.reader, maxResponse, maxResponseBody, nil).readMessage()
		if err != nil {
			c.t.Fatalf("%d of %d responses, then %v", len(answered), n, err)
		}
		list := value.([]any)
		id, _ := asUint64(list[1])
		r, err := parseResponse(list[2], list[3])
		isServed := r.response.Outcome == router.Served && len(r.response.Body) == largeBody
		if err != nil || answered[id] || !isServed && r.response.Outcome != router.Rejected {
			c.t.Fatalf("response to %d: %v with %d bytes, %v", id, r.response.Outcome, len(r.response.Body), err)
		}
		answered[id] = true
	}
	if _, err := c.reader.ReadByte(); err != io.EOF {
		c.t.Errorf("after %d responses: got %v, want EOF", n, err)
	}
}

// Guards against a close that drops responses: the client reads slowly and sends further requests, since it has not
// reached the end of the stream. However the server comes to close the connection, each request must get its response.
func TestSlowClientGetsAllResponses(t *testing.T) {
	const before, after = 8, 4
	for name, end := range map[string]func(*testClient, *clock.Clock){
		"drain":    func(c *testClient, _ *clock.Clock) { c.Drain() },
		"shutdown": func(c *testClient, _ *clock.Clock) { c.stopServer() },
		"drain, rejecting": func(c *testClient, fake *clock.Clock) {
			c.Drain()
			fake.Advance(rejectAfter)
		},
		"drain, then shutdown": func(c *testClient, _ *clock.Clock) {
			c.Drain()
			c.stopServer()
		},
	} {
		t.Run(name, func(t *testing.T) {
			client, fake := startLargeServer(t)
			client.requestLarge(1, before)
			client.awaitOnlyUnread()
			end(client, fake)
			for id := range uint64(after) {
				time.Sleep(pastOldClose / after)
				client.requestLarge(before+1+id, 1)
			}
			client.expectAll(before + after)
			if closes := client.Stats().UnreadCloses; closes != 0 {
				t.Errorf("%d connections closed with unread responses", closes)
			}
		})
	}
}

// Guards against an idle timeout that drops responses that the client is still reading.
func TestIdleTimeoutWaitsForSlowClient(t *testing.T) {
	client, fake := startLargeServer(t)
	client.requestLarge(1, 2)
	for _, c := range client.awaitOnlyUnread() {
		testwait.Until(t, "all responses to be written", func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.unsentResponses == 0
		})
		fake.Advance(idleTimeout)
		c.wake()
	}
	time.Sleep(pastOldClose)
	client.requestLarge(3, 1)
	client.Drain() // the client then reads the end of the stream
	client.expectAll(3)
}

// Guards against clients that never read and hold their connections, and the end of the server, for as long as they
// like: after readStallTimeout they are disconnected, and counted.
func TestClientsThatNeverReadAreDisconnected(t *testing.T) {
	const clients = 8
	for name, end := range map[string]func(*testClient){
		"drain":    func(c *testClient) { c.Drain() },
		"shutdown": func(c *testClient) { c.stopServer() },
	} {
		t.Run(name, func(t *testing.T) {
			client, fake := startLargeServer(t, func(server *Server) { server.MaxConns = clients })
			all := []*testClient{client}
			for len(all) < clients {
				all = append(all, client.dialAnother())
			}
			for _, c := range all {
				c.requestLarge(1, 4)
			}
			client.awaitOnlyUnread()
			end(client)
			time.Sleep(pastOldClose)
			if closes := client.Stats().UnreadCloses; closes != 0 {
				t.Errorf("%d clients disconnected before readStallTimeout", closes)
			}
			testwait.Until(t, "all clients to be disconnected", func() bool {
				fake.Advance(readStallTimeout)
				client.Server.mu.Lock()
				defer client.Server.mu.Unlock()
				return len(client.conns) == 0
			})
			if closes := client.Stats().UnreadCloses; closes != clients {
				t.Errorf("%d connections counted as closed with unread responses, want %d", closes, clients)
			}
		})
	}
}

// Guards against a client that takes a byte now and then and holds its connection for ever, and against one at the
// slowest rate of the platform, or with one backlog after another, that counts as stalled.
func TestReadProgress(t *testing.T) {
	const (
		start   = 1_764_576_000_000.0
		step    = readStallTimeout / 2
		backlog = 2 * maxUnreadTime * minReadRate // more than a client at minReadRate reads in maxUnreadTime
	)
	for _, test := range []struct {
		name  string
		taken func(check int64) int64 // bytes
		want  float64                 // milliseconds for which the client counts as reading
	}{
		{"takes nothing", func(int64) int64 { return 5 }, readStallTimeout},
		{"a byte each time", func(check int64) int64 { return check }, maxUnreadTime},
		{"slowest rate", func(check int64) int64 { return check * step * minReadRate }, maxUnreadTime},
		{"stops after a while", func(check int64) int64 { return min(check, 10) }, 10*step + readStallTimeout},
	} {
		var progress readProgress
		now := start
		for check := int64(0); progress.record(now, backlog, backlog-test.taken(check)) == reading; check++ {
			now += step
		}
		if now-start != test.want {
			t.Errorf("%s: counts as reading for %v ms, want %v", test.name, now-start, test.want)
		}
		if progress.record(now, backlog, 0) != nothingToRead || progress.record(now, backlog+1, 1) != reading {
			t.Errorf("%s: a client that has read all and gets another response does not start anew", test.name)
		}
	}
	var progress readProgress
	for check := int64(1); check < 100; check++ { // a new backlog of one response at each check
		now := start + float64(check)*step
		if state := progress.record(now, check*largeBody+largeBody/2, largeBody/2); state != reading {
			t.Fatalf("check %d: a client that takes each backlog counts as %v", check, state)
		}
	}
}

// Guards against the eviction of a connection whose client may still be reading, while another is idle. If all may be
// reading, one of them must still give way: clients that never read must not hold all connections.
func TestEvictionPrefersIdleConnections(t *testing.T) {
	fake := clock.NewFake(1_764_576_000_000)
	server := &Server{Clock: fake, MaxConns: 2, conns: map[*conn]bool{}}
	reading := &conn{server: server, receivedAny: true, idleSince: fake.Now()}
	reading.recordWritten(largeBody)
	fake.Advance(largeBody / minReadRate / 2)
	idle := &conn{server: server, receivedAny: true, idleSince: fake.Now()}
	server.conns[reading] = true
	server.conns[idle] = true
	if server.connToEvict() != idle {
		t.Error("the connection with the earlier response is evicted, though its client may still be reading")
	}
	idle.recordWritten(2 * largeBody)
	if server.connToEvict() != reading {
		t.Error("the connection that has longer to read is evicted")
	}
	fake.Advance(largeBody)
	if server.connToEvict() != reading {
		t.Error("the connection that has been idle for longer is not evicted")
	}
}

// Guards against a connection that stays open because its client goes on sending: the wait for the client to take its
// responses must not include the time by which its system delays acknowledgments. The client sends more often than that,
// and its requests are rejected.
func TestBusyClientIsDisconnectedWhileRejecting(t *testing.T) {
	const interval = 15 * time.Millisecond
	fake := clock.NewFake(1_764_576_000_000)
	client := startServer(t, func(server *Server) { server.Clock = fake })
	client.sendRequest(1, "page", "0000000000000001")
	client.nextCall().respond(t, router.Response{Outcome: router.Failed})
	client.expect("[1 1 [Error map[]] <nil>]")
	ended := make(chan error, 1)
	go func() {
		_, err := io.Copy(io.Discard, client.reader)
		ended <- err
	}()
	client.Drain()
	fake.Advance(rejectAfter)
	for id := uint64(2); id < 100; id++ {
		client.sendRequest(id, "page", fmt.Sprintf("%016x", id))
		select {
		case <-ended:
			return
		case <-time.After(interval):
		}
	}
	t.Error("connection still open after 98 rejected requests")
}

// Guards against a malformed message whose connection stays open until a client that does not read has read.
func TestMalformedMessageEndsUnreadConnection(t *testing.T) {
	client, _ := startLargeServer(t)
	client.requestLarge(1, 8)
	client.awaitOnlyUnread()
	client.Write([]byte{0xc1})
	testwait.Until(t, "the end of the connection", func() bool {
		client.Server.mu.Lock()
		defer client.Server.mu.Unlock()
		return len(client.conns) == 0
	})
	if _, err := io.Copy(io.Discard, client.reader); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("connection still open")
	}
}

// Guards against a connection that is counted once for each response that it drops after a failed write.
func TestFailedWriteCountsItsConnectionOnce(t *testing.T) {
	local, remote := net.Pipe()
	remote.Close()
	server := &Server{Clock: clock.NewFake(1000)}
	c := newConn(server, local)
	for range 3 {
		if err := c.enqueueBytes([]byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	close(c.queue)
	c.write()
	if closes := server.Stats().UnreadCloses; closes != 1 {
		t.Errorf("%d connections counted, want 1", closes)
	}
}
