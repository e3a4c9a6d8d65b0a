package router

import (
	"context"
	"testing"

	"github.com/rs/zerolog"

	"spantack/internal/clock"
	"spantack/internal/testwait"
	"spantack/routing"
)

// fakeUpstream passes attempts to the test, which acts as the servers.
type fakeUpstream struct{ sent chan *fakeAttempt }

// fakeAttempt is an attempt whose result the test sends.
type fakeAttempt struct {
	Attempt
	result   chan AttemptResult
	canceled chan struct{} // receives a value for each Cancel
}

func (u *fakeUpstream) Send(a Attempt) PendingAttempt {
	attempt := &fakeAttempt{Attempt: a, result: make(chan AttemptResult, 1), canceled: make(chan struct{}, 1)}
	u.sent <- attempt
	return attempt
}

func (a *fakeAttempt) Done() <-chan AttemptResult { return a.result }

func (a *fakeAttempt) Cancel(bool) { a.canceled <- struct{}{} }

// testRouter is a router with a fake upstream and a clock that the test advances.
type testRouter struct {
	*Router
	t         testing.TB
	clock     *clock.Clock
	upstream  *fakeUpstream
	cancel    context.CancelFunc // ends the context of the last startRequest, as if its client left
	responses chan Response      // to requests of startRequest
}

// testSettings returns the settings of a site with edge caches, parents and an origin.
func testSettings() routing.Settings {
	return routing.Settings{
		Classes: []routing.Class{{
			Name: "page", Deadline: 3_000_000, LatencyObjective: 400_000, ObjectiveSizeFactor: 2, PriorityWeight: 1,
			Idempotency: routing.IdempotentRead, DeduplicationScope: "all",
		}},
		Hierarchy: routing.CacheHierarchy{
			OriginKind: 2, ParentKind: 1, FreshnessLifetime: []int64{20_000_000}, StaleGracePeriod: []int64{10_000_000},
			CacheStatusReporting: routing.CacheStatusReported, ResponseKBPerSecond: 2000, PurgePropagationTime: 6_000_000,
			AllowsDirectFetch: true,
		},
		Kinds:       []string{"box", "parent", "origin"},
		Permissions: routing.Permissions{MayCancel: true, MaxAttempts: 8, MaxRetryAfter: 1_000_000},
		Zone:        "east",
		Zones:       []string{"east", "hub"},
	}
}

// newTestRouter returns a router with one listed server of each given kind, such as "box-1" of kind "box".
func newTestRouter(t testing.TB, kinds ...string) *testRouter {
	t.Helper()
	r := &testRouter{
		t:         t,
		clock:     clock.NewFake(1_764_576_000_000),
		upstream:  &fakeUpstream{make(chan *fakeAttempt, 1)},
		responses: make(chan Response, 1),
	}
	var err error
	if r.Router, err = New(testSettings(), 1, r.clock, r.upstream, zerolog.Nop()); err != nil {
		t.Fatal(err)
	}
	list := WatchEvent{IsSnapshot: true}
	for _, kind := range kinds {
		list.Servers = append(list.Servers, Server{ID: kind + "-1", Zone: "east", Kind: kind, Status: "healthy", Weight: 4})
	}
	r.Apply(list)
	return r
}

// pageRequest returns a request of a client that waits 1,500 ms from now.
func (r *testRouter) pageRequest(id string) Request {
	return Request{
		ID: id, Class: "page", Object: "front", SizeKB: 100, ClientTimeout: 1500, ArrivedAt: r.clock.Now(),
	}
}

// startRequest serves a request in a goroutine; nextResponse returns its response.
func (r *testRouter) startRequest(id string) {
	ctx, cancel := context.WithCancel(r.t.Context())
	r.cancel = cancel
	go func() { r.responses <- r.Serve(ctx, r.pageRequest(id)) }()
}

// nextAttempt returns the next attempt that the router sends.
func (r *testRouter) nextAttempt() *fakeAttempt {
	r.t.Helper()
	return testwait.Receive(r.t, r.upstream.sent, "an attempt")
}

// nextResponse returns the next final response.
func (r *testRouter) nextResponse() Response {
	r.t.Helper()
	return testwait.Receive(r.t, r.responses, "a final response")
}

// awaitCancel returns once the router has canceled an attempt.
func (r *testRouter) awaitCancel(a *fakeAttempt) {
	r.t.Helper()
	testwait.Receive(r.t, a.canceled, "an attempt to be canceled")
}

// mailboxCount returns the number of mailboxes, one for each open request.
func (r *testRouter) mailboxCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.mailboxes)
}

// checkNoneOpen checks that the router has removed the mailboxes of all requests.
func (r *testRouter) checkNoneOpen() {
	r.t.Helper()
	if n := r.mailboxCount(); n != 0 {
		r.t.Errorf("%d mailboxes left, want none", n)
	}
}
