package router

import (
	"testing"

	"spantack/routing"
)

// Guards against a request that runs twice: its client leaves while an attempt may be running, and its id comes again. It
// must fail without an attempt for as long as the id is remembered, and may be sent afterwards.
func TestAbandonedRequestIsNotRunAgain(t *testing.T) {
	r := newTestRouter(t, "box", "parent", "origin")
	r.startRequest("a")
	r.awaitDeparture(r.nextAttempt())
	for _, wait := range []float64{0, idRetention} {
		r.clock.Advance(wait)
		r.startRequest("a")
		if got := r.nextResponse(); got.Outcome != Failed {
			t.Errorf("%v ms later: outcome %v, want failed", wait, got.Outcome)
		}
	}
	r.clock.Advance(1)
	r.startRequest("a")
	r.nextAttempt().result <- hit
	if got := r.nextResponse(); got.Outcome != Served {
		t.Errorf("after the retention: outcome %v, want served", got.Outcome)
	}
}

// An id that was answered may come again: a client sends a request once more if its connection was closed at the moment
// at which it arrived. The same holds for an id whose client left before any attempt.
func TestAnsweredRequestMayComeAgain(t *testing.T) {
	r := newTestRouter(t, "box", "parent", "origin")
	for range 2 {
		r.startRequest("a")
		r.nextAttempt().result <- hit
		if got := r.nextResponse(); got.Outcome != Served {
			t.Fatalf("outcome %v, want served", got.Outcome)
		}
	}
	r.startRequest("b")
	attempt := r.nextAttempt()
	attempt.result <- AttemptResult{Outcome: routing.OutcomeError}
	r.nextAttempt().result <- hit
	if got := r.nextResponse(); got.Outcome != Served {
		t.Errorf("outcome %v, want served by the retry of the same id", got.Outcome)
	}
}

// awaitDeparture lets the client of the open request leave and waits for its end.
func (r *testRouter) awaitDeparture(attempt *fakeAttempt) {
	r.t.Helper()
	r.cancel()
	r.awaitCancel(attempt)
	if got := r.nextResponse(); got.Outcome != NoResponse {
		r.t.Fatalf("outcome %v, want no response", got.Outcome)
	}
}
