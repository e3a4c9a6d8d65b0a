package fleet_test

import (
	"fmt"

	"spantack/core/fleet"
)

// network delivers datagrams between routers in virtual time, without delay and in order.
type network struct {
	nodes    []*fleet.Node // by rank
	inFlight []delivery
}

type delivery struct {
	from, to int
	datagram []byte
}

// newNetwork starts a number of routers. Even ranks belong to one site and odd ranks to another.
func newNetwork(routers int, limits ...fleet.Limit) (*network, error) {
	w := &network{}
	for rank := range routers {
		node, err := fleet.New(0, fleet.Options{
			Rank:        rank,
			FleetSize:   routers,
			Site:        rank % 2,
			Sites:       2,
			Incarnation: 1,
			Limits:      limits,
		})
		if err != nil {
			return nil, err
		}
		node.Send = func(to int, datagram []byte) { w.send(rank, to, datagram) }
		w.nodes = append(w.nodes, node)
	}
	return w, nil
}

// send queues a copy of a datagram, because the sender reuses the bytes.
func (w *network) send(from, to int, datagram []byte) {
	if to != fleet.Broadcast {
		w.inFlight = append(w.inFlight, delivery{from, to, append([]byte(nil), datagram...)})
		return
	}
	for rank := range w.nodes {
		if rank != from {
			w.send(from, rank, datagram)
		}
	}
}

// run advances the time by duration (us) in steps of 50 ms and returns the time at the end. Only routers for which isUp
// returns true run.
func (w *network) run(now, duration int64, isUp func(rank int) bool) int64 {
	const step = 50_000 // us
	for end := now + duration; now < end; now += step {
		for rank, node := range w.nodes {
			if isUp(rank) {
				node.Tick(now)
			}
		}
		for len(w.inFlight) > 0 {
			d := w.inFlight[0]
			w.inFlight = w.inFlight[1:]
			if !isUp(d.to) {
				continue
			}
			if err := w.nodes[d.to].Receive(now, d.from, d.datagram); err != nil {
				fmt.Println(err)
			}
		}
	}
	return now
}

func all(int) bool { return true }

// Four routers share a limit of 40 requests to an origin. Each has a floor of 2. The rest is leased from the router
// that they elect.
func Example() {
	w, err := newNetwork(4, fleet.Limit{Name: "requests to the origin", Max: 40, FloorFraction: 0.2})
	if err != nil {
		fmt.Println(err)
		return
	}
	const limit = 0
	for _, node := range w.nodes {
		node.SetDemand(limit, 100)
	}
	fmt.Println("floor:", w.nodes[0].Quota(0, limit))

	now := w.run(0, fleet.RecoveryTime, all)
	fmt.Println("with a lease:", w.nodes[0].Quota(now, limit))

	acquired := 0
	for w.nodes[0].TryAcquire(now, limit) {
		acquired++
	}
	fmt.Println("acquired:", acquired)
	w.nodes[0].Release(limit)
	fmt.Println("in use:", w.nodes[0].LimitStatuses(now)[limit].InUse)
	// Output:
	// floor: 2
	// with a lease: 10
	// acquired: 10
	// in use: 9
}

// A router that dies is suspected by the routers that probe it. It is declared dead because it does not refute the
// suspicion.
func ExampleNode_IsUp() {
	w, err := newNetwork(6)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := w.run(0, 5_000_000, all)
	fmt.Println(w.nodes[0].LiveCount(), "are up")

	const dead = 5
	w.run(now, 15_000_000, func(rank int) bool { return rank != dead })
	fmt.Println(w.nodes[0].LiveCount(), "are up, router 5:", w.nodes[0].IsUp(dead))
	// Output:
	// 6 are up
	// 5 are up, router 5: false
}

// Routers of two sites report a failing server. All routers eject the server, including those that have sent it no
// request.
func ExampleNode_Ejected() {
	w, err := newNetwork(4)
	if err != nil {
		fmt.Println(err)
		return
	}
	servers := []uint32{0xa1, 0xa2, 0xa3}
	now := int64(0)
	for range 10 {
		w.nodes[0].ReportCondition(now, 0xa2, fleet.Failing) // a router of one site
		w.nodes[1].ReportCondition(now, 0xa2, fleet.Failing) // a router of the other site
		now = w.run(now, 200_000, all)
	}
	fmt.Printf("%#x\n", w.nodes[3].Ejected(now, fleet.Failing, servers))
	// Output: [0xa2]
}

func ExampleNode_Quota() {
	n, err := fleet.New(0, fleet.Options{
		FleetSize:   4,
		Sites:       1,
		Incarnation: 1,
		Limits:      []fleet.Limit{{Name: "requests to the origin", Max: 40, FloorFraction: 0.2}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(n.Quota(0, 0), "without a lease")
	// Output: 2 without a lease
}
