package routing

import (
	"fmt"
	"testing"
)

const (
	ms  = int64(1000)
	sec = 1000 * ms
)

// testSettings returns those of a small deployment: zone "z" with edge caches, hub "h" with parents, one origin.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{
				Name:                "big",
				ObjectiveSizeFactor: 2,
				Deadline:            5 * sec,
				LatencyObjective:    600 * ms,
				PriorityWeight:      2,
				DeduplicationScope:  DeduplicatedByAll,
				Idempotency:         IdempotentRead,
			},
			{
				Name:                "small",
				ObjectiveSizeFactor: 2,
				Deadline:            3 * sec,
				LatencyObjective:    300 * ms,
				PriorityWeight:      1,
				DeduplicationScope:  DeduplicatedByAll,
				Idempotency:         IdempotentRead,
			},
			{
				Name:                "keyed",
				Deadline:            3 * sec,
				LatencyObjective:    600 * ms,
				PriorityWeight:      3,
				DeduplicationScope:  DeduplicatedByAll,
				Idempotency:         IdempotentKey,
				DeduplicationWindow: 2 * sec,
			},
			{
				Name:             "unsafe",
				Deadline:         3 * sec,
				LatencyObjective: 600 * ms,
				PriorityWeight:   3,
				Idempotency:      NotIdempotent,
			},
			{
				Name:                "zoned",
				Deadline:            3 * sec,
				LatencyObjective:    600 * ms,
				PriorityWeight:      1,
				DeduplicationScope:  DeduplicatedByZone,
				Idempotency:         IdempotentKey,
				DeduplicationWindow: 2 * sec,
			},
		},
		Discovery: DiscoveryAutomatic,
		Hierarchy: CacheHierarchy{
			FreshnessLifetime:      []int64{0, 10 * sec, 0, 0, 0},
			StaleGracePeriod:       []int64{0, 20 * sec, 0, 0, 0},
			Uncacheable:            []bool{false, false, true, true, false},
			ParentKind:             1,
			OriginKind:             2,
			CacheStatusReporting:   CacheStatusReported,
			ResponseKBPerSecond:    1000,
			ParentInitialCapacity:  0.1,
			ParentWarmUpTime:       20 * sec,
			ParentOverloadMultiple: 2,
			PurgeGracePeriod:       sec,
			PurgePropagationTime:   6 * sec,
			RoutersByZone:          []int{0, 2},
			CollapsesFills:         true,
			AllowsDirectFetch:      true,
		},
		Guarantees: Guarantees{
			MaxPollInterval:   10 * sec,
			WarmUpTime:        16 * sec,
			InitialCapacity:   0.2,
			OverloadWindow:    2 * sec,
			AnswerGracePeriod: 8 * ms,
			DrainGracePeriod:  250 * ms,
			OverloadMultiple:  2,
		},
		Kinds:         []string{"box", "parent", "origin"},
		Permissions:   Permissions{MayCancel: true, MaxAttempts: 6, MaxRetryAfter: 2 * sec, SendsRetryAfter: true},
		LoadReporting: LoadReporting{Fields: []string{"x0"}, Delivery: LoadReportPiggyback},
		FleetSize:     3,
		Zone:          "z",
		Zones:         []string{"h", "z"},
	}
}

// endpoints returns the endpoint list of such a deployment: o, c0, c1 and so on, p0, p1 and so on.
func endpoints(caches, parents int) []Endpoint {
	list := []Endpoint{{Server: "o", Zone: "h", Kind: "origin", Status: EndpointHealthy, Weight: 1}}
	for i := range caches {
		name := fmt.Sprint("c", i)
		list = append(list, Endpoint{Server: name, Zone: "z", Kind: "box", Status: EndpointHealthy, Weight: 1})
	}
	for i := range parents {
		name := fmt.Sprint("p", i)
		list = append(list, Endpoint{Server: name, Zone: "h", Kind: "parent", Status: EndpointHealthy, Weight: 1})
	}
	return list
}

// testEngine drives an engine step by step. Its clock stands still but for what a test adds to now.
type testEngine struct {
	*Engine
	t                 *testing.T
	now               int64
	requestCount      int
	reportedOverloads []string // servers of ActionReportOverload
}

// newTestEngine returns an engine that knows its servers.
func newTestEngine(t *testing.T, settings Settings, caches, parents int) *testEngine {
	t.Helper()
	engine, err := NewEngine(settings, 7)
	if err != nil {
		t.Fatal(err)
	}
	driven := &testEngine{Engine: engine, t: t, now: 1000 * sec}
	driven.step(Event{Kind: EventEndpoints, UpdateMode: UpdateRestored, Endpoints: endpoints(caches, parents)})
	return driven
}

// step hands events to the engine and returns its actions less timers and reports of overload.
func (engine *testEngine) step(events ...Event) (actions []Action) {
	for _, action := range engine.Step(engine.now, events) {
		if action.Kind == ActionReportOverload {
			engine.reportedOverloads = append(engine.reportedOverloads, action.Server)
		} else if action.Kind != ActionSetTimer {
			actions = append(actions, action)
		}
	}
	return actions
}

// stepOne is step where one action is expected.
func (engine *testEngine) stepOne(events ...Event) Action {
	engine.t.Helper()
	actions := engine.step(events...)
	if len(actions) != 1 {
		engine.t.Fatalf("want one action, got %+v", actions)
	}
	return actions[0]
}

// request hands over a request of a new id and returns the action that follows.
func (engine *testEngine) request(class, object string) Action {
	engine.t.Helper()
	engine.requestCount++
	return engine.stepOne(requestEvent(fmt.Sprint("q", engine.requestCount), class, object))
}

// requestEvent returns a request whose client waits for 3 s.
func requestEvent(id, class, object string) Event {
	return Event{Kind: EventRequest, RequestID: id, Class: class, Object: object, Timeout: 3 * sec}
}

// outcomeEvent returns the outcome of an attempt: after 50 ms, or 3 s if it timed out.
func outcomeEvent(action Action, attempt int, outcome AttemptOutcome, status CacheStatus) Event {
	ev := Event{
		Kind:         EventOutcome,
		RequestID:    action.RequestID,
		Attempt:      attempt,
		Server:       action.Server,
		Outcome:      outcome,
		CacheStatus:  status,
		ResponseTime: 50 * ms,
		IsFinal:      outcome == OutcomeServed,
	}
	if outcome == OutcomeTimedOut {
		ev.ResponseTime = 3 * sec
	}
	return ev
}

// A request goes to an edge cache and names a parent for a miss. Engines with equal lists agree on both.
func TestRequestIsServedThroughCacheAndParent(t *testing.T) {
	engine := newTestEngine(t, testSettings(), 3, 2)
	action := engine.request("small", "x")
	if action.Kind != ActionSend || action.Server[0] != 'c' || action.Source[0] != 'p' {
		t.Fatalf("first attempt %+v", action)
	}
	if action.FetchFlags&FetchCollapse == 0 || action.RetentionRank < 1 {
		t.Fatalf("first attempt %+v", action)
	}
	if action.MaxAge > 10*sec || action.MaxAge < 8*sec {
		t.Errorf("maximum age %d is not the freshness lifetime less 0-20%%", action.MaxAge)
	}
	other := newTestEngine(t, testSettings(), 3, 2).request("small", "x")
	if other.Server != action.Server || other.Source != action.Source {
		t.Error("two routers disagree on cache or parent")
	}
	if unaged := engine.request("big", "x"); unaged.MaxAge != 0 || unaged.Source != action.Source {
		t.Errorf("class with no fresh time: %+v", unaged)
	}
}

// Events about requests, servers and timers that the engine does not know change nothing.
func TestUnknownReferencesAreIgnored(t *testing.T) {
	engine := newTestEngine(t, testSettings(), 1, 1)
	for _, ev := range []Event{
		{Kind: EventOutcome, RequestID: "none", Server: "nowhere", Outcome: OutcomeServed},
		{Kind: EventAborted, RequestID: "none"},
		{Kind: EventTimer, TimerToken: 99},
		{Kind: EventFirstByte, RequestID: "none"},
		{Kind: EventProbed, Server: "nowhere"},
		{},
	} {
		if actions := engine.step(ev); len(actions) != 0 {
			t.Errorf("%+v brings %+v", ev, actions)
		}
	}
}
