package routing

import (
	"math"
	"testing"
)

// A parent found crowded by a late fill is told of, once a sending time; a cache, of which other depots know nothing,
// is not.
func TestCrowdedParentIsToldOf(t *testing.T) {
	g := newTestEngine(t, testSettings(), 1, 1)
	late := func(note CacheStatus) {
		g.r.servers["c0"].concurrencyLimit, g.r.servers["p0"].concurrencyLimit = 9, 9
		q := g.stepOne(Event{Kind: EventRequest, RequestID: "late", Class: "big", Object: "x", SizeKB: 2000, Timeout: 9 * sec})
		ev := outcomeEvent(q, 0, OutcomeServed, note)
		ev.ResponseTime = 8 * sec
		g.r.servers["c0"].concurrencyLimit, g.r.servers["p0"].concurrencyLimit = 1.5, 1.5 // in use by this one
		g.step(ev)
	}
	late(1)
	if len(g.reportedOverloads) != 0 || g.r.servers["c0"].concurrencyLimit >= 1.5 {
		t.Fatalf("a late hit: told of %v, limit %v", g.reportedOverloads, g.r.servers["c0"].concurrencyLimit)
	}
	late(2)
	late(2) // at the same time: no news
	if len(g.reportedOverloads) != 1 || g.reportedOverloads[0] != "p0" {
		t.Errorf("late fills: told of %v", g.reportedOverloads)
	}
	g.now += 10 * sec
	late(2)
	if len(g.reportedOverloads) != 2 {
		t.Errorf("10 s later: told of %v", g.reportedOverloads)
	}
}

// In a tier of hundreds an area cache that waits for the head office is not crowded, nor is one told of for a fill that
// nobody saw the end of: while six in ten caches started empty, each such fill was told of, and fills went at a quarter
// of what the area caches bear (join+mass: 66% of requests refused for five seconds). Among few routers the wait
// counts, as it always has.
func TestWaitForTheOriginIsNoCrowd(t *testing.T) {
	for _, tc := range []struct {
		routers   int
		code      AttemptOutcome
		note      CacheStatus
		cut, told bool
	}{{300, OutcomeServed, 3, false, false}, {300, OutcomeTimedOut, 0, true, false}, {3, OutcomeServed, 3, true, true}} {
		set := testSettings()
		set.FleetSize = tc.routers
		g := newTestEngine(t, set, 1, 1)
		p := g.r.servers["p0"]
		ev := outcomeEvent(g.stepOne(Event{Kind: EventRequest, RequestID: "q", Class: "big", Object: "x", SizeKB: 2000, Timeout: 9 * sec}), 0, tc.code, tc.note)
		if ev.ResponseTime, p.concurrencyLimit = 9*sec, 1.5; tc.code == OutcomeServed {
			ev.UpstreamWait = 6900 * ms
		}
		g.step(ev)
		if p.concurrencyLimit < 1.5 != tc.cut || len(g.reportedOverloads) > 0 != tc.told {
			t.Errorf("%+v: limit %v, told of %v", tc, p.concurrencyLimit, g.reportedOverloads)
		}
	}
}

// What peers find crowded is cut here too, as by a late answer, but nothing else follows: it is not told on, no breaker
// opens, and answers in time raise the limit again. Of 309 routers each had to be turned away at each area cache
// before.
func TestWordOfPeersCutsAParent(t *testing.T) {
	set := testSettings()
	set.WeightSource, set.FleetSize = "nominal", 300
	g := newTestEngine(t, set, 2, 1)
	p, c, o := g.r.servers["p0"], g.r.servers["c0"], g.r.origin
	p.weight = 15
	before := p.concurrencyLimit
	g.step(Event{Kind: EventParentOverloaded, Server: "p0"}, Event{Kind: EventParentOverloaded, Server: "c0"}, Event{Kind: EventParentOverloaded, Server: o.name}, Event{Kind: EventParentOverloaded, Server: "nobody"})
	known := lateServerTransfers * 15.0 / 300 / defaultMissRatio
	if before < initialLimitExtra || math.Abs(p.concurrencyLimit-known) > 1e-9 {
		t.Fatalf("limit %v, then %v; the share that is known is %v", before, p.concurrencyLimit, known)
	}
	if c.limitReducedAt != 0 || o.limitReducedAt != 0 || p.breaker.openUntil != 0 || len(g.reportedOverloads) != 0 {
		t.Errorf("cache cut at %d, origin at %d, breaker %+v, told of %v", c.limitReducedAt, o.limitReducedAt, p.breaker, g.reportedOverloads)
	}
	g.step(Event{Kind: EventParentOverloaded, Server: "p0"})
	if math.Abs(p.concurrencyLimit-known) > 1e-9 {
		t.Errorf("cut again at once: %v", p.concurrencyLimit)
	}
	g.now += 10 * sec
	g.step(Event{Kind: EventParentOverloaded, Server: "p0"})
	if math.Abs(p.concurrencyLimit-known*limitDecreaseFactor) > 1e-9 {
		t.Errorf("limit %v after a further word, want %v", p.concurrencyLimit, known*limitDecreaseFactor)
	}
	low := p.concurrencyLimit
	for i := 0; p.concurrencyLimit < known; i++ {
		if i == 200 {
			t.Fatalf("limit %v after %d fills in time, %v before", p.concurrencyLimit, i, low)
		}
		if a := g.request("small", "x"); a.Source == "p0" {
			g.step(outcomeEvent(a, 0, OutcomeServed, 2))
		} else if a.Kind == ActionSend {
			g.step(outcomeEvent(a, 0, OutcomeServed, 1))
		}
	}
}
