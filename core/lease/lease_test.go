package lease

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

// randomTopology draws a tree of one to three levels over so many routers.
func randomTopology(rng *rand.Rand, routers int) Topology {
	t := Topology{Routers: routers}
	for size := 2 + rng.IntN(3); len(t.GroupSizes) < rng.IntN(maxLevels) && size < routers; size *= 2 + rng.IntN(3) {
		t.GroupSizes = append(t.GroupSizes, size)
	}
	electors := 1 + 2*rng.IntN(min((routers+1)/2, 3))
	t.Electors = rng.Perm(routers)[:electors]
	return t
}

// disturb brings about one trouble.
func disturb(w *world) {
	routers := len(w.processes)
	rank := w.rng.IntN(routers)
	switch w.rng.IntN(11) {
	case 0:
		for i := range w.part { // as many parts as it likes
			w.part[i] = w.rng.IntN(1 + w.rng.IntN(4))
		}
	case 1:
		clear(w.part)
		clear(w.oneWay)
	case 2:
		w.loss = w.rng.Float64() * 0.4
	case 3:
		w.kill(rank)
	case 4, 5:
		w.kill(rank)
		w.start(rank)
	case 6:
		w.processes[rank].still = w.now + w.rng.Int64N(4*second)
	case 7:
		w.oneWay[[2]int{rank, w.rng.IntN(routers)}] = true
	case 8:
		w.confused = w.rng.Float64() * 0.3
	case 9: // a holder restarts with its leases out
		if holders := w.holders(1 + w.rng.IntN(w.opt.Topology.fleetLevel())); len(holders) > 0 {
			holder := holders[w.rng.IntN(len(holders))]
			w.kill(holder)
			w.start(holder)
		}
	case 10: // the fleet's holder is cut off with its leases out, and all electors but it start anew
		if holders := w.holders(w.opt.Topology.fleetLevel()); len(holders) > 0 {
			w.part[holders[0]] = 9
			for _, elector := range w.opt.Topology.Electors {
				if elector != holders[0] && w.rng.IntN(2) == 0 {
					w.kill(elector)
					w.start(elector)
				}
			}
		}
	}
}

// The bound of the package, whatever happens: floors and leases of all routers never pass the limit.
func TestSharesNeverPassTheLimit(t *testing.T) {
	seeds := uint64(300)
	if testing.Short() {
		seeds = 60
	}
	most, granted := 0.0, int64(0)
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(seed, 1))
		topology := randomTopology(rng, 3+rng.IntN(30))
		limit := Limit{Max: 40, FloorFraction: 0.25 * float64(rng.IntN(2))}
		w := newWorld(t, seed, topology, limit)
		w.late = 0.04
		check := func() {
			sum := w.shares(nil)
			most = max(most, sum)
			if sum > limit.Max+1e-6 {
				t.Fatalf("seed %d, %+v, at %.3f s: shares of %.3f pass a limit of %v", seed, topology, float64(w.now)/1e6, sum, limit.Max)
			}
		}
		w.run(w.now+12*second, check) // until there is a holder to be lost
		for range 14 {
			disturb(w)
			w.run(w.now+w.rng.Int64N(4*second), check)
			for rank, p := range w.processes {
				if !p.running && w.rng.IntN(3) == 0 {
					w.start(rank)
				}
			}
		}
		for _, p := range w.processes {
			granted += p.node.Counts.LeasesGranted
		}
	}
	if most < 39 || granted < int64(seeds)*100 {
		t.Errorf("at most %.1f of 40 in use, %d leases: these worlds show nothing", most, granted)
	}
}

// tree is 64 routers in regions of 16 and sites of 4.
var tree = Topology{Routers: 64, GroupSizes: []int{4, 16}, Electors: []int{1, 18, 35, 52, 61}}

// The pool is in use RecoveryTime after a start, and again after each holder was lost, one after the other from the smallest group's to the fleet's, with one datagram
// in ten lost; meanwhile all but the routers below the lost holder keep what they have.
func TestPoolIsRegained(t *testing.T) {
	limit := Limit{Max: 128, FloorFraction: 0.25}
	for seed := range uint64(6) {
		w := newWorld(t, seed, tree, limit)
		w.loss = 0.1
		w.run(w.now+RecoveryTime, nil)
		if use := w.mean(nil); use < 0.9*limit.Max {
			t.Fatalf("seed %d: %.1f of %v in use in a whole fleet", seed, use, limit.Max)
		}
		for level := 1; level <= tree.fleetLevel(); level++ {
			holders := w.holders(level)
			if len(holders) == 0 {
				t.Fatalf("seed %d: nobody holds a group of level %d", seed, level)
			}
			w.kill(holders[0])
			w.run(w.now+RecoveryTime, nil)
			if use := w.mean(nil); use < 0.85*limit.Max {
				t.Errorf("seed %d: %.1f of %v in use %d s after a holder of level %d was lost", seed, use, limit.Max, RecoveryTime/second, level)
			}
			w.start(holders[0])
		}
	}
}

// Two of four regions are cut off from the others, and from one another, for a minute: the part with three of the five electors has the pool, the others have their floors
// once their leases have ended. All have it again after the heal.
func TestRegionsCutOff(t *testing.T) {
	limit := Limit{Max: 128, FloorFraction: 0.25}
	floors := limit.Max * limit.FloorFraction
	for seed := range uint64(4) {
		w := newWorld(t, seed, tree, limit)
		w.run(w.now+RecoveryTime, nil)
		cutOff := func(rank int) bool { return rank < 32 }
		for rank := range w.part {
			if cutOff(rank) {
				w.part[rank] = 1 + rank/16
			}
		}
		w.run(w.now+RecoveryTime, nil)
		if use := w.shares(cutOff); math.Abs(use-floors/2) > 1e-6 {
			t.Errorf("seed %d: %.1f in use in the regions that are cut off, their floors are %.1f", seed, use, floors/2)
		}
		if use := w.mean(func(rank int) bool { return !cutOff(rank) }); use < 0.9*(limit.Max-floors)+floors/2 {
			t.Errorf("seed %d: %.1f in use in the part with the electors", seed, use)
		}
		w.run(w.now+second*60, nil)
		clear(w.part)
		w.run(w.now+RecoveryTime, nil)
		if use := w.mean(nil); use < 0.9*limit.Max {
			t.Errorf("seed %d: %.1f of %v in use after the heal", seed, use, limit.Max)
		}
	}
}

// Seven in ten routers restart at once, and others join that were never there: nobody else restarts, and the pool is in use again.
func TestRestartsAndNewcomers(t *testing.T) {
	limit := Limit{Max: 128, FloorFraction: 0.25}
	w := newWorld(t, 5, tree, limit)
	for rank := 56; rank < 64; rank++ { // a site and a half that is to come
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
	if use := w.mean(nil); use < 0.9*limit.Max {
		t.Errorf("%.1f of %v in use", use, limit.Max)
	}
	if use := w.shares(func(rank int) bool { return rank >= 56 }); use < 8 {
		t.Errorf("%.1f in use at the 8 that have joined", use)
	}
}

// A busy router gets what idle ones leave: max-min fairness through all levels.
func TestBusyRoutersGetMore(t *testing.T) {
	limit := Limit{Max: 128}
	w := newWorld(t, 6, tree, limit)
	for rank, p := range w.processes {
		p.node.SetDemand(0.5)
		if rank == 7 || rank == 40 {
			p.node.SetDemand(1e5)
		}
	}
	w.run(w.now+RecoveryTime, nil)
	if use := w.mean(func(rank int) bool { return rank == 7 || rank == 40 }); use < 0.5*limit.Max {
		t.Errorf("%.1f of %v in use at the two that want more", use, limit.Max)
	}
}

// No process exchanges messages with more than its group and its children, at the same rate in a fleet of eight times the size.
func TestMessagesDoNotGrowWithTheFleet(t *testing.T) {
	worst := func(topology Topology) float64 {
		w := newWorld(t, 7, topology, Limit{Max: 1000})
		w.run(w.now+RecoveryTime, nil)
		for _, p := range w.processes {
			p.traffic = 0
		}
		w.run(w.now+10*second, nil)
		most := 0
		for _, p := range w.processes {
			most = max(most, p.traffic)
		}
		return float64(most) / 10
	}
	small := worst(Topology{Routers: 64, GroupSizes: []int{8}, Electors: []int{1, 18, 35}})
	large := worst(Topology{Routers: 512, GroupSizes: []int{8, 64}, Electors: []int{1, 180, 350}})
	if large > 1.6*small { // one level more; a process may hold one group of each
		t.Errorf("%.0f messages a second at the worst of 512 routers, %.0f of 64", large, small)
	}
}

func TestBadOptions(t *testing.T) {
	good := Options{Rank: 1, Topology: Topology{Routers: 8, GroupSizes: []int{2, 4}, Electors: []int{0, 3, 5}}, Limit: Limit{Max: 1}}
	for want, change := range map[string]func(*Options){
		"routers: 0":            func(o *Options) { o.Topology.Routers = 0 },
		"Rank: 8 of 8":          func(o *Options) { o.Rank = 8 },
		"groups: 4 levels":      func(o *Options) { o.Topology.GroupSizes = []int{2, 4, 8, 16} },
		"groups[1]: 3 is not":   func(o *Options) { o.Topology.GroupSizes = []int{2, 3} },
		"groups[0]: 1 is not":   func(o *Options) { o.Topology.GroupSizes = []int{1} },
		"electors: 2":           func(o *Options) { o.Topology.Electors = []int{0, 1} },
		"electors: 0":           func(o *Options) { o.Topology.Electors = nil },
		"electors[1]: rank 8":   func(o *Options) { o.Topology.Electors = []int{0, 8, 1} },
		"electors[2]: rank 0 t": func(o *Options) { o.Topology.Electors = []int{0, 3, 0} },
		"most: NaN":             func(o *Options) { o.Limit.Max = math.NaN() },
		"floor: 2":              func(o *Options) { o.Limit.FloorFraction = 2 },
		"spare":                 func(o *Options) { o.Limit.ExpiryMargin = leaseLifetime },
	} {
		opt := good
		change(&opt)
		if _, err := New(0, opt); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

// Messages that have no place in the tree are dropped and counted, and change nothing.
func TestStrangersAreDropped(t *testing.T) {
	w := newWorld(t, 8, tree, Limit{Max: 128})
	w.run(w.now+RecoveryTime, nil)
	n, now := w.processes[5].node, w.local(5)
	before, dropped := n.Quota(now), n.Counts.Dropped
	messages := []Message{
		{Kind: 0}, {Kind: kindEnd}, {Kind: KindRequest, Level: 0, Weight: 1}, {Kind: KindRequest, Level: 9, Weight: 1}, {Kind: KindRequest, Level: 1, Weight: 1, Amount: math.NaN()}, {Kind: KindRequest, Level: 1}, {Kind: KindRequest, Level: 1, Weight: 1 << 16},
		{Kind: KindRequest, Level: 3, Weight: 1}, {Kind: KindGrant, Level: 0}, {Kind: KindGrant, Level: 9}, {Kind: KindGrant, Level: 1, Amount: 1e9}, {Kind: KindVote}, {Kind: KindVoteAck},
	}
	for _, m := range messages {
		n.Receive(now, 6, m)
	}
	n.Receive(now, 40, Message{Kind: KindRequest, Level: 1, Weight: 1}) // of another site
	n.Receive(now, 64, Message{Kind: KindRequest, Level: 1, Weight: 1}) // of no router
	n.Receive(now, 5, Message{Kind: KindRequest, Level: 1, Weight: 1})  // its own
	if got, want := n.Counts.Dropped-dropped, int64(len(messages)+3); got != want || n.Quota(now) != before {
		t.Errorf("%d dropped, want %d; share %v, %v before", got, want, n.Quota(now), before)
	}
}

func TestTakeAndGive(t *testing.T) {
	n, err := New(0, Options{Topology: Topology{Routers: 2, Electors: []int{0}}, Limit: Limit{Max: 4, FloorFraction: 1}})
	if err != nil {
		t.Fatal(err)
	}
	taken := 0
	for n.TryAcquire(0) {
		taken++
	}
	if taken != 2 {
		t.Errorf("%d taken of a floor of two", taken)
	}
	n.Release()
	if !n.TryAcquire(0) || n.InUse() != 2 {
		t.Errorf("%d in use", n.InUse())
	}
}

// A lease is reckoned from when its request was sent, however late the grant comes, and ends at the lessee before it ends at the holder, whose clock runs faster.
func TestLeaseEndsAtTheLesseeFirst(t *testing.T) {
	const term, late = second, second / 2
	l := newLessee(0)
	l.holder = 3
	sentAt := 100 * second
	number := l.recordRequest(sentAt)
	h := newHolder()
	grantedAt := 900 * second // by the holder's clock, at the moment in which the request was sent
	amount, granted := h.grant(grantedAt, lesseeKey{0, 1}, 5, 1, []allotment{{5, grantedAt + 10*second}}, term)
	l.handleGrant(sentAt+late, 3, &Message{Incarnation: 1, Amount: amount, Term: granted, RequestNumber: number})
	if l.available(sentAt+late) != 5 {
		t.Fatalf("%v on lease", l.available(sentAt+late))
	}
	out := h.accounts[lesseeKey{0, 1}]
	slow, fast := 1-maxClockDrift/2, 1+maxClockDrift/2
	for passed := late; passed < 2*term; passed += 1000 { // of real time since the request was sent
		atLessee, atHolder := sentAt+int64(float64(passed)*slow), grantedAt+int64(float64(passed)*fast)
		if l.available(atLessee) > out.outstanding(atHolder) {
			t.Fatalf("%d us after its request a lease counts at the lessee, and no more at the holder", passed)
		}
	}
}

// A grant that is older than the latest, or of a request that was never sent, is dropped.
func TestOldGrantsAreDropped(t *testing.T) {
	l := newLessee(0)
	l.holder = 3
	first := l.recordRequest(second)
	latest := l.recordRequest(2 * second)
	grant := func(number uint32, amount float64) {
		l.handleGrant(2*second+1000, 3, &Message{Incarnation: 1, Amount: amount, Term: leaseLifetime, RequestNumber: number})
	}
	grant(latest, 2)
	grant(first, 9)
	grant(77, 9)
	if got := l.available(2*second + 2000); got != 2 {
		t.Errorf("%v on lease, 2 was granted last", got)
	}
}

// alone is a router that is the only elector, elected, in a fleet of eight without groups.
func alone(t *testing.T) (n *Node, now int64) {
	t.Helper()
	n, err := New(0, Options{Rank: 0, Incarnation: 1, Topology: Topology{Routers: 8, Electors: []int{0}}, Limit: Limit{Max: 10}})
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

// A lessee that restarts has forgotten what it granted: what the process before it had on lease counts besides what the new one gets.
func TestRestartedLesseeCountsTwice(t *testing.T) {
	n, now := alone(t)
	granted := map[uint32]float64{} // last, by incarnation
	var asking uint32
	n.Send = func(_ int, m Message) {
		if m.Kind == KindGrant {
			granted[asking] = m.Amount
		}
	}
	ask := func(incarnation, number uint32) {
		asking = incarnation
		n.Receive(now, 3, Message{Kind: KindRequest, Incarnation: incarnation, Level: 1, Amount: 1e5, Weight: 1, RequestNumber: number})
	}
	for number := uint32(1); number < 20; number++ { // until what idle ones had has ended
		now += renewInterval
		n.Tick(now)
		ask(1, number)
	}
	ask(2, 1)
	if granted[1] < 9 || granted[1]+granted[2] > 10 {
		t.Errorf("%v to the process before, %v to the one after it, of 10", granted[1], granted[2])
	}
}

// A vote counts from the holder's stamp that it echoes, however late it comes.
func TestVoteCountsFromItsStamp(t *testing.T) {
	n, err := New(0, Options{Rank: 0, Incarnation: 1, Topology: Topology{Routers: 3, Electors: []int{0, 1, 2}}, Limit: Limit{Max: 10}})
	if err != nil {
		t.Fatal(err)
	}
	stampedAt, now := 10*second, 13*second
	n.Receive(now, 1, Message{Kind: KindVote, Incarnation: 5, CandidateIncarnation: 1, Stamp: n.stamp(stampedAt)})
	if until := n.ballot.voteExpiresAt[1]; until <= now || until > stampedAt+voteLifetime {
		t.Errorf("a vote on a stamp of %d us counts until %d us", stampedAt, until)
	}
	n.Receive(now, 2, Message{Kind: KindVote, Incarnation: 5, CandidateIncarnation: 9, Stamp: n.stamp(stampedAt)})
	if until := n.ballot.voteExpiresAt[2]; until != 0 {
		t.Errorf("a vote for another start counts until %d us", until)
	}
}

// An elector gives no second candidate its vote before the one for the first has ended, whatever becomes of that candidate.
func TestElectorVotesForOneAtATime(t *testing.T) {
	e := newElector()
	electors := []int{0, 1, 2}
	order := func(rank int) uint64 { return uint64(10 - rank) }
	now := 100 * second
	if got := e.chooseCandidate(now, electors, order); got != 0 {
		t.Fatalf("candidate %d, 0 is first", got)
	}
	e.candidateIncarnation, e.voteExpiresAt = 7, now+voteLifetime
	e.unansweredVotes = maxUnanswered
	for at := now; at < e.voteExpiresAt; at += voteInterval {
		if got := e.chooseCandidate(at, electors, order); got != 0 && got != NoRank {
			t.Fatalf("candidate %d while the vote for 0 counts", got)
		}
	}
	e.avoidedUntil[0] = e.voteExpiresAt + second
	if got := e.chooseCandidate(e.voteExpiresAt, electors, order); got != 1 {
		t.Errorf("candidate %d once the vote has ended, 1 is next", got)
	}
}

// Of a holder's older leases each may be granted of until its own end.
func TestOlderLeasesKeepTheirEnds(t *testing.T) {
	l := newLessee(1)
	l.holder = 3
	grant := func(at int64, amount float64) {
		l.handleGrant(at, 3, &Message{Incarnation: 1, Amount: amount, Term: leaseLifetimeAt(1), RequestNumber: l.recordRequest(at)})
	}
	grant(second, 9)
	first := l.lease
	grant(2*second, 4)
	if got := l.grantableLeases(2 * second); len(got) != 2 || got[0] != l.lease || got[1] != first {
		t.Errorf("%v, want the present lease and %v", got, first)
	}
	if got := l.grantableLeases(first.expiresAt); len(got) != 1 {
		t.Errorf("%v after the older one has ended", got)
	}
}
