package msgpackrpc

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"

	"spantack/internal/router"
	"spantack/internal/testwait"
)

// endlessMessages are requests whose parameters never end: the values that follow the header of the request, over and
// over. Each is valid MessagePack as far as it goes.
var endlessMessages = map[string]string{
	"empty maps in arrays":   "\xdc\x00\x40" + strings.Repeat("\x9f"+strings.Repeat("\x80", 15), 64),
	"empty arrays":           "\xdc\x00\x40" + strings.Repeat("\x90", 64),
	"small integers":         "\xdc\x00\x40" + strings.Repeat("\x01", 64),
	"integers of 64 bits":    "\xdc\x00\x40" + strings.Repeat("\xcf\x7f\xff\xff\xff\xff\xff\xff\xff", 64),
	"nil":                    "\xdc\x00\x40" + strings.Repeat("\xc0", 64),
	"empty strings":          "\xdc\x00\x40" + strings.Repeat("\xa0", 64),
	"strings of one byte":    "\xdc\x00\x40" + strings.Repeat("\xa1x", 64),
	"empty bodies":           "\xdc\x00\x40" + strings.Repeat("\xc4\x00", 64),
	"maps of one pair":       "\xdc\x00\x40" + strings.Repeat("\x81\xa1k\x01", 64),
	"maps of nine pairs":     "\xdc\x00\x40" + strings.Repeat("\x89"+shortPairs(9), 64),
	"maps of 64 pairs":       "\xdc\x00\x40" + strings.Repeat("\xde\x00\x40"+shortPairs(64), 64),
	"strings of 1,000 bytes": "\xdc\x00\x40" + strings.Repeat("\xda\x03\xe8"+strings.Repeat("x", 1000), 64),
}

// shortPairs encodes n pairs of a map, with keys of two bytes.
func shortPairs(n int) string {
	var pairs strings.Builder
	for i := range n {
		fmt.Fprintf(&pairs, "\xa2%02d\x01", i)
	}
	return pairs.String()
}

// endlessMessage returns n bytes of a request with endless parameters.
func endlessMessage(values string, n int) []byte {
	const header = "\x94\x00\x01\xa4page\xdc\x00\x40"
	return []byte((header + strings.Repeat(values, n/len(values)+1))[:n])
}

// stallingReader returns its bytes, announces that they are read, and then blocks until resume is closed.
type stallingReader struct {
	*bytes.Reader
	drained chan<- struct{}
	resume  <-chan struct{}
}

// Read implements io.Reader. The stream ends after the stall.
func (s *stallingReader) Read(b []byte) (int, error) {
	if s.Len() == 0 {
		s.drained <- struct{}{}
		<-s.resume
	}
	return s.Reader.Read(b)
}

// liveHeap returns the bytes of reachable heap memory.
func liveHeap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Guards against endless messages that take more and more memory, because values of one byte counted as nothing. Each
// must be refused, and the memory of all messages together must stay within the bound of messageMemory when the
// connections stall just before that.
func TestEndlessMessagesStayWithinTheirMemory(t *testing.T) {
	const (
		messages = 200
		// testBytes is the memory of the test's own goroutine for a message: its buffers and readers.
		testBytes = 2 << 10
		maxSent   = 1 << 20
	)
	for name, values := range endlessMessages {
		t.Run(name, func(t *testing.T) {
			sent := endlessMessage(values, maxSent)
			unread := bytes.NewReader(sent)
			if _, err := readMessage(bufio.NewReaderSize(unread, 16)); !errors.Is(err, errMalformed) {
				t.Fatalf("%d bytes: got %v, want a malformed message", maxSent, err)
			}
			accepted := sent[:maxSent-unread.Len()-16]
			drained := make(chan struct{}, messages)
			resume := make(chan struct{})
			ended := make(chan error, messages)
			before := liveHeap()
			for range messages {
				go func() {
					_, err := readMessage(bufio.NewReaderSize(&stallingReader{bytes.NewReader(accepted), drained, resume}, 16))
					ended <- err
				}()
			}
			for range messages {
				testwait.Receive(t, drained, "a message to stall")
			}
			used := (liveHeap() - before) / messages
			close(resume)
			for range messages {
				if err := testwait.Receive(t, ended, "the end of a message"); err != io.ErrUnexpectedEOF {
					t.Errorf("after the stall: got %v, want an unexpected end", err)
				}
			}
			if used > maxSmallValues+testBytes {
				t.Errorf("%d bytes for a message of %d bytes, want at most %d", used, len(accepted), maxSmallValues)
			}
		})
	}
}

// Guards against limits that refuse what clients send: a map of 64 pairs with short strings and a body of 48,000 bytes.
func TestLargestUsualMessageIsRead(t *testing.T) {
	fields := map[string]any{}
	for i := range maxItems {
		fields[fmt.Sprintf("field-%02d", i)] = strings.Repeat("v", 32)
	}
	message := []any{uint64(0), uint64(1), "page", []any{fields, bytes.Repeat([]byte("b"), 48_000)}}
	if _, err := readMessage(bufio.NewReader(bytes.NewReader(encode(nil, message)))); err != nil {
		t.Error(err)
	}
}

// reservedBytes returns the reserved part of MaxQueuedBytes.
func (c *testClient) reservedBytes() int64 { return c.Stats().ReservedBytes }

// Guards against the memory of unfinished bodies, which was not part of MaxQueuedBytes: many clients that stall within
// a body could hold any amount. A header alone must not reserve a whole body. Once the limit is reached, a request must
// be rejected after its body has been read, and the connection must stay usable. The reservations must end with the
// connections.
func TestUnfinishedBodiesShareTheQueueLimit(t *testing.T) {
	const (
		clients  = 16
		limit    = 4 * maxStringSize
		bodySize = 40_000
	)
	client := startServer(t, func(server *Server) {
		server.MaxConns = clients + 1
		server.MaxQueuedBytes = limit
	})
	body := bytes.Repeat([]byte("b"), bodySize)
	fields := map[string]any{"ref": "9b1f03aa5c7e2d41", "allow": "1500"}
	whole := encode(nil, []any{uint64(0), uint64(1), "page", []any{fields, body}})
	var stalled []*testClient
	for range clients {
		other := client.dialAnother()
		other.Write(whole[:len(whole)-bodySize+1])
		stalled = append(stalled, other)
	}
	testwait.Until(t, "the reservations of the first bytes", func() bool {
		return client.reservedBytes() >= clients*firstReadSize
	})
	if reserved := client.reservedBytes(); reserved > clients*firstReadSize {
		t.Errorf("%d bytes reserved after one byte of each body, want at most %d", reserved, clients*firstReadSize)
	}
	for _, other := range stalled {
		other.Write(whole[len(whole)-bodySize+1 : len(whole)-1])
	}
	testwait.Until(t, "most of the limit to be reserved", func() bool {
		return client.reservedBytes() > limit-bodySize
	})
	if reserved := client.reservedBytes(); reserved > limit {
		t.Errorf("%d bytes reserved, want at most %d", reserved, limit)
	}
	client.Write(whole)
	client.expect("[1 1 [Full map[cooldown:100]] <nil>]")
	for _, other := range stalled {
		other.Close()
	}
	testwait.Until(t, "the end of all reservations", func() bool { return client.reservedBytes() == 0 })
	client.sendRequest(2, "page", "9b1f03aa5c7e2d41")
	client.nextCall().respond(t, router.Response{Outcome: router.Served, Body: []byte("x")})
	client.expect("[1 2 <nil> [[120] map[]]]")
}
