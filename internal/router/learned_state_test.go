package router

import (
	"testing"

	"spantack/routing"
)

// What a router has learnt reaches another through RestoreLearnedState, once the endpoint list is known there.
func TestLearnedState(t *testing.T) {
	old, next := newTestRouter(t, "box", "origin"), newTestRouter(t, "box", "origin")
	old.startRequest("r1")
	old.nextAttempt().result <- AttemptResult{Outcome: routing.OutcomeServed}
	old.nextResponse()
	if err := next.RestoreLearnedState(old.LearnedState()); err != nil {
		t.Fatal(err)
	}
	if state := next.LearnedState(); state.RecentRequests["front"] != 1 {
		t.Errorf("%+v", state)
	}
	state := old.LearnedState()
	state.TakenAt = 0
	if err := next.RestoreLearnedState(state); err == nil {
		t.Error("a state of another time was taken")
	}
}
