package cells

// Reason tells why a request was refused at the gate, for logs and `spanctl`.
type Reason int8

// The reasons.
const (
	None     Reason = iota
	NoCache         // the cell has no live cache, and names no neighbour that has one
	Heavy           // its tenant uses more than a crowded cell has for it
	Requests        // the cell's share of requests a second is used up
	Fills           // its share of the link
	Parents         // of the area caches
	Origin          // of the head office
	Writes          // its share of uncacheable requests
	Open            // its share of requests open at once
	Staged          // it asks for a release that its cell has not got, or that was taken back
	Moving          // its tenant moves, the old cell has no live cache, and the new one can't bear more now
	reasons
)

var reasonNames = [reasons]string{"none", "no live cache", "heavy tenant", "requests", "fills", "area caches", "head office", "writes", "open requests", "release not here", "moving"}

func (r Reason) String() string { return reasonNames[r] }
