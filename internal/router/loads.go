package router

import (
	"strconv"
	"strings"

	"spantack/routing"
)

// settingsFieldNames maps the servers' names for the fields of a load report to those of the settings.
var settingsFieldNames = map[string]string{"inflight": "busy_reqs", "queue": "pending", "util": "cpu_share", "latency_ms": "svc_ms",
	"qps": "served_ps", "eps": "failed_ps"}

// maxLoadValue is the greatest plausible value of a field.
const maxLoadValue = 1e9

// parseLoadReport parses a load report, "NAME:VALUE;NAME:VALUE", into the order of the settings' fields. It returns nil where there is no report, a
// field is missing or a value is implausible: half a report must not count as zeros, and a bad one must not spoil the answer it came with.
func parseLoadReport(fields []string, load string) []float64 {
	if load == "" || len(fields) == 0 {
		return nil
	}
	values, found := make([]float64, len(fields)), 0 // -1: not found yet
	for i := range values {
		values[i] = -1
	}
	for pair := range strings.SplitSeq(load, ";") {
		name, text, _ := strings.Cut(pair, ":")
		for i, f := range fields {
			if f != name && f != settingsFieldNames[name] {
				continue
			}
			v, err := strconv.ParseFloat(text, 64)
			if err != nil || !(v >= 0 && v <= maxLoadValue) {
				return nil
			}
			if values[i] < 0 {
				found++
			}
			values[i] = v
		}
	}
	if found != len(fields) {
		return nil
	}
	return values
}

// reportOutcome passes an outcome to the module together with the load report that came with it.
func (r *Router) reportOutcome(load string, ev routing.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ev.LoadReport = parseLoadReport(r.loadFields, load)
	r.stepLocked(ev)
}
