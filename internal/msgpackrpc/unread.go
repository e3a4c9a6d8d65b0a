package msgpackrpc

import (
	"errors"

	"spantack/internal/sendqueue"
)

// Limits for clients that read slowly. Times are in milliseconds.
const (
	// minReadRate is how fast a client reads that the platform still counts as reading, in bytes per millisecond: 1 MB a
	// second.
	minReadRate = 1000
	// unreadPollInterval is the time between checks whether the client has taken all responses, on a connection that is to
	// close.
	unreadPollInterval = 10
	// readStallTimeout is the time without any progress after which a client counts as not reading. A client at
	// minReadRate makes progress more often, since its system announces free space in parts of its receive buffer.
	readStallTimeout = 1_000
	// maxUnreadTime bounds the wait for a client that reads. It allows minReadRate for as many bytes as a connection's
	// responses have while its requests are open and its socket buffers are full.
	maxUnreadTime = 20_000
)

// errStalled is the reason for closing a connection whose client does not take its responses.
var errStalled = errors.New("client does not read its responses")

// readState is what a client does with the responses that wait for it in the socket.
type readState int

const (
	nothingToRead readState = iota // all responses that were written are at the client's system
	reading                        // the client takes them
	stalled                        // the client has stopped taking them
)

// readProgress tracks whether a client takes its responses, from checks at irregular times. The zero value has no check.
type readProgress struct {
	startedAt  float64 // of the first check that found the present backlog; Unix milliseconds, 0: none
	backlogEnd int64   // bytes of responses that were written then; the backlog ends when the client has taken them
	taken      int64   // most bytes of responses that were sent to the client's system
	takenAt    float64 // of the check that found more bytes taken than before; Unix milliseconds
}

// record records a check at the time now, with the bytes of responses that were written to the socket so far and those of
// them that are unsent. A client that takes nothing for readStallTimeout is stalled, and so is one that has needed
// maxUnreadTime for a backlog.
func (p *readProgress) record(now float64, written, unsent int64) readState {
	if unsent == 0 {
		*p = readProgress{}
		return nothingToRead
	}
	taken := written - unsent
	if p.startedAt == 0 || taken >= p.backlogEnd {
		*p = readProgress{startedAt: now, backlogEnd: written, taken: taken, takenAt: now}
	}
	if taken > p.taken {
		p.taken = taken
		p.takenAt = now
	}
	if now-p.takenAt < readStallTimeout && now-p.startedAt < maxUnreadTime {
		return reading
	}
	return stalled
}

// checkReading returns the read state of the client. Only the reader calls it.
//
// The server must not close a connection while its client is reading. Until the client has read the end of the stream, it
// may send further requests, which need responses. If the socket were closed, they would reset the connection, and the
// system would discard what is left in the send queue. Bytes that were sent arrive before the reset, so they need no wait
// for an acknowledgment, which systems delay by up to 40 ms.
func (c *conn) checkReading() readState {
	c.mu.Lock()
	written := c.bytesWritten
	c.mu.Unlock()
	return c.progress.record(c.server.Clock.Now(), written, sendqueue.Unsent(c.netConn))
}

// canClose reports whether the reader may end, after the wait for messages in transit: each response has been written and
// sent, or the client has stopped reading.
func (c *conn) canClose() bool {
	switch c.checkReading() {
	case reading:
		return false
	case stalled:
		return true
	}
	return !c.hasUnread()
}

// hasUnread reports whether a response is not written completely, or not sent to the client's system.
func (c *conn) hasUnread() bool {
	c.mu.Lock()
	hasUnwritten := c.unsentResponses > 0
	c.mu.Unlock()
	return hasUnwritten || sendqueue.Unsent(c.netConn) > 0
}

// recordWritten records n bytes of responses that were written to the socket.
func (c *conn) recordWritten(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytesWritten += n
	if n > 0 {
		c.writtenAt = c.server.Clock.Now()
	}
	c.readBy = max(c.readBy, c.server.Clock.Now()) + float64(n)/minReadRate
}

// close closes the connection at once. It counts the connection if responses are unread.
func (c *conn) close() {
	if c.hasUnread() {
		c.server.recordUnreadClose()
	}
	c.netConn.Close()
}
