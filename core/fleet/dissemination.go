package fleet

import (
	"math/bits"
	"slices"
)

// retransmitFactor, times the logarithm of the fleet's size, is how often an update is sent.
const retransmitFactor = 3

// queueUpdate has the update about a member sent with the datagrams that follow.
func (n *Node) queueUpdate(m *member) {
	if m.transmissions == 0 {
		n.pendingUpdates = append(n.pendingUpdates, m.rank)
	}
	m.transmissions = retransmitFactor * n.logFleetSize()
}

// logFleetSize is the logarithm of the fleet's size to base 2, rounded down, plus one.
func (n *Node) logFleetSize() int { return bits.Len(uint(n.options.FleetSize)) }

// takeUpdates returns the updates to be sent with a message, as many as there is room for, and counts them as sent. A
// broadcast and a message of core/lease have none: a holder sends many of these, and updates go out with probes. The
// slice is used again by the next call.
func (n *Node) takeUpdates(to int, kind messageKind) []update {
	updates := n.updatesToSend[:0]
	if to != Broadcast && !kind.isOfTree() {
		if m := &n.members[to]; m.needsSuspicionNotice {
			updates = append(updates, update{m.rank, m.incarnation, m.refutations, stateSuspect})
		}
		room := (MaxDatagramSize - headerSize - kind.bodySize()) / updateSize
		updates = n.takePending(updates, room)
	}
	if len(n.pendingUpdates) > 1 { // the next datagram begins with others
		n.pendingUpdates = append(n.pendingUpdates[1:], n.pendingUpdates[0])
	}
	n.updatesToSend = updates
	return updates
}

// takePending appends pending updates until there are as many as there is room for.
func (n *Node) takePending(updates []update, room int) []update {
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
