package rules

// The oldest copy that will do, and what a purge changes in it.

import "maps"

// Times are microseconds; the rest are ratios or counts.
const (
	freshJitter = 0.2   // random share taken off the fresh time: the design's
	purgeMargin = 1_000 // us taken off age limits after a purge, for the tick
)

// purge notes a purge for PurgeTakes and as long as a fill begun before may still be running.
func (r *Router) purge(ev *Event) {
	maps.DeleteFunc(r.purged, func(_ purgeKey, made int64) bool { return r.now-made > r.purgeSpan })
	key := purgeKey{object: ev.Object}
	if ev.Object == "" {
		key.group = ev.Group
	}
	r.purged[key] = max(r.purged[key], r.now-ev.Age)
}

// sincePurge tells how long ago the object of q was purged, or 0 if not lately.
func (r *Router) sincePurge(q *request) (since int64) {
	for _, key := range []purgeKey{{object: q.Object}, {group: q.Group}} {
		made, known := r.purged[key]
		age := max(r.now-made-purgeMargin, 1)
		if known && age <= r.purgeSpan && (since == 0 || age < since) {
			since = age
		}
	}
	return since
}

// maxAge is the oldest copy that will do, 0 for any: fresh less jitter, held: grace too; none before a purge
// or the request's own time.
func (r *Router) maxAge(q *request) int64 {
	fresh := at(r.set.Extra.FreshFor, q.class)
	limit := int64(0)
	if fresh > 0 {
		limit = fresh - int64(freshJitter*r.rng.Float64()*float64(fresh))
		if q.held {
			limit = fresh + at(r.set.Extra.GraceFor, q.class)
		}
		limit = max(limit, q.MayAge)
	}
	if since := r.sincePurge(q); since != 0 && (limit == 0 || since < limit) {
		limit = since
	}
	if since := max(r.now-q.MadeFrom-purgeMargin, 1); q.MadeFrom != 0 && (limit == 0 || since < limit) {
		limit = since
	}
	return limit
}
