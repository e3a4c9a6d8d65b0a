// Package admin serves the management address over HTTP/1.1, with one management call per connection. The calls report
// readiness and metrics, exclude and include servers, and drain and rejoin the router; docs/operation.md documents
// them. Each call runs a function of Server.
package admin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"spantack/internal/clock"
)

// MaxConns is the maximum number of open connections. Beyond it, a new connection closes the oldest.
const MaxConns = 24

// BytesPerConn is the memory of one connection, with the header and body of its call, its buffers and its stack.
const BytesPerConn = 32 << 10

// Times in milliseconds.
const (
	// readTimeout is how long a connection may take to send a complete call.
	readTimeout = 2_000
	// handlerTimeout is how long a complete call may take until its response is written. The write timeout starts
	// when the header of the call has been read. The body may take until readTimeout, so the write timeout is the sum of
	// both.
	handlerTimeout = 1_000
)

// Sizes in bytes.
const (
	maxHeaderBytes = 4 << 10
	maxBodyBytes   = 4 << 10
)

// Server handles the calls on the management address. Its exported fields must be set before Serve.
type Server struct {
	IsReady func() bool           // reports whether the router accepts requests
	Metrics func() []Metric       // returns the metrics in the order in which they are written
	Exclude func(id string) error // excludes a server; in effect when it returns
	Include func(id string) error // includes a server; in effect when it returns
	Drain   func()                // drains the router; must not wait for open requests
	Rejoin  func()                // ends the drain
	Log     zerolog.Logger

	mu    sync.Mutex
	conns []net.Conn // open connections, the oldest first
}

// Serve handles calls until ctx ends. Then it closes the listener and all connections at once, also those with an open
// call. It owns the listener.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{
		Handler:           s.handler(),
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.trackConn,
		ReadHeaderTimeout: clock.Duration(readTimeout),
		ReadTimeout:       clock.Duration(readTimeout),
		WriteTimeout:      clock.Duration(readTimeout + handlerTimeout),
	}
	server.SetKeepAlivesEnabled(false) // one call per connection
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve management address: %w", err)
	}
	return nil
}

// trackConn limits the connections to MaxConns by closing the oldest, so that connections that never send a complete
// call don't block new ones.
func (s *Server) trackConn(c net.Conn, state http.ConnState) {
	var oldest net.Conn
	s.mu.Lock()
	switch state {
	case http.StateNew:
		s.conns = append(s.conns, c)
		if len(s.conns) > MaxConns {
			oldest = s.conns[0]
			s.conns = s.conns[1:]
		}
	case http.StateClosed:
		s.conns = slices.DeleteFunc(s.conns, func(open net.Conn) bool { return open == c })
	}
	s.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
}

// Listen makes listenAttempts attempts, listenRetryInterval milliseconds apart.
const (
	listenAttempts      = 20
	listenRetryInterval = 25
)

// Listen returns a listener on the management address. It retries for half a second, since the process that this one
// replaces may still hold the address.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	var lastErr error
	for range listenAttempts {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
		if err == nil {
			return l, nil
		}
		lastErr = err
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("mgmt: %w", ctx.Err())
		case <-time.After(clock.Duration(listenRetryInterval)):
		}
	}
	return nil, fmt.Errorf("mgmt: %w", lastErr)
}
