package gossip

// windowSize is the number of sequence numbers that a ReplayWindow tracks. The last of them is the greatest one
// received.
const windowSize = 64

// ReplayWindow rejects repeated and old datagrams of one router, and accepts datagrams that arrive out of order within
// the window.
type ReplayWindow struct {
	incarnation uint32 // greatest incarnation received
	sequence    uint32 // greatest sequence number received of that incarnation
	received    uint64 // bit i is set if sequence-i was received
}

// Accept reports whether a datagram is new, and records it as received. A datagram is rejected if it was accepted
// before, is of an earlier incarnation, or is windowSize or more sequence numbers behind the greatest one.
func (w *ReplayWindow) Accept(incarnation, sequence uint32) bool {
	switch age := w.sequence - sequence; {
	case incarnation > w.incarnation:
		*w = ReplayWindow{incarnation, sequence, 1}
	case incarnation < w.incarnation:
		return false
	case sequence > w.sequence:
		w.received = w.received<<(sequence-w.sequence) | 1
		w.sequence = sequence
	case age >= windowSize || w.received&(1<<age) != 0:
		return false
	default:
		w.received |= 1 << age
	}
	return true
}
