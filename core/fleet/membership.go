package fleet

import "spantack/core/gossip"

// memberState is what a router is taken for. The values are those on the wire.
type memberState byte

// The states, from the least to the gravest. A member of which nothing is known counts as up: only what was observed
// takes one out.
const (
	stateUnknown memberState = iota
	stateAlive
	stateSuspect
	stateDead
)

// String returns the state's name.
func (s memberState) String() string { return [...]string{"unknown", "alive", "suspect", "dead"}[s] }

// update is a membership update about one router.
type update struct {
	rank        int
	incarnation uint32
	refutations uint16 // how often that incarnation has refuted that it is suspect or dead
	state       memberState
}

// isSameVersion reports whether two updates about one router are of the same incarnation and refutation of it.
func (u update) isSameVersion(other update) bool {
	return u.incarnation == other.incarnation && u.refutations == other.refutations
}

// supersedes reports whether u replaces other: by incarnation, by refutations, and with the same of both by the
// graver state.
func (u update) supersedes(other update) bool {
	if u.incarnation != other.incarnation {
		return u.incarnation > other.incarnation
	}
	if u.refutations != other.refutations {
		return u.refutations > other.refutations
	}
	return u.state > other.state
}

// member is a router as this one knows it.
type member struct {
	update // what is known of it, and sent on

	replayWindow   gossip.ReplayWindow // of its datagrams
	lastReceivedAt int64               // of a datagram of its own; 0: none
	transmissions  int                 // how often the update is still to be sent

	// While suspect.
	suspectedAt     int64
	suspicionEndsAt int64                 // then it is declared dead
	confirmedBy     [maxConfirmations]int // who else suspects it
	confirmations   int                   // how many of confirmedBy count

	// needsSuspicionNotice tells that the member is suspected or declared dead by others while this router receives
	// from it: it must be told, so that it can refute that.
	needsSuspicionNotice bool
}

// noReporter stands for the reporter of an update that follows from what is known here.
const noReporter = -1

// IsUp reports whether a router is not declared dead.
func (n *Node) IsUp(rank int) bool {
	return rank == n.options.Rank || n.members[rank].state != stateDead
}

// LiveCount is how many routers are not declared dead, this one among them.
func (n *Node) LiveCount() (live int) {
	for rank := range n.members {
		if n.IsUp(rank) {
			live++
		}
	}
	return live
}

// noteReceivedFrom notes a datagram of a member itself, which is the newest evidence that there is of it.
func (n *Node) noteReceivedFrom(now int64, m *member, incarnation uint32) {
	m.lastReceivedAt = now
	switch {
	case incarnation > m.incarnation:
		m.needsSuspicionNotice = false
		m.update = update{m.rank, incarnation, 0, stateAlive}
		n.queueUpdate(m)
	case incarnation == m.incarnation && m.state != stateAlive:
		// The evidence counts here. Others believe only the member itself: it must refute what they have received.
		m.needsSuspicionNotice = m.needsSuspicionNotice || m.state >= stateSuspect
		m.state = stateAlive
	}
}

// applyUpdate takes in a membership update that a member sent, or that follows from what is known here.
func (n *Node) applyUpdate(now int64, u update, reporter int) {
	m := &n.members[u.rank]
	switch {
	case u.rank == n.options.Rank:
		n.refute(m, u)
	case u.state == stateSuspect:
		n.suspectMember(now, m, u, reporter)
	case u.state == stateDead:
		n.deadMember(now, m, u, reporter)
	default:
		n.aliveMember(m, u)
	}
}

// aliveMember takes in that a member has started anew, or has refuted what was held against it.
func (n *Node) aliveMember(m *member, u update) {
	if u.supersedes(m.update) {
		m.replaceUpdate(u)
		n.queueUpdate(m)
	}
}

// refute has this router deny that it is suspect or dead.
func (n *Node) refute(self *member, u update) {
	isAboutNow := u.incarnation == self.incarnation && u.refutations >= self.refutations
	if u.state < stateSuspect || !isAboutNow {
		return
	}
	self.refutations = u.refutations + 1
	n.raiseHealthScore()
	n.queueUpdate(self)
}

// suspectMember takes in that a member is suspected: a suspicion begins here or, if there is one, is confirmed.
func (n *Node) suspectMember(now int64, m *member, u update, reporter int) {
	if m.state == stateSuspect && u.isSameVersion(m.update) {
		n.confirmSuspicion(m, reporter)
		return
	}
	if !n.acceptsAgainst(now, m, u, reporter) {
		return
	}
	m.replaceUpdate(u)
	n.startSuspicion(now, m, reporter)
	n.queueUpdate(m)
}

// deadMember takes in that a member is declared dead.
func (n *Node) deadMember(now int64, m *member, u update, reporter int) {
	if n.acceptsAgainst(now, m, u, reporter) {
		m.replaceUpdate(u)
		n.queueUpdate(m)
	}
}

// acceptsAgainst reports whether an update by which a member is suspect or dead replaces what is known of it. If this
// router's own evidence contradicts it, the member is to be told instead.
func (n *Node) acceptsAgainst(now int64, m *member, u update, reporter int) bool {
	if !u.supersedes(m.update) {
		return false
	}
	if n.contradicts(now, m, u, reporter) {
		m.needsSuspicionNotice = true
		return false
	}
	return true
}

// contradicts reports whether this router has received from a member so lately that it takes no other's word, only
// its own, for an update against that member.
func (n *Node) contradicts(now int64, m *member, u update, reporter int) bool {
	isRecent := m.lastReceivedAt != 0 && now-m.lastReceivedAt < probeInterval
	return isRecent && u.incarnation == m.incarnation && reporter != n.options.Rank
}

// replaceUpdate replaces what is known of a member.
func (m *member) replaceUpdate(u update) {
	if u.incarnation > m.incarnation || u.refutations > m.refutations {
		m.needsSuspicionNotice = false
	}
	m.update = u
}
