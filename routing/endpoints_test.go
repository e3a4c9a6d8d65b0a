package routing

import (
	"fmt"
	"testing"
)

// Draining and removed servers must not get requests or fills. With an empty endpoint list, requests are rejected.
func TestDrainingServersAreNeverUsed(t *testing.T) {
	for _, status := range []EndpointStatus{EndpointDraining, EndpointRemoved} {
		engine := newTestEngine(t, testSettings(), 1, 1)
		engine.step(Event{Kind: EventEndpoints, UpdateMode: UpdateChanges, Endpoints: []Endpoint{
			{Server: "c0", Zone: "z", Kind: "box", Status: status},
			{Server: "p0", Zone: "h", Kind: "parent", Status: status},
		}})
		for i := range 20 {
			if action := engine.request("big", fmt.Sprint(i)); action.Server == "c0" || action.Source == "p0" {
				t.Fatalf("servers with status %s are used: %+v", status, action)
			}
		}
	}
	engine := newTestEngine(t, testSettings(), 1, 0)
	engine.step(Event{Kind: EventEndpoints, UpdateMode: UpdateReplace})
	if action := engine.request("big", "x"); action.Kind != ActionReject {
		t.Errorf("empty endpoint list: %+v, want a rejection", action)
	}
}

// With DiscoverySubscribe, the engine subscribes at the start and again after a failure, within MaxResubscribeDelay.
func TestFailedSubscriptionIsRenewed(t *testing.T) {
	settings := testSettings()
	settings.Discovery = DiscoverySubscribe
	engine, err := NewEngine(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	restored := Event{Kind: EventEndpoints, UpdateMode: UpdateRestored, Endpoints: endpoints(1, 1)}
	actions := engine.Step(1, []Event{restored})
	if len(actions) != 1 || actions[0].Kind != ActionSubscribe || !actions[0].Enabled {
		t.Fatalf("at the start: %+v, want a subscription", actions)
	}
	actions = engine.Step(2, []Event{{Kind: EventEndpoints, UpdateMode: UpdateUnavailable}})
	maxDelay := settings.Guarantees.MaxResubscribeDelay
	if len(actions) != 1 || actions[0].Kind != ActionSetTimer || actions[0].Delay > maxDelay {
		t.Fatalf("after a failed call: %+v, want a timer of at most MaxResubscribeDelay", actions)
	}
	actions = engine.Step(3, []Event{{Kind: EventTimer, TimerToken: actions[0].TimerToken}})
	if len(actions) != 1 || actions[0].Kind != ActionSubscribe {
		t.Errorf("after the timer: %+v, want a subscription", actions)
	}
}

// Delisted servers are deleted once they have nothing in flight. Otherwise memory grows while caches are continuously
// replaced by caches with new ids.
func TestDelistedServersAreDeleted(t *testing.T) {
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
	if len(engine.servers) != 4 { // the last edge cache, the parent, the origin, and c0 with its attempt
		t.Errorf("%d servers kept, want 4: an attempt is in flight at a delisted server", len(engine.servers))
	}
	engine.step(outcomeEvent(pending, 0, OutcomeServed, CacheHit))
	engine.step(Event{Kind: EventEndpoints, UpdateMode: UpdateChanges})
	if len(engine.servers) != 3 {
		t.Errorf("%d servers kept, want 3", len(engine.servers))
	}
}
