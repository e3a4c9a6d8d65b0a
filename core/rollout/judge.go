// Package rollout lets a release or a price file into cells ring by ring, and judges each ring against the cells that are still on the old
// version. Harmful stops it.
//
// The guarantee: as long as bad events of ring and control come independently but for bursts as in the time before, a release that does no
// harm is stopped with probability Alpha at most, however long and however often one looks (Ville's inequality), all measures together.
//
// The package does no I/O and reads no clock: counts and times come in.
package rollout

import (
	"errors"
	"fmt"
	"math"
)

// Metric is one kind of bad event.
type Metric int

// The measures.
const (
	LateAnswers Metric = iota // answers without timely worth
	Failures                  // requests that failed
	FillErrors                // fills that failed
	metricCount               // how many there are
)

var metricNames = [metricCount]string{"late answers", "failures", "fill errors"}

func (m Metric) String() string { return metricNames[m] }

// Counts counts events of one side in one look: of N, so many were bad.
type Counts struct{ Total, Bad float64 }

// Sample is what ring and control did between two looks, by measure.
type Sample struct{ Ring, Control [metricCount]Counts }

// TestParameters say how a ring is judged.
type TestParameters struct {
	Alpha   float64 // probability at most that a release without harm is stopped
	Beta    float64 // probability at most that harm of Least or more is called sound
	MinHarm float64 // smallest harm that matters: factor on the odds of a bad event
	Margin  float64 // factor on those odds that is no harm: rings differ a little by themselves
}

// Validate reports the first term that can't be used.
func (t *TestParameters) Validate() error {
	switch {
	case !(t.Alpha > 0 && t.Alpha < 0.5):
		return fmt.Errorf("alpha: %v is not above 0 and under 0.5", t.Alpha)
	case !(t.Beta > 0 && t.Beta < 0.5):
		return fmt.Errorf("beta: %v is not above 0 and under 0.5", t.Beta)
	case !(t.Margin >= 1 && t.Margin < t.MinHarm && t.MinHarm <= 100):
		return errors.New("margin, least: 1 <= margin < least <= 100")
	}
	return nil
}

// Verdict is what the evidence says so far.
type Verdict int

// The verdicts.
const (
	Undecided Verdict = iota // neither is shown yet
	Harmful                  // some measure is worse in the ring
	Healthy                  // harm of Least or more is ruled out in every measure
)

var verdictNames = []string{"open", "harm", "sound"}

func (v Verdict) String() string { return verdictNames[v] }

// oddsFactors on the odds against which evidence is sought, each a bet of the same stake: small harm takes long, great harm must not.
var oddsFactors = [...]float64{1.25, 1.5, 2, 3, 5, 10}

// evidence of one measure. A bad event is the ring's with probability q: its odds by the numbers of events on both sides, times what they
// were before, times the margin; with harm times a factor besides. What the events of a look have for or against each factor is
// summed (Wald 1945), and betting on all of them at once gives a test that may be looked at at any time.
type evidence struct {
	baseline          [2]Counts // ring and control, before the ring opened
	dispersion        float64   // how much more bad events vary than independent ones: at least 1
	squaredDeviations float64   // sum of squared standardized differences, over looks, before
	baselineSamples   float64
	logRatios         [len(oddsFactors)]float64
	minHarmLogRatio   float64 // the same for the smallest harm that matters
}

// SequentialTest weighs a ring against its control. The zero value can't be used: NewSequentialTest makes one.
type SequentialTest struct {
	parameters TestParameters
	metrics    [metricCount]evidence
	started    bool
}

// NewSequentialTest returns a judge that has seen nothing.
func NewSequentialTest(t TestParameters) (*SequentialTest, error) {
	if err := t.Validate(); err != nil {
		return nil, err
	}
	j := &SequentialTest{parameters: t}
	for i := range j.metrics {
		j.metrics[i].dispersion = 1
	}
	return j, nil
}

// AddBaseline takes in a look at the time before the ring is opened: how the two differ by themselves, and how much bad events come in bursts.
// It has no effect once Add has been called.
func (j *SequentialTest) AddBaseline(l Sample) {
	if j.started {
		return
	}
	for i := range j.metrics {
		e := &j.metrics[i]
		r, c := l.Ring[i], l.Control[i]
		e.baseline[0].add(r)
		e.baseline[1].add(c)
		if k := r.Bad + c.Bad; k > 0 && r.Total > 0 && c.Total > 0 {
			q := expectedRingShare(r.Total, c.Total, e.baselineOddsRatio())
			d := r.Bad - k*q
			e.squaredDeviations += d * d / (k * q * (1 - q))
			e.baselineSamples++
		}
	}
}

func (t *Counts) add(o Counts) {
	t.Total += o.Total
	t.Bad += o.Bad
}

// priorEvents events stand on each side for what is not known of odds: few bad events before must not fix a ratio of 0.
const priorEvents = 2.0

// baselineOddsRatio of the odds of a bad event, ring to control, before.
func (e *evidence) baselineOddsRatio() float64 {
	r, c := e.baseline[0], e.baseline[1]
	if r.Total == 0 || c.Total == 0 {
		return 1
	}
	rate := (r.Bad + c.Bad + priorEvents) / (r.Total + c.Total + priorEvents)
	return ((r.Bad + priorEvents) / (r.Total + priorEvents/rate)) / ((c.Bad + priorEvents) / (c.Total + priorEvents/rate))
}

// baselineUncertainty is the factor by which that ratio may be off, two standard errors.
func (e *evidence) baselineUncertainty() float64 {
	r, c := e.baseline[0], e.baseline[1]
	return math.Exp(2 * math.Sqrt(e.dispersion*(1/(r.Bad+priorEvents)+1/(c.Bad+priorEvents))))
}

// maxUncertainty bounds what doubt adds to the margin: a ring of which nothing was seen before is judged all the same.
const maxUncertainty = 3.0

func clampProbability(q float64) float64 { return min(max(q, 1e-9), 1-1e-9) }

// expectedRingShare of bad events that the ring has, at a factor on its odds.
func expectedRingShare(ring, control, factor float64) float64 {
	return clampProbability(factor * ring / (factor*ring + control))
}

// freezeBaseline fixes what was learnt before.
func (j *SequentialTest) freezeBaseline() {
	j.started = true
	for i := range j.metrics {
		if e := &j.metrics[i]; e.baselineSamples >= 5 {
			e.dispersion = max(e.squaredDeviations/e.baselineSamples, 1)
		}
	}
}

// Add takes in a look at the time since the ring was opened.
func (j *SequentialTest) Add(l Sample) {
	if !j.started {
		j.freezeBaseline()
	}
	for i := range j.metrics {
		e := &j.metrics[i]
		r, c := l.Ring[i], l.Control[i]
		k := r.Bad + c.Bad
		if !(r.Total > 0 && c.Total > 0 && k > 0) || r.Bad > r.Total || c.Bad > c.Total {
			continue
		}
		doubt := min(e.baselineUncertainty(), maxUncertainty)
		base := e.baselineOddsRatio() * j.parameters.Margin * doubt
		q0 := expectedRingShare(r.Total, c.Total, base)
		for f, factor := range oddsFactors {
			e.logRatios[f] += logLikelihoodRatio(r.Bad, c.Bad, q0, expectedRingShare(r.Total, c.Total, base*factor)) / e.dispersion
		}
		low := e.baselineOddsRatio() / math.Sqrt(doubt) // by one standard error: what is called sound must be so if the ring was better before than it looked
		e.minHarmLogRatio += logLikelihoodRatio(r.Bad, c.Bad, expectedRingShare(r.Total, c.Total, low), expectedRingShare(r.Total, c.Total, low*j.parameters.MinHarm)) / e.dispersion
	}
}

// logLikelihoodRatio is the log of how much more likely what was seen is with q1 than with q0.
func logLikelihoodRatio(ring, control, q0, q1 float64) float64 {
	return ring*math.Log(q1/q0) + control*math.Log((1-q1)/(1-q0))
}

// mixtureLogRatio is the log of what an even stake on all factors has become.
func (e *evidence) mixtureLogRatio() float64 {
	most := math.Inf(-1)
	for _, l := range e.logRatios {
		most = max(most, l)
	}
	sum := 0.0
	for _, l := range e.logRatios {
		sum += math.Exp(l - most)
	}
	return most + math.Log(sum/float64(len(e.logRatios)))
}

// Verdict tells what the evidence says, and of harm in which measure.
func (j *SequentialTest) Verdict() (Verdict, Metric) {
	sound := j.started
	for i := range j.metrics {
		e := &j.metrics[i]
		if e.mixtureLogRatio() >= math.Log(float64(metricCount)/j.parameters.Alpha) {
			return Harmful, Metric(i)
		}
		sound = sound && e.minHarmLogRatio <= math.Log(j.parameters.Beta)
	}
	if sound {
		return Healthy, 0
	}
	return Undecided, 0
}

// Evidence is the log of the bet on a measure: of routers that saw different requests it may be summed, and the sum is judged by the
// same bound.
func (j *SequentialTest) Evidence(m Metric) float64 { return j.metrics[m].mixtureLogRatio() }

// ExpectedEvents is the number of bad events, of ring and control together, after which harm of a factor is found on average, where the ring has a
// part of all events: what there is to be won from one event, into what a bet must win.
func (t *TestParameters) ExpectedEvents(factor, part, burst float64) float64 {
	base := t.Margin
	q0, q := expectedRingShare(part, 1-part, base), expectedRingShare(part, 1-part, factor)
	best := 0.0
	for _, f := range oddsFactors {
		q1 := expectedRingShare(part, 1-part, base*f)
		best = max(best, q*math.Log(q1/q0)+(1-q)*math.Log((1-q1)/(1-q0)))
	}
	if best <= 0 {
		return math.Inf(1)
	}
	return math.Log(float64(metricCount)*float64(len(oddsFactors))/t.Alpha) * max(burst, 1) / best
}

// MetricNames names all measures, in their order.
func MetricNames() []string { return metricNames[:] }
