package cells

import "math"

// fairShare finds how much of an overloaded cell one tenant may use for its weight. The limit falls while the cell
// rejects requests and rises while it does not. Only tenants above it are rejected, so the heaviest go first.
type fairShare struct {
	limit         float64     // usage by weight above which a tenant is rejected; math.Inf(1): no limit
	peak          decayingSum // greatest recent usage by weight of a tenant
	total         decayingSum // usage of all tenants
	activeTenants float64
	rejectedAt    int64 // when the cell last had to reject a request, microseconds
	adjustedAt    int64 // when the limit was last changed, microseconds
}

const (
	fairAdjustInterval = 50_000  // microseconds between two changes of the limit
	fairRecoveryDelay  = 200_000 // microseconds without a rejection after which the limit rises
	fairDecrease       = 0.8
	fairIncrease       = 1.1
	// fairMinFraction bounds the limit from below, as a fraction of the mean usage of the cell's tenants: a tenant that
	// uses less than half of the mean is never rejected for its usage.
	fairMinFraction = 0.5
	// fairUnlimitedPeaks is the multiple of the peak usage past which a rising limit is lifted.
	fairUnlimitedPeaks = 2
)

// observe records a tenant's usage by weight.
func (f *fairShare) observe(now int64, usage float64) {
	if peak := f.peak.valueAt(now); usage > peak {
		f.peak = decayingSum{usage, now}
	}
}

// observeRejection lowers the limit, as the cell had to reject a request.
func (f *fairShare) observeRejection(now int64) {
	f.rejectedAt = now
	if now-f.adjustedAt < fairAdjustInterval {
		return
	}
	f.adjustedAt = now
	f.limit = min(f.limit, f.peak.valueAt(now))
	f.limit = max(f.limit*fairDecrease, fairMinFraction*f.meanUsage(now))
}

// meanUsage returns the usage of the cell's tenants on average.
func (f *fairShare) meanUsage(now int64) float64 {
	return f.total.valueAt(now) / max(f.activeTenants, 1)
}

// exceeds reports whether a usage by weight is above the limit. It raises the limit first where that is due.
func (f *fairShare) exceeds(now int64, usage float64) bool {
	if now-f.rejectedAt > fairRecoveryDelay && now-f.adjustedAt >= fairAdjustInterval {
		f.adjustedAt = now
		f.limit *= fairIncrease
		if f.limit > fairUnlimitedPeaks*f.peak.valueAt(now) {
			f.limit = math.Inf(1)
		}
	}
	return usage > f.limit
}
