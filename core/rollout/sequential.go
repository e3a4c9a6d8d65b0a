package rollout

import "math"

// TestParameters say how a ring is tested.
type TestParameters struct {
	Alpha   float64 // greatest probability that a release without harm is stopped: above 0, under 0.5
	Beta    float64 // greatest probability that harm of MinHarm or more is called Healthy: above 0, under 0.5
	MinHarm float64 // smallest harm that matters, as a factor on the odds of a bad event: above Margin, at most 100
	Margin  float64 // factor on those odds that is no harm, as rings differ a little by themselves: 1 or more
}

// Validate returns the first parameter that is out of bounds, as an error that wraps ErrInvalid.
func (p *TestParameters) Validate() error {
	switch {
	case !(p.Alpha > 0 && p.Alpha < 0.5):
		return invalid("alpha", "%v is not above 0 and under 0.5", p.Alpha)
	case !(p.Beta > 0 && p.Beta < 0.5):
		return invalid("beta", "%v is not above 0 and under 0.5", p.Beta)
	case !(p.Margin >= 1):
		return invalid("margin", "%v is not 1 or more", p.Margin)
	case !(p.MinHarm > p.Margin && p.MinHarm <= maxHarm):
		return invalid("least", "%v is not above margin (%v) and at most %d", p.MinHarm, p.Margin, maxHarm)
	}
	return nil
}

// ExpectedEvents is the number of bad events, of ring and control together, after which harm of a factor is found on
// average. ringPart is the part of all events that are the ring's, dispersion 1 or more for bad events that come in
// bursts. It is what the test statistic must reach, divided by what one event adds to it; math.Inf(1) for harm that
// is not found.
func (p *TestParameters) ExpectedEvents(factor, ringPart, dispersion float64) float64 {
	harmless := expectedRingShare(ringPart, 1-ringPart, p.Margin)
	actual := expectedRingShare(ringPart, 1-ringPart, factor)
	perEvent := 0.0
	for _, f := range oddsFactors {
		harmful := expectedRingShare(ringPart, 1-ringPart, p.Margin*f)
		perEvent = max(perEvent, logLikelihoodRatio(actual, 1-actual, harmless, harmful))
	}
	if perEvent <= 0 {
		return math.Inf(1)
	}
	threshold := math.Log(float64(metricCount) * float64(len(oddsFactors)) / p.Alpha)
	return threshold * max(dispersion, 1) / perEvent
}

// Verdict is what the evidence amounts to so far.
type Verdict int

// The verdicts.
const (
	Undecided Verdict = iota // neither is shown yet
	Harmful                  // some metric is worse in the ring
	Healthy                  // harm of MinHarm or more is ruled out in every metric
)

var verdictNames = []string{"open", "harm", "sound"}

// String returns the word for the verdict that tests and logs use.
func (v Verdict) String() string { return verdictNames[v] }

// SequentialTest tests a ring against its control, sample by sample: a sequential probability ratio test of each metric
// (evidence), whose verdict holds whenever it is read. NewSequentialTest makes one; the zero value is not usable.
type SequentialTest struct {
	parameters TestParameters
	metrics    [metricCount]evidence
	started    bool // the baseline is frozen
}

// NewSequentialTest returns a test without a sample, or the error of p.Validate.
func NewSequentialTest(p TestParameters) (*SequentialTest, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}
	t := &SequentialTest{parameters: p}
	for i := range t.metrics {
		t.metrics[i].dispersion = 1
	}
	return t, nil
}

// AddBaseline takes in a sample from before the ring was opened: how ring and control differ by themselves, and how
// much bad events come in bursts. It has no effect once Add has been called.
func (t *SequentialTest) AddBaseline(s Sample) {
	if t.started {
		return
	}
	for i := range t.metrics {
		t.metrics[i].addBaseline(s.Ring[i], s.Control[i])
	}
}

// Add takes in a sample from after the ring was opened. Counts that can't be, more bad events than events, are left
// out.
func (t *SequentialTest) Add(s Sample) {
	if !t.started {
		t.started = true
		for i := range t.metrics {
			t.metrics[i].freezeBaseline()
		}
	}
	for i := range t.metrics {
		t.metrics[i].add(s.Ring[i], s.Control[i], &t.parameters)
	}
}

// Verdict returns what the evidence amounts to, and for Harmful in which metric. Each metric has its part of Alpha.
func (t *SequentialTest) Verdict() (Verdict, Metric) {
	healthy := t.started
	for i := range t.metrics {
		e := &t.metrics[i]
		if e.mixtureLogRatio() >= math.Log(float64(metricCount)/t.parameters.Alpha) {
			return Harmful, Metric(i)
		}
		healthy = healthy && e.minHarmLogRatio <= math.Log(t.parameters.Beta)
	}
	if healthy {
		return Healthy, 0
	}
	return Undecided, 0
}

// Evidence is the log likelihood ratio for harm in a metric. Those of routers that saw different requests may be
// summed, and the sum held against the same bound.
func (t *SequentialTest) Evidence(m Metric) float64 { return t.metrics[m].mixtureLogRatio() }
