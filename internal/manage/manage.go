// Package manage serves the second address: whether the router takes work, its figures, servers taken out and put back by hand,
// and the router emptied and put back to work. It speaks HTTP/1.1, one call to a connection (the operators' page of daily
// service). It decides nothing: each call is a function that it is given.
package manage

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

	"spantack/core/roster"
	"spantack/internal/clock"
)

// Bounds; times are milliseconds. A caller that sends no whole call holds its place for callTime at most, and gives it up before
// that to one that comes while all places are taken.
const (
	MostConns  = 24
	callTime   = 2_000
	answerTime = 1_000
	headBytes  = 4 << 10
	bodyBytes  = 4 << 10
	longestID  = 64
)

// Figure is one line of the figures.
type Figure struct {
	Name  string // without the prefix
	Value int64
	Gauge bool // else a count since the start of the process
}

// prefix stands before every name (the operators' page).
const prefix = "app."

// AppendFigures writes figures as StatsD lines, such as "app.outstanding:14|g".
func AppendFigures(buf []byte, figures []Figure) []byte {
	for _, f := range figures {
		kind := "|c\n"
		if f.Gauge {
			kind = "|g\n"
		}
		buf = append(append(append(buf, prefix...), f.Name...), ':')
		buf = append(strconv.AppendInt(buf, f.Value, 10), kind...)
	}
	return buf
}

// Server answers the calls. Its fields are set before Serve.
type Server struct {
	Ready    func() bool
	Figures  func() []Figure
	Exclude  func(id string) error
	Include  func(id string) error
	Evacuate func()
	Rejoin   func()
	Log      zerolog.Logger

	mu    sync.Mutex
	conns []net.Conn // the oldest first
}

// Serve answers calls until ctx ends, then closes at once: nobody waits long for these.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{
		Handler: s.handler(), MaxHeaderBytes: headBytes, ConnState: s.state,
		ReadHeaderTimeout: clock.Duration(callTime), ReadTimeout: clock.Duration(callTime),
		WriteTimeout: clock.Duration(callTime + answerTime),
	}
	server.SetKeepAlivesEnabled(false) // one call to a connection
	defer context.AfterFunc(ctx, func() { server.Close() })()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("management address: %w", err)
	}
	return nil
}

// state bounds the connections: where all places are taken, the oldest gives way. It guards calls of staff against callers that
// connect and send no whole call.
func (s *Server) state(c net.Conn, now http.ConnState) {
	var old net.Conn
	s.mu.Lock()
	switch now {
	case http.StateNew:
		if s.conns = append(s.conns, c); len(s.conns) > MostConns {
			old, s.conns = s.conns[0], s.conns[1:]
		}
	case http.StateClosed:
		s.conns = slices.DeleteFunc(s.conns, func(o net.Conn) bool { return o == c })
	}
	s.mu.Unlock()
	if old != nil {
		old.Close()
	}
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !s.Ready() {
			say(w, http.StatusServiceUnavailable, "no\n")
			return
		}
		say(w, http.StatusOK, "yes\n")
	})
	mux.HandleFunc("GET /api/telemetry", func(w http.ResponseWriter, _ *http.Request) {
		say(w, http.StatusOK, string(AppendFigures(nil, s.Figures())))
	})
	mux.HandleFunc("PUT /api/exclude/{id}", s.by("taken out", s.Exclude))
	mux.HandleFunc("PUT /api/include/{id}", s.by("put back", s.Include))
	mux.HandleFunc("PUT /api/evacuate", s.whole("emptying", s.Evacuate))
	mux.HandleFunc("PUT /api/rejoin", s.whole("back to work", s.Rejoin))
	return http.MaxBytesHandler(mux, bodyBytes)
}

func say(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text)) // the caller may have left: there is nobody to tell
}

// by answers a call that names a server.
func (s *Server) by(what string, do func(string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		if len(id) > longestID {
			say(w, http.StatusBadRequest, "id: too long\n")
			return
		}
		switch err := do(id); {
		case errors.Is(err, roster.ErrUnknown):
			say(w, http.StatusNotFound, "id: "+err.Error()+"\n")
		case err != nil:
			s.Log.Error().Err(err).Str("server", id).Msg("not " + what)
			say(w, http.StatusServiceUnavailable, err.Error()+"\n")
		default:
			s.Log.Info().Str("server", id).Msg(what)
			say(w, http.StatusOK, "yes\n")
		}
	}
}

// whole answers a call that concerns the router itself.
func (s *Server) whole(what string, do func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		s.Log.Info().Msg(what)
		do()
		say(w, http.StatusOK, "yes\n")
	}
}

// Listen opens the address. After a replacement the old process may hold it for a moment.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	const tries, pause = 20, 25 * time.Millisecond
	var err error
	for range tries {
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
