package msgpackrpc

import "math"

// admit registers a new connection. At MaxConns the connection that has been idle for longest is evicted: clients that
// hold idle connections must not keep others out. Without an idle one the new connection is rejected. Evicted ones are
// closed after the lock is released.
func (s *Server) admit(c *conn) bool {
	var evicted []*conn
	defer func() {
		for _, e := range evicted {
			e.netConn.Close()
		}
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) >= s.MaxConns {
		idlest := s.idlestConn()
		if idlest == nil {
			s.rejectedCount++
			return false
		}
		delete(s.conns, idlest)
		s.evictedCount++
		evicted = append(evicted, idlest)
	}
	s.conns[c] = true
	return true
}

// idlestConn returns the connection to evict, or nil if a response is due on each. s.mu is held.
func (s *Server) idlestConn() *conn {
	var idlest *conn
	lowest := math.Inf(1)
	for c := range s.conns {
		if rank := c.evictionRank(); rank < lowest {
			idlest = c
			lowest = rank
		}
	}
	return idlest
}

// evictionRank orders connections for eviction, the lowest first: those that never sent a message, then those that have
// been idle for longest. It is infinite, which prevents eviction, while a response is due.
func (c *conn) evictionRank() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(c.openRequests) > 0 || c.unsentResponses > 0:
		return math.Inf(1)
	case !c.receivedAny && c.server.Clock.Now()-c.idleSince > newConnGracePeriod:
		return c.idleSince - firstMessageTimeout
	}
	return c.idleSince
}

// reserve reserves n bytes of MaxQueuedBytes, or reports false where they are not free; a negative n releases them.
func (s *Server) reserve(n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > 0 && s.queuedBytes+n > s.MaxQueuedBytes {
		return false
	}
	s.queuedBytes += n
	return true
}

// reserveResponse reserves n bytes for a response on a connection; a negative n releases them. While more than half of
// MaxQueuedBytes is reserved, a connection with unwritten responses gets no more than its quota, so that clients which
// do not read leave capacity for the others.
func (s *Server) reserveResponse(c *conn, n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := s.queuedBytes + n
	own := c.reservedBytes + n
	if n > 0 {
		isOverQuota := c.reservedBytes > 0 && own > s.MaxQueuedBytes/connQuotaDivisor
		if total > s.MaxQueuedBytes || isOverQuota && total > s.MaxQueuedBytes/2 {
			return false
		}
	}
	s.queuedBytes = total
	c.reservedBytes = own
	return true
}
