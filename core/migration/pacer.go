package migration

import "math"

// Times are in milliseconds.
const (
	// stepInterval is the minimum time between two steps.
	stepInterval = 250.0
	// If there was no step for longer than idleAfter, the next step first clamps the share to MinShare and MaxShare.
	idleAfter = 2000.0
	// observationWindow is the time constant of the decay of observations.
	observationWindow = 3000.0
	// minObservations is the number of observations below which a ratio is not used.
	minObservations = 20.0
	// The target counts as degraded if its ratio of late responses exceeds the source's by more than lateRatioTolerance
	// plus lateStandardErrors standard errors of the difference.
	lateRatioTolerance = 0.03
	lateStandardErrors = 2.0
	// The share does not rise if more than maxRejectedRatio of the requests for the target are rejected for lack of
	// capacity.
	maxRejectedRatio = 0.25
	// minWarmCapacity is the minimum fraction of its full capacity that each cell must have for the share to rise. A
	// cell has its full capacity when all its servers are healthy and warmed up.
	minWarmCapacity = 0.8
	// rateIncrement is how much the rate rises at each step with a healthy target and enough capacity, as a fraction of
	// MaxRiseRate.
	rateIncrement = 0.25
	// MaxRiseRate is maxRateFactor / MinShift. It is above 1 / MinShift so that a delayed router can catch up.
	maxRateFactor = 2.0
)

// MaxFallRate is the maximum rate at which a share falls, per ms. With Unbounded and in a rollback the maximum is
// MaxRiseRate, if that is higher.
const MaxFallRate = 1.0 / ShortestShiftMs

// MaxRiseRate returns the maximum rate at which the share of the migration rises, per ms.
func (m *Migration) MaxRiseRate() float64 { return maxRateFactor / m.MinShift }

// Pacer controls the share of one migration at one router, between MinShare and MaxShare. The target is the cell that
// objects move to, and the source the cell that they move from: To and From, or in a rollback From and To.
//
// The share falls while responses of the target are late significantly more often than responses of the source.
// Otherwise it rises, unless the target lacks capacity or the servers of either cell are being replaced. It always
// rises as far as MinShare requires. With Unbounded and in a rollback it follows MaxShare.
//
// MaxRiseRate and MaxFallRate bound the rate of change, except after idleAfter without a step. The pacer steps at most
// every 250 ms and uses observations that decay over 3 s. The share begins to fall at the first step that finds the
// target degraded. Therefore the overshoot, by which the share exceeds the value at which the target becomes degraded,
// is at most MaxRiseRate * (250 ms + the time in which 20 responses of the target arrive + the decay of observations,
// twice 3 s). The share does not oscillate by more than the overshoot. The overshoot can be greater if MinShare
// requires it, or if the target is sent too few requests: with less than 20 responses in 3 s, observations decay before
// there are 20 of them.
//
// The zero value is ready for use. It is not safe for concurrent use.
type Pacer struct {
	share     float64
	rate      float64 // of the share, per ms
	steppedAt float64
	started   bool

	// target and source count the responses of both cells. Late and missing responses are bad.
	target, source decayingRatio
	// admissions counts the requests for the target. A request is bad if the target lacked capacity for it.
	admissions decayingRatio
	// capacityReady reports whether both cells have at least minWarmCapacity.
	capacityReady bool
}

// ObserveAnswer records a response of the target cell, or of the source cell. late is also true if there was no
// response.
func (p *Pacer) ObserveAnswer(now float64, fromTarget, late bool) {
	ratio := &p.source
	if fromTarget {
		ratio = &p.target
	}
	ratio.add(now, late)
}

// ObserveAdmission records a request for the target cell, and whether the capacity limiter admitted it.
func (p *Pacer) ObserveAdmission(now float64, admitted bool) { p.admissions.add(now, !admitted) }

// SetWarmCapacity sets the warm capacity: the current capacity of a cell as a fraction of its full capacity, 0 to 1.
// Callers pass the smaller fraction of both cells. While it is below minWarmCapacity, as during a deployment or a loss
// of caches, the share rises only as far as MinShare requires.
func (p *Pacer) SetWarmCapacity(fraction float64) { p.capacityReady = fraction >= minWarmCapacity }

// Share returns the share of the tenant's objects, in the order of Position, that this router sends to the new cell.
func (p *Pacer) Share() float64 { return p.share }

// Step advances the pacer to now, in Unix ms, and returns the share. With Unbounded and during a rollback the share
// follows MaxShare regardless of observations. If the share is below MaxShare, it first rises to MaxShare, also in a
// rollback. Observations must not delay a rollback, not even if the cell that objects move back to is degraded.
func (p *Pacer) Step(now float64, m *Migration) float64 {
	if !p.started {
		p.started = true
		p.steppedAt = now
		p.share = m.MinShare(now)
		return p.share
	}
	elapsed := now - p.steppedAt
	if elapsed < stepInterval {
		return p.share
	}
	p.steppedAt = now
	low := m.MinShare(now)
	high := m.MaxShare(now)
	if elapsed > idleAfter { // the bounds may have moved past the share meanwhile
		p.share = min(max(p.share, low), high)
		elapsed = stepInterval
	}
	maxRise := elapsed * m.MaxRiseRate()
	if m.Unbounded || m.RollbackStarted(now) {
		p.share = stepTowards(p.share, high, maxRise, elapsed*max(MaxFallRate, m.MaxRiseRate()))
		return p.share
	}
	p.rate = p.nextRate(now, m.MaxRiseRate())
	next := min(max(p.share+p.rate*elapsed, low), high)
	p.share = stepTowards(p.share, next, maxRise, elapsed*MaxFallRate)
	return p.share
}

// nextRate returns the rate of change of the share, per ms, that follows from the observations.
func (p *Pacer) nextRate(now, maxRise float64) float64 {
	switch {
	case p.targetDegraded(now):
		return -maxRise / 2
	case !p.capacityReady || p.targetLacksCapacity(now):
		return min(p.rate, 0)
	}
	return min(max(p.rate, 0)+rateIncrement*maxRise, maxRise)
}

// stepTowards returns the share after a step from one share towards another, by at most maxRise or maxFall.
func stepTowards(from, to, maxRise, maxFall float64) float64 {
	return min(max(to, from-maxFall), from+maxRise)
}

// targetDegraded reports whether the target's responses are late significantly more often than the source's.
func (p *Pacer) targetDegraded(now float64) bool {
	p.target.decay(now)
	p.source.decay(now)
	if p.target.total < minObservations {
		return false
	}
	target := p.target.ratio()
	source := p.source.ratio()
	variance := target * (1 - target) / p.target.total
	if p.source.total >= minObservations {
		variance += source * (1 - source) / p.source.total
	}
	return target > source+lateRatioTolerance+lateStandardErrors*math.Sqrt(variance)
}

// targetLacksCapacity reports whether more than maxRejectedRatio of the requests for the target were rejected.
func (p *Pacer) targetLacksCapacity(now float64) bool {
	p.admissions.decay(now)
	return p.admissions.total >= minObservations && p.admissions.ratio() > maxRejectedRatio
}

// decayingRatio is the ratio of bad to all observations. They decay with the time constant observationWindow.
type decayingRatio struct {
	total, bad float64
	updatedAt  float64 // ms
}

func (r *decayingRatio) add(now float64, bad bool) {
	r.decay(now)
	r.total++
	if bad {
		r.bad++
	}
}

func (r *decayingRatio) decay(now float64) {
	if now <= r.updatedAt {
		return
	}
	kept := math.Exp((r.updatedAt - now) / observationWindow)
	r.total *= kept
	r.bad *= kept
	r.updatedAt = now
}

// ratio returns the ratio of bad observations. A total below 1 counts as 1, so that the ratio is 0 if there are no
// observations.
func (r *decayingRatio) ratio() float64 { return r.bad / max(r.total, 1) }
