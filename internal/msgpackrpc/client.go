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

// Bounds of a response to the client, in bytes: an object has 240,000 at most.
const (
	maxResponseBody = 256 << 10
	maxResponse     = maxResponseBody + 4<<10
)

// ErrClosed is wrapped by the error of a call whose connection broke: the request may have run.
var ErrClosed = errors.New("connection closed")

// Client is one connection to a request router, for other programs: many calls open at once, responses in any order.
// It is safe for concurrent use.
type Client struct {
	conn net.Conn // owned; closed by Close, or by read when it fails

	mu        sync.Mutex // guards all below
	lastID    uint64
	openCalls map[uint64]chan result // by message id; each takes one result without blocking
	closed    bool                   // the connection has failed: no call can be opened
}

// result is how a call ended.
type result struct {
	response router.Response // of Do
	isReady  bool            // of Ready
	err      error
}

// Dial opens a connection within timeout milliseconds.
func Dial(addr string, timeout float64) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, clock.Duration(timeout))
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, openCalls: map[uint64]chan result{}}
	go c.read()
	return c, nil
}

// Close ends the connection and all calls open on it.
func (c *Client) Close() error { return c.conn.Close() }

// Do sends a request and waits for its response. When ctx ends first, the router is notified, and the error is that of
// ctx; when the connection breaks, it wraps ErrClosed.
func (c *Client) Do(ctx context.Context, request router.Request) (router.Response, error) {
	encode := func(id uint64) []byte { return appendRequest(nil, id, request) }
	result, err := c.call(ctx, encode)
	return result.response, err
}

// Ready reports whether the router is ready for requests. Its errors are those of Do.
func (c *Client) Ready(ctx context.Context) (bool, error) {
	result, err := c.call(ctx, appendHealthRequest)
	return result.isReady, err
}

// call opens a call, writes its message and waits for the result.
func (c *Client) call(ctx context.Context, encode func(id uint64) []byte) (result, error) {
	id, done, err := c.open()
	if err != nil {
		return result{}, err
	}
	if _, err := c.conn.Write(encode(id)); err != nil { // one Write is one message: net.Conn keeps them apart
		c.forget(id)
		return result{}, fmt.Errorf("%w: %w", ErrClosed, err)
	}
	select {
	case r := <-done:
		return r, r.err
	case <-ctx.Done():
		c.forget(id)
		_, _ = c.conn.Write(appendCancel(nil, id)) // on a broken connection the request is given up anyway
		return result{}, ctx.Err()
	}
}

// open registers a call and returns its message id and the channel of its result.
func (c *Client) open() (id uint64, done chan result, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, nil, ErrClosed
	}
	c.lastID++
	done = make(chan result, 1)
	c.openCalls[c.lastID] = done
	return c.lastID, done, nil
}

// forget removes a call that nobody waits for any more.
func (c *Client) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.openCalls, id)
}

// read delivers responses until the connection ends, and then ends all open calls.
func (c *Client) read() {
	reader := bufio.NewReader(c.conn)
	for {
		d := decoder{reader: reader, remaining: maxResponse, maxLength: maxResponseBody}
		v, err := d.readValue(0)
		if err == nil {
			err = c.deliver(v)
		}
		if err != nil {
			c.fail(fmt.Errorf("%w: %w", ErrClosed, err))
			return
		}
	}
}

// fail closes the connection and ends all open calls with an error.
func (c *Client) fail(err error) {
	c.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for id, done := range c.openCalls {
		delete(c.openCalls, id)
		done <- result{err: err}
	}
}

// deliver gives a response to its call. One that nobody waits for belongs to a call that was given up.
func (c *Client) deliver(v any) error {
	list, _ := v.([]any)
	if len(list) != responseLength {
		return fmt.Errorf("%w: no answer", errMalformed)
	}
	kind, kindOK := asUint64(list[0])
	id, idOK := asUint64(list[1])
	if !kindOK || !idOK || kind != uint64(kindResponse) {
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

// appendRequest appends the message of a request. Fields without a value are left out.
func appendRequest(buf []byte, id uint64, request router.Request) []byte {
	pairs := []string{
		fieldID, request.ID,
		fieldClientTimeout, strconv.FormatFloat(request.ClientTimeout, 'f', 0, 64),
	}
	for _, field := range [][2]string{
		{fieldIdempotencyKey, request.IdempotencyKey},
		{fieldObject, request.Object},
		{fieldChunk, strconv.FormatInt(request.Chunk, 10)},
		{fieldPurgeGroup, strconv.FormatInt(request.PurgeGroup, 10)},
		{fieldSizeKB, strconv.FormatFloat(request.SizeKB, 'f', -1, 64)},
		{fieldClientETag, request.ClientETag},
	} {
		if field[1] != "" {
			pairs = append(pairs, field[0], field[1])
		}
	}
	buf = appendRequestHeader(buf, id, request.Class)
	buf = appendFields(appendArrayHeader(buf, 2), pairs...)
	return append(appendBinaryHeader(buf, len(request.Body)), request.Body...)
}

// appendHealthRequest returns the message that asks whether the router is ready.
func appendHealthRequest(id uint64) []byte {
	return appendFields(appendArrayHeader(appendRequestHeader(nil, id, methodHealth), 1))
}

// appendRequestHeader appends the beginning of a request, up to its parameters.
func appendRequestHeader(buf []byte, id uint64, method string) []byte {
	buf = append(appendArrayHeader(buf, requestLength), byte(kindRequest))
	return appendString(appendUint(buf, id), method)
}

// appendCancel appends the message that gives up a request.
func appendCancel(buf []byte, id uint64) []byte {
	buf = append(appendArrayHeader(buf, notificationLength), byte(kindNotification))
	return appendUint(appendArrayHeader(appendString(buf, methodCancel), 1), id)
}

// parseResponse reads the error and the result of a response. Its error wraps errMalformed.
func parseResponse(fault, value any) (result, error) {
	if fault != nil {
		return parseFault(fault), nil
	}
	list, _ := value.([]any)
	if len(list) != 2 {
		return result{}, fmt.Errorf("%w: no body and fields", errMalformed)
	}
	fields, _ := list[1].(map[string]any)
	isNotModified := fields[fieldNotModified] == valueNotModified
	switch body := list[0].(type) {
	case bool:
		return result{isReady: body}, nil
	case []byte:
		response := router.Response{Outcome: router.Served, Body: body, NotModified: isNotModified}
		return result{response: response}, nil
	}
	return result{}, fmt.Errorf("%w: no body", errMalformed)
}

// parseFault reads an error of the form [WORD, FIELDS]. An unknown one counts as a failed request, and a Retry-After
// that is absent or can't be used as 0.
func parseFault(fault any) result {
	list, _ := fault.([]any)
	if len(list) == 0 || list[0] != errorRejected {
		return result{response: router.Response{Outcome: router.Failed}}
	}
	response := router.Response{Outcome: router.Rejected}
	if len(list) > 1 {
		fields, _ := list[1].(map[string]any)
		text, _ := fields[fieldRetryAfter].(string)
		response.RetryAfter, _ = strconv.ParseFloat(text, 64)
	}
	return result{response: response}
}
