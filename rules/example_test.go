package rules_test

import (
	"fmt"

	"spantack/rules"
)

// A router is told its servers, takes a request, and says where it goes and where a miss is filled from.
func Example() {
	router, err := rules.NewEngine(rules.Settings{
		Classes: []rules.Class{{Name: "page", Deadline: 3_000_000, LatencyObjective: 300_000, PriorityWeight: 1,
			Idempotency: "read_like", DeduplicationScope: "all"}},
		Hierarchy:   rules.CacheHierarchy{OriginKind: 2, ParentKind: 1, FreshnessLifetime: []int64{0}},
		Kinds:       []string{"box", "hub", "origin"},
		Permissions: rules.Permissions{MaxAttempts: 3},
		Zone:        "east",
		Zones:       []string{"east", "hub"},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	router.Step(1_000_000, []rules.Event{{Kind: rules.EventEndpoints, UpdateMode: "restored", Endpoints: []rules.Endpoint{
		{Server: "box-1", Zone: "east", Kind: "box", Status: "healthy"},
		{Server: "hub-1", Zone: "hub", Kind: "hub", Status: "healthy"},
		{Server: "store", Zone: "hub", Kind: "origin", Status: "healthy"},
	}}})
	for _, a := range router.Step(1_002_000, []rules.Event{
		{Kind: rules.EventRequest, RequestID: "r1", Class: "page", Object: "front", Timeout: 2_000_000},
	}) {
		if a.Kind == rules.ActionSend {
			fmt.Println(a.RequestID, "at", a.Server, "filled from", a.Source)
		}
	}
	// Output: r1 at box-1 filled from hub-1
}
