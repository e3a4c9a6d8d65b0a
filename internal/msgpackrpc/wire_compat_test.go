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

// wireFixture holds recorded messages, a line each: as the program of commit e67ffc3 wrote or read them. Clients rely
// on them, so no line is ever changed to suit a program.
const wireFixture = "testdata/wire_compat.txt"

func wantBytes(t *testing.T, name, got string) {
	t.Helper()
	if want := testfixture.QuotedLines(t, wireFixture)[name]; got != want || want == "" {
		t.Errorf("%s: wrote %+q", name, got)
	}
}

// every is a request with all that a client can say.
func every() router.Request {
	return router.Request{ID: "9b1f00000000c0de", Class: "report", Object: "7f3a9c21e0b4d655", Chunk: 3, PurgeGroup: 17,
		SizeKB: 6.5, IdempotencyKey: "key-1", ClientETag: "tag.2", ClientTimeout: 1500, Body: []byte("\x00body\xff")}
}

// serverConn is a connection of a server on which messages are handled one by one; its answers stay in the queue.
type serverConn struct {
	*conn
	asked chan router.Request
}

func newServerConn(end router.Response) serverConn {
	asked := make(chan router.Request, 1)
	s := &Server{IsReady: func() bool { return true }, KeyRequired: map[string]bool{"page": false, "report": true},
		MaxQueuedBytes: 1 << 20, Clock: clock.NewFake(1e6), Log: zerolog.Nop(),
		Handle: func(_ context.Context, q router.Request) router.Response {
			asked <- q
			return end
		}}
	return serverConn{&conn{server: s, openRequests: map[uint64]*openRequest{}, queue: make(chan encodedResponse, 4)},
		asked}
}

// handle hands the bytes of one message to the server and returns those of its answer, if there is one.
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
	case a := <-c.queue:
		return string(bytes.Join(a.parts, nil))
	default:
		return ""
	}
}

// Each form of request that clients send is read to the values it had.
func TestRequestsCompat(t *testing.T) {
	recorded := testfixture.QuotedLines(t, wireFixture)
	all := every()
	bare := router.Request{ID: "0000000000000001", Class: "page", ClientTimeout: 1}
	text := router.Request{ID: "0000000000000001", Class: "page", ClientTimeout: 1, Body: []byte("text")}
	for name, want := range map[string]router.Request{
		"request with all fields":               all,
		"request with the least, no body":       bare,
		"request with a body that is a string":  text,
		"request with wide numbers and lengths": text,
	} {
		t.Run(name, func(t *testing.T) {
			c := newServerConn(router.Response{Outcome: router.Failed})
			c.handle(t, recorded[name])
			got := <-c.asked
			got.ClientDeparted = nil
			if len(want.Body) == 0 {
				got.Body = nil
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("read %+v, want %+v", got, want)
			}
		})
	}
}

// A cancelled request has no answer, and its handler is told.
func TestCancelCompat(t *testing.T) {
	c := newServerConn(router.Response{})
	told := false
	c.openRequests[1] = &openRequest{cancel: func() { told = true }}
	got := c.handle(t, testfixture.QuotedLines(t, wireFixture)["cancel of message 1"])
	if got != "" || !told || len(c.openRequests) != 0 {
		t.Errorf("answer %+q, told %v, open %v", got, told, c.openRequests)
	}
}

// What the server writes for each way a request can end.
func TestAnswersCompat(t *testing.T) {
	for name, a := range map[string]router.Response{
		"served":                     {Outcome: router.Served, Body: []byte("\x00body\xff")},
		"served, body of 300 bytes":  {Outcome: router.Served, Body: bytes.Repeat([]byte("x"), 300)},
		"served, client's own copy":  {Outcome: router.Served, NotModified: true},
		"refused, retry after 99.6":  {Outcome: router.Rejected, RetryAfter: 99.6},
		"refused, retry after 12345": {Outcome: router.Rejected, RetryAfter: 12345},
		"failed":                     {Outcome: router.Failed},
	} {
		t.Run(name, func(t *testing.T) {
			wantBytes(t, name, newServerConn(a).handle(t, testfixture.QuotedLines(t, wireFixture)["request with all fields"]))
		})
	}
	t.Run("none", func(t *testing.T) {
		c := newServerConn(router.Response{Outcome: router.NoResponse})
		if got := c.handle(t, testfixture.QuotedLines(t, wireFixture)["request with all fields"]); got != "" {
			t.Errorf("a client that has left was written %+q", got)
		}
	})
}

// What the server writes of its own.
func TestServersOwnAnswersCompat(t *testing.T) {
	unready := func(s *Server) { s.IsReady = func() bool { return false } }
	for name, c := range map[string]struct {
		message string
		set     func(*Server)
	}{
		"health, ready":     {"health request", func(*Server) {}},
		"health, not ready": {"health request", unready},
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
			} else { // room for the request, and none for its answer
				sc.server.MaxQueuedBytes = requestOverhead + int64(len(every().Body)) + 99
			}
			wantBytes(t, name, sc.handle(t, testfixture.QuotedLines(t, wireFixture)[c.message]))
		})
	}
}

// written is a connection that keeps what is written to it.
type written struct {
	net.Conn
	text bytes.Buffer
}

func (w *written) Write(b []byte) (int, error) { return w.text.Write(b) }

// What the client writes: each message as one, and the cancel behind the request that was given up.
func TestClientCompat(t *testing.T) {
	given, up := context.WithCancel(t.Context())
	up()
	for name, do := range map[string]func(*Client) error{
		"request with all fields": func(c *Client) error { _, err := c.Do(given, every()); return err },
		"request with the least, no body": func(c *Client) error {
			_, err := c.Do(given, router.Request{ID: "0000000000000001", Class: "page", ClientTimeout: 1})
			return err
		},
		"health request": func(c *Client) error { _, err := c.Ready(given); return err },
	} {
		t.Run(name, func(t *testing.T) {
			w := &written{}
			err := do(&Client{conn: w, openCalls: map[uint64]chan result{}})
			if !errors.Is(err, context.Canceled) {
				t.Fatal(err)
			}
			request, found := strings.CutSuffix(w.text.String(), testfixture.QuotedLines(t, wireFixture)["cancel of message 1"])
			if !found {
				t.Errorf("no cancel behind the request: %+q", w.text.String())
			}
			if name == "request with the least, no body" { // the client puts the numbers in always; servers read both forms
				name = "request of the client with the least"
			}
			wantBytes(t, name, request)
		})
	}
}

// What the client reads the answers as.
func TestClientReadsCompat(t *testing.T) {
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
				t.Fatalf("%d answers (%v)", len(done), err)
			}
			if got := <-done; !reflect.DeepEqual(got, want) {
				t.Errorf("read %+v, want %+v", got, want)
			}
		})
	}
}
