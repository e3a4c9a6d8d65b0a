package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// RecoveryTime is the time in which eight tenths of the pool are in use again after a holder, a group or a part of the fleet was lost: until its lessees avoid it or it is taken for down,
// until the votes for it have ended, and until requests have come up the tree and grants down it. Held by a test at three levels with one datagram in ten lost, where
// routers know who is up; where they learn it from one another, it counts from when they have.
const RecoveryTime = 30_000_000

// Options of a Node.
type Options struct {
	Rank        int
	Incarnation uint32 // greater at each start of this router
	Seed        uint64
	Topology    Topology
	Limit       Limit
}

// Counts of a Node since its start.
type Counts struct {
	Sent, LeasesGranted, VotesSent int64
	Dropped                        int64 // messages that were not for this router, or from a router that has no part in what they are about
}

// Node is one router's part in one limit. It is not safe for concurrent use.
type Node struct {
	Counts         Counts
	Send           func(to int, m Message) // hands a message out
	IsUp           func(rank int) bool     // whether a router is taken for up; wrong answers cost use of the pool, not the bound
	OnHolderChange func(level, holder int) // told when this router asks another holder for a level's leases; holder -1: none is known

	options   Options
	rng       *rand.Rand
	startedAt int64
	demand    float64
	inUse     int
	lessees   []*lessee // by level, from the router's own use to the fleet's children
	holders   []*holder // by level, from 1 to the fleet's; [0] is nil
	elector   *elector  // nil: this router is none
	ballot    ballot
}

// New returns a node that starts now. Its error names the option at fault.
func New(now int64, opt Options) (*Node, error) {
	if err := opt.Topology.Validate(); err != nil {
		return nil, err
	}
	if err := opt.Limit.Validate(); err != nil {
		return nil, err
	}
	if opt.Rank < 0 || opt.Rank >= opt.Topology.Routers {
		return nil, fmt.Errorf("Rank: %d of %d", opt.Rank, opt.Topology.Routers)
	}
	n := &Node{options: opt, rng: rand.New(rand.NewPCG(opt.Seed, uint64(opt.Rank)<<32|uint64(opt.Incarnation))), startedAt: now,
		Send: func(int, Message) {}, IsUp: func(int) bool { return true }, OnHolderChange: func(int, int) {}, ballot: ballot{voteExpiresAt: map[int]int64{}}}
	for level := range opt.Topology.fleetLevel() {
		l := newLessee(level)
		l.nextRequestAt = now + int64(n.rng.Float64()*float64(renewIntervalAt(level)))
		n.lessees = append(n.lessees, l)
	}
	n.holders = make([]*holder, opt.Topology.fleetLevel()+1)
	for level := 1; level <= opt.Topology.fleetLevel(); level++ {
		n.holders[level] = newHolder()
	}
	if slices.Contains(opt.Topology.Electors, opt.Rank) {
		n.elector = newElector()
		n.elector.nextVoteAt = now + int64(n.rng.Float64()*voteInterval)
	}
	return n, nil
}

func (n *Node) floor() float64 {
	return n.options.Limit.Max * n.options.Limit.FloorFraction / float64(n.options.Topology.Routers)
}

func (n *Node) pool() float64 { return n.options.Limit.Max * (1 - n.options.Limit.FloorFraction) }

// Quota is how much of the limit this router may have in use at present. What many routers use of shares below one, by drawing lots, keeps the limit in the
// mean; what they take with Take keeps it always.
func (n *Node) Quota(now int64) float64 {
	return n.floor() + n.lessees[0].available(now+n.options.Limit.ExpiryMargin)
}

// SetDemand tells how much of the limit this router could use at present.
func (n *Node) SetDemand(amount float64) { n.demand = amount }

// TryAcquire takes one from the limit; false: there is none to be had.
func (n *Node) TryAcquire(now int64) bool {
	if float64(n.inUse+1) > n.Quota(now) {
		return false
	}
	n.inUse++
	return true
}

// Release gives one back.
func (n *Node) Release() { n.inUse = max(n.inUse-1, 0) }

// InUse is how many were taken and not given back.
func (n *Node) InUse() int { return n.inUse }

// Holder is the router from which this one has a lease for its own use; -1: none.
func (n *Node) Holder(now int64) int {
	if now >= n.lessees[0].lease.expiresAt {
		return NoRank
	}
	return n.lessees[0].holder
}

// HeldLevels lists the levels of the groups that this router holds at present: it has a lease for them or, at the fleet's, is elected.
func (n *Node) HeldLevels(now int64) (levels []int) {
	for level := 1; level < len(n.holders); level++ {
		if n.capacities(now, level)[0].expiresAt > now && n.holders[level].hasDemand(now) {
			levels = append(levels, level)
		}
	}
	return levels
}

// capacities are what this router may grant leases of at a level, the present one first.
func (n *Node) capacities(now int64, level int) []allotment {
	if level < n.options.Topology.fleetLevel() {
		return n.lessees[level].grantableLeases(now)
	}
	return []allotment{{n.pool(), n.ballot.electedUntil(now, len(n.options.Topology.Electors))}}
}

// maxWeight is the most routers that a request can be for on the wire.
const maxWeight = 1<<16 - 1

// tickInterval is how often Tick wants to be called.
const tickInterval = 50_000

// Tick sends what is due and returns the time by which it wants to be called again.
func (n *Node) Tick(now int64) (next int64) {
	if n.elector != nil && now >= n.elector.nextVoteAt {
		n.elector.nextVoteAt = now + voteInterval
		n.castVote(now)
	}
	for level, l := range n.lessees {
		if now < l.nextRequestAt || level > 0 && !n.holders[level].hasDemand(now) {
			continue
		}
		interval := renewIntervalAt(level)
		l.nextRequestAt = now + interval + int64(n.rng.Float64()*float64(interval)/4)
		n.requestLease(now, l)
	}
	return now + tickInterval
}

// requestLease asks the holder of the group above for what is wanted.
func (n *Node) requestLease(now int64, l *lessee) {
	before, level := l.holder, l.level+1
	order := func(rank int) uint64 { return RendezvousHash(level, rank) }
	to := l.chooseHolder(now, n.options.Topology.groupMembers(level, n.options.Rank), level == n.options.Topology.fleetLevel(), n.isUpOrSelf, order)
	if to != before {
		n.OnHolderChange(level, to)
	}
	if to == NoRank {
		return
	}
	want, weight := max(n.demand-n.floor(), 0), 1
	if l.level > 0 {
		want, weight = n.holders[l.level].demand(now), n.holders[l.level].weight(now)
	}
	m := Message{Kind: KindRequest, Incarnation: n.options.Incarnation, Level: level, Amount: want, Weight: min(weight, maxWeight), RequestNumber: l.recordRequest(now)}
	if to != n.options.Rank {
		n.Counts.Sent++
		n.Send(to, m)
		return
	}
	amount, term := n.grant(now, n.options.Rank, &m)
	l.handleGrant(now, to, &Message{Incarnation: n.options.Incarnation, Amount: amount, Term: term, RequestNumber: m.RequestNumber, KnownHolder: n.knownHolder(now, level)})
}

// knownHolder is who is elected to hold the fleet, as far as an elector knows; nobody for other levels.
func (n *Node) knownHolder(now int64, level int) int {
	if level < n.options.Topology.fleetLevel() || n.elector == nil || now-n.elector.electedSeenAt >= hintLifetime {
		return NoRank
	}
	return n.elector.electedHolder
}

func (n *Node) isUpOrSelf(rank int) bool { return rank == n.options.Rank || n.IsUp(rank) }

// RendezvousHash orders the candidates for holding something, the same at all routers: what is a number of its own for each thing that is held (D. Thaler, C. Ravishankar,
// "Using name-based mappings to increase hit rates", 1998).
func RendezvousHash(what, rank int) uint64 {
	x := uint64(what)<<32 | uint64(rank)
	x += 0x9e3779b97f4a7c15 // splitmix64
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// grant answers a request as the holder of a level's group.
func (n *Node) grant(now int64, from int, m *Message) (amount float64, term int64) {
	amount, term = n.holders[m.Level].grant(now, lesseeKey{from, m.Incarnation}, m.Amount, m.Weight, n.capacities(now, m.Level), leaseLifetimeAt(m.Level-1))
	if term > 0 {
		n.Counts.LeasesGranted++
	}
	return amount, term
}

// castVote tells the candidate that it has this elector's vote, or asks for the stamp that the vote echoes.
func (n *Node) castVote(now int64) {
	e := n.elector
	if n.isElected(now) {
		e.electedHolder, e.electedSeenAt = n.options.Rank, now
		n.announceElected(now)
	}
	to := e.chooseCandidate(now, n.options.Topology.Electors, func(rank int) uint64 { return RendezvousHash(n.options.Topology.fleetLevel(), rank) })
	if to == NoRank {
		return
	}
	mayVote := now-n.startedAt >= voteLifetime+voteLifetime*maxClockDrift*2 // votes given before the start are forgotten
	if to == n.options.Rank {
		if mayVote && (e.candidateIncarnation == n.options.Incarnation || now >= e.voteExpiresAt) {
			e.candidateIncarnation, e.voteExpiresAt = n.options.Incarnation, now+voteLifetime
			n.ballot.voteExpiresAt[to] = e.voteExpiresAt
		}
		return
	}
	m := Message{Kind: KindVote, Incarnation: n.options.Incarnation}
	if mayVote && e.candidateStamp != 0 && e.candidateIncarnation != 0 && e.unansweredVotes < maxVotesUnanswered {
		m.Stamp, m.CandidateIncarnation = e.candidateStamp, e.candidateIncarnation
		e.voteExpiresAt = now + voteLifetime
		n.Counts.VotesSent++
	}
	e.unansweredVotes++
	n.Counts.Sent++
	n.Send(to, m)
}

// isElected tells whether this router holds the fleet.
func (n *Node) isElected(now int64) bool {
	return n.ballot.electedUntil(now, len(n.options.Topology.Electors)) > now
}

// announceElected tells all other electors that this router holds the fleet: those that were cut off learn it so, and tell lessees that ask them.
func (n *Node) announceElected(now int64) {
	for _, rank := range n.options.Topology.Electors {
		if rank != n.options.Rank {
			n.Counts.Sent++
			n.Send(rank, Message{Kind: KindVoteAck, Incarnation: n.options.Incarnation, Stamp: n.stamp(now), IsElected: true})
		}
	}
}

// stamp is a time of this process in units of TermUnit; it begins anew after 49 days.
func (n *Node) stamp(now int64) uint32 { return uint32((now - n.startedAt) / TermUnit) }

// Receive takes in a message of another router and sends what it calls for. What has no place in the tree is dropped and counted.
func (n *Node) Receive(now int64, from int, m Message) {
	if !n.accepts(from, &m) {
		n.Counts.Dropped++
		return
	}
	switch m.Kind {
	case KindRequest:
		amount, term := n.grant(now, from, &m)
		n.Counts.Sent++
		n.Send(from, Message{Kind: KindGrant, Incarnation: n.options.Incarnation, Level: m.Level, Amount: amount, Term: term, RequestNumber: m.RequestNumber,
			KnownHolder: n.knownHolder(now, m.Level)})
	case KindGrant:
		n.lessees[m.Level-1].handleGrant(now, from, &m)
	case KindVote:
		n.handleVote(now, from, &m)
	case KindVoteAck:
		n.handleVoteAck(now, from, &m)
	}
}

// accepts tells whether a message may come from that router.
func (n *Node) accepts(from int, m *Message) bool {
	t := &n.options.Topology
	if from < 0 || from >= t.Routers || from == n.options.Rank || m.Kind == 0 || m.Kind >= kindEnd {
		return false
	}
	switch m.Kind {
	case KindRequest:
		if m.Level < 1 || m.Level > t.fleetLevel() || !(m.Amount >= 0) || m.Weight < 1 || m.Weight > maxWeight {
			return false
		}
		return t.inSameGroup(m.Level, from, n.options.Rank) && (m.Level < t.fleetLevel() || n.elector != nil)
	case KindGrant:
		return m.Level >= 1 && m.Level <= t.fleetLevel() && t.inSameGroup(m.Level, from, n.options.Rank) && m.Amount >= 0 && m.Amount <= n.pool() &&
			(m.KnownHolder == NoRank || slices.Contains(t.Electors, m.KnownHolder))
	}
	return n.elector != nil && slices.Contains(t.Electors, from)
}

func (n *Node) handleVote(now int64, from int, m *Message) {
	age := int64(n.stamp(now)-m.Stamp) * TermUnit
	if m.CandidateIncarnation == n.options.Incarnation && m.Stamp != 0 && age >= 0 && age < voteLifetime {
		n.ballot.voteExpiresAt[from] = max(n.ballot.voteExpiresAt[from], now-age-TermUnit+voteLifetime-voteLifetime*maxClockDrift*2)
	}
	stamp := n.stamp(now)
	if stamp == 0 {
		return // no stamp yet: the next vote will do
	}
	n.Counts.Sent++
	n.Send(from, Message{Kind: KindVoteAck, Incarnation: n.options.Incarnation, Stamp: stamp, IsElected: n.isElected(now)})
}

func (n *Node) handleVoteAck(now int64, from int, m *Message) {
	e := n.elector
	if m.IsElected {
		e.electedHolder, e.electedSeenAt = from, now
	}
	if from != e.candidate {
		return
	}
	e.unansweredVotes = 0
	if e.candidateIncarnation != 0 && m.Incarnation != e.candidateIncarnation && now < e.voteExpiresAt {
		e.candidateStamp = 0 // the vote was for the process before: it must end first
		return
	}
	if e.candidateIncarnation != 0 && m.Incarnation == e.candidateIncarnation && m.Stamp-e.candidateStamp > 1<<31 {
		return // overtaken by a newer one
	}
	e.candidateIncarnation, e.candidateStamp = m.Incarnation, m.Stamp
}
