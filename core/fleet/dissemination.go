package fleet

import (
	"math/bits"
	"slices"
)

// retransmitFactor, multiplied by logFleetSize, is the number of times that an update is sent.
const retransmitFactor = 3

// queueUpdate queues the update about a member. The next datagrams that carry updates include it.
func (n *Node) queueUpdate(m *member) {
	if m.transmissions == 0 {
		n.pendingUpdates = append(n.pendingUpdates, m.rank)
	}
	m.transmissions = retransmitFactor * n.logFleetSize()
}

// logFleetSize returns the logarithm to base 2 of the size of the fleet, rounded down, plus one.
func (n *Node) logFleetSize() int { return bits.Len(uint(n.options.FleetSize)) }

// selectUpdates returns the updates to send with a message, as many as fit, and counts them as sent. Broadcasts and
// messages of core/lease include no updates, because probes already carry them, and a holder sends many messages of
// core/lease. The next call reuses the returned slice.
func (n *Node) selectUpdates(to int, kind messageKind) []update {
	updates := n.updatesToSend[:0]
	if to != Broadcast && !kind.isTreeMessage() {
		if m := &n.members[to]; m.needsSuspicionNotice {
			updates = append(updates, update{m.rank, m.incarnation, m.refutations, stateSuspect})
		}
		room := (MaxDatagramSize - headerSize - kind.bodySize()) / updateSize
		updates = n.appendPending(updates, room)
	}
	if len(n.pendingUpdates) > 1 { // rotate, so that the next datagram starts with another update
		n.pendingUpdates = append(n.pendingUpdates[1:], n.pendingUpdates[0])
	}
	n.updatesToSend = updates
	return updates
}

// appendPending appends pending updates to updates, up to a total of room.
func (n *Node) appendPending(updates []update, room int) []update {
	for i := 0; i < len(n.pendingUpdates) && len(updates) < room; {
		m := &n.members[n.pendingUpdates[i]]
		updates = append(updates, m.update)
		m.transmissions--
		if m.transmissions == 0 {
			n.pendingUpdates = slices.Delete(n.pendingUpdates, i, i+1)
			continue
		}
		i++
	}
	return updates
}
