package msgpackrpc

import (
	"errors"
	"os"

	"spantack/internal/clock"
)

// messageReader reads from the socket of a connection. A message that is not complete within messageTimeout ends its
// connection, but not while other requests are open on it: their client is owed their responses.
type messageReader struct{ conn *conn }

// Read implements io.Reader.
func (r messageReader) Read(b []byte) (int, error) {
	for {
		n, err := r.conn.netConn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !r.conn.extendMessage() {
			return n, err
		}
	}
}

// extendMessage sets a new read deadline and returns true, if the reader is within a message and the connection must not
// end yet: a request is open or a response is unwritten, and the message has not taken maxMessageTime.
func (c *conn) extendMessage() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isOwed := len(c.openRequests) > 0 || c.unsentResponses > 0
	isLate := c.server.Clock.Now()-c.messageStartedAt >= maxMessageTime
	if !c.inMessage || !isOwed || isLate {
		return false
	}
	c.netConn.SetReadDeadline(clock.Deadline(messageCheckTime))
	return true
}
