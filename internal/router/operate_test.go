package router

import (
	"errors"
	"testing"

	"spantack/core/endpoints"
	"spantack/routing"
)

func listed(status string) WatchEvent {
	return WatchEvent{Servers: []Server{{ID: "box-1", Zone: "east", Kind: "box", Status: status, Weight: 4}}}
}

// A cache that staff took out gets nothing, whatever the list says of it meanwhile, until it is put back.
func TestExclude(t *testing.T) {
	g := newRig(t, "box", "origin")
	for range 2 {
		if err := g.Exclude("box-1"); err != nil {
			t.Fatal(err)
		}
	}
	if err := g.Exclude("box-9"); !errors.Is(err, endpoints.ErrUnknownServer) {
		t.Errorf("an unknown one: %v", err)
	}
	for _, n := range []WatchEvent{{}, listed("cordoned"), listed("healthy"), listed("deregistered"), listed("healthy")} {
		g.Apply(n)
		g.serve("r1")
		c := g.nextAttempt()
		if c.Server != "origin-1" {
			t.Errorf("after %+v: sent to %s", n, c.Server)
		}
		c.done <- AttemptResult{Outcome: routing.OutcomeServed}
		g.nextAnswer()
	}
	if listed, off := g.CacheCounts(); listed != 1 || off != 1 {
		t.Errorf("%d listed, %d off", listed, off)
	}
	if err := g.Include("box-1"); err != nil {
		t.Fatal(err)
	}
	g.serve("r2")
	if c := g.nextAttempt(); c.Server != "box-1" {
		t.Errorf("put back, and sent to %s", c.Server)
	} else {
		c.done <- AttemptResult{Outcome: routing.OutcomeServed}
	}
	g.nextAnswer()
	if err := g.SetExcluded([]string{"box-1"}); err != nil || len(g.Excluded()) != 1 {
		t.Errorf("adopted %v, %v", g.Excluded(), err)
	}
	if listed, off := g.CacheCounts(); listed != 1 || off != 1 {
		t.Errorf("adopted: %d listed, %d off", listed, off)
	}
}

// Counts are by class and by end, start at 0, outlive a class, and what is open stands under none.
func TestTallies(t *testing.T) {
	g := newRig(t, "box", "origin")
	g.serve("r1")
	c := g.nextAttempt()
	if open := g.OpenRequests(); open != 1 {
		t.Errorf("%d open", open)
	}
	c.done <- AttemptResult{Outcome: routing.OutcomeServed}
	g.nextAnswer()
	g.CountRejected("page")
	g.CountRejected("nothing")
	set := routing.Settings{Classes: []routing.Class{{Name: "price", Deadline: 1_000_000, LatencyObjective: 400_000, Idempotency: "read_like", DeduplicationScope: "all"}},
		Permissions: routing.Permissions{MaxAttempts: 1}}
	if err := g.UpdateSettings(set); err != nil {
		t.Fatal(err)
	}
	if err := g.UpdateSettings(routing.Settings{}); err == nil {
		t.Error("settings without a class were taken")
	}
	list := g.CountersByClass()
	if len(list) != 2 || list[0].Class != "page" || list[0].Served.Load() != 1 || list[0].Rejected.Load() != 1 || list[1].Class != "price" || g.OpenRequests() != 0 {
		t.Errorf("%d classes, %d open", len(list), g.OpenRequests())
	}
	for i := range 2 * maxCountedClasses { // settings that change for ever keep the counts in bounds
		set.Classes[0].Name = "class-" + string(rune('a'+i%26)) + string(rune('a'+i/26))
		if err := g.UpdateSettings(set); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(g.CountersByClass()); n > maxCountedClasses {
		t.Errorf("%d classes are counted", n)
	}
}

// What a router believes reaches another through Believe, once the list is known there.
func TestBeliefs(t *testing.T) {
	g, next := newRig(t, "box", "origin"), newRig(t, "box", "origin")
	g.serve("r1")
	g.nextAttempt().done <- AttemptResult{Outcome: routing.OutcomeServed}
	g.nextAnswer()
	if err := next.RestoreLearnedState(g.LearnedState()); err != nil {
		t.Fatal(err)
	}
	if b := next.LearnedState(); b.RecentRequests["front"] != 1 {
		t.Errorf("%+v", b)
	}
	b := g.LearnedState()
	b.TakenAt = 0
	if err := next.RestoreLearnedState(b); err == nil {
		t.Error("beliefs of another time were taken")
	}
}
