package cells

// Reason tells why a request was refused at the gate, for logs and `spanctl`.
type Reason int8

// The reasons.
const (
	ReasonNone            Reason = iota
	ReasonNoLiveCache            // the cell has no live cache, and names no neighbour that has one
	ReasonHeavyTenant            // its tenant uses more than a crowded cell has for it
	ReasonRequestRate            // the cell's share of requests a second is used up
	ReasonLinkRate               // its share of the link
	ReasonParentRate             // of the area caches
	ReasonOriginRate             // of the head office
	ReasonUncacheableRate        // its share of uncacheable requests
	ReasonOpenRequests           // its share of requests open at once
	ReasonNotReleased            // it asks for a release that its cell has not got, or that was taken back
	ReasonMigrating              // its tenant moves, the old cell has no live cache, and the new one can't bear more now
	reasonCount
)

var reasonNames = [reasonCount]string{"none", "no live cache", "heavy tenant", "requests", "fills", "area caches", "head office", "writes", "open requests", "release not here", "moving"}

func (r Reason) String() string { return reasonNames[r] }
