// Package cache provides fake cache servers for tests and experiments. They replace edge caches, parent caches and the
// origin. They listen on loopback, speak RESP, store copies, fill misses from one another and inject faults on demand.
// A RequestLog records the requests that they receive.
package cache

import (
	"cmp"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// anyLoopbackPort is the default of Options.Addr.
const anyLoopbackPort = "127.0.0.1:0"

// Options configure a server. RequestLog is required; all other fields are optional.
type Options struct {
	// ID is the server's id in the endpoint list.
	ID uint32
	// Addr is the address to listen on. Empty means a free port of 127.0.0.1.
	Addr string
	// Listener accepts the server's connections. Nil means that the server opens a listener at Addr.
	Listener net.Listener
	// IsOrigin makes the server the origin, which has a fresh copy of every object.
	IsOrigin bool
	// Delay is the time from the arrival of a request to its response. A fill adds the Delay of the server to fill
	// from.
	Delay time.Duration
	// BodySize is the size of all bodies in bytes. Each repeats the result of Body. 0: bodies are the result of Body.
	BodySize int
	// FindServer returns the server with a name, to fill a miss from, or nil if there is none. A nil function means
	// that misses are not filled. It is called from several goroutines at once.
	FindServer func(name string) *Server
	// InjectFault returns the fault to inject for a request, or FaultNone. A nil function injects no faults. It is
	// called from several goroutines at once.
	InjectFault func(Request) Fault
	// RequestLog records the requests. The servers of one deployment share it.
	RequestLog *RequestLog
	// UsesSmallBuffers makes the socket buffers of connections so small that a client's write of a command of 32 KB or
	// more blocks until the server reads. It has no effect if Listener is set.
	UsesSmallBuffers bool
}

// Server is one cache, or the origin. It is safe for concurrent use.
type Server struct {
	options    Options
	listener   net.Listener
	readGate   gate // closed while the server is paused
	goroutines sync.WaitGroup
	done       chan struct{} // closed by Close

	mu        sync.Mutex // guards the fields below
	createdAt map[copyKey]time.Time
	conns     map[net.Conn]*arrivalReader // open connections
	accepted  int                         // connections accepted so far
	isClosed  bool
}

// copyKey identifies a cached copy.
type copyKey struct{ object, chunk string }

// Listen starts a server. The caller stops it with Close.
func Listen(options Options) (*Server, error) {
	listener := options.Listener
	if listener == nil {
		var err error
		addr := cmp.Or(options.Addr, anyLoopbackPort)
		if listener, err = listen(addr, options.UsesSmallBuffers); err != nil {
			return nil, fmt.Errorf("cache server %08x: %w", options.ID, err)
		}
	}
	s := &Server{
		options:   options,
		listener:  listener,
		createdAt: map[copyKey]time.Time{},
		conns:     map[net.Conn]*arrivalReader{},
		done:      make(chan struct{}),
	}
	s.goroutines.Go(s.accept)
	return s, nil
}

// Name returns the server's name in requests and in the endpoint list of the decision module.
func (s *Server) Name() string { return fmt.Sprintf("s-%08x", s.options.ID) }

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort { return netip.MustParseAddrPort(s.listener.Addr().String()) }

// Close stops the server like a killed process: it closes all connections without waiting for the responses to open
// requests. It returns when all goroutines of the server have ended. It may be called several times.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	if !s.isClosed {
		s.isClosed = true
		close(s.done)
	}
	for conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

// Pause makes the server read nothing from its connections until Resume, like a process that hangs. A read that is
// already blocked still receives the next bytes.
func (s *Server) Pause() { s.readGate.close() }

// Resume makes a paused server read again.
func (s *Server) Resume() { s.readGate.open() }

// Connections returns how many connections were accepted so far, how many of them are open, and how many of the open
// ones have received bytes that the server has not read.
func (s *Server) Connections() (accepted, open, unread int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, reader := range s.conns {
		if reader.hasUnread() {
			unread++
		}
	}
	return s.accepted, len(s.conns), unread
}

// accept serves each connection in its own goroutine until the listener is closed.
func (s *Server) accept() {
	for {
		netConn, err := s.listener.Accept()
		if err != nil {
			return
		}
		reader, err := newArrivalReader(netConn.(*net.TCPConn), &s.readGate, s.done)
		if err != nil {
			netConn.Close()
			continue
		}
		s.register(netConn, reader)
		s.goroutines.Go(func() {
			newConn(s, netConn, reader).serve()
			s.unregister(netConn)
		})
	}
}

// register adds a connection, or closes it if the server was closed after accepting it. The connection counts as
// accepted in both cases.
func (s *Server) register(netConn net.Conn, reader *arrivalReader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted++
	if s.isClosed {
		netConn.Close()
		return
	}
	s.conns[netConn] = reader
}

func (s *Server) unregister(netConn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, netConn)
}
