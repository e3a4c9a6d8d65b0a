package gossip

import (
	"errors"
	"math/rand/v2"
	"testing"
)

// simulatedFleet is a fleet of 300 routers at 50 sites in virtual time. Some of the routers find one server overloaded.
// 30% of all datagrams are lost. The others arrive after 1 to 23 ms.
type simulatedFleet struct {
	rng           *rand.Rand
	isPartitioned bool // whether the fleet is split into two halves that exchange no datagrams
	nodes         []*Node
	notifiedAt    []int64 // by rank: time in us when the router learned from others of the overload; 0: not yet
	inFlight      []delivery
	sent          int // number of datagrams sent
}

type delivery struct {
	at       int64
	to, from int
	datagram []byte
}

func newSimulatedFleet(t *testing.T, seed uint64, isPartitioned bool) *simulatedFleet {
	f := &simulatedFleet{rng: rand.New(rand.NewPCG(seed, 1)), isPartitioned: isPartitioned, notifiedAt: make([]int64, 300)}
	for rank := range f.notifiedAt {
		f.nodes = append(f.nodes, newTestNode(t, rank, rank/6))
	}
	return f
}

// deliver delivers the datagrams that have arrived by now.
func (f *simulatedFleet) deliver(t *testing.T, now int64) {
	var remaining []delivery
	for _, d := range f.inFlight {
		if d.at > now {
			remaining = append(remaining, d)
			continue
		}
		err := f.nodes[d.to].Receive(now, d.from, d.datagram, func(string) {
			if f.notifiedAt[d.to] == 0 {
				f.notifiedAt[d.to] = now
			}
		})
		if err != nil && !errors.Is(err, ErrStale) {
			t.Fatal(err)
		}
	}
	f.inFlight = remaining
}

// reportOverload reports the server as overloaded at a router, and sends the datagram that the router returns, if any.
func (f *simulatedFleet) reportOverload(now int64, from int) {
	datagram := f.nodes[from].ReportOverload(now, testServer)
	if datagram == nil {
		return
	}
	f.sent++
	for to := range f.nodes {
		if to == from || f.rng.IntN(10) < 3 {
			continue
		}
		if f.isPartitioned && (to < 150) != (from < 150) {
			continue
		}
		f.inFlight = append(f.inFlight, delivery{now + 1400 + f.rng.Int64N(21_600), to, from, datagram})
	}
}

// Guards against overload reports that reach too few routers or cost too many datagrams. About 100 times in half a
// second, a random one of 300 routers finds the server overloaded. Within this time 99% of the routers must be
// notified, with at most 60 datagrams. This must also hold while the fleet is partitioned into two halves.
func TestOverloadReachesFleetWithinDatagramBudget(t *testing.T) {
	for _, isPartitioned := range []bool{false, true} {
		for seed := range uint64(5) {
			f := newSimulatedFleet(t, seed, isPartitioned)
			const start = int64(10 * second)
			for now := start; now < start+500*millisecond; now += millisecond {
				f.deliver(t, now)
				for range 2 { // up to two reports per ms, as when a parent cache is overloaded
					if f.rng.IntN(10) == 0 {
						f.reportOverload(now, f.rng.IntN(300))
					}
				}
			}
			missed := 0
			for _, at := range f.notifiedAt {
				if at == 0 {
					missed++
				}
			}
			if missed > 3 || f.sent > 60 || f.sent < 3 {
				t.Errorf("partitioned %v, seed %d: %d of 300 not notified, %d datagrams",
					isPartitioned, seed, missed, f.sent)
			}
		}
	}
}
