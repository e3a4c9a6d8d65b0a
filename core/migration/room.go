package migration

import "math"

// CapacityModel are the deployment's figures of what servers bear. Times are microseconds, as in rules.
type CapacityModel struct {
	StreamKbPerS float64 // of one answer: a server sends Weight answers at that pace
	ColdFraction float64 // part of it that a server bears at its start
	WarmUp       int64   // until it bears all
	LoadWindow   int64   // over which a server's work is summed
}

// Server is one cache or area cache. Times are microseconds.
type Server struct {
	Weight    float64
	StartedAt int64 // 0: long ago
}

// WarmFraction is the part of its capacity that a server bears at a time. Its age is taken to be less by Fall, since work is summed over it.
func (t *CapacityModel) WarmFraction(now, cameUp int64) float64 {
	age := now - cameUp - t.LoadWindow
	if cameUp <= 0 || t.WarmUp <= 0 || age >= t.WarmUp {
		return 1
	}
	return t.ColdFraction + (1-t.ColdFraction)*float64(max(age, 0))/float64(t.WarmUp)
}

// Capacity is what servers bear together at a time, and the part of it that warm ones would.
func (t *CapacityModel) Capacity(now int64, servers []Server) (kb, part float64) {
	whole := 0.0
	for _, s := range servers {
		kb += t.WarmFraction(now, s.StartedAt) * s.Weight * t.StreamKbPerS
		whole += s.Weight * t.StreamKbPerS
	}
	if whole == 0 {
		return 0, 0
	}
	return kb, kb / whole
}

// What a CapacityLimiter keeps to.
const (
	usableFraction  = 0.85 // part of what a cell bears that may be filled by those who move into it
	residentWindow  = 2e6  // microseconds over which the work of those that live there is averaged
	burstSeconds    = 0.5  // seconds of the rate that may be taken at once
	maxFillCost     = 4.0  // greatest cost of a fill, in sendings of the same size
	fillCostGain    = 0.02
	initialFillCost = 1.0
)

// CapacityLimiter bounds what those that move into a cell may send there from one router: what its caches, and the links and tiers that its fills come
// over, bear at the moment, less what those that live in the cell use already. Over any span t the movers' work is at most
// usableFraction times what is borne, less the residents', times (t + half a second), and one request.
//
// As each router keeps to its part of both, all routers together keep to the sum.
type CapacityLimiter struct {
	FillCost                     float64 // of a fill, in sendings of the same size, as seen
	sendKbPerS                   float64 // KB a second, sendings
	fillKbPerS                   float64 // KB a second, fills; math.Inf(1): no bound
	sendTokens                   float64 // KB of sendings that may be taken now
	fillTokens                   float64
	refilledAt                   int64
	residentSends, residentFills decayingRate // of residents
}

// decayingRate is a rate that forgets.
type decayingRate struct {
	sum       float64
	updatedAt int64
}

func (m *decayingRate) add(now int64, amount float64) {
	m.sum = m.decayed(now) + amount
	m.updatedAt = now
}

func (m *decayingRate) decayed(now int64) float64 {
	return m.sum * math.Exp(-float64(max(now-m.updatedAt, 0))/residentWindow)
}

func (m *decayingRate) perSecond(now int64) float64 { return m.decayed(now) / (residentWindow / 1e6) }

// NewCapacityLimiter returns a room that lets nothing in until Bears is called.
func NewCapacityLimiter() CapacityLimiter { return CapacityLimiter{FillCost: initialFillCost} }

// SetCapacity sets what this router's part of the cell bears from now on, in KB a second: sendings of its caches, and fills into it.
func (r *CapacityLimiter) SetCapacity(now int64, kb, fills float64) {
	r.refill(now)
	r.sendKbPerS, r.fillKbPerS = kb, fills
}

// RecordResident books what one that lives in the cell is let in with.
func (r *CapacityLimiter) RecordResident(now int64, kb, fill float64) {
	r.residentSends.add(now, kb+r.FillCost*fill)
	r.residentFills.add(now, fill)
}

// ObserveFillCost takes in what a fill cost: the time waited for it, in sendings of the same size.
func (r *CapacityLimiter) ObserveFillCost(waited float64) {
	if waited >= 0 {
		r.FillCost += fillCostGain * (min(waited, maxFillCost) - r.FillCost)
	}
}

// Available is what movers may send and have filled now, KB a second.
func (r *CapacityLimiter) Available(now int64) (kb, fill float64) {
	kb = max(usableFraction*r.sendKbPerS-r.residentSends.perSecond(now), 0)
	if math.IsInf(r.fillKbPerS, 1) {
		return kb, r.fillKbPerS
	}
	return kb, max(usableFraction*r.fillKbPerS-r.residentFills.perSecond(now), 0)
}

func (r *CapacityLimiter) refill(now int64) {
	gone := float64(max(now-r.refilledAt, 0)) / 1e6
	if r.refilledAt == 0 {
		gone = burstSeconds
	}
	r.refilledAt = now
	kb, fill := r.Available(now)
	r.sendTokens = min(r.sendTokens+kb*gone, kb*burstSeconds)
	if math.IsInf(fill, 1) {
		r.fillTokens = fill
	} else {
		r.fillTokens = min(min(r.fillTokens, fill*burstSeconds)+fill*gone, fill*burstSeconds)
	}
}

// TryAcquire lets a mover's request in, if there is room for it; what it takes more than is left is paid back before the next. A request
// whose copy is there takes no fill.
func (r *CapacityLimiter) TryAcquire(now int64, kb, fill float64) bool {
	r.refill(now)
	if r.sendTokens <= 0 || fill > 0 && r.fillTokens <= 0 {
		return false
	}
	r.sendTokens -= kb + r.FillCost*fill
	r.fillTokens -= fill
	return true
}
