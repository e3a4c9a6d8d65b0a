package router

import (
	"fmt"
	"testing"

	"spantack/routing"
)

// Requests are counted by class and outcome. Counts start at 0, survive the removal of their class from the settings,
// and do not include open requests. The number of classes with counters stays bounded.
func TestClassCountersSurviveReloadAndStayBounded(t *testing.T) {
	r := newTestRouter(t, "box", "origin")
	r.startRequest("r1")
	attempt := r.nextAttempt()
	if open := r.OpenRequests(); open != 1 {
		t.Errorf("%d requests open, want 1", open)
	}
	attempt.result <- AttemptResult{Outcome: routing.OutcomeServed}
	r.nextResponse()
	r.CountRejected("page")
	r.CountRejected("nothing")
	settings := routing.Settings{
		Classes: []routing.Class{{
			Name: "price", Deadline: 1_000_000, LatencyObjective: 400_000,
			Idempotency: routing.IdempotentRead, DeduplicationScope: "all",
		}},
		Permissions: routing.Permissions{MaxAttempts: 1},
	}
	if err := r.UpdateSettings(settings); err != nil {
		t.Fatal(err)
	}
	if err := r.UpdateSettings(routing.Settings{}); err == nil {
		t.Error("settings without a class were accepted")
	}
	if open := r.OpenRequests(); open != 0 {
		t.Errorf("%d requests open at the end, want 0", open)
	}
	counters := r.CountersByClass()
	if len(counters) != 2 {
		t.Fatalf("%d classes have counters, want 2", len(counters))
	}
	page, price := counters[0], counters[1]
	if page.Class != "page" || page.Served.Load() != 1 || page.Rejected.Load() != 1 || price.Class != "price" {
		t.Errorf("%s: %d served, %d rejected; %s; want page: 1 served, 1 rejected; price",
			page.Class, page.Served.Load(), page.Rejected.Load(), price.Class)
	}
	for i := range 2 * maxCountedClasses { // repeated reloads must not add counters without bound
		settings.Classes[0].Name = fmt.Sprint("class-", i)
		if err := r.UpdateSettings(settings); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(r.CountersByClass()); n > maxCountedClasses {
		t.Errorf("%d classes have counters, more than maxCountedClasses", n)
	}
}
