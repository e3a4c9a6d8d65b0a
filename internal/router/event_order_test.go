package router

import (
	"context"
	"testing"

	"spantack/routing"
)

// repetitions is the number of runs of each pair of events. Hooks of the upstream create both events inside Send or
// Cancel, or before the request arrives. Serve has handled neither event by then. Without a defined precedence, select
// picks one at random, so each pair runs often enough that a random choice fails the test.
const repetitions = 24

// hookedUpstream is an upstream that calls functions of the test inside Send and Cancel.
type hookedUpstream struct {
	sends    int
	onSend   func(number int, attempt *fakeAttempt) // number counts from 1; nil: nothing
	onCancel func()                                 // nil: nothing
}

type hookedAttempt struct {
	*fakeAttempt
	upstream *hookedUpstream
}

func (u *hookedUpstream) Send(a Attempt) PendingAttempt {
	attempt := &fakeAttempt{Attempt: a, result: make(chan AttemptResult, 1), canceled: make(chan struct{}, 8)}
	u.sends++
	if u.onSend != nil {
		u.onSend(u.sends, attempt)
	}
	return &hookedAttempt{attempt, u}
}

func (a *hookedAttempt) Cancel(mayRetry bool) {
	if a.upstream.onCancel != nil {
		a.upstream.onCancel()
	}
	a.fakeAttempt.Cancel(mayRetry)
}

// runInterleaved serves one request with the hooks that setup installs, and returns its outcome and the number of
// attempts sent.
func runInterleaved(t *testing.T, setup func(*testRouter, *hookedUpstream)) (Outcome, int) {
	t.Helper()
	r := newTestRouter(t, "box", "parent", "origin")
	upstream := &hookedUpstream{}
	r.Router.upstream = upstream
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r.cancel = cancel
	setup(r, upstream)
	response := r.Serve(ctx, r.pageRequest("r1"))
	r.checkNoneOpen()
	return response.Outcome, upstream.sends
}

// When several events have arrived before Serve handles any, the same one must always decide the outcome.
func TestEventPrecedence(t *testing.T) {
	served := AttemptResult{Outcome: routing.OutcomeServed, Body: []byte("bytes")}
	refused := AttemptResult{Outcome: routing.OutcomeConnectionRefused}
	// withResult ends each attempt within Send, and then calls then, which creates the second event.
	withResult := func(result AttemptResult, then func(*testRouter)) func(*testRouter, *hookedUpstream) {
		return func(r *testRouter, u *hookedUpstream) {
			u.onSend = func(_ int, attempt *fakeAttempt) {
				attempt.result <- result
				then(r)
			}
		}
	}
	// beforeArrival creates an event before the request arrives.
	beforeArrival := func(event func(*testRouter)) func(*testRouter, *hookedUpstream) {
		return func(r *testRouter, _ *hookedUpstream) { event(r) }
	}
	// cancelAction is the module's decision to cancel the first attempt.
	cancelAction := routing.Action{Kind: routing.ActionCancel, RequestID: "r1", Attempt: 0}
	depart := func(r *testRouter) { r.cancel() }
	shutDown := func(r *testRouter) { r.Close() }

	for _, tc := range []struct {
		name     string
		setup    func(*testRouter, *hookedUpstream)
		outcome  Outcome
		attempts int
	}{
		{"response and timeout", withResult(served, func(r *testRouter) { r.clock.Advance(1475) }), Served, 1},
		{"response and end of the process", withResult(served, shutDown), Served, 1},
		{"response and overdue alarm", withResult(served, func(r *testRouter) {
			r.clock.Advance(1475 + overdueAfter)
		}), Served, 1},
		{"response and client departed", withResult(served, depart), NoResponse, 1},
		{"failure and client departed", withResult(refused, depart), NoResponse, 1},
		{"failure and end of the process", withResult(refused, shutDown), Failed, 1},
		{"client departs while an attempt is canceled", func(r *testRouter, u *hookedUpstream) {
			u.onSend = func(number int, _ *fakeAttempt) {
				if number == 1 {
					// An outcome of an unknown request, which the module ignores.
					r.stepLocked(routing.Event{Kind: routing.EventOutcome, RequestID: "none"})
					r.mailboxes["r1"] <- cancelAction
				}
			}
			u.onCancel = func() { r.cancel() }
		}, NoResponse, 1},
		{"end of the process while an attempt is canceled", func(r *testRouter, u *hookedUpstream) {
			u.onSend = func(int, *fakeAttempt) { r.mailboxes["r1"] <- cancelAction }
			isClosed := false
			u.onCancel = func() {
				if !isClosed {
					isClosed = true
					r.Close()
				}
			}
		}, Failed, 1},
		{"client departed and the module's next attempt", beforeArrival(depart), NoResponse, 0},
		{"end of the process and the module's first attempt", beforeArrival(shutDown), Failed, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for range repetitions {
				outcome, attempts := runInterleaved(t, tc.setup)
				if outcome != tc.outcome || attempts != tc.attempts {
					t.Fatalf("%v after %d attempts, want %v after %d", outcome, attempts, tc.outcome, tc.attempts)
				}
			}
		})
	}
}
