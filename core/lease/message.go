package lease

import "fmt"

// MessageKind distinguishes the messages between routers. core/fleet has a separate datagram kind for each kind.
type MessageKind byte

// The kinds of messages.
const (
	// KindRequest requests a lease from a holder.
	KindRequest MessageKind = iota + 1
	// KindGrant is the response to a KindRequest. Its Term is 0 if no lease is granted.
	KindGrant
	// KindVote carries the vote of an elector for the holder of the fleet. With a Timestamp of 0 it carries no vote and
	// only requests the timestamp that the next vote must echo.
	KindVote
	// KindVoteAck is the response to a KindVote, with the timestamp that the next vote must echo. It also announces an
	// elected holder.
	KindVoteAck

	kindEnd // the first value that is not a kind
)

// String returns the kind's name.
func (k MessageKind) String() string {
	if k == 0 || k >= kindEnd {
		return fmt.Sprintf("MessageKind(%d)", byte(k))
	}
	return [...]string{KindRequest: "request", KindGrant: "grant", KindVote: "vote", KindVoteAck: "vote ack"}[k]
}

// Message is sent from one router to another. Its kind determines which fields are used.
type Message struct {
	Kind MessageKind
	// Incarnation is the incarnation of the sender.
	Incarnation uint32

	// Level is the level of the group whose holder receives a request or sends a grant.
	Level int
	// Amount is the part of the pool that is requested or granted.
	Amount float64
	// Weight is the number of routers for which a lease is requested.
	Weight int
	// Term is how long (us) a lease lasts. The lessee counts the term from the time at which it sent the request.
	Term int64
	// RequestNumber is the number of a request, counted from 1 by its sender. The grant echoes it.
	RequestNumber uint32
	// KnownHolder is, in a grant at the level of the fleet, the router that the sender knows to be elected, NoRank if the
	// sender knows of none. At all other levels KnownHolder is NoRank.
	KnownHolder int

	// Timestamp is, in a vote ack, the time since the candidate's process started, in units of TermUnit. The next vote for
	// the candidate echoes it. 0: no timestamp.
	Timestamp uint32
	// CandidateIncarnation is, in a vote, the incarnation of the candidate when it sent the timestamp.
	CandidateIncarnation uint32
	// IsElected reports, in a vote ack, that its sender is elected as the holder of the fleet.
	IsElected bool
}

// Granularity on the wire.
const (
	AmountUnit = 1.0 / 1024 // unit of amounts
	TermUnit   = 1000       // unit of terms and timestamps, us
)

// NoRank is the value of a rank that refers to no router.
const NoRank = -1
