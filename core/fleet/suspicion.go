package fleet

import (
	"math"
	"slices"
)

// maxConfirmations is the number of members, including the first reporter, that must suspect a member for the suspicion
// to have the shortest timeout.
const maxConfirmations = 3

const (
	// suspicionTimeoutBase (us), multiplied by logFleetSize, is the shortest suspicion timeout. In that time an update
	// reaches all members, and the refutation of the suspected member arrives at this router.
	suspicionTimeoutBase = 400_000
	// maxSuspicionTimeoutFactor is the ratio of the longest suspicion timeout to the shortest, at a health score of 0.
	maxSuspicionTimeoutFactor = 2
)

// minSuspicionTimeout returns the suspicion timeout (us) of a member that maxConfirmations members suspect.
func (n *Node) minSuspicionTimeout() int64 { return suspicionTimeoutBase * int64(n.logFleetSize()) }

// maxSuspicionTimeout returns the suspicion timeout (us) of a member that only one member suspects. The timeout grows
// with the health score of this router.
func (n *Node) maxSuspicionTimeout() int64 {
	return maxSuspicionTimeoutFactor * n.minSuspicionTimeout() * int64(2+n.healthScore) / 2
}

// startSuspicion starts the suspicion timeout of a member. Until the timeout ends, the member can refute the suspicion.
func (n *Node) startSuspicion(now int64, m *member, reporter int) {
	m.suspectedAt = now
	m.confirmations = 0
	m.suspicionEndsAt = now + n.maxSuspicionTimeout()
	n.confirmSuspicion(m, reporter)
	m.needsSuspicionNotice = true
	// The router that suspects the member and a few other routers notify the member at once (the buddy system of
	// Lifeguard).
	if reporter == n.options.Rank || n.rng.IntN(n.options.FleetSize) < maxConfirmations {
		n.token++
		n.sendProbeMessage(m.rank, pingMessage, m.rank, n.token)
	}
}

// confirmSuspicion records a reporter that suspects a member and shortens the suspicion.
func (n *Node) confirmSuspicion(m *member, reporter int) {
	if reporter == noReporter || m.confirmations >= maxConfirmations {
		return
	}
	if slices.Contains(m.confirmedBy[:m.confirmations], reporter) {
		return
	}
	m.confirmedBy[m.confirmations] = reporter
	m.confirmations++
	longest := float64(n.maxSuspicionTimeout())
	shortest := float64(n.minSuspicionTimeout())
	fraction := math.Log(float64(m.confirmations)) / math.Log(maxConfirmations)
	m.suspicionEndsAt = m.suspectedAt + int64(max(longest-(longest-shortest)*fraction, shortest))
	if m.confirmations > 1 {
		n.queueUpdate(m) // send the update again, because other members also count confirmations
	}
}

// prolongSuspicion extends the suspicion of a member from which an ack of a probe of this router has just arrived. The
// member thereby has time to refute the suspicion.
func (n *Node) prolongSuspicion(now int64, m *member) {
	if m.state == stateSuspect && now >= m.suspectedAt {
		m.suspicionEndsAt = max(m.suspicionEndsAt, now+n.minSuspicionTimeout())
	}
}

// expireSuspicions declares members dead when their suspicion has ended.
func (n *Node) expireSuspicions(now int64) {
	for rank := range n.members {
		if m := &n.members[rank]; m.state == stateSuspect && now >= m.suspicionEndsAt {
			n.Counts.DeclaredDead++
			n.applyUpdate(now, update{rank, m.incarnation, m.refutations, stateDead}, noReporter)
		}
	}
}
