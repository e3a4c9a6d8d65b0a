package fleet

import (
	"fmt"
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"

	"spantack/core/lease"
	"spantack/core/peers"
)

// State is what a router is held for.
type State byte

// The states. A router of which nothing is known counts as up: only what was seen takes one out.
const (
	Unheard State = iota
	Alive
	Suspect
	Dead
)

func (s State) String() string { return [...]string{"unheard", "alive", "suspect", "dead"}[s] }

// Times in microseconds. A router that dies is declared dead by nearly all within 7 s in a fleet of 300, each asked once in that time or more.
const (
	probeInterval         = 500_000 // between two probes of a router, with up to a fifth more at random
	probeTimeout          = 150_000 // in which the answer to a direct probe is due, times 1 + health score
	indirectTimeout       = 350_000 // and that by indirect probes, from the first probe
	indirectProbes        = 3       // members that are asked to probe it too
	minSuspicion          = 400_000 // shortest suspicion, times the logarithm of the fleet: in that time an update gets round and its denial back
	maxSuspicionFactor    = 2       // times that is the longest
	confirmations         = 3       // as many others that suspect it too take a suspicion from its longest time to its shortest
	maxHealthScore        = 7       // Lifeguard's local health: what this router misses lengthens its patience
	deadProbeShare        = 0.5     // of the part declared dead, as a part of all probes, goes to those: halves of a fleet must find one another
	retransmitFactor      = 3       // times the logarithm of the fleet that an update is passed on
	maxIndirectProbes     = 64      // probes for others that are out
	indirectProbeLifetime = 2_000_000
	pauseThreshold        = 500_000 // between two calls of Tick: the process was stopped, or starved
)

// member is a router as this one knows it.
type member struct {
	update                     // what is known, and passed on
	window        peers.Window // datagrams of it that came
	heard         int64        // when; 0: never
	ends          int64        // of Suspect: when it is declared dead
	since         int64        // of Suspect
	confirmedBy   [3]int       // who else suspects it
	confirmed     int          // how many of them
	transmissions int          // how often the update is still to be passed on
	suspected     bool         // it was suspected or declared dead when it was heard itself: it must hear of that
}

// supersedes reports that a replaces b: by incarnation, refutation, and of the same the graver state.
func (a update) supersedes(b update) bool {
	if a.incarnation != b.incarnation {
		return a.incarnation > b.incarnation
	}
	if a.refuted != b.refuted {
		return a.refuted > b.refuted
	}
	return a.state > b.state
}

// probe is one that is under way.
type probe struct {
	target   int // -1: none
	token    uint32
	asked    int64
	indirect bool
}

// indirectProbe is one made for another member.
type indirectProbe struct {
	from  int
	token uint32
	at    int64
}

// Options say who speaks. All routers of a fleet are given the same Siblings, Depots and Limits.
type Options struct {
	Rank, Siblings int // of this router, and how many there are in the settings
	Depot, Depots  int
	Incarnation    uint32 // greater at each start of this router
	Seed           uint64
	Limits         []Limit
	// Tree has limits kept by a tree of leases (core/lease), the same at all routers; nil: by one holder for all.
	Tree *lease.Topology
}

// Counts of a Node since its start.
type Counts struct {
	Sent, Heard, Dropped int64
	Suspected, Died      int64 // what this router found by itself, or lived to see
	Granted, Votes       int64
}

// Node is one router's part. It is not safe for concurrent use. Send is told whom a datagram goes to, a rank or Broadcast; it must not keep the bytes.
type Node struct {
	Counts Counts
	Send   func(rank int, datagram []byte)
	// HolderChanged is told when this router asks another holder for leases of a limit's groups of a level; holder -1: none is known.
	HolderChanged func(limit, level, holder int)

	opt                Options
	rng                *rand.Rand
	started            int64
	now                int64 // when it was last called
	sequence           uint32
	token              uint32
	members            []member
	toSpread           []int // ranks whose updates are still to be passed on
	order              []int // in which members are asked, drawn anew each round
	next               int   // place in it
	due                int64 // the next probe
	probe              probe
	indirect           map[uint32]indirectProbe
	healthScore        int // Lifeguard: grows as this router itself misses answers
	limits             []*limitState
	trees              []*lease.Node // in place of limits, where Options.Tree is set
	health             *HealthReports
	received, outgoing message
	buf                []byte
}

// New returns a node that starts now and knows nothing but the settings. Its error names the option at fault.
func New(now int64, o Options) (*Node, error) {
	if err := peers.CheckPlace(o.Rank, o.Siblings, o.Depot, o.Depots); err != nil {
		return nil, err
	}
	if len(o.Limits) > maxLimits {
		return nil, fmt.Errorf("Limits: %d, %d at most", len(o.Limits), maxLimits)
	}
	n := &Node{opt: o, rng: rand.New(rand.NewPCG(o.Seed, uint64(o.Rank)<<32|uint64(o.Incarnation))), started: now,
		members: make([]member, o.Siblings), probe: probe{target: -1}, indirect: map[uint32]indirectProbe{}, Send: func(int, []byte) {},
		HolderChanged: func(int, int, int) {}}
	for rank := range n.members {
		n.members[rank].rank = rank
		if rank != o.Rank {
			n.order = append(n.order, rank)
		}
	}
	n.health = NewHealthReports(o.Depot, o.Siblings, n.rng, n.broadcastReport)
	me := &n.members[o.Rank]
	me.incarnation, me.state = o.Incarnation, Alive
	n.disseminate(me)
	n.shuffle()
	n.due = now + int64(n.rng.Float64()*probeInterval)
	if o.Tree != nil {
		return n, n.newTrees(now)
	}
	for i, l := range o.Limits {
		k, err := newLimitState(n, i, l)
		if err != nil {
			return nil, fmt.Errorf("Limits[%d].%w", i, err)
		}
		n.limits = append(n.limits, k)
	}
	return n, nil
}

// Up reports that a router is not declared dead.
func (n *Node) Up(rank int) bool { return rank == n.opt.Rank || n.members[rank].state != Dead }

// Living is how many routers are not declared dead, this one among them.
func (n *Node) Living() (living int) {
	for rank := range n.members {
		if n.Up(rank) {
			living++
		}
	}
	return living
}

// StateOf is what a router is held for.
func (n *Node) StateOf(rank int) State { return n.members[rank].state }

// disseminate makes an update go out with what is sent next.
func (n *Node) disseminate(m *member) {
	if m.transmissions == 0 {
		n.toSpread = append(n.toSpread, m.rank)
	}
	m.transmissions = retransmitFactor * bits.Len(uint(n.opt.Siblings))
}

func (n *Node) shuffle() {
	n.rng.Shuffle(len(n.order), func(i, j int) { n.order[i], n.order[j] = n.order[j], n.order[i] })
	n.next = 0
}

// send builds a datagram of n.outgoing, with updates, and hands it out.
func (n *Node) send(to int) {
	m := &n.outgoing
	n.sequence++
	m.rank, m.depot, m.incarnation, m.sequence = n.opt.Rank, n.opt.Depot, n.opt.Incarnation, n.sequence
	m.updates = m.updates[:0]
	withUpdates := to != Broadcast && m.op < treeRequest
	if withUpdates && n.members[to].suspected { // it must be told, so that it can refute that
		t := &n.members[to]
		m.updates = append(m.updates, update{t.rank, t.incarnation, t.refuted, Suspect})
	}
	room := (MaxDatagram - headSize - 1 - bodySizes[m.op]) / updateSize
	for i := 0; withUpdates && i < len(n.toSpread) && len(m.updates) < room; {
		t := &n.members[n.toSpread[i]]
		m.updates = append(m.updates, t.update)
		if t.transmissions--; t.transmissions == 0 {
			n.toSpread = slices.Delete(n.toSpread, i, i+1)
			continue
		}
		i++
	}
	if len(n.toSpread) > 1 { // the next datagram begins with others
		n.toSpread = append(n.toSpread[1:], n.toSpread[0])
	}
	n.Counts.Sent++
	n.buf = m.append(n.buf[:0])
	n.Send(to, n.buf)
}

func (n *Node) sendProbe(to int, o op, target int, token uint32) {
	n.outgoing.op, n.outgoing.target, n.outgoing.token = o, target, token
	n.outgoing.limit, n.outgoing.holder = 0, nobody
	if len(n.limits) > 0 { // of one limit at a time: who is known to keep it
		n.outgoing.limit = int(n.sequence) % len(n.limits)
		n.outgoing.holder = n.limits[n.outgoing.limit].currentHolder(n.now)
	}
	n.send(to)
}

// Tick does what is due and returns the time by which it wants to be called again.
func (n *Node) Tick(now int64) (next int64) {
	if gap := now - n.now; gap > pauseThreshold && n.now > 0 { // it is this process that was away, not the others
		n.probe.target, n.healthScore = -1, min(n.healthScore+1, maxHealthScore)
		for rank := range n.members {
			n.members[rank].ends += gap
		}
	}
	n.now = now
	n.probeNext(now)
	for rank := range n.members {
		if m := &n.members[rank]; m.state == Suspect && now >= m.ends {
			n.Counts.Died++
			n.apply(now, update{rank, m.incarnation, m.refuted, Dead}, -1)
		}
	}
	for token, r := range n.indirect {
		if now-r.at > indirectProbeLifetime {
			delete(n.indirect, token)
		}
	}
	for _, k := range n.limits {
		k.tick(now)
	}
	for _, tree := range n.trees {
		tree.Tick(now)
	}
	n.health.Tick(now)
	return now + tickInterval
}

// tickInterval is how often Tick wants to be called, in microseconds: a probe's answer is looked for no later than that.
const tickInterval = 50_000

// scaled is a time lengthened by how far this router misses answers itself.
func (n *Node) scaled(usual int64) int64 { return usual * int64(1+n.healthScore) }

// probeNext handles the probe under way, and starts the next.
func (n *Node) probeNext(now int64) {
	q := &n.probe
	switch {
	case q.target >= 0 && !q.indirect && now >= q.asked+n.scaled(probeTimeout):
		q.indirect = true
		for range indirectProbes {
			if by := n.order[n.rng.IntN(len(n.order))]; by != q.target && n.Up(by) {
				n.sendProbe(by, pingRequest, q.target, q.token)
			}
		}
	case q.target >= 0 && now >= q.asked+n.scaled(indirectTimeout):
		n.healthScore = min(n.healthScore+1, maxHealthScore)
		m := &n.members[q.target]
		q.target = -1
		n.Counts.Suspected++
		n.apply(now, update{m.rank, m.incarnation, m.refuted, Suspect}, n.opt.Rank)
	}
	if q.target >= 0 || now < n.due || len(n.order) == 0 {
		return
	}
	n.due = now + probeInterval + int64(n.rng.Float64()*probeInterval/5)
	dead := n.rng.Float64() < deadProbeShare*(1-float64(n.Living())/float64(n.opt.Siblings))
	for range n.order {
		if n.next >= len(n.order) {
			n.shuffle()
		}
		rank := n.order[n.next]
		n.next++
		if n.Up(rank) != dead {
			n.token++
			*q = probe{target: rank, token: n.token, asked: now}
			if dead { // it owes nothing; if it is there after all, what it answers shows that
				q.target = -1
			}
			n.sendProbe(rank, ping, rank, n.token)
			return
		}
	}
}

// Receive takes in a datagram of the router with that rank, as its address tells. Its error is ErrMalformed, ErrStranger or ErrOld, wrapped;
// nothing was taken in then. Its own datagrams, which come back where an address reaches all, are passed over.
func (n *Node) Receive(now int64, rank int, datagram []byte) error {
	if rank == n.opt.Rank {
		return nil
	}
	if err := n.receive(now, rank, datagram); err != nil {
		n.Counts.Dropped++
		return err
	}
	n.Counts.Heard++
	return nil
}

func (n *Node) receive(now int64, rank int, datagram []byte) error {
	n.now = max(n.now, now)
	m := &n.received
	if err := m.parse(datagram); err != nil {
		return err
	}
	if m.rank != rank || rank < 0 || rank >= n.opt.Siblings || m.depot >= n.opt.Depots {
		return fmt.Errorf("%w: rank %d, depot %d", ErrStranger, m.rank, m.depot)
	}
	from := &n.members[rank]
	if !from.window.Take(m.incarnation, m.sequence) {
		return fmt.Errorf("%w: rank %d, %d of %d", ErrOld, rank, m.sequence, m.incarnation)
	}
	from.heard = now
	switch {
	case m.incarnation > from.incarnation:
		from.suspected = false
		from.update = update{rank, m.incarnation, 0, Alive}
		n.disseminate(from)
	case m.incarnation == from.incarnation && from.state != Alive: // what was heard wins here; for the others it must speak itself
		from.suspected = from.suspected || from.state >= Suspect
		from.state = Alive
	}
	for _, r := range m.updates {
		if r.rank < n.opt.Siblings {
			n.apply(now, r, rank)
		}
	}
	if (m.op == ping || m.op == ack) && m.limit < len(n.limits) && m.holder < n.opt.Siblings {
		n.limits[m.limit].learnHolder(now, m.holder)
	}
	switch m.op {
	case ping:
		n.sendProbe(rank, ack, n.opt.Rank, m.token)
	case pingRequest:
		if m.target < n.opt.Siblings && m.target != n.opt.Rank && len(n.indirect) < maxIndirectProbes {
			n.token++
			n.indirect[n.token] = indirectProbe{rank, m.token, now}
			n.sendProbe(m.target, ping, m.target, n.token)
		}
	case ack:
		n.acked(now, m.target, m.token)
	case leaseRequest:
		if m.limit < len(n.limits) {
			n.limits[m.limit].handleRequest(now, m)
		}
	case leaseGrant:
		if m.limit < len(n.limits) {
			n.limits[m.limit].handleGrant(now, m)
		}
	case treeRequest, treeGrant, treeVote, treeVoteAck:
		n.receiveTree(now, rank, m)
	case report:
		n.health.Receive(now, m.server, m.condition, m.depot)
	}
	return nil
}

// acked ends a probe, this router's or one that it asked for another.
func (n *Node) acked(now int64, target int, token uint32) {
	if q := &n.probe; q.target == target && q.token == token {
		q.target = -1
		n.healthScore = max(n.healthScore-1, 0)
		if m := &n.members[target]; m.state == Suspect && now >= m.since { // another saw it: not dead
			m.ends = max(m.ends, now+n.shortest())
		}
		return
	}
	if r, known := n.indirect[token]; known {
		delete(n.indirect, token)
		n.sendProbe(r.from, ack, target, r.token)
	}
}

// apply takes in a membership update from a member; by is -1 where it follows from what is known here.
func (n *Node) apply(now int64, r update, by int) {
	m := &n.members[r.rank]
	if r.rank == n.opt.Rank {
		if r.state >= Suspect && r.incarnation == m.incarnation && r.refuted >= m.refuted { // not so
			m.refuted = r.refuted + 1
			n.healthScore = min(n.healthScore+1, maxHealthScore)
			n.disseminate(m)
		}
		return
	}
	if r.state == Suspect && m.state == Suspect && r.incarnation == m.incarnation && r.refuted == m.refuted {
		n.confirm(m, by)
		return
	}
	if !r.supersedes(m.update) {
		return
	}
	seen := r.incarnation == m.incarnation && m.heard != 0 && now-m.heard < probeInterval
	if seen && r.state >= Suspect && by != n.opt.Rank { // the newest own evidence wins over any word
		m.suspected = true
		return
	}
	if r.incarnation > m.incarnation || r.refuted > m.refuted {
		m.suspected = false
	}
	m.update = r
	if r.state == Suspect {
		m.since, m.confirmed = now, 0
		m.ends = now + n.suspicion()
		n.confirm(m, by)
		// Who is suspected hears of it at once from who found it and some others, and can deny it (Lifeguard's buddies).
		if m.suspected = true; by == n.opt.Rank || n.rng.IntN(n.opt.Siblings) < confirmations {
			n.token++
			n.sendProbe(m.rank, ping, m.rank, n.token)
		}
	}
	n.disseminate(m)
}

// suspicion is how long one that nobody shares lasts: longer, the more this router misses answers itself.
func (n *Node) suspicion() int64 {
	return maxSuspicionFactor * n.shortest() * int64(2+n.healthScore) / 2
}

// shortest is how long a suspicion lasts that so many others confirm.
func (n *Node) shortest() int64 { return minSuspicion * int64(bits.Len(uint(n.opt.Siblings))) }

// confirm shortens a suspicion that others share.
func (n *Node) confirm(m *member, by int) {
	if by < 0 || m.confirmed >= confirmations || slices.Contains(m.confirmedBy[:m.confirmed], by) {
		return
	}
	m.confirmedBy[m.confirmed] = by
	m.confirmed++
	most := float64(n.suspicion())
	part := math.Log(float64(m.confirmed)) / math.Log(confirmations)
	least := float64(n.shortest())
	m.ends = m.since + int64(max(most-(most-least)*part, least))
	if m.confirmed > 1 {
		n.disseminate(m) // each that joins is worth passing on
	}
}
