package router

import (
	"fmt"
	"testing"

	"spantack/internal/testwait"
	"spantack/routing"
)

// A request is sent to an edge cache with the parent as the source of a fill, and the cache's response is returned.
func TestRequestGoesToEdgeCacheFirst(t *testing.T) {
	r := newTestRouter(t, "box", "parent", "origin")
	r.startRequest("r1")
	attempt := r.nextAttempt()
	if attempt.Server != "box-1" || attempt.Source != "parent-1" || attempt.RetentionRank != 1 ||
		attempt.MaxAge > 20_000 || attempt.MaxAge < 16_000 || attempt.Timeout != 1475 {
		t.Errorf("first attempt %+v", attempt.Attempt)
	}
	attempt.result <- AttemptResult{Outcome: routing.OutcomeServed, CacheStatus: 2, Body: []byte("bytes")}
	if got := r.nextResponse(); got.Outcome != Served || string(got.Body) != "bytes" {
		t.Errorf("response %+v, want served with the cache's body", got)
	}
}

// After a failed fill, the same cache gets an attempt for a stale copy within the stale grace, without a fill. After a
// miss there, two more attempts follow, of which the first is rejected and the second ends as a miss. The request is
// then rejected with a RetryAfter.
func TestFailedFillFallsBackToStaleCopy(t *testing.T) {
	r := newTestRouter(t, "box", "parent", "origin")
	r.startRequest("r1")
	failedFill := AttemptResult{
		Outcome: routing.OutcomeError, CacheStatus: routing.SourceUnreachable, SourceWait: 300,
	}
	r.nextAttempt().result <- failedFill
	stale := r.nextAttempt()
	if stale.Server != "box-1" || stale.Source != "" || stale.MaxAge != 30_000 {
		t.Errorf("attempt for a stale copy %+v", stale.Attempt)
	}
	stale.result <- AttemptResult{Outcome: routing.OutcomeMiss}
	origin := r.nextAttempt()
	origin.result <- AttemptResult{Outcome: routing.OutcomeRejected, CacheStatus: routing.SourceRejected}
	r.nextAttempt().result <- AttemptResult{Outcome: routing.OutcomeMiss}
	if got := r.nextResponse(); got.Outcome != Rejected || got.RetryAfter <= 0 || got.RetryAfter > 1000 {
		t.Errorf("response %+v, want rejected with a RetryAfter of at most 1000 ms", got)
	}
	if n := r.Counters.Attempts.Load(); n != 4 {
		t.Errorf("%d attempts, want 4", n)
	}
}

// An attempt without a result is canceled before the client's timeout ends, and the request still gets a response.
func TestAttemptCanceledAtDeadline(t *testing.T) {
	r := newTestRouter(t, "box", "origin")
	r.startRequest("r1")
	attempt := r.nextAttempt()
	r.clock.Advance(1475)
	r.awaitCancel(attempt)
	if got := r.nextResponse(); got.Outcome != Rejected {
		t.Errorf("response %+v, want a rejection", got)
	}
	r.checkNoneOpen()
}

// When the client leaves, the request ends without a response and its attempt in flight is canceled.
func TestClientDepartureCancelsAttempt(t *testing.T) {
	r := newTestRouter(t, "box", "origin")
	r.startRequest("r1")
	attempt := r.nextAttempt()
	r.cancel()
	r.awaitCancel(attempt)
	if got := r.nextResponse(); got.Outcome != NoResponse || r.Counters.Departed.Load() != 1 {
		t.Errorf("response %+v, want no response, counted once in Departed", got)
	}
}

// A panic in the module must not end the process, and the request still gets a response.
func TestModulePanicStillGivesResponse(t *testing.T) {
	r := newTestRouter(t, "box", "origin")
	r.admission = nil // panics at any event
	advanced := make(chan struct{})
	go func() {
		defer close(advanced)
		for r.Counters.Faults.Load() == 0 {
			r.clock.Advance(0)
		}
		r.clock.Advance(2000)
	}()
	r.startRequest("r1")
	if got := r.nextResponse(); got.Outcome != Failed || r.Counters.Overdue.Load() != 1 {
		t.Errorf("response %+v, want failed, counted once in Overdue", got)
	}
	testwait.Receive(t, advanced, "the clock's goroutine to end")
}

// Two open requests with the same id could get each other's responses, so the second one fails.
func TestDuplicateRequestIDFails(t *testing.T) {
	r := newTestRouter(t, "box", "origin")
	r.startRequest("r1")
	attempt := r.nextAttempt()
	second := Request{ID: "r1", Class: "page", ClientTimeout: 1000, ArrivedAt: r.clock.Now()}
	if got := r.Serve(t.Context(), second); got.Outcome != Failed {
		t.Errorf("response to the second request: %+v", got)
	}
	attempt.result <- AttemptResult{Outcome: routing.OutcomeServed, NotModified: true}
	if got := r.nextResponse(); got.Outcome != Served || !got.NotModified {
		t.Errorf("response to the first request: %+v", got)
	}
}

// Close, which runs shortly before SIGKILL, fails open requests and cancels their attempts; otherwise their clients
// would get no response.
func TestCloseFailsOpenRequests(t *testing.T) {
	r := newTestRouter(t, "box", "origin")
	r.startRequest("r1")
	attempt := r.nextAttempt()
	r.Close()
	r.awaitCancel(attempt)
	if got := r.nextResponse(); got.Outcome != Failed {
		t.Errorf("response %+v, want failed", got)
	}
	r.checkNoneOpen()
}

// The margin of a short client timeout must be small: with a fixed margin of 25 ms, requests with a client timeout of
// 60 ms would be rejected although a cache hit can serve them in time.
func TestShortTimeoutKeepsSmallMargin(t *testing.T) {
	r := newTestRouter(t, "box", "origin")
	for clientTimeout, want := range map[float64]float64{1500: 1475, 60: 54, 20: 15} {
		request := r.pageRequest("r")
		request.ClientTimeout = clientTimeout
		go r.Serve(t.Context(), request)
		attempt := r.nextAttempt()
		if attempt.Timeout != want {
			t.Errorf("client timeout %v ms: attempt timeout %v ms, want %v ms", clientTimeout, attempt.Timeout, want)
		}
		attempt.result <- AttemptResult{Outcome: routing.OutcomeServed}
		testwait.Until(t, "the end of the request", func() bool { // the next request has the same id
			return r.mailboxCount() == 0
		})
	}
}

// When the module ends a request while an attempt is in flight, the attempt must be canceled.
func TestEndedRequestCancelsAttemptInFlight(t *testing.T) {
	for _, kind := range []routing.ActionKind{routing.ActionReject, routing.ActionFail} {
		t.Run(fmt.Sprint(kind), func(t *testing.T) {
			r := newTestRouter(t, "box", "origin")
			r.startRequest("r1")
			attempt := r.nextAttempt()
			r.mu.Lock()
			r.mailboxes["r1"] <- routing.Action{Kind: kind, RequestID: "r1"}
			r.mu.Unlock()
			r.nextResponse()
			select {
			case <-attempt.canceled:
			default:
				t.Error("the attempt was left in flight")
			}
		})
	}
}

// New settings require idempotency keys for a class after the front end has read a request of it under the old
// settings: the request must not be sent without a key.
func TestRequestWithoutKeyFailsAfterReload(t *testing.T) {
	r := newTestRouter(t, "box", "parent", "origin")
	err := r.UpdateSettings(routing.Settings{
		Classes: []routing.Class{{
			Name: "page", Deadline: 3_000_000, Idempotency: routing.IdempotentKey, DeduplicationScope: "all",
			DeduplicationWindow: 2_000_000,
		}},
		Permissions: routing.Permissions{MaxAttempts: 8},
	})
	if err != nil {
		t.Fatal(err)
	}
	r.startRequest("r1")
	select {
	case got := <-r.responses:
		if got.Outcome != Failed {
			t.Errorf("outcome %v", got.Outcome)
		}
		r.checkNoneOpen()
	case attempt := <-r.upstream.sent:
		t.Errorf("sent to %s without a key", attempt.Server)
	}
}
