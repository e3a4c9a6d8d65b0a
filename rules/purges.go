package rules

// The oldest copy that will do, and what a purge changes in it.

import "container/heap"

const (
	freshJitter = 0.2   // random share taken off the fresh time: the design's
	purgeMargin = 1_000 // us taken off age limits after a purge, for the tick
)

// purge notes a purge for PurgeTakes and as long as a fill begun before may still be running.
func (r *Router) purge(ev *Event) {
	for len(r.purges) > 0 && r.now-r.purges[0].made > r.purgeSpan {
		if oldest := heap.Pop(&r.purges).(datedPurge); r.purged[oldest.key] == oldest.made {
			delete(r.purged, oldest.key)
		}
	}
	key := purgeKey{object: ev.Object}
	if ev.Object == "" {
		key.group = ev.Group
	}
	r.purged[key] = max(r.purged[key], r.now-ev.Age)
	heap.Push(&r.purges, datedPurge{key, r.purged[key]})
}

// sinceChange tells how long ago the object of q was purged or, newest not 0, made anew; 0: not lately.
func (r *Router) sinceChange(q *request, newest int64) int64 {
	changed := newest != 0
	for _, key := range []purgeKey{{object: q.Object}, {group: q.Group}} {
		if made, known := r.purged[key]; known && r.now-made-purgeMargin <= r.purgeSpan {
			newest, changed = max(newest, made), true
		}
	}
	if !changed {
		return 0
	}
	return max(r.now-newest-purgeMargin, 1)
}

// maxAge is the oldest copy that will do, 0 for any: fresh less jitter, or with grace; none before a change.
func (r *Router) maxAge(q *request) (limit int64) {
	if fresh := at(r.set.Extra.FreshFor, q.class); fresh > 0 {
		limit = fresh - int64(freshJitter*r.rng.Float64()*float64(fresh))
		if q.held {
			limit = fresh + at(r.set.Extra.GraceFor, q.class)
		}
		limit = max(limit, q.MayAge)
	}
	if since := r.sinceChange(q, q.MadeFrom); since != 0 && (limit == 0 || since < limit) {
		limit = since
	}
	return limit
}
