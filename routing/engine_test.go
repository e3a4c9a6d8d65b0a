package routing

import (
	"fmt"
	"testing"
)

const (
	ms  = int64(1000)
	sec = 1000 * ms
)

// testSettings returns the settings of a small deployment: zone "z" with edge caches, zone "h" with parents and one
// origin.
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
			MaxResubscribeDelay: 10 * sec,
			WarmUpTime:          16 * sec,
			InitialCapacity:     0.2,
			OverloadWindow:      2 * sec,
			AnswerGracePeriod:   8 * ms,
			DrainGracePeriod:    250 * ms,
			OverloadMultiple:    2,
		},
		Kinds:         []string{"box", "parent", "origin"},
		Permissions:   Permissions{MayCancel: true, MaxAttempts: 6, MaxRetryAfter: 2 * sec, SendsRetryAfter: true},
		LoadReporting: LoadReporting{Fields: []string{"x0"}, Delivery: LoadReportPiggyback},
		FleetSize:     3,
		Zone:          "z",
		Zones:         []string{"h", "z"},
	}
}

// endpoints returns an endpoint list for testSettings: origin o, edge caches c0, c1, ... and parents p0, p1, ...
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

// testEngine drives an engine step by step. Its clock, now, advances only if a test changes it.
type testEngine struct {
	*Engine
	t                 *testing.T
	now               int64
	requestCount      int
	reportedOverloads []string // servers of ActionReportOverload
}

// newTestEngine returns an engine that has received its endpoint list.
func newTestEngine(t *testing.T, settings Settings, caches, parents int) *testEngine {
	t.Helper()
	engine, err := NewEngine(settings, 7)
	if err != nil {
		t.Fatal(err)
	}
	tested := &testEngine{Engine: engine, t: t, now: 1000 * sec}
	tested.step(Event{Kind: EventEndpoints, UpdateMode: UpdateRestored, Endpoints: endpoints(caches, parents)})
	return tested
}

// step passes events to the engine and returns its actions, without timers and overload reports.
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

// stepOne is step for events that must result in exactly one action, which it returns.
func (engine *testEngine) stepOne(events ...Event) Action {
	engine.t.Helper()
	actions := engine.step(events...)
	if len(actions) != 1 {
		engine.t.Fatalf("want one action, got %+v", actions)
	}
	return actions[0]
}

// request passes a request with a new id to the engine and returns the resulting action.
func (engine *testEngine) request(class, object string) Action {
	engine.t.Helper()
	engine.requestCount++
	return engine.stepOne(requestEvent(fmt.Sprint("q", engine.requestCount), class, object))
}

// requestEvent returns a request with a client timeout of 3 s.
func requestEvent(id, class, object string) Event {
	return Event{Kind: EventRequest, RequestID: id, Class: class, Object: object, Timeout: 3 * sec}
}

// outcomeEvent returns the outcome of an attempt after 50 ms, or after 3 s if it timed out.
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

// A request is sent to an edge cache, with a parent as the source for a miss. Engines with the same endpoint list
// select the same servers.
func TestRequestIsServedThroughCacheAndParent(t *testing.T) {
	engine := newTestEngine(t, testSettings(), 3, 2)
	action := engine.request("small", "x")
	if action.Kind != ActionSend || action.Server[0] != 'c' || action.Source[0] != 'p' {
		t.Fatalf("got %+v, want an attempt at a cache with a parent as source", action)
	}
	if action.FetchFlags&FetchCollapse == 0 || action.RetentionRank < 1 {
		t.Fatalf("got %+v, want FetchCollapse and a RetentionRank", action)
	}
	if action.MaxAge > 10*sec || action.MaxAge < 8*sec {
		t.Errorf("MaxAge %d is not the freshness lifetime minus 0-20%%", action.MaxAge)
	}
	other := newTestEngine(t, testSettings(), 3, 2).request("small", "x")
	if other.Server != action.Server || other.Source != action.Source {
		t.Error("two routers select different caches or parents")
	}
	if unaged := engine.request("big", "x"); unaged.MaxAge != 0 || unaged.Source != action.Source {
		t.Errorf("class without a freshness lifetime: %+v", unaged)
	}
}

// Events for unknown requests, servers and timers have no effect.
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
			t.Errorf("event %+v resulted in actions %+v", ev, actions)
		}
	}
}
