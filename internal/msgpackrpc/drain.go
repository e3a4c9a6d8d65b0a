package msgpackrpc

import (
	"maps"
	"slices"
	"sync"
	"time"

	"spantack/internal/clock"
)

// Drain drains the server until Rejoin: each connection is closed once no request is open on it, and requests that come
// more than rejectAfter later are rejected. New connections are accepted, since the load balancer learns of it late,
// and closed likewise.
func (s *Server) Drain() { s.startDraining(false) }

// Rejoin ends draining, unless the server is shutting down.
func (s *Server) Rejoin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = s.shuttingDown
}

// Draining reports whether Drain is in force.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining && !s.shuttingDown
}

// startDraining begins to drain the server, for good if it is for the shutdown, and returns the connections that are
// open. The time of draining begins anew with the shutdown.
func (s *Server) startDraining(isShutdown bool) []*conn {
	s.mu.Lock()
	if !s.draining || isShutdown {
		s.drainingSince = s.Clock.Now()
	}
	s.draining = true
	s.shuttingDown = s.shuttingDown || isShutdown
	open := s.connections()
	s.mu.Unlock()
	for _, c := range open {
		c.wake()
	}
	return open
}

// shutdown drains the server for good, and returns once all connections are closed.
func (s *Server) shutdown(serving *sync.WaitGroup) {
	open := s.startDraining(true)
	timeout := time.AfterFunc(clock.Duration(s.ShutdownTimeout), func() { s.closeRemaining(open) })
	defer timeout.Stop()
	serving.Wait()
}

// closeRemaining closes connections at the end of ShutdownTimeout. One on which a response is due stays until
// ShutdownGracePeriod is over: responses are given just before, and a process that the machine lets run late must not
// close on its clients with all of them in hand.
func (s *Server) closeRemaining(open []*conn) {
	s.mu.Lock()
	graceEnd := s.drainingSince + s.ShutdownTimeout + s.ShutdownGracePeriod
	s.mu.Unlock()
	for {
		isGraceOver := s.Clock.Now() >= graceEnd
		open = slices.DeleteFunc(open, func(c *conn) bool {
			if !isGraceOver && c.owesResponse(s.ResponseReadTimeout) {
				return false
			}
			c.netConn.Close()
			return true
		})
		if len(open) == 0 {
			return
		}
		time.Sleep(clock.Duration(closeCheckInterval))
	}
}

// connections returns the open connections. s.mu is held.
func (s *Server) connections() []*conn { return slices.Collect(maps.Keys(s.conns)) }

// closesConnections reports whether connections without open requests are to be closed.
func (s *Server) closesConnections() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// rejectsRequests reports whether requests are rejected because the server drains: clients that keep connections busy
// must not prevent that.
func (s *Server) rejectsRequests() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining && s.Clock.Now()-s.drainingSince >= rejectAfter
}
