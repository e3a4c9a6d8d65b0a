package msgpackrpc

import (
	"time"

	"spantack/internal/clock"
)

// Limits of the work that one connection gets before others do. Times are in milliseconds.
const (
	messagesPerTurn = 8
	acceptsPerTurn  = 16 // connections that are accepted in one turn
	// turnTime is the time above which a turn needs no pause: others had the processor, or the client waited.
	turnTime = 4
	// turnPause is the time between two turns of a client that sends at full speed, or of the loop that accepts
	// connections. Meanwhile the scheduler runs the goroutines of other connections and polls their sockets. Without a
	// pause it does neither as long as there is something to read.
	turnPause = 0.5
	// maxHandlers bounds the handlers of a connection. Handlers of canceled requests, which are no longer open, count
	// until they return.
	maxHandlers = 2 * maxOpenRequests
	// maxEndingConns is the number of connections whose clients have left and whose handlers have not returned, from which
	// on a new connection waits, for up to maxAcceptWait.
	maxEndingConns     = 32
	maxAcceptWait      = 100
	acceptPollInterval = 1
)

// turn counts the messages of a connection, or the accepted connections, in the present turn.
type turn struct {
	length    int     // of a turn
	startedAt float64 // Unix milliseconds
	count     int
}

// record records a message or connection that was handled at the time now, and reports whether the turn has ended and a
// pause is due.
func (t *turn) record(now float64) (needsPause bool) {
	if t.count == 0 {
		t.startedAt = now
	}
	t.count++
	if t.count < t.length {
		return false
	}
	t.count = 0
	return now-t.startedAt < turnTime
}

// beginEnding records that the client of a connection has left, or that the connection was closed, and that its handlers
// may still run. The connection then counts as closed: it holds no descriptor. The caller calls end when they have
// returned.
func (s *Server) beginEnding(c *conn) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.endingConns++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endingConns--
	}
}

// awaitEndingConns waits until fewer than maxEndingConns connections are ending, or for maxAcceptWait. Clients that
// connect, send and leave at full speed thus wait for the work that they cause, and not all others.
func (s *Server) awaitEndingConns() {
	giveUpAt := s.Clock.Now() + maxAcceptWait
	for s.countEndingConns() >= maxEndingConns && s.Clock.Now() < giveUpAt {
		time.Sleep(clock.Duration(acceptPollInterval))
	}
}

// countEndingConns returns the number of connections that are ending.
func (s *Server) countEndingConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endingConns
}
