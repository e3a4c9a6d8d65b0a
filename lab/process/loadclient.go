package process

import (
	"context"
	"errors"
	"sync"

	"spantack/internal/msgpackrpc"
	"spantack/internal/router"
)

// loadDialTimeoutMillis is the dial timeout of a client.
const loadDialTimeoutMillis = 1000

// loadClient is a client of one router, with one connection at a time. It is safe for concurrent use.
type loadClient struct {
	addr       string
	reconnects bool // opens a new connection when one was closed

	mu   sync.Mutex
	conn *msgpackrpc.Client // nil: not connected
}

// connect returns the connection, which it opens if there is none.
func (c *loadClient) connect() (*msgpackrpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		conn, err := msgpackrpc.Dial(c.addr, loadDialTimeoutMillis)
		if err != nil {
			return nil, err
		}
		c.conn = conn
	}
	return c.conn, nil
}

// send sends a request and returns its response. resent is 1 if the connection was closed while the request was in
// flight, and the request was sent again on a new connection.
func (c *loadClient) send(ctx context.Context, request router.Request) (response router.Response, resent int, _ error) {
	for {
		conn, err := c.connect()
		if err != nil {
			return response, resent, err
		}
		response, err = conn.Do(ctx, request)
		if !c.reconnects || resent > 0 || !errors.Is(err, msgpackrpc.ErrClosed) {
			return response, resent, err
		}
		resent++
		c.discard(conn)
	}
}

// discard closes a connection, unless another goroutine has replaced it already.
func (c *loadClient) discard(conn *msgpackrpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		conn.Close()
		c.conn = nil
	}
}

// close closes the connection, if there is one.
func (c *loadClient) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Close()
	}
}
