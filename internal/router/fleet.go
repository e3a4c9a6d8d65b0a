package router

import (
	"math"

	"spantack/routing"
)

// minOriginFillQuota replaces a quota of 0, which the module would take for no limit.
const minOriginFillQuota = 1e-6

// SetOriginFillQuota bounds the fills that ask the origin by this router's quota of a limit on the whole fleet. A
// quota of one or more is rounded down, so that the sum of all quotas never exceeds the limit; with a smaller one a
// fill goes out now and then, and the limit holds on average.
func (r *Router) SetOriginFillQuota(quota float64) {
	if quota >= 1 {
		quota = math.Floor(quota)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admission.SetOriginFillQuota(r.advanceLocked(), max(quota, minOriginFillQuota))
}

// OriginFills returns how many fills that ask the origin are in flight here, and how many requests were rejected
// since the start.
func (r *Router) OriginFills() (inFlight int, rejected int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admission.ConfirmedOriginFills(), r.Counters.Rejected.Load()
}

// Parents returns the listed parents, and those of them whose circuit breakers are open here.
func (r *Router) Parents() (listed, failing []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admission.Parents(r.nowMicros())
}

// ReportOverloaded tells the module that routers of other sites find a parent overloaded.
func (r *Router) ReportOverloaded(server string) {
	r.step(routing.Event{Kind: routing.EventParentOverloaded, Server: server})
}
