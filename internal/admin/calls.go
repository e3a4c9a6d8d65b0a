package admin

import (
	"errors"
	"net/http"

	"spantack/core/endpoints"
)

// maxIDLength bounds the id of a server in a call, in bytes.
const maxIDLength = 64

// The answers of calls that have no other text.
const (
	answerYes = "yes\n"
	answerNo  = "no\n"
)

// handler returns the calls by method and path. Their names and answers are those of the operators' page.
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

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.IsReady() {
		respond(w, http.StatusServiceUnavailable, answerNo)
		return
	}
	respond(w, http.StatusOK, answerYes)
}

func (s *Server) telemetry(w http.ResponseWriter, _ *http.Request) {
	respond(w, http.StatusOK, string(AppendMetrics(nil, s.Metrics())))
}

// serverCall answers a call that names a server; message is logged once it has taken effect.
func (s *Server) serverCall(message string, call func(id string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		if len(id) > maxIDLength {
			respond(w, http.StatusBadRequest, "id: too long\n")
			return
		}
		switch err := call(id); {
		case errors.Is(err, endpoints.ErrUnknownServer):
			respond(w, http.StatusNotFound, "id: "+err.Error()+"\n")
		case err != nil:
			s.Log.Error().Err(err).Str("server", id).Msg("not " + message)
			respond(w, http.StatusServiceUnavailable, err.Error()+"\n")
		default:
			s.Log.Info().Str("server", id).Msg(message)
			respond(w, http.StatusOK, answerYes)
		}
	}
}

// routerCall answers a call about the router itself; message is logged before.
func (s *Server) routerCall(message string, call func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		s.Log.Info().Msg(message)
		call()
		respond(w, http.StatusOK, answerYes)
	}
}

func respond(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text)) // the caller may have gone
}
