package msgpackrpc

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/rs/zerolog"

	"spantack/internal/clock"
	"spantack/internal/router"
	"spantack/internal/testwait"
)

// testClient is the client's side of a connection to a server. The test is the handler of its requests too, by way of
// handlerCalls.
type testClient struct {
	t *testing.T
	net.Conn
	reader       *bufio.Reader
	handlerCalls chan *handlerCall
	stopServer   context.CancelFunc
	serveResult  chan error
	addr         string
	*Server
}

// handlerCall is a call of the server's Handle that waits for its response.
type handlerCall struct {
	router.Request
	ctx      context.Context
	response chan router.Response
}

// startServer serves until the end of the test, with room for two connections, and returns a client of it.
func startServer(t *testing.T, setup ...func(*Server)) *testClient {
	t.Helper()
	listener := testwait.Listen(t)
	client := &testClient{
		t:            t,
		handlerCalls: make(chan *handlerCall, 4),
		serveResult:  make(chan error, 1),
		addr:         listener.Addr().String(),
	}
	client.Server = &Server{
		Handle:          client.handle,
		IsReady:         func() bool { return true },
		KeyRequired:     map[string]bool{"page": false, "report": true},
		MaxConns:        2,
		MaxQueuedBytes:  1 << 20,
		ShutdownTimeout: 60_000,
		Clock:           &clock.Clock{},
		Log:             zerolog.Nop(),
	}
	for _, set := range setup {
		set(client.Server)
	}
	ctx, stop := context.WithCancel(context.Background())
	client.stopServer = stop
	served := make(chan struct{})
	go func() {
		defer close(served)
		client.serveResult <- client.Serve(ctx, listener)
	}()
	client.Conn = testwait.Dial(t, client.addr)
	client.reader = bufio.NewReader(client.Conn)
	t.Cleanup(func() { // nothing of one test runs on into the next
		stop()
		client.Close()
		testwait.Receive(t, served, "the end of Serve")
	})
	return client
}

// handle is the server's Handle: the test gives the response.
func (c *testClient) handle(ctx context.Context, request router.Request) router.Response {
	call := &handlerCall{request, ctx, make(chan router.Response)}
	c.handlerCalls <- call
	select {
	case response := <-call.response:
		return response
	case <-ctx.Done():
		return router.Response{}
	}
}

// dialAnother returns a further client of the same server.
func (c *testClient) dialAnother() *testClient {
	c.t.Helper()
	netConn := testwait.Dial(c.t, c.addr)
	return &testClient{t: c.t, Conn: netConn, reader: bufio.NewReader(netConn), handlerCalls: c.handlerCalls}
}

// nextCall returns the next request that comes to the handler.
func (c *testClient) nextCall() *handlerCall {
	c.t.Helper()
	return testwait.Receive(c.t, c.handlerCalls, "a request at the handler")
}

// awaitServeEnd waits for the end of Serve, which must be without an error.
func (c *testClient) awaitServeEnd() {
	c.t.Helper()
	if err := testwait.Receive(c.t, c.serveResult, "the end of Serve"); err != nil {
		c.t.Error(err)
	}
}

// respond ends a request at the handler.
func (h *handlerCall) respond(t *testing.T, response router.Response) {
	t.Helper()
	testwait.Send(t, h.response, response, "the response to "+h.ID)
}

// awaitCancel waits until the handler of a request is notified that its client no longer waits.
func (h *handlerCall) awaitCancel(t *testing.T) {
	t.Helper()
	testwait.Receive(t, h.ctx.Done(), "the end of "+h.ID)
}

// encodeRequest encodes a request as a client does, with the fields that each must have.
func encodeRequest(id uint64, method, ref string) []byte {
	fields := map[string]any{"ref": ref, "allow": "1500"}
	return encode(nil, []any{uint64(0), id, method, []any{fields, []byte(nil)}})
}

// sendRequest sends a request with the fields that each must have.
func (c *testClient) sendRequest(id uint64, method, ref string) {
	c.Write(encodeRequest(id, method, ref))
}

// sendHealthRequest sends a health request as message 1.
func (c *testClient) sendHealthRequest() {
	c.Write(encode(nil, []any{uint64(0), uint64(1), "health", []any{map[string]any{}}}))
}

// sendCancel sends a notification that gives up requests.
func (c *testClient) sendCancel(ids ...any) { c.Write(encode(nil, []any{uint64(2), "cancel", ids})) }

// expect reads the next response and compares its text.
func (c *testClient) expect(want string) {
	c.t.Helper()
	value, err := readMessage(c.reader)
	if got := fmt.Sprintf("%v", value); err != nil || got != want {
		c.t.Fatalf("got %s (%v), want %s", got, err, want)
	}
}
