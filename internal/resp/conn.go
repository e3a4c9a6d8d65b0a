package resp

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"net"
	"slices"

	"spantack/internal/clock"
	"spantack/internal/router"
	"spantack/routing"
)

// conn is one connection to a server, which carries up to Options.MaxStreams attempts. Its reader and writer run until
// it is closed. Fields are guarded by Pools.mu unless noted; times are Unix milliseconds.
type conn struct {
	pool    *serverPool
	netConn net.Conn           // owned; closed by close. Used without the lock for reads, writes and deadlines
	queue   chan command       // commands that the writer has not started; safe without the lock
	ctx     context.Context    // ends with the connection; safe without the lock
	cancel  context.CancelFunc // ends ctx; called by close

	attempts map[string]*pendingAttempt // in flight on this connection, by request id

	// droppedAt holds the times at which a DROP was queued on this connection, by request id. The next attempt of such a
	// request must use this connection.
	droppedAt map[string]float64
	// unservedAt holds the times at which an attempt ended unserved on this connection, by request id. The response to
	// such an attempt may arrive twice.
	unservedAt map[string]float64

	idleTimer      *clock.Timer // closes the connection after it has been idle; nil or stopped while it is in use
	lastUsedAt     float64
	lastResponseAt float64 // 0: none yet
	awaitsMemory   bool    // the reader waits for the memory of a response's body
	bytesWritten   int64   // total size of the commands passed to the socket in full
	closed         bool
}

// command is an entry of a connection's queue.
type command struct {
	encoded []byte          // of a DROP; a GET is encoded when it is written, so that the queue holds no copy of its body
	attempt *pendingAttempt // the attempt of a GET, which is written only while it may be sent; nil: a DROP
	written chan struct{}   // closed once the command is written; nil: not needed
	delayed *pendingAttempt // attempt whose delayedResult is delivered once this command is written; nil: none
}

// pools returns the Pools that the connection belongs to.
func (c *conn) pools() *Pools { return c.pool.pools }

// enqueue queues an attempt on the connection. If the queue is full, the attempt ends as OutcomeSkipped: nothing was
// sent. Pools.mu is held.
func (c *conn) enqueue(a *pendingAttempt) {
	id := a.attempt.ID
	select {
	case c.queue <- command{attempt: a}:
	default:
		a.finish(router.AttemptResult{Outcome: routing.OutcomeSkipped})
		return
	}
	a.conn = c
	a.queuedAt = c.pools().clock.Now()
	a.ambiguous = c.droppedAt[id] != 0 || c.unservedAt[id] != 0
	c.attempts[id] = a
	c.lastUsedAt = a.queuedAt
	c.idleTimer.Stop()
}

// queueDrop queues the command drop as the DROP of a request id. It sets the encoded text; the caller sets the other
// fields. If the queue is full, it closes the connection instead. Pools.mu is held.
func (c *conn) queueDrop(id string, drop command) {
	c.recordID(c.droppedAt, id)
	drop.encoded = appendDrop(nil, id)
	select {
	case c.queue <- drop:
	default: // the queue is full: closing the connection cancels all attempts on it
		c.close()
	}
}

// recordID adds an id to droppedAt or unservedAt, and removes the ids that are older than dropRetention. Pools.mu is
// held.
func (c *conn) recordID(ids map[string]float64, id string) {
	now := c.pools().clock.Now()
	maps.DeleteFunc(ids, func(_ string, at float64) bool { return now-at > dropRetention })
	ids[id] = now
}

// closeWhenIdle starts the idle timer if no attempt is in flight on the connection, or closes the connection at once if
// its pool is retired. Pools.mu is held.
func (c *conn) closeWhenIdle() {
	if c.closed || len(c.attempts) > 0 {
		return
	}
	if c.pool.retired {
		c.close()
		return
	}
	c.idleTimer.Stop()
	pools := c.pools()
	var timer *clock.Timer
	timer = pools.clock.AfterFunc(idleCloseShare*pools.options.IdleTimeout, func() {
		pools.mu.Lock()
		defer pools.mu.Unlock()
		// The connection may have been used, and another timer started, while this one waited for the lock.
		if len(c.attempts) == 0 && c.idleTimer == timer {
			c.close()
		}
	})
	c.idleTimer = timer
}

// close closes the connection and ends every attempt in flight on it. Pools.mu is held.
func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.idleTimer.Stop()
	c.cancel()
	c.netConn.Close()
	c.pools().connCount--
	c.pool.remove(c)
	for _, a := range c.attempts {
		a.finish(a.resultOnClose())
	}
	clear(c.attempts)
}

// resultOnClose returns the result of an attempt in flight when its connection is closed. Pools.mu is held.
func (a *pendingAttempt) resultOnClose() router.AttemptResult {
	if !a.writeStarted { // still in the queue: it never ran
		return router.AttemptResult{Outcome: routing.OutcomeConnectionRefused}
	}
	return *cmp.Or(a.delayedResult, &router.AttemptResult{Outcome: routing.OutcomeConnectionReset})
}

// abort closes the connection and discards the data in its send queue. Pools.mu is held.
func (c *conn) abort() {
	if tcpConn, ok := c.netConn.(*net.TCPConn); ok && !c.closed {
		tcpConn.SetLinger(0)
	}
	c.close()
}

// fail closes the connection after an error of its reader or writer. It records a fault if the response was malformed.
func (c *conn) fail(err error) {
	pools := c.pools()
	pools.mu.Lock()
	defer pools.mu.Unlock()
	if errors.Is(err, errMalformed) {
		pools.recordFault(c.pool, err)
	}
	c.close()
}

// remove removes a closed connection from its pool. Pools.mu is held.
func (p *serverPool) remove(c *conn) {
	if i := slices.Index(p.conns, c); i >= 0 {
		p.conns = slices.Delete(p.conns, i, i+1)
	}
}
