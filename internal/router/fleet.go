package router

import (
	"math"

	"spantack/internal/clock"
)

// leastLease stands for a share of nothing: 0 would stand for no limit.
const leastLease = 1e-6

// Lease bounds the fills that ask the head office by this router's share of a limit that the whole fleet keeps. Of a share of one or more only
// whole ones count, so that the sum is kept always; of less, one goes out now and then, and the sum is kept in the mean.
func (r *Router) Lease(share float64) {
	if share >= 1 {
		share = math.Floor(share)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = max(r.last, clock.Micros(r.clock.Now()))
	r.rules.Lease(r.last, max(share, leastLease))
}

// Asking is how many fills that ask the head office this router has out, and how many requests it has refused since its start.
func (r *Router) Asking() (out int, refused int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rules.Asking(), r.Counters.Refused.Load()
}

// Sources names the listed area caches, and those of them that breakers keep this router off.
func (r *Router) Sources() (all, shut []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rules.Sources(clock.Micros(r.clock.Now()))
}

// Shun keeps this router off the servers that the fleet's verdicts name, and off no others that they named before. Nothing new goes to them, as
// to one that drains. It tells which have come and which have gone.
func (r *Router) Shun(ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows := r.list.Shun(ids)
	for _, row := range rows {
		r.log.Info().Str("server", row.Node).Bool("off", row.Status != "healthy").Msg("fleet's verdict")
	}
	r.hear(rows)
}
