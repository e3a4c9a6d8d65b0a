package cells

import (
	"testing"

	"spantack/routing"
)

// Settings change while requests of confined tenants are open: these end as they would have, their cell's books come back to nothing,
// and a class that was dropped is refused by rules.
func TestUpdateSettingsWithOpenRequests(t *testing.T) {
	set := routing.Settings{
		Classes: []routing.Class{{Name: "video", Deadline: 6_000_000, LatencyObjective: 600_000, PriorityWeight: 2, Idempotency: "read_like", DeduplicationScope: "all"},
			{Name: "price", Deadline: 3_000_000, LatencyObjective: 400_000, PriorityWeight: 1, Idempotency: "read_like", DeduplicationScope: "all"}},
		Hierarchy:   routing.CacheHierarchy{OriginKind: 1, ParentKind: -1, Uncacheable: []bool{false, true}, CacheStatusReporting: "all", ResponseKBPerSecond: 2000, AllowsDirectFetch: true},
		Kinds:       []string{"box", "origin"},
		Permissions: routing.Permissions{MayCancel: true, MaxAttempts: 8, MaxRetryAfter: 1_000_000},
		Zone:        "east", Zones: []string{"east"},
	}
	m, err := NewAdmission(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	rows := []routing.Endpoint{{Server: "o", Zone: "east", Kind: "origin", Status: "healthy", Weight: 4}}
	for _, name := range []string{"a", "b", "c", "d"} {
		rows = append(rows, routing.Endpoint{Server: name, Zone: "east", Kind: "box", Status: "healthy", Weight: 4})
	}
	m.Step(0, []routing.Event{{Kind: routing.EventEndpoints, UpdateMode: "replace", Endpoints: rows}})
	spec := &Spec{Version: 1, Scheme: SchemeFixed, Cells: []Cell{{Name: "one", Share: 0.5}, {Name: "two", Share: 0.5}},
		Tenants: []Tenant{{Name: "loud", Cell: "one"}, {Name: "rest", Cell: "two"}}, TenantKeys: []TenantKey{{PurgeGroupRange: []int{0, 0}, Tenant: "loud"}, {Tenant: "rest"}},
		Budget: Budget{RequestsPerSecond: 3000, MaxOpenRequests: 200}}
	a, err := Compile(spec)
	if err != nil {
		t.Fatal(err)
	}
	m.SetAssignment(0, a)
	ask := func(call, class string) []routing.Action {
		return m.Step(1000, []routing.Event{{Kind: routing.EventRequest, RequestID: call, Class: class, Object: "x", PurgeGroup: 0, SizeKB: 10, Timeout: 3_000_000}})
	}
	acts := ask("r1", "video")
	if len(acts) == 0 || acts[0].Kind != routing.ActionSend {
		t.Fatalf("%+v", acts)
	}
	next := set
	next.Classes = []routing.Class{{Name: "price", Deadline: 3_000_000, LatencyObjective: 400_000, PriorityWeight: 1, Idempotency: "read_like", DeduplicationScope: "all"}}
	next.Hierarchy.Uncacheable = nil
	if err := m.UpdateSettings(2000, next); err != nil {
		t.Fatal(err)
	}
	if m.classes["price"].isUncacheable {
		t.Error("a class of the new settings is still taken for uncacheable")
	}
	if err := m.UpdateSettings(2000, routing.Settings{}); err == nil {
		t.Error("settings without a class were taken")
	}
	if again := ask("r2", "price"); len(again) == 0 || again[0].Kind != routing.ActionSend {
		t.Errorf("the new settings: %+v", again)
	}
	if again := ask("r3", "video"); len(again) != 1 || again[0].Kind != routing.ActionFail {
		t.Errorf("a class that was dropped: %+v", again)
	}
	m.Step(3000, []routing.Event{{Kind: routing.EventOutcome, RequestID: "r1", Server: acts[0].Server, Outcome: routing.OutcomeServed, IsFinal: true, CacheStatus: 1, ResponseTime: 2000}})
	m.Step(3000, []routing.Event{{Kind: routing.EventAborted, RequestID: "r2"}, {Kind: routing.EventAborted, RequestID: "r3"}})
	if len(m.openRequests) != 0 || m.scope.cells[0].openRequests != 0 {
		t.Errorf("%d open, %d in its cell", len(m.openRequests), m.scope.cells[0].openRequests)
	}
}
