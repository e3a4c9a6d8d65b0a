package lease

// MessageKind is what a message does.
type MessageKind byte

// The kinds.
const (
	KindRequest MessageKind = iota + 1 // asks a holder for a lease
	KindGrant                          // answers a KindRequest; Term 0: there is none
	KindVote                           // an elector's vote for the fleet's holder
	KindVoteAck                        // answers a KindVote with the stamp that the next one echoes
	kindEnd
)

// Message goes from one router to another. Which fields count goes by its kind.
type Message struct {
	Kind                 MessageKind
	Incarnation          uint32 // of the sender
	Level                int    // of the group whose holder a KindRequest is for, and a KindGrant from
	Amount               float64
	Weight               int    // of a KindRequest: how many routers it is for
	Term                 int64  // of a KindGrant: us that the lease lasts from when the KindRequest was sent
	RequestNumber        uint32 // of a KindRequest, echoed by its KindGrant
	KnownHolder          int    // of a KindGrant for the fleet's children that has nothing: who is elected, as far as the sender knows; -1: unknown
	Stamp                uint32 // of a KindVoteAck: the holder's own time; echoed by the next KindVote
	CandidateIncarnation uint32 // of a KindVote: the incarnation that sent the stamp
	IsElected            bool   // of a KindVoteAck: the sender holds the fleet
}

// AmountUnit is the granularity of amounts on the wire, TermUnit that of terms and stamps in microseconds.
const (
	AmountUnit = 1.0 / 1024
	TermUnit   = 1000
)
