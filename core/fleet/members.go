package fleet

import (
	"fmt"
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"

	"spantack/core/gossip"
	"spantack/core/lease"
)

// MemberState is what a router is held for.
type MemberState byte

// The states. A router of which nothing is known counts as up: only what was seen takes one out.
const (
	StateUnknown MemberState = iota
	StateAlive
	StateSuspect
	StateDead
)

func (s MemberState) String() string { return [...]string{"unheard", "alive", "suspect", "dead"}[s] }

// Times in microseconds. A router that dies is declared dead by nearly all within 7 s in a fleet of 300, each asked once in that time or more.
const (
	probeInterval             = 500_000 // between two probes of a router, with up to a fifth more at random
	probeTimeout              = 150_000 // in which the answer to a direct probe is due, times 1 + health score
	indirectTimeout           = 350_000 // and that by indirect probes, from the first probe
	indirectProbes            = 3       // members that are asked to probe it too
	suspicionTimeoutBase      = 400_000 // shortest suspicion, times the logarithm of the fleet: in that time an update gets round and its denial back
	maxSuspicionTimeoutFactor = 2       // times that is the longest
	maxConfirmations          = 3       // as many others that suspect it too take a suspicion from its longest time to its shortest
	maxHealthScore            = 7       // Lifeguard's local health: what this router misses lengthens its patience
	deadProbeFraction         = 0.5     // of the part declared dead, as a part of all probes, goes to those: halves of a fleet must find one another
	retransmitFactor          = 3       // times the logarithm of the fleet that an update is passed on
	maxIndirectProbes         = 64      // probes for others that are out
	indirectProbeLifetime     = 2_000_000
	pauseThreshold            = 500_000 // between two calls of Tick: the process was stopped, or starved
)

// member is a router as this one knows it.
type member struct {
	update                                   // what is known, and passed on
	replayWindow         gossip.ReplayWindow // datagrams of it that came
	lastReceivedAt       int64               // when; 0: never
	suspicionEndsAt      int64               // of StateSuspect: when it is declared dead
	suspectedAt          int64               // of StateSuspect
	confirmedBy          [3]int              // who else suspects it
	confirmations        int                 // how many of them
	transmissions        int                 // how often the update is still to be passed on
	needsSuspicionNotice bool                // it was suspected or declared dead when it was heard itself: it must hear of that
}

// supersedes reports that a replaces b: by incarnation, refutation, and of the same the graver state.
func (a update) supersedes(b update) bool {
	if a.incarnation != b.incarnation {
		return a.incarnation > b.incarnation
	}
	if a.refutations != b.refutations {
		return a.refutations > b.refutations
	}
	return a.state > b.state
}

// probe is one that is under way.
type probe struct {
	target   int // -1: none
	token    uint32
	sentAt   int64
	indirect bool
}

// indirectProbe is one made for another member.
type indirectProbe struct {
	requester      int
	requesterToken uint32
	sentAt         int64
}

// Options say who speaks. All routers of a fleet are given the same Siblings, Depots and Limits.
type Options struct {
	Rank, FleetSize int // of this router, and how many there are in the settings
	Site, Sites     int
	Incarnation     uint32 // greater at each start of this router
	Seed            uint64
	Limits          []Limit
	// LeaseTree has limits kept by a tree of leases (core/lease), the same at all routers; nil: by one holder for all.
	LeaseTree *lease.Topology
}

// Counts of a Node since its start.
type Counts struct {
	Sent, Received, Dropped  int64
	Suspected, DeclaredDead  int64 // what this router found by itself, or lived to see
	LeasesGranted, VotesSent int64
}

// Node is one router's part. It is not safe for concurrent use. Send is told whom a datagram goes to, a rank or Broadcast; it must not keep the bytes.
type Node struct {
	Counts Counts
	Send   func(rank int, datagram []byte)
	// OnHolderChange is told when this router asks another holder for leases of a limit's groups of a level; holder -1: none is known.
	OnHolderChange func(limit, level, holder int)

	options            Options
	rng                *rand.Rand
	startedAt          int64
	lastCalledAt       int64 // when it was last called
	sequence           uint32
	token              uint32
	members            []member
	pendingUpdates     []int // ranks whose updates are still to be passed on
	probeOrder         []int // in which members are asked, drawn anew each round
	probeIndex         int   // place in it
	nextProbeAt        int64 // the next probe
	currentProbe       probe
	indirectProbes     map[uint32]indirectProbe
	healthScore        int // Lifeguard: grows as this router itself misses answers
	limits             []*limitState
	leaseTrees         []*lease.Node // in place of limits, where Options.LeaseTree is set
	healthReports      *HealthReports
	received, outgoing message
	sendBuffer         []byte
}

// New returns a node that starts now and knows nothing but the settings. Its error names the option at fault.
func New(now int64, o Options) (*Node, error) {
	if err := gossip.ValidatePlacement(o.Rank, o.FleetSize, o.Site, o.Sites); err != nil {
		return nil, err
	}
	if len(o.Limits) > maxLimits {
		return nil, fmt.Errorf("Limits: %d, %d at most", len(o.Limits), maxLimits)
	}
	n := &Node{options: o, rng: rand.New(rand.NewPCG(o.Seed, uint64(o.Rank)<<32|uint64(o.Incarnation))), startedAt: now,
		members: make([]member, o.FleetSize), currentProbe: probe{target: -1}, indirectProbes: map[uint32]indirectProbe{}, Send: func(int, []byte) {},
		OnHolderChange: func(int, int, int) {}}
	for rank := range n.members {
		n.members[rank].rank = rank
		if rank != o.Rank {
			n.probeOrder = append(n.probeOrder, rank)
		}
	}
	n.healthReports = NewHealthReports(o.Site, o.FleetSize, n.rng, n.broadcastReport)
	me := &n.members[o.Rank]
	me.incarnation, me.state = o.Incarnation, StateAlive
	n.queueUpdate(me)
	n.shuffleProbeOrder()
	n.nextProbeAt = now + int64(n.rng.Float64()*probeInterval)
	if o.LeaseTree != nil {
		return n, n.addLeaseTrees(now)
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

// IsUp reports that a router is not declared dead.
func (n *Node) IsUp(rank int) bool {
	return rank == n.options.Rank || n.members[rank].state != StateDead
}

// LiveCount is how many routers are not declared dead, this one among them.
func (n *Node) LiveCount() (living int) {
	for rank := range n.members {
		if n.IsUp(rank) {
			living++
		}
	}
	return living
}

// StateOf is what a router is held for.
func (n *Node) StateOf(rank int) MemberState { return n.members[rank].state }

// queueUpdate makes an update go out with what is sent next.
func (n *Node) queueUpdate(m *member) {
	if m.transmissions == 0 {
		n.pendingUpdates = append(n.pendingUpdates, m.rank)
	}
	m.transmissions = retransmitFactor * bits.Len(uint(n.options.FleetSize))
}

func (n *Node) shuffleProbeOrder() {
	n.rng.Shuffle(len(n.probeOrder), func(i, j int) { n.probeOrder[i], n.probeOrder[j] = n.probeOrder[j], n.probeOrder[i] })
	n.probeIndex = 0
}

// send builds a datagram of n.outgoing, with updates, and hands it out.
func (n *Node) send(to int) {
	m := &n.outgoing
	n.sequence++
	m.rank, m.site, m.incarnation, m.sequence = n.options.Rank, n.options.Site, n.options.Incarnation, n.sequence
	m.updates = m.updates[:0]
	withUpdates := to != Broadcast && m.kind < treeRequestMessage
	if withUpdates && n.members[to].needsSuspicionNotice { // it must be told, so that it can refute that
		t := &n.members[to]
		m.updates = append(m.updates, update{t.rank, t.incarnation, t.refutations, StateSuspect})
	}
	room := (MaxDatagramSize - headerSize - 1 - bodySizes[m.kind]) / updateSize
	for i := 0; withUpdates && i < len(n.pendingUpdates) && len(m.updates) < room; {
		t := &n.members[n.pendingUpdates[i]]
		m.updates = append(m.updates, t.update)
		if t.transmissions--; t.transmissions == 0 {
			n.pendingUpdates = slices.Delete(n.pendingUpdates, i, i+1)
			continue
		}
		i++
	}
	if len(n.pendingUpdates) > 1 { // the next datagram begins with others
		n.pendingUpdates = append(n.pendingUpdates[1:], n.pendingUpdates[0])
	}
	n.Counts.Sent++
	n.sendBuffer = m.append(n.sendBuffer[:0])
	n.Send(to, n.sendBuffer)
}

func (n *Node) sendProbeMessage(to int, o messageKind, target int, token uint32) {
	n.outgoing.kind, n.outgoing.target, n.outgoing.token = o, target, token
	n.outgoing.limit, n.outgoing.holder = 0, noRank
	if len(n.limits) > 0 { // of one limit at a time: who is known to keep it
		n.outgoing.limit = int(n.sequence) % len(n.limits)
		n.outgoing.holder = n.limits[n.outgoing.limit].currentHolder(n.lastCalledAt)
	}
	n.send(to)
}

// Tick does what is due and returns the time by which it wants to be called again.
func (n *Node) Tick(now int64) (next int64) {
	if gap := now - n.lastCalledAt; gap > pauseThreshold && n.lastCalledAt > 0 { // it is this process that was away, not the others
		n.currentProbe.target, n.healthScore = -1, min(n.healthScore+1, maxHealthScore)
		for rank := range n.members {
			n.members[rank].suspicionEndsAt += gap
		}
	}
	n.lastCalledAt = now
	n.advanceProbe(now)
	for rank := range n.members {
		if m := &n.members[rank]; m.state == StateSuspect && now >= m.suspicionEndsAt {
			n.Counts.DeclaredDead++
			n.applyUpdate(now, update{rank, m.incarnation, m.refutations, StateDead}, -1)
		}
	}
	for token, r := range n.indirectProbes {
		if now-r.sentAt > indirectProbeLifetime {
			delete(n.indirectProbes, token)
		}
	}
	for _, k := range n.limits {
		k.tick(now)
	}
	for _, tree := range n.leaseTrees {
		tree.Tick(now)
	}
	n.healthReports.Tick(now)
	return now + tickInterval
}

// tickInterval is how often Tick wants to be called, in microseconds: a probe's answer is looked for no later than that.
const tickInterval = 50_000

// scaleTimeout is a time lengthened by how far this router misses answers itself.
func (n *Node) scaleTimeout(usual int64) int64 { return usual * int64(1+n.healthScore) }

// advanceProbe handles the probe under way, and starts the next.
func (n *Node) advanceProbe(now int64) {
	q := &n.currentProbe
	switch {
	case q.target >= 0 && !q.indirect && now >= q.sentAt+n.scaleTimeout(probeTimeout):
		q.indirect = true
		for range indirectProbes {
			if by := n.probeOrder[n.rng.IntN(len(n.probeOrder))]; by != q.target && n.IsUp(by) {
				n.sendProbeMessage(by, indirectPingMessage, q.target, q.token)
			}
		}
	case q.target >= 0 && now >= q.sentAt+n.scaleTimeout(indirectTimeout):
		n.healthScore = min(n.healthScore+1, maxHealthScore)
		m := &n.members[q.target]
		q.target = -1
		n.Counts.Suspected++
		n.applyUpdate(now, update{m.rank, m.incarnation, m.refutations, StateSuspect}, n.options.Rank)
	}
	if q.target >= 0 || now < n.nextProbeAt || len(n.probeOrder) == 0 {
		return
	}
	n.nextProbeAt = now + probeInterval + int64(n.rng.Float64()*probeInterval/5)
	dead := n.rng.Float64() < deadProbeFraction*(1-float64(n.LiveCount())/float64(n.options.FleetSize))
	for range n.probeOrder {
		if n.probeIndex >= len(n.probeOrder) {
			n.shuffleProbeOrder()
		}
		rank := n.probeOrder[n.probeIndex]
		n.probeIndex++
		if n.IsUp(rank) != dead {
			n.token++
			*q = probe{target: rank, token: n.token, sentAt: now}
			if dead { // it owes nothing; if it is there after all, what it answers shows that
				q.target = -1
			}
			n.sendProbeMessage(rank, pingMessage, rank, n.token)
			return
		}
	}
}

// Receive takes in a datagram of the router with that rank, as its address tells. Its error is ErrMalformed, ErrUnknownSender or ErrStale, wrapped;
// nothing was taken in then. Its own datagrams, which come back where an address reaches all, are passed over.
func (n *Node) Receive(now int64, rank int, datagram []byte) error {
	if rank == n.options.Rank {
		return nil
	}
	if err := n.receive(now, rank, datagram); err != nil {
		n.Counts.Dropped++
		return err
	}
	n.Counts.Received++
	return nil
}

func (n *Node) receive(now int64, rank int, datagram []byte) error {
	n.lastCalledAt = max(n.lastCalledAt, now)
	m := &n.received
	if err := m.parse(datagram); err != nil {
		return err
	}
	if m.rank != rank || rank < 0 || rank >= n.options.FleetSize || m.site >= n.options.Sites {
		return fmt.Errorf("%w: rank %d, depot %d", ErrUnknownSender, m.rank, m.site)
	}
	from := &n.members[rank]
	if !from.replayWindow.Accept(m.incarnation, m.sequence) {
		return fmt.Errorf("%w: rank %d, %d of %d", ErrStale, rank, m.sequence, m.incarnation)
	}
	from.lastReceivedAt = now
	switch {
	case m.incarnation > from.incarnation:
		from.needsSuspicionNotice = false
		from.update = update{rank, m.incarnation, 0, StateAlive}
		n.queueUpdate(from)
	case m.incarnation == from.incarnation && from.state != StateAlive: // what was heard wins here; for the others it must speak itself
		from.needsSuspicionNotice = from.needsSuspicionNotice || from.state >= StateSuspect
		from.state = StateAlive
	}
	for _, r := range m.updates {
		if r.rank < n.options.FleetSize {
			n.applyUpdate(now, r, rank)
		}
	}
	if (m.kind == pingMessage || m.kind == ackMessage) && m.limit < len(n.limits) && m.holder < n.options.FleetSize {
		n.limits[m.limit].noteHolderHint(now, m.holder)
	}
	switch m.kind {
	case pingMessage:
		n.sendProbeMessage(rank, ackMessage, n.options.Rank, m.token)
	case indirectPingMessage:
		if m.target < n.options.FleetSize && m.target != n.options.Rank && len(n.indirectProbes) < maxIndirectProbes {
			n.token++
			n.indirectProbes[n.token] = indirectProbe{rank, m.token, now}
			n.sendProbeMessage(m.target, pingMessage, m.target, n.token)
		}
	case ackMessage:
		n.handleAck(now, m.target, m.token)
	case leaseRequestMessage:
		if m.limit < len(n.limits) {
			n.limits[m.limit].handleRequest(now, m)
		}
	case leaseGrantMessage:
		if m.limit < len(n.limits) {
			n.limits[m.limit].handleGrant(now, m)
		}
	case treeRequestMessage, treeGrantMessage, treeVoteMessage, treeVoteAckMessage:
		n.handleTreeMessage(now, rank, m)
	case healthReportMessage:
		n.healthReports.Receive(now, m.server, m.condition, m.site)
	}
	return nil
}

// handleAck ends a probe, this router's or one that it asked for another.
func (n *Node) handleAck(now int64, target int, token uint32) {
	if q := &n.currentProbe; q.target == target && q.token == token {
		q.target = -1
		n.healthScore = max(n.healthScore-1, 0)
		if m := &n.members[target]; m.state == StateSuspect && now >= m.suspectedAt { // another saw it: not dead
			m.suspicionEndsAt = max(m.suspicionEndsAt, now+n.minSuspicionTimeout())
		}
		return
	}
	if r, known := n.indirectProbes[token]; known {
		delete(n.indirectProbes, token)
		n.sendProbeMessage(r.requester, ackMessage, target, r.requesterToken)
	}
}

// applyUpdate takes in a membership update from a member; by is -1 where it follows from what is known here.
func (n *Node) applyUpdate(now int64, r update, by int) {
	m := &n.members[r.rank]
	if r.rank == n.options.Rank {
		if r.state >= StateSuspect && r.incarnation == m.incarnation && r.refutations >= m.refutations { // not so
			m.refutations = r.refutations + 1
			n.healthScore = min(n.healthScore+1, maxHealthScore)
			n.queueUpdate(m)
		}
		return
	}
	if r.state == StateSuspect && m.state == StateSuspect && r.incarnation == m.incarnation && r.refutations == m.refutations {
		n.confirmSuspicion(m, by)
		return
	}
	if !r.supersedes(m.update) {
		return
	}
	seen := r.incarnation == m.incarnation && m.lastReceivedAt != 0 && now-m.lastReceivedAt < probeInterval
	if seen && r.state >= StateSuspect && by != n.options.Rank { // the newest own evidence wins over any word
		m.needsSuspicionNotice = true
		return
	}
	if r.incarnation > m.incarnation || r.refutations > m.refutations {
		m.needsSuspicionNotice = false
	}
	m.update = r
	if r.state == StateSuspect {
		m.suspectedAt, m.confirmations = now, 0
		m.suspicionEndsAt = now + n.maxSuspicionTimeout()
		n.confirmSuspicion(m, by)
		// Who is suspected hears of it at once from who found it and some others, and can deny it (Lifeguard's buddies).
		if m.needsSuspicionNotice = true; by == n.options.Rank || n.rng.IntN(n.options.FleetSize) < maxConfirmations {
			n.token++
			n.sendProbeMessage(m.rank, pingMessage, m.rank, n.token)
		}
	}
	n.queueUpdate(m)
}

// maxSuspicionTimeout is how long one that nobody shares lasts: longer, the more this router misses answers itself.
func (n *Node) maxSuspicionTimeout() int64 {
	return maxSuspicionTimeoutFactor * n.minSuspicionTimeout() * int64(2+n.healthScore) / 2
}

// minSuspicionTimeout is how long a suspicion lasts that so many others confirm.
func (n *Node) minSuspicionTimeout() int64 {
	return suspicionTimeoutBase * int64(bits.Len(uint(n.options.FleetSize)))
}

// confirmSuspicion shortens a suspicion that others share.
func (n *Node) confirmSuspicion(m *member, by int) {
	if by < 0 || m.confirmations >= maxConfirmations || slices.Contains(m.confirmedBy[:m.confirmations], by) {
		return
	}
	m.confirmedBy[m.confirmations] = by
	m.confirmations++
	most := float64(n.maxSuspicionTimeout())
	part := math.Log(float64(m.confirmations)) / math.Log(maxConfirmations)
	least := float64(n.minSuspicionTimeout())
	m.suspicionEndsAt = m.suspectedAt + int64(max(most-(most-least)*part, least))
	if m.confirmations > 1 {
		n.queueUpdate(m) // each that joins is worth passing on
	}
}
