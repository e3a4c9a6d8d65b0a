package cells

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"spantack/core/hierarchy"
	"spantack/internal/testwait"
	"spantack/routing"
)

// twoParentGroups is a shape in which the depot z has an area at hand and one far off, each with one of the list's area caches.
func twoParentGroups(t testing.TB) *hierarchy.Graph {
	t.Helper()
	g, err := hierarchy.Compile(&hierarchy.Topology{Version: 3, Origin: hierarchy.Origin{Name: "o", CapacityKBPerS: 20_000},
		ParentGroups: []hierarchy.ParentGroup{{Name: "near", ServerPrefixes: []string{"p0"}}, {Name: "far", ServerPrefixes: []string{"p1"}}},
		Sites:        []hierarchy.Site{{Name: "z", PeakFillKBPerS: 10_000}},
		Links: []hierarchy.Link{{From: "z", To: "near", CapacityKBPerS: 20_000, RTTMillis: 10}, {From: "z", To: "far", CapacityKBPerS: 4000, RTTMillis: 40}, {From: "z", To: "o", CapacityKBPerS: 2000, RTTMillis: 60},
			{From: "near", To: "o", CapacityKBPerS: 20_000, RTTMillis: 20}, {From: "far", To: "o", CapacityKBPerS: 20_000, RTTMillis: 20}}})
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// fillClient sends requests whose fills end as the sources that are up have it, and counts by source.
type fillClient struct {
	t         *testing.T
	admission *Admission
	sent      int
	now       int64
	failing   map[string]bool
	logged    []string
}

func (f *fillClient) run(n int) map[string]int {
	got := map[string]int{}
	for range n {
		f.sent++
		f.now += 20 * msec
		call := fmt.Sprint("f", f.sent)
		acts := f.admission.Step(f.now, []routing.Event{{Kind: routing.EventRequest, RequestID: call, Class: "page", Object: fmt.Sprint("aa", f.sent), PurgeGroup: 50, SizeKB: 5, Timeout: 3 * sec}})
		for leg := 0; len(acts) > 0; leg++ {
			var next []routing.Action
			for _, a := range acts {
				switch a.Kind {
				case routing.ActionLog:
					f.logged = append(f.logged, a.LogText)
				case routing.ActionSend:
					got[a.Source]++
					code, note := routing.OutcomeServed, routing.FilledFromSource
					if f.failing[a.Source] {
						code, note = routing.OutcomeError, routing.SourceUnreachable
					}
					next = append(next, f.admission.Step(f.now, []routing.Event{{Kind: routing.EventOutcome, RequestID: call, Server: a.Server, Outcome: code, CacheStatus: note, Attempt: leg, ResponseTime: 20 * msec, IsFinal: code == routing.OutcomeServed}})...)
				}
			}
			acts = next
		}
	}
	return got
}

// ReasonLinkRate go as the shape's plan has it, with cells and without: to both areas by what fits, elsewhere when the list says that one has gone, or
// before that when its fills fail, with few trials; and back when a trial ends well.
func TestFillsFollowTheTopology(t *testing.T) {
	for _, spec := range []*Spec{nil, twoCells()} {
		m, err := NewAdmission(testSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		if spec != nil {
			m.SetAssignment(sec, mustCompile(t, spec))
		}
		m.Step(sec, []routing.Event{{Kind: routing.EventEndpoints, UpdateMode: "replace", Endpoints: endpointsWith(cacheNames(8)...)}})
		m.SetTopology(sec, twoParentGroups(t))
		f := &fillClient{t: t, admission: m, now: 2 * sec, failing: map[string]bool{}}
		calm := f.run(400)
		if calm["p1"] < 110 || calm["p1"] > 210 || calm["p0"]+calm["p1"] != 400 { // 4,000 of 10,000 fit on its way
			t.Errorf("on a calm day: %v", calm)
		}
		f.failing["p1"] = true
		f.run(50)
		if lost := f.run(400); lost["p1"] > 12 || lost["p0"] < 395 { // a trial a second or less, in 8 s
			t.Errorf("with one area down: %v", lost)
		}
		if n := len(f.logged); n == 0 || !strings.Contains(f.logged[n-1], "fills go to near 1.0") {
			t.Errorf("log %q", f.logged)
		}
		f.failing["p1"] = false
		f.run(200)
		if back := f.run(400); back["p1"] < 110 {
			t.Errorf("after a good trial: %v", back)
		}
		gone := routing.Endpoint{Server: "p0", Zone: "hub", Kind: "area", Status: "deregistered"}
		m.Step(f.now, []routing.Event{{Kind: routing.EventEndpoints, UpdateMode: "update", Endpoints: []routing.Endpoint{gone}}})
		if left := f.run(400); left["p0"] > 0 || left["o"] < 40 {
			t.Errorf("with the near area off the list: %v", left)
		}
		if len(m.parents.groupByRequest) != 0 {
			t.Errorf("%d attempts are kept", len(m.parents.groupByRequest))
		}
		m.SetTopology(f.now, nil)
		if m.TopologyVersion() != 0 || !slices.Equal(m.ParentsOf("x"), []string{"p1"}) {
			t.Errorf("version %d, above %v", m.TopologyVersion(), m.ParentsOf("x"))
		}
	}
}

// A plan for many areas is worked out elsewhere: events do not wait for it, fills go by the one before, and one for a shape that is no more is
// not followed. It is the same plan as one worked out at once.
func TestPlanInBackground(t *testing.T) {
	many := func(version int64) *hierarchy.Graph {
		s := &hierarchy.Topology{Version: version, Origin: hierarchy.Origin{Name: "o", CapacityKBPerS: 20_000}, Sites: []hierarchy.Site{{Name: "z", PeakFillKBPerS: 10_000}}}
		for i := range maxGroupsPlannedInline + 1 {
			name := fmt.Sprint("area", i)
			s.ParentGroups = append(s.ParentGroups, hierarchy.ParentGroup{Name: name, ServerPrefixes: []string{fmt.Sprint("p", i)}})
			s.Links = append(s.Links, hierarchy.Link{From: "z", To: name, CapacityKBPerS: 20_000, RTTMillis: 10 + float64(i)}, hierarchy.Link{From: name, To: "o", CapacityKBPerS: 20_000, RTTMillis: 20})
		}
		g, err := hierarchy.Compile(s)
		if err != nil {
			t.Fatal(err)
		}
		return g
	}
	later, atOnce := newLimitedAdmission(t, nil), newLimitedAdmission(t, nil)
	for _, m := range []*Admission{later, atOnce} {
		var areas []routing.Endpoint
		for i := range maxGroupsPlannedInline + 1 {
			areas = append(areas, routing.Endpoint{Server: fmt.Sprint("p", i), Zone: "hub", Kind: "area", Status: "healthy", Weight: 1})
		}
		m.Step(0, []routing.Event{{Kind: routing.EventEndpoints, UpdateMode: "update", Endpoints: areas}})
	}
	later.PlansInBackground = true
	later.SetTopology(0, many(1))
	atOnce.SetTopology(0, many(1))
	if later.parents.route.Fractions() != nil && slices.Max(later.parents.route.Fractions()) > 0 {
		t.Error("a plan is followed that nobody has worked out")
	}
	p := later.TakePlanJob()
	if p == nil || later.TakePlanJob() != nil {
		t.Fatal("a plan is not wanted, or twice")
	}
	done := make(chan struct{})
	go func() { // beside events: the race detector looks on
		p.Run()
		close(done)
	}()
	for i := range 50 {
		later.Step(int64(i), []routing.Event{{Kind: routing.EventRequest, RequestID: fmt.Sprint(i), Class: "page", Object: "aa", PurgeGroup: 50, SizeKB: 5, Timeout: 3 * sec}})
	}
	testwait.Receive(t, done, "the work beside events")
	later.ApplyPlanJob(p)
	if got, want := later.parents.route.Fractions(), atOnce.parents.route.Fractions(); !slices.Equal(got, want) || slices.Max(got) <= 0 {
		t.Errorf("worked out elsewhere %v, at once %v", got, want)
	}
	later.SetTopology(100, many(2))
	old := later.TakePlanJob()
	later.SetTopology(200, many(3))
	old.Run()
	later.ApplyPlanJob(old)
	if parts := later.parents.route.Fractions(); parts != nil && slices.Max(parts) > 0 {
		t.Error("the plan of a shape that is no more is followed")
	}
}
