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

// Limits of a response, in bytes. An object has at most 240,000 bytes.
const (
	maxResponseBody = 256 << 10
	maxResponse     = maxResponseBody + 4<<10
)

// ErrClosed is wrapped by the error of a call whose connection failed. The router may have processed the request.
var ErrClosed = errors.New("connection closed")

// Client is one connection to a request router, for use by other programs. It supports many concurrent calls, with
// responses in any order, and is safe for concurrent use.
type Client struct {
	conn net.Conn // owned; closed by Close, or by read after an error

	mu        sync.Mutex // guards the fields below
	lastID    uint64
	openCalls map[uint64]chan result // by message id; each channel buffers one result
	closed    bool                   // the connection has failed; new calls return ErrClosed
}

// result is the outcome of a call.
type result struct {
	response router.Response // set for Do
	isReady  bool            // set for Ready
	err      error
}

// Dial connects to a router. The timeout is in milliseconds.
func Dial(addr string, timeout float64) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, clock.Duration(timeout))
	if err != nil {
		return nil, err
	}
	return NewClient(conn), nil
}

// NewClient returns a client on a connection, which it owns.
func NewClient(conn net.Conn) *Client {
	c := &Client{conn: conn, openCalls: map[uint64]chan result{}}
	go c.read()
	return c
}

// Close closes the connection. Its open calls fail with ErrClosed.
func (c *Client) Close() error { return c.conn.Close() }

// Do sends a request and waits for its response. If ctx ends first, Do cancels the request at the router and returns
// the error of ctx. If the connection fails, the error wraps ErrClosed.
func (c *Client) Do(ctx context.Context, request router.Request) (router.Response, error) {
	encode := func(id uint64) []byte { return appendRequest(nil, id, request) }
	result, err := c.call(ctx, encode)
	return result.response, err
}

// Ready reports whether the router is ready for requests. It returns the same errors as Do.
func (c *Client) Ready(ctx context.Context) (bool, error) {
	result, err := c.call(ctx, appendHealthRequest)
	return result.isReady, err
}

// call registers a call, writes its message and waits for the result.
func (c *Client) call(ctx context.Context, encode func(id uint64) []byte) (result, error) {
	id, done, err := c.open()
	if err != nil {
		return result{}, err
	}
	if _, err := c.conn.Write(encode(id)); err != nil { // net.Conn does not interleave concurrent Writes
		c.forget(id)
		return result{}, fmt.Errorf("%w: %w", ErrClosed, err)
	}
	select {
	case r := <-done:
		return r, r.err
	case <-ctx.Done():
		c.forget(id)
		_, _ = c.conn.Write(appendCancel(nil, id)) // if this fails, the router cancels the request anyway
		return result{}, ctx.Err()
	}
}

// open registers a call and returns its message id and the channel that receives its result.
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

// forget removes a call whose caller no longer waits.
func (c *Client) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.openCalls, id)
}

// read delivers responses until the connection fails or is closed, and then fails all open calls.
func (c *Client) read() {
	reader := bufio.NewReader(c.conn)
	for {
		d := newDecoder(reader, maxResponse, maxResponseBody, nil)
		v, err := d.readMessage()
		if err == nil {
			err = c.deliver(v)
		}
		if err != nil {
			c.fail(fmt.Errorf("%w: %w", ErrClosed, err))
			return
		}
	}
}

// fail closes the connection and fails all open calls with err.
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

// deliver passes a response to its call. A response whose call is no longer open is discarded, since the caller no
// longer waits for it.
func (c *Client) deliver(v any) error {
	list, _ := v.([]any)
	if len(list) != responseLength {
		return fmt.Errorf("%w: not a response", errMalformed)
	}
	kind, kindOK := asUint64(list[0])
	id, idOK := asUint64(list[1])
	if !kindOK || !idOK || kind != uint64(kindResponse) {
		return fmt.Errorf("%w: not a response", errMalformed)
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

// appendRequest appends a request message. Fields that are empty strings are omitted.
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

// appendHealthRequest returns a health request message with the given id.
func appendHealthRequest(id uint64) []byte {
	return appendFields(appendArrayHeader(appendRequestHeader(nil, id, methodHealth), 1))
}

// appendRequestHeader appends a request message up to, but without, its parameters.
func appendRequestHeader(buf []byte, id uint64, method string) []byte {
	buf = append(appendArrayHeader(buf, requestLength), byte(kindRequest))
	return appendString(appendUint(buf, id), method)
}

// appendCancel appends the notification that cancels a request.
func appendCancel(buf []byte, id uint64) []byte {
	buf = append(appendArrayHeader(buf, notificationLength), byte(kindNotification))
	return appendUint(appendArrayHeader(appendString(buf, methodCancel), 1), id)
}

// parseResponse parses the error and result values of a response. Its error wraps errMalformed.
func parseResponse(errorValue, value any) (result, error) {
	if errorValue != nil {
		return parseErrorValue(errorValue), nil
	}
	list, _ := value.([]any)
	if len(list) != 2 {
		return result{}, fmt.Errorf("%w: result is not an array of 2 values", errMalformed)
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
	return result{}, fmt.Errorf("%w: result has neither a body nor a boolean", errMalformed)
}

// parseErrorValue parses an error value of the form [CODE, FIELDS]. An unknown code counts as a failed request. A
// missing or invalid Retry-After counts as 0.
func parseErrorValue(errorValue any) result {
	list, _ := errorValue.([]any)
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
