package fleet

import (
	"errors"
	"testing"

	"spantack/core/lease"
)

// fleetTree is 24 routers in regions of 12 and sites of 4.
var fleetTree = lease.Topology{Routers: 24, GroupSizes: []int{4, 12}, Electors: []int{2, 13, 21}}

func newTreeWorld(t testing.TB, seed uint64, limits ...Limit) *world {
	t.Helper()
	w := newWorld(t, seed, fleetTree.Routers)
	w.opt.LeaseTree, w.opt.Limits = &fleetTree, limits
	for rank := range w.procs {
		w.start(t, rank)
	}
	return w
}

// Leases of a tree pass through the real datagrams and membership: the limit is never passed while sites are cut off, holders die and seven in ten restart, the
// pool is in use before and again afterwards, also of a second limit, and floors meanwhile.
func TestTreeThroughDatagrams(t *testing.T) {
	limits := []Limit{{Name: "fills", Max: 72, FloorFraction: 1.0 / 3}, {Name: "retries", Max: 240}}
	for seed := range uint64(4) {
		w := newTreeWorld(t, seed, limits...)
		w.loss = 0.1
		look := func() {
			for i, limit := range limits {
				if sum := w.shares(i, nil); sum > limit.Max+1e-6 {
					t.Fatalf("seed %d: shares of %.2f pass %s of %v at %.3f s", seed, sum, limit.Name, limit.Max, float64(w.now)/1e6)
				}
			}
		}
		inUse := func(when string) {
			t.Helper()
			w.run(w.now+lease.RecoveryTime, look)
			for i, limit := range limits {
				if sum := w.mean(i, nil); sum < 0.8*limit.Max {
					t.Errorf("seed %d, %s: %.1f of %v in use of %s", seed, when, sum, limit.Max, limit.Name)
				}
			}
		}
		inUse("whole")
		for rank := range w.group {
			w.group[rank] = rank / 4
		}
		w.run(w.now+lease.RecoveryTime, look)
		if sum := w.shares(0, nil); sum > 24+1e-6 || sum < 24-1e-6 {
			t.Errorf("seed %d: %.2f in use with every site cut off, floors are 24", seed, sum)
		}
		clear(w.group)
		w.run(w.now+20*second, look) // until all are taken for up again, as TestWhoIsUpAfterTrouble has it
		inUse("healed")
		for rank := range w.procs {
			if h := w.procs[rank].node.LimitStatuses(w.local(rank))[0]; h.Holds && w.rng.IntN(2) == 0 {
				w.kill(rank)
				w.run(w.now+second, look)
				w.start(t, rank)
			}
		}
		inUse("after holders died")
		for rank := range w.procs {
			if rank%10 < 7 {
				w.kill(rank)
				w.start(t, rank)
			}
		}
		inUse("after seven in ten restarted")
	}
}

// A router that keeps its limits in no tree passes messages of one over, and one that has a tree those of a single holder: old and new in one fleet.
func TestTreeAndSingleHolderIgnoreOneAnother(t *testing.T) {
	limit := Limit{Name: "fills", Max: 24, FloorFraction: 1}
	flat, err := New(0, Options{Rank: 0, FleetSize: 24, Sites: 4, Incarnation: 1, Limits: []Limit{limit}})
	if err != nil {
		t.Fatal(err)
	}
	inTree, err := New(0, Options{Rank: 1, FleetSize: 24, Sites: 4, Incarnation: 1, Limits: []Limit{limit}, LeaseTree: &fleetTree})
	if err != nil {
		t.Fatal(err)
	}
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
	exchange(inTree, flat)
	exchange(flat, inTree)
	if a, b := flat.Quota(6*second, 0), inTree.Quota(6*second, 0); a != 1 || b != 1 || sent == 0 {
		t.Errorf("shares %v and %v of floors of 1, %d datagrams", a, b, sent)
	}
}

// Its datagrams carry no membership updates: a holder sends many.
func TestTreeDatagramsAreShort(t *testing.T) {
	w := newTreeWorld(t, 9, Limit{Name: "fills", Max: 72})
	longest := 0
	for _, p := range w.procs {
		send := p.node.Send
		p.node.Send = func(to int, datagram []byte) {
			if messageKind(datagram[headerSize]) >= treeRequestMessage {
				longest = max(longest, len(datagram))
			}
			send(to, datagram)
		}
	}
	w.run(w.now+5*second, nil)
	if want := headerSize + 1 + bodySizes[treeGrantMessage]; longest != want {
		t.Errorf("%d bytes at the most, want %d", longest, want)
	}
}

func TestTreeOptions(t *testing.T) {
	bad := lease.Topology{Routers: 24, Electors: []int{0, 1}}
	if _, err := New(0, Options{FleetSize: 24, Sites: 1, Limits: []Limit{{Name: "a", Max: 1}}, LeaseTree: &bad}); err == nil || err.Error() != "Tree.invalid options: electors: 2, an odd number up to 15 is wanted" {
		t.Error(err)
	}
}
