package admin

import "strconv"

// metricPrefix precedes the name of every metric, as docs/operation.md documents.
const metricPrefix = "app."

// Metric is the name and current value of one metric.
type Metric struct {
	Name    string // without metricPrefix
	Value   int64
	IsGauge bool // if false, it is a counter since the start of the process
}

// AppendMetrics appends metrics as StatsD lines, such as "app.outstanding:14|g".
func AppendMetrics(buf []byte, metrics []Metric) []byte {
	for _, m := range metrics {
		buf = append(buf, metricPrefix...)
		buf = append(buf, m.Name...)
		buf = append(buf, ':')
		buf = strconv.AppendInt(buf, m.Value, 10)
		if m.IsGauge {
			buf = append(buf, "|g\n"...)
		} else {
			buf = append(buf, "|c\n"...)
		}
	}
	return buf
}
