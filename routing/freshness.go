package routing

const (
	// freshnessJitter is the random share taken off a freshness lifetime, so that copies are not renewed together.
	freshnessJitter = 0.2
	// purgeClockMargin is taken off an age limit after a purge, in microseconds: time comes in steps.
	purgeClockMargin = 1_000
)

// maxAge returns the age of the oldest copy that will do for a request, in microseconds; 0: any. It is the freshness
// lifetime less jitter, or where any cached copy is wanted that lifetime and its grace period; and never more than the
// time since a purge or the request's minimum version.
func (e *Engine) maxAge(req *request) (limit int64) {
	if fresh := valueAt(e.settings.Hierarchy.FreshnessLifetime, req.class); fresh > 0 {
		limit = fresh - int64(freshnessJitter*e.rng.Float64()*float64(fresh))
		if req.isCachedCopyOnly {
			limit = fresh + valueAt(e.settings.Hierarchy.StaleGracePeriod, req.class)
		}
		limit = max(limit, req.MaxAge)
	}
	sinceChange := e.timeSinceChange(req, req.MinVersionTime)
	if sinceChange != 0 && (limit == 0 || sinceChange < limit) {
		limit = sinceChange
	}
	return limit
}

// timeSinceChange returns how long ago, in microseconds, a request's object or its group was purged, or a new version
// of it was made at the time latest if that is not 0. It returns 0 where neither happened recently.
func (e *Engine) timeSinceChange(req *request, latest int64) int64 {
	isChanged := latest != 0
	for _, key := range [...]purgeKey{{object: req.Object}, {group: req.PurgeGroup}} {
		madeAt, isPurged := e.purgedAt[key]
		if isPurged && e.now-madeAt-purgeClockMargin <= e.purgeRetention {
			latest = max(latest, madeAt)
			isChanged = true
		}
	}
	if !isChanged {
		return 0
	}
	return max(e.now-latest-purgeClockMargin, 1)
}
