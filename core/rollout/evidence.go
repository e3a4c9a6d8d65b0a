package rollout

import "math"

// oddsFactors are the degrees of harm that are tested against, with equal weight: harm as factors on the odds of a bad
// event. Small harm takes long to find, great harm must not.
var oddsFactors = [...]float64{1.25, 1.5, 2, 3, 5, 10}

const (
	// priorEvents stand on each side for what is unknown of the odds: few bad events before must not fix a ratio of 0.
	priorEvents = 2.0
	// maxUncertainty bounds what the baseline's uncertainty adds to the margin: a ring of which nothing was seen before
	// is tested all the same.
	maxUncertainty = 3.0
	// minBaselineSamples is how many samples are needed to estimate the dispersion.
	minBaselineSamples = 5
	// smallestProbability keeps logarithms finite.
	smallestProbability = 1e-9
)

// evidence is the sequential probability ratio test of one metric (Wald 1945). A bad event, of ring and control
// together, is the ring's with a probability that follows from odds: those by the numbers of events on both sides,
// times the ratio before the ring opened, times the margin; under harm times a factor besides. The log likelihood
// ratio of each factor is summed over samples. The mean of their likelihood ratios is a test that may be read at any
// time.
type evidence struct {
	// Before the ring opened.
	ring, control     Counts
	squaredDeviations float64 // sum of squared standardized differences, over samples
	baselineSamples   float64
	dispersion        float64 // variance of bad events, over that of independent ones: 1 or more

	// Since then.
	logRatios       [len(oddsFactors)]float64 // by factor
	minHarmLogRatio float64                   // of harm of MinHarm, against none
}

// addBaseline takes in the counts of a sample from before the ring opened.
func (e *evidence) addBaseline(ring, control Counts) {
	e.ring.add(ring)
	e.control.add(control)
	bad := ring.Bad + control.Bad
	if !(bad > 0 && ring.Total > 0 && control.Total > 0) {
		return
	}
	expected := expectedRingShare(ring.Total, control.Total, e.baselineOddsRatio())
	deviation := ring.Bad - bad*expected
	e.squaredDeviations += deviation * deviation / (bad * expected * (1 - expected))
	e.baselineSamples++
}

// freezeBaseline sets the dispersion from the samples before the ring opened.
func (e *evidence) freezeBaseline() {
	if e.baselineSamples >= minBaselineSamples {
		e.dispersion = max(e.squaredDeviations/e.baselineSamples, 1)
	}
}

// baselineOddsRatio is the ratio of the odds of a bad event before, ring to control.
func (e *evidence) baselineOddsRatio() float64 {
	ring, control := e.ring, e.control
	if ring.Total == 0 || control.Total == 0 {
		return 1
	}
	rate := (ring.Bad + control.Bad + priorEvents) / (ring.Total + control.Total + priorEvents)
	ringOdds := (ring.Bad + priorEvents) / (ring.Total + priorEvents/rate)
	controlOdds := (control.Bad + priorEvents) / (control.Total + priorEvents/rate)
	return ringOdds / controlOdds
}

// baselineUncertainty is the factor by which that ratio may be off: two standard errors, within maxUncertainty.
func (e *evidence) baselineUncertainty() float64 {
	variance := e.dispersion * (1/(e.ring.Bad+priorEvents) + 1/(e.control.Bad+priorEvents))
	return min(math.Exp(2*math.Sqrt(variance)), maxUncertainty)
}

// add takes in the counts of a sample from after the ring opened.
func (e *evidence) add(ring, control Counts, p *TestParameters) {
	empty := !(ring.Total > 0 && control.Total > 0 && ring.Bad+control.Bad > 0)
	if empty || ring.Bad > ring.Total || control.Bad > control.Total {
		return
	}
	uncertainty := e.baselineUncertainty()
	harmlessOdds := e.baselineOddsRatio() * p.Margin * uncertainty
	harmless := expectedRingShare(ring.Total, control.Total, harmlessOdds)
	for i, factor := range oddsFactors {
		harmful := expectedRingShare(ring.Total, control.Total, harmlessOdds*factor)
		e.logRatios[i] += logLikelihoodRatio(ring.Bad, control.Bad, harmless, harmful) / e.dispersion
	}
	// What is called healthy must be so also if the ring was better before than it looked, by one standard error.
	lowOdds := e.baselineOddsRatio() / math.Sqrt(uncertainty)
	noHarm := expectedRingShare(ring.Total, control.Total, lowOdds)
	minHarm := expectedRingShare(ring.Total, control.Total, lowOdds*p.MinHarm)
	e.minHarmLogRatio += logLikelihoodRatio(ring.Bad, control.Bad, noHarm, minHarm) / e.dispersion
}

// mixtureLogRatio is the log of the mean likelihood ratio over all factors.
func (e *evidence) mixtureLogRatio() float64 {
	greatest := math.Inf(-1)
	for _, l := range e.logRatios {
		greatest = max(greatest, l)
	}
	sum := 0.0
	for _, l := range e.logRatios {
		sum += math.Exp(l - greatest)
	}
	return greatest + math.Log(sum/float64(len(e.logRatios)))
}

// expectedRingShare is the expected part of bad events that are the ring's, by the events on both sides and a factor on
// the ring's odds.
func expectedRingShare(ring, control, oddsFactor float64) float64 {
	return clampProbability(oddsFactor * ring / (oddsFactor*ring + control))
}

func clampProbability(q float64) float64 {
	return min(max(q, smallestProbability), 1-smallestProbability)
}

// logLikelihoodRatio is the log of how much more likely so many bad events in ring and control are if one is the ring's
// with probability alternative than with probability null.
func logLikelihoodRatio(ring, control, null, alternative float64) float64 {
	return ring*math.Log(alternative/null) + control*math.Log((1-alternative)/(1-null))
}
