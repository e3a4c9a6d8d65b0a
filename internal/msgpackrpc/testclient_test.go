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

// testClient is the client side of a connection to a server. The test also acts as the server's handler, through
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

// handlerCall is a call of the server's Handle that waits for the test's response.
type handlerCall struct {
	router.Request
	ctx      context.Context
	response chan router.Response
}

// startServer runs a server until the end of the test, with MaxConns 2, and returns a client that is connected to it.
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
	t.Cleanup(func() { // no goroutine may outlive the test
		stop()
		client.Close()
		testwait.Receive(t, served, "the end of Serve")
	})
	return client
}

// handle is the server's Handle. It waits for the test's response or the end of ctx.
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

// dialAnother returns another client of the same server.
func (c *testClient) dialAnother() *testClient {
	c.t.Helper()
	netConn := testwait.Dial(c.t, c.addr)
	return &testClient{t: c.t, Conn: netConn, reader: bufio.NewReader(netConn), handlerCalls: c.handlerCalls}
}

// nextCall waits for the next call of the handler.
func (c *testClient) nextCall() *handlerCall {
	c.t.Helper()
	return testwait.Receive(c.t, c.handlerCalls, "a request at the handler")
}

// awaitServeEnd waits until Serve returns, and fails the test if it returns an error.
func (c *testClient) awaitServeEnd() {
	c.t.Helper()
	if err := testwait.Receive(c.t, c.serveResult, "the end of Serve"); err != nil {
		c.t.Error(err)
	}
}

// respond makes the handler return a response.
func (h *handlerCall) respond(t *testing.T, response router.Response) {
	t.Helper()
	testwait.Send(t, h.response, response, "the response to "+h.ID)
}

// awaitCancel waits until the handler's context ends.
func (h *handlerCall) awaitCancel(t *testing.T) {
	t.Helper()
	testwait.Receive(t, h.ctx.Done(), "the end of the context of request "+h.ID)
}

// readMessage reads one message without a limit that messages share.
func readMessage(reader *bufio.Reader) (any, error) {
	return newDecoder(reader, maxMessageSize, maxStringSize, nil).readMessage()
}

// encodeRequest encodes a request with the required fields.
func encodeRequest(id uint64, method, ref string) []byte {
	fields := map[string]any{"ref": ref, "allow": "1500"}
	return encode(nil, []any{uint64(0), id, method, []any{fields, []byte(nil)}})
}

// sendRequest sends a request with the required fields.
func (c *testClient) sendRequest(id uint64, method, ref string) {
	c.Write(encodeRequest(id, method, ref))
}

// sendHealthRequest sends a health request as message 1.
func (c *testClient) sendHealthRequest() {
	c.Write(encode(nil, []any{uint64(0), uint64(1), "health", []any{map[string]any{}}}))
}

// sendCancel sends a notification that cancels requests.
func (c *testClient) sendCancel(ids ...any) { c.Write(encode(nil, []any{uint64(2), "cancel", ids})) }

// expect reads the next response and compares its formatted value with want.
func (c *testClient) expect(want string) {
	c.t.Helper()
	value, err := readMessage(c.reader)
	if got := fmt.Sprintf("%v", value); err != nil || got != want {
		c.t.Fatalf("got %s (%v), want %s", got, err, want)
	}
}
