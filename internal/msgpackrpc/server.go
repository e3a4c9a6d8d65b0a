package msgpackrpc

import (
	"context"
	"fmt"
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"spantack/internal/clock"
	"spantack/internal/router"
)

// Bounds of client connections; times are milliseconds.
const (
	maxOpenRequests       = 32                  // requests open on one connection: what a client may
	maxQueuedResponses    = 4 * maxOpenRequests // answers waiting to be written on one connection
	firstMessageTimeout   = 2_000               // for the first message: clients connect to send one at once
	idleTimeout           = 6_000               // clients close idle connections after 4 s; this bounds those that do not
	messageTimeout        = 2_000               // for the rest of a message once it has begun
	writeTimeout          = 10_000              // for one answer: a client that reads none of it is gone
	drainTimeout          = 50                  // for a message already under way when the connection is to be closed
	rejectAfter           = 1_500               // after Drain: 4 s after the call no connection may have a request of the last 2 s open
	rejectingDrainTimeout = 1                   // replaces drainTimeout once requests are refused
	lingerTimeout         = 250                 // for bytes that the client sent before it saw the close
	connQuotaDivisor      = 8                   // a connection may hold 1/connQuotaDivisor of MaxQueuedBytes while memory is short
	requestOverhead       = 8 << 10             // bytes that an open request takes besides its body
	acceptRetryDelay      = 20                  // after an accept that failed
	closeCheckInterval    = 5                   // between checks for connections whose answers have been written, at the end
	newConnGracePeriod    = 100                 // a new connection is not evicted first for so long: its first message is under way
	readBufferSize        = 4 << 10
	logInterval           = 1000

	overloadRetryAfter = "100"  // cooldown of a request for which there is no room
	drainRetryAfter    = "1000" // cooldown of a request to a drained server
)

// Server serves clients over MessagePack-RPC. Its exported fields are set before Serve.
type Server struct {
	Handle              func(context.Context, router.Request) router.Response
	IsReady             func() bool
	KeyRequired         map[string]bool    // the classes, and whether their requests carry an idempotency key; Retune changes them
	OnRejected          func(class string) // called with the class of each request that is refused here; may be nil
	MaxConns            int
	MaxQueuedBytes      int64   // bytes of open requests and of answers waiting to be written, on all connections
	ShutdownTimeout     float64 // how long open requests may hold up the end of Serve
	ResponseReadTimeout float64 // how long clients have to take an answer that was given late in that time
	ShutdownGracePeriod float64 // how much longer than Patience connections stay for that, and for answers that are due and not given yet
	Clock               *clock.Clock
	Log                 zerolog.Logger

	mu            sync.Mutex // locked before a conn's where both are held
	conns         map[*conn]bool
	queuedBytes   int64
	draining      bool // connections are closed as they become free, since drainingSince (milliseconds)
	shuttingDown  bool // draining will not end
	drainingSince float64
	faultCount    int64
	loggedAt      float64
	evictedCount  int64
	rejectedCount int64
}

// Serve accepts connections until ctx ends, then closes each as soon as no request is open on it, and returns when
// all are closed. Requests that come more than rejectAfter milliseconds later, on connections that always have one open, are refused: they
// would be cut short at the end.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	s.mu.Lock() // Drain may be called before Serve
	s.conns = map[*conn]bool{}
	s.mu.Unlock()
	defer context.AfterFunc(ctx, func() { l.Close() })()
	var wait sync.WaitGroup
	for {
		nc, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			s.recordFault(fmt.Errorf("accept: %w", err))
			time.Sleep(clock.Duration(acceptRetryDelay)) // the process may be out of descriptors: retry without spinning
			continue
		}
		c := &conn{server: s, netConn: nc, openRequests: map[uint64]*openRequest{}, queue: make(chan encodedResponse, maxQueuedResponses),
			idleSince: s.Clock.Now()}
		if !s.admit(c) {
			nc.Close()
			continue
		}
		wait.Go(func() {
			c.serve()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		})
	}
	s.mu.Lock()
	s.draining, s.shuttingDown, s.drainingSince = true, true, s.Clock.Now()
	rest := s.connections()
	s.mu.Unlock()
	for _, c := range rest {
		c.wake()
	}
	last := time.AfterFunc(clock.Duration(s.ShutdownTimeout), func() { s.closeRemaining(rest) })
	defer last.Stop()
	wait.Wait()
	return nil
}

// closeRemaining closes connections at the end of Patience. One that is owed an answer stays until Late is over: the answers are given just
// before, and a process that the machine lets run late must not close on its clients with all of them in hand.
func (s *Server) closeRemaining(rest []*conn) {
	s.mu.Lock()
	end := s.drainingSince + s.ShutdownTimeout + s.ShutdownGracePeriod
	s.mu.Unlock()
	for {
		late := s.Clock.Now() >= end
		rest = slices.DeleteFunc(rest, func(c *conn) bool {
			if !late && c.owesResponse(s.ResponseReadTimeout) {
				return false
			}
			c.netConn.Close()
			return true
		})
		if len(rest) == 0 {
			return
		}
		time.Sleep(clock.Duration(closeCheckInterval))
	}
}

// connections returns the open connections. s.mu is held.
func (s *Server) connections() []*conn {
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// Drain drains the server until Rejoin: each connection is closed once no request is open on it, and requests that come more than rejectAfter
// milliseconds later are refused. New connections are accepted, for the load balancer learns of it late, and closed likewise.
func (s *Server) Drain() {
	s.mu.Lock()
	if !s.draining {
		s.draining, s.drainingSince = true, s.Clock.Now()
	}
	list := s.connections()
	s.mu.Unlock()
	for _, c := range list {
		c.wake()
	}
}

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

// rejectsRequests reports whether requests are refused because the server drains: clients that keep connections busy must not prevent that.
func (s *Server) rejectsRequests() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining && s.Clock.Now()-s.drainingSince >= rejectAfter
}

// UpdateClasses replaces the classes.
func (s *Server) UpdateClasses(keyed map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.KeyRequired = keyed
}

// lookupClass reports whether a class is known, and whether its requests carry an idempotency key.
func (s *Server) lookupClass(name string) (keyed, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keyed, known = s.KeyRequired[name]
	return keyed, known
}

// admit registers a new connection. At MaxConns the connection that has been idle for longest is evicted: clients that hold idle connections
// must not keep others out. Without an idle one the new connection is rejected. Evicted ones are closed after the lock is released.
func (s *Server) admit(c *conn) bool {
	var gone []*conn
	defer func() {
		for _, o := range gone {
			o.netConn.Close()
		}
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) >= s.MaxConns {
		var oldest *conn
		least := math.Inf(1)
		for o := range s.conns {
			if at := o.evictionRank(); at < least {
				oldest, least = o, at
			}
		}
		if oldest == nil {
			s.rejectedCount++
			return false
		}
		delete(s.conns, oldest)
		s.evictedCount++
		gone = append(gone, oldest)
	}
	s.conns[c] = true
	return true
}

// ConnectionCounts returns the numbers of connections evicted and rejected, and of faults.
func (s *Server) ConnectionCounts() (evicted, rejected, faults int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evictedCount, s.rejectedCount, s.faultCount
}

// closesConnections reports whether connections without open requests are to be closed.
func (s *Server) closesConnections() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// recordFault counts a fault of a client or of the system, and logs at most one a second.
func (s *Server) recordFault(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultCount++
	if now := s.Clock.Now(); now-s.loggedAt >= logInterval {
		s.loggedAt = now
		s.Log.Warn().Err(err).Int64("faults", s.faultCount).Msg("client connection fault")
	}
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

// reserveResponse reserves n bytes for an answer on a connection; a negative n releases them. While more than half of MaxQueuedBytes is reserved, a
// connection with unwritten answers gets no more than its share, so that clients which do not read leave room for the others.
func (s *Server) reserveResponse(c *conn, n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	all, own := s.queuedBytes+n, c.reservedBytes+n
	if n > 0 && (all > s.MaxQueuedBytes || c.reservedBytes > 0 && own > s.MaxQueuedBytes/connQuotaDivisor && all > s.MaxQueuedBytes/2) {
		return false
	}
	s.queuedBytes, c.reservedBytes = all, own
	return true
}
