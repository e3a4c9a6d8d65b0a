package msgpackrpc

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net"
	"reflect"
	"testing"
	"time"

	"spantack/internal/clock"
	"spantack/internal/router"
	"spantack/internal/testwait"
)

// Each outcome must be encoded as specified, and responses must be sent in the order in which requests are completed,
// not in the order in which they arrived.
func TestResponseOfEachOutcome(t *testing.T) {
	client := startServer(t)
	client.sendHealthRequest()
	client.expect("[1 1 <nil> [true map[]]]")
	client.sendRequest(2, "page", "0000000000000002")
	client.sendRequest(3, "page", "0000000000000003")
	client.sendRequest(4, "page", "0000000000000004")
	calls := map[string]*handlerCall{} // by request id
	for range 3 {
		call := client.nextCall()
		calls[call.ID] = call
	}
	calls["0000000000000004"].respond(t, router.Response{Outcome: router.Served, Body: []byte{0, 255}})
	client.expect("[1 4 <nil> [[0 255] map[]]]")
	calls["0000000000000002"].respond(t, router.Response{Outcome: router.Served, NotModified: true})
	client.expect("[1 2 <nil> [[] map[keep:1]]]")
	calls["0000000000000003"].respond(t, router.Response{Outcome: router.Rejected, RetryAfter: 99.6})
	client.expect("[1 3 [Full map[cooldown:100]] <nil>]")
	client.sendRequest(5, "page", "0000000000000005")
	client.nextCall().respond(t, router.Response{Outcome: router.Failed})
	client.expect("[1 5 [Error map[]] <nil>]")
}

// An invalid request must get an error response with its message id, and the connection must stay open.
func TestInvalidRequestKeepsConnection(t *testing.T) {
	client := startServer(t)
	client.sendRequest(1, "film", "0000000000000001")
	client.expect("[1 1 [Error map[reason:unknown method]] <nil>]")
	client.sendRequest(2, "page", "")
	client.expect("[1 2 [Error map[reason:field ref can't be used]] <nil>]")
	client.sendRequest(3, "report", "0000000000000003")
	client.expect("[1 3 [Error map[reason:field replay can't be used]] <nil>]")
}

// A canceled request must get no response. Unknown ids in the cancel message must be ignored.
func TestCanceledRequestGetsNoResponse(t *testing.T) {
	client := startServer(t)
	client.sendRequest(1, "page", "0000000000000001")
	call := client.nextCall()
	client.sendCancel(uint64(1), uint64(99))
	call.awaitCancel(t)
	client.sendRequest(2, "page", "0000000000000002")
	client.nextCall().respond(t, router.Response{Outcome: router.Failed})
	client.expect("[1 2 [Error map[]] <nil>]")
}

// A malformed stream must end its connection and that connection's requests, and no others.
func TestMalformedStreamEndsOnlyItsConnection(t *testing.T) {
	sameMessageID := string(encodeRequest(1, "page", "0000000000000002"))
	for _, text := range []string{"\xc1", "GET / HTTP/1.1\r\n\r\n", "\x93\x00\x01\x02", sameMessageID} {
		client := startServer(t)
		client.sendRequest(1, "page", "0000000000000001")
		call := client.nextCall()
		client.Write([]byte(text))
		call.awaitCancel(t)
		if _, err := client.reader.ReadByte(); err == nil {
			t.Errorf("%q: connection not closed", text)
		}
		next := testwait.Dial(t, client.addr)
		next.Write(encode(nil, []any{uint64(0), uint64(1), "health", []any{}}))
		want := []any{int64(1), int64(1), nil, []any{true, map[string]any{}}}
		if value, err := readMessage(bufio.NewReader(next)); err != nil || !reflect.DeepEqual(value, want) {
			t.Errorf("%q: response on the next connection: %v, %v", text, value, err)
		}
		next.Close()
	}
}

// During a shutdown, open requests must still get their responses before the connection closes.
func TestShutdownAnswersOpenRequests(t *testing.T) {
	client := startServer(t)
	client.sendRequest(1, "page", "0000000000000001")
	call := client.nextCall()
	client.stopServer()
	call.respond(t, router.Response{Outcome: router.Served, Body: []byte("x")})
	client.expect("[1 1 <nil> [[120] map[]]]")
	if _, err := client.reader.ReadByte(); err != io.EOF {
		t.Errorf("read after the last response: got %v, want EOF", err)
	}
	client.Close()
	client.awaitServeEnd()
}

// On an overloaded machine a handler may respond only after ShutdownTimeout. The client must still get that response. A
// handler that never responds must not delay the shutdown beyond ShutdownGracePeriod.
func TestShutdownDeliversLateResponse(t *testing.T) {
	const timeout = 20 // milliseconds
	client := startServer(t, func(server *Server) {
		server.ShutdownTimeout = timeout
		server.ResponseReadTimeout = 60_000
		server.ShutdownGracePeriod = 60_000
	})
	client.sendRequest(1, "page", "0000000000000001")
	call := client.nextCall()
	client.stopServer()
	testwait.Until(t, "the server to start draining", client.closesConnections)
	time.Sleep(10 * timeout * time.Millisecond)
	call.respond(t, router.Response{Outcome: router.Failed})
	client.expect("[1 1 [Error map[]] <nil>]")
	client.awaitServeEnd()

	client = startServer(t, func(server *Server) {
		server.ShutdownTimeout = timeout
		server.ResponseReadTimeout = 60_000
		server.ShutdownGracePeriod = timeout
	})
	client.sendRequest(1, "page", "0000000000000001")
	call = client.nextCall()
	client.stopServer()
	call.awaitCancel(t)
	client.awaitServeEnd()
}

// A message that is partly received when the shutdown starts must be read in full and get a response.
func TestShutdownReadsPartialMessage(t *testing.T) {
	client := startServer(t)
	client.sendRequest(1, "page", "0000000000000001")
	call := client.nextCall()
	text := encodeRequest(2, "page", "0000000000000002")
	client.sendRequest(3, "film", "0000000000000003") // its response shows that the reader has finished this message
	client.Write(text[:9])
	client.expect("[1 3 [Error map[reason:unknown method]] <nil>]")
	client.stopServer()
	call.respond(t, router.Response{Outcome: router.Failed})
	client.expect("[1 1 [Error map[]] <nil>]")
	client.Write(text[9:])
	client.nextCall().respond(t, router.Response{Outcome: router.Failed})
	client.expect("[1 2 [Error map[]] <nil>]")
}

// While an operator drains the server, open requests must get their responses before the connection closes, and a
// client that keeps its connection busy must be rejected after rejectAfter. Rejoin must end the drain.
func TestDrainAndRejoin(t *testing.T) {
	fake := clock.NewFake(1_764_576_000_000)
	rejected := make(chan string, 1)
	client := startServer(t, func(server *Server) {
		server.Clock = fake
		server.OnRejected = func(class string) { rejected <- class }
	})
	client.sendRequest(1, "page", "0000000000000001")
	call := client.nextCall()
	client.Drain()
	if !client.Draining() {
		t.Error("Draining is false after Drain")
	}
	client.sendRequest(2, "page", "0000000000000002") // clients continue to use open connections
	second := client.nextCall()
	fake.Advance(rejectAfter)
	client.sendRequest(3, "page", "0000000000000003")
	client.expect("[1 3 [Full map[cooldown:1000]] <nil>]")
	if class := testwait.Receive(t, rejected, "a rejected request"); class != "page" {
		t.Errorf("OnRejected got class %q", class)
	}
	call.respond(t, router.Response{Outcome: router.Served, Body: []byte("x")})
	client.expect("[1 1 <nil> [[120] map[]]]")
	second.respond(t, router.Response{Outcome: router.Failed})
	client.expect("[1 2 [Error map[]] <nil>]")
	if _, err := client.reader.ReadByte(); err != io.EOF {
		t.Errorf("read after the last response: got %v, want EOF", err)
	}
	client.Rejoin()
	if client.Draining() {
		t.Error("Draining is true after Rejoin")
	}
	rejoined := client.dialAnother()
	rejoined.sendRequest(1, "page", "0000000000000004")
	rejoined.nextCall().respond(t, router.Response{Outcome: router.Failed})
	rejoined.expect("[1 1 [Error map[]] <nil>]")
}

// UpdateClasses must apply to open connections: a new class is accepted and a removed one is unknown.
func TestUpdateClassesOnOpenConnection(t *testing.T) {
	client := startServer(t)
	client.UpdateClasses(map[string]bool{"price": false})
	client.sendRequest(1, "page", "0000000000000001")
	client.expect("[1 1 [Error map[reason:unknown method]] <nil>]")
	client.sendRequest(2, "price", "0000000000000002")
	client.nextCall().respond(t, router.Response{Outcome: router.Failed})
	client.expect("[1 2 [Error map[]] <nil>]")
}

// Unread responses must be limited in number per connection and in total bytes.
func TestUnreadResponsesAreLimited(t *testing.T) {
	server := &Server{MaxQueuedBytes: 100, Clock: &clock.Clock{}}
	c := &conn{server: server, queue: make(chan encodedResponse, 1)}
	respond := func(id uint64, size int) error {
		return c.respond(id, router.Response{Outcome: router.Served, Body: make([]byte, size)})
	}
	if err := respond(1, 80); err != nil {
		t.Fatal(err)
	}
	if err := respond(2, 10); err == nil || server.queuedBytes != 80 {
		t.Errorf("response for a full queue: error %v, %d bytes reserved", err, server.queuedBytes)
	}
	testwait.Receive(t, c.queue, "the first response in the queue")
	if err := respond(3, 30); err != nil || server.queuedBytes != 80 {
		t.Errorf("response above MaxQueuedBytes: error %v, %d bytes reserved", err, server.queuedBytes)
	}
	want := string(appendError(nil, 3, "Error", "reason", "too many answers wait"))
	if text := string(testwait.Receive(t, c.queue, "a response in the queue").parts[0]); text != want {
		t.Errorf("queued response %q", text)
	}
}

// At MaxConns, an idle connection must be evicted for a new one, whether or not its client ever sent a request. A
// connection with a pending response must not be evicted. Otherwise idle clients can hold all connections, and requests
// of other clients are never accepted. This affected 9,000 requests on a day with high connection churn.
func TestIdleConnectionIsEvicted(t *testing.T) {
	client := startServer(t) // MaxConns is 2
	client.sendRequest(1, "page", "0000000000000001")
	client.nextCall().respond(t, router.Response{Outcome: router.Failed})
	client.expect("[1 1 [Error map[]] <nil>]")
	testwait.Until(t, "the response to be counted as written", func() bool { // the client may receive it earlier
		client.Server.mu.Lock()
		defer client.Server.mu.Unlock()
		for c := range client.conns {
			if math.IsInf(c.evictionRank(), 1) {
				return false
			}
		}
		return true
	})
	busy := client.dialAnother()
	busy.sendRequest(1, "page", "0000000000000002")
	busyCall := client.nextCall()
	next := client.dialAnother()
	next.sendRequest(1, "page", "0000000000000003")
	nextCall := client.nextCall()
	// Within half the idle timeout, only eviction can close the connection.
	client.Conn.SetReadDeadline(time.Now().Add(clock.Duration(idleTimeout / 2)))
	var netErr net.Error
	if _, err := client.reader.ReadByte(); err == nil || errors.As(err, &netErr) && netErr.Timeout() {
		t.Errorf("idle connection not evicted (%v)", err)
	}
	if _, err := client.dialAnother().reader.ReadByte(); err == nil {
		t.Error("new connection accepted while all others had pending responses")
	}
	for _, call := range []*handlerCall{busyCall, nextCall} {
		call.respond(t, router.Response{Outcome: router.Failed})
	}
	busy.expect("[1 1 [Error map[]] <nil>]")
	next.expect("[1 1 [Error map[]] <nil>]")
}

// Clients send a request as soon as they connect, and usually close after 4 s without a request. A connection that is
// idle for longer must be closed, but not while a response is unwritten.
func TestIdleTimeout(t *testing.T) {
	fake := clock.NewFake(1000)
	server := &Server{Clock: fake}
	for _, test := range []struct {
		c       *conn
		idleFor float64 // milliseconds
		want    bool
	}{
		{&conn{}, firstMessageTimeout - 1, false},
		{&conn{}, firstMessageTimeout, true},
		{&conn{receivedAny: true}, idleTimeout - 1, false},
		{&conn{receivedAny: true}, idleTimeout, true},
		{&conn{receivedAny: true, unsentResponses: 1}, idleTimeout, false},
	} {
		test.c.server = server
		test.c.idleSince = fake.Now() - test.idleFor
		if got := test.c.isIdleTooLong(); got != test.want {
			t.Errorf("receivedAny %v, %d unsent responses, idle for %v ms: isIdleTooLong = %v",
				test.c.receivedAny, test.c.unsentResponses, test.idleFor, got)
		}
	}
}
