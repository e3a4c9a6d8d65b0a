package rollout

import "math"

// oddsRatios are the alternative hypotheses of the test, with equal weight. Each is a factor on the odds of a bad event
// in the ring under the null hypothesis. There are several because a test for a small degradation would find a large
// one too late.
var oddsRatios = [...]float64{1.25, 1.5, 2, 3, 5, 10}

const (
	// priorEvents are the pseudo-counts of bad events added to the ring and to the control in estimates of odds. They
	// keep the odds ratio from being 0 when there were few bad events.
	priorEvents = 2.0
	// maxUncertainty is the maximum factor by which the uncertainty of the baseline multiplies the margin. It keeps the
	// test effective for a ring without any baseline events.
	maxUncertainty = 3.0
	// minBaselineSamples is the number of samples needed to estimate the dispersion.
	minBaselineSamples = 5
	// smallestProbability keeps logarithms finite.
	smallestProbability = 1e-9
)

// evidence is the sequential probability ratio test of one metric (Wald 1945). It tests the probability that a bad
// event, of ring or control, occurred in the ring. Under the null hypothesis the odds that it occurred in the ring are
// the number of events of the ring divided by that of the control, times the baseline odds ratio, times
// baselineUncertainty, times the margin. Under each alternative they are also multiplied by one of oddsRatios. The log
// likelihood ratio of each alternative is summed over samples. The test statistic is the mean of the likelihood ratios.
// It may be compared with its threshold at any time.
type evidence struct {
	// Baseline, from before the ring opened.
	ring, control     Counts
	squaredDeviations float64 // sum over samples of (actual - expected bad events of the ring)^2 / variance
	baselineSamples   float64
	dispersion        float64 // variance of bad events relative to that of independent events: 1 or more

	// Since the ring opened.
	logRatios              [len(oddsRatios)]float64 // log likelihood ratios, by alternative
	minDegradationLogRatio float64                  // log likelihood ratio of a degradation by MinDegradation to none
}

// addBaseline adds the counts of a sample from before the ring opened.
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

// estimateDispersion estimates the dispersion from the baseline samples if there are at least minBaselineSamples.
func (e *evidence) estimateDispersion() {
	if e.baselineSamples >= minBaselineSamples {
		e.dispersion = max(e.squaredDeviations/e.baselineSamples, 1)
	}
}

// baselineOddsRatio returns the odds of a bad event in the ring, relative to the control, before the ring opened. It is
// 1 if the ring or the control had no events.
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

// baselineUncertainty returns the factor by which baselineOddsRatio may be wrong. Its logarithm is two standard errors
// of the logarithm of the odds ratio. The factor is at most maxUncertainty.
func (e *evidence) baselineUncertainty() float64 {
	variance := e.dispersion * (1/(e.ring.Bad+priorEvents) + 1/(e.control.Bad+priorEvents))
	return min(math.Exp(2*math.Sqrt(variance)), maxUncertainty)
}

// add adds the counts of a sample from after the ring opened. It ignores a sample if the ring or the control has
// no events or more bad events than events, or if neither has bad events.
func (e *evidence) add(ring, control Counts, p *TestParameters) {
	empty := !(ring.Total > 0 && control.Total > 0 && ring.Bad+control.Bad > 0)
	if empty || ring.Bad > ring.Total || control.Bad > control.Total {
		return
	}
	uncertainty := e.baselineUncertainty()
	nullOddsRatio := e.baselineOddsRatio() * p.Margin * uncertainty
	null := expectedRingShare(ring.Total, control.Total, nullOddsRatio)
	for i, oddsRatio := range oddsRatios {
		alternative := expectedRingShare(ring.Total, control.Total, nullOddsRatio*oddsRatio)
		e.logRatios[i] += logLikelihoodRatio(ring.Bad, control.Bad, null, alternative) / e.dispersion
	}
	// For the verdict Healthy the baseline odds ratio is assumed to be one standard error below its estimate.
	lowOddsRatio := e.baselineOddsRatio() / math.Sqrt(uncertainty)
	noDegradation := expectedRingShare(ring.Total, control.Total, lowOddsRatio)
	minDegradation := expectedRingShare(ring.Total, control.Total, lowOddsRatio*p.MinDegradation)
	e.minDegradationLogRatio += logLikelihoodRatio(ring.Bad, control.Bad, noDegradation, minDegradation) / e.dispersion
}

// mixtureLogRatio returns the logarithm of the mean likelihood ratio of all alternatives.
func (e *evidence) mixtureLogRatio() float64 {
	maxLogRatio := math.Inf(-1)
	for _, l := range e.logRatios {
		maxLogRatio = max(maxLogRatio, l)
	}
	sum := 0.0
	for _, l := range e.logRatios {
		sum += math.Exp(l - maxLogRatio)
	}
	return maxLogRatio + math.Log(sum/float64(len(e.logRatios)))
}

// expectedRingShare returns the expected fraction of bad events that are events of the ring, given the numbers of
// events of ring and control and the odds ratio of a bad event in the ring.
func expectedRingShare(ring, control, oddsRatio float64) float64 {
	return clampProbability(oddsRatio * ring / (oddsRatio*ring + control))
}

func clampProbability(q float64) float64 {
	return min(max(q, smallestProbability), 1-smallestProbability)
}

// logLikelihoodRatio returns the log likelihood ratio of two hypotheses, given the numbers of bad events in ring and
// control. null and alternative are the probabilities that a bad event is an event of the ring.
func logLikelihoodRatio(ring, control, null, alternative float64) float64 {
	return ring*math.Log(alternative/null) + control*math.Log((1-alternative)/(1-null))
}
