package fleet

import (
	"math"
	"testing"

	"spantack/core/lease"
)

// injectFault causes one random fault, or heals all partitions, one-way link failures and delays. It calls check after
// each event that it runs.
func injectFault(t *testing.T, w *world, check func()) {
	t.Helper()
	routers := len(w.processes)
	switch rank := w.rng.IntN(routers); w.rng.IntN(10) {
	case 0:
		for i := range w.partition { // puts each router into one of up to four partitions
			w.partition[i] = w.rng.IntN(1 + w.rng.IntN(4))
		}
	case 1:
		clear(w.partition)
		clear(w.oneWay)
		clear(w.extraDelay)
	case 8, 9:
		if holder := w.holder(rank); holder != lease.NoRank {
			w.extraDelay[holder] = w.rng.Int64N(3 * second)
			w.run(w.now+w.extraDelay[holder]+second, check)
			w.partition[holder] = 9 // datagrams to the holder are still in flight
		}
	case 2:
		w.loss = w.rng.Float64() * 0.4
	case 3:
		w.kill(rank)
	case 4, 5:
		w.kill(rank)
		w.start(t, rank)
	case 6:
		w.processes[rank].pausedUntil = w.now + w.rng.Int64N(4*second)
	case 7:
		w.oneWay[[2]int{rank, w.rng.IntN(routers)}] = true
	}
}

// Guards against violations of the guarantee of the package. Under random faults, the sum of all floors and leases must
// never exceed the limit. The test covers the check of the expiry of a lease, the wait before the first vote, and the
// check of the incarnation in a vote. If one of these three is missing, the test fails within 200 seeds. With -short
// the test runs only 40 seeds.
func TestQuotasNeverExceedLimit(t *testing.T) {
	seeds := uint64(400)
	if testing.Short() {
		seeds = 40
	}
	greatest, granted := 0.0, 0
	for seed := range seeds {
		routers := 3 + int(seed%11)
		limit := Limit{Name: "fills", Max: 40, FloorFraction: 0.25}
		w := newWorld(t, seed, routers, limit)
		w.late = 0.04
		check := func() {
			sum := w.quotas(0, nil)
			greatest = max(greatest, sum)
			if sum > limit.Max+1e-6 {
				t.Fatalf("seed %d, %d routers, at %.3f s: quotas of %.3f exceed the limit of %v",
					seed, routers, float64(w.now)/1e6, sum, limit.Max)
			}
		}
		for range 14 {
			w.run(w.now+w.rng.Int64N(3*second), check)
			injectFault(t, w, check)
			for rank, p := range w.processes {
				if !p.isRunning && w.rng.IntN(3) == 0 {
					w.start(t, rank)
				}
			}
		}
		for _, p := range w.processes {
			granted += int(p.node.Counts.LeasesGranted)
		}
	}
	if greatest < 39 || granted < int(seeds)*50 {
		t.Errorf("too few for a meaningful test: quotas up to %.1f, want at least 39; %d leases, want at least 50 per seed",
			greatest, granted)
	}
}

// Guards against two holders when voters restart. The preferred holder is down at first, so another router becomes the
// holder. This first holder is partitioned while its leases are in use, and at the same time all other routers restart
// without a record of their votes. They must not elect the preferred holder before the leases of the first holder have
// expired.
func TestRestartedVotersWaitBeforeVoting(t *testing.T) {
	for seed := range uint64(20) {
		limit := Limit{Name: "fills", Max: 40, FloorFraction: 0.25}
		w := newWorld(t, seed, 7, limit)
		preferred := w.processes[0].node.limits[0].preferredHolder()
		w.kill(preferred)
		w.run(w.now+RecoveryTime, nil)
		w.start(t, preferred)
		w.run(w.now+2*second, nil)
		holder := w.holder(preferred)
		if holder == lease.NoRank || holder == preferred {
			t.Fatalf("seed %d: the holder is %d, the preferred holder %d", seed, holder, preferred)
		}
		w.partition[holder] = 1
		for rank := range w.processes {
			if rank != holder {
				w.kill(rank)
				w.start(t, rank)
			}
		}
		w.run(w.now+RecoveryTime, func() {
			if sum := w.quotas(0, nil); sum > limit.Max+1e-6 {
				t.Fatalf("seed %d: quotas of %.2f exceed the limit of %v at %.3f s",
					seed, sum, limit.Max, float64(w.now)/1e6)
			}
		})
		if sum := w.meanQuotas(0, nil); sum < 0.8*limit.Max {
			t.Errorf("seed %d: quotas of %.2f, want at least 80%% of %v after the election of a holder", seed, sum, limit.Max)
		}
	}
}

// Guards against a delayed vote that is valid for too long. The lifetime of a vote must count from the timestamp that
// the vote echoes.
func TestVoteLifetimeCountsFromTimestamp(t *testing.T) {
	for name, test := range map[string]struct {
		age        int64 // age of the timestamp in the vote, us
		wantsGrant bool
	}{
		"young": {second, true},
		"expired after voteDriftMargin is subtracted": {voteLifetime - second/10, false},
		"expired": {voteLifetime + second, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 3, Limit{Name: "a", Max: 9})
			w.run(w.now+RecoveryTime, nil)
			holder := w.holder(0)
			limit := w.processes[holder].node.limits[0]
			now := w.localTime(holder) + 10*second // all votes have expired
			for rank := range 3 {
				if rank == holder {
					continue
				}
				limit.handleRequest(now, &message{
					rank:                 rank,
					amount:               1,
					timestamp:            limit.timestamp(now - test.age),
					candidateIncarnation: limit.node.options.Incarnation,
				})
			}
			limit.countedAt = 0
			_, term := limit.grant(now, (holder+1)%3)
			if (term > 0) != test.wantsGrant || term > max(voteLifetime-test.age, 0) {
				t.Errorf("a lease of %d us with votes whose timestamps are %d us old", term, test.age)
			}
		})
	}
}

// Guards against a pool that stays unused after a holder is lost. While the fleet has three partitions, the partition
// with more than half of the routers must have leased at least 60% of the pool. The other partitions must have only
// their floors. A holder that dies or is partitioned must be replaced within RecoveryTime, also if it dies when the
// partitions heal.
func TestPoolRecoversAfterHolderLoss(t *testing.T) {
	const routers = 15
	for seed := range uint64(12) {
		limit := Limit{Name: "fills", Max: 90, FloorFraction: 0.3}
		w := newWorld(t, seed, routers, limit)
		w.loss = 0.1
		w.run(w.now+RecoveryTime, nil)
		if sum := w.meanQuotas(0, nil); sum < 0.9*limit.Max {
			t.Fatalf("seed %d: quotas of %v, want at least 90%% of %v with all routers running", seed, sum, limit.Max)
		}
		holder := w.holder(0)
		if holder == lease.NoRank {
			t.Fatalf("seed %d: no holder", seed)
		}
		for rank := range w.partition { // the holder and five others form two small partitions
			if distance := (rank - holder + routers) % routers; distance < 6 {
				w.partition[rank] = 1 + distance%2
			}
		}
		w.run(w.now+RecoveryTime, nil)
		large := w.meanQuotas(0, func(rank int) bool { return w.partition[rank] == 0 })
		small := w.quotas(0, func(rank int) bool { return w.partition[rank] != 0 })
		floors := limit.Max * limit.FloorFraction
		pool := limit.Max - floors
		if large < 0.6*pool+floors*9/routers || math.Abs(small-floors*6/routers) > 1e-6 {
			t.Errorf("seed %d, quotas: %v in the large partition, want floors and 60%% of the pool; %v elsewhere, want floors",
				seed, large, small)
		}
		clear(w.partition)
		next := w.selfDeclaredHolder()
		if next == lease.NoRank || next == holder {
			t.Fatalf("seed %d: the holder is %d, and was %d before the partition", seed, next, holder)
		}
		w.kill(next)
		w.run(w.now+RecoveryTime, nil)
		if sum := w.meanQuotas(0, nil); sum < 0.6*pool+floors*14/routers {
			t.Errorf("seed %d: quotas of %v, want at least the floors and 60%% of the pool %v s after the holder died",
				seed, sum, RecoveryTime/second)
		}
	}
}

// Guards against a fleet of one router that cannot use its whole limit because no other router votes.
func TestSingleRouterFleet(t *testing.T) {
	w := newWorld(t, 1, 1, Limit{Name: "a", Max: 5, FloorFraction: 0.4})
	w.run(w.now+RecoveryTime, nil)
	n, now := w.processes[0].node, w.localTime(0)
	acquired := 0
	for n.TryAcquire(now, 0) {
		acquired++
	}
	if acquired != 5 {
		t.Errorf("%d acquired of 5", acquired)
	}
	n.Release(0)
	if !n.TryAcquire(now, 0) || n.TryAcquire(now, 0) {
		t.Error("after one unit is released, want exactly one successful TryAcquire")
	}
}

// Guards against two holders. A router must not vote for a second holder before its vote for the first holder has
// expired, even if the first holder does not respond.
func TestLesseeDoesNotVoteForTwoHolders(t *testing.T) {
	n, err := New(0, Options{FleetSize: 3, Sites: 1, Incarnation: 1, Limits: []Limit{{Name: "a", Max: 9}}})
	if err != nil {
		t.Fatal(err)
	}
	limit := n.limits[0]
	now := 100 * second
	first := limit.chooseHolder(now)
	limit.voteExpiresAt = now + voteLifetime
	limit.unansweredRequests = maxUnansweredRequests
	for at := now; at < limit.voteExpiresAt; at += renewInterval {
		if holder := limit.chooseHolder(at); holder != lease.NoRank {
			t.Fatalf("holder %d while the vote for the unresponsive %d is valid", holder, first)
		}
	}
	if holder := limit.chooseHolder(limit.voteExpiresAt); holder == lease.NoRank || holder == first {
		t.Errorf("holder %d after the vote for the unresponsive %d has expired", holder, first)
	}
}
