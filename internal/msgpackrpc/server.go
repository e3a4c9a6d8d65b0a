// Package msgpackrpc serves clients over MessagePack-RPC on TCP: many requests open on one connection, responses in any
// order. Its Client speaks the same protocol for other programs.
package msgpackrpc

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"spantack/internal/clock"
	"spantack/internal/ratelog"
	"spantack/internal/router"
)

// Bounds of client connections; times are milliseconds.
const (
	maxOpenRequests    = 32                  // on one connection, as the protocol allows
	maxQueuedResponses = 4 * maxOpenRequests // waiting to be written on one connection
	requestOverhead    = 8 << 10             // bytes that an open request takes besides its body
	connQuotaDivisor   = 8                   // divisor of MaxQueuedBytes for the quota of a connection
	readBufferSize     = 4 << 10             // bytes

	firstMessageTimeout = 2_000  // for the first message: clients connect to send one at once
	newConnGracePeriod  = 100    // in which a new connection is not evicted first: its first message is under way
	idleTimeout         = 6_000  // clients close idle connections after 4 s; this bounds those that do not
	messageTimeout      = 2_000  // for the rest of a message once it has begun
	writeTimeout        = 10_000 // for one response: a client that reads none of it counts as gone
	lingerTimeout       = 250    // for bytes that the client sent before it saw the close
	acceptRetryDelay    = 20     // after an accept that failed

	drainTimeout          = 50    // for a message already under way when the connection is to be closed
	rejectAfter           = 1_500 // after Drain: 4 s after it no connection may have a request of the last 2 s open
	rejectingDrainTimeout = 1     // replaces drainTimeout once requests are rejected
	closeCheckInterval    = 5     // between checks for connections whose responses are written, at the end

	overloadRetryAfter = "100"  // of a request for which there is no capacity
	drainRetryAfter    = "1000" // of a request to a draining server
)

// Server serves clients over MessagePack-RPC. Its exported fields are set before Serve, but for the three that bound
// the shutdown: they are read after the context of Serve has ended.
type Server struct {
	// Handle serves one request; it runs in a goroutine of its own. Its context ends when the client no longer waits.
	Handle func(context.Context, router.Request) router.Response
	// IsReady answers health requests.
	IsReady func() bool
	// KeyRequired holds the classes, and whether their requests carry an idempotency key. UpdateClasses replaces it.
	KeyRequired map[string]bool
	// OnRejected is called with the class of each request that is rejected here; it may be nil.
	OnRejected func(class string)

	MaxConns       int
	MaxQueuedBytes int64 // of open requests and of responses waiting to be written, on all connections

	// Milliseconds. ShutdownTimeout is how long open requests may delay the end of Serve; ResponseReadTimeout is how
	// long clients have to read a response that was given late in that time. ShutdownGracePeriod is how much longer
	// than ShutdownTimeout connections stay for that, and for responses that are due and not given yet.
	ShutdownTimeout     float64
	ResponseReadTimeout float64
	ShutdownGracePeriod float64

	Clock *clock.Clock
	Log   zerolog.Logger

	mu            sync.Mutex // locked before a conn's where both are held
	conns         map[*conn]bool
	queuedBytes   int64   // reserved of MaxQueuedBytes
	draining      bool    // connections are closed as they become free, since drainingSince
	shuttingDown  bool    // draining will not end
	drainingSince float64 // Unix milliseconds

	faultCount    int64
	faultLog      ratelog.Limiter
	evictedCount  int64
	rejectedCount int64 // connections
}

// Serve accepts connections until ctx ends, then closes each as soon as no request is open on it, and returns when all
// are closed. Requests that come more than rejectAfter later, on connections that always have one open, are rejected:
// they would be cut short at the end.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	s.mu.Lock() // Drain may be called before Serve
	s.conns = map[*conn]bool{}
	s.mu.Unlock()
	defer context.AfterFunc(ctx, func() { listener.Close() })()
	var serving sync.WaitGroup
	s.acceptAll(ctx, listener, &serving)
	s.shutdown(&serving)
	return nil
}

// acceptAll accepts and serves connections until ctx ends.
func (s *Server) acceptAll(ctx context.Context, listener net.Listener, serving *sync.WaitGroup) {
	for {
		netConn, err := listener.Accept()
		if err != nil && ctx.Err() != nil {
			return
		}
		if err != nil {
			s.recordFault(fmt.Errorf("accept: %w", err))
			time.Sleep(clock.Duration(acceptRetryDelay)) // the process may be out of descriptors: retry without spinning
			continue
		}
		c := newConn(s, netConn)
		if !s.admit(c) {
			netConn.Close()
			continue
		}
		serving.Go(func() {
			c.serve()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		})
	}
}

// UpdateClasses replaces KeyRequired, for connections that are open too.
func (s *Server) UpdateClasses(keyRequired map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.KeyRequired = keyRequired
}

// lookupClass reports whether a class is known, and whether its requests carry an idempotency key.
func (s *Server) lookupClass(name string) (keyRequired, isKnown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keyRequired, isKnown = s.KeyRequired[name]
	return keyRequired, isKnown
}

// ConnectionCounts returns the numbers of connections evicted and rejected, and of faults.
func (s *Server) ConnectionCounts() (evicted, rejected, faults int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evictedCount, s.rejectedCount, s.faultCount
}

// recordFault counts a fault of a client or of the system, and logs at most one per ratelog.Interval.
func (s *Server) recordFault(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultCount++
	if s.faultLog.Allow(s.Clock.Now()) {
		s.Log.Warn().Err(err).Int64("faults", s.faultCount).Msg("client connection fault")
	}
}
