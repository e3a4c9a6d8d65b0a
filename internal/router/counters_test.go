package router

import (
	"fmt"
	"testing"

	"spantack/routing"
)

// Counts are by class and by outcome, start at 0, outlive a class, and what is open counts under none.
func TestClassCounters(t *testing.T) {
	r := newTestRouter(t, "box", "origin")
	r.startRequest("r1")
	attempt := r.nextAttempt()
	if open := r.OpenRequests(); open != 1 {
		t.Errorf("%d open", open)
	}
	attempt.result <- AttemptResult{Outcome: routing.OutcomeServed}
	r.nextResponse()
	r.CountRejected("page")
	r.CountRejected("nothing")
	set := routing.Settings{
		Classes: []routing.Class{{
			Name: "price", Deadline: 1_000_000, LatencyObjective: 400_000,
			Idempotency: routing.IdempotentRead, DeduplicationScope: "all",
		}},
		Permissions: routing.Permissions{MaxAttempts: 1},
	}
	if err := r.UpdateSettings(set); err != nil {
		t.Fatal(err)
	}
	if err := r.UpdateSettings(routing.Settings{}); err == nil {
		t.Error("settings without a class were taken")
	}
	if open := r.OpenRequests(); open != 0 {
		t.Errorf("%d open at the end", open)
	}
	counters := r.CountersByClass()
	if len(counters) != 2 {
		t.Fatalf("%d classes", len(counters))
	}
	page, price := counters[0], counters[1]
	if page.Class != "page" || page.Served.Load() != 1 || page.Rejected.Load() != 1 || price.Class != "price" {
		t.Errorf("%s: %d served, %d rejected; %s", page.Class, page.Served.Load(), page.Rejected.Load(), price.Class)
	}
	for i := range 2 * maxCountedClasses { // settings that change for ever keep the counts in bounds
		set.Classes[0].Name = fmt.Sprint("class-", i)
		if err := r.UpdateSettings(set); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(r.CountersByClass()); n > maxCountedClasses {
		t.Errorf("%d classes are counted", n)
	}
}
