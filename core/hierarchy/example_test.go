package hierarchy_test

import (
	"fmt"

	"spantack/core/hierarchy"
)

// A site fills from two groups of parent caches. When one group is lost, the other group serves as many fills as the
// link to it has capacity for. The site rejects the rest.
func Example() {
	graph, err := hierarchy.Compile(&hierarchy.Topology{
		Version: 1,
		Origin:  hierarchy.Origin{Name: "origin", CapacityKBPerS: 5000},
		ParentGroups: []hierarchy.ParentGroup{
			{Name: "north", ServerPrefixes: []string{"n-"}},
			{Name: "south", ServerPrefixes: []string{"s-"}},
		},
		Sites: []hierarchy.Site{{Name: "edge", PeakFillKBPerS: 1000}},
		Links: []hierarchy.Link{
			{From: "edge", To: "north", CapacityKBPerS: 2000, RTTMillis: 9},
			{From: "edge", To: "south", CapacityKBPerS: 600, RTTMillis: 30},
			{From: "north", To: "origin", CapacityKBPerS: 3000, RTTMillis: 20},
			{From: "south", To: "origin", CapacityKBPerS: 3000, RTTMillis: 20},
		},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	status := map[string]hierarchy.GroupStatus{
		"north": {CapacityKBPerS: 3000, WarmFraction: 1},
		"south": {CapacityKBPerS: 3000, WarmFraction: 1},
	}
	for _, lost := range []string{"", "north"} {
		delete(status, lost)
		plan, err := graph.PlanFills(status)
		if err != nil {
			fmt.Println(err)
			return
		}
		route := plan.Route("edge")
		for target, fraction := range route.Fractions() {
			fmt.Printf("%s %.0f%%, ", graph.TargetName(target), 100*fraction)
		}
		fmt.Printf("rejected %.0f%%\n", 100*route.RejectedFraction)
	}
	// Output:
	// north 50%, south 50%, origin 0%, rejected 0%
	// north 0%, south 60%, origin 0%, rejected 40%
}

// A topology in which two groups fill from each other is rejected as a whole, and the error names the cycle.
func ExampleCycle() {
	_, err := hierarchy.Compile(&hierarchy.Topology{
		Version: 1,
		Origin:  hierarchy.Origin{Name: "origin", CapacityKBPerS: 5000},
		ParentGroups: []hierarchy.ParentGroup{
			{Name: "north", ServerPrefixes: []string{"n-"}},
			{Name: "south", ServerPrefixes: []string{"s-"}},
		},
		Links: []hierarchy.Link{
			{From: "north", To: "south", CapacityKBPerS: 100},
			{From: "south", To: "north", CapacityKBPerS: 100},
		},
	})
	fmt.Println(hierarchy.Cycle(err))
	// Output: [south north south]
}
