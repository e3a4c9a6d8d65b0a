package admin

import "strconv"

// metricPrefix precedes every name (the operators' page).
const metricPrefix = "app."

// Metric is one metric, as staff read it.
type Metric struct {
	Name    string // without metricPrefix
	Value   int64
	IsGauge bool // else a counter since the start of the process
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
