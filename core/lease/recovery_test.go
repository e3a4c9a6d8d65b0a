package lease

import (
	"math"
	"testing"
)

// testTopology is 64 routers in regions of 16 and sites of 4.
var testTopology = Topology{Routers: 64, GroupSizes: []int{4, 16}, Electors: []int{1, 18, 35, 52, 61}}

// The pool is in use RecoveryTime after a start, and again after each holder was lost, one after the other from the
// smallest group's to the fleet's, with one message in ten lost.
func TestPoolIsRecovered(t *testing.T) {
	limit := Limit{Max: 128, FloorFraction: 0.25}
	for seed := range uint64(6) {
		w := newWorld(t, seed, testTopology, limit)
		w.loss = 0.1
		w.run(w.now+RecoveryTime, nil)
		if use := w.meanQuotas(nil); use < 0.9*limit.Max {
			t.Fatalf("seed %d: %.1f of %v in use in a complete fleet", seed, use, limit.Max)
		}
		for level := 1; level <= testTopology.fleetLevel(); level++ {
			holders := w.holders(level)
			if len(holders) == 0 {
				t.Fatalf("seed %d: nobody holds a group of level %d", seed, level)
			}
			w.kill(holders[0])
			w.run(w.now+RecoveryTime, nil)
			if use := w.meanQuotas(nil); use < 0.85*limit.Max {
				t.Errorf("seed %d: %.1f of %v in use %d s after a holder of level %d was lost",
					seed, use, limit.Max, RecoveryTime/second, level)
			}
			w.start(holders[0])
		}
	}
}

// Two of four regions are cut off from the others, and from one another, for a minute: the partition with three of
// the five electors has the pool, the others have their floors once their leases have expired. All have it again
// after the heal.
func TestRegionsCutOff(t *testing.T) {
	limit := Limit{Max: 128, FloorFraction: 0.25}
	floors := limit.Max * limit.FloorFraction
	for seed := range uint64(4) {
		w := newWorld(t, seed, testTopology, limit)
		w.run(w.now+RecoveryTime, nil)
		isCutOff := func(rank int) bool { return rank < 32 }
		for rank := range w.partition {
			if isCutOff(rank) {
				w.partition[rank] = 1 + rank/16
			}
		}
		w.run(w.now+RecoveryTime, nil)
		if use := w.quotas(isCutOff); math.Abs(use-floors/2) > 1e-6 {
			t.Errorf("seed %d: %.1f in use in the regions that are cut off, their floors are %.1f", seed, use, floors/2)
		}
		use := w.meanQuotas(func(rank int) bool { return !isCutOff(rank) })
		if use < 0.9*(limit.Max-floors)+floors/2 {
			t.Errorf("seed %d: %.1f in use in the partition with the electors", seed, use)
		}
		w.run(w.now+second*60, nil)
		clear(w.partition)
		w.run(w.now+RecoveryTime, nil)
		if use := w.meanQuotas(nil); use < 0.9*limit.Max {
			t.Errorf("seed %d: %.1f of %v in use after the heal", seed, use, limit.Max)
		}
	}
}

// Seven in ten routers restart at once, and others join that were never there: nobody else restarts, and the pool
// is in use again.
func TestRestartsAndNewcomers(t *testing.T) {
	limit := Limit{Max: 128, FloorFraction: 0.25}
	w := newWorld(t, 5, testTopology, limit)
	for rank := 56; rank < 64; rank++ { // two sites that are to come
		w.kill(rank)
	}
	w.run(w.now+RecoveryTime, nil)
	for rank := range 56 {
		if rank%10 < 7 {
			w.kill(rank)
			w.start(rank)
		}
	}
	for rank := 56; rank < 64; rank++ {
		w.start(rank)
	}
	w.run(w.now+RecoveryTime, nil)
	if use := w.meanQuotas(nil); use < 0.9*limit.Max {
		t.Errorf("%.1f of %v in use", use, limit.Max)
	}
	if use := w.quotas(func(rank int) bool { return rank >= 56 }); use < 8 {
		t.Errorf("%.1f in use at the 8 that have joined", use)
	}
}

// A busy router gets what idle ones leave: max-min fairness through all levels.
func TestBusyRoutersGetMore(t *testing.T) {
	limit := Limit{Max: 128}
	w := newWorld(t, 6, testTopology, limit)
	isBusy := func(rank int) bool { return rank == 7 || rank == 40 }
	for rank, p := range w.processes {
		p.node.SetDemand(0.5)
		if isBusy(rank) {
			p.node.SetDemand(1e5)
		}
	}
	w.run(w.now+RecoveryTime, nil)
	if use := w.meanQuotas(isBusy); use < 0.5*limit.Max {
		t.Errorf("%.1f of %v in use at the two that want more", use, limit.Max)
	}
}

// No process exchanges messages with more than its group and its children, at the same rate in a fleet of eight
// times the size.
func TestMessagesDoNotGrowWithTheFleet(t *testing.T) {
	greatestRate := func(topology Topology) float64 { // messages a second
		w := newWorld(t, 7, topology, Limit{Max: 1000})
		w.run(w.now+RecoveryTime, nil)
		for _, p := range w.processes {
			p.traffic = 0
		}
		w.run(w.now+10*second, nil)
		greatest := 0
		for _, p := range w.processes {
			greatest = max(greatest, p.traffic)
		}
		return float64(greatest) / 10
	}
	small := greatestRate(Topology{Routers: 64, GroupSizes: []int{8}, Electors: []int{1, 18, 35}})
	large := greatestRate(Topology{Routers: 512, GroupSizes: []int{8, 64}, Electors: []int{1, 180, 350}})
	if large > 1.6*small { // one level more; a process may hold one group of each
		t.Errorf("%.0f messages a second at the worst of 512 routers, %.0f of 64", large, small)
	}
}
