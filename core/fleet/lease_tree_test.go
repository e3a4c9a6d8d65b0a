package fleet

import (
	"errors"
	"math"
	"testing"

	"spantack/core/lease"
)

// testTree has 24 routers in regions of 12 and sites of 4.
var testTree = lease.Topology{Routers: 24, GroupSizes: []int{4, 12}, Electors: []int{2, 13, 21}}

func newTreeWorld(t testing.TB, seed uint64, limits ...Limit) *world {
	t.Helper()
	w := newWorld(t, seed, testTree.Routers)
	w.options.LeaseTree = &testTree
	w.options.Limits = limits
	for rank := range w.processes {
		w.start(t, rank)
	}
	return w
}

// Guards against exceeded limits and unused pools when lease trees use the datagrams and the membership of this
// package. Two limits must not be exceeded while all sites are isolated, holders die, and 70% of the routers restart.
// At least 80% of each limit must be available to the routers before and after each fault, and only the floors while
// the sites are isolated.
func TestLeaseTreesKeepLimitsUnderFaults(t *testing.T) {
	limits := []Limit{{Name: "fills", Max: 72, FloorFraction: 1.0 / 3}, {Name: "retries", Max: 240}}
	for seed := range uint64(4) {
		w := newTreeWorld(t, seed, limits...)
		w.loss = 0.1
		check := func() {
			for i, limit := range limits {
				if sum := w.quotas(i, nil); sum > limit.Max+1e-6 {
					t.Fatalf("seed %d: quotas of %.2f exceed limit %s of %v at %.3f s",
						seed, sum, limit.Name, limit.Max, float64(w.now)/1e6)
				}
			}
		}
		checkQuotas := func(when string) {
			t.Helper()
			w.run(w.now+lease.RecoveryTime, check)
			for i, limit := range limits {
				if sum := w.meanQuotas(i, nil); sum < 0.8*limit.Max {
					t.Errorf("seed %d, %s: mean sum of quotas %.1f, want at least 80%% of %v, limit %s",
						seed, when, sum, limit.Max, limit.Name)
				}
			}
		}
		checkQuotas("before any fault")
		for rank := range w.partition {
			w.partition[rank] = rank / 4
		}
		w.run(w.now+lease.RecoveryTime, check)
		if sum := w.quotas(0, nil); math.Abs(sum-24) > 1e-6 {
			t.Errorf("seed %d: quotas of %.2f with every site isolated, want the floors, 24", seed, sum)
		}
		clear(w.partition)
		w.run(w.now+20*second, check) // until all routers are considered up again, as in TestMembershipRecoversAfterFaults
		checkQuotas("after the partitions have healed")
		for rank := range w.processes {
			if w.status(rank).IsHolder && w.rng.IntN(2) == 0 {
				w.kill(rank)
				w.run(w.now+second, check)
				w.start(t, rank)
			}
		}
		checkQuotas("after holders died")
		for rank := range w.processes {
			if rank%10 < 7 {
				w.kill(rank)
				w.start(t, rank)
			}
		}
		checkQuotas("after 70% restarted")
	}
}

// Guards against messages of a lease tree that affect a router without a lease tree, and against messages of a single
// holder that affect a router with a lease tree. A fleet has both kinds of routers while LeaseTree is being introduced
// or removed. Each kind must ignore messages about limits from the other.
func TestTreeAndSingleHolderIgnoreEachOther(t *testing.T) {
	limit := Limit{Name: "fills", Max: 24, FloorFraction: 1}
	newNode := func(rank int, tree *lease.Topology) *Node {
		n, err := New(0, Options{
			Rank: rank, FleetSize: 24, Sites: 4, Incarnation: 1, Limits: []Limit{limit}, LeaseTree: tree,
		})
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	withoutTree, withTree := newNode(0, nil), newNode(1, &testTree)
	sent := 0
	exchange := func(from, to *Node) {
		from.Send = func(rank int, datagram []byte) {
			sent++
			if err := to.Receive(second, from.options.Rank, datagram); err != nil && !errors.Is(err, ErrStale) {
				t.Errorf("%v: %x", err, datagram)
			}
		}
		for now := int64(0); now < 5*second; now += tickInterval {
			from.Tick(now)
		}
		from.Send = func(int, []byte) {}
	}
	exchange(withTree, withoutTree)
	exchange(withoutTree, withTree)
	if a, b := withoutTree.Quota(6*second, 0), withTree.Quota(6*second, 0); a != 1 || b != 1 || sent == 0 {
		t.Errorf("quotas %v and %v, want the floors of 1; %d datagrams", a, b, sent)
	}
}

// Guards against membership updates in the datagrams of a tree. These datagrams must be short, because a holder sends
// many of them.
func TestTreeDatagramsHaveNoUpdates(t *testing.T) {
	w := newTreeWorld(t, 9, Limit{Name: "fills", Max: 72})
	longest := 0
	for _, p := range w.processes {
		send := p.node.Send
		p.node.Send = func(to int, datagram []byte) {
			if messageKind(datagram[headerSize-1]).isTreeMessage() {
				longest = max(longest, len(datagram))
			}
			send(to, datagram)
		}
	}
	w.run(w.now+5*second, nil)
	if want := headerSize + treeGrantMessage.bodySize(); longest != want {
		t.Errorf("longest datagram has %d bytes, want %d", longest, want)
	}
}

func TestInvalidTree(t *testing.T) {
	for want, options := range map[string]Options{
		"lease tree: electors: 2, an odd number up to 15 is required": {
			LeaseTree: &lease.Topology{Routers: 24, Electors: []int{0, 1}},
		},
		"lease tree: routers: 4 is not above the rank of this router, 5": {
			Rank: 5, LeaseTree: &lease.Topology{Routers: 4, Electors: []int{0}},
		},
	} {
		t.Run(want, func(t *testing.T) {
			options.FleetSize = 24
			options.Sites = 1
			options.Limits = []Limit{{Name: "a", Max: 1}}
			_, err := New(0, options)
			if !errors.Is(err, ErrInvalidOptions) || err.Error() != "invalid options: "+want {
				t.Errorf("%v, want %s", err, want)
			}
		})
	}
}
