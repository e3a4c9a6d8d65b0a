package router

import (
	"context"
	"fmt"
	"testing"

	"spantack/internal/testwait"
	"spantack/routing"
)

// breakerWindow is the number of recent outcomes that a circuit breaker evaluates.
const breakerWindow = 8

// hit is the result of an attempt that the cache served from its store.
var hit = AttemptResult{Outcome: routing.OutcomeServed, CacheStatus: routing.CacheHit}

// newRouterWithTwoCaches returns a router with two edge caches, and breakerWindow objects whose requests the router
// sends to the given cache.
func newRouterWithTwoCaches(t *testing.T, cache string) (r *testRouter, objects []string) {
	t.Helper()
	r = newTestRouter(t, "box", "origin")
	r.Apply(WatchEvent{Servers: []Server{{ID: "box-2", Zone: "east", Kind: "box", Status: "healthy", Weight: 4}}})
	for i := 0; len(objects) < breakerWindow; i++ {
		object := fmt.Sprintf("%016x", i)
		probe := r.startRequestFor(t, fmt.Sprint("probe-", i), object)
		if probe.attempt.Server == cache {
			objects = append(objects, object)
		}
		probe.attempt.result <- hit
		testwait.Receive(t, probe.response, "the response to a probe request")
	}
	return r, objects
}

// openRequest is a request whose first attempt is in flight.
type openRequest struct {
	attempt  *fakeAttempt
	depart   context.CancelFunc
	response chan Response
}

// startRequestFor serves a request for an object in a goroutine, and returns once its first attempt is in flight.
func (r *testRouter) startRequestFor(t *testing.T, id, object string) *openRequest {
	t.Helper()
	ctx, depart := context.WithCancel(t.Context())
	open := &openRequest{depart: depart, response: make(chan Response, 1)}
	request := r.pageRequest(id)
	request.Object = object
	go func() { open.response <- r.Serve(ctx, request) }()
	open.attempt = testwait.Receive(t, r.upstream.sent, "the first attempt of "+id)
	return open
}

// A connection reset of an attempt that was canceled because its client left must not count as a failure of the cache.
// The test causes enough such resets to open the circuit breaker. New requests must still go to the same cache.
func TestResetsAfterClientDepartureDoNotOpenBreaker(t *testing.T) {
	for _, cache := range []string{"box-1", "box-2"} {
		t.Run(cache, func(t *testing.T) {
			r, objects := newRouterWithTwoCaches(t, cache)
			for i, object := range objects {
				open := r.startRequestFor(t, fmt.Sprint("left-", i), object)
				open.depart()
				got := testwait.Receive(t, open.response, "the end of a request whose client left")
				if got.Outcome != NoResponse {
					t.Fatalf("%s: outcome %v", object, got.Outcome)
				}
				testwait.Receive(t, open.attempt.canceled, "the attempt to be canceled")
				open.attempt.result <- AttemptResult{Outcome: routing.OutcomeConnectionReset}
			}
			for i, object := range objects {
				open := r.startRequestFor(t, fmt.Sprint("new-", i), object)
				if open.attempt.Server != cache {
					t.Errorf("%s was sent to %s, want %s as before", object, open.attempt.Server, cache)
				}
				open.attempt.result <- hit
				testwait.Receive(t, open.response, "a response")
			}
		})
	}
}

// A connection reset while the client waits counts as a failure of the cache: its circuit breaker opens, and later
// requests go to the other cache at once.
func TestResetsWhileClientsWaitOpenBreaker(t *testing.T) {
	r, objects := newRouterWithTwoCaches(t, "box-1")
	for i, object := range objects {
		open := r.startRequestFor(t, fmt.Sprint("r-", i), object)
		if open.attempt.Server != "box-1" { // the breaker is open already
			break
		}
		open.attempt.result <- AttemptResult{Outcome: routing.OutcomeConnectionReset}
		retry := testwait.Receive(t, r.upstream.sent, "the retry")
		if retry.Server != "box-2" {
			t.Fatalf("retry was sent to %s, want box-2", retry.Server)
		}
		retry.result <- hit
		testwait.Receive(t, open.response, "a response")
	}
	if last := r.startRequestFor(t, "last", objects[0]); last.attempt.Server != "box-2" {
		t.Errorf("after %d connection resets the request was sent to %s, want box-2", len(objects), last.attempt.Server)
	}
}
