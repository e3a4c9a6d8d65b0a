package cells

// Reason says why a request was rejected before it came to the routing engine.
type Reason int8

// The reasons.
const (
	ReasonNone            Reason = iota // the request was admitted
	ReasonNoLiveCache                   // the cell has no healthy cache, and names no fallback cell that has one
	ReasonHeavyTenant                   // the tenant uses more than its fair share of an overloaded cell
	ReasonRequestRate                   // the cell's share of requests per second is used up
	ReasonLinkRate                      // the cell's share of the link into the site is used up
	ReasonParentRate                    // the cell's share of what the parents send is used up
	ReasonOriginRate                    // the cell's share of what the origin sends is used up
	ReasonUncacheableRate               // the cell's share of uncacheable requests per second is used up
	ReasonOpenRequests                  // the cell's share of requests open at once is used up
	ReasonNotReleased                   // the object is of a release that the cell does not have, or no longer has
	ReasonMigrating                     // the tenant migrates, its old cell has no healthy cache, its new one no capacity
	reasonCount
)

// reasonNames are log keys and names of figures in the lab's results.
var reasonNames = [reasonCount]string{
	ReasonNone:            "none",
	ReasonNoLiveCache:     "no live cache",
	ReasonHeavyTenant:     "heavy tenant",
	ReasonRequestRate:     "requests",
	ReasonLinkRate:        "fills",
	ReasonParentRate:      "area caches",
	ReasonOriginRate:      "head office",
	ReasonUncacheableRate: "writes",
	ReasonOpenRequests:    "open requests",
	ReasonNotReleased:     "release not here",
	ReasonMigrating:       "moving",
}

// String returns the name that logs and results use.
func (r Reason) String() string { return reasonNames[r] }
