package routing_test

import (
	"fmt"

	"spantack/routing"
)

// newExampleEngine returns the engine of a router in zone "east" with two edge caches, a parent and the origin.
func newExampleEngine() *routing.Engine {
	engine, err := routing.NewEngine(routing.Settings{
		Classes: []routing.Class{{
			Name:               "page",
			Deadline:           3_000_000,
			LatencyObjective:   300_000,
			PriorityWeight:     1,
			Idempotency:        routing.IdempotentRead,
			DeduplicationScope: routing.DeduplicatedByAll,
		}},
		Hierarchy: routing.CacheHierarchy{
			ParentKind:           1,
			OriginKind:           2,
			FreshnessLifetime:    []int64{0},
			CacheStatusReporting: routing.CacheStatusReported,
		},
		Kinds:       []string{"edge", "parent", "origin"},
		Permissions: routing.Permissions{MaxAttempts: 3},
		Zone:        "east",
		Zones:       []string{"east", "hub"},
	}, 1)
	if err != nil {
		panic(err)
	}
	list := []routing.Endpoint{
		{Server: "edge-1", Zone: "east", Kind: "edge", Status: routing.EndpointHealthy},
		{Server: "edge-2", Zone: "east", Kind: "edge", Status: routing.EndpointHealthy},
		{Server: "parent-1", Zone: "hub", Kind: "parent", Status: routing.EndpointHealthy},
		{Server: "store", Zone: "hub", Kind: "origin", Status: routing.EndpointHealthy},
	}
	engine.Step(1_000_000, []routing.Event{
		{Kind: routing.EventEndpoints, UpdateMode: routing.UpdateRestored, Endpoints: list},
	})
	return engine
}

// send passes an event to the engine and prints the resulting actions, except timers. It returns the last action.
func send(engine *routing.Engine, now int64, event routing.Event) (last routing.Action) {
	for _, action := range engine.Step(now, []routing.Event{event}) {
		switch action.Kind {
		case routing.ActionSend:
			fmt.Println(action.RequestID, "to", action.Server, "filled from", action.Source)
		case routing.ActionReject, routing.ActionFail:
			fmt.Println(action.RequestID, action.Kind)
		case routing.ActionSetTimer:
			continue
		}
		last = action
	}
	return last
}

// request returns a client's request with a timeout of two seconds.
func request(id, object string) routing.Event {
	return routing.Event{
		Kind:      routing.EventRequest,
		RequestID: id,
		Class:     "page",
		Object:    object,
		Timeout:   2_000_000,
	}
}

// outcome returns the outcome of the first attempt of a request.
func outcome(sent routing.Action, result routing.AttemptOutcome, status routing.CacheStatus) routing.Event {
	return routing.Event{
		Kind:         routing.EventOutcome,
		RequestID:    sent.RequestID,
		Server:       sent.Server,
		Outcome:      result,
		CacheStatus:  status,
		ResponseTime: 40_000,
		IsFinal:      result == routing.OutcomeServed,
	}
}

// A request is sent to an edge cache, which fills a miss from the given parent. After the request is served, there are
// no further actions.
func Example() {
	engine := newExampleEngine()
	sent := send(engine, 1_002_000, request("r1", "front"))
	send(engine, 1_042_000, outcome(sent, routing.OutcomeServed, routing.FilledFromSource))
	fmt.Println("served")
	// Output:
	// r1 to edge-2 filled from parent-1
	// served
}

// An attempt whose connection the edge cache refused is retried at another edge cache, with the same parent.
func Example_retry() {
	engine := newExampleEngine()
	sent := send(engine, 1_002_000, request("r1", "front"))
	refused := outcome(sent, routing.OutcomeConnectionRefused, routing.CacheStatusUnknown)
	send(engine, 1_003_000, refused)
	// Output:
	// r1 to edge-2 filled from parent-1
	// r1 to edge-1 filled from parent-1
}

// The parent is unreachable. After three failed fills its circuit breaker opens and ejects it. Later requests are sent
// to their edge cache for a cached copy only.
func Example_circuitBreaker() {
	engine := newExampleEngine()
	for i := range 3 {
		id := fmt.Sprint("r", i+1)
		now := 1_002_000 + int64(i)*100_000
		sent := send(engine, now, request(id, id))
		engine.Step(now+40_000, []routing.Event{
			outcome(sent, routing.OutcomeError, routing.SourceUnreachable),
			{Kind: routing.EventAborted, RequestID: id}, // the client has given up
		})
	}
	_, ejected := engine.Parents(1_400_000)
	fmt.Println("ejected:", ejected)
	sent := send(engine, 1_400_000, request("r4", "r4"))
	fmt.Println("cached copy only:", sent.Source == sent.Server)
	// Output:
	// r1 to edge-2 filled from parent-1
	// r2 to edge-2 filled from parent-1
	// r3 to edge-1 filled from parent-1
	// ejected: [parent-1]
	// r4 to edge-1 filled from edge-1
	// cached copy only: true
}
