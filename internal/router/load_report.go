package router

import (
	"strconv"
	"strings"

	"spantack/routing"
)

// settingsFieldNames maps the servers' names of load report fields to the settings' names of the same fields.
var settingsFieldNames = map[string]string{
	"inflight":   "busy_reqs",
	"queue":      "pending",
	"util":       "cpu_share",
	"latency_ms": "svc_ms",
	"qps":        "served_ps",
	"eps":        "failed_ps",
}

// maxLoadValue is the highest plausible value of a field.
const maxLoadValue = 1e9

// loadFieldMissing marks a field that has not been found yet; values are never below 0.
const loadFieldMissing = -1

// parseLoadReport parses a load report, "NAME:VALUE;NAME:VALUE", and returns the values in the order of fields. It
// returns nil if there is no report, a field is missing or a value is implausible: missing values must not count as
// zeros, and an invalid report must not invalidate the response that carries it.
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

// isPlausibleLoad reports whether a value is from 0 to maxLoadValue; NaN is not.
func isPlausibleLoad(value float64) bool { return value >= 0 && value <= maxLoadValue }

// reportOutcome passes an attempt's outcome to the module, together with the load report of its response.
func (r *Router) reportOutcome(loadReport string, event routing.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	event.LoadReport = parseLoadReport(r.loadFields, loadReport)
	r.stepLocked(event)
}
