package fleet

import (
	"errors"
	"math"
	"testing"

	"spantack/core/lease"
)

// testTree is 24 routers in regions of 12 and sites of 4.
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

// Leases of a tree pass through the real datagrams and membership: no limit is passed while sites are cut off,
// holders die and seven in ten restart; the pools are in use before and again afterwards, also of a second limit,
// and floors meanwhile.
func TestTreeThroughDatagrams(t *testing.T) {
	limits := []Limit{{Name: "fills", Max: 72, FloorFraction: 1.0 / 3}, {Name: "retries", Max: 240}}
	for seed := range uint64(4) {
		w := newTreeWorld(t, seed, limits...)
		w.loss = 0.1
		check := func() {
			for i, limit := range limits {
				if sum := w.quotas(i, nil); sum > limit.Max+1e-6 {
					t.Fatalf("seed %d: quotas of %.2f pass %s of %v at %.3f s",
						seed, sum, limit.Name, limit.Max, float64(w.now)/1e6)
				}
			}
		}
		wantInUse := func(when string) {
			t.Helper()
			w.run(w.now+lease.RecoveryTime, check)
			for i, limit := range limits {
				if sum := w.meanQuotas(i, nil); sum < 0.8*limit.Max {
					t.Errorf("seed %d, %s: %.1f of %v in use of %s", seed, when, sum, limit.Max, limit.Name)
				}
			}
		}
		wantInUse("complete")
		for rank := range w.partition {
			w.partition[rank] = rank / 4
		}
		w.run(w.now+lease.RecoveryTime, check)
		if sum := w.quotas(0, nil); math.Abs(sum-24) > 1e-6 {
			t.Errorf("seed %d: %.2f in use with every site cut off, floors are 24", seed, sum)
		}
		clear(w.partition)
		w.run(w.now+20*second, check) // until all are taken for up again, as in TestWhoIsUpAfterFaults
		wantInUse("healed")
		for rank := range w.processes {
			if w.status(rank).IsHolder && w.rng.IntN(2) == 0 {
				w.kill(rank)
				w.run(w.now+second, check)
				w.start(t, rank)
			}
		}
		wantInUse("after holders died")
		for rank := range w.processes {
			if rank%10 < 7 {
				w.kill(rank)
				w.start(t, rank)
			}
		}
		wantInUse("after seven in ten restarted")
	}
}

// A router that keeps its limits in no tree passes messages of one over, and one that has a tree those of a single
// holder: both may be in one fleet.
func TestTreeAndSingleHolderIgnoreOneAnother(t *testing.T) {
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
		t.Errorf("quotas %v and %v of floors of 1, %d datagrams", a, b, sent)
	}
}

// Its datagrams carry no membership updates: a holder sends many.
func TestTreeDatagramsAreShort(t *testing.T) {
	w := newTreeWorld(t, 9, Limit{Name: "fills", Max: 72})
	longest := 0
	for _, p := range w.processes {
		send := p.node.Send
		p.node.Send = func(to int, datagram []byte) {
			if messageKind(datagram[headerSize-1]).isOfTree() {
				longest = max(longest, len(datagram))
			}
			send(to, datagram)
		}
	}
	w.run(w.now+5*second, nil)
	if want := headerSize + treeGrantMessage.bodySize(); longest != want {
		t.Errorf("%d bytes at the most, want %d", longest, want)
	}
}

func TestInvalidTree(t *testing.T) {
	for want, options := range map[string]Options{
		"lease tree: electors: 2, an odd number up to 15 is required": {
			LeaseTree: &lease.Topology{Routers: 24, Electors: []int{0, 1}},
		},
		"lease tree: routers: 4, and this router has rank 5": {
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
