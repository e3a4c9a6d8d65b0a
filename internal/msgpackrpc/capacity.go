package msgpackrpc

import (
	"math"
	"time"

	"spantack/internal/clock"
)

// admit registers a new connection and reports whether it is accepted. At MaxConns it evicts the connection that has
// been idle for longest, so that clients with idle connections do not block others. If no connection is idle, the new
// one is rejected. Evicted connections are closed after the lock is released.
func (s *Server) admit(c *conn) bool {
	var evicted []*conn
	defer func() {
		for _, e := range evicted {
			e.close()
		}
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) >= s.MaxConns {
		next := s.connToEvict()
		if next == nil {
			s.rejectedCount++
			return false
		}
		delete(s.conns, next)
		s.evictedCount++
		evicted = append(evicted, next)
	}
	s.conns[c] = true
	return true
}

// connToEvict returns the connection to evict, or nil if every connection has a pending response. s.mu is held.
func (s *Server) connToEvict() *conn {
	var selected *conn
	lowest := math.Inf(1)
	for c := range s.conns {
		if rank := c.evictionRank(); rank < lowest {
			selected = c
			lowest = rank
		}
	}
	return selected
}

// evictionRank orders connections for eviction, lowest rank first. The connection that has been idle for longest has
// the lowest rank. A connection without a message counts as idle for firstMessageTimeout longer, once it is older than
// newConnGracePeriod. A connection whose client may still be reading comes after all that are idle. While a response is
// pending, the rank is infinite, which prevents eviction.
func (c *conn) evictionRank() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.server.Clock.Now()
	switch {
	case len(c.openRequests) > 0 || c.unsentResponses > 0:
		return math.Inf(1)
	case !c.receivedAny && now-c.idleSince > newConnGracePeriod:
		return c.idleSince - firstMessageTimeout
	case now < c.readBy:
		return c.readBy
	}
	return c.idleSince
}

// reserve reserves n bytes of MaxQueuedBytes and reports whether they were available. A negative n releases bytes.
func (s *Server) reserve(n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > 0 && s.queuedBytes+n > s.MaxQueuedBytes {
		return false
	}
	s.queuedBytes += n
	return true
}

// reserveResponse reserves n bytes for a response on a connection and reports whether they were available. A negative n
// releases bytes. While more than half of MaxQueuedBytes is reserved, a connection with unwritten responses is limited
// to its quota, so that clients that do not read leave capacity for others.
func (s *Server) reserveResponse(c *conn, n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := s.queuedBytes + n
	connTotal := c.reservedBytes + n
	if n > 0 {
		isOverQuota := c.reservedBytes > 0 && connTotal > s.MaxQueuedBytes/connQuotaDivisor
		if total > s.MaxQueuedBytes || isOverQuota && total > s.MaxQueuedBytes/2 {
			return false
		}
	}
	s.queuedBytes = total
	c.reservedBytes = connTotal
	return true
}

// isMemoryScarce reports whether more than half of MaxQueuedBytes is reserved.
func (s *Server) isMemoryScarce() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queuedBytes > s.MaxQueuedBytes/2
}

// awaitReservation reserves n bytes for a response. If they are not available, it waits for up to maxQueueWait, as long
// as the client takes its responses. It reports whether the bytes were reserved.
func (c *conn) awaitReservation(n int64) bool {
	giveUpAt := c.server.Clock.Now() + maxQueueWait
	for !c.server.reserveResponse(c, n) {
		now := c.server.Clock.Now()
		if now >= giveUpAt || !c.hasTakenSince(now-maxQueueWait) {
			return false
		}
		time.Sleep(clock.Duration(queuePollInterval))
	}
	return true
}

// hasTakenSince reports whether a response, or part of one, was written after a time in Unix milliseconds.
func (c *conn) hasTakenSince(at float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writtenAt > at
}
