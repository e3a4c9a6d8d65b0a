package cells

// Reason is why a request was rejected before it reached the routing engine.
type Reason int8

// The values of Reason.
const (
	ReasonNone            Reason = iota // the request was admitted
	ReasonNoLiveCache                   // neither the cell nor its fallback cell, if it has one, has a healthy cache
	ReasonHeavyTenant                   // the tenant uses more than its fair share of an overloaded cell
	ReasonRequestRate                   // the cell's share of requests per second is used up
	ReasonLinkRate                      // the cell's share of the link into the site is used up
	ReasonParentRate                    // the cell's share of the parents' bandwidth is used up
	ReasonOriginRate                    // the cell's share of the origin's bandwidth is used up
	ReasonUncacheableRate               // the cell's share of uncacheable requests per second is used up
	ReasonOpenRequests                  // the cell's share of open requests is used up
	ReasonNotReleased                   // the object belongs to a release that the cell does not have, or no longer has
	ReasonMigrating                     // the migration's source has no healthy cache, and its destination no capacity
	reasonCount
)

// reasonNames are keys in logs and names of metrics in the lab's results.
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

// String returns the name of the reason in logs and lab results.
func (r Reason) String() string { return reasonNames[r] }
