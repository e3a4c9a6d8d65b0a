package routing

import (
	"fmt"
	"testing"
)

// Servers that drain or have left the list get nothing, and an empty list rejects requests.
func TestDrainingServersAreNeverUsed(t *testing.T) {
	for _, status := range []EndpointStatus{EndpointDraining, EndpointRemoved} {
		engine := newTestEngine(t, testSettings(), 1, 1)
		engine.step(Event{Kind: EventEndpoints, UpdateMode: UpdateChanges, Endpoints: []Endpoint{
			{Server: "c0", Zone: "z", Kind: "box", Status: status},
			{Server: "p0", Zone: "h", Kind: "parent", Status: status},
		}})
		for i := range 20 {
			if action := engine.request("big", fmt.Sprint(i)); action.Server == "c0" || action.Source == "p0" {
				t.Fatalf("%s: %+v", status, action)
			}
		}
	}
	engine := newTestEngine(t, testSettings(), 1, 0)
	engine.step(Event{Kind: EventEndpoints, UpdateMode: UpdateReplace})
	if action := engine.request("big", "x"); action.Kind != ActionReject {
		t.Errorf("empty list: %+v", action)
	}
}

// Where changes must be subscribed to, the engine does so at the start, and once more after a failure.
func TestSubscription(t *testing.T) {
	settings := testSettings()
	settings.Discovery = DiscoverySubscribe
	engine, err := NewEngine(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	restored := Event{Kind: EventEndpoints, UpdateMode: UpdateRestored, Endpoints: endpoints(1, 1)}
	actions := engine.Step(1, []Event{restored})
	if len(actions) != 1 || actions[0].Kind != ActionSubscribe || !actions[0].Enabled {
		t.Fatalf("start: %+v", actions)
	}
	actions = engine.Step(2, []Event{{Kind: EventEndpoints, UpdateMode: UpdateUnavailable}})
	maxDelay := settings.Guarantees.MaxPollInterval
	if len(actions) != 1 || actions[0].Kind != ActionSetTimer || actions[0].Delay > maxDelay {
		t.Fatalf("failed call: %+v", actions)
	}
	actions = engine.Step(3, []Event{{Kind: EventTimer, TimerToken: actions[0].TimerToken}})
	if len(actions) != 1 || actions[0].Kind != ActionSubscribe {
		t.Errorf("subscribed anew: %+v", actions)
	}
}

// Caches replaced all day long, each by one with a new id, are forgotten once nothing is in flight at them.
func TestDelistedServersAreForgotten(t *testing.T) {
	engine := newTestEngine(t, testSettings(), 1, 1)
	endpoint := func(name string, status EndpointStatus) Endpoint {
		return Endpoint{Server: name, Zone: "z", Kind: "box", Status: status, Weight: 1}
	}
	pending := engine.request("small", "x")
	for i := range 50 {
		old := "c0"
		if i > 0 {
			old = fmt.Sprint("new", i-1)
		}
		engine.step(Event{Kind: EventEndpoints, UpdateMode: UpdateChanges, Endpoints: []Endpoint{
			endpoint(old, EndpointRemoved),
			endpoint(fmt.Sprint("new", i), EndpointHealthy),
		}})
	}
	if len(engine.servers) != 4 { // the last one, the parent, the origin, and c0 with its attempt
		t.Errorf("%d servers known with an attempt in flight at one that left the list", len(engine.servers))
	}
	engine.step(outcomeEvent(pending, 0, OutcomeServed, CacheHit))
	engine.step(Event{Kind: EventEndpoints, UpdateMode: UpdateChanges})
	if len(engine.servers) != 3 {
		t.Errorf("%d servers known", len(engine.servers))
	}
}
