package lease

import (
	"math/rand/v2"
	"testing"
)

// randomTopology returns a random tree for a number of routers, with up to three levels of groups below the fleet.
func randomTopology(rng *rand.Rand, routers int) Topology {
	t := Topology{Routers: routers}
	for size := 2 + rng.IntN(3); len(t.GroupSizes) < rng.IntN(maxLevels) && size < routers; size *= 2 + rng.IntN(3) {
		t.GroupSizes = append(t.GroupSizes, size)
	}
	electors := 1 + 2*rng.IntN(min((routers+1)/2, 3))
	t.Electors = rng.Perm(routers)[:electors]
	return t
}

// injectFault causes one random fault, or heals all partitions and one-way link failures.
func injectFault(w *world) {
	routers := len(w.processes)
	rank := w.rng.IntN(routers)
	switch w.rng.IntN(11) {
	case 0:
		for i := range w.partition { // puts each router into one of up to four partitions
			w.partition[i] = w.rng.IntN(1 + w.rng.IntN(4))
		}
	case 1:
		clear(w.partition)
		clear(w.oneWay)
	case 2:
		w.loss = w.rng.Float64() * 0.4
	case 3:
		w.kill(rank)
	case 4, 5:
		w.kill(rank)
		w.start(rank)
	case 6:
		w.processes[rank].pausedUntil = w.now + w.rng.Int64N(4*second)
	case 7:
		w.oneWay[[2]int{rank, w.rng.IntN(routers)}] = true
	case 8:
		w.wrongStates = w.rng.Float64() * 0.3
	case 9:
		restartHolder(w)
	case 10:
		isolateFleetHolder(w)
	}
}

// restartHolder restarts the holder of a random group while leases that it granted are in use.
func restartHolder(w *world) {
	holders := w.holders(1 + w.rng.IntN(w.options.Topology.fleetLevel()))
	if len(holders) == 0 {
		return
	}
	holder := holders[w.rng.IntN(len(holders))]
	w.kill(holder)
	w.start(holder)
}

// isolateFleetHolder partitions the holder of the fleet from all others while leases that it granted are in use, and
// restarts each of the other electors with probability 1/2.
func isolateFleetHolder(w *world) {
	holders := w.holders(w.options.Topology.fleetLevel())
	if len(holders) == 0 {
		return
	}
	w.partition[holders[0]] = 9
	for _, elector := range w.options.Topology.Electors {
		if elector != holders[0] && w.rng.IntN(2) == 0 {
			w.kill(elector)
			w.start(elector)
		}
	}
}

// Guards against violations of the guarantee of the package. Under random faults, the sum of the quotas of all routers
// must never exceed the limit.
func TestQuotasNeverExceedLimit(t *testing.T) {
	seeds := uint64(300)
	if testing.Short() {
		seeds = 60
	}
	greatest, granted := 0.0, int64(0)
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(seed, 1))
		topology := randomTopology(rng, 3+rng.IntN(30))
		limit := Limit{Max: 40, FloorFraction: 0.25 * float64(rng.IntN(2))}
		w := newWorld(t, seed, topology, limit)
		w.late = 0.04
		check := func() {
			sum := w.quotas(nil)
			greatest = max(greatest, sum)
			if sum > limit.Max+1e-6 {
				t.Fatalf("seed %d, %+v, at %.3f s: quotas of %.3f exceed the limit of %v",
					seed, topology, float64(w.now)/1e6, sum, limit.Max)
			}
		}
		w.run(w.now+12*second, check) // until a holder is elected, so that it can be lost
		for range 14 {
			injectFault(w)
			w.run(w.now+w.rng.Int64N(4*second), check)
			for rank, p := range w.processes {
				if !p.isRunning && w.rng.IntN(3) == 0 {
					w.start(rank)
				}
			}
		}
		for _, p := range w.processes {
			granted += p.node.Counts.LeasesGranted
		}
	}
	if greatest < 39 || granted < int64(seeds)*100 {
		t.Errorf("too few for a meaningful test: quotas up to %.1f, want at least 39; %d leases, want at least 100 per seed",
			greatest, granted)
	}
}

// Guards against a lease that a lessee still uses after the holder has granted the same amount to others. The lessee
// must count the lifetime of a lease from the time at which it sent the request, even if the grant is delayed. The
// lease must expire at the lessee before it does at a holder with a faster clock.
func TestLeaseExpiresAtLesseeBeforeHolder(t *testing.T) {
	const (
		term  = second
		delay = second / 2 // time from the request to the arrival of the grant
	)
	l := newLessee(0)
	l.holder = 3
	sentAt := 100 * second
	number := l.recordRequest(sentAt)
	h := newHolder()
	key := lesseeKey{0, 1}
	grantedAt := 900 * second // by the holder's clock, at the time at which the request was sent
	amount, granted := h.grant(grantedAt, key, demand{5, 1}, []Lease{{5, grantedAt + 10*second}}, term)
	l.handleGrant(sentAt+delay, 3, &Message{Incarnation: 1, Amount: amount, Term: granted, RequestNumber: number})
	if l.available(sentAt+delay) != 5 {
		t.Fatalf("%v available at the lessee, want 5", l.available(sentAt+delay))
	}
	account := h.accounts[key]
	slow, fast := 1-maxClockDrift/2, 1+maxClockDrift/2
	for elapsed := delay; elapsed < 2*term; elapsed += 1000 { // of real time since the request was sent
		atLessee := sentAt + int64(float64(elapsed)*slow)
		atHolder := grantedAt + int64(float64(elapsed)*fast)
		if l.available(atLessee) > Outstanding(atHolder, account.leases[:]) {
			t.Fatalf("%d us after its request, a lease is valid at the lessee but has expired at the holder", elapsed)
		}
	}
}

// singleElector returns a node that is elected as the holder of a fleet of eight routers without groups, because it is
// the only elector. It also returns the current time (us).
func singleElector(t *testing.T) (n *Node, now int64) {
	t.Helper()
	n, err := New(0, Options{
		Incarnation: 1,
		Topology:    Topology{Routers: 8, Electors: []int{0}},
		Limit:       Limit{Max: 10},
	})
	if err != nil {
		t.Fatal(err)
	}
	for now < 2*voteLifetime {
		now = n.Tick(now)
	}
	if !n.isElected(now) {
		t.Fatal("the only elector is not elected")
	}
	return n, now
}

// Guards against granting the lease of a restarted lessee a second time. The lessee has no record of what it granted
// from that lease. The holder must therefore count the lease of the previous incarnation in addition to the lease of
// the new one.
func TestLeaseOfPreviousIncarnationStaysCounted(t *testing.T) {
	n, now := singleElector(t)
	granted := map[uint32]float64{} // amount of the latest grant, by incarnation
	var requester uint32
	n.Send = func(_ int, m Message) {
		if m.Kind == KindGrant {
			granted[requester] = m.Amount
		}
	}
	request := func(incarnation, number uint32) {
		requester = incarnation
		n.Receive(now, 3, Message{
			Kind: KindRequest, Incarnation: incarnation, Level: 1, Amount: 1e5, Weight: 1, RequestNumber: number,
		})
	}
	for number := uint32(1); number < 20; number++ { // until the lease that the holder granted itself has expired
		now += renewInterval
		n.Tick(now)
		request(1, number)
	}
	request(2, 1)
	if granted[1] < 9 || granted[1]+granted[2] > 10 {
		t.Errorf("%v granted before the restart, %v after it, of a limit of 10", granted[1], granted[2])
	}
}
