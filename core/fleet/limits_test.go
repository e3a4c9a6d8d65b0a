package fleet

import (
	"math"
	"testing"

	"spantack/core/lease"
)

// injectFault brings about one fault, or heals all cuts; check is called after each event meanwhile.
func injectFault(t *testing.T, w *world, check func()) {
	t.Helper()
	routers := len(w.processes)
	switch rank := w.rng.IntN(routers); w.rng.IntN(10) {
	case 0:
		for i := range w.partition { // any number of partitions
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
			w.partition[holder] = 9 // and is cut off with what is on its way to it
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

// The guarantee of the package, whatever happens: floors and leases never pass the limit. With the check of a
// lease's end, of votes at the start, or of the incarnation that was voted for taken out, this fails within 200
// seeds.
func TestQuotasNeverPassTheLimit(t *testing.T) {
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
				t.Fatalf("seed %d, %d routers, at %.3f s: quotas of %.3f pass a limit of %v",
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
		t.Errorf("at most %.1f of 40 in use, %d leases: these worlds show nothing", greatest, granted)
	}
}

// The holder is one that not all would prefer, as the preferred one was away when it was chosen. It is cut off with
// its leases out, and all others restart that moment, with nothing known of what they had voted for: they must not
// have a second holder before the first one's leases have expired.
func TestRestartedVotersVoteLate(t *testing.T) {
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
			t.Fatalf("seed %d: held by %d, preferred is %d", seed, holder, preferred)
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
				t.Fatalf("seed %d: quotas of %.2f pass a limit of %v at %.3f s",
					seed, sum, limit.Max, float64(w.now)/1e6)
			}
		})
		if sum := w.meanQuotas(0, nil); sum < 0.8*limit.Max {
			t.Errorf("seed %d: %.2f of %v in use once they have a holder", seed, sum, limit.Max)
		}
	}
}

// A vote counts from the stamp that it echoes: one that was long on its way has nearly expired.
func TestVoteCountsFromItsStamp(t *testing.T) {
	for name, test := range map[string]struct {
		age    int64 // of the vote's stamp
		grants bool
	}{
		"young":          {second, true},
		"nearly expired": {voteLifetime - second/10, false},
		"expired":        {voteLifetime + second, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 3, Limit{Name: "a", Max: 9})
			w.run(w.now+RecoveryTime, nil)
			holder := w.holder(0)
			limit := w.processes[holder].node.limits[0]
			now := w.localTime(holder) + 10*second // no vote counts any more
			for rank := range 3 {
				if rank == holder {
					continue
				}
				limit.handleRequest(now, &message{
					rank:                 rank,
					amount:               1,
					stamp:                limit.stamp(now - test.age),
					candidateIncarnation: limit.node.options.Incarnation,
				})
			}
			limit.countedAt = 0
			_, term := limit.grant(now, (holder+1)%3)
			if (term > 0) != test.grants || term > max(voteLifetime-test.age, 0) {
				t.Errorf("a lease of %d us on votes whose stamps were %d us old", term, test.age)
			}
		})
	}
}

// What stays usable: while the fleet is cut in three, the partition with more than half of the routers has six
// tenths of the pool or more, the others their floors; a holder that dies, or is cut off, is replaced within
// RecoveryTime, also where it dies the moment that the partitions are one again.
func TestPoolIsRecovered(t *testing.T) {
	const routers = 15
	for seed := range uint64(12) {
		limit := Limit{Name: "fills", Max: 90, FloorFraction: 0.3}
		w := newWorld(t, seed, routers, limit)
		w.loss = 0.1
		w.run(w.now+RecoveryTime, nil)
		if sum := w.meanQuotas(0, nil); sum < 0.9*limit.Max {
			t.Fatalf("seed %d: %v of %v in use in a complete fleet", seed, sum, limit.Max)
		}
		holder := w.holder(0)
		if holder == lease.NoRank {
			t.Fatalf("seed %d: no holder", seed)
		}
		for rank := range w.partition { // the holder and five others are cut off, in two partitions
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
			t.Errorf("seed %d: cut in three, %v in use in the large partition, %v in the small ones", seed, large, small)
		}
		clear(w.partition)
		next := w.heldBy()
		if next == lease.NoRank || next == holder {
			t.Fatalf("seed %d: held by %d, by %d before the cut", seed, next, holder)
		}
		w.kill(next)
		w.run(w.now+RecoveryTime, nil)
		if sum := w.meanQuotas(0, nil); sum < 0.6*pool+floors*14/routers {
			t.Errorf("seed %d: %v in use %v s after the holder died", seed, sum, RecoveryTime/second)
		}
	}
}

// A fleet of one keeps its limits by itself.
func TestFleetOfOne(t *testing.T) {
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
		t.Error("one released is not one to be acquired")
	}
}

// A router gives no second holder its vote before the one for the first has expired, whatever becomes of that holder.
func TestLesseeVotesForOneAtATime(t *testing.T) {
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
			t.Fatalf("holder %d while the vote for %d counts, which does not answer", holder, first)
		}
	}
	if holder := limit.chooseHolder(limit.voteExpiresAt); holder == lease.NoRank || holder == first {
		t.Errorf("holder %d once the vote for %d has expired, which does not answer", holder, first)
	}
}
