package router

import (
	"math"

	"spantack/internal/clock"
)

// minOriginFillQuota replaces a share of 0, which the module would take for no limit.
const minOriginFillQuota = 1e-6

// SetOriginFillQuota bounds the fills that ask the head office by this router's share of a limit on the whole fleet. A share of one or more is rounded down,
// so that the sum of all shares never exceeds the limit; with a smaller share one fill goes out now and then, and the limit holds on average.
func (r *Router) SetOriginFillQuota(share float64) {
	if share >= 1 {
		share = math.Floor(share)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastStepAt = max(r.lastStepAt, clock.Micros(r.clock.Now()))
	r.admission.SetOriginFillLease(r.lastStepAt, max(share, minOriginFillQuota))
}

// OriginFills returns how many fills that ask the head office are open here, and how many requests were refused since the start.
func (r *Router) OriginFills() (open int, refused int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admission.ConfirmedOriginFills(), r.Counters.Rejected.Load()
}

// Parents returns the listed area caches, and those of them whose breakers are open here.
func (r *Router) Parents() (all, avoided []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admission.Parents(clock.Micros(r.clock.Now()))
}

// SetEjected replaces the set of servers that the fleet's verdicts eject. Ejected servers get nothing new, like draining ones; the others are
// readmitted. Each change is logged.
func (r *Router) SetEjected(ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows := r.endpoints.SetEjected(ids)
	for _, row := range rows {
		r.log.Info().Str("server", row.Server).Bool("off", row.Status != "healthy").Msg("fleet's verdict")
	}
	r.applyEndpointsLocked(rows)
}
