package rollout

import "math"

// TestParameters are the error probabilities and effect sizes of the test of a ring.
type TestParameters struct {
	Alpha          float64 // maximum probability that a release without degradation is stopped: above 0, below 0.5
	Beta           float64 // maximum probability that MinDegradation or more is judged Healthy: above 0, below 0.5
	MinDegradation float64 // smallest degradation to be found, an odds ratio of a bad event: above Margin, at most 100
	Margin         float64 // odds ratio that is tolerated, because cells differ slightly anyway: 1 or more
}

// Validate returns an error for the first parameter that is out of bounds, or nil. The error wraps ErrInvalid.
func (p *TestParameters) Validate() error {
	switch {
	case !(p.Alpha > 0 && p.Alpha < 0.5):
		return invalid("alpha", "%v is not above 0 and below 0.5", p.Alpha)
	case !(p.Beta > 0 && p.Beta < 0.5):
		return invalid("beta", "%v is not above 0 and below 0.5", p.Beta)
	case !(p.Margin >= 1):
		return invalid("margin", "%v is not at least 1", p.Margin)
	case !(p.MinDegradation > p.Margin && p.MinDegradation <= maxMinDegradation):
		return invalid("least", "%v is not above margin (%v) and at most %d", p.MinDegradation, p.Margin, maxMinDegradation)
	}
	return nil
}

// ExpectedEvents returns the average number of bad events, of ring and control together, until a degradation is found.
// It returns math.Inf(1) if the degradation is too small to be found. oddsRatio is the degradation, as the odds ratio
// of a bad event. ringFraction is the fraction of all events that are events of the ring. dispersion is above 1 if bad
// events occur in bursts. The result is the threshold of the test statistic divided by its expected increase for each
// event.
func (p *TestParameters) ExpectedEvents(oddsRatio, ringFraction, dispersion float64) float64 {
	null := expectedRingShare(ringFraction, 1-ringFraction, p.Margin)
	actual := expectedRingShare(ringFraction, 1-ringFraction, oddsRatio)
	perEvent := 0.0
	for _, r := range oddsRatios {
		alternative := expectedRingShare(ringFraction, 1-ringFraction, p.Margin*r)
		perEvent = max(perEvent, logLikelihoodRatio(actual, 1-actual, null, alternative))
	}
	if perEvent <= 0 {
		return math.Inf(1)
	}
	threshold := math.Log(float64(metricCount) * float64(len(oddsRatios)) / p.Alpha)
	return threshold * max(dispersion, 1) / perEvent
}

// Verdict is the result of a SequentialTest so far.
type Verdict int

// A verdict is based on the samples so far. Any of these verdicts may change with further samples.
const (
	Undecided Verdict = iota // not enough evidence for either of the following
	Degraded                 // a degradation of some metric in the ring was found
	Healthy                  // a degradation of MinDegradation or more is ruled out in every metric
)

var verdictNames = []string{"open", "harm", "sound"}

// String returns the name of the verdict as it appears in tests and logs.
func (v Verdict) String() string { return verdictNames[v] }

// SequentialTest compares a ring with its control, sample by sample. It makes a sequential probability ratio test of
// each metric, see evidence. Its error probabilities hold regardless of when and how often the verdict is read. Use
// NewSequentialTest to create one.
type SequentialTest struct {
	parameters TestParameters
	metrics    [metricCount]evidence
	started    bool // Add was called; the baseline does not change any more
}

// NewSequentialTest returns a test without samples, or the error of p.Validate.
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

// AddBaseline adds a sample from before the ring opened. The baseline is used to estimate how ring and control differ
// without the release, and how strongly bad events cluster (their dispersion). AddBaseline has no effect after the
// first Add.
func (t *SequentialTest) AddBaseline(s Sample) {
	if t.started {
		return
	}
	for i := range t.metrics {
		t.metrics[i].addBaseline(s.Ring[i], s.Control[i])
	}
}

// Add adds a sample from after the ring opened. Counts with more bad events than events are ignored.
func (t *SequentialTest) Add(s Sample) {
	if !t.started {
		t.started = true
		for i := range t.metrics {
			t.metrics[i].estimateDispersion()
		}
	}
	for i := range t.metrics {
		t.metrics[i].add(s.Ring[i], s.Control[i], &t.parameters)
	}
}

// Verdict returns the verdict of the samples so far, and for Degraded also the degraded metric. Alpha is divided
// equally between the metrics.
func (t *SequentialTest) Verdict() (Verdict, Metric) {
	healthy := t.started
	for i := range t.metrics {
		e := &t.metrics[i]
		if e.mixtureLogRatio() >= math.Log(float64(metricCount)/t.parameters.Alpha) {
			return Degraded, Metric(i)
		}
		healthy = healthy && e.minDegradationLogRatio <= math.Log(t.parameters.Beta)
	}
	if healthy {
		return Healthy, 0
	}
	return Undecided, 0
}

// Evidence returns the test statistic of a metric: the logarithm of the mean likelihood ratio of the alternatives to
// the null hypothesis. A degradation is found when it is at least log(metricCount / Alpha). The values of routers that
// count disjoint sets of requests may be summed, and the sum may be compared with the same threshold.
func (t *SequentialTest) Evidence(m Metric) float64 { return t.metrics[m].mixtureLogRatio() }
