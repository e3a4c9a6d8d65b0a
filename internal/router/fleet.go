package router

import (
	"math"

	"spantack/routing"
)

// minOriginFillQuota replaces a quota of 0, which the module would treat as no limit.
const minOriginFillQuota = 1e-6

// SetOriginFillQuota bounds fills from the origin by quota, this router's lease of the fleet limit. A quota of one or
// more is rounded down, so that the sum of all quotas never exceeds the limit. With a quota below one, the router still
// sends a fill from time to time, and the limit holds on average.
func (r *Router) SetOriginFillQuota(quota float64) {
	if quota >= 1 {
		quota = math.Floor(quota)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admission.SetOriginFillQuota(r.advanceLocked(), max(quota, minOriginFillQuota))
}

// OriginFills returns the number of this router's fills from the origin in flight, and the number of requests that
// Serve has rejected since the start of the process.
func (r *Router) OriginFills() (inFlight int, rejected int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admission.ConfirmedOriginFills(), r.Counters.Rejected.Load()
}

// Parents returns the listed parents, and those among them whose circuit breakers are open in this router.
func (r *Router) Parents() (listed, unavailable []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admission.Parents(r.nowMicros())
}

// HandleOverloadReport notifies the module that routers of other sites have reported a parent as overloaded.
func (r *Router) HandleOverloadReport(server string) {
	r.step(routing.Event{Kind: routing.EventParentOverloaded, Server: server})
}
