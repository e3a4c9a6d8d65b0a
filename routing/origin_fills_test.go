package routing

import (
	"fmt"
	"testing"
)

// distantOriginSettings returns those of a deployment whose origin takes long for a fill even on a quiet day, whose
// caches report their link's use, and where a request goes to caches only.
func distantOriginSettings() Settings {
	settings := testSettings()
	settings.Hierarchy.AllowsDirectFetch = false
	settings.Hierarchy.CollapsesFills = false
	settings.LoadReporting = LoadReporting{Fields: []string{"cpu_share", "x1"}, Delivery: LoadReportPiggyback}
	return settings
}

// raiseLimits takes all limits but that on origin fills out of the way.
func (engine *testEngine) raiseLimits() {
	for _, srv := range engine.servers {
		srv.concurrencyLimit = 1000
	}
}

// originFillOutcome is the response to an attempt that the origin gave after a wait, with a report of the link's use.
func originFillOutcome(action Action, wait int64, link float64) Event {
	ev := outcomeEvent(action, 0, OutcomeServed, FilledFromOrigin)
	ev.UpstreamWait = wait
	ev.ResponseTime = wait + 20*ms
	ev.LoadReport = []float64{0.5, link}
	return ev
}

// Most fills in flight are hits at the parent, of which the origin hears nothing. Counted as origin fills, they
// kept the limit on these full, and a miss was rejected while the origin stood idle (rough-1 of the second site:
// 41% rejected, a fifth of the usual fills made). What a cached-only fill has shown to be a miss is counted on its
// own.
func TestConfirmedMissIsFetchedFromOrigin(t *testing.T) {
	engine := newTestEngine(t, distantOriginSettings(), 2, 1)
	engine.raiseLimits()
	engine.originFills.concurrencyLimit = 3
	for i := range 40 { // large chunks in flight: hits, most likely
		engine.request("big", fmt.Sprint(i))
	}
	var fills []Action
	for i := range 9 {
		cachedOnly := engine.request("big", fmt.Sprint("n", i))
		if cachedOnly.FetchFlags&FetchCachedOnly == 0 || cachedOnly.Source != "p0" {
			t.Fatalf("with the limit full: %+v, want a cached-only fill", cachedOnly)
		}
		next := engine.stepOne(outcomeEvent(cachedOnly, 0, OutcomeMiss, SourceMissed))
		switch next.Kind {
		case ActionSend:
			if next.FetchFlags&FetchCachedOnly != 0 || next.Source != "p0" || next.Server != cachedOnly.Server {
				t.Fatalf("after a cached-only fill that found nothing: %+v", next)
			}
			fills = append(fills, next)
		case ActionReject:
		default:
			t.Fatalf("after a cached-only fill that found nothing: %+v", next)
		}
	}
	if len(fills) < 2 || len(fills) > 3 {
		t.Errorf("%d confirmed fills in flight under a limit of 3", len(fills))
	}
	for _, fill := range fills {
		engine.step(outcomeEvent(fill, 1, OutcomeServed, FilledFromOrigin))
	}
	if engine.confirmedOriginFills != 0 {
		t.Errorf("%d confirmed fills counted when all have ended", engine.confirmedOriginFills)
	}
}

// A cached copy within its grace period comes before an origin fill, where the class has one.
func TestConfirmedMissTriesCachedCopyFirst(t *testing.T) {
	engine := newTestEngine(t, distantOriginSettings(), 2, 1)
	engine.originFills.concurrencyLimit = 0.01
	cachedOnly := engine.request("small", "x")
	cachedCopy := engine.stepOne(outcomeEvent(cachedOnly, 0, OutcomeMiss, SourceMissed))
	isCachedCopy := cachedCopy.Source == cachedCopy.Server && cachedCopy.MaxAge == 30*sec
	if cachedOnly.FetchFlags&FetchCachedOnly == 0 || !isCachedCopy {
		t.Fatalf("%+v, then %+v", cachedOnly, cachedCopy)
	}
	last := engine.stepOne(outcomeEvent(cachedCopy, 1, OutcomeMiss, CacheStatusUnknown))
	if last.Kind != ActionReject {
		t.Errorf("without capacity for an origin fill: %+v", last)
	}
}

// When the origin slows, what is in flight there is far too much. Reduced by 15% at a time the limit took five
// seconds to follow; it is reduced to what would have been in time, as waits go with what is in flight.
func TestOriginFillLimitFallsByLateness(t *testing.T) {
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
			t.Errorf("limit %v after a fill %v times as late as it may be among 20, want %v", limit, late, want)
		}
	}
}

// An origin fill that never comes back is the latest of all, and not the doing of the parent that forwarded it.
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
		t.Errorf("limit on origin fills %v of 2, the parent's %v of %v", limit, parent.concurrencyLimit, before)
	}
}

// A slow origin made every fill through a parent late; parents' copies were rejected along with it.
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
		t.Error("all still fill from a slow origin through the parent")
	}
}

// newOriginLimitEngine returns an engine with two accounting groups in which EventOriginFillBounds bounds the fills
// that may reach the origin, with no other limit in the way.
func newOriginLimitEngine(t *testing.T, bound float64) *testEngine {
	engine := newSubsetEngine(t, 0.5, 0.5)
	engine.step(Event{Kind: EventOriginFillBounds, MaxPossibleOriginFills: bound})
	for _, srv := range engine.servers {
		srv.concurrencyLimit = 1000
	}
	return engine
}

// requestMany requests n new objects of which no server has a copy, and counts the attempts left in flight that may
// reach the origin.
func (engine *testEngine) requestMany(subset, n int, name string) (inFlight int) {
	for i := range n {
		action := engine.requestIn(subset, "small", fmt.Sprint(name, i))
		for attempt := 0; action.Kind == ActionSend; attempt++ {
			if action.Source != action.Server && action.FetchFlags&FetchCachedOnly == 0 {
				inFlight++
				break
			}
			// A cached-only fill, or an attempt for any cached copy, that found nothing.
			action = engine.stepOne(outcomeEvent(action, attempt, OutcomeMiss, SourceMissed))
		}
	}
	return inFlight
}

// What is confirmed to reach the origin is counted apart, but the bound that EventOriginFillBounds sets is on all
// fills: counted beside the bound, a flood of new objects had twice as much at the origin, which slowed for every cell
// (0.94 of others' weight for 0.98).
func TestConfirmedFillsCountTowardsBoundOnAllFills(t *testing.T) {
	engine := newOriginLimitEngine(t, 8)
	if inFlight := engine.requestMany(1, 100, "l"); inFlight < 6 || inFlight > 8 {
		t.Errorf("%d fills that may reach the origin in flight under a bound of 8", inFlight)
	}
}

// One group has borrowed the whole bound with confirmed fills: the other's share of it is still its own.
func TestConfirmedFillsLeaveOtherGroupsTheirShare(t *testing.T) {
	engine := newOriginLimitEngine(t, 8)
	engine.requestMany(1, 100, "l")
	if inFlight := engine.requestMany(2, 100, "q"); inFlight < 3 || inFlight > 5 {
		t.Errorf("the second group has %d fills in flight that may reach the origin, its share is 4", inFlight)
	}
}
