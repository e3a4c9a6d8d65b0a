package routing

const (
	// freshnessJitter is the maximum random reduction of a freshness lifetime, as a fraction. It prevents copies from
	// being renewed simultaneously.
	freshnessJitter = 0.2
	// clockMargin is subtracted from the age limit after a purge or a new version, in microseconds, as clocks advance
	// in steps.
	clockMargin = 1_000
)

// maxAge returns the maximum age of a copy for a request, in microseconds; 0: no limit. If the class has a freshness
// lifetime, the limit is this lifetime minus jitter. For an attempt that accepts any cached copy, it is instead the
// lifetime plus the stale grace period. A greater MaxAge of the request raises either limit. If the class has no
// freshness lifetime, there is no such limit, and MaxAge has no effect. With or without a freshness lifetime, the
// result never exceeds the time since a purge or the request's MinVersionTime, as given by timeSinceChange.
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

// timeSinceChange returns the time, in microseconds, since the last change of a request's object, less clockMargin but
// at least 1. A change is a purge of the object or its group, or a new version at the time changedAt, if that is not 0.
// It returns 0 if there was no change, or only purges past their retention.
func (e *Engine) timeSinceChange(req *request, changedAt int64) int64 {
	isChanged := changedAt != 0
	for _, key := range [...]purgeKey{{object: req.Object}, {group: req.PurgeGroup}} {
		madeAt, isPurged := e.purgedAt[key]
		if isPurged && e.now-madeAt-clockMargin <= e.purgeRetention {
			changedAt = max(changedAt, madeAt)
			isChanged = true
		}
	}
	if !isChanged {
		return 0
	}
	return max(e.now-changedAt-clockMargin, 1)
}
