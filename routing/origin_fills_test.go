package routing

import (
	"fmt"
	"testing"
)

// distantOriginSettings returns the settings of a deployment with a distant origin: no direct fetches, no collapsed
// fills, and caches that report the use of their link.
func distantOriginSettings() Settings {
	settings := testSettings()
	settings.Hierarchy.AllowsDirectFetch = false
	settings.Hierarchy.CollapsesFills = false
	settings.LoadReporting = LoadReporting{Fields: []string{"cpu_share", "x1"}, Delivery: LoadReportPiggyback}
	return settings
}

// raiseLimits raises the concurrency limits of all servers. Then only the limit on origin fills has an effect.
func (engine *testEngine) raiseLimits() {
	for _, srv := range engine.servers {
		srv.concurrencyLimit = 1000
	}
}

// originFillOutcome returns the outcome of an attempt filled from the origin after a wait, with a load report of the
// link's use.
func originFillOutcome(action Action, wait int64, link float64) Event {
	ev := outcomeEvent(action, 0, OutcomeServed, FilledFromOrigin)
	ev.UpstreamWait = wait
	ev.ResponseTime = wait + 20*ms
	ev.LoadReport = []float64{0.5, link}
	return ev
}

// Most fills in flight are hits at the parent and never reach the origin, but count against the limit on fills that may
// reach it. A fill after a miss that a cached-only fill has confirmed is counted separately. Otherwise the limit is
// always reached, and misses are rejected while the origin is idle.
func TestConfirmedMissIsFetchedFromOrigin(t *testing.T) {
	engine := newTestEngine(t, distantOriginSettings(), 2, 1)
	engine.raiseLimits()
	engine.originFills.concurrencyLimit = 3
	for i := range 40 { // large chunks in flight, probably hits
		engine.request("big", fmt.Sprint(i))
	}
	var fills []Action
	for i := range 9 {
		cachedOnly := engine.request("big", fmt.Sprint("n", i))
		if cachedOnly.FetchFlags&FetchCachedOnly == 0 || cachedOnly.Source != "p0" {
			t.Fatalf("limit on origin fills reached: %+v, want a cached-only fill", cachedOnly)
		}
		next := engine.stepOne(outcomeEvent(cachedOnly, 0, OutcomeMiss, SourceMissed))
		switch next.Kind {
		case ActionSend:
			if next.FetchFlags&FetchCachedOnly != 0 || next.Source != "p0" || next.Server != cachedOnly.Server {
				t.Fatalf("after a miss of a cached-only fill: %+v, want a fill through the parent", next)
			}
			fills = append(fills, next)
		case ActionReject:
		default:
			t.Fatalf("after a miss of a cached-only fill: %+v, want a fill or a rejection", next)
		}
	}
	if len(fills) < 2 || len(fills) > 3 {
		t.Errorf("%d confirmed fills in flight, limit 3", len(fills))
	}
	for _, fill := range fills {
		engine.step(outcomeEvent(fill, 1, OutcomeServed, FilledFromOrigin))
	}
	if engine.confirmedOriginFills != 0 {
		t.Errorf("%d confirmed fills counted after all have ended", engine.confirmedOriginFills)
	}
}

// After a confirmed miss, a copy within its stale grace period is tried before a fill from the origin.
func TestConfirmedMissTriesCachedCopyFirst(t *testing.T) {
	engine := newTestEngine(t, distantOriginSettings(), 2, 1)
	engine.originFills.concurrencyLimit = 0.01
	cachedOnly := engine.request("small", "x")
	cachedCopy := engine.stepOne(outcomeEvent(cachedOnly, 0, OutcomeMiss, SourceMissed))
	isCachedCopy := cachedCopy.Source == cachedCopy.Server && cachedCopy.MaxAge == 30*sec
	if cachedOnly.FetchFlags&FetchCachedOnly == 0 || !isCachedCopy {
		t.Fatalf("attempts %+v and %+v, want a cached-only fill and any cached copy", cachedOnly, cachedCopy)
	}
	last := engine.stepOne(outcomeEvent(cachedCopy, 1, OutcomeMiss, CacheStatusUnknown))
	if last.Kind != ActionReject {
		t.Errorf("without capacity for an origin fill: %+v, want a rejection", last)
	}
}

// When the origin slows down, the limit falls in one step to the number of fills that would have been on time, since
// waits are proportional to the fills in flight. In steps of limitDecreaseFactor the overload would last longer.
func TestOriginFillLimitFallsInProportionToLateness(t *testing.T) {
	for _, late := range []float64{1.1, 4} {
		engine := newTestEngine(t, distantOriginSettings(), 2, 1)
		engine.raiseLimits()
		var sent []Action
		for i := range 20 {
			sent = append(sent, engine.request("small", fmt.Sprint(i)))
		}
		wait := int64(late * lateObjectiveShareUnsized * engine.latencyObjective(engine.requests[sent[0].RequestID]))
		engine.now += wait
		engine.step(originFillOutcome(sent[0], wait, 0.5))
		want := 20 * min(1/late, limitDecreaseFactor)
		if limit := engine.originFills.concurrencyLimit; limit < want-0.1 || limit > want+0.1 {
			t.Errorf("limit %v after a wait of %v times the target with 20 in flight, want %v", limit, late, want)
		}
	}
}

// The time-out of an origin fill reduces the limit on origin fills, but not the limit of the parent that forwarded it.
func TestOriginTimeoutReducesOriginFillLimitAlone(t *testing.T) {
	engine := newTestEngine(t, distantOriginSettings(), 2, 1)
	engine.raiseLimits()
	engine.originFills.concurrencyLimit = 2
	parent := engine.servers["p0"]
	for i := range 12 {
		engine.request("big", fmt.Sprint(i))
	}
	cachedOnly := engine.request("big", "x")
	fill := engine.stepOne(outcomeEvent(cachedOnly, 0, OutcomeMiss, SourceMissed))
	before := parent.concurrencyLimit
	engine.now += 3 * sec
	engine.step(outcomeEvent(fill, 1, OutcomeTimedOut, CacheStatusUnknown))
	limit := engine.originFills.concurrencyLimit
	if limit >= 2 || parent.concurrencyLimit < before {
		t.Errorf("limit on origin fills %v, was 2; parent limit %v, was %v", limit, parent.concurrencyLimit, before)
	}
}

// With a slow origin, fills that may reach it are limited, but parents must still be used for their cached copies.
func TestSlowOriginLeavesParentCopiesInUse(t *testing.T) {
	engine := newTestEngine(t, testSettings(), 2, 1)
	for i := range 30 {
		action := engine.request("small", fmt.Sprint(i))
		if action.Kind != ActionSend || action.FetchFlags&FetchCachedOnly != 0 {
			continue
		}
		engine.now += sec
		slow := outcomeEvent(action, 0, OutcomeServed, FilledFromOrigin)
		slow.UpstreamWait = sec
		slow.ResponseTime = 100 * ms
		engine.step(slow)
	}
	cachedOnly := 0
	for i := range 10 {
		action := engine.request("big", fmt.Sprint("n", i))
		if action.Source == "p0" && action.FetchFlags&FetchCachedOnly != 0 {
			cachedOnly++
		}
	}
	if cachedOnly == 0 {
		t.Error("no cached-only fills from the parent while the origin is slow")
	}
}

// newOriginLimitEngine returns an engine with two accounting groups and a bound on the fills that may reach the origin.
// All other limits are too high to have an effect.
func newOriginLimitEngine(t *testing.T, bound float64) *testEngine {
	engine := newSubsetEngine(t, 0.5, 0.5)
	engine.step(Event{Kind: EventOriginFillBounds, MaxPotentialOriginFills: bound})
	for _, srv := range engine.servers {
		srv.concurrencyLimit = 1000
	}
	return engine
}

// requestNewObjects requests n new objects of which no server has a copy. It returns the number of attempts left in
// flight that may reach the origin.
func (engine *testEngine) requestNewObjects(subset, n int, name string) (inFlight int) {
	for i := range n {
		action := engine.requestIn(subset, "small", fmt.Sprint(name, i))
		for attempt := 0; action.Kind == ActionSend; attempt++ {
			if action.Source != action.Server && action.FetchFlags&FetchCachedOnly == 0 {
				inFlight++
				break
			}
			// This is a cached-only fill or an attempt for any cached copy. It finds no copy.
			action = engine.stepOne(outcomeEvent(action, attempt, OutcomeMiss, SourceMissed))
		}
	}
	return inFlight
}

// MaxPotentialOriginFills bounds all fills that may reach the origin, including confirmed ones, which are counted
// separately. If confirmed fills did not count, many requests for new objects could cause twice as many fills as the
// bound, and slow down the origin for all cells.
func TestConfirmedFillsCountTowardsBoundOnAllFills(t *testing.T) {
	engine := newOriginLimitEngine(t, 8)
	if inFlight := engine.requestNewObjects(1, 100, "l"); inFlight < 6 || inFlight > 8 {
		t.Errorf("%d fills in flight that may reach the origin, bound 8", inFlight)
	}
}

// One group uses the whole origin limit with confirmed fills. The share of the other group must still be available to
// it.
func TestConfirmedFillsLeaveOtherGroupsTheirShare(t *testing.T) {
	engine := newOriginLimitEngine(t, 8)
	engine.requestNewObjects(1, 100, "l")
	if inFlight := engine.requestNewObjects(2, 100, "q"); inFlight < 3 || inFlight > 5 {
		t.Errorf("second group: %d fills in flight that may reach the origin, want about its share of 4", inFlight)
	}
}
