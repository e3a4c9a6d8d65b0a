package rules_test

import (
	"fmt"

	"spantack/rules"
)

// A router is told its servers, takes a request, and says where it goes and where a miss is filled from.
func Example() {
	router, err := rules.New(rules.Settings{
		Classes: []rules.Class{{Name: "page", Deadline: 3_000_000, Promise: 300_000, Gain: 1,
			Idempotency: "read_like", Group: "all"}},
		Extra:       rules.Extra{MasterKind: 2, ShieldKind: 1, FreshFor: []int64{0}},
		Kinds:       []string{"box", "hub", "origin"},
		Permissions: rules.Permissions{MaxAttempts: 3},
		Zone:        "east",
		Zones:       []string{"east", "hub"},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	router.Step(1_000_000, []rules.Event{{Kind: rules.Members, Mode: "restored", Rows: []rules.Row{
		{Node: "box-1", Zone: "east", Kind: "box", Status: "healthy"},
		{Node: "hub-1", Zone: "hub", Kind: "hub", Status: "healthy"},
		{Node: "store", Zone: "hub", Kind: "origin", Status: "healthy"},
	}}})
	for _, a := range router.Step(1_002_000, []rules.Event{
		{Kind: rules.Request, Call: "r1", Class: "page", Object: "front", ExpiresIn: 2_000_000},
	}) {
		if a.Kind == rules.Get {
			fmt.Println(a.Call, "at", a.Node, "filled from", a.Source)
		}
	}
	// Output: r1 at box-1 filled from hub-1
}
