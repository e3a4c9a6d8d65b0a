package msgpackrpc

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"spantack/internal/clock"
	"spantack/internal/router"
	"spantack/internal/testwait"
)

// Guards against a client at full speed that gets all the time of the reader, and against pauses for clients that do not
// send at full speed.
func TestTurnEndsAfterItsMessages(t *testing.T) {
	for _, test := range []struct {
		interval float64 // between two messages, in milliseconds
		want     int     // pauses in ten turns
	}{{0, 10}, {0.1, 10}, {turnTime, 0}, {1000, 0}} {
		current := turn{length: messagesPerTurn}
		pauses := 0
		for i := range 10 * messagesPerTurn {
			if current.record(1000 + float64(i)*test.interval) {
				pauses++
			}
		}
		if pauses != test.want {
			t.Errorf("a message each %v ms: %d pauses, want %d", test.interval, pauses, test.want)
		}
	}
}

// Guards against a client that sends and cancels requests at full speed: the handlers of canceled requests run on, and
// had no bound but memory. While maxHandlers run, no further message of the client may be handled; the connection goes on
// once one returns.
func TestHandlersOfCanceledRequestsAreBounded(t *testing.T) {
	const requests = 2 * maxHandlers
	handlers := newStuckHandlers()
	client := startServer(t, func(server *Server) { server.Handle = handlers.handle })
	go func() {
		for id := range uint64(requests) {
			client.sendRequest(id+1, "page", fmt.Sprintf("%016x", id))
			client.Write(encode(nil, []any{uint64(2), "cancel", []any{id + 1}}))
		}
	}()
	testwait.Until(t, "the handlers to start", func() bool { return handlers.running.Load() >= maxHandlers })
	time.Sleep(20 * time.Millisecond)
	if running := handlers.running.Load(); running > maxHandlers {
		t.Errorf("%d handlers, want at most %d", running, maxHandlers)
	}
	close(handlers.end)
	testwait.Until(t, "the other requests to be handled", func() bool { return handlers.started.Load() == requests })
}

// stuckHandlers are handlers that do not return when their request is canceled.
type stuckHandlers struct {
	started, running atomic.Int64
	end              chan struct{} // closed by the test to let all handlers return
}

func newStuckHandlers() *stuckHandlers { return &stuckHandlers{end: make(chan struct{})} }

func (h *stuckHandlers) handle(context.Context, router.Request) router.Response {
	h.started.Add(1)
	h.running.Add(1)
	defer h.running.Add(-1)
	<-h.end
	return router.Response{}
}

// Guards against clients that connect and leave at full speed: their connections, whose handlers have not returned, must
// not count as open ones, for which idle connections of other clients are evicted, and must be bounded.
func TestEndingConnectionsEvictNoOthers(t *testing.T) {
	handlers := newStuckHandlers()
	client := startServer(t, func(server *Server) {
		server.MaxConns = 4
		server.Handle = handlers.handle
	})
	client.sendHealthRequest()
	client.expect("[1 1 <nil> [true map[]]]")
	for i := range maxEndingConns {
		other := client.dialAnother()
		other.sendRequest(1, "page", fmt.Sprintf("%016x", i+1))
		testwait.Until(t, "the handler to start", func() bool { return handlers.running.Load() == int64(i+1) })
		other.Close()
		testwait.Until(t, "the connection to end", func() bool { return client.countEndingConns() == i+1 })
	}
	if stats := client.Stats(); stats.EvictedConns != 0 || stats.RejectedConns != 0 {
		t.Errorf("%+v, want no connection evicted or rejected", stats)
	}
	startedAt := time.Now()
	late := client.dialAnother()
	late.sendHealthRequest()
	late.expect("[1 1 <nil> [true map[]]]")
	if waited := time.Since(startedAt); waited < clock.Duration(maxAcceptWait) {
		t.Errorf("a connection was accepted after %v, want %d ms", waited, maxAcceptWait)
	}
	close(handlers.end)
}
