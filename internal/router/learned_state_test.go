package router

import (
	"testing"

	"spantack/routing"
)

// The learned state of one router can be restored in another one that knows the endpoint list; an implausible state
// is rejected.
func TestLearnedStateIsRestored(t *testing.T) {
	old, next := newTestRouter(t, "box", "origin"), newTestRouter(t, "box", "origin")
	old.startRequest("r1")
	old.nextAttempt().result <- AttemptResult{Outcome: routing.OutcomeServed}
	old.nextResponse()
	if err := next.RestoreLearnedState(old.LearnedState()); err != nil {
		t.Fatal(err)
	}
	if state := next.LearnedState(); state.RecentRequests["front"] != 1 {
		t.Errorf("restored state: %+v", state)
	}
	state := old.LearnedState()
	state.TakenAt = 0
	if err := next.RestoreLearnedState(state); err == nil {
		t.Error("a state with an implausible TakenAt was adopted")
	}
}
