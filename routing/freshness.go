package routing

const (
	// freshnessJitter is the maximum random reduction of a freshness lifetime, as a fraction. It prevents that copies
	// are renewed simultaneously.
	freshnessJitter = 0.2
	// purgeClockMargin is subtracted from the age limit after a purge, in microseconds, as clocks advance in steps.
	purgeClockMargin = 1_000
)

// maxAge returns the maximum age of a copy for a request, in microseconds; 0: no limit. It is the freshness lifetime
// minus jitter or, for an attempt that accepts any cached copy, the lifetime plus its grace period. It never exceeds
// the time since a purge or since the request's MinVersionTime.
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

// timeSinceChange returns the time, in microseconds, since the last change of a request's object: a purge of the object
// or its group, or a new version at the time latest, if that is not 0. It returns 0 if there was no recent change.
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
