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

// readProgress tracks whether a client takes its responses, from checks at irregular times. The zero value has no check.
type readProgress struct {
	startedAt float64 // of the first check since the client last had all responses; Unix milliseconds, 0: none
	taken     int64   // most bytes of responses that the client's system has acknowledged
	takenAt   float64 // of the check that found more bytes taken than before; Unix milliseconds
}

// record records a check at the time now. It reports whether the client has responses to take and still takes them:
// within readStallTimeout it took some, and it has needed less than maxUnreadTime so far.
func (p *readProgress) record(now float64, hasUnread bool, taken int64) (isReading bool) {
	if !hasUnread {
		*p = readProgress{}
		return false
	}
	if p.startedAt == 0 {
		*p = readProgress{startedAt: now, taken: taken, takenAt: now}
	}
	if taken > p.taken {
		p.taken = taken
		p.takenAt = now
	}
	return now-p.takenAt < readStallTimeout && now-p.startedAt < maxUnreadTime
}

// isBeingRead reports whether the client still takes responses that it does not have yet. Only the reader calls it.
//
// The server may close a connection only after that. Until then the client has not read the end of the stream and may
// send further requests, which need responses. If the socket were closed, they would reset the connection, and the
// system would discard what is left in the send queue.
func (c *conn) isBeingRead() bool {
	c.mu.Lock()
	written := c.bytesWritten
	hasUnsent := c.unsentResponses > 0
	c.mu.Unlock()
	unacknowledged := sendqueue.Unacknowledged(c.netConn)
	return c.progress.record(c.server.Clock.Now(), hasUnsent || unacknowledged > 0, written-unacknowledged)
}

// hasUnread reports whether a response is not written completely, or not acknowledged by the client's system.
func (c *conn) hasUnread() bool {
	c.mu.Lock()
	hasUnsent := c.unsentResponses > 0
	c.mu.Unlock()
	return hasUnsent || sendqueue.Unacknowledged(c.netConn) > 0
}

// recordWritten records n bytes of responses that were written to the socket.
func (c *conn) recordWritten(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytesWritten += n
	c.readBy = max(c.readBy, c.server.Clock.Now()) + float64(n)/minReadRate
}

// close closes the connection at once. It counts the connection if responses are unread.
func (c *conn) close() {
	if c.hasUnread() {
		c.server.recordUnreadClose()
	}
	c.netConn.Close()
}
