// Package rules makes the decisions of a router before tiers of caches with one origin behind them. Each
// concern has a file of its own, with its tuned values; the interface (settings, events, actions) is in
// types.go, and what is remembered in state.go.
package rules

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
)

const (
	roleCache = iota
	roleParent
	roleOrigin
	roleOther
)

// New returns a router for the settings; seed feeds its random numbers.
func New(set Settings, seed int64) (*Router, error) {
	r := &Router{set: set, rng: rand.New(rand.NewPCG(uint64(seed), 0)), classes: map[string]int{},
		nodes: map[string]*node{}, requests: map[string]*request{}, purged: map[purgeKey]int64{},
		watched: map[int64]*request{}, tenants: map[string]*tenant{}, recent: map[string]int{},
		sendMean: make([]float64, len(set.Classes)), behind: node{limit: behindMost, role: roleOrigin}}
	r.behindMost, r.asksMost, r.upRank = behindMost, behindMost, newRanks(nil, false)
	r.pools, r.sizes, r.empty = map[int]*pool{0: {list: -1}}, map[string]*mean{}, &pool{rank: r.upRank}
	effects := []string{"read_like", "idempotency_key", "non_idempotent"}
	for i, c := range set.Classes {
		if c.Name == "" || c.Deadline <= 0 || !slices.Contains(effects, c.Idempotency) {
			return nil, fmt.Errorf("Classes[%d]: needs Name, a positive Deadline, a known Idempotency", i)
		}
		r.classes[c.Name] = i
		r.purgeSpan = max(r.purgeSpan, set.Extra.PurgeTakes+c.Deadline)
		r.sendMean[i] = float64(max(c.Promise, c.Deadline/8)) / 2
		r.tail = append(r.tail, tailStart)
	}
	for _, t := range set.Tenants {
		r.tenants[t.Name] = &tenant{quota: t.QuotaPerS / float64(max(set.Siblings, 1))}
	}
	switch m := set.Extra.MasterKind; {
	case len(set.Classes) == 0:
		return nil, fmt.Errorf("Classes: none")
	case set.Zone == "":
		return nil, fmt.Errorf("Zone: missing")
	case m < 0 || m >= len(set.Kinds):
		return nil, fmt.Errorf("Extra.MasterKind: %d is no place in Kinds", m)
	case set.Permissions.MaxAttempts <= 0:
		return nil, fmt.Errorf("Permissions.MaxAttempts: must be positive")
	}
	r.weighs = set.WeightSource == "nominal" || set.WeightSource == "rough"
	r.hasX0, r.hasX1 = slices.Index(set.Report.Fields, "x0"), slices.Index(set.Report.Fields, "x1")
	return r, nil
}

// Step takes what came in at a time and returns what to do, in order.
func (r *Router) Step(now int64, events []Event) []Action {
	r.begin(now)
	for i := range events {
		ev := &events[i]
		switch ev.Kind {
		case Members:
			r.members(ev)
		case Request:
			r.take(ev)
		case FirstByte:
			if q := r.requests[ev.Call]; q != nil {
				q.started = true
			}
		case Outcome:
			r.outcome(ev)
		case Gone:
			r.drop(ev.Call)
		case Timer:
			r.timer(ev.Token)
		case Purged:
			r.purge(ev)
		case Confine:
			r.confine(ev)
		case Crowded:
			r.crowded(r.nodes[ev.Node])
		}
	}
	return r.acts
}

func (r *Router) act(a Action) {
	if r.acts == nil {
		r.acts = make([]Action, 0, 2)
	}
	r.acts = append(r.acts, a)
}

func (r *Router) take(ev *Event) {
	class, known := r.classes[ev.Class]
	if !known {
		r.act(Action{Kind: Fail, Call: ev.Call})
		return
	}
	q := &request{Event: *ev, class: class, account: r.poolOf(ev.Set).account, deadline: r.now + ev.ExpiresIn,
		most: r.set.Permissions.MaxAttempts, work: r.classWork(ev, class)}
	if t := r.tenants[q.Tenant]; t != nil {
		t.add(r.now, rateSpan, 1)
		q.over = t.rate(r.now, rateSpan)*1e6 > t.quota
	}
	r.requests[q.Call] = q
	r.spare = min(r.spare+lostShare, lostMost)
	q.part = partKey(q.Object, q.Part)
	r.recent[q.Object]++
	if r.recentN++; r.recentN >= recentRequests {
		r.recentN = 0
		maps.DeleteFunc(r.recent, func(k string, n int) bool {
			r.recent[k] = n / 2
			r.recentN += n / 2
			return n < 2
		})
	}
	r.dispatch(q)
}

func (r *Router) drop(call string) {
	r.settle(r.requests[call])
	delete(r.requests, call)
}
