// Package admin serves the management address over HTTP/1.1, with one call to a connection (the operators' page of
// daily service): readiness, metrics, servers excluded and included by hand, and the router drained and put back to
// work. Each call runs a function that it is given.
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

// MaxConns bounds the connections that are open at a time: a new one closes the oldest.
const MaxConns = 24

// Times in milliseconds.
const (
	// readTimeout is how long a connection may take to send a whole call.
	readTimeout = 2_000
	// handlerTimeout is how long a call may take to be answered.
	handlerTimeout = 1_000
)

// Sizes in bytes.
const (
	maxHeaderBytes = 4 << 10
	maxBodyBytes   = 4 << 10
)

// Server answers the calls on the management address. Its exported fields are set before Serve.
type Server struct {
	IsReady func() bool           // whether the router takes requests
	Metrics func() []Metric       // in the order in which they are told
	Exclude func(id string) error // has taken effect when it returns
	Include func(id string) error // has taken effect when it returns
	Drain   func()                // must not wait for open requests
	Rejoin  func()                // ends what Drain began
	Log     zerolog.Logger

	mu    sync.Mutex
	conns []net.Conn // the open ones, the oldest first
}

// Serve answers calls until ctx ends, then closes at once, also connections with a call open. It owns the listener.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{
		Handler:           s.handler(),
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.trackConn,
		ReadHeaderTimeout: clock.Duration(readTimeout),
		ReadTimeout:       clock.Duration(readTimeout),
		WriteTimeout:      clock.Duration(readTimeout + handlerTimeout),
	}
	server.SetKeepAlivesEnabled(false) // one call to a connection
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("management address: %w", err)
	}
	return nil
}

// trackConn bounds the connections to MaxConns by closing the oldest, so that connections which send no whole call
// don't keep others out.
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

// Listen retries so often, so many milliseconds apart.
const (
	listenAttempts      = 20
	listenRetryInterval = 25
)

// Listen opens the management address. It retries for half a second, while the process that this one replaces may
// still hold it.
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
