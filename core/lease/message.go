package lease

// Kind is what a message does.
type Kind byte

// The kinds.
const (
	Request Kind = iota + 1 // asks a holder for a lease
	Grant                   // answers a Request; Term 0: there is none
	Vote                    // an elector's vote for the fleet's holder
	VoteAck                 // answers a Vote with the stamp that the next one echoes
	kindEnd
)

// Message goes from one router to another. Which fields count goes by its kind.
type Message struct {
	Kind        Kind
	Incarnation uint32 // of the sender
	Level       int    // of the group whose holder a Request is for, and a Grant from
	Amount      float64
	Weight      int    // of a Request: how many routers it is for
	Term        int64  // of a Grant: us that the lease lasts from when the Request was sent
	Number      uint32 // of a Request, echoed by its Grant
	Holder      int    // of a Grant for the fleet's children that has nothing: who is elected, as far as the sender knows; -1: unknown
	Stamp       uint32 // of a VoteAck: the holder's own time; echoed by the next Vote
	Of          uint32 // of a Vote: the incarnation that sent the stamp
	Elected     bool   // of a VoteAck: the sender holds the fleet
}

// AmountUnit is the granularity of amounts on the wire, TermUnit that of terms and stamps in microseconds.
const (
	AmountUnit = 1.0 / 1024
	TermUnit   = 1000
)
