package migration

import "math"

const (
	// usableFraction of a cell's capacity may be used by its resident and its migrating tenants together. Resident
	// tenants are the tenants of the cell that are not migrating into it.
	usableFraction = 0.85
	// residentWindow is the time constant of the moving average of the resident tenants' load, in microseconds.
	residentWindow = 2e6
	// burstSeconds is the burst of the token buckets, in seconds of their rate.
	burstSeconds = 0.5
	// The cost of a fill, relative to a send of the same size: the initial value, the upper bound, and the weight of a
	// new observation in the moving average.
	initialFillCost = 1.0
	maxFillCost     = 4.0
	fillCostGain    = 0.02
)

const microsPerSecond = 1e6

// CapacityLimiter limits, at one router, the requests of tenants that migrate into a cell. It has a token bucket for
// sends and one for fills. Their rates are the usable capacity of the cell's caches, and of the links and parent caches
// that its fills pass, minus the load of the cell's resident tenants.
//
// Guarantee: in any t seconds it admits at most (usableFraction * capacity - resident load) * (t + burstSeconds), plus
// one request. The resident load is the observed moving average. The bound assumes that the resident load and the
// capacity are constant during the t seconds. Each router is given its part of the capacity. For this reason all
// routers together stay within the cell's capacity.
//
// It is not safe for concurrent use. Times are in microseconds.
type CapacityLimiter struct {
	FillCost float64 // observed cost of a fill, relative to a send of the same size

	sendKBPerS float64 // this router's part of the capacity of the caches
	fillKBPerS float64 // this router's part of the capacity for fills; math.Inf(1): unlimited
	sendTokens float64 // KB; negative after a request that cost more than the tokens that were left
	fillTokens float64 // KB
	refilledAt int64

	residentSends decayingRate // KB of sends, plus KB of fills multiplied by FillCost
	residentFills decayingRate // KB
}

// NewCapacityLimiter returns a limiter that admits nothing until SetCapacity is called.
func NewCapacityLimiter() CapacityLimiter { return CapacityLimiter{FillCost: initialFillCost} }

// SetCapacity sets this router's part of the cell's capacity from now on: sendKBPerS for what the caches send, and
// fillKBPerS for fills. A fillKBPerS of math.Inf(1) means that fills are not limited.
func (l *CapacityLimiter) SetCapacity(now int64, sendKBPerS, fillKBPerS float64) {
	l.refill(now)
	l.sendKBPerS = sendKBPerS
	l.fillKBPerS = fillKBPerS
}

// RecordResident records an admitted request of a resident tenant of the cell.
func (l *CapacityLimiter) RecordResident(now int64, sendKB, fillKB float64) {
	l.residentSends.add(now, sendKB+l.FillCost*fillKB)
	l.residentFills.add(now, fillKB)
}

// ObserveFillCost adds the cost of one fill to the moving average FillCost. The cost is the time that the fill took,
// divided by the time of a send of the same size. Values above maxFillCost count as maxFillCost, negative ones are
// ignored.
func (l *CapacityLimiter) ObserveFillCost(cost float64) {
	if cost >= 0 {
		l.FillCost += fillCostGain * (min(cost, maxFillCost) - l.FillCost)
	}
}

// Available returns the rates of sends and of fills that are left for migrating tenants, in KB/s.
func (l *CapacityLimiter) Available(now int64) (sendKBPerS, fillKBPerS float64) {
	sendKBPerS = max(usableFraction*l.sendKBPerS-l.residentSends.perSecond(now), 0)
	if math.IsInf(l.fillKBPerS, 1) {
		return sendKBPerS, l.fillKBPerS
	}
	return sendKBPerS, max(usableFraction*l.fillKBPerS-l.residentFills.perSecond(now), 0)
}

// refill adds the tokens that have accrued since the last call. The first call adds nothing, because no capacity is set
// yet.
func (l *CapacityLimiter) refill(now int64) {
	elapsed := float64(max(now-l.refilledAt, 0)) / microsPerSecond
	if l.refilledAt == 0 {
		elapsed = burstSeconds
	}
	l.refilledAt = now
	sends, fills := l.Available(now)
	l.sendTokens = min(l.sendTokens+sends*elapsed, sends*burstSeconds)
	if math.IsInf(fills, 1) {
		l.fillTokens = fills
		return
	}
	l.fillTokens = min(min(l.fillTokens, fills*burstSeconds)+fills*elapsed, fills*burstSeconds)
}

// TryAcquire reports whether a request is admitted, and if so charges it. A request is admitted while tokens are above
// 0. It may overdraw them; the next request is admitted once they are above 0 again. fillKB is 0 on a cache hit.
func (l *CapacityLimiter) TryAcquire(now int64, sendKB, fillKB float64) bool {
	l.refill(now)
	if l.sendTokens <= 0 || fillKB > 0 && l.fillTokens <= 0 {
		return false
	}
	l.sendTokens -= sendKB + l.FillCost*fillKB
	l.fillTokens -= fillKB
	return true
}

// decayingRate is a moving average of a rate, with the time constant residentWindow. It is computed from a sum of
// amounts that decays exponentially.
type decayingRate struct {
	sum       float64
	updatedAt int64 // microseconds
}

func (r *decayingRate) add(now int64, amount float64) {
	r.sum = r.decayed(now) + amount
	r.updatedAt = now
}

func (r *decayingRate) decayed(now int64) float64 {
	return r.sum * math.Exp(-float64(max(now-r.updatedAt, 0))/residentWindow)
}

// perSecond returns the rate of the amounts, in units per second.
func (r *decayingRate) perSecond(now int64) float64 {
	return r.decayed(now) / (residentWindow / microsPerSecond)
}
