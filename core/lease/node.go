package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// Regain is the time in which eight tenths of the pool are in use again after a holder, a group or a part of the fleet was lost: until its lessees avoid it or it is taken for down,
// until the votes for it have ended, and until requests have come up the tree and grants down it. Held by a test at three levels with one datagram in ten lost, where
// routers know who is up; where they learn it from one another, it counts from when they have.
const Regain = 30_000_000

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
	Sent, Granted, Votes int64
	Dropped              int64 // messages that were not for this router, or from a router that has no part in what they are about
}

// Node is one router's part in one limit. It is not safe for concurrent use.
type Node struct {
	Counts Counts
	Send   func(to int, m Message) // hands a message out
	Up     func(rank int) bool     // whether a router is taken for up; wrong answers cost use of the pool, not the bound
	Change func(level, holder int) // told when this router asks another holder for a level's leases; holder -1: none is known

	opt     Options
	rng     *rand.Rand
	started int64
	want    float64
	inUse   int
	lessees []*lessee // by level, from the router's own use to the fleet's children
	holders []*holder // by level, from 1 to the fleet's; [0] is nil
	elector *elector  // nil: this router is none
	ballot  ballot
}

// New returns a node that starts now. Its error names the option at fault.
func New(now int64, opt Options) (*Node, error) {
	if err := opt.Topology.Check(); err != nil {
		return nil, err
	}
	if err := opt.Limit.Check(); err != nil {
		return nil, err
	}
	if opt.Rank < 0 || opt.Rank >= opt.Topology.Routers {
		return nil, fmt.Errorf("Rank: %d of %d", opt.Rank, opt.Topology.Routers)
	}
	n := &Node{opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, uint64(opt.Rank)<<32|uint64(opt.Incarnation))), started: now,
		Send: func(int, Message) {}, Up: func(int) bool { return true }, Change: func(int, int) {}, ballot: ballot{votes: map[int]int64{}}}
	for level := range opt.Topology.fleetLevel() {
		l := newLessee(level)
		l.due = now + int64(n.rng.Float64()*float64(renewIntervalAt(level)))
		n.lessees = append(n.lessees, l)
	}
	n.holders = make([]*holder, opt.Topology.fleetLevel()+1)
	for level := 1; level <= opt.Topology.fleetLevel(); level++ {
		n.holders[level] = newHolder()
	}
	if slices.Contains(opt.Topology.Electors, opt.Rank) {
		n.elector = newElector()
		n.elector.due = now + int64(n.rng.Float64()*voteInterval)
	}
	return n, nil
}

func (n *Node) floor() float64 {
	return n.opt.Limit.Most * n.opt.Limit.Floor / float64(n.opt.Topology.Routers)
}

func (n *Node) pool() float64 { return n.opt.Limit.Most * (1 - n.opt.Limit.Floor) }

// Share is how much of the limit this router may have in use at present. What many routers use of shares below one, by drawing lots, keeps the limit in the
// mean; what they take with Take keeps it always.
func (n *Node) Share(now int64) float64 {
	return n.floor() + n.lessees[0].available(now+n.opt.Limit.Spare)
}

// Want tells how much of the limit this router could use at present.
func (n *Node) Want(amount float64) { n.want = amount }

// Take takes one from the limit; false: there is none to be had.
func (n *Node) Take(now int64) bool {
	if float64(n.inUse+1) > n.Share(now) {
		return false
	}
	n.inUse++
	return true
}

// Give gives one back.
func (n *Node) Give() { n.inUse = max(n.inUse-1, 0) }

// InUse is how many were taken and not given back.
func (n *Node) InUse() int { return n.inUse }

// Holder is the router from which this one has a lease for its own use; -1: none.
func (n *Node) Holder(now int64) int {
	if now >= n.lessees[0].lease.until {
		return Nobody
	}
	return n.lessees[0].holder
}

// Holds lists the levels of the groups that this router holds at present: it has a lease for them or, at the fleet's, is elected.
func (n *Node) Holds(now int64) (levels []int) {
	for level := 1; level < len(n.holders); level++ {
		if n.capacities(now, level)[0].until > now && n.holders[level].active(now) {
			levels = append(levels, level)
		}
	}
	return levels
}

// capacities are what this router may grant leases of at a level, the present one first.
func (n *Node) capacities(now int64, level int) []allotment {
	if level < n.opt.Topology.fleetLevel() {
		return n.lessees[level].leases(now)
	}
	return []allotment{{n.pool(), n.ballot.electedUntil(now, len(n.opt.Topology.Electors))}}
}

// maxWeight is the most routers that a request can be for on the wire.
const maxWeight = 1<<16 - 1

// tickInterval is how often Tick wants to be called.
const tickInterval = 50_000

// Tick sends what is due and returns the time by which it wants to be called again.
func (n *Node) Tick(now int64) (next int64) {
	if n.elector != nil && now >= n.elector.due {
		n.elector.due = now + voteInterval
		n.vote(now)
	}
	for level, l := range n.lessees {
		if now < l.due || level > 0 && !n.holders[level].active(now) {
			continue
		}
		interval := renewIntervalAt(level)
		l.due = now + interval + int64(n.rng.Float64()*float64(interval)/4)
		n.request(now, l)
	}
	return now + tickInterval
}

// request asks the holder of the group above for what is wanted.
func (n *Node) request(now int64, l *lessee) {
	before, level := l.holder, l.level+1
	order := func(rank int) uint64 { return Hash(level, rank) }
	to := l.chooseHolder(now, n.opt.Topology.members(level, n.opt.Rank), level == n.opt.Topology.fleetLevel(), n.up, order)
	if to != before {
		n.Change(level, to)
	}
	if to == Nobody {
		return
	}
	want, weight := max(n.want-n.floor(), 0), 1
	if l.level > 0 {
		want, weight = n.holders[l.level].demand(now), n.holders[l.level].weight(now)
	}
	m := Message{Kind: Request, Incarnation: n.opt.Incarnation, Level: level, Amount: want, Weight: min(weight, maxWeight), Number: l.send(now)}
	if to != n.opt.Rank {
		n.Counts.Sent++
		n.Send(to, m)
		return
	}
	amount, term := n.grant(now, n.opt.Rank, &m)
	l.receive(now, to, &Message{Incarnation: n.opt.Incarnation, Amount: amount, Term: term, Number: m.Number, Holder: n.knownHolder(now, level)})
}

// knownHolder is who is elected to hold the fleet, as far as an elector knows; nobody for other levels.
func (n *Node) knownHolder(now int64, level int) int {
	if level < n.opt.Topology.fleetLevel() || n.elector == nil || now-n.elector.electedAt >= hintLifetime {
		return Nobody
	}
	return n.elector.elected
}

func (n *Node) up(rank int) bool { return rank == n.opt.Rank || n.Up(rank) }

// Hash orders the candidates for holding something, the same at all routers: what is a number of its own for each thing that is held (D. Thaler, C. Ravishankar,
// "Using name-based mappings to increase hit rates", 1998).
func Hash(what, rank int) uint64 {
	x := uint64(what)<<32 | uint64(rank)
	x += 0x9e3779b97f4a7c15 // splitmix64
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// grant answers a request as the holder of a level's group.
func (n *Node) grant(now int64, from int, m *Message) (amount float64, term int64) {
	amount, term = n.holders[m.Level].grant(now, lesseeKey{from, m.Incarnation}, m.Amount, m.Weight, n.capacities(now, m.Level), lifetimeAt(m.Level-1))
	if term > 0 {
		n.Counts.Granted++
	}
	return amount, term
}

// vote tells the candidate that it has this elector's vote, or asks for the stamp that the vote echoes.
func (n *Node) vote(now int64) {
	e := n.elector
	if n.elected(now) {
		e.elected, e.electedAt = n.opt.Rank, now
		n.announce(now)
	}
	to := e.chooseCandidate(now, n.opt.Topology.Electors, func(rank int) uint64 { return Hash(n.opt.Topology.fleetLevel(), rank) })
	if to == Nobody {
		return
	}
	mayVote := now-n.started >= voteLifetime+voteLifetime*drift*2 // votes given before the start are forgotten
	if to == n.opt.Rank {
		if mayVote && (e.incarnation == n.opt.Incarnation || now >= e.until) {
			e.incarnation, e.until = n.opt.Incarnation, now+voteLifetime
			n.ballot.votes[to] = e.until
		}
		return
	}
	m := Message{Kind: Vote, Incarnation: n.opt.Incarnation}
	if mayVote && e.stamp != 0 && e.incarnation != 0 && e.unanswered < maxVotesUnanswered {
		m.Stamp, m.Of = e.stamp, e.incarnation
		e.until = now + voteLifetime
		n.Counts.Votes++
	}
	e.unanswered++
	n.Counts.Sent++
	n.Send(to, m)
}

// elected tells whether this router holds the fleet.
func (n *Node) elected(now int64) bool {
	return n.ballot.electedUntil(now, len(n.opt.Topology.Electors)) > now
}

// announce tells all other electors that this router holds the fleet: those that were cut off learn it so, and tell lessees that ask them.
func (n *Node) announce(now int64) {
	for _, rank := range n.opt.Topology.Electors {
		if rank != n.opt.Rank {
			n.Counts.Sent++
			n.Send(rank, Message{Kind: VoteAck, Incarnation: n.opt.Incarnation, Stamp: n.stampAt(now), Elected: true})
		}
	}
}

// stampAt is a time of this process in units of TermUnit; it begins anew after 49 days.
func (n *Node) stampAt(now int64) uint32 { return uint32((now - n.started) / TermUnit) }

// Receive takes in a message of another router and sends what it calls for. What has no place in the tree is dropped and counted.
func (n *Node) Receive(now int64, from int, m Message) {
	if !n.accepts(from, &m) {
		n.Counts.Dropped++
		return
	}
	switch m.Kind {
	case Request:
		amount, term := n.grant(now, from, &m)
		n.Counts.Sent++
		n.Send(from, Message{Kind: Grant, Incarnation: n.opt.Incarnation, Level: m.Level, Amount: amount, Term: term, Number: m.Number,
			Holder: n.knownHolder(now, m.Level)})
	case Grant:
		n.lessees[m.Level-1].receive(now, from, &m)
	case Vote:
		n.receiveVote(now, from, &m)
	case VoteAck:
		n.receiveVoteAck(now, from, &m)
	}
}

// accepts tells whether a message may come from that router.
func (n *Node) accepts(from int, m *Message) bool {
	t := &n.opt.Topology
	if from < 0 || from >= t.Routers || from == n.opt.Rank || m.Kind == 0 || m.Kind >= kindEnd {
		return false
	}
	switch m.Kind {
	case Request:
		if m.Level < 1 || m.Level > t.fleetLevel() || !(m.Amount >= 0) || m.Weight < 1 || m.Weight > maxWeight {
			return false
		}
		return t.sameGroup(m.Level, from, n.opt.Rank) && (m.Level < t.fleetLevel() || n.elector != nil)
	case Grant:
		return m.Level >= 1 && m.Level <= t.fleetLevel() && t.sameGroup(m.Level, from, n.opt.Rank) && m.Amount >= 0 && m.Amount <= n.pool() &&
			(m.Holder == Nobody || slices.Contains(t.Electors, m.Holder))
	}
	return n.elector != nil && slices.Contains(t.Electors, from)
}

func (n *Node) receiveVote(now int64, from int, m *Message) {
	age := int64(n.stampAt(now)-m.Stamp) * TermUnit
	if m.Of == n.opt.Incarnation && m.Stamp != 0 && age >= 0 && age < voteLifetime {
		n.ballot.votes[from] = max(n.ballot.votes[from], now-age-TermUnit+voteLifetime-voteLifetime*drift*2)
	}
	stamp := n.stampAt(now)
	if stamp == 0 {
		return // no stamp yet: the next vote will do
	}
	n.Counts.Sent++
	n.Send(from, Message{Kind: VoteAck, Incarnation: n.opt.Incarnation, Stamp: stamp, Elected: n.elected(now)})
}

func (n *Node) receiveVoteAck(now int64, from int, m *Message) {
	e := n.elector
	if m.Elected {
		e.elected, e.electedAt = from, now
	}
	if from != e.candidate {
		return
	}
	e.unanswered = 0
	if e.incarnation != 0 && m.Incarnation != e.incarnation && now < e.until {
		e.stamp = 0 // the vote was for the process before: it must end first
		return
	}
	if e.incarnation != 0 && m.Incarnation == e.incarnation && m.Stamp-e.stamp > 1<<31 {
		return // overtaken by a newer one
	}
	e.incarnation, e.stamp = m.Incarnation, m.Stamp
}
