package lease

import "fmt"

// MessageKind is what a message does.
type MessageKind byte

// The kinds of messages.
const (
	// KindRequest asks a holder for a lease.
	KindRequest MessageKind = iota + 1
	// KindGrant answers a KindRequest. Its Term is 0 if there is no lease to be had.
	KindGrant
	// KindVote is an elector's vote for the fleet's holder, or asks for the stamp that its vote is to echo.
	KindVote
	// KindVoteAck answers a KindVote with the stamp that the next vote echoes, or announces an elected holder.
	KindVoteAck

	kindEnd // the first value that is no kind
)

// String returns the kind's name.
func (k MessageKind) String() string {
	if k == 0 || k >= kindEnd {
		return fmt.Sprintf("MessageKind(%d)", byte(k))
	}
	return [...]string{KindRequest: "request", KindGrant: "grant", KindVote: "vote", KindVoteAck: "vote ack"}[k]
}

// Message goes from one router to another. Which fields count depends on its kind.
type Message struct {
	Kind MessageKind
	// Incarnation is that of the sender.
	Incarnation uint32

	// Level is that of the group whose holder a request is for, and a grant is from.
	Level int
	// Amount is what a request asks for and a grant gives, of the pool.
	Amount float64
	// Weight is how many routers a request is for.
	Weight int
	// Term is how long (us) a grant lasts, counted from when its request was sent.
	Term int64
	// RequestNumber numbers the requests of a sender, from 1, and is echoed by their grants.
	RequestNumber uint32
	// KnownHolder is, in a grant of the fleet's level, the router that is elected as far as the sender knows; else
	// NoRank.
	KnownHolder int

	// Stamp is, in a vote ack, the candidate's own time in units of TermUnit, and is echoed by the next vote for it.
	// 0: none.
	Stamp uint32
	// CandidateIncarnation is, in a vote, the incarnation of the candidate that sent the stamp.
	CandidateIncarnation uint32
	// IsElected tells, in a vote ack, that its sender is elected as the fleet's holder.
	IsElected bool
}

// Granularity on the wire.
const (
	AmountUnit = 1.0 / 1024 // of amounts
	TermUnit   = 1000       // us, of terms and stamps
)

// NoRank stands for no router where a rank is wanted.
const NoRank = -1
