package main

import (
	"spantack/internal/admin"
	"spantack/internal/resp"
	"spantack/internal/router"
)

// newAdminServer returns the server for management calls, with handlers from the process's components.
func (p *process) newAdminServer() *admin.Server {
	return &admin.Server{
		IsReady: p.isReady,
		Metrics: func() []admin.Metric { return metrics(p.router, p.pools, &p.reloads) },
		Exclude: p.sharedExclusionChange(p.router.Exclude),
		Include: p.sharedExclusionChange(p.router.Include),
		Drain:   p.server.Drain,
		Rejoin:  p.server.Rejoin,
		Log:     p.log,
	}
}

// sharedExclusionChange returns a function that changes the excluded servers for both processes of this router, through
// the shared state directory.
func (p *process) sharedExclusionChange(change func(id string) error) func(id string) error {
	return func(id string) error {
		return p.state.ChangeExcluded(p.router.SetExcluded, func() error { return change(id) }, p.router.Excluded)
	}
}

// metrics returns the metrics for management calls, with the names that docs/operation.md lists. Counters start at 0
// when the process starts.
func metrics(r *router.Router, pools *resp.Pools, reloads *reloadCounters) []admin.Metric {
	var list []admin.Metric
	counter := func(name string, value int64) { list = append(list, admin.Metric{Name: name, Value: value}) }
	gauge := func(name string, value int64) {
		list = append(list, admin.Metric{Name: name, Value: value, IsGauge: true})
	}
	for _, class := range r.CountersByClass() {
		prefix := "results." + class.Class
		counter(prefix+".succeeded", class.Served.Load())
		counter(prefix+".declined", class.Rejected.Load())
		counter(prefix+".aborted", class.Failed.Load())
	}
	listed, unavailable := r.CacheCounts()
	counter("forwards", pools.AttemptsWritten())
	gauge("outstanding", r.OpenRequests())
	gauge("discovered", int64(listed))
	gauge("ejected", int64(unavailable))
	counter("sighup_applied", reloads.applied.Load())
	counter("sighup_rejected", reloads.rejected.Load())
	return list
}
