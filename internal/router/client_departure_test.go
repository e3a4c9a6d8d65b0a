package router

import (
	"context"
	"fmt"
	"testing"

	"spantack/internal/testwait"
	"spantack/routing"
)

// breakerOutcomes is as many outcomes as a circuit breaker looks at.
const breakerOutcomes = 8

// hit is the result of an attempt that its cache served from its store.
var hit = AttemptResult{Outcome: routing.OutcomeServed, CacheStatus: routing.CacheHit}

// newRouterOfTwoCaches returns a router with two edge caches, and breakerOutcomes objects that go to a given one of
// them.
func newRouterOfTwoCaches(t *testing.T, cache string) (r *testRouter, objects []string) {
	t.Helper()
	r = newTestRouter(t, "box", "origin")
	r.Apply(WatchEvent{Servers: []Server{{ID: "box-2", Zone: "east", Kind: "box", Status: "healthy", Weight: 4}}})
	for i := 0; len(objects) < breakerOutcomes; i++ {
		object := fmt.Sprintf("%016x", i)
		probe := r.ask(t, fmt.Sprint("probe-", i), object)
		if probe.attempt.Server == cache {
			objects = append(objects, object)
		}
		probe.attempt.result <- hit
		testwait.Receive(t, probe.response, "the response to a probe")
	}
	return r, objects
}

// openRequest is a request whose first attempt is in flight.
type openRequest struct {
	attempt  *fakeAttempt
	leave    context.CancelFunc
	response chan Response
}

// ask serves a request for an object, and returns once its first attempt is in flight.
func (r *testRouter) ask(t *testing.T, id, object string) *openRequest {
	t.Helper()
	ctx, leave := context.WithCancel(t.Context())
	open := &openRequest{leave: leave, response: make(chan Response, 1)}
	request := r.pageRequest(id)
	request.Object = object
	go func() { open.response <- r.Serve(ctx, request) }()
	open.attempt = testwait.Receive(t, r.upstream.sent, "the first attempt of "+id)
	return open
}

// Clients leave, and the attempts that were canceled for that break off at their cache, more of them than open its
// circuit breaker: none is held against it, and new requests go where they went before.
func TestBreaksAfterClientsLeftOpenNoBreaker(t *testing.T) {
	for _, cache := range []string{"box-1", "box-2"} {
		t.Run(cache, func(t *testing.T) {
			r, objects := newRouterOfTwoCaches(t, cache)
			for i, object := range objects {
				open := r.ask(t, fmt.Sprint("left-", i), object)
				open.leave()
				got := testwait.Receive(t, open.response, "the end of a request whose client left")
				if got.Outcome != NoResponse {
					t.Fatalf("%s: %v", object, got.Outcome)
				}
				testwait.Receive(t, open.attempt.canceled, "the attempt to be canceled")
				open.attempt.result <- AttemptResult{Outcome: routing.OutcomeConnectionReset}
			}
			for i, object := range objects {
				open := r.ask(t, fmt.Sprint("new-", i), object)
				if open.attempt.Server != cache {
					t.Errorf("%s goes to %s, not to %s as before", object, open.attempt.Server, cache)
				}
				open.attempt.result <- hit
				testwait.Receive(t, open.response, "a response")
			}
		})
	}
}

// What breaks off while its client waits is held against its cache, whose circuit breaker opens: requests then go
// elsewhere at once.
func TestBreaksWhileClientsWaitOpenTheBreaker(t *testing.T) {
	r, objects := newRouterOfTwoCaches(t, "box-1")
	for i, object := range objects {
		open := r.ask(t, fmt.Sprint("r-", i), object)
		if open.attempt.Server != "box-1" { // it has opened before all were tried
			break
		}
		open.attempt.result <- AttemptResult{Outcome: routing.OutcomeConnectionReset}
		retry := testwait.Receive(t, r.upstream.sent, "the retry")
		if retry.Server != "box-2" {
			t.Fatalf("retried at %s", retry.Server)
		}
		retry.result <- hit
		testwait.Receive(t, open.response, "a response")
	}
	if last := r.ask(t, "last", objects[0]); last.attempt.Server != "box-2" {
		t.Errorf("after %d breaks sent to %s", len(objects), last.attempt.Server)
	}
}
