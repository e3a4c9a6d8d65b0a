package router

import (
	"context"
	"testing"

	"spantack/routing"
)

// plays is how often each pair of events is played. Several things have happened to a request when it is looked at
// again: the upstream holds Serve inside Send or Cancel until all of them are there. Without a stated order a
// select takes one of them at random, so each pair is played often enough that a random choice does not pass.
const plays = 24

// hookedUpstream is an upstream that runs functions of the test inside Send and Cancel.
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

// playInterleaved plays one request with what happens inside Send and Cancel, and returns its outcome and how many
// attempts were sent.
func playInterleaved(t *testing.T, setup func(*testRouter, *hookedUpstream)) (Outcome, int) {
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

// Of several events that have happened, the one that counts is always the same.
func TestOrderOfEvents(t *testing.T) {
	served := AttemptResult{Outcome: routing.OutcomeServed, Body: []byte("bytes")}
	refused := AttemptResult{Outcome: routing.OutcomeConnectionRefused}
	// withResult has the first attempt end within Send, and then does something else.
	withResult := func(result AttemptResult, then func(*testRouter)) func(*testRouter, *hookedUpstream) {
		return func(r *testRouter, u *hookedUpstream) {
			u.onSend = func(_ int, attempt *fakeAttempt) {
				attempt.result <- result
				then(r)
			}
		}
	}
	// beforeSend does something before the request arrives.
	beforeSend := func(do func(*testRouter)) func(*testRouter, *hookedUpstream) {
		return func(r *testRouter, _ *hookedUpstream) { do(r) }
	}
	// cancelAction is the module's decision to cancel the first attempt.
	cancelAction := routing.Action{Kind: routing.ActionCancel, RequestID: "r1", Attempt: 0}
	leave := func(r *testRouter) { r.cancel() }
	shutDown := func(r *testRouter) { r.Close() }

	for _, tc := range []struct {
		name     string
		setup    func(*testRouter, *hookedUpstream)
		outcome  Outcome
		attempts int
	}{
		{"response and timeout", withResult(served, func(r *testRouter) { r.clock.Advance(1475) }), Served, 1},
		{"response and end of the process", withResult(served, shutDown), Served, 1},
		{"response and overdue", withResult(served, func(r *testRouter) { r.clock.Advance(1475 + overdueAfter) }), Served, 1},
		{"response and client departed", withResult(served, leave), NoResponse, 1},
		{"failure and client departed", withResult(refused, leave), NoResponse, 1},
		{"failure and end of the process", withResult(refused, shutDown), Failed, 1},
		{"client departs while an attempt is canceled", func(r *testRouter, u *hookedUpstream) {
			u.onSend = func(number int, _ *fakeAttempt) {
				if number == 1 {
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
		{"client departed and the module's next attempt", beforeSend(leave), NoResponse, 0},
		{"end of the process and the module's first attempt", beforeSend(shutDown), Failed, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for range plays {
				outcome, attempts := playInterleaved(t, tc.setup)
				if outcome != tc.outcome || attempts != tc.attempts {
					t.Fatalf("%v after %d attempts, want %v after %d", outcome, attempts, tc.outcome, tc.attempts)
				}
			}
		})
	}
}
