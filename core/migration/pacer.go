package migration

import "math"

// Constants of the Pacer. Times are milliseconds.
const (
	// stepInterval is the least time between two decisions.
	stepInterval = 250.0
	// idleAfter is the time without a step after which a router continues from the document's bounds.
	idleAfter = 2000.0
	// observationWindow is the time constant with which observations decay.
	observationWindow = 3000.0
	// minObservations is how many observations a ratio needs to count as evidence.
	minObservations = 20.0
	// lateRatioTolerance is how much greater the target's ratio of late answers may be than the source's, beside
	// lateStandardErrors standard errors of the difference.
	lateRatioTolerance = 0.03
	lateStandardErrors = 2.0
	// maxRejectedRatio is the ratio of requests due at the target that it lacks capacity for, past which the share stays.
	maxRejectedRatio = 0.25
	// minWarmCapacity is the part of its warm capacity that either cell must have at present for the share to rise.
	minWarmCapacity = 0.8
	// rateIncrement is the part of MaxRiseRate that the rate gains at each step without a finding.
	rateIncrement = 0.25
	// maxRateFactor times 1/MinShift is MaxRiseRate: a router that had to wait may catch up.
	maxRateFactor = 2.0
)

// MaxFallRate is the greatest rate, per ms, at which a share falls.
const MaxFallRate = 1.0 / ShortestShiftMs

// MaxRiseRate is the greatest rate, per ms, at which the share of the migration rises.
func (m *Migration) MaxRiseRate() float64 { return maxRateFactor / m.MinShift }

// Pacer controls the share of one migration at one router, between the document's MinShare and MaxShare. The share
// rises while the target cell answers as well as the source, stays while the target lacks capacity or either cell is
// being replaced, and falls while the target answers late more often.
//
// Its rate is bounded by MaxRiseRate and MaxFallRate, it decides every 250 ms on observations that decay over 3 s,
// and it reverses at the first step that finds the target degraded. So it overshoots the share from which the target
// is degraded by at most MaxRiseRate times (250 ms + the time in which 20 late answers come + the decay), and
// oscillates by no more.
//
// The zero value is ready for use. It is not safe for concurrent use.
type Pacer struct {
	share     float64
	rate      float64 // of the share, per ms
	steppedAt float64
	started   bool

	// target and source count answers of the cell that objects go to and of the one that they come from; adverse are
	// those that were late or missing.
	target, source decayingRatio
	// admissions count requests that should go to the target; adverse are those for which it lacked capacity.
	admissions decayingRatio
	// capacityReady: both cells have minWarmCapacity.
	capacityReady bool
}

// ObserveAnswer records an answer, of the target or else of the source, and whether it was late or missing.
func (p *Pacer) ObserveAnswer(now float64, fromTarget, late bool) {
	ratio := &p.source
	if fromTarget {
		ratio = &p.target
	}
	ratio.add(now, late)
}

// ObserveAdmission records a request that should go to the target, and whether there was capacity for it.
func (p *Pacer) ObserveAdmission(now float64, admitted bool) { p.admissions.add(now, !admitted) }

// SetWarmCapacity sets the part of its warm capacity that a cell of the migration has at present, the lesser of both.
// During a deploy, or while caches are lost, the share stays as far as the document allows, and rises by itself
// afterwards.
func (p *Pacer) SetWarmCapacity(part float64) { p.capacityReady = part >= minWarmCapacity }

// Share is the part of the tenant's objects, in the order of Position, that this router sends to the new cell at
// present.
func (p *Pacer) Share() float64 { return p.share }

// Step advances to now and returns the share. A migration that is rolled back falls as its document says: ObserveAnswer
// then has the old cell as the target, which does not hold it up, since the way back must stay open.
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
	if elapsed > idleAfter { // at least where a router that starts now is
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

// nextRate is the rate from now on, by what has been observed.
func (p *Pacer) nextRate(now, maxRise float64) float64 {
	switch {
	case p.targetDegraded(now):
		return -maxRise / 2
	case !p.capacityReady || p.targetFull(now):
		return min(p.rate, 0)
	}
	return min(max(p.rate, 0)+rateIncrement*maxRise, maxRise)
}

// stepTowards goes from one share towards another, by maxRise or maxFall at most.
func stepTowards(from, to, maxRise, maxFall float64) float64 {
	return min(max(to, from-maxFall), from+maxRise)
}

// targetDegraded reports whether the target answers late more often than the source, beyond chance.
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

// targetFull reports whether the target lacks capacity for too many of the requests that are due there.
func (p *Pacer) targetFull(now float64) bool {
	p.admissions.decay(now)
	return p.admissions.total >= minObservations && p.admissions.ratio() > maxRejectedRatio
}

// decayingRatio is the ratio of adverse observations to all, each of which decays over observationWindow.
type decayingRatio struct {
	total, adverse float64
	updatedAt      float64 // ms
}

func (r *decayingRatio) add(now float64, adverse bool) {
	r.decay(now)
	r.total++
	if adverse {
		r.adverse++
	}
}

func (r *decayingRatio) decay(now float64) {
	if now <= r.updatedAt {
		return
	}
	kept := math.Exp((r.updatedAt - now) / observationWindow)
	r.total *= kept
	r.adverse *= kept
	r.updatedAt = now
}

// ratio is 0 without observations, and small while they amount to less than one.
func (r *decayingRatio) ratio() float64 { return r.adverse / max(r.total, 1) }
