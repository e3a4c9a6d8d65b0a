package cells

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"spantack/routing"
)

// An Admission without an assignment must return exactly the actions of its engine. This must also hold after an
// assignment was removed.
func TestActionsWithoutAssignmentEqualEngine(t *testing.T) {
	engine, err := routing.NewEngine(testSettings(), 9)
	if err != nil {
		t.Fatal(err)
	}
	admission, err := NewAdmission(testSettings(), 9)
	if err != nil {
		t.Fatal(err)
	}
	admission.SetAssignment(0, mustCompile(t, twoCells()))
	admission.SetAssignment(0, nil)
	if !slices.Equal(actionsOfRandomRun(engine.Step), actionsOfRandomRun(admission.Step)) {
		t.Error("actions of the Admission differ from those of the engine")
	}
	if admission.Status(0) != nil || admission.AssignmentVersion() != 0 {
		t.Error("status or version of an assignment that was removed")
	}
}

// actionsOfRandomRun sends requests with random outcomes and returns the actions of each step.
func actionsOfRandomRun(step func(int64, []routing.Event) []routing.Action) (log []string) {
	rng := rand.New(rand.NewPCG(3, 3))
	now := sec
	step(now, []routing.Event{{
		Kind:       routing.EventEndpoints,
		UpdateMode: "replace",
		Endpoints:  endpointsWith(cacheNames(6)...),
	}})
	outcomes := []routing.AttemptOutcome{
		routing.OutcomeServed, routing.OutcomeServed, routing.OutcomeError, routing.OutcomeRejected,
	}
	for i := range 2000 {
		now += int64(rng.IntN(5000))
		id := fmt.Sprint(i)
		actions := step(now, []routing.Event{{
			Kind:      routing.EventRequest,
			RequestID: id,
			Class:     "page",
			Object:    fmt.Sprint(rng.IntN(50)),
			SizeKB:    40,
			Timeout:   sec,
		}})
		log = append(log, fmt.Sprintf("%+v", actions))
		for _, action := range actions {
			if action.Kind != routing.ActionSend || rng.IntN(10) == 0 {
				continue
			}
			outcome := outcomes[rng.IntN(4)]
			next := step(now+50*msec, []routing.Event{{
				Kind:         routing.EventOutcome,
				RequestID:    id,
				Server:       action.Server,
				Outcome:      outcome,
				CacheStatus:  routing.CacheHit,
				ResponseTime: 50 * msec,
				IsFinal:      outcome == routing.OutcomeServed,
			}})
			log = append(log, fmt.Sprintf("%+v", next))
		}
	}
	return log
}

// Settings change while requests are open. After the requests end, the counts of open requests must be zero. The engine
// must fail requests of a class that was removed.
func TestUpdateSettingsKeepsOpenRequestCounts(t *testing.T) {
	video := routing.Class{
		Name:               "video",
		Deadline:           6_000_000,
		LatencyObjective:   600_000,
		PriorityWeight:     2,
		Idempotency:        "read_like",
		DeduplicationScope: "all",
	}
	price := routing.Class{
		Name:               "price",
		Deadline:           3_000_000,
		LatencyObjective:   400_000,
		PriorityWeight:     1,
		Idempotency:        "read_like",
		DeduplicationScope: "all",
	}
	settings := routing.Settings{
		Classes: []routing.Class{video, price},
		Hierarchy: routing.CacheHierarchy{
			OriginKind:           1,
			ParentKind:           -1,
			Uncacheable:          []bool{false, true},
			CacheStatusReporting: "all",
			ResponseKBPerSecond:  2000,
			AllowsDirectFetch:    true,
		},
		Kinds:       []string{"box", "origin"},
		Permissions: routing.Permissions{MayCancel: true, MaxAttempts: 8, MaxRetryAfter: 1_000_000},
		Zone:        "east",
		Zones:       []string{"east"},
	}
	admission, err := NewAdmission(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	endpoints := []routing.Endpoint{{Server: "o", Zone: "east", Kind: "origin", Status: "healthy", Weight: 4}}
	for _, name := range []string{"a", "b", "c", "d"} {
		cache := routing.Endpoint{Server: name, Zone: "east", Kind: "box", Status: "healthy", Weight: 4}
		endpoints = append(endpoints, cache)
	}
	replaceEndpoints(admission, 0, endpoints)
	admission.SetAssignment(0, mustCompile(t, &Spec{
		Version:    1,
		Scheme:     SchemeFixed,
		Cells:      []Cell{{Name: "one", Share: 0.5}, {Name: "two", Share: 0.5}},
		Tenants:    []Tenant{{Name: "heavy", Cell: "one"}, {Name: "rest", Cell: "two"}},
		TenantKeys: []TenantKey{{PurgeGroupRange: []int{0, 0}, Tenant: "heavy"}, {Tenant: "rest"}},
		Budget:     Budget{RequestsPerSecond: 3000, MaxOpenRequests: 200},
	}))
	request := func(id, class string) []routing.Action {
		return admission.step(1000, routing.Event{
			Kind:       routing.EventRequest,
			RequestID:  id,
			Class:      class,
			Object:     "x",
			PurgeGroup: 0,
			SizeKB:     10,
			Timeout:    3_000_000,
		})
	}
	first := request("r1", "video")
	if len(first) == 0 || first[0].Kind != routing.ActionSend {
		t.Fatalf("first request: got %+v, want it sent", first)
	}

	next := settings
	next.Classes = []routing.Class{price}
	next.Hierarchy.Uncacheable = nil
	if err := admission.UpdateSettings(2000, next); err != nil {
		t.Fatal(err)
	}
	if admission.classes["price"].isUncacheable {
		t.Error("class price is still uncacheable, the new settings make it cacheable")
	}
	if err := admission.UpdateSettings(2000, routing.Settings{}); err == nil {
		t.Error("settings without classes were accepted")
	}
	if actions := request("r2", "price"); len(actions) == 0 || actions[0].Kind != routing.ActionSend {
		t.Errorf("request of a class of the new settings: got %+v, want it sent", actions)
	}
	if actions := request("r3", "video"); len(actions) != 1 || actions[0].Kind != routing.ActionFail {
		t.Errorf("request of a class that was removed: got %+v, want it failed", actions)
	}

	admission.step(3000, routing.Event{
		Kind:         routing.EventOutcome,
		RequestID:    "r1",
		Server:       first[0].Server,
		Outcome:      routing.OutcomeServed,
		IsFinal:      true,
		CacheStatus:  routing.CacheHit,
		ResponseTime: 2000,
	})
	admission.Step(3000, []routing.Event{
		{Kind: routing.EventAborted, RequestID: "r2"},
		{Kind: routing.EventAborted, RequestID: "r3"},
	})
	if open, inCell := len(admission.openRequests), admission.state.cells[0].openRequests; open != 0 || inCell != 0 {
		t.Errorf("after all requests ended: %d open requests, %d in their cell", open, inCell)
	}
}
