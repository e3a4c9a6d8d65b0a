package router

import (
	"strconv"
	"strings"

	"spantack/routing"
)

// settingsFieldNames maps the servers' names for the fields of a load report to those of the settings.
var settingsFieldNames = map[string]string{
	"inflight":   "busy_reqs",
	"queue":      "pending",
	"util":       "cpu_share",
	"latency_ms": "svc_ms",
	"qps":        "served_ps",
	"eps":        "failed_ps",
}

// maxLoadValue is the greatest plausible value of a field.
const maxLoadValue = 1e9

// loadFieldMissing stands for a field that has not been found yet; values are never below 0.
const loadFieldMissing = -1

// parseLoadReport parses a load report, "NAME:VALUE;NAME:VALUE", into the order of the settings' fields. It returns
// nil where there is no report, a field is missing or a value is implausible: half a report must not count as
// zeros, and a bad one must not spoil the response it came with.
func parseLoadReport(fields []string, report string) []float64 {
	if report == "" || len(fields) == 0 {
		return nil
	}
	values := make([]float64, len(fields))
	for i := range values {
		values[i] = loadFieldMissing
	}
	found := 0
	for pair := range strings.SplitSeq(report, ";") {
		name, text, _ := strings.Cut(pair, ":")
		for i, field := range fields {
			if field != name && field != settingsFieldNames[name] {
				continue
			}
			value, err := strconv.ParseFloat(text, 64)
			if err != nil || !isPlausibleLoad(value) {
				return nil
			}
			if values[i] == loadFieldMissing {
				found++
			}
			values[i] = value
		}
	}
	if found != len(fields) {
		return nil
	}
	return values
}

// isPlausibleLoad is false for NaN too.
func isPlausibleLoad(value float64) bool { return value >= 0 && value <= maxLoadValue }

// reportOutcome passes an attempt's outcome to the module together with the load report that came with it.
func (r *Router) reportOutcome(loadReport string, event routing.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	event.LoadReport = parseLoadReport(r.loadFields, loadReport)
	r.stepLocked(event)
}
