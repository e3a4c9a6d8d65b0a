package router

import (
	"cmp"
	"maps"
	"slices"

	"spantack/internal/clock"
	"spantack/routing"
)

// This file has the operations of staff and of the successor process on a running router. The life of a request is in serve.go.

// maxCountedClasses bounds the classes that are counted, for each reload may bring new ones.
const maxCountedClasses = 256

// resizeClassCounters makes a tally for each class of the settings. Tallies of dropped classes are kept, for counts start with the process, unless
// there would be more than maxCountedClasses.
func (r *Router) resizeClassCounters(set routing.Settings) {
	next := map[string]*ClassCounters{}
	old := r.classCounters.Load()
	if old != nil && len(*old)+len(set.Classes) <= maxCountedClasses {
		maps.Copy(next, *old)
	}
	for _, c := range set.Classes {
		if old != nil && (*old)[c.Name] != nil {
			next[c.Name] = (*old)[c.Name]
		} else if next[c.Name] == nil {
			next[c.Name] = &ClassCounters{Class: c.Name}
		}
	}
	r.classCounters.Store(&next)
}

// countOutcome counts the end of a request by class and verdict. One whose client left or whose class is unknown is not counted.
func (r *Router) countOutcome(class string, v Outcome) {
	t := (*r.classCounters.Load())[class]
	switch {
	case t == nil:
	case v == Served:
		t.Served.Add(1)
	case v == Rejected:
		t.Rejected.Add(1)
	case v == Failed:
		t.Failed.Add(1)
	}
}

// CountRejected counts a request that the front refused before Serve because its queue was full.
func (r *Router) CountRejected(class string) { r.countOutcome(class, Rejected) }

// CountersByClass returns the counts of all classes, ordered by name.
func (r *Router) CountersByClass() []*ClassCounters {
	return slices.SortedFunc(maps.Values(*r.classCounters.Load()), func(a, b *ClassCounters) int { return cmp.Compare(a.Class, b.Class) })
}

// OpenRequests returns the number of requests that were taken and have not ended.
func (r *Router) OpenRequests() int64 {
	n := &r.Counters
	ended := n.Served.Load() + n.Rejected.Load() + n.Failed.Load() + n.Departed.Load() // read first, so that requests that arrive meanwhile count as open
	return max(n.Accepted.Load()-ended, 0)
}

// CacheCounts returns how many caches are listed, including other depots', and how many of them get nothing from this router: excluded by hand, or
// with an open breaker.
func (r *Router) CacheCounts() (listed, off int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Micros(r.clock.Now())
	return r.endpoints.Count(r.admission.IsEdgeCache, r.admission.EjectedCaches(now))
}

// Exclude ejects a server by hand before it returns: no later attempt goes to it or is filled from it, whatever its listed status, until
// Include. Its error is roster.ErrUnknownServer or roster.ErrTooManyExclusions.
func (r *Router) Exclude(id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows, err := r.endpoints.Exclude(id)
	r.applyEndpointsLocked(rows)
	return err
}

// Include readmits a server. Its error is roster.ErrUnknownServer.
func (r *Router) Include(id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows, err := r.endpoints.Reinstate(id)
	r.applyEndpointsLocked(rows)
	return err
}

// Excluded returns the servers that are excluded.
func (r *Router) Excluded() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints.Exclusions()
}

// SetExcluded replaces the excluded servers by those that another process of this router wrote.
func (r *Router) SetExcluded(ids []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows, err := r.endpoints.ReplaceExclusions(ids)
	r.applyEndpointsLocked(rows)
	return err
}

// ReportOverloaded tells the module that routers of other depots find a server crowded.
func (r *Router) ReportOverloaded(server string) {
	r.step(routing.Event{Kind: routing.EventParentOverloaded, Server: server})
}

// applyEndpointsLocked passes rows that staff or the fleet changed to the module. r.mu is held.
func (r *Router) applyEndpointsLocked(rows []routing.Endpoint) {
	if len(rows) > 0 {
		r.stepLocked(routing.Event{Kind: routing.EventEndpoints, UpdateMode: "update", Endpoints: rows})
	}
}

// UpdateSettings puts new settings in force for later requests. On error, which names the field at fault, nothing has changed.
func (r *Router) UpdateSettings(set routing.Settings) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastStepAt = max(r.lastStepAt, clock.Micros(r.clock.Now()))
	if err := r.admission.UpdateSettings(r.lastStepAt, set); err != nil {
		return err
	}
	r.applySettingsLocked(set)
	return nil
}

// applySettingsLocked reads the settings that the router itself needs. r.mu is held, or r is not shared yet.
func (r *Router) applySettingsLocked(set routing.Settings) {
	r.resizeClassCounters(set)
	r.loadFields, r.keyedClasses = set.LoadReporting.Fields, map[string]bool{}
	for _, c := range set.Classes {
		r.keyedClasses[c.Name] = c.Idempotency == "idempotency_key"
	}
}

// LearnedState returns what the module has learnt, for a process that takes over.
func (r *Router) LearnedState() routing.LearnedState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admission.LearnedState(clock.Micros(r.clock.Now()))
}

// RestoreLearnedState adopts the beliefs of the process that this one replaces. It is called once the list of servers is known. On error, which names what
// is implausible, nothing is adopted.
func (r *Router) RestoreLearnedState(b routing.LearnedState) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastStepAt = max(r.lastStepAt, clock.Micros(r.clock.Now()))
	return r.admission.RestoreLearnedState(r.lastStepAt, b)
}
