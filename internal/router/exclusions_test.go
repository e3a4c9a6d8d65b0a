package router

import (
	"errors"
	"testing"

	"spantack/core/endpoints"
	"spantack/routing"
)

// listed is an update in which the edge cache has a status.
func listed(status routing.EndpointStatus) WatchEvent {
	return WatchEvent{Servers: []Server{{ID: "box-1", Zone: "east", Kind: "box", Status: status, Weight: 4}}}
}

// An edge cache that staff excluded gets nothing, whatever the list says of it meanwhile, until it is included.
func TestExclude(t *testing.T) {
	r := newTestRouter(t, "box", "origin")
	checkCounts := func(when string) {
		t.Helper()
		if listed, off := r.CacheCounts(); listed != 1 || off != 1 {
			t.Errorf("%s: %d listed, %d off", when, listed, off)
		}
	}
	for range 2 {
		if err := r.Exclude("box-1"); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.Exclude("box-9"); !errors.Is(err, endpoints.ErrUnknownServer) {
		t.Errorf("an unknown one: %v", err)
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
			t.Errorf("after %+v: sent to %s", event, attempt.Server)
		}
		attempt.result <- AttemptResult{Outcome: routing.OutcomeServed}
		r.nextResponse()
	}
	checkCounts("excluded")
	if err := r.Include("box-1"); err != nil {
		t.Fatal(err)
	}
	r.startRequest("r2")
	attempt := r.nextAttempt()
	if attempt.Server != "box-1" {
		t.Errorf("included, and sent to %s", attempt.Server)
	}
	attempt.result <- AttemptResult{Outcome: routing.OutcomeServed}
	r.nextResponse()
	if err := r.SetExcluded([]string{"box-1"}); err != nil || len(r.Excluded()) != 1 {
		t.Errorf("set to %v, %v", r.Excluded(), err)
	}
	checkCounts("set")
}

// A drain binds the very next request, and without any server left there is still a response.
func TestDrainingServer(t *testing.T) {
	r := newTestRouter(t, "box", "origin")
	r.Apply(listed(routing.EndpointDraining))
	r.startRequest("r1")
	if attempt := r.nextAttempt(); attempt.Server != "origin-1" {
		t.Errorf("sent to %s", attempt.Server)
	} else {
		r.Apply(WatchEvent{IsSnapshot: true})
		attempt.result <- AttemptResult{Outcome: routing.OutcomeConnectionReset}
	}
	if got := r.nextResponse(); got.Outcome != Rejected {
		t.Errorf("response %+v", got)
	}
}
