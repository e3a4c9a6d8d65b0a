package migration

import "math"

// What a router's pace goes by. Times are milliseconds.
const (
	stepInterval       = 250.0  // between two looks
	idleAfter          = 2000.0 // without a look after which a router goes on from the document
	observationWindow  = 3000.0 // over which what was seen is forgotten
	minObservations    = 20.0   // answers of a cell that tell something
	lateRatioTolerance = 0.03   // part of late answers past that of the other cell that is harm
	lateStandardErrors = 2.0    // and so many standard errors beside
	maxRejectedRatio   = 0.25   // part of what should go over and can't, past which the share stays
	minWarmCapacity    = 0.8    // part of what a cell would bear warm, under which nothing more is moved into or out of it
	rateIncrement      = 0.25   // of the greatest speed, added at each look that finds nothing wrong
	// maxRateFactor, in shares of a Shift: a router that has waited may catch up.
	maxRateFactor = 2.0
)

// MaxFallRate is the greatest speed, a millisecond, at which a share falls.
const MaxFallRate = 1.0 / ShortestShiftMs

// MaxRiseRate is the greatest speed at which the share of a move rises.
func (m *Migration) MaxRiseRate() float64 { return maxRateFactor / m.MinShift }

// Pacer is how far one router is with one move. Between the document's Floor and Share it goes up while the new cell answers as well as the
// old one, stays while the new cell has no room or either cell is being replaced, and goes back while the new one answers later.
//
// It is stable in this sense: its speed is bounded by MaxRiseRate and MaxFallRate, it looks every 250 ms at evidence that is forgotten over 3 s,
// and it turns at the first look that finds harm. So it passes the share from which the new cell does harm by at most
// MaxRiseRate times (250 ms + the time in which 20 late answers come + a forgetting), and goes to and fro there by no more than that.
type Pacer struct {
	share         float64
	rate          float64 // a millisecond
	steppedAt     float64
	started       bool
	target        decayingRatio // answers of the cell that objects go to
	source        decayingRatio // and of the one that they come from
	capacityReady bool          // both cells bear most of what they can
	admissions    decayingRatio // requests that should go over: late counts those that could not
}

// decayingRatio fades by itself.
type decayingRatio struct{ total, adverse, updatedAt float64 }

func (s *decayingRatio) add(now, late float64) {
	s.decay(now)
	s.total++
	s.adverse += late
}

func (s *decayingRatio) decay(now float64) {
	if now > s.updatedAt {
		keep := math.Exp((s.updatedAt - now) / observationWindow)
		s.total, s.adverse, s.updatedAt = s.total*keep, s.adverse*keep, now
	}
}

func (s *decayingRatio) ratio() float64 { return s.adverse / max(s.total, 1) }

// ObserveAnswer books an answer: of the cell that objects go to or of the other one, and whether it was late or no answer at all.
func (p *Pacer) ObserveAnswer(now float64, into, late bool) {
	at := &p.source
	if into {
		at = &p.target
	}
	n := 0.0
	if late {
		n = 1
	}
	at.add(now, n)
}

// ObserveAdmission books a request that should go over, and whether there was room for it.
func (p *Pacer) ObserveAdmission(now float64, room bool) {
	n := 0.0
	if !room {
		n = 1
	}
	p.admissions.add(now, n)
}

// SetWarmCapacity tells which part of what they would bear warm the cells of a move bear now, the lesser of both: in a deploy, or while caches are
// lost, the share stays as far as the document lets it, and goes on by itself afterwards.
func (p *Pacer) SetWarmCapacity(part float64) { p.capacityReady = part >= minWarmCapacity }

// Share is the present part of the tenant's objects, in their order, that this router sends to the move's new cell.
func (p *Pacer) Share() float64 { return p.share }

// Step lets time pass. A move that was taken back goes down as its document says: Saw then speaks of the old cell as the one that objects
// go to, and does not hold it up, since the way back must be open.
func (p *Pacer) Step(now float64, m *Migration) float64 {
	if !p.started {
		p.started, p.steppedAt, p.share = true, now, m.MinShare(now)
		return p.share
	}
	gone := now - p.steppedAt
	if gone < stepInterval {
		return p.share
	}
	p.steppedAt = now
	low, high := m.MinShare(now), m.MaxShare(now)
	if gone > idleAfter { // it had nothing to do meanwhile: it is where one that starts now is, or further if it was
		p.share = min(max(p.share, low), high)
		gone = stepInterval
	}
	switch {
	case m.Unbounded || m.RollbackStarted(now):
		p.share = stepTowards(p.share, high, gone*m.MaxRiseRate(), gone*max(MaxFallRate, m.MaxRiseRate()))
		return p.share
	case p.targetDegraded(now):
		p.rate = -m.MaxRiseRate() / 2
	case !p.capacityReady || p.targetFull(now):
		p.rate = min(p.rate, 0)
	default:
		p.rate = min(max(p.rate, 0)+rateIncrement*m.MaxRiseRate(), m.MaxRiseRate())
	}
	to := min(max(p.share+p.rate*gone, low), high)
	p.share = stepTowards(p.share, to, gone*m.MaxRiseRate(), gone*MaxFallRate)
	return p.share
}

// stepTowards goes from one share towards another by bounded steps.
func stepTowards(from, to, up, down float64) float64 {
	return min(max(to, from-down), from+up)
}

// targetDegraded reports that the new cell answers late more often than the old one, past doubt.
func (p *Pacer) targetDegraded(now float64) bool {
	p.target.decay(now)
	p.source.decay(now)
	if p.target.total < minObservations {
		return false
	}
	a := p.target.ratio()
	b := p.source.ratio()
	v := a * (1 - a) / p.target.total
	if p.source.total >= minObservations {
		v += b * (1 - b) / p.source.total
	}
	return a > b+lateRatioTolerance+lateStandardErrors*math.Sqrt(v)
}

// targetFull reports that the new cell takes too little of what should go over for more to be sent its way.
func (p *Pacer) targetFull(now float64) bool {
	p.admissions.decay(now)
	return p.admissions.total >= minObservations && p.admissions.ratio() > maxRejectedRatio
}
