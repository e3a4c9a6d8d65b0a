package router

import (
	"errors"
	"testing"

	"spantack/core/endpoints"
	"spantack/routing"
)

// listed returns an update that lists the edge cache with a status.
func listed(status routing.EndpointStatus) WatchEvent {
	return WatchEvent{Servers: []Server{{ID: "box-1", Zone: "east", Kind: "box", Status: status, Weight: 4}}}
}

// An edge cache that an operator has excluded gets no attempts, whatever its listed status, until it is included.
func TestExcludedCacheGetsNoAttempts(t *testing.T) {
	r := newTestRouter(t, "box", "origin")
	checkCounts := func(when string) {
		t.Helper()
		if listed, unavailable := r.CacheCounts(); listed != 1 || unavailable != 1 {
			t.Errorf("%s: %d caches listed, %d unavailable, want 1 and 1", when, listed, unavailable)
		}
	}
	for range 2 {
		if err := r.Exclude("box-1"); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.Exclude("box-9"); !errors.Is(err, endpoints.ErrUnknownServer) {
		t.Errorf("exclusion of an unknown server: %v", err)
	}
	for _, event := range []WatchEvent{
		{},
		listed(routing.EndpointDraining),
		listed(routing.EndpointHealthy),
		listed(routing.EndpointRemoved),
		listed(routing.EndpointHealthy),
	} {
		r.Apply(event)
		r.startRequest("r1")
		attempt := r.nextAttempt()
		if attempt.Server != "origin-1" {
			t.Errorf("after %+v: sent to %s, want origin-1", event, attempt.Server)
		}
		attempt.result <- AttemptResult{Outcome: routing.OutcomeServed}
		r.nextResponse()
	}
	checkCounts("after Exclude")
	if err := r.Include("box-1"); err != nil {
		t.Fatal(err)
	}
	r.startRequest("r2")
	attempt := r.nextAttempt()
	if attempt.Server != "box-1" {
		t.Errorf("after Include: sent to %s, want box-1", attempt.Server)
	}
	attempt.result <- AttemptResult{Outcome: routing.OutcomeServed}
	r.nextResponse()
	if err := r.SetExcluded([]string{"box-1"}); err != nil || len(r.Excluded()) != 1 {
		t.Errorf("after SetExcluded: excluded %v, error %v", r.Excluded(), err)
	}
	checkCounts("after SetExcluded")
}

// A draining server must get no new request, and a request must still get a response when no server is left.
func TestDrainingServerGetsNoNewRequest(t *testing.T) {
	r := newTestRouter(t, "box", "origin")
	r.Apply(listed(routing.EndpointDraining))
	r.startRequest("r1")
	if attempt := r.nextAttempt(); attempt.Server != "origin-1" {
		t.Errorf("sent to %s, want origin-1", attempt.Server)
	} else {
		r.Apply(WatchEvent{IsSnapshot: true})
		attempt.result <- AttemptResult{Outcome: routing.OutcomeConnectionReset}
	}
	if got := r.nextResponse(); got.Outcome != Rejected {
		t.Errorf("response %+v, want a rejection", got)
	}
}
