package routing_test

import (
	"fmt"

	"spantack/routing"
)

// A router is told its servers, takes a request, and says where it goes and where a miss is filled from.
func Example() {
	router, err := routing.NewEngine(routing.Settings{
		Classes: []routing.Class{{Name: "page", Deadline: 3_000_000, LatencyObjective: 300_000, PriorityWeight: 1,
			Idempotency: "read_like", DeduplicationScope: "all"}},
		Hierarchy:   routing.CacheHierarchy{OriginKind: 2, ParentKind: 1, FreshnessLifetime: []int64{0}},
		Kinds:       []string{"box", "hub", "origin"},
		Permissions: routing.Permissions{MaxAttempts: 3},
		Zone:        "east",
		Zones:       []string{"east", "hub"},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	router.Step(1_000_000, []routing.Event{{Kind: routing.EventEndpoints, UpdateMode: "restored", Endpoints: []routing.Endpoint{
		{Server: "box-1", Zone: "east", Kind: "box", Status: "healthy"},
		{Server: "hub-1", Zone: "hub", Kind: "hub", Status: "healthy"},
		{Server: "store", Zone: "hub", Kind: "origin", Status: "healthy"},
	}}})
	for _, a := range router.Step(1_002_000, []routing.Event{
		{Kind: routing.EventRequest, RequestID: "r1", Class: "page", Object: "front", Timeout: 2_000_000},
	}) {
		if a.Kind == routing.ActionSend {
			fmt.Println(a.RequestID, "at", a.Server, "filled from", a.Source)
		}
	}
	// Output: r1 at box-1 filled from hub-1
}
