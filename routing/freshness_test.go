package routing

import "testing"

// After a purge of the object or its group no older copy will do, and no fill under way is joined.
func TestPurgeLimitsMaxAge(t *testing.T) {
	for name, ev := range map[string]Event{
		"object": {Kind: EventPurge, Object: "x", PurgeGroup: 3, PurgeAge: 200 * ms},
		"group":  {Kind: EventPurge, PurgeGroup: 3, PurgeAge: 200 * ms},
	} {
		engine := newTestEngine(t, testSettings(), 2, 1)
		engine.step(ev)
		engine.now += sec
		for _, class := range []string{"big", "small"} {
			request := requestEvent(name+class, class, "x")
			request.PurgeGroup = 3
			first := engine.stepOne(request)
			if first.MaxAge <= 0 || first.MaxAge > 1200*ms || first.FetchFlags&FetchCollapse != 0 {
				t.Errorf("%s purge, class %s: age %d flags %d", name, class, first.MaxAge, first.FetchFlags)
			}
			cachedCopy := engine.stepOne(outcomeEvent(first, 0, OutcomeError, SourceUnreachable))
			if cachedCopy.MaxAge <= 0 || cachedCopy.MaxAge > 1200*ms {
				t.Errorf("%s purge, cached copy: age %d", name, cachedCopy.MaxAge)
			}
		}
	}
}

// A request may name the time from which copies will do, which binds any cached copy too, and an age that is more
// than its class allows; a purge binds over both.
func TestRequestLimitsMaxAge(t *testing.T) {
	engine := newTestEngine(t, testSettings(), 2, 1)
	engine.now += 1000 * sec
	send := func(id, class string, minVersionTime, maxAge int64) Action {
		request := requestEvent(id, class, "x")
		request.MinVersionTime = minVersionTime
		request.MaxAge = maxAge
		return engine.stepOne(request)
	}
	usual, extended := send("a", "big", 0, 0).MaxAge, send("b", "big", 0, 500*sec).MaxAge
	if usual > 0 && extended != 500*sec || usual == 0 && extended != 0 {
		t.Errorf("class big: %d as usual, %d extended", usual, extended)
	}
	fresh := valueAt(testSettings().Hierarchy.FreshnessLifetime, 1)
	if got := send("c", "small", 0, 500*sec).MaxAge; fresh > 0 && got != 500*sec {
		t.Errorf("fresh for %d, may be as old as 500 s: %d", fresh, got)
	}
	action := send("d", "small", engine.now-100*ms, 500*sec)
	if want := int64(100*ms - purgeClockMargin); action.MaxAge != want {
		t.Errorf("copies of the last 100 ms: %d, want %d", action.MaxAge, want)
	}
	cachedCopy := engine.stepOne(outcomeEvent(action, 0, OutcomeError, SourceUnreachable))
	if cachedCopy.MaxAge <= 0 || cachedCopy.MaxAge > 100*ms {
		t.Errorf("any cached copy: %d", cachedCopy.MaxAge)
	}
	if action := send("e", "small", engine.now+sec, 0); action.MaxAge != 1 {
		t.Errorf("from a time to come: %d", action.MaxAge)
	}
	engine.step(Event{Kind: EventPurge, Object: "x", PurgeAge: 20 * ms})
	if action := send("f", "small", engine.now-100*ms, 500*sec); action.MaxAge > 20*ms {
		t.Errorf("after a purge: %d", action.MaxAge)
	}
}
