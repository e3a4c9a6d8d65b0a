package lease_test

import (
	"fmt"

	"spantack/core/lease"
)

// Four routers share a limit of 40 requests to an origin. Each has a floor of 2. The rest is leased from the router
// that the electors elect. Time advances in steps of 50 ms, and messages are delivered without delay.
func Example() {
	const routers = 4
	topology := lease.Topology{Routers: routers, Electors: []int{0, 1, 2}}
	limit := lease.Limit{Max: 40, FloorFraction: 0.2}

	type delivery struct {
		from, to int
		message  lease.Message
	}
	var nodes []*lease.Node
	var inFlight []delivery
	for rank := range routers {
		node, err := lease.New(0, lease.Options{Rank: rank, Incarnation: 1, Topology: topology, Limit: limit})
		if err != nil {
			fmt.Println(err)
			return
		}
		node.Send = func(to int, m lease.Message) { inFlight = append(inFlight, delivery{rank, to, m}) }
		node.SetDemand(100)
		nodes = append(nodes, node)
	}
	quotas := func(now int64) (all []float64) {
		for _, node := range nodes {
			all = append(all, node.Quota(now))
		}
		return all
	}
	fmt.Println("at the start:", quotas(0))

	const step = 50_000 // us
	now := int64(0)
	for ; now < lease.RecoveryTime; now += step {
		for _, node := range nodes {
			node.Tick(now)
		}
		for len(inFlight) > 0 {
			d := inFlight[0]
			inFlight = inFlight[1:]
			nodes[d.to].Receive(now, d.from, d.message)
		}
	}
	fmt.Println("with leases:", quotas(now))

	acquired := 0
	for nodes[3].TryAcquire(now) {
		acquired++
	}
	fmt.Println("router 3 acquires", acquired)
	// Output:
	// at the start: [2 2 2 2]
	// with leases: [10 10 10 10]
	// router 3 acquires 10
}
