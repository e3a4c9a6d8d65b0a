package msgpackrpc

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"

	"spantack/internal/clock"
	"spantack/internal/router"
)

// The most that an answer to a client may hold: an object has 240,000 bytes.
const (
	maxResponseBody = 256 << 10
	maxResponse     = maxResponseBody + 4<<10
)

// ErrClosed is what a call ends with whose connection broke: the request may have run.
var ErrClosed = errors.New("connection closed")

// Client is one connection to a request router, for other programs: many calls open at once, answers in any order. It
// is safe for concurrent use.
type Client struct {
	conn net.Conn

	mu        sync.Mutex
	lastID    uint64
	openCalls map[uint64]chan result
	closed    bool
}

type result struct {
	response router.Response
	isReady  bool
	err      error
}

// Dial opens a connection within ms milliseconds.
func Dial(addr string, ms float64) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, clock.Duration(ms))
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, openCalls: map[uint64]chan result{}}
	go c.read()
	return c, nil
}

// Close ends the connection and all calls open on it.
func (c *Client) Close() error { return c.conn.Close() }

// Do sends a request and waits for its answer. When ctx ends first the router is told, and no answer is owed.
func (c *Client) Do(ctx context.Context, q router.Request) (router.Response, error) {
	pairs := []string{"ref", q.ID, "allow", strconv.FormatFloat(q.ClientTimeout, 'f', 0, 64)}
	for _, f := range [][2]string{{"replay", q.IdempotencyKey}, {"lookup", q.Object}, {"block", strconv.FormatInt(q.Chunk, 10)},
		{"family", strconv.FormatInt(q.PurgeGroup, 10)}, {"room", strconv.FormatFloat(q.SizeKB, 'f', -1, 64)}, {"cached", q.ClientETag}} {
		if f[1] != "" {
			pairs = append(pairs, f[0], f[1])
		}
	}
	r, err := c.call(ctx, q.Class, pairs, q.Body)
	return r.response, err
}

// Ready asks whether the router has taken in what was known at its start.
func (c *Client) Ready(ctx context.Context) (bool, error) {
	r, err := c.call(ctx, "health", nil, nil)
	return r.isReady, err
}

func (c *Client) call(ctx context.Context, method string, pairs []string, body []byte) (result, error) {
	done := make(chan result, 1)
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return result{}, ErrClosed
	}
	c.lastID++
	id := c.lastID
	c.openCalls[id] = done
	c.mu.Unlock()
	buf := appendString(appendUint([]byte{0x94, kindRequest}, id), method)
	if method == "health" {
		buf = appendFields(append(buf, 0x91), pairs...)
	} else {
		buf = appendFields(append(buf, 0x92), pairs...)
		buf = append(appendBinaryHeader(buf, len(body)), body...)
	}
	if _, err := c.conn.Write(buf); err != nil { // one Write is one message: net.Conn keeps them apart
		c.forget(id)
		return result{}, fmt.Errorf("%w: %w", ErrClosed, err)
	}
	select {
	case r := <-done:
		return r, r.err
	case <-ctx.Done():
		c.forget(id)
		buf := appendString([]byte{0x93, kindNotification}, "cancel")
		_, _ = c.conn.Write(appendUint(append(buf, 0x91), id)) // on a broken connection the request is given up anyway
		return result{}, ctx.Err()
	}
}

func (c *Client) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.openCalls, id)
}

func (c *Client) read() {
	in := bufio.NewReader(c.conn)
	for {
		d := decoder{reader: in, remaining: maxResponse, maxLength: maxResponseBody}
		v, err := d.readValue(0)
		if err == nil {
			err = c.deliver(v)
		}
		if err != nil {
			c.conn.Close()
			c.mu.Lock()
			c.closed = true
			for id, done := range c.openCalls {
				delete(c.openCalls, id)
				done <- result{err: fmt.Errorf("%w: %w", ErrClosed, err)}
			}
			c.mu.Unlock()
			return
		}
	}
}

// deliver hands an answer to its call. One that nobody waits for was cancelled.
func (c *Client) deliver(v any) error {
	list, _ := v.([]any)
	if len(list) != 4 {
		return fmt.Errorf("%w: no answer", errMalformed)
	}
	kind, ok := asUint64(list[0])
	id, ok2 := asUint64(list[1])
	if !ok || !ok2 || kind != kindResponse {
		return fmt.Errorf("%w: no answer", errMalformed)
	}
	c.mu.Lock()
	done := c.openCalls[id]
	delete(c.openCalls, id)
	c.mu.Unlock()
	if done == nil {
		return nil
	}
	r, err := parseResponse(list[2], list[3])
	if err != nil {
		done <- result{err: err}
		return err
	}
	done <- r
	return nil
}

func parseResponse(fault, value any) (r result, err error) {
	if fault != nil {
		list, _ := fault.([]any)
		word, fields := "", map[string]any{}
		if len(list) > 0 {
			word, _ = list[0].(string)
		}
		if len(list) > 1 {
			fields, _ = list[1].(map[string]any)
		}
		r.response.Outcome = router.Failed
		if word == "Full" {
			r.response.Outcome = router.Rejected
			text, _ := fields["cooldown"].(string)
			r.response.RetryAfter, _ = strconv.ParseFloat(text, 64) // none is 0
		}
		return r, nil
	}
	list, _ := value.([]any)
	if len(list) != 2 {
		return r, fmt.Errorf("%w: no body and fields", errMalformed)
	}
	switch body := list[0].(type) {
	case bool:
		r.isReady = body
	case []byte:
		r.response.Outcome, r.response.Body = router.Served, body
	default:
		return r, fmt.Errorf("%w: no body", errMalformed)
	}
	fields, _ := list[1].(map[string]any)
	r.response.NotModified = fields["keep"] == "1"
	return r, nil
}
