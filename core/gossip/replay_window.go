package gossip

// windowSize is how many sequence numbers up to the greatest one a ReplayWindow keeps account of.
const windowSize = 64

// ReplayWindow tells new datagrams of a router from old and repeated ones. Datagrams may overtake one another; one
// that was received is not accepted again.
type ReplayWindow struct {
	incarnation uint32 // the greatest received
	sequence    uint32 // the greatest received of that incarnation
	received    uint64 // bit i is set if sequence-i was received
}

// Accept reports whether a datagram is new, and books it if it is.
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
