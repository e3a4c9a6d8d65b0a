package rules

import (
	"math"
	"testing"
)

// A parent found crowded by a late fill is told of, once a sending time; a cache, of which other depots know nothing, is not.
func TestCrowdedParentIsToldOf(t *testing.T) {
	g := newRig(t, settings(), 1, 1)
	late := func(note int) {
		g.r.nodes["c0"].limit, g.r.nodes["p0"].limit = 9, 9
		q := g.one(Event{Kind: Request, Call: "late", Class: "big", Object: "x", SizeKb: 2000, ExpiresIn: 9 * sec})
		ev := result(q, 0, Done, note)
		ev.Rtt = 8 * sec
		g.r.nodes["c0"].limit, g.r.nodes["p0"].limit = 1.5, 1.5 // in use by this one
		g.do(ev)
	}
	late(1)
	if len(g.told) != 0 || g.r.nodes["c0"].limit >= 1.5 {
		t.Fatalf("a late hit: told of %v, limit %v", g.told, g.r.nodes["c0"].limit)
	}
	late(2)
	late(2) // at the same time: no news
	if len(g.told) != 1 || g.told[0] != "p0" {
		t.Errorf("late fills: told of %v", g.told)
	}
	g.now += 10 * sec
	late(2)
	if len(g.told) != 2 {
		t.Errorf("10 s later: told of %v", g.told)
	}
}

// In a tier of hundreds an area cache that waits for the head office is not crowded, nor is one told of for a fill that nobody saw
// the end of: while six in ten caches started empty, each such fill was told of, and fills went at a quarter of what the
// area caches bear (join+mass: 66% of requests refused for five seconds). Among few routers the wait counts, as it always has.
func TestWaitForTheOriginIsNoCrowd(t *testing.T) {
	for _, tc := range []struct {
		routers   int
		code      Code
		note      int
		cut, told bool
	}{{300, Done, 3, false, false}, {300, TimedOut, 0, true, false}, {3, Done, 3, true, true}} {
		set := settings()
		set.Siblings = tc.routers
		g := newRig(t, set, 1, 1)
		p := g.r.nodes["p0"]
		ev := result(g.one(Event{Kind: Request, Call: "q", Class: "big", Object: "x", SizeKb: 2000, ExpiresIn: 9 * sec}), 0, tc.code, tc.note)
		if ev.Rtt, p.limit = 9*sec, 1.5; tc.code == Done {
			ev.UpstreamWait = 6900 * ms
		}
		g.do(ev)
		if p.limit < 1.5 != tc.cut || len(g.told) > 0 != tc.told {
			t.Errorf("%+v: limit %v, told of %v", tc, p.limit, g.told)
		}
	}
}

// What peers find crowded is cut here too, as by a late answer, but nothing else follows: it is not told on, no breaker opens,
// and answers in time raise the limit again. Of 309 routers each had to be turned away at each area cache before.
func TestWordOfPeersCutsAParent(t *testing.T) {
	set := settings()
	set.WeightSource, set.Siblings = "nominal", 300
	g := newRig(t, set, 2, 1)
	p, c, o := g.r.nodes["p0"], g.r.nodes["c0"], g.r.origin
	p.weight = 15
	before := p.limit
	g.do(Event{Kind: Crowded, Node: "p0"}, Event{Kind: Crowded, Node: "c0"}, Event{Kind: Crowded, Node: o.name}, Event{Kind: Crowded, Node: "nobody"})
	known := limitRoom * 15.0 / 300 / unknownMisses
	if before < firstSpare || math.Abs(p.limit-known) > 1e-9 {
		t.Fatalf("limit %v, then %v; the share that is known is %v", before, p.limit, known)
	}
	if c.cutAt != 0 || o.cutAt != 0 || p.brk.until != 0 || len(g.told) != 0 {
		t.Errorf("cache cut at %d, origin at %d, breaker %+v, told of %v", c.cutAt, o.cutAt, p.brk, g.told)
	}
	g.do(Event{Kind: Crowded, Node: "p0"})
	if math.Abs(p.limit-known) > 1e-9 {
		t.Errorf("cut again at once: %v", p.limit)
	}
	g.now += 10 * sec
	g.do(Event{Kind: Crowded, Node: "p0"})
	if math.Abs(p.limit-known*limitCut) > 1e-9 {
		t.Errorf("limit %v after a further word, want %v", p.limit, known*limitCut)
	}
	low := p.limit
	for i := 0; p.limit < known; i++ {
		if i == 200 {
			t.Fatalf("limit %v after %d fills in time, %v before", p.limit, i, low)
		}
		if a := g.ask("small", "x"); a.Source == "p0" {
			g.do(result(a, 0, Done, 2))
		} else if a.Kind == Get {
			g.do(result(a, 0, Done, 1))
		}
	}
}
