package resp

import (
	"errors"
	"syscall"

	"spantack/internal/clock"
	"spantack/internal/router"
	"spantack/routing"
)

// errClientDeparted is the error with which a connection is closed because a command was partly written on it when its
// client left.
var errClientDeparted = errors.New("client left while its command was partly written")

// write writes queued commands to the socket, each within a bounded time, until the connection closes.
func (c *conn) write() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case next := <-c.queue:
			if err := c.writeIfDue(next); err != nil {
				c.fail(err)
				return
			}
		}
	}
}

// writeIfDue writes one command, unless it is a GET that must no longer be sent.
func (c *conn) writeIfDue(next command) error {
	timeout := c.pools().timeouts.write
	if next.attempt != nil {
		if hasDeparted := c.departureCheck(next.attempt); hasDeparted() {
			return nil // Cancel removes it from this connection
		}
		limit, isDue := c.beginWrite(next.attempt)
		if !isDue {
			return nil
		}
		timeout = limit
		next.encoded = appendGet(nil, next.attempt.attempt)
	}
	c.netConn.SetWriteDeadline(clock.Deadline(timeout))
	err := c.writeCommand(next)
	c.recordWrite(next, err)
	if next.written != nil {
		close(next.written)
	}
	return err
}

// departureCheck returns the function that reports whether the client of an attempt has left. It is called without the
// lock, since it may block.
func (c *conn) departureCheck(a *pendingAttempt) func() bool {
	pools := c.pools()
	pools.mu.Lock()
	defer pools.mu.Unlock()
	if a.attempt.ClientDeparted == nil {
		return func() bool { return false }
	}
	return a.attempt.ClientDeparted
}

// beginWrite reports whether an attempt may still be written, and within how many milliseconds. An attempt that waited
// too long for its connection ends as OutcomeConnectionRefused: it was not sent, so it never ran. An attempt whose
// first byte is not sent in time must not be sent later, so timeout is the time left, but at least minWriteTimeout and
// at most timeouts.write.
func (c *conn) beginWrite(a *pendingAttempt) (timeout float64, isDue bool) {
	pools := c.pools()
	pools.mu.Lock()
	defer pools.mu.Unlock()
	id := a.attempt.ID
	timeLeft := a.remainingSendTime()
	if !a.finished && timeLeft < 0 {
		delete(c.attempts, id)
		a.finish(router.AttemptResult{Outcome: routing.OutcomeConnectionRefused})
		c.closeWhenIdle()
	}
	if a.finished {
		a.writeStarted = false
		return 0, false
	}
	a.writeStarted = true
	delete(c.droppedAt, id) // the DROP was queued before this attempt, so it has been written
	return min(max(timeLeft, minWriteTimeout), pools.timeouts.write), true
}

// recordWrite records the result of writing a command: it was written in full if err is nil. A command that does not
// reach a server in full never runs.
func (c *conn) recordWrite(written command, err error) {
	pools := c.pools()
	pools.mu.Lock()
	defer pools.mu.Unlock()
	if err == nil {
		c.bytesWritten += int64(len(written.encoded))
	}
	if a := written.attempt; a != nil {
		c.recordAttemptWrite(a, err)
	}
	if a := written.delayed; a != nil && c.attempts[a.attempt.ID] == a {
		delete(c.attempts, a.attempt.ID)
		a.finish(*a.delayedResult)
		c.closeWhenIdle()
	}
}

// recordAttemptWrite records the write of an attempt's GET, like recordWrite. Pools.mu is held.
func (c *conn) recordAttemptWrite(a *pendingAttempt, err error) {
	switch {
	case err == nil:
		a.fullyWritten = true
		a.endOffset = c.bytesWritten
		c.pools().attemptsWritten.Add(1)
	case !a.finished:
		delete(c.attempts, a.attempt.ID)
		outcome := routing.OutcomeConnectionRefused
		if errors.Is(err, errClientDeparted) { // not a fault of the server
			outcome = routing.OutcomeSkipped
		}
		a.finish(router.AttemptResult{Outcome: outcome})
	}
}

// writeCommand writes a command to the socket. If the socket accepts it in parts, writeCommand checks before each part
// after the first whether the command's client has left. If so, the server must not receive the rest of the request.
func (c *conn) writeCommand(next command) error {
	socket, ok := c.netConn.(syscall.Conn)
	if !ok || next.attempt == nil {
		_, err := c.netConn.Write(next.encoded)
		return err
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	rest := next.encoded
	isFirstPart := true
	var writeErr error
	err = raw.Write(func(fd uintptr) (done bool) {
		for len(rest) > 0 {
			if !isFirstPart && next.attempt.clientDeparted() {
				writeErr = errClientDeparted
				return true
			}
			isFirstPart = false
			n, err := syscall.Write(int(fd), rest)
			switch {
			case err == nil:
				rest = rest[n:]
			case err == syscall.EAGAIN:
				return false // called again once the socket is writable
			case err != syscall.EINTR:
				writeErr = err
				return true
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	return writeErr
}
