package rollout

// Metric is one kind of bad event.
type Metric int

// The metrics.
const (
	LateAnswers Metric = iota // answers past their latency objective
	Failures                  // requests that failed
	FillErrors                // fills that failed
	metricCount
)

var metricNames = [metricCount]string{"late answers", "failures", "fill errors"}

// String returns the name that log and status output use.
func (m Metric) String() string { return metricNames[m] }

// MetricNames returns the names of all metrics, in their order.
func MetricNames() []string { return metricNames[:] }

// Counts are the events of one side in one sample: of Total, so many were bad.
type Counts struct{ Total, Bad float64 }

func (c *Counts) add(other Counts) {
	c.Total += other.Total
	c.Bad += other.Bad
}

func (c *Counts) subtract(other Counts) {
	c.Total -= other.Total
	c.Bad -= other.Bad
}

// metricCounts are counts by metric.
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

// Sample is what a ring and its control did between two tests, by metric.
type Sample struct{ Ring, Control [metricCount]Counts }
