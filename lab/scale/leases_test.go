package scale

import (
	"slices"
	"testing"

	"spantack/core/fleet"
	"spantack/core/lease"
)

// Guards against a lease tree that overloads a router or leaves the limit unused. All routers request leases of one
// limit, and each has traffic only with its group and its children. The worst router must stay within the budget in a
// small fleet and in one of six times the size, which has another tree level. Most of the limit must be in use before
// and after losses.
func TestLeaseTreeStaysWithinBudget(t *testing.T) {
	for _, routers := range []int{200, 1_200} {
		result := run(t, "leases", Options{Routers: routers, Seed: 6})
		if !result.WithinBudget() || result.SimulatedProcesses != routers {
			t.Errorf("over the budget of a router, or not all simulated: %s", result.Line())
		}
		expectMetrics(t, result, map[string]float64{
			"used":                0.95,
			"used_without_holder": 0.75,
			"used_without_region": 0.75,
			"used_after_cut":      0.95,
			"used_after_restarts": 0.95,
		})
	}
}

// Guards against datagram sizes in the leases test that differ from the codec of core/fleet.
func TestLeaseSizes(t *testing.T) {
	const firstTreeOperation = opHealthReport + 1
	topology := lease.Topology{Routers: 4, GroupSizes: []int{2}, Electors: []int{0, 1, 3}}
	var nodes []*fleet.Node
	now := second
	for rank := range 4 {
		node, err := fleet.New(now, fleet.Options{
			Rank:        rank,
			FleetSize:   4,
			Sites:       1,
			Incarnation: 1,
			Seed:        1,
			LeaseTree:   &topology,
			Limits:      []fleet.Limit{{Name: "fills", Max: 40}},
		})
		if err != nil {
			t.Fatal(err)
		}
		node.SetDemand(0, 5)
		nodes = append(nodes, node)
	}
	seen := map[int]bool{}
	for rank, node := range nodes {
		node.Send = func(to int, datagram []byte) {
			if operationOf(datagram) >= firstTreeOperation {
				seen[len(datagram)] = true
			}
			if err := nodes[to].Receive(now, rank, slices.Clone(datagram)); err != nil {
				t.Fatal(err)
			}
		}
	}
	for ; now < 20*second; now += second / 20 {
		for _, node := range nodes {
			node.Tick(now)
		}
	}
	if len(seen) != len(leaseSizes) {
		t.Errorf("datagram sizes seen: %v, want one for each kind in leaseSizes", seen)
	}
	for kind, size := range leaseSizes {
		if !seen[size] {
			t.Errorf("no datagram of kind %d with %d bytes; sizes seen: %v", kind, size, seen)
		}
	}
}
