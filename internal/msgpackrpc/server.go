// Package msgpackrpc serves clients over MessagePack-RPC on TCP. A connection carries many concurrent requests, with
// responses in any order. Client implements the client side of the protocol for other programs.
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

// BytesPerConn is the memory of one client connection: the buffer of its reader, the queue of its writer, their stacks,
// and the small values of a message that is being received. Open requests, large strings and responses count towards
// Server.MaxQueuedBytes.
const BytesPerConn = 24 << 10

// Limits of client connections. Times are in milliseconds.
const (
	maxOpenRequests    = 32                  // per connection, as the protocol allows
	maxQueuedResponses = 4 * maxOpenRequests // per connection, not yet written
	requestOverhead    = 8 << 10             // bytes reserved for an open request besides its body
	bodyCopies         = 2                   // of a request's body: its own, and the one that is written to a server
	connQuotaDivisor   = 8                   // the quota of a connection is MaxQueuedBytes divided by this
	readBufferSize     = 4 << 10             // bytes

	firstMessageTimeout = 2_000 // for the first message; clients send one as soon as they connect
	// newConnGracePeriod is the age at which a connection without a message begins to be preferred for eviction. Until
	// then, its first message may be in transit.
	newConnGracePeriod = 100
	idleTimeout        = 6_000  // clients close idle connections after 4 s; the server closes the ones left open
	messageTimeout     = 2_000  // for the rest of a message after its first byte, while no request is open
	maxMessageTime     = 10_000 // for the rest of a message in any case
	messageCheckTime   = 250    // between two checks of a message that takes longer than messageTimeout
	writeTimeout       = 10_000 // for one response; a client that does not read it is treated as disconnected
	maxQueueWait       = 100    // for memory for a response, while the client takes its responses
	queuePollInterval  = 2      // between two checks during that wait
	lingerTimeout      = 250    // for bytes that the client sent before it received the close
	acceptRetryDelay   = 20     // after a failed accept

	drainTimeout          = 50    // for a message in transit on a connection that is to close
	rejectAfter           = 1_500 // from the start of draining; see rejectsRequests
	rejectingDrainTimeout = 1     // replaces drainTimeout while requests are rejected
	closeCheckInterval    = 5     // between checks for pending responses at the end of a shutdown

	overloadRetryAfter = "100"  // for a request that exceeds the capacity
	drainRetryAfter    = "1000" // for a request to a draining server
)

// Server serves clients over MessagePack-RPC. Its exported fields must be set before Serve, except for the three limits
// of the shutdown, which may be set until the context of Serve ends.
type Server struct {
	// Handle serves one request. Each call runs in its own goroutine. Its context ends when the client disconnects or
	// cancels the request.
	Handle func(context.Context, router.Request) router.Response
	// IsReady reports whether the router is ready for requests; health requests return its result.
	IsReady func() bool
	// KeyRequired maps each class to whether its requests must have an idempotency key. UpdateClasses replaces it.
	KeyRequired map[string]bool
	// OnRejected is called with the class of each request that the server rejects before Handle. It may be nil.
	OnRejected func(class string)

	MaxConns       int
	MaxQueuedBytes int64 // limit for open requests and unwritten responses on all connections

	// Limits of the shutdown in milliseconds. Until ShutdownTimeout, open requests delay the end of Serve. After it, a
	// connection stays open while it has an open request. It also stays open while it has an unwritten response and,
	// within the last ResponseReadTimeout, a message arrived or a response was queued or written. Its client can thus
	// still read a response that was queued late. All remaining connections are closed ShutdownGracePeriod after
	// ShutdownTimeout.
	ShutdownTimeout     float64
	ResponseReadTimeout float64
	ShutdownGracePeriod float64

	Clock *clock.Clock
	Log   zerolog.Logger

	mu            sync.Mutex // locked before conn.mu if both are held
	conns         map[*conn]bool
	endingConns   int     // connections that have ended and whose handlers have not returned; not in conns
	queuedBytes   int64   // reserved part of MaxQueuedBytes
	draining      bool    // connections without open requests are closed; drainingSince is the start
	shuttingDown  bool    // draining is permanent
	drainingSince float64 // Unix milliseconds

	faultCount    int64
	faultLog      ratelog.Limiter
	evictedCount  int64
	rejectedCount int64 // of connections
	// unreadCloseCount is the number of connections closed while responses were unread.
	unreadCloseCount int64
}

// Serve accepts connections until ctx ends, then closes each connection once it has no open requests, and returns when
// all connections are closed. A connection with an open request still accepts further requests. Those that arrive more
// than rejectAfter after the end of ctx are rejected, since the end of the shutdown would abort them.
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
	current := turn{length: acceptsPerTurn}
	for {
		netConn, err := listener.Accept()
		if err != nil && ctx.Err() != nil {
			return
		}
		if err != nil {
			s.recordFault(fmt.Errorf("accept: %w", err))
			time.Sleep(clock.Duration(acceptRetryDelay)) // avoids a busy loop if the process is out of descriptors
			continue
		}
		s.awaitEndingConns()
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
		if current.record(s.Clock.Now()) {
			time.Sleep(clock.Duration(turnPause))
		}
	}
}

// UpdateClasses replaces KeyRequired. The change also applies to open connections.
func (s *Server) UpdateClasses(keyRequired map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.KeyRequired = keyRequired
}

// lookupClass reports whether a class is known and whether its requests must have an idempotency key.
func (s *Server) lookupClass(name string) (keyRequired, isKnown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keyRequired, isKnown = s.KeyRequired[name]
	return keyRequired, isKnown
}

// Stats describes a server: counts since its start, and the current reservation of memory.
type Stats struct {
	EvictedConns  int64 // closed in favor of new ones
	RejectedConns int64 // closed because all others had a pending response
	Faults        int64 // of clients or the system
	ReservedBytes int64 // reserved part of MaxQueuedBytes
	UnreadCloses  int64 // connections that the server closed while the client had not taken all responses
}

// Stats returns the server's current statistics.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{
		EvictedConns:  s.evictedCount,
		RejectedConns: s.rejectedCount,
		Faults:        s.faultCount,
		ReservedBytes: s.queuedBytes,
		UnreadCloses:  s.unreadCloseCount,
	}
}

// recordUnreadClose counts a connection that the server closes while responses are unread.
func (s *Server) recordUnreadClose() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreadCloseCount++
}

// recordFault counts a fault of a client or the system, and logs at most one fault per ratelog.Interval.
func (s *Server) recordFault(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultCount++
	if s.faultLog.Allow(s.Clock.Now()) {
		s.Log.Warn().Err(err).Int64("faults", s.faultCount).Msg("client connection fault")
	}
}
