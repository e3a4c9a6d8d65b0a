package resp

import (
	"cmp"
	"errors"
	"maps"
	"net"
	"slices"

	"spantack/internal/clock"
	"spantack/internal/router"
	"spantack/routing"
)

// conn is one connection to a server, with any number of attempts out on it. Its reader and writer run until it is
// closed. Fields are guarded by Pools.mu unless they say otherwise; times are Unix milliseconds.
type conn struct {
	pool    *serverPool
	netConn net.Conn      // owned; closed by close. Read, written and given deadlines without the lock
	queue   chan command  // commands that the writer has not begun on; safe without the lock
	done    chan struct{} // closed with the connection; safe without the lock

	attempts map[string]*pendingAttempt // out on this connection, by request id

	// droppedAt holds ids whose DROP is queued or written here, by when: their next attempt must follow on this
	// connection. unservedAt holds ids of which an attempt ended here unserved, by when: its response may come twice.
	droppedAt  map[string]float64
	unservedAt map[string]float64

	idleTimer      *clock.Timer // closes the connection once it has been idle; nil or stopped while it is in use
	lastUsedAt     float64
	lastResponseAt float64 // 0: none came yet
	bytesWritten   int64   // bytes of commands handed to the socket in full
	closed         bool
}

// command is an entry of a connection's queue.
type command struct {
	encoded  []byte
	attempt  *pendingAttempt // of a GET, which is written only while it is due; nil: a DROP
	written  chan struct{}   // closed once written; nil: nobody waits
	releases *pendingAttempt // whose delayedResult is given out once this is written; nil: none
}

// pools returns the owner of all connections.
func (c *conn) pools() *Pools { return c.pool.pools }

// enqueue puts an attempt into the connection's queue; if that is full, nothing is sent. Pools.mu is held.
func (c *conn) enqueue(a *pendingAttempt) {
	id := a.attempt.ID
	select {
	case c.queue <- command{encoded: appendGet(nil, a.attempt), attempt: a}:
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

// queueDrop puts the DROP of an id into the queue, as the given command. Pools.mu is held.
func (c *conn) queueDrop(id string, drop command) {
	c.recordID(c.droppedAt, id)
	drop.encoded = appendDrop(nil, id)
	select {
	case c.queue <- drop:
	default: // the connection takes nothing more: its end gives up all that is out on it
		c.close()
	}
}

// recordID notes an id in droppedAt or unservedAt, and forgets those that are too old to matter. Pools.mu is held.
func (c *conn) recordID(ids map[string]float64, id string) {
	now := c.pools().clock.Now()
	maps.DeleteFunc(ids, func(_ string, at float64) bool { return now-at > dropRetention })
	ids[id] = now
}

// closeWhenIdle starts the idle timer if nothing is out on the connection, or closes the connection at once if its
// server has left the endpoint list. Pools.mu is held.
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

// close ends the connection and every attempt that is out on it. Pools.mu is held.
func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.idleTimer.Stop()
	close(c.done)
	c.netConn.Close()
	c.pools().connCount--
	c.pool.remove(c)
	for _, a := range c.attempts {
		a.finish(a.resultOnClose())
	}
	clear(c.attempts)
}

// resultOnClose is the result of an attempt whose connection closes under it. Pools.mu is held.
func (a *pendingAttempt) resultOnClose() router.AttemptResult {
	if !a.writeBegun { // still in the queue: the server never ran it
		return router.AttemptResult{Outcome: routing.OutcomeConnectionRefused}
	}
	return *cmp.Or(a.delayedResult, &router.AttemptResult{Outcome: routing.OutcomeConnectionReset})
}

// abort closes the connection and discards what waits in its send queue. Pools.mu is held.
func (c *conn) abort() {
	if tcpConn, ok := c.netConn.(*net.TCPConn); ok && !c.closed {
		tcpConn.SetLinger(0)
	}
	c.close()
}

// fail closes the connection after an error of its reader or writer, and records the fault if it is the server's.
func (c *conn) fail(err error) {
	pools := c.pools()
	pools.mu.Lock()
	defer pools.mu.Unlock()
	if errors.Is(err, errMalformed) {
		pools.recordFault(c.pool, err)
	}
	c.close()
}

// remove takes a closed connection off its pool. Pools.mu is held.
func (p *serverPool) remove(c *conn) {
	if i := slices.Index(p.conns, c); i >= 0 {
		p.conns = slices.Delete(p.conns, i, i+1)
	}
}
