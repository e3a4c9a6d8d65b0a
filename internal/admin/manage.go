// Package admin serves the management address: readiness, metrics, servers excluded and included by hand, and the router drained and put back
// to work, over HTTP/1.1 with one call to a connection (the operators' page of daily service). Each call runs a function that it is given.
// It also has what the processes of one router share while one replaces the other: the state directory and the inherited socket.
package admin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"spantack/core/endpoints"
	"spantack/internal/clock"
)

// Bounds; times are milliseconds. A connection that sends no whole call is closed after readTimeout, or earlier when a new one comes while
// MaxConns are open.
const (
	MaxConns       = 24
	readTimeout    = 2_000
	handlerTimeout = 1_000
	maxHeaderBytes = 4 << 10
	maxBodyBytes   = 4 << 10
	maxIDLength    = 64
)

// Metric is one metric.
type Metric struct {
	Name    string // without the prefix
	Value   int64
	IsGauge bool // else a counter since the start of the process
}

// metricPrefix precedes every name (the operators' page).
const metricPrefix = "app."

// AppendMetrics writes figures as StatsD lines, such as "app.outstanding:14|g".
func AppendMetrics(buf []byte, figures []Metric) []byte {
	for _, f := range figures {
		kind := "|c\n"
		if f.IsGauge {
			kind = "|g\n"
		}
		buf = append(append(append(buf, metricPrefix...), f.Name...), ':')
		buf = append(strconv.AppendInt(buf, f.Value, 10), kind...)
	}
	return buf
}

// Server answers the calls on the management address. Its exported fields are set before Serve.
type Server struct {
	IsReady func() bool
	Metrics func() []Metric
	Exclude func(id string) error
	Include func(id string) error
	Drain   func()
	Rejoin  func()
	Log     zerolog.Logger

	mu    sync.Mutex
	conns []net.Conn // the oldest first
}

// Serve answers calls until ctx ends, then closes at once, also connections with a call open.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{
		Handler: s.handler(), MaxHeaderBytes: maxHeaderBytes, ConnState: s.trackConn,
		ReadHeaderTimeout: clock.Duration(readTimeout), ReadTimeout: clock.Duration(readTimeout),
		WriteTimeout: clock.Duration(readTimeout + handlerTimeout),
	}
	server.SetKeepAlivesEnabled(false) // one call to a connection
	defer context.AfterFunc(ctx, func() { server.Close() })()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("management address: %w", err)
	}
	return nil
}

// trackConn bounds the connections to MaxConns by closing the oldest, so that connections which send no whole call don't keep others out.
func (s *Server) trackConn(c net.Conn, state http.ConnState) {
	var oldest net.Conn
	s.mu.Lock()
	switch state {
	case http.StateNew:
		if s.conns = append(s.conns, c); len(s.conns) > MaxConns {
			oldest, s.conns = s.conns[0], s.conns[1:]
		}
	case http.StateClosed:
		s.conns = slices.DeleteFunc(s.conns, func(o net.Conn) bool { return o == c })
	}
	s.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !s.IsReady() {
			respond(w, http.StatusServiceUnavailable, "no\n")
			return
		}
		respond(w, http.StatusOK, "yes\n")
	})
	mux.HandleFunc("GET /api/telemetry", func(w http.ResponseWriter, _ *http.Request) {
		respond(w, http.StatusOK, string(AppendMetrics(nil, s.Metrics())))
	})
	mux.HandleFunc("PUT /api/exclude/{id}", s.serverCall("taken out", s.Exclude))
	mux.HandleFunc("PUT /api/include/{id}", s.serverCall("put back", s.Include))
	mux.HandleFunc("PUT /api/evacuate", s.routerCall("emptying", s.Drain))
	mux.HandleFunc("PUT /api/rejoin", s.routerCall("back to work", s.Rejoin))
	return http.MaxBytesHandler(mux, maxBodyBytes)
}

func respond(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text)) // the caller may have gone
}

// serverCall answers a call that names a server; what is logged.
func (s *Server) serverCall(what string, do func(string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		if len(id) > maxIDLength {
			respond(w, http.StatusBadRequest, "id: too long\n")
			return
		}
		switch err := do(id); {
		case errors.Is(err, endpoints.ErrUnknownServer):
			respond(w, http.StatusNotFound, "id: "+err.Error()+"\n")
		case err != nil:
			s.Log.Error().Err(err).Str("server", id).Msg("not " + what)
			respond(w, http.StatusServiceUnavailable, err.Error()+"\n")
		default:
			s.Log.Info().Str("server", id).Msg(what)
			respond(w, http.StatusOK, "yes\n")
		}
	}
}

// routerCall answers a call about the router itself; what is logged.
func (s *Server) routerCall(what string, do func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		s.Log.Info().Msg(what)
		do()
		respond(w, http.StatusOK, "yes\n")
	}
}

// Listen opens the management address. It retries for half a second, while the process that this one replaces may still hold it.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	const attempts, pause = 20, 25 * time.Millisecond
	var err error
	for range attempts {
		var l net.Listener
		if l, err = (&net.ListenConfig{}).Listen(ctx, "tcp", addr); err == nil {
			return l, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("mgmt: %w", ctx.Err())
		case <-time.After(pause):
		}
	}
	return nil, fmt.Errorf("mgmt: %w", err)
}
