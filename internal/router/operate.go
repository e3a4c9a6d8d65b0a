package router

import (
	"cmp"
	"maps"
	"slices"

	"spantack/internal/clock"
	"spantack/rules"
)

// What staff do with a running router, and what it tells them. The life of a request stands in serve.go.

// mostTallies bounds the classes that are counted: settings may change as often as staff like.
const mostTallies = 256

// tally makes room for the counts of the settings' classes. Those of classes that were dropped are kept, for counts start
// with the process, unless there are too many.
func (r *Router) tally(set rules.Settings) {
	next := map[string]*Tally{}
	old := r.tallies.Load()
	if old != nil && len(*old)+len(set.Classes) <= mostTallies {
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

// count books the end of a request. One whose client left, or whose class is none, stands under no count.
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

// Turned books a request that the front refused before Serve, for want of room.
func (r *Router) Turned(class string) { r.count(class, Refused) }

// Tallies are the counts of all classes, by name.
func (r *Router) Tallies() []*Tally {
	return slices.SortedFunc(maps.Values(*r.tallies.Load()), func(a, b *Tally) int { return cmp.Compare(a.Class, b.Class) })
}

// Open is how many requests are taken and not ended.
func (r *Router) Open() int64 {
	n := &r.Counters
	ended := n.Served.Load() + n.Refused.Load() + n.Failed.Load() + n.Gone.Load() // first: what comes meanwhile is open
	return max(n.Taken.Load()-ended, 0)
}

// Caches tells how many caches are listed, those of other depots too, and how many of them get nothing from this router: taken out by
// hand, or shut off by their breakers.
func (r *Router) Caches() (listed, off int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Micros(r.clock.Now())
	return r.list.Count(r.rules.Cache, r.rules.Avoided(now))
}

// Exclude takes a server out before it returns: nothing that is picked from then on goes to it or is filled from it, whatever the
// list says, until Include. Its error is roster.ErrUnknown or roster.ErrFull.
func (r *Router) Exclude(id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows, err := r.list.Exclude(id)
	r.hear(rows)
	return err
}

// Include puts a server back. Its error is roster.ErrUnknown.
func (r *Router) Include(id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows, err := r.list.Include(id)
	r.hear(rows)
	return err
}

// Outs names the servers that are out.
func (r *Router) Outs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.Outs()
}

// Adopt replaces what is out, as another process of this router left it.
func (r *Router) Adopt(ids []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows, err := r.list.Adopt(ids)
	r.hear(rows)
	return err
}

// Crowded takes to the module that routers of other depots find a server crowded.
func (r *Router) Crowded(server string) { r.step(rules.Event{Kind: rules.Crowded, Node: server}) }

// hear tells the module of rows that changed by hand. r.mu is held.
func (r *Router) hear(rows []rules.Row) {
	if len(rows) > 0 {
		r.take(rules.Event{Kind: rules.Members, Mode: "update", Rows: rows})
	}
}

// Retune puts other settings in force for requests that come from now on. Its error names the field at fault; nothing has changed then.
func (r *Router) Retune(set rules.Settings) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = max(r.last, clock.Micros(r.clock.Now()))
	if err := r.rules.Retune(r.last, set); err != nil {
		return err
	}
	r.heed(set)
	return nil
}

// heed takes in what the router itself reads of settings that the module has taken. r.mu is held, or nobody else has r yet.
func (r *Router) heed(set rules.Settings) {
	r.tally(set)
	r.fields, r.keyed = set.Report.Fields, map[string]bool{}
	for _, c := range set.Classes {
		r.keyed[c.Name] = c.Idempotency == "idempotency_key"
	}
}

// Beliefs are what the module has learnt, for a process that takes over.
func (r *Router) Beliefs() rules.Beliefs {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rules.Beliefs(clock.Micros(r.clock.Now()))
}

// Believe takes over what the process believed that this one replaces. It is called once the list of servers is known. Its error tells
// what can't be true; nothing of it is believed then.
func (r *Router) Believe(b rules.Beliefs) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = max(r.last, clock.Micros(r.clock.Now()))
	return r.rules.Believe(r.last, b)
}
