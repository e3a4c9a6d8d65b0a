package router

import (
	"cmp"
	"maps"
	"slices"

	"spantack/internal/clock"
	"spantack/rules"
)

// This file has the operations of staff and of the successor process on a running router. The life of a request is in serve.go.

// maxTallies bounds the classes that are counted, for each reload may bring new ones.
const maxTallies = 256

// resizeTallies makes a tally for each class of the settings. Tallies of dropped classes are kept, for counts start with the process, unless
// there would be more than maxTallies.
func (r *Router) resizeTallies(set rules.Settings) {
	next := map[string]*Tally{}
	old := r.tallies.Load()
	if old != nil && len(*old)+len(set.Classes) <= maxTallies {
		maps.Copy(next, *old)
	}
	for _, c := range set.Classes {
		if old != nil && (*old)[c.Name] != nil {
			next[c.Name] = (*old)[c.Name]
		} else if next[c.Name] == nil {
			next[c.Name] = &Tally{Class: c.Name}
		}
	}
	r.tallies.Store(&next)
}

// count counts the end of a request by class and verdict. One whose client left or whose class is unknown is not counted.
func (r *Router) count(class string, v Verdict) {
	t := (*r.tallies.Load())[class]
	switch {
	case t == nil:
	case v == Served:
		t.Served.Add(1)
	case v == Refused:
		t.Refused.Add(1)
	case v == Failed:
		t.Failed.Add(1)
	}
}

// CountRefused counts a request that the front refused before Serve because its queue was full.
func (r *Router) CountRefused(class string) { r.count(class, Refused) }

// Tallies returns the counts of all classes, ordered by name.
func (r *Router) Tallies() []*Tally {
	return slices.SortedFunc(maps.Values(*r.tallies.Load()), func(a, b *Tally) int { return cmp.Compare(a.Class, b.Class) })
}

// Open returns the number of requests that were taken and have not ended.
func (r *Router) Open() int64 {
	n := &r.Counters
	ended := n.Served.Load() + n.Refused.Load() + n.Failed.Load() + n.Gone.Load() // read first, so that requests that arrive meanwhile count as open
	return max(n.Taken.Load()-ended, 0)
}

// Caches returns how many caches are listed, including other depots', and how many of them get nothing from this router: excluded by hand, or
// with an open breaker.
func (r *Router) Caches() (listed, off int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Micros(r.clock.Now())
	return r.list.Count(r.rules.IsEdgeCache, r.rules.EjectedCaches(now))
}

// Exclude ejects a server by hand before it returns: no later attempt goes to it or is filled from it, whatever its listed status, until
// Include. Its error is roster.ErrUnknownServer or roster.ErrTooManyExclusions.
func (r *Router) Exclude(id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows, err := r.list.Exclude(id)
	r.applyRowsLocked(rows)
	return err
}

// Include readmits a server. Its error is roster.ErrUnknownServer.
func (r *Router) Include(id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows, err := r.list.Reinstate(id)
	r.applyRowsLocked(rows)
	return err
}

// Excluded returns the servers that are excluded.
func (r *Router) Excluded() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.Exclusions()
}

// Adopt replaces the excluded servers by those that another process of this router wrote.
func (r *Router) Adopt(ids []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows, err := r.list.ReplaceExclusions(ids)
	r.applyRowsLocked(rows)
	return err
}

// ReportCrowded tells the module that routers of other depots find a server crowded.
func (r *Router) ReportCrowded(server string) {
	r.step(rules.Event{Kind: rules.EventParentOverloaded, Server: server})
}

// applyRowsLocked passes rows that staff or the fleet changed to the module. r.mu is held.
func (r *Router) applyRowsLocked(rows []rules.Endpoint) {
	if len(rows) > 0 {
		r.stepLocked(rules.Event{Kind: rules.EventEndpoints, UpdateMode: "update", Endpoints: rows})
	}
}

// Retune puts new settings in force for later requests. On error, which names the field at fault, nothing has changed.
func (r *Router) Retune(set rules.Settings) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = max(r.last, clock.Micros(r.clock.Now()))
	if err := r.rules.UpdateSettings(r.last, set); err != nil {
		return err
	}
	r.applySettingsLocked(set)
	return nil
}

// applySettingsLocked reads the settings that the router itself needs. r.mu is held, or r is not shared yet.
func (r *Router) applySettingsLocked(set rules.Settings) {
	r.resizeTallies(set)
	r.fields, r.keyed = set.LoadReporting.Fields, map[string]bool{}
	for _, c := range set.Classes {
		r.keyed[c.Name] = c.Idempotency == "idempotency_key"
	}
}

// Beliefs returns what the module has learnt, for a process that takes over.
func (r *Router) Beliefs() rules.LearnedState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rules.LearnedState(clock.Micros(r.clock.Now()))
}

// Believe adopts the beliefs of the process that this one replaces. It is called once the list of servers is known. On error, which names what
// is implausible, nothing is adopted.
func (r *Router) Believe(b rules.LearnedState) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = max(r.last, clock.Micros(r.clock.Now()))
	return r.rules.RestoreLearnedState(r.last, b)
}
