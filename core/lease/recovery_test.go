package lease

import (
	"math"
	"testing"
)

// testTopology has 64 routers in regions of 16 and sites of 4.
var testTopology = Topology{Routers: 64, GroupSizes: []int{4, 16}, Electors: []int{1, 18, 35, 52, 61}}

// Guards against a pool that stays unused after a start or after the loss of a holder. One holder of each level is
// lost, from the smallest groups to the fleet, with 10% message loss. The pool must be leased again RecoveryTime after
// each loss.
func TestPoolRecoversAfterHolderLoss(t *testing.T) {
	limit := Limit{Max: 128, FloorFraction: 0.25}
	for seed := range uint64(6) {
		w := newWorld(t, seed, testTopology, limit)
		w.loss = 0.1
		w.run(w.now+RecoveryTime, nil)
		if sum := w.meanQuotas(nil); sum < 0.9*limit.Max {
			t.Fatalf("seed %d: mean sum of quotas %.1f, want at least 90%% of %v with all routers running", seed, sum, limit.Max)
		}
		for level := 1; level <= testTopology.fleetLevel(); level++ {
			holders := w.holders(level)
			if len(holders) == 0 {
				t.Fatalf("seed %d: no group of level %d has a holder", seed, level)
			}
			w.kill(holders[0])
			w.run(w.now+RecoveryTime, nil)
			if sum := w.meanQuotas(nil); sum < 0.85*limit.Max {
				t.Errorf("seed %d: mean sum of quotas %.1f, want at least 85%% of %v %d s after the loss of a holder of level %d",
					seed, sum, limit.Max, RecoveryTime/second, level)
			}
			w.start(holders[0])
		}
	}
}

// Guards against leases that stay valid in an isolated region, and against a pool that is not usable in the majority
// partition. Two of four regions are isolated from all others for RecoveryTime plus 70 s. The partition with three of
// the five electors must have the pool. The isolated regions must have only their floors once their leases have
// expired. After the partitions have healed, all routers must have the pool again.
func TestIsolatedRegionsKeepOnlyFloors(t *testing.T) {
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
		if sum := w.quotas(isCutOff); math.Abs(sum-floors/2) > 1e-6 {
			t.Errorf("seed %d: quotas of %.1f in the isolated regions, want their floors, %.1f", seed, sum, floors/2)
		}
		sum := w.meanQuotas(func(rank int) bool { return !isCutOff(rank) })
		if sum < 0.9*(limit.Max-floors)+floors/2 {
			t.Errorf("seed %d: quotas of %.1f with three of five electors, want floors and 90%% of the pool", seed, sum)
		}
		w.run(w.now+second*60, nil)
		clear(w.partition)
		w.run(w.now+RecoveryTime, nil)
		if sum := w.meanQuotas(nil); sum < 0.9*limit.Max {
			t.Errorf("seed %d: mean sum of quotas %.1f, want at least 90%% of %v after the partitions have healed",
				seed, sum, limit.Max)
		}
	}
}

// Guards against a pool that stays unused when 70% of the routers restart at once and eight routers join at ranks that
// were unused until then. The other routers do not restart.
func TestPoolRecoversAfterMassRestartAndJoin(t *testing.T) {
	limit := Limit{Max: 128, FloorFraction: 0.25}
	w := newWorld(t, 5, testTopology, limit)
	for rank := 56; rank < 64; rank++ { // two sites that join later
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
	if sum := w.meanQuotas(nil); sum < 0.9*limit.Max {
		t.Errorf("mean sum of quotas %.1f, want at least 90%% of %v", sum, limit.Max)
	}
	if sum := w.quotas(func(rank int) bool { return rank >= 56 }); sum < 8 {
		t.Errorf("quotas of %.1f at the 8 routers that joined, want at least 8", sum)
	}
}

// Guards against shares that ignore demand. Max-min fairness must apply at all levels, so that the unused shares of
// idle routers go to busy ones.
func TestBusyRoutersGetUnusedShares(t *testing.T) {
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
	if sum := w.meanQuotas(isBusy); sum < 0.5*limit.Max {
		t.Errorf("mean sum of quotas %.1f, want at least half of %v at the two busy routers", sum, limit.Max)
	}
}

// Guards against a message rate of a router that grows with the size of the fleet. A router exchanges messages only
// with the holders of its groups and with its lessees. Its rate may therefore grow by at most 60% in a fleet of eight
// times the size. The larger fleet has one more level, and one router may hold a group of each level.
func TestMessageRateDoesNotGrowWithFleetSize(t *testing.T) {
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
	if large > 1.6*small {
		t.Errorf("greatest rate of one router: %.0f messages/s in a fleet of 512, want at most 1.6 times the %.0f of 64",
			large, small)
	}
}
