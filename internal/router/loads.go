package router

import (
	"strconv"
	"strings"

	"spantack/rules"
)

// loadWords are the names that settings give to what a load report holds, by the words that servers use for them.
var loadWords = map[string]string{"inflight": "busy_reqs", "queue": "pending", "util": "cpu_share", "latency_ms": "svc_ms",
	"qps": "served_ps", "eps": "failed_ps"}

// mostLoad bounds a value that can be meant.
const mostLoad = 1e9

// metrics reads a load report, "NAME:VALUE;NAME:VALUE", into the order of the settings' fields. nil where there is none, or it lacks
// a field or holds what is no figure: half a report must not be taken for one of zeros, and a report is not worth an answer.
func metrics(fields []string, load string) []float64 {
	if load == "" || len(fields) == 0 {
		return nil
	}
	out, found := make([]float64, len(fields)), 0 // -1: not there yet
	for i := range out {
		out[i] = -1
	}
	for pair := range strings.SplitSeq(load, ";") {
		name, text, _ := strings.Cut(pair, ":")
		for i, f := range fields {
			if f != name && f != loadWords[name] {
				continue
			}
			v, err := strconv.ParseFloat(text, 64)
			if err != nil || !(v >= 0 && v <= mostLoad) {
				return nil
			}
			if out[i] < 0 {
				found++
			}
			out[i] = v
		}
	}
	if found != len(fields) {
		return nil
	}
	return out
}

// report takes an outcome to the module together with the load report that came with it.
func (r *Router) report(load string, ev rules.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ev.Metrics = metrics(r.fields, load)
	r.take(ev)
}
