package cells

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"spantack/routing"
)

// Without a specification a module does to the byte what the rules do alone; and a specification taken away leaves that.
func TestNoAssignmentIsWithoutEffect(t *testing.T) {
	run := func(step func(int64, []routing.Event) []routing.Action) (out []string) {
		rng := rand.New(rand.NewPCG(3, 3))
		now := sec
		step(now, []routing.Event{{Kind: routing.EventEndpoints, UpdateMode: "replace", Endpoints: endpointsWith(cacheNames(6)...)}})
		for i := range 2000 {
			now += int64(rng.IntN(5000))
			call := fmt.Sprint(i)
			acts := step(now, []routing.Event{{Kind: routing.EventRequest, RequestID: call, Class: "page", Object: fmt.Sprint(rng.IntN(50)), SizeKB: 40, Timeout: sec}})
			out = append(out, fmt.Sprintf("%+v", acts))
			for _, a := range acts {
				if a.Kind == routing.ActionSend && rng.IntN(10) > 0 {
					code := []routing.AttemptOutcome{routing.OutcomeServed, routing.OutcomeServed, routing.OutcomeError, routing.OutcomeRejected}[rng.IntN(4)]
					acts := step(now+50*msec, []routing.Event{{Kind: routing.EventOutcome, RequestID: call, Server: a.Server, Outcome: code, CacheStatus: 1, ResponseTime: 50 * msec, IsFinal: code == routing.OutcomeServed}})
					out = append(out, fmt.Sprintf("%+v", acts))
				}
			}
		}
		return out
	}
	plain, err := routing.NewEngine(testSettings(), 9)
	if err != nil {
		t.Fatal(err)
	}
	m, err := NewAdmission(testSettings(), 9)
	if err != nil {
		t.Fatal(err)
	}
	m.SetAssignment(0, mustCompile(t, twoCells()))
	m.SetAssignment(0, nil)
	if a, b := run(plain.Step), run(m.Step); !slices.Equal(a, b) {
		t.Error("not the same actions")
	}
	if m.Status(0) != nil || m.AssignmentVersion() != 0 {
		t.Error("something is left")
	}
}

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
