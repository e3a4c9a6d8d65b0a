package admin

import (
	"errors"
	"net/http"

	"spantack/core/endpoints"
)

// maxIDLength is the maximum length of a server id in a call, in bytes.
const maxIDLength = 64

// Response bodies of calls that return no other text.
const (
	bodyYes = "yes\n"
	bodyNo  = "no\n"
)

// handler returns the handler of all management calls. docs/operation.md documents their paths and responses.
func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/ready", s.ready)
	mux.HandleFunc("GET /api/telemetry", s.telemetry)
	mux.HandleFunc("PUT /api/exclude/{id}", s.serverCall("taken out", s.Exclude))
	mux.HandleFunc("PUT /api/include/{id}", s.serverCall("put back", s.Include))
	mux.HandleFunc("PUT /api/evacuate", s.routerCall("emptying", s.Drain))
	mux.HandleFunc("PUT /api/rejoin", s.routerCall("back to work", s.Rejoin))
	return http.MaxBytesHandler(mux, maxBodyBytes)
}

// ready responds whether the router accepts requests: 200 or 503.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.IsReady() {
		respond(w, http.StatusServiceUnavailable, bodyNo)
		return
	}
	respond(w, http.StatusOK, bodyYes)
}

// telemetry responds with the metrics.
func (s *Server) telemetry(w http.ResponseWriter, _ *http.Request) {
	respond(w, http.StatusOK, string(AppendMetrics(nil, s.Metrics())))
}

// serverCall returns the handler of a call that names a server; message is logged after run has returned without error.
// The response is 400 for an id that is too long, 404 for an unknown server and 503 for any other error.
func (s *Server) serverCall(message string, run func(id string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		if len(id) > maxIDLength {
			respond(w, http.StatusBadRequest, "id: too long\n")
			return
		}
		switch err := run(id); {
		case errors.Is(err, endpoints.ErrUnknownServer):
			respond(w, http.StatusNotFound, "id: "+err.Error()+"\n")
		case err != nil:
			s.Log.Error().Err(err).Str("server", id).Msg("not " + message)
			respond(w, http.StatusServiceUnavailable, err.Error()+"\n")
		default:
			s.Log.Info().Str("server", id).Msg(message)
			respond(w, http.StatusOK, bodyYes)
		}
	}
}

// routerCall returns the handler of a call about the router itself; message is logged before run is called.
func (s *Server) routerCall(message string, run func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		s.Log.Info().Msg(message)
		run()
		respond(w, http.StatusOK, bodyYes)
	}
}

// respond writes a plain text response.
func respond(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text)) // the caller may have closed the connection
}
