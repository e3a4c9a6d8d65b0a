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
	"spantack/rules"
)

// conn is one connection. Its fields are guarded by Pools.mu unless they say otherwise.
type conn struct {
	pool         *pool
	net          net.Conn
	queue        chan command
	gone         chan struct{} // closed with the connection
	calls        map[string]*call
	dropped      map[string]float64 // when ids were given up here: their next attempt must follow on this connection
	ended        map[string]float64 // when attempts of these ids ended here unserved: an answer may come a second time
	idle         *clock.Timer
	lastUse      float64
	lastAnswer   float64 // when the last answer came
	bytesWritten int64   // bytes of commands handed to the socket whole
	closed       bool
}

type command struct {
	text    []byte
	call    *call         // of a GET, which is written only while it is due
	written chan struct{} // closed once written; nil: nobody waits
	settles *call         // whose end may be told once this is written; nil: none
}

// enqueue gives an attempt to a connection. Pools.mu is held.
func (c *conn) enqueue(k *call) {
	select {
	case c.queue <- command{text: appendGet(nil, k.attempt), call: k}:
		k.conn = c
		c.calls[k.attempt.ID] = k
		k.sent = k.pools.clock.Now()
		k.ambiguous = c.dropped[k.attempt.ID] != 0 || c.ended[k.attempt.ID] != 0
		c.lastUse = k.sent
		c.idle.Stop()
	default:
		k.end(router.AttemptResult{Outcome: rules.OutcomeSkipped})
	}
}

// closeWhenIdle arms the idle close when nothing is out on the connection. Pools.mu is held.
func (c *conn) closeWhenIdle() {
	if c.closed || len(c.calls) > 0 {
		return
	}
	if c.pool.closed {
		c.close()
		return
	}
	c.idle.Stop()
	var own *clock.Timer
	own = c.pool.owner.clock.AfterFunc(idleShare*c.pool.owner.opt.IdleClose, func() {
		c.pool.owner.mu.Lock()
		defer c.pool.owner.mu.Unlock()
		if len(c.calls) == 0 && c.idle == own { // not if it was used, and armed anew, while this waited for the lock
			c.close()
		}
	})
	c.idle = own
}

// close ends the connection and every attempt out on it. Pools.mu is held.
func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.idle.Stop()
	close(c.gone)
	c.net.Close()
	c.pool.owner.conns--
	for i, o := range c.pool.conns {
		if o == c {
			c.pool.conns = append(c.pool.conns[:i], c.pool.conns[i+1:]...)
			break
		}
	}
	for _, k := range c.calls {
		switch {
		case !k.writeBegun: // still in the queue: it never ran
			k.end(router.AttemptResult{Outcome: rules.OutcomeConnectionRefused})
		default:
			k.end(*cmp.Or(k.answer, &router.AttemptResult{Outcome: rules.OutcomeConnectionReset}))
		}
	}
	clear(c.calls)
}

// queueDrop queues the DROP of an id. Pools.mu is held.
func (c *conn) queueDrop(id string, m command) {
	c.remember(c.dropped, id)
	m.text = AppendArray(nil, []byte("DROP"), []byte(id))
	select {
	case c.queue <- m:
	default: // a connection that takes nothing more is no good: its end gives up all that is out on it
		c.close()
	}
}

// remember keeps an id and forgets those that are too old to matter. Pools.mu is held.
func (c *conn) remember(ids map[string]float64, id string) {
	now := c.pool.owner.clock.Now()
	maps.DeleteFunc(ids, func(_ string, at float64) bool { return now-at > dropRetention })
	ids[id] = now
}

// beginWrite tells whether an attempt may still be written, and how long that may take: one that waited too long for its connection is not
// sent, which proves that nothing ran, and one of which no byte went out must not begin to go out too late.
func (c *conn) beginWrite(k *call) (wait float64, ok bool) {
	p := c.pool.owner
	p.mu.Lock()
	defer p.mu.Unlock()
	left := k.remaining()
	if !k.finished && left < 0 {
		delete(c.calls, k.attempt.ID)
		k.end(router.AttemptResult{Outcome: rules.OutcomeConnectionRefused})
		c.closeWhenIdle()
	}
	k.writeBegun = !k.finished
	if k.writeBegun {
		delete(c.dropped, k.attempt.ID) // the DROP is written
	}
	return min(max(left, minWriteTimeout), p.timeouts.write), k.writeBegun
}

// write puts queued commands on the socket, each within a bounded time.
func (c *conn) write() {
	for {
		select {
		case <-c.gone:
			return
		case m := <-c.queue:
			wait := c.pool.owner.timeouts.write
			if m.call != nil {
				if m.call.departed() {
					continue // its Drop takes it off this connection
				}
				var ok bool
				if wait, ok = c.beginWrite(m.call); !ok {
					continue
				}
			}
			c.net.SetWriteDeadline(clock.Deadline(wait))
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
	p := c.pool.owner
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		c.bytesWritten += int64(len(m.text))
	}
	switch k := m.call; {
	case k != nil && err == nil:
		k.fullyWritten, k.endsAt = true, c.bytesWritten
		p.written.Add(1)
	case k != nil && !k.finished:
		delete(c.calls, k.attempt.ID)
		end := router.AttemptResult{Outcome: rules.OutcomeConnectionRefused}
		if errors.Is(err, errDeparted) { // the server has no part in that
			end.Outcome = rules.OutcomeSkipped
		}
		k.end(end)
	}
	if k := m.settles; k != nil && c.calls[k.attempt.ID] == k {
		delete(c.calls, k.attempt.ID)
		k.end(*k.answer)
		c.closeWhenIdle()
	}
}

// stallGuard is a connection that must go on with what it has begun: after each read the next bytes are due soon. It
// guards against answers that stop short on a connection that stays open, and hold up all that is out on it.
type stallGuard struct{ net.Conn }

func (s *stallGuard) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	s.Conn.SetReadDeadline(clock.Deadline(stallLimit))
	return n, err
}

// read takes answers to their calls until the stream ends.
func (c *conn) read() {
	in := bufio.NewReaderSize(&stallGuard{Conn: c.net}, readBuffer)
	for {
		c.net.SetReadDeadline(time.Time{}) // the first byte may take as long as its attempt
		_, err := in.Peek(1)
		c.net.SetReadDeadline(clock.Deadline(stallLimit)) // also where it came with the answer before
		var parts [][]byte
		if err == nil {
			parts, err = ReadArray(in)
		}
		var id string
		var end router.AttemptResult
		if err == nil {
			id, end, err = parseAnswer(parts)
		}
		if err != nil {
			c.fail(err)
			return
		}
		p := c.pool.owner
		p.mu.Lock()
		if k := c.calls[id]; k != nil && k.writeBegun && k.answer == nil {
			if end.NotModified && k.attempt.ClientETag == "" { // it can't be this request's: nothing on the stream can be trusted
				p.mu.Unlock()
				c.fail(fmt.Errorf("%w: SAME for a client without a copy", errMalformed))
				return
			}
			if made := end.CopyMadeAt; !k.ambiguous || made == 0 || k.attempt.MaxAge == 0 || p.clock.Now()-made <= k.attempt.MaxAge {
				c.handleAnswer(k, end)
			} // else another attempt's, which took an older copy: this one's is to come
		}
		c.lastAnswer = p.clock.Now()
		c.lastUse = c.lastAnswer
		c.closeWhenIdle()
		p.mu.Unlock()
	}
}

// handleAnswer ends a call. If another attempt of its id ended on this connection, the answer may be that one's, second or
// late, and this attempt still be out: it is given up first, or two would be out at once. Pools.mu is held.
func (c *conn) handleAnswer(k *call, end router.AttemptResult) {
	id := k.attempt.ID
	if end.Outcome != rules.OutcomeServed {
		c.remember(c.ended, id)
	}
	switch {
	case !k.ambiguous:
		delete(c.calls, id)
		k.end(end)
	case end.Outcome == rules.OutcomeServed: // it is its request's: nobody has to wait
		delete(c.calls, id)
		k.end(end)
		c.queueDrop(id, command{})
	default:
		k.answer = &end
		c.queueDrop(id, command{settles: k})
	}
}

// fail closes the connection, and says so if the other side is at fault.
func (c *conn) fail(err error) {
	p := c.pool.owner
	p.mu.Lock()
	defer p.mu.Unlock()
	if errors.Is(err, errMalformed) {
		p.fault(c.pool, err)
	}
	c.close()
}
