package resp

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net"
	"time"

	"spantack/internal/clock"
	"spantack/internal/router"
	"spantack/routing"
)

// conn is one connection. Its fields are guarded by Pools.mu unless they say otherwise.
type conn struct {
	pool           *pool
	netConn        net.Conn
	queue          chan command
	done           chan struct{} // closed with the connection
	attempts       map[string]*pendingAttempt
	droppedAt      map[string]float64 // when ids were given up here: their next attempt must follow on this connection
	unservedAt     map[string]float64 // when attempts of these ids ended here unserved: an answer may come a second time
	idleTimer      *clock.Timer
	lastUsedAt     float64
	lastResponseAt float64 // when the last answer came
	bytesWritten   int64   // bytes of commands handed to the socket whole
	closed         bool
}

type command struct {
	encoded  []byte
	attempt  *pendingAttempt // of a GET, which is written only while it is due
	written  chan struct{}   // closed once written; nil: nobody waits
	releases *pendingAttempt // whose end may be told once this is written; nil: none
}

// enqueue gives an attempt to a connection. Pools.mu is held.
func (c *conn) enqueue(k *pendingAttempt) {
	select {
	case c.queue <- command{encoded: appendGet(nil, k.attempt), attempt: k}:
		k.conn = c
		c.attempts[k.attempt.ID] = k
		k.queuedAt = k.pools.clock.Now()
		k.ambiguous = c.droppedAt[k.attempt.ID] != 0 || c.unservedAt[k.attempt.ID] != 0
		c.lastUsedAt = k.queuedAt
		c.idleTimer.Stop()
	default:
		k.finish(router.AttemptResult{Outcome: routing.OutcomeSkipped})
	}
}

// closeWhenIdle arms the idle close when nothing is out on the connection. Pools.mu is held.
func (c *conn) closeWhenIdle() {
	if c.closed || len(c.attempts) > 0 {
		return
	}
	if c.pool.closed {
		c.close()
		return
	}
	c.idleTimer.Stop()
	var own *clock.Timer
	own = c.pool.pools.clock.AfterFunc(idleCloseShare*c.pool.pools.options.IdleTimeout, func() {
		c.pool.pools.mu.Lock()
		defer c.pool.pools.mu.Unlock()
		if len(c.attempts) == 0 && c.idleTimer == own { // not if it was used, and armed anew, while this waited for the lock
			c.close()
		}
	})
	c.idleTimer = own
}

// close ends the connection and every attempt out on it. Pools.mu is held.
func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.idleTimer.Stop()
	close(c.done)
	c.netConn.Close()
	c.pool.pools.connCount--
	for i, o := range c.pool.conns {
		if o == c {
			c.pool.conns = append(c.pool.conns[:i], c.pool.conns[i+1:]...)
			break
		}
	}
	for _, k := range c.attempts {
		switch {
		case !k.writeBegun: // still in the queue: it never ran
			k.finish(router.AttemptResult{Outcome: routing.OutcomeConnectionRefused})
		default:
			k.finish(*cmp.Or(k.heldResult, &router.AttemptResult{Outcome: routing.OutcomeConnectionReset}))
		}
	}
	clear(c.attempts)
}

// queueDrop queues the DROP of an id. Pools.mu is held.
func (c *conn) queueDrop(id string, m command) {
	c.recordID(c.droppedAt, id)
	m.encoded = AppendArray(nil, []byte("DROP"), []byte(id))
	select {
	case c.queue <- m:
	default: // a connection that takes nothing more is no good: its end gives up all that is out on it
		c.close()
	}
}

// recordID keeps an id and forgets those that are too old to matter. Pools.mu is held.
func (c *conn) recordID(ids map[string]float64, id string) {
	now := c.pool.pools.clock.Now()
	maps.DeleteFunc(ids, func(_ string, at float64) bool { return now-at > dropRetention })
	ids[id] = now
}

// beginWrite tells whether an attempt may still be written, and how long that may take: one that waited too long for its connection is not
// sent, which proves that nothing ran, and one of which no byte went out must not begin to go out too late.
func (c *conn) beginWrite(k *pendingAttempt) (wait float64, ok bool) {
	p := c.pool.pools
	p.mu.Lock()
	defer p.mu.Unlock()
	left := k.sendTimeLeft()
	if !k.finished && left < 0 {
		delete(c.attempts, k.attempt.ID)
		k.finish(router.AttemptResult{Outcome: routing.OutcomeConnectionRefused})
		c.closeWhenIdle()
	}
	k.writeBegun = !k.finished
	if k.writeBegun {
		delete(c.droppedAt, k.attempt.ID) // the DROP is written
	}
	return min(max(left, minWriteTimeout), p.timeouts.write), k.writeBegun
}

// write puts queued commands on the socket, each within a bounded time.
func (c *conn) write() {
	for {
		select {
		case <-c.done:
			return
		case m := <-c.queue:
			wait := c.pool.pools.timeouts.write
			if m.attempt != nil {
				if m.attempt.clientDeparted() {
					continue // its Drop takes it off this connection
				}
				var ok bool
				if wait, ok = c.beginWrite(m.attempt); !ok {
					continue
				}
			}
			c.netConn.SetWriteDeadline(clock.Deadline(wait))
			err := c.writeCommand(m)
			c.recordWrite(m, err)
			if m.written != nil {
				close(m.written)
			}
			if err != nil {
				c.fail(err)
				return
			}
		}
	}
}

// recordWrite books a command that is on the socket, or with an error one that is not whole there: what did not come whole to a
// server never ran.
func (c *conn) recordWrite(m command, err error) {
	p := c.pool.pools
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		c.bytesWritten += int64(len(m.encoded))
	}
	switch k := m.attempt; {
	case k != nil && err == nil:
		k.fullyWritten, k.endOffset = true, c.bytesWritten
		p.attemptsWritten.Add(1)
	case k != nil && !k.finished:
		delete(c.attempts, k.attempt.ID)
		end := router.AttemptResult{Outcome: routing.OutcomeConnectionRefused}
		if errors.Is(err, errClientDeparted) { // the server has no part in that
			end.Outcome = routing.OutcomeSkipped
		}
		k.finish(end)
	}
	if k := m.releases; k != nil && c.attempts[k.attempt.ID] == k {
		delete(c.attempts, k.attempt.ID)
		k.finish(*k.heldResult)
		c.closeWhenIdle()
	}
}

// stallGuard is a connection that must go on with what it has begun: after each read the next bytes are due soon. It
// guards against answers that stop short on a connection that stays open, and hold up all that is out on it.
type stallGuard struct{ net.Conn }

func (s *stallGuard) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	s.Conn.SetReadDeadline(clock.Deadline(stallTimeout))
	return n, err
}

// read takes answers to their calls until the stream ends.
func (c *conn) read() {
	in := bufio.NewReaderSize(&stallGuard{Conn: c.netConn}, readBufferSize)
	for {
		c.netConn.SetReadDeadline(time.Time{}) // the first byte may take as long as its attempt
		_, err := in.Peek(1)
		c.netConn.SetReadDeadline(clock.Deadline(stallTimeout)) // also where it came with the answer before
		var parts [][]byte
		if err == nil {
			parts, err = ReadArray(in)
		}
		var id string
		var end router.AttemptResult
		if err == nil {
			id, end, err = parseResponse(parts)
		}
		if err != nil {
			c.fail(err)
			return
		}
		p := c.pool.pools
		p.mu.Lock()
		if k := c.attempts[id]; k != nil && k.writeBegun && k.heldResult == nil {
			if end.NotModified && k.attempt.ClientETag == "" { // it can't be this request's: nothing on the stream can be trusted
				p.mu.Unlock()
				c.fail(fmt.Errorf("%w: SAME for a client without a copy", errMalformed))
				return
			}
			if made := end.CopyMadeAt; !k.ambiguous || made == 0 || k.attempt.MaxAge == 0 || p.clock.Now()-made <= k.attempt.MaxAge {
				c.handleResponse(k, end)
			} // else another attempt's, which took an older copy: this one's is to come
		}
		c.lastResponseAt = p.clock.Now()
		c.lastUsedAt = c.lastResponseAt
		c.closeWhenIdle()
		p.mu.Unlock()
	}
}

// handleResponse ends a call. If another attempt of its id ended on this connection, the answer may be that one's, second or
// late, and this attempt still be out: it is given up first, or two would be out at once. Pools.mu is held.
func (c *conn) handleResponse(k *pendingAttempt, end router.AttemptResult) {
	id := k.attempt.ID
	if end.Outcome != routing.OutcomeServed {
		c.recordID(c.unservedAt, id)
	}
	switch {
	case !k.ambiguous:
		delete(c.attempts, id)
		k.finish(end)
	case end.Outcome == routing.OutcomeServed: // it is its request's: nobody has to wait
		delete(c.attempts, id)
		k.finish(end)
		c.queueDrop(id, command{})
	default:
		k.heldResult = &end
		c.queueDrop(id, command{releases: k})
	}
}

// fail closes the connection, and says so if the other side is at fault.
func (c *conn) fail(err error) {
	p := c.pool.pools
	p.mu.Lock()
	defer p.mu.Unlock()
	if errors.Is(err, errMalformed) {
		p.recordFault(c.pool, err)
	}
	c.close()
}
