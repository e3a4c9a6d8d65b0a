package routing

import "testing"

// After a purge of an object or its group, a request must not get an older copy or join a fill in progress.
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
				t.Errorf("%s purge, class %s: MaxAge %d, flags %d", name, class, first.MaxAge, first.FetchFlags)
			}
			cachedCopy := engine.stepOne(outcomeEvent(first, 0, OutcomeError, SourceUnreachable))
			if cachedCopy.MaxAge <= 0 || cachedCopy.MaxAge > 1200*ms {
				t.Errorf("%s purge, any cached copy: MaxAge %d", name, cachedCopy.MaxAge)
			}
		}
	}
}

// A request's MinVersionTime limits the age of its copy, also if any cached copy is accepted. Its MaxAge raises the
// limit of its class. After a purge, the age is limited regardless of both.
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
		t.Errorf("class big: MaxAge %d without and %d with a request limit of 500 s", usual, extended)
	}
	fresh := valueAt(testSettings().Hierarchy.FreshnessLifetime, 1)
	if got := send("c", "small", 0, 500*sec).MaxAge; fresh > 0 && got != 500*sec {
		t.Errorf("freshness lifetime %d, request limit of 500 s: MaxAge %d", fresh, got)
	}
	action := send("d", "small", engine.now-100*ms, 500*sec)
	if want := int64(100*ms - clockMargin); action.MaxAge != want {
		t.Errorf("minimum version 100 ms ago: MaxAge %d, want %d", action.MaxAge, want)
	}
	cachedCopy := engine.stepOne(outcomeEvent(action, 0, OutcomeError, SourceUnreachable))
	if cachedCopy.MaxAge <= 0 || cachedCopy.MaxAge > 100*ms {
		t.Errorf("any cached copy: MaxAge %d, want at most 100 ms", cachedCopy.MaxAge)
	}
	if action := send("e", "small", engine.now+sec, 0); action.MaxAge != 1 {
		t.Errorf("minimum version in the future: MaxAge %d, want 1", action.MaxAge)
	}
	engine.step(Event{Kind: EventPurge, Object: "x", PurgeAge: 20 * ms})
	if action := send("f", "small", engine.now-100*ms, 500*sec); action.MaxAge > 20*ms {
		t.Errorf("purge 20 ms ago: MaxAge %d", action.MaxAge)
	}
}
