package migration

import "math"

// Constants of the CapacityLimiter.
const (
	// usableFraction of a cell's capacity may be used by its residents and those that migrate into it together.
	usableFraction = 0.85
	// residentWindow, in microseconds, is the time constant with which the residents' load decays.
	residentWindow = 2e6
	// burstSeconds of the rate may be used at once.
	burstSeconds = 0.5
	// A fill's cost, in sends of the same size: at first, at most, and how much of an observation is taken over.
	initialFillCost = 1.0
	maxFillCost     = 4.0
	fillCostGain    = 0.02
)

// microsPerSecond turns microseconds into seconds.
const microsPerSecond = 1e6

// CapacityLimiter is a token bucket for requests of tenants that migrate into a cell, at one router: it admits what the
// cell's caches, and the links and fleets that its fills pass, have capacity for at the moment, less what the cell's
// residents use.
//
// Guarantee: over any span t what is admitted is at most usableFraction times the capacity, less the residents' load,
// times (t + half a second), and one request. As each router keeps to its part, all routers together keep to the sum.
//
// It is not safe for concurrent use. Times are microseconds.
type CapacityLimiter struct {
	FillCost float64 // of a fill, in sends of the same size, as observed

	sendKBPerS float64 // capacity of this router's part of the caches
	fillKBPerS float64 // capacity for fills; math.Inf(1): unlimited
	sendTokens float64 // KB; negative while the last request is paid back
	fillTokens float64 // KB
	refilledAt int64

	residentSends decayingRate // KB, fills at their cost included
	residentFills decayingRate // KB
}

// NewCapacityLimiter returns a limiter that admits nothing until SetCapacity is called.
func NewCapacityLimiter() CapacityLimiter { return CapacityLimiter{FillCost: initialFillCost} }

// SetCapacity sets the capacity of this router's part of the cell from now on, in KB a second: of its caches for
// sends, and for fills into it; math.Inf(1) stands for no limit on fills.
func (l *CapacityLimiter) SetCapacity(now int64, sendKBPerS, fillKBPerS float64) {
	l.refill(now)
	l.sendKBPerS = sendKBPerS
	l.fillKBPerS = fillKBPerS
}

// RecordResident records an admitted request of a tenant that lives in the cell.
func (l *CapacityLimiter) RecordResident(now int64, sendKB, fillKB float64) {
	l.residentSends.add(now, sendKB+l.FillCost*fillKB)
	l.residentFills.add(now, fillKB)
}

// ObserveFillCost takes the cost of one fill into FillCost: the time waited for it, in sends of the same size.
func (l *CapacityLimiter) ObserveFillCost(cost float64) {
	if cost >= 0 {
		l.FillCost += fillCostGain * (min(cost, maxFillCost) - l.FillCost)
	}
}

// Available is the rate that is left for migrating tenants, of sends and of fills, in KB a second.
func (l *CapacityLimiter) Available(now int64) (sendKBPerS, fillKBPerS float64) {
	sendKBPerS = max(usableFraction*l.sendKBPerS-l.residentSends.perSecond(now), 0)
	if math.IsInf(l.fillKBPerS, 1) {
		return sendKBPerS, l.fillKBPerS
	}
	return sendKBPerS, max(usableFraction*l.fillKBPerS-l.residentFills.perSecond(now), 0)
}

// refill adds what has become available since the last call.
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

// TryAcquire admits a request if any capacity is left, and books it. What it takes beyond that is paid back before
// the next one is admitted. fillKB is 0 for a request that finds its object cached.
func (l *CapacityLimiter) TryAcquire(now int64, sendKB, fillKB float64) bool {
	l.refill(now)
	if l.sendTokens <= 0 || fillKB > 0 && l.fillTokens <= 0 {
		return false
	}
	l.sendTokens -= sendKB + l.FillCost*fillKB
	l.fillTokens -= fillKB
	return true
}

// decayingRate sums amounts, each of which decays over residentWindow.
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

// perSecond is the rate of the amounts.
func (r *decayingRate) perSecond(now int64) float64 {
	return r.decayed(now) / (residentWindow / microsPerSecond)
}
