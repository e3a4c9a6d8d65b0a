package routing

import (
	"fmt"
	"math"
	"testing"
)

// A late fill causes an overload report for the parent, at most once per mean sending time. Edge caches are not
// reported, as other sites do not use them.
func TestOverloadedParentIsReported(t *testing.T) {
	engine := newTestEngine(t, testSettings(), 1, 1)
	late := func(status CacheStatus) {
		engine.servers["c0"].concurrencyLimit, engine.servers["p0"].concurrencyLimit = 9, 9
		ev := outcomeEvent(engine.stepOne(largeRequest(9*sec)), 0, OutcomeServed, status)
		ev.ResponseTime = 8 * sec
		// The limits are now so low that they are in use.
		engine.servers["c0"].concurrencyLimit, engine.servers["p0"].concurrencyLimit = 1.5, 1.5
		engine.step(ev)
	}
	late(CacheHit)
	if len(engine.reportedOverloads) != 0 || engine.servers["c0"].concurrencyLimit >= 1.5 {
		t.Fatalf("late hit: reported %v, limit %v", engine.reportedOverloads, engine.servers["c0"].concurrencyLimit)
	}
	late(FilledFromSource)
	late(FilledFromSource) // at the same time: no further report
	if len(engine.reportedOverloads) != 1 || engine.reportedOverloads[0] != "p0" {
		t.Errorf("two late fills: reported %v, want one report of p0", engine.reportedOverloads)
	}
	engine.now += 10 * sec
	late(FilledFromSource)
	if len(engine.reportedOverloads) != 2 {
		t.Errorf("late fill 10 s later: reported %v, want two reports", engine.reportedOverloads)
	}
}

// In a fleet of hundreds of routers, a parent that waits for the origin is not overloaded, and a timed-out fill is not
// reported. If both were reported, the parents' limits would fall while many caches are empty, and requests would be
// rejected. With few routers the wait for the origin counts as overload.
func TestWaitForOriginIsNotReportedAsOverload(t *testing.T) {
	for _, tc := range []struct {
		routers               int
		outcome               AttemptOutcome
		status                CacheStatus
		isReduced, isReported bool
	}{
		{300, OutcomeServed, FilledFromOrigin, false, false},
		{300, OutcomeTimedOut, CacheStatusUnknown, true, false},
		{3, OutcomeServed, FilledFromOrigin, true, true},
	} {
		t.Run(fmt.Sprintf("%d routers, %s", tc.routers, tc.outcome), func(t *testing.T) {
			settings := testSettings()
			settings.FleetSize = tc.routers
			engine := newTestEngine(t, settings, 1, 1)
			parent := engine.servers["p0"]
			ev := outcomeEvent(engine.stepOne(largeRequest(9*sec)), 0, tc.outcome, tc.status)
			ev.ResponseTime = 9 * sec
			if tc.outcome == OutcomeServed {
				ev.UpstreamWait = 6900 * ms
			}
			parent.concurrencyLimit = 1.5
			engine.step(ev)
			if parent.concurrencyLimit < 1.5 != tc.isReduced || len(engine.reportedOverloads) > 0 != tc.isReported {
				t.Errorf("%+v: parent limit %v, reported %v", tc, parent.concurrencyLimit, engine.reportedOverloads)
			}
		})
	}
}

// An overload report of other routers reduces the parent's limit as a late response does, but has no other effect: it
// is not forwarded, no breaker opens, and timely responses raise the limit again. Without reports, each router reduces
// its limit at a parent only after its own requests were late or rejected there.
func TestReportedOverloadReducesParentLimit(t *testing.T) {
	settings := testSettings()
	settings.WeightSource = WeightsNominal
	settings.FleetSize = 300
	engine := newTestEngine(t, settings, 2, 1)
	parent, cache, origin := engine.servers["p0"], engine.servers["c0"], engine.origin
	parent.weight = 15
	before := parent.concurrencyLimit
	engine.step(
		Event{Kind: EventParentOverloaded, Server: "p0"},
		Event{Kind: EventParentOverloaded, Server: "c0"},
		Event{Kind: EventParentOverloaded, Server: origin.name},
		Event{Kind: EventParentOverloaded, Server: "nobody"},
	)
	known := maxReducedLimitMultiple * 15.0 / 300 / defaultMissRatio
	if before < initialLimitMargin || math.Abs(parent.concurrencyLimit-known) > 1e-9 {
		t.Fatalf("limit %v before and %v after the report, want %v", before, parent.concurrencyLimit, known)
	}
	if cache.limitReducedAt != 0 || origin.limitReducedAt != 0 {
		t.Errorf("cache limit reduced at %d, origin limit at %d, want 0", cache.limitReducedAt, origin.limitReducedAt)
	}
	if parent.breaker.openUntil != 0 || len(engine.reportedOverloads) != 0 {
		t.Errorf("breaker %+v, reported %v, want it closed and no report", parent.breaker, engine.reportedOverloads)
	}
	engine.step(Event{Kind: EventParentOverloaded, Server: "p0"})
	if math.Abs(parent.concurrencyLimit-known) > 1e-9 {
		t.Errorf("limit %v after a second report at the same time, want no further reduction", parent.concurrencyLimit)
	}
	engine.now += 10 * sec
	engine.step(Event{Kind: EventParentOverloaded, Server: "p0"})
	if math.Abs(parent.concurrencyLimit-known*limitDecreaseFactor) > 1e-9 {
		t.Errorf("limit %v after a further report, want %v", parent.concurrencyLimit, known*limitDecreaseFactor)
	}
	low := parent.concurrencyLimit
	for i := 0; parent.concurrencyLimit < known; i++ {
		if i == 200 {
			t.Fatalf("limit %v after %d timely fills, %v before", parent.concurrencyLimit, i, low)
		}
		if action := engine.request("small", "x"); action.Source == "p0" {
			engine.step(outcomeEvent(action, 0, OutcomeServed, FilledFromSource))
		} else if action.Kind == ActionSend {
			engine.step(outcomeEvent(action, 0, OutcomeServed, CacheHit))
		}
	}
}
