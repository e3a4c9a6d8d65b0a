// Package cache is a scripted cache server for tests and experiments. It stands in for edge caches, parent caches and
// the origin: servers on loopback that speak RESP, store copies, fill misses from one another and fail on demand, and
// a log of the requests that reached them.
package cache

import (
	"cmp"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// anyLoopbackPort is the address of a server that is given none.
const anyLoopbackPort = "127.0.0.1:0"

// Options configure a server. RequestLog is required; each other field may be left at its zero value.
type Options struct {
	// ID is the server's id in the endpoint list.
	ID uint32
	// Addr is the address to listen on. Empty means a free port of 127.0.0.1.
	Addr string
	// Listener is where the server accepts connections. Nil means that it opens one at Addr.
	Listener net.Listener
	// IsOrigin makes the server hold a fresh copy of every object.
	IsOrigin bool
	// Delay is the time from the arrival of a request to its response, without that of a fill.
	Delay time.Duration
	// FindServer returns the server with a name, which a request has a miss filled from, or nil where there is none.
	// A nil function means that misses are not filled. It is called from several goroutines at once.
	FindServer func(name string) *Server
	// InjectFault chooses what the server does to a request instead of serving it. A nil function injects no faults.
	// It is called from several goroutines at once.
	InjectFault func(Request) Fault
	// RequestLog records the requests. The servers of one deployment share it.
	RequestLog *RequestLog
	// UsesSmallBuffers gives connections the smallest socket buffers: a command of 32 KB or more blocks its sender
	// until the server reads.
	UsesSmallBuffers bool
}

// Server is one cache, or the origin. It is safe for concurrent use.
type Server struct {
	options    Options
	listener   net.Listener
	readGate   gate // closed while the server reads nothing
	goroutines sync.WaitGroup
	done       chan struct{} // closed by Close

	mu        sync.Mutex // guards the fields below
	createdAt map[copyKey]time.Time
	conns     map[net.Conn]*arrivalReader // the open ones
	accepted  int                         // connections so far
	isClosed  bool
}

// copyKey names what a copy is of.
type copyKey struct{ object, chunk string }

// Listen starts a server. The caller ends it with Close.
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

// Name returns the server's name as requests and the endpoint list of the decision module have it.
func (s *Server) Name() string { return fmt.Sprintf("s-%08x", s.options.ID) }

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort { return netip.MustParseAddrPort(s.listener.Addr().String()) }

// Close ends the server as a killed process ends: its connections break. It returns once all its goroutines have
// ended, and may be called again.
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

// Pause makes the server read nothing from its connections until Resume, as a process that hangs. A read that waits
// already still gets what comes first.
func (s *Server) Pause() { s.readGate.close() }

// Resume ends a Pause.
func (s *Server) Resume() { s.readGate.open() }

// Connections returns how many connections were accepted so far, how many of them are open, and how many of those
// hold bytes that the server has not read.
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

// accept serves each connection in a goroutine of its own until the listener is closed.
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

// register counts a connection, and closes it if the server was closed meanwhile.
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
