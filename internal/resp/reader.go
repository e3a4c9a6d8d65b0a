package resp

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"

	"spantack/internal/clock"
	"spantack/internal/router"
	"spantack/routing"
)

// stallGuard is a connection that sets a read deadline after each read. A response that stops halfway on a connection
// that stays open would otherwise block all others on it.
type stallGuard struct{ net.Conn }

// Read implements io.Reader, and sets a deadline of stallTimeout for the next read.
func (s *stallGuard) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	s.SetReadDeadline(clock.Deadline(stallTimeout))
	return n, err
}

// read reads responses and passes them to their attempts until the connection fails or is closed.
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

// readResponse reads one response. There is no deadline for its first byte: attempts have their own timeouts.
func (c *conn) readResponse(in *bufio.Reader) (id string, result router.AttemptResult, err error) {
	c.netConn.SetReadDeadline(time.Time{})
	_, err = in.Peek(1)
	c.netConn.SetReadDeadline(clock.Deadline(stallTimeout)) // if Peek found the byte in the buffer, no deadline is set yet
	if err != nil {
		return "", result, err
	}
	var body []byte
	parts, err := readArray(in, func(size int) ([]byte, error) {
		var err error
		body, err = c.newBody(size)
		return body, err
	})
	if err == nil {
		id, result, err = parseResponse(parts)
	}
	if body == nil {
		return id, result, err
	}
	release := sync.OnceFunc(func() { c.pools().bodies.Put(body) })
	if err != nil || result.Body == nil {
		release()
		return id, result, err
	}
	result.Release = release
	return id, result, nil
}

// newBody returns a buffer for the body of a response. While all memory for bodies is in use, it waits, and the server's
// further responses wait in the socket. The bodies in use are being received or written to clients, so that the wait
// ends. It returns an error if the connection is closed meanwhile.
func (c *conn) newBody(size int) ([]byte, error) {
	bodies := c.pools().bodies
	if body, ok := bodies.TryGet(size); ok {
		return body, nil
	}
	c.setAwaitsMemory(true)
	body, err := bodies.Get(c.ctx, size)
	c.setAwaitsMemory(false)
	c.netConn.SetReadDeadline(clock.Deadline(stallTimeout))
	return body, err
}

// setAwaitsMemory sets awaitsMemory, and counts the waits.
func (c *conn) setAwaitsMemory(awaits bool) {
	pools := c.pools()
	pools.mu.Lock()
	defer pools.mu.Unlock()
	c.awaitsMemory = awaits
	if awaits {
		pools.bodyWaitCount++
	}
}

// handleResponse passes a response to its attempt. A response that belongs to no attempt in flight is ignored: the
// attempt was canceled, or the response arrived twice.
func (c *conn) handleResponse(id string, result router.AttemptResult) error {
	pools := c.pools()
	pools.mu.Lock()
	defer pools.mu.Unlock()
	now := pools.clock.Now()
	a := c.attempts[id]
	isExpected := a != nil && a.writeStarted && a.delayedResult == nil
	if isExpected {
		if err := a.checkNotModified(result); err != nil { // responses can't be matched any more
			result.Discard()
			return err
		}
	}
	if isExpected && a.canMatch(result, now) {
		c.endWithResponse(a, a.rejectTooOld(result))
	} else {
		result.Discard()
	}
	c.lastResponseAt = now
	c.lastUsedAt = now
	c.closeWhenIdle()
	return nil
}

// checkNotModified returns an error that wraps errMalformed if a response calls another copy current than the one whose
// ETag the client sent, or does not name the copy. The client could not tell such a response from a valid one.
func (a *pendingAttempt) checkNotModified(result router.AttemptResult) error {
	switch {
	case !result.NotModified:
		return nil
	case a.attempt.ClientETag == "":
		return fmt.Errorf("%w: SAME for a request without an ETag", errMalformed)
	case result.ETag != a.attempt.ClientETag:
		return fmt.Errorf("%w: SAME with sum=%.20q for a request with cached=%.20q", errMalformed, result.ETag,
			a.attempt.ClientETag)
	}
	return nil
}

// rejectTooOld returns the result, or OutcomeError in its place if its copy is older than the attempt's MaxAge allows.
// It records a fault then. Pools.mu is held.
func (a *pendingAttempt) rejectTooOld(result router.AttemptResult) router.AttemptResult {
	if !a.isTooOld(result) {
		return result
	}
	excess := a.chosenAt - result.CopyMadeAt - a.attempt.MaxAge
	result.Discard()
	a.pools.recordFault(a.conn.pool, fmt.Errorf("copy is %.0f ms older than the age limit of its request", excess))
	return router.AttemptResult{Outcome: routing.OutcomeError, LoadReport: result.LoadReport}
}

// isTooOld reports whether a served copy was already older than the attempt's MaxAge when its server was chosen.
func (a *pendingAttempt) isTooOld(result router.AttemptResult) bool {
	if result.Outcome != routing.OutcomeServed || result.CopyMadeAt == 0 || a.attempt.MaxAge == 0 {
		return false
	}
	return a.chosenAt-result.CopyMadeAt > a.attempt.MaxAge+maxClockOffset
}

// canMatch reports whether a response can be the attempt's own. A copy older than the attempt's MaxAge belongs to an
// earlier attempt of the same id; the attempt's own response is still to come. Pools.mu is held.
func (a *pendingAttempt) canMatch(result router.AttemptResult, now float64) bool {
	if !a.ambiguous || result.CopyMadeAt == 0 || a.attempt.MaxAge == 0 {
		return true
	}
	return now-result.CopyMadeAt <= a.attempt.MaxAge
}

// endWithResponse ends an attempt with a response. If the attempt is ambiguous, the response may belong to an earlier
// attempt and have arrived late or twice, so this attempt may still be in flight. A DROP is then queued for it. Unless
// the request is served, the result is delayed until the DROP is written; otherwise a retry could start while this
// attempt is still in flight. Pools.mu is held.
func (c *conn) endWithResponse(a *pendingAttempt, result router.AttemptResult) {
	id := a.attempt.ID
	isServed := result.Outcome == routing.OutcomeServed
	if !isServed {
		c.recordID(c.unservedAt, id)
	}
	if a.ambiguous && !isServed {
		a.delayedResult = &result
		c.queueDrop(id, command{delayed: a})
		return
	}
	delete(c.attempts, id)
	a.finish(result)
	if a.ambiguous { // either attempt has served the request, so the result need not wait for the DROP
		c.queueDrop(id, command{})
	}
}
