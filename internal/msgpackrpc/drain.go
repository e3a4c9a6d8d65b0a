package msgpackrpc

import (
	"maps"
	"slices"
	"sync"
	"time"

	"spantack/internal/clock"
)

// Drain drains the server until Rejoin: each connection is closed once it has no open requests, and requests that
// arrive more than rejectAfter later are rejected. New connections are still accepted, since the load balancer stops
// sending them only after a delay, and are drained in the same way.
func (s *Server) Drain() { s.startDraining(false) }

// Rejoin ends draining, unless the server is shutting down.
func (s *Server) Rejoin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = s.shuttingDown
}

// Draining reports whether the server drains because of Drain, and not because it shuts down.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining && !s.shuttingDown
}

// startDraining starts to drain the server and returns the open connections. Draining for a shutdown is permanent and
// resets drainingSince.
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

// shutdown drains the server permanently and returns after all connections are closed.
func (s *Server) shutdown(serving *sync.WaitGroup) {
	open := s.startDraining(true)
	timeout := time.AfterFunc(clock.Duration(s.ShutdownTimeout), func() { s.closeRemaining(open) })
	defer timeout.Stop()
	serving.Wait()
}

// closeRemaining closes connections at the end of ShutdownTimeout. A connection with a pending response stays open for
// up to ShutdownGracePeriod longer. A handler that would respond just before ShutdownTimeout may respond after
// ShutdownTimeout if the process gets CPU time late. That response must still be delivered.
func (s *Server) closeRemaining(open []*conn) {
	s.mu.Lock()
	graceEnd := s.drainingSince + s.ShutdownTimeout + s.ShutdownGracePeriod
	s.mu.Unlock()
	for {
		isGracePeriodOver := s.Clock.Now() >= graceEnd
		open = slices.DeleteFunc(open, func(c *conn) bool {
			if !isGracePeriodOver && c.hasPendingResponse(s.ResponseReadTimeout) {
				return false
			}
			c.close()
			return true
		})
		if len(open) == 0 {
			return
		}
		time.Sleep(clock.Duration(closeCheckInterval))
	}
}

// connections returns the open connections in no particular order. s.mu is held.
func (s *Server) connections() []*conn { return slices.Collect(maps.Keys(s.conns)) }

// closesConnections reports whether connections without open requests are to be closed, which is the case while the
// server drains.
func (s *Server) closesConnections() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// rejectsRequests reports whether the server has been draining for at least rejectAfter, after which requests are
// rejected. Without rejections, clients that always have a request open could keep their connections from closing. 4 s
// after Drain, no connection may have an open request that arrived in the last 2 s.
func (s *Server) rejectsRequests() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining && s.Clock.Now()-s.drainingSince >= rejectAfter
}
