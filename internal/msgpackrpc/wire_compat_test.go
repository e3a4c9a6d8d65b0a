package msgpackrpc

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"reflect"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"

	"spantack/internal/clock"
	"spantack/internal/router"
	"spantack/internal/testfixture"
)

// wireFixture holds one recorded message per line, in the format that clients use. Clients depend on these bytes, so
// the lines must not be changed to match the program.
const wireFixture = "testdata/wire_compat.txt"

// wantBytes compares written bytes with the named line of the fixture.
func wantBytes(t *testing.T, name, got string) {
	t.Helper()
	if want := testfixture.QuotedLines(t, wireFixture)[name]; got != want || want == "" {
		t.Errorf("%s: wrote %+q", name, got)
	}
}

// fullRequest returns a request with a value in each field that a client can send.
func fullRequest() router.Request {
	return router.Request{ID: "9b1f00000000c0de", Class: "report", Object: "7f3a9c21e0b4d655", Chunk: 3, PurgeGroup: 17,
		SizeKB: 6.5, IdempotencyKey: "key-1", ClientETag: "tag.2", ClientTimeout: 1500, Body: []byte("\x00body\xff")}
}

// serverConn is a server's connection without reader and writer. Messages are passed to handle, and responses stay in
// the queue.
type serverConn struct {
	*conn
	handled chan router.Request // requests passed to the server's Handle
}

// newServerConn returns a connection of a server whose handler returns the given response.
func newServerConn(response router.Response) serverConn {
	handled := make(chan router.Request, 1)
	s := &Server{IsReady: func() bool { return true }, KeyRequired: map[string]bool{"page": false, "report": true},
		MaxQueuedBytes: 1 << 20, Clock: clock.NewFake(1e6), Log: zerolog.Nop(),
		Handle: func(_ context.Context, q router.Request) router.Response {
			handled <- q
			return response
		}}
	return serverConn{newConn(s, nil), handled}
}

// handle passes the bytes of one message to the server and returns the bytes of the response, or "" if there is none.
func (c serverConn) handle(t *testing.T, text string) string {
	t.Helper()
	v, err := readMessage(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		t.Fatalf("%+q: %v", text, err)
	}
	m, err := parseMessage(v)
	if err != nil {
		t.Fatalf("%+q: %v", text, err)
	}
	var requests sync.WaitGroup
	if err := c.handleMessage(t.Context(), m, 0, &requests); err != nil {
		t.Fatalf("%+q: %v", text, err)
	}
	requests.Wait()
	select {
	case encoded := <-c.queue:
		return string(bytes.Join(encoded.parts, nil))
	default:
		return ""
	}
}

// Requests in each recorded encoding must be parsed to the recorded values.
func TestRequestWireCompat(t *testing.T) {
	recorded := testfixture.QuotedLines(t, wireFixture)
	full := fullRequest()
	bare := router.Request{ID: "0000000000000001", Class: "page", ClientTimeout: 1}
	text := router.Request{ID: "0000000000000001", Class: "page", ClientTimeout: 1, Body: []byte("text")}
	for name, want := range map[string]router.Request{
		"request with all fields":               full,
		"request with the least, no body":       bare,
		"request with a body that is a string":  text,
		"request with wide numbers and lengths": text,
	} {
		t.Run(name, func(t *testing.T) {
			c := newServerConn(router.Response{Outcome: router.Failed})
			c.handle(t, recorded[name])
			got := <-c.handled
			got.ClientDeparted = nil
			if len(want.Body) == 0 {
				got.Body = nil
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("parsed %+v, want %+v", got, want)
			}
		})
	}
}

// A recorded cancel message must cancel the request's context and get no response.
func TestCancelWireCompat(t *testing.T) {
	c := newServerConn(router.Response{})
	isCanceled := false
	c.openRequests[1] = &openRequest{cancel: func() { isCanceled = true }}
	got := c.handle(t, testfixture.QuotedLines(t, wireFixture)["cancel of message 1"])
	if got != "" || !isCanceled || len(c.openRequests) != 0 {
		t.Errorf("response %+q, canceled %v, open requests %v", got, isCanceled, c.openRequests)
	}
}

// Responses for each outcome of a request must have the recorded bytes.
func TestResponseWireCompat(t *testing.T) {
	for name, r := range map[string]router.Response{
		"served":                     {Outcome: router.Served, Body: []byte("\x00body\xff")},
		"served, body of 300 bytes":  {Outcome: router.Served, Body: bytes.Repeat([]byte("x"), 300)},
		"served, client's own copy":  {Outcome: router.Served, NotModified: true},
		"refused, retry after 99.6":  {Outcome: router.Rejected, RetryAfter: 99.6},
		"refused, retry after 12345": {Outcome: router.Rejected, RetryAfter: 12345},
		"failed":                     {Outcome: router.Failed},
	} {
		t.Run(name, func(t *testing.T) {
			wantBytes(t, name, newServerConn(r).handle(t, testfixture.QuotedLines(t, wireFixture)["request with all fields"]))
		})
	}
	t.Run("none", func(t *testing.T) {
		c := newServerConn(router.Response{Outcome: router.NoResponse})
		if got := c.handle(t, testfixture.QuotedLines(t, wireFixture)["request with all fields"]); got != "" {
			t.Errorf("outcome NoResponse: wrote %+q", got)
		}
	})
}

// Responses that the server generates itself, and not from a handler's response, must have the recorded bytes.
func TestGeneratedResponseWireCompat(t *testing.T) {
	notReady := func(s *Server) { s.IsReady = func() bool { return false } }
	for name, c := range map[string]struct {
		message string
		set     func(*Server)
	}{
		"health, ready":     {"health request", func(*Server) {}},
		"health, not ready": {"health request", notReady},
		"unknown method": {"request with all fields", func(s *Server) {
			delete(s.KeyRequired,
				"report")
		}},
		"field that can't be used":                {"request without its ref", func(*Server) {}},
		"full":                                    {"request with all fields", func(s *Server) { s.MaxQueuedBytes = 1 }},
		"drained":                                 {"request with all fields", func(s *Server) { s.draining = true }},
		"too many answers wait":                   {"request with all fields", nil},
		"health, message id 200":                  {"health request, id 200", func(*Server) {}},
		"health, message id 60000":                {"health request, id 60000", func(*Server) {}},
		"health, message id 4000000000":           {"health request, id 4000000000", func(*Server) {}},
		"health, message id 18446744073709551615": {"health request, id 18446744073709551615", func(*Server) {}},
	} {
		t.Run(name, func(t *testing.T) {
			sc := newServerConn(router.Response{Outcome: router.Served, Body: make([]byte, 100)})
			if c.set != nil {
				c.set(sc.server)
			} else { // capacity for the request, but not for its response
				sc.server.MaxQueuedBytes = requestOverhead + int64(len(fullRequest().Body)) + 99
			}
			wantBytes(t, name, sc.handle(t, testfixture.QuotedLines(t, wireFixture)[c.message]))
		})
	}
}

// recordingConn records the bytes written to it.
type recordingConn struct {
	net.Conn
	data bytes.Buffer
}

func (c *recordingConn) Write(b []byte) (int, error) { return c.data.Write(b) }

// Client must write the recorded bytes, and a cancel message after a request whose context has ended.
func TestClientWriteWireCompat(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for name, do := range map[string]func(*Client) error{
		"request with all fields": func(c *Client) error { _, err := c.Do(ctx, fullRequest()); return err },
		"request with the least, no body": func(c *Client) error {
			_, err := c.Do(ctx, router.Request{ID: "0000000000000001", Class: "page", ClientTimeout: 1})
			return err
		},
		"health request": func(c *Client) error { _, err := c.Ready(ctx); return err },
	} {
		t.Run(name, func(t *testing.T) {
			w := &recordingConn{}
			err := do(&Client{conn: w, openCalls: map[uint64]chan result{}})
			if !errors.Is(err, context.Canceled) {
				t.Fatal(err)
			}
			request, found := strings.CutSuffix(w.data.String(), testfixture.QuotedLines(t, wireFixture)["cancel of message 1"])
			if !found {
				t.Errorf("no cancel message after the request: %+q", w.data.String())
			}
			// Client also writes number fields that are 0. The server accepts requests with and without them.
			if name == "request with the least, no body" {
				name = "request of the client with the least"
			}
			wantBytes(t, name, request)
		})
	}
}

// Client must parse the recorded responses to the recorded values.
func TestClientReadWireCompat(t *testing.T) {
	for name, want := range map[string]result{
		"served":                     {response: router.Response{Outcome: router.Served, Body: []byte("\x00body\xff")}},
		"served, client's own copy":  {response: router.Response{Outcome: router.Served, Body: []byte{}, NotModified: true}},
		"refused, retry after 12345": {response: router.Response{Outcome: router.Rejected, RetryAfter: 12345}},
		"failed":                     {response: router.Response{Outcome: router.Failed}},
		"unknown method":             {response: router.Response{Outcome: router.Failed}},
		"full":                       {response: router.Response{Outcome: router.Rejected, RetryAfter: 100}},
		"drained":                    {response: router.Response{Outcome: router.Rejected, RetryAfter: 1000}},
		"health, ready":              {isReady: true},
		"health, not ready":          {},
	} {
		t.Run(name, func(t *testing.T) {
			v, err := readMessage(bufio.NewReader(strings.NewReader(testfixture.QuotedLines(t, wireFixture)[name])))
			done := make(chan result, 1)
			c := &Client{openCalls: map[uint64]chan result{1: done}}
			if err == nil {
				err = c.deliver(v)
			}
			if err != nil || len(done) != 1 {
				t.Fatalf("%d results (%v)", len(done), err)
			}
			if got := <-done; !reflect.DeepEqual(got, want) {
				t.Errorf("read %+v, want %+v", got, want)
			}
		})
	}
}
