package fleet

import "spantack/core/gossip"

// memberState is the state of a router as known to another router. The values are part of the wire format.
type memberState byte

// The states, in ascending order of severity. Only a dead member counts as down, because routers have observed that it
// does not respond. Unknown and suspect members count as up.
const (
	stateUnknown memberState = iota
	stateAlive
	stateSuspect
	stateDead
)

// String returns the state's name.
func (s memberState) String() string { return [...]string{"unknown", "alive", "suspect", "dead"}[s] }

// update is the state of one router, as datagrams carry it.
type update struct {
	rank        int
	incarnation uint32
	refutations uint16 // how often the router has refuted, in this incarnation, that it is suspect or dead
	state       memberState
}

// isSameVersion reports whether two updates about one router have the same incarnation and refutations.
func (u update) isSameVersion(other update) bool {
	return u.incarnation == other.incarnation && u.refutations == other.refutations
}

// supersedes reports whether u replaces other. The greater incarnation wins, then the greater number of refutations,
// then the more severe state.
func (u update) supersedes(other update) bool {
	if u.incarnation != other.incarnation {
		return u.incarnation > other.incarnation
	}
	if u.refutations != other.refutations {
		return u.refutations > other.refutations
	}
	return u.state > other.state
}

// member is what this router knows of a router.
type member struct {
	update // latest known state, which is also sent to others

	replayWindow   gossip.ReplayWindow // replay window for datagrams from the member
	lastReceivedAt int64               // time of the latest datagram from the member itself; 0: none
	transmissions  int                 // number of times that the update must still be sent

	// State while the member is suspect.
	suspectedAt     int64                 // time at which the suspicion started
	suspicionEndsAt int64                 // time at which the member is declared dead
	confirmedBy     [maxConfirmations]int // ranks of the members that suspect the member
	confirmations   int                   // number of entries of confirmedBy in use

	// needsSuspicionNotice is true if this router suspects the member. It is also true if others consider the member
	// suspect or dead although this router receives datagrams from it. While it is true, the datagrams to the member
	// include an update that the member is suspect. The member can then refute that update.
	needsSuspicionNotice bool
}

// noReporter is the reporter of the update with which this router declares a member dead when its suspicion of the
// member ends.
const noReporter = -1

// IsUp reports whether a router has not been declared dead.
func (n *Node) IsUp(rank int) bool {
	return rank == n.options.Rank || n.members[rank].state != stateDead
}

// LiveCount returns the number of routers that have not been declared dead, including this one.
func (n *Node) LiveCount() (live int) {
	for rank := range n.members {
		if n.IsUp(rank) {
			live++
		}
	}
	return live
}

// recordReceived records the arrival of a datagram from a member itself. This datagram is the latest evidence that the
// member is alive.
func (n *Node) recordReceived(now int64, m *member, incarnation uint32) {
	m.lastReceivedAt = now
	switch {
	case incarnation > m.incarnation:
		m.needsSuspicionNotice = false
		m.update = update{m.rank, incarnation, 0, stateAlive}
		n.queueUpdate(m)
	case incarnation == m.incarnation && m.state != stateAlive:
		// The datagram is evidence for this router only. For other routers, the member itself must refute the updates
		// that they have received.
		m.needsSuspicionNotice = m.needsSuspicionNotice || m.state >= stateSuspect
		m.state = stateAlive
	}
}

// applyUpdate applies a membership update. The reporter is the rank of the member that sent the update. It is this
// router's own rank after a failed probe, and noReporter when this router's suspicion of a member ends.
func (n *Node) applyUpdate(now int64, u update, reporter int) {
	m := &n.members[u.rank]
	switch {
	case u.rank == n.options.Rank:
		n.refute(m, u)
	case u.state == stateSuspect:
		n.applySuspect(now, m, u, reporter)
	case u.state == stateDead:
		n.applyDead(now, m, u, reporter)
	default:
		n.applyAlive(m, u)
	}
}

// applyAlive applies an update that a member is alive. Such an update is sent after the member has started or has
// refuted that it is suspect or dead.
func (n *Node) applyAlive(m *member, u update) {
	if u.supersedes(m.update) {
		m.replaceUpdate(u)
		n.queueUpdate(m)
	}
}

// refute refutes an update that this router is suspect or dead, if the update is about the current incarnation and has
// not been refuted yet.
func (n *Node) refute(self *member, u update) {
	isCurrent := u.incarnation == self.incarnation && u.refutations >= self.refutations
	if u.state < stateSuspect || !isCurrent {
		return
	}
	self.refutations = u.refutations + 1
	n.raiseHealthScore()
	n.queueUpdate(self)
}

// applySuspect applies an update that a member is suspect. It starts a suspicion or confirms an existing one.
func (n *Node) applySuspect(now int64, m *member, u update, reporter int) {
	if m.state == stateSuspect && u.isSameVersion(m.update) {
		n.confirmSuspicion(m, reporter)
		return
	}
	if !n.acceptsFailureUpdate(now, m, u, reporter) {
		return
	}
	m.replaceUpdate(u)
	n.startSuspicion(now, m, reporter)
	n.queueUpdate(m)
}

// applyDead applies an update that a member is dead.
func (n *Node) applyDead(now int64, m *member, u update, reporter int) {
	if n.acceptsFailureUpdate(now, m, u, reporter) {
		m.replaceUpdate(u)
		n.queueUpdate(m)
	}
}

// acceptsFailureUpdate reports whether an update that a member is suspect or dead replaces the member's known state. If
// evidence of this router contradicts the update, acceptsFailureUpdate returns false and the next datagrams notify the
// member.
func (n *Node) acceptsFailureUpdate(now int64, m *member, u update, reporter int) bool {
	if !u.supersedes(m.update) {
		return false
	}
	if n.contradicts(now, m, u, reporter) {
		m.needsSuspicionNotice = true
		return false
	}
	return true
}

// contradicts reports whether evidence of this router contradicts an update that a member is suspect or dead. The
// evidence is a datagram from the member within the last probeInterval. contradicts returns false if the update is
// about another incarnation than the known one, or if the update follows from a probe of this router.
func (n *Node) contradicts(now int64, m *member, u update, reporter int) bool {
	isRecent := m.lastReceivedAt != 0 && now-m.lastReceivedAt < probeInterval
	return isRecent && u.incarnation == m.incarnation && reporter != n.options.Rank
}

// replaceUpdate replaces the known state of a member.
func (m *member) replaceUpdate(u update) {
	if u.incarnation > m.incarnation || u.refutations > m.refutations {
		m.needsSuspicionNotice = false
	}
	m.update = u
}
