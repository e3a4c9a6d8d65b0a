package routing

// The oldest copy that will do, and what a purge changes in it.

import "container/heap"

const (
	freshnessJitter  = 0.2   // random share taken off the fresh time: the design's
	purgeClockMargin = 1_000 // us taken off age limits after a purge, for the tick
)

// recordPurge notes a purge for PurgePropagationTime and as long as a fill begun before may still be running.
func (r *Engine) recordPurge(ev *Event) {
	for len(r.purges) > 0 && r.now-r.purges[0].madeAt > r.purgeRetention {
		if oldest := heap.Pop(&r.purges).(datedPurge); r.purged[oldest.key] == oldest.madeAt {
			delete(r.purged, oldest.key)
		}
	}
	key := purgeKey{object: ev.Object}
	if ev.Object == "" {
		key.group = ev.PurgeGroup
	}
	r.purged[key] = max(r.purged[key], r.now-ev.PurgeAge)
	heap.Push(&r.purges, datedPurge{key, r.purged[key]})
}

// timeSinceChange tells how long ago the object of q was purged or, newest not 0, made anew; 0: not lately.
func (r *Engine) timeSinceChange(q *request, newest int64) int64 {
	changed := newest != 0
	for _, key := range []purgeKey{{object: q.Object}, {group: q.PurgeGroup}} {
		if made, known := r.purged[key]; known && r.now-made-purgeClockMargin <= r.purgeRetention {
			newest, changed = max(newest, made), true
		}
	}
	if !changed {
		return 0
	}
	return max(r.now-newest-purgeClockMargin, 1)
}

// maxAge is the oldest copy that will do, 0 for any: fresh less jitter, or with grace; none before a change.
func (r *Engine) maxAge(q *request) (limit int64) {
	if fresh := valueAt(r.settings.Hierarchy.FreshnessLifetime, q.class); fresh > 0 {
		limit = fresh - int64(freshnessJitter*r.rng.Float64()*float64(fresh))
		if q.wantsCachedCopy {
			limit = fresh + valueAt(r.settings.Hierarchy.StaleGracePeriod, q.class)
		}
		limit = max(limit, q.MaxAge)
	}
	if since := r.timeSinceChange(q, q.MinVersionTime); since != 0 && (limit == 0 || since < limit) {
		limit = since
	}
	return limit
}
