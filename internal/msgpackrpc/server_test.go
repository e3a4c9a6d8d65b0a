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

func TestAnswers(t *testing.T) {
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

// A request that can't be used is answered under its message id, and the connection stays open.
func TestUnusableRequests(t *testing.T) {
	client := startServer(t)
	client.sendRequest(1, "film", "0000000000000001")
	client.expect("[1 1 [Error map[reason:unknown method]] <nil>]")
	client.sendRequest(2, "page", "")
	client.expect("[1 2 [Error map[reason:field ref can't be used]] <nil>]")
	client.sendRequest(3, "report", "0000000000000003")
	client.expect("[1 3 [Error map[reason:field replay can't be used]] <nil>]")
}

// A canceled request gets no response, though its id was open a moment ago.
func TestCancel(t *testing.T) {
	client := startServer(t)
	client.sendRequest(1, "page", "0000000000000001")
	call := client.nextCall()
	client.sendCancel(uint64(1), uint64(99))
	call.awaitCancel(t)
	client.sendRequest(2, "page", "0000000000000002")
	client.nextCall().respond(t, router.Response{Outcome: router.Failed})
	client.expect("[1 2 [Error map[]] <nil>]")
}

// A malformed stream ends that connection and its requests; the next one is served.
func TestMalformed(t *testing.T) {
	sameMessageID := string(encodeRequest(1, "page", "0000000000000002"))
	for _, text := range []string{"\xc1", "GET / HTTP/1.1\r\n\r\n", "\x93\x00\x01\x02", sameMessageID} {
		client := startServer(t)
		client.sendRequest(1, "page", "0000000000000001")
		call := client.nextCall()
		client.Write([]byte(text))
		call.awaitCancel(t)
		if _, err := client.reader.ReadByte(); err == nil {
			t.Errorf("%q: the connection is still open", text)
		}
		next := testwait.Dial(t, client.addr)
		next.Write(encode(nil, []any{uint64(0), uint64(1), "health", []any{}}))
		want := []any{int64(1), int64(1), nil, []any{true, map[string]any{}}}
		if value, err := readMessage(bufio.NewReader(next)); err != nil || !reflect.DeepEqual(value, want) {
			t.Errorf("%q: then %v, %v", text, value, err)
		}
		next.Close()
	}
}

// After the end of accepting, open requests still get their responses, and the connection closes after them.
func TestShutdown(t *testing.T) {
	client := startServer(t)
	client.sendRequest(1, "page", "0000000000000001")
	call := client.nextCall()
	client.stopServer()
	call.respond(t, router.Response{Outcome: router.Served, Body: []byte("x")})
	client.expect("[1 1 <nil> [[120] map[]]]")
	if _, err := client.reader.ReadByte(); err != io.EOF {
		t.Errorf("after the last response: %v", err)
	}
	client.Close()
	client.awaitServeEnd()
}

// The process runs so late that a response is given only after ShutdownTimeout: the client still gets it. One that is
// never given delays the end no longer than ShutdownGracePeriod.
func TestShutdownRunLate(t *testing.T) {
	const timeout = 20 // milliseconds
	client := startServer(t, func(server *Server) {
		server.ShutdownTimeout = timeout
		server.ResponseReadTimeout = 60_000
		server.ShutdownGracePeriod = 60_000
	})
	client.sendRequest(1, "page", "0000000000000001")
	call := client.nextCall()
	client.stopServer()
	testwait.Until(t, "the end of accepting", client.closesConnections)
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

// A message that has begun when accepting ends is read to its end, and gets a response.
func TestShutdownInsideMessage(t *testing.T) {
	client := startServer(t)
	client.sendRequest(1, "page", "0000000000000001")
	call := client.nextCall()
	text := encodeRequest(2, "page", "0000000000000002")
	client.sendRequest(3, "film", "0000000000000003") // its response shows that the reader is past it
	client.Write(text[:9])
	client.expect("[1 3 [Error map[reason:unknown method]] <nil>]")
	client.stopServer()
	call.respond(t, router.Response{Outcome: router.Failed})
	client.expect("[1 1 [Error map[]] <nil>]")
	client.Write(text[9:])
	client.nextCall().respond(t, router.Response{Outcome: router.Failed})
	client.expect("[1 2 [Error map[]] <nil>]")
}

// Drained by an operator: open requests get their responses, and the connection closes after them; a client that keeps
// its connection busy is rejected in time; and after Rejoin all is as before.
func TestDrainUntilRejoin(t *testing.T) {
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
		t.Error("not draining")
	}
	client.sendRequest(2, "page", "0000000000000002") // clients go on using open connections
	second := client.nextCall()
	fake.Advance(rejectAfter)
	client.sendRequest(3, "page", "0000000000000003")
	client.expect("[1 3 [Full map[cooldown:1000]] <nil>]")
	if class := testwait.Receive(t, rejected, "a rejected request"); class != "page" {
		t.Errorf("rejected a request of %q", class)
	}
	call.respond(t, router.Response{Outcome: router.Served, Body: []byte("x")})
	client.expect("[1 1 <nil> [[120] map[]]]")
	second.respond(t, router.Response{Outcome: router.Failed})
	client.expect("[1 2 [Error map[]] <nil>]")
	if _, err := client.reader.ReadByte(); err != io.EOF {
		t.Errorf("after the last response: %v", err)
	}
	client.Rejoin()
	if client.Draining() {
		t.Error("draining after Rejoin")
	}
	again := client.dialAnother()
	again.sendRequest(1, "page", "0000000000000004")
	again.nextCall().respond(t, router.Response{Outcome: router.Failed})
	again.expect("[1 1 [Error map[]] <nil>]")
}

// The classes change while a connection is open: a new one is known at once, one that was removed no longer.
func TestUpdateClasses(t *testing.T) {
	client := startServer(t)
	client.UpdateClasses(map[string]bool{"price": false})
	client.sendRequest(1, "page", "0000000000000001")
	client.expect("[1 1 [Error map[reason:unknown method]] <nil>]")
	client.sendRequest(2, "price", "0000000000000002")
	client.nextCall().respond(t, router.Response{Outcome: router.Failed})
	client.expect("[1 2 [Error map[]] <nil>]")
}

// Responses that nobody reads are bounded, by connection and in bytes.
func TestQueueBounds(t *testing.T) {
	server := &Server{MaxQueuedBytes: 100, Clock: &clock.Clock{}}
	c := &conn{server: server, queue: make(chan encodedResponse, 1)}
	respond := func(id uint64, size int) error {
		return c.respond(id, router.Response{Outcome: router.Served, Body: make([]byte, size)})
	}
	if err := respond(1, 80); err != nil {
		t.Fatal(err)
	}
	if err := respond(2, 10); err == nil || server.queuedBytes != 80 {
		t.Errorf("a full queue takes another response: %v, %d bytes reserved", err, server.queuedBytes)
	}
	testwait.Receive(t, c.queue, "the first response in the queue")
	if err := respond(3, 30); err != nil || server.queuedBytes != 80 {
		t.Errorf("%v, %d bytes reserved", err, server.queuedBytes)
	}
	want := string(appendError(nil, 3, "Error", "reason", "too many answers wait"))
	if text := string(testwait.Receive(t, c.queue, "a response in the queue").parts[0]); text != want {
		t.Errorf("%q", text)
	}
}

// A client that sent one request and keeps its connection open, or never sends anything, is evicted for a new one; a
// connection on which a response is due is not. On a churn day such clients held all connections, and 9,000 requests of
// others were never accepted.
func TestIdleConnectionIsEvicted(t *testing.T) {
	client := startServer(t) // for two connections
	client.sendRequest(1, "page", "0000000000000001")
	client.nextCall().respond(t, router.Response{Outcome: router.Failed})
	client.expect("[1 1 [Error map[]] <nil>]")
	testwait.Until(t, "the response to be counted as written", func() bool { // the client may have it a moment before
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
	// Half the idle limit: a connection closed only for being idle would still be open then.
	client.Conn.SetReadDeadline(time.Now().Add(clock.Duration(idleTimeout / 2)))
	var netErr net.Error
	if _, err := client.reader.ReadByte(); err == nil || errors.As(err, &netErr) && netErr.Timeout() {
		t.Errorf("the idle connection is still open (%v)", err)
	}
	if _, err := client.dialAnother().reader.ReadByte(); err == nil {
		t.Error("a connection was accepted while responses were due on all")
	}
	for _, call := range []*handlerCall{busyCall, nextCall} {
		call.respond(t, router.Response{Outcome: router.Failed})
	}
	busy.expect("[1 1 [Error map[]] <nil>]")
	next.expect("[1 1 [Error map[]] <nil>]")
}

// Clients usually close after 4 s without a request, and send one as soon as they connect: one that is silent for
// longer is closed, but not while a response is still being written.
func TestIdle(t *testing.T) {
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
			t.Errorf("received any %v, %d unsent, after %v ms: idle too long %v",
				test.c.receivedAny, test.c.unsentResponses, test.idleFor, got)
		}
	}
}
