package resp

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"spantack/internal/clock"
	"spantack/internal/router"
	"spantack/routing"
)

// stallGuard is a connection on which each read is followed soon by the next. It guards against a response that stops
// short on a connection that stays open, and so holds up all others on it.
type stallGuard struct{ net.Conn }

// Read implements io.Reader, and sets the deadline for the bytes after those that it returns.
func (s *stallGuard) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	s.SetReadDeadline(clock.Deadline(stallTimeout))
	return n, err
}

// read reads responses and gives them to their attempts until the stream ends.
func (c *conn) read() {
	in := bufio.NewReaderSize(&stallGuard{Conn: c.netConn}, readBufferSize)
	for {
		id, result, err := c.readResponse(in)
		if err == nil {
			err = c.handleResponse(id, result)
		}
		if err != nil {
			c.fail(err)
			return
		}
	}
}

// readResponse reads one response. Its first byte may take as long as the attempt that it is for.
func (c *conn) readResponse(in *bufio.Reader) (id string, result router.AttemptResult, err error) {
	c.netConn.SetReadDeadline(time.Time{})
	_, err = in.Peek(1)
	c.netConn.SetReadDeadline(clock.Deadline(stallTimeout)) // also where the first byte came with the last response
	if err != nil {
		return "", result, err
	}
	parts, err := ReadArray(in)
	if err != nil {
		return "", result, err
	}
	return parseResponse(parts)
}

// handleResponse gives a response to its attempt. One without an attempt that can have it is ignored: the attempt was
// given up, or the response came twice.
func (c *conn) handleResponse(id string, result router.AttemptResult) error {
	pools := c.pools()
	pools.mu.Lock()
	defer pools.mu.Unlock()
	now := pools.clock.Now()
	if a := c.attempts[id]; a != nil && a.writeBegun && a.delayedResult == nil {
		if result.NotModified && a.attempt.ClientETag == "" { // not this request's: nothing on the stream can be trusted
			return fmt.Errorf("%w: SAME for a client without a copy", errMalformed)
		}
		if a.mayHave(result, now) {
			c.settle(a, result)
		}
	}
	c.lastResponseAt = now
	c.lastUsedAt = now
	c.closeWhenIdle()
	return nil
}

// mayHave reports whether a response can be the attempt's own. A copy older than it may take is that of an attempt of
// the same id before it, and its own response is still to come. Pools.mu is held.
func (a *pendingAttempt) mayHave(result router.AttemptResult, now float64) bool {
	if !a.ambiguous || result.CopyMadeAt == 0 || a.attempt.MaxAge == 0 {
		return true
	}
	return now-result.CopyMadeAt <= a.attempt.MaxAge
}

// settle ends an attempt with a response. If another attempt of its id ended on this connection, the response may be
// that one's, come late or twice, and this attempt may still be out: its DROP is queued, and unless the request is
// served, the result is held back until that is written, or two attempts could be out at once. Pools.mu is held.
func (c *conn) settle(a *pendingAttempt, result router.AttemptResult) {
	id := a.attempt.ID
	isServed := result.Outcome == routing.OutcomeServed
	if !isServed {
		c.recordID(c.unservedAt, id)
	}
	if a.ambiguous && !isServed {
		a.delayedResult = &result
		c.queueDrop(id, command{releases: a})
		return
	}
	delete(c.attempts, id)
	a.finish(result)
	if a.ambiguous { // the request is served, whichever attempt that was: nobody waits for the DROP
		c.queueDrop(id, command{})
	}
}
