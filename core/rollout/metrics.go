package rollout

// Metric is a kind of bad event that rings are tested for.
type Metric int

// A degradation of any of these metrics stops the release.
const (
	LateAnswers Metric = iota // responses that missed their latency objective
	Failures                  // requests that failed
	FillErrors                // fills that failed
	metricCount
)

var metricNames = [metricCount]string{"late answers", "failures", "fill errors"}

// String returns the name of the metric as it appears in logs and status output.
func (m Metric) String() string { return metricNames[m] }

// MetricNames returns the names of all metrics, by Metric.
func MetricNames() []string { return metricNames[:] }

// Counts are the numbers of all events and of bad events, of a ring or its control.
type Counts struct{ Total, Bad float64 }

func (c *Counts) add(other Counts) {
	c.Total += other.Total
	c.Bad += other.Bad
}

func (c *Counts) subtract(other Counts) {
	c.Total -= other.Total
	c.Bad -= other.Bad
}

// metricCounts are the counts of each metric.
type metricCounts [metricCount]Counts

func (c *metricCounts) add(other *metricCounts) {
	for m := range c {
		c[m].add(other[m])
	}
}

func (c *metricCounts) subtract(other *metricCounts) {
	for m := range c {
		c[m].subtract(other[m])
	}
}

// Sample has the counts of a ring and of its control since the previous sample, by metric.
type Sample struct{ Ring, Control [metricCount]Counts }
