package router

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"

	"spantack/routing"
)

// Counters are the totals of requests, attempts and responses since the start of the process.
type Counters struct {
	Accepted atomic.Int64 // requests passed to Serve
	Attempts atomic.Int64 // attempts that were sent

	// Requests that have ended, by outcome.
	Served   atomic.Int64
	Rejected atomic.Int64
	Failed   atomic.Int64
	Departed atomic.Int64 // NoResponse: the client had left

	Overdue atomic.Int64 // requests that the module did not end in time; also counted in Failed
	Faults  atomic.Int64 // panics of the module, and actions that could not be passed to a request
}

// countOutcome counts the end of a request.
func (c *Counters) countOutcome(outcome Outcome) {
	switch outcome {
	case NoResponse:
		c.Departed.Add(1)
	case Served:
		c.Served.Add(1)
	case Rejected:
		c.Rejected.Add(1)
	case Failed:
		c.Failed.Add(1)
	}
}

// ClassCounters are the totals of requests of one class that have ended, since the start of the process.
type ClassCounters struct {
	Class    string
	Served   atomic.Int64
	Rejected atomic.Int64
	Failed   atomic.Int64
}

// maxCountedClasses bounds the number of classes with counters, since each reload may add classes.
const maxCountedClasses = 256

// updateClassCounters adds counters for each new class of the settings. Counters of removed classes are kept, since
// counts cover the whole life of the process. They are dropped if there could otherwise be more than maxCountedClasses.
func (r *Router) updateClassCounters(settings routing.Settings) {
	var old map[string]*ClassCounters
	if counters := r.classCounters.Load(); counters != nil {
		old = *counters
	}
	next := map[string]*ClassCounters{}
	if len(old)+len(settings.Classes) <= maxCountedClasses {
		maps.Copy(next, old)
	}
	for _, class := range settings.Classes {
		if old[class.Name] != nil {
			next[class.Name] = old[class.Name]
		} else if next[class.Name] == nil {
			next[class.Name] = &ClassCounters{Class: class.Name}
		}
	}
	r.classCounters.Store(&next)
}

// countClassOutcome counts the end of a request by class and outcome. A request whose client has left or whose class is
// unknown is not counted.
func (r *Router) countClassOutcome(class string, outcome Outcome) {
	counters := (*r.classCounters.Load())[class]
	if counters == nil {
		return
	}
	switch outcome {
	case Served:
		counters.Served.Add(1)
	case Rejected:
		counters.Rejected.Add(1)
	case Failed:
		counters.Failed.Add(1)
	}
}

// CountRejected counts a request that the front end rejected before Serve, because the front end was at its capacity or
// draining.
func (r *Router) CountRejected(class string) { r.countClassOutcome(class, Rejected) }

// CountersByClass returns the counters of all classes, ordered by name.
func (r *Router) CountersByClass() []*ClassCounters {
	byName := func(a, b *ClassCounters) int { return cmp.Compare(a.Class, b.Class) }
	return slices.SortedFunc(maps.Values(*r.classCounters.Load()), byName)
}

// OpenRequests returns the number of requests that were passed to Serve and have not ended.
func (r *Router) OpenRequests() int64 {
	c := &r.Counters
	ended := c.Served.Load() + c.Rejected.Load() + c.Failed.Load() + c.Departed.Load()
	return max(c.Accepted.Load()-ended, 0) // Accepted is read last: requests that arrive meanwhile count as open
}

// CacheCounts returns the number of listed edge caches, including those of other sites, and how many of them are
// excluded by operators or have an open circuit breaker in this router. This router sends no requests to those.
func (r *Router) CacheCounts() (listed, unavailable int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints.Count(r.admission.IsEdgeCache, r.admission.EjectedCaches(r.nowMicros()))
}
