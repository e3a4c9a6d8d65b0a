package cells

// Reason is why a request was rejected before it reached the routing engine.
type Reason int8

// The values of Reason.
const (
	ReasonNone            Reason = iota // the request was admitted
	ReasonNoHealthyCache                // neither the cell nor its fallback cell, if it has one, has a healthy cache
	ReasonHeavyTenant                   // the tenant uses more than its fair share of an overloaded cell
	ReasonRequestRate                   // the cell's share of requests per second is used up, and it may not borrow
	ReasonLinkRate                      // the cell's share of the link into the site is used up, and it may not borrow
	ReasonParentRate                    // the cell's share of the parents' bandwidth is used up, and it may not borrow
	ReasonOriginRate                    // the cell's share of the origin's bandwidth is used up, and it may not borrow
	ReasonUncacheableRate               // as ReasonRequestRate, for uncacheable requests
	ReasonOpenRequests                  // the cell's share of open requests is used up, and it may not exceed it
	ReasonNotReleased                   // the object belongs to a release that the cell does not have now
	ReasonMigrating                     // the migration's source has no healthy cache, its destination no capacity
	reasonCount
)

// reasonNames are keys in logs, and names of figures in the results of experiments (lab).
var reasonNames = [reasonCount]string{
	ReasonNone:            "none",
	ReasonNoHealthyCache:  "no live cache",
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

// String returns the name of the reason in logs and in the results of experiments.
func (r Reason) String() string { return reasonNames[r] }
