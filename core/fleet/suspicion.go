package fleet

import (
	"math"
	"slices"
)

// maxConfirmations by others take a suspicion from its longest time to its shortest.
const maxConfirmations = 3

const (
	// suspicionTimeoutBase (us), times the logarithm of the fleet's size, is the shortest suspicion: in that time an
	// update reaches all, and its refutation comes back.
	suspicionTimeoutBase = 400_000
	// maxSuspicionTimeoutFactor, times the shortest suspicion, is the longest.
	maxSuspicionTimeoutFactor = 2
)

// minSuspicionTimeout is how long a suspicion lasts that maxConfirmations others confirm.
func (n *Node) minSuspicionTimeout() int64 { return suspicionTimeoutBase * int64(n.logFleetSize()) }

// maxSuspicionTimeout is how long a suspicion lasts that nobody confirms: longer, the more this router misses answers
// itself.
func (n *Node) maxSuspicionTimeout() int64 {
	return maxSuspicionTimeoutFactor * n.minSuspicionTimeout() * int64(2+n.healthScore) / 2
}

// startSuspicion gives a member, which has just become suspect, time to refute that.
func (n *Node) startSuspicion(now int64, m *member, reporter int) {
	m.suspectedAt = now
	m.confirmations = 0
	m.suspicionEndsAt = now + n.maxSuspicionTimeout()
	n.confirmSuspicion(m, reporter)
	m.needsSuspicionNotice = true
	// The member is told at once by the router that suspects it and some others (the buddy system of Lifeguard).
	if reporter == n.options.Rank || n.rng.IntN(n.options.FleetSize) < maxConfirmations {
		n.token++
		n.sendProbeMessage(m.rank, pingMessage, m.rank, n.token)
	}
}

// confirmSuspicion shortens a suspicion that another member shares.
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
		n.queueUpdate(m) // each further one is worth sending
	}
}

// prolongSuspicion gives a suspect that has just answered another member's probe time to refute the suspicion.
func (n *Node) prolongSuspicion(now int64, m *member) {
	if m.state == stateSuspect && now >= m.suspectedAt {
		m.suspicionEndsAt = max(m.suspicionEndsAt, now+n.minSuspicionTimeout())
	}
}

// expireSuspicions declares the members dead whose suspicion has ended.
func (n *Node) expireSuspicions(now int64) {
	for rank := range n.members {
		if m := &n.members[rank]; m.state == stateSuspect && now >= m.suspicionEndsAt {
			n.Counts.DeclaredDead++
			n.applyUpdate(now, update{rank, m.incarnation, m.refutations, stateDead}, noReporter)
		}
	}
}
