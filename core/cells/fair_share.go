package cells

import "math"

// fairShare adapts a limit on the usage of each tenant in a cell, in proportion to the tenant's weight. The limit falls
// while the cell rejects requests and rises while it rejects none. Only requests of tenants above the limit are
// rejected, so the tenants with the highest usage are limited first.
type fairShare struct {
	limit         float64     // usage divided by weight above which a tenant is rejected; math.Inf(1): no limit
	peak          decayingSum // greatest recent usage divided by weight of any tenant
	total         decayingSum // usage of all tenants
	activeTenants float64
	rejectedAt    int64 // when the cell last rejected a request for lack of capacity, microseconds
	adjustedAt    int64 // when the limit was last changed, microseconds
}

const (
	fairAdjustInterval = 50_000  // minimum time between two changes of the limit, microseconds
	fairRecoveryDelay  = 200_000 // microseconds without a rejection after which the limit rises
	fairDecrease       = 0.8     // factor by which the limit falls
	fairIncrease       = 1.1     // factor by which the limit rises
	// fairMinFraction is the minimum of the limit, as a fraction of the mean usage of the cell's active tenants at the
	// time when the limit was last lowered. A tenant whose usage divided by its weight is less than half of this mean
	// is never rejected for its usage.
	fairMinFraction = 0.5
	// fairRemovalPeaks is a multiple of the peak usage. A rising limit that exceeds it is removed.
	fairRemovalPeaks = 2
)

// observe records a tenant's usage divided by its weight.
func (f *fairShare) observe(now int64, usage float64) {
	if peak := f.peak.valueAt(now); usage > peak {
		f.peak = decayingSum{usage, now}
	}
}

// observeRejection lowers the limit, at most once per fairAdjustInterval, after the cell rejected a request for lack of
// capacity.
func (f *fairShare) observeRejection(now int64) {
	f.rejectedAt = now
	if now-f.adjustedAt < fairAdjustInterval {
		return
	}
	f.adjustedAt = now
	f.limit = min(f.limit, f.peak.valueAt(now))
	f.limit = max(f.limit*fairDecrease, fairMinFraction*f.meanUsage(now))
}

// meanUsage returns the mean usage of the cell's active tenants.
func (f *fairShare) meanUsage(now int64) float64 {
	return f.total.valueAt(now) / max(f.activeTenants, 1)
}

// exceeds reports whether a usage divided by weight is above the limit. Before the comparison it raises the limit, at
// most once per fairAdjustInterval, if no request was rejected for fairRecoveryDelay.
func (f *fairShare) exceeds(now int64, usage float64) bool {
	if now-f.rejectedAt > fairRecoveryDelay && now-f.adjustedAt >= fairAdjustInterval {
		f.adjustedAt = now
		f.limit *= fairIncrease
		if f.limit > fairRemovalPeaks*f.peak.valueAt(now) {
			f.limit = math.Inf(1)
		}
	}
	return usage > f.limit
}
