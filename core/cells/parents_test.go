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

func mustCompileTopology(t testing.TB, topology *hierarchy.Topology) *hierarchy.Graph {
	t.Helper()
	graph, err := hierarchy.Compile(topology)
	if err != nil {
		t.Fatal(err)
	}
	return graph
}

// twoParentGroups returns a topology with a parent group near site z and a distant one, each with one listed parent.
func twoParentGroups(t testing.TB) *hierarchy.Graph {
	t.Helper()
	return mustCompileTopology(t, &hierarchy.Topology{
		Version: 3,
		Origin:  hierarchy.Origin{Name: "o", CapacityKBPerS: 20_000},
		ParentGroups: []hierarchy.ParentGroup{
			{Name: "near", ServerPrefixes: []string{"p0"}},
			{Name: "far", ServerPrefixes: []string{"p1"}},
		},
		Sites: []hierarchy.Site{{Name: "z", PeakFillKBPerS: 10_000}},
		Links: []hierarchy.Link{
			{From: "z", To: "near", CapacityKBPerS: 20_000, RTTMillis: 10},
			{From: "z", To: "far", CapacityKBPerS: 4000, RTTMillis: 40},
			{From: "z", To: "o", CapacityKBPerS: 2000, RTTMillis: 60},
			{From: "near", To: "o", CapacityKBPerS: 20_000, RTTMillis: 20},
			{From: "far", To: "o", CapacityKBPerS: 20_000, RTTMillis: 20},
		},
	})
}

// fillClient sends requests and counts attempts by source. Each fill succeeds unless its source is in failing.
type fillClient struct {
	admission *Admission
	sent      int
	now       int64
	failing   map[string]bool // by source
	logged    []string
}

// run sends n requests, 20 ms apart, and returns the number of attempts by source.
func (c *fillClient) run(n int) map[string]int {
	attempts := map[string]int{}
	for range n {
		c.sent++
		c.now += 20 * msec
		actions := c.admission.step(c.now, routing.Event{
			Kind:       routing.EventRequest,
			RequestID:  fmt.Sprint("f", c.sent),
			Class:      "page",
			Object:     fmt.Sprint("aa", c.sent),
			PurgeGroup: 50,
			SizeKB:     5,
			Timeout:    3 * sec,
		})
		for attempt := 0; len(actions) > 0; attempt++ {
			actions = c.endAttempts(actions, attempt, attempts)
		}
	}
	return attempts
}

// endAttempts ends the attempts that the actions start, and returns the resulting actions.
func (c *fillClient) endAttempts(actions []routing.Action, attempt int, attempts map[string]int) []routing.Action {
	var next []routing.Action
	for _, action := range actions {
		switch action.Kind {
		case routing.ActionLog:
			c.logged = append(c.logged, action.LogText)
		case routing.ActionSend:
			attempts[action.Source]++
			outcome, status := routing.OutcomeServed, routing.FilledFromSource
			if c.failing[action.Source] {
				outcome, status = routing.OutcomeError, routing.SourceUnreachable
			}
			next = append(next, c.admission.step(c.now, routing.Event{
				Kind:         routing.EventOutcome,
				RequestID:    action.RequestID,
				Server:       action.Server,
				Outcome:      outcome,
				CacheStatus:  status,
				Attempt:      attempt,
				ResponseTime: 20 * msec,
				IsFinal:      outcome == routing.OutcomeServed,
			})...)
		}
	}
	return next
}

// Fills must follow the plan of the topology, with and without an assignment. They must go to both parent groups by
// capacity. When one group is removed from the endpoint list or its fills fail, they must go to the other group, with
// few probes of the failing group. After a successful probe they must go to both groups again.
func TestFillsFollowTopology(t *testing.T) {
	for name, spec := range map[string]*Spec{"without cells": nil, "with cells": twoCells()} {
		t.Run(name, func(t *testing.T) { testFillsFollowTopology(t, spec) })
	}
}

func testFillsFollowTopology(t *testing.T, spec *Spec) {
	admission, err := NewAdmission(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	if spec != nil {
		admission.SetAssignment(sec, mustCompile(t, spec))
	}
	replaceEndpoints(admission, sec, endpointsWith(cacheNames(8)...))
	admission.SetTopology(sec, twoParentGroups(t))
	client := &fillClient{admission: admission, now: 2 * sec, failing: map[string]bool{}}
	healthy := client.run(400)
	if healthy["p1"] < 110 || healthy["p1"] > 210 || healthy["p0"]+healthy["p1"] != 400 { // p1's link: 40% of peak
		t.Errorf("both groups healthy: attempts by source %v, want 110 to 210 to p1, the rest of 400 to p0", healthy)
	}
	client.failing["p1"] = true
	client.run(50)
	if got := client.run(400); got["p1"] > 12 || got["p0"] < 395 { // in 8 s, with at most one probe per second
		t.Errorf("far group failing: attempts by source %v, want at most 12 to p1 and at least 395 to p0", got)
	}
	if n := len(client.logged); n == 0 || !strings.Contains(client.logged[n-1], "fill fractions by target: near 1.0") {
		t.Errorf("log %q, want a last line with all fills to the near group", client.logged)
	}
	client.failing["p1"] = false
	client.run(200)
	if got := client.run(400); got["p1"] < 110 {
		t.Errorf("after a successful probe: attempts by source %v, want at least 110 to p1", got)
	}
	removed := routing.Endpoint{Server: "p0", Zone: "hub", Kind: "area", Status: routing.EndpointRemoved}
	changeEndpoints(admission, client.now, removed)
	if got := client.run(400); got["p0"] > 0 || got["o"] < 40 {
		t.Errorf("near group not listed any more: attempts by source %v, want 0 to p0, 40 or more to o", got)
	}
	if n := len(admission.parents.groupByRequest); n != 0 {
		t.Errorf("%d ended attempts are still recorded", n)
	}
	admission.SetTopology(client.now, nil)
	version, parents := admission.TopologyVersion(), admission.ParentsOf("x")
	if version != 0 || !slices.Equal(parents, []string{"p1"}) {
		t.Errorf("topology removed: version %d, parents %v", version, parents)
	}
}

// manyParentGroups returns a topology with more parent groups than maxGroupsPlannedInline.
func manyParentGroups(t testing.TB, version int64) *hierarchy.Graph {
	t.Helper()
	topology := &hierarchy.Topology{
		Version: version,
		Origin:  hierarchy.Origin{Name: "o", CapacityKBPerS: 20_000},
		Sites:   []hierarchy.Site{{Name: "z", PeakFillKBPerS: 10_000}},
	}
	for i := range maxGroupsPlannedInline + 1 {
		name := fmt.Sprint("area", i)
		group := hierarchy.ParentGroup{Name: name, ServerPrefixes: []string{fmt.Sprint("p", i)}}
		topology.ParentGroups = append(topology.ParentGroups, group)
		topology.Links = append(topology.Links,
			hierarchy.Link{From: "z", To: name, CapacityKBPerS: 20_000, RTTMillis: 10 + float64(i)},
			hierarchy.Link{From: name, To: "o", CapacityKBPerS: 20_000, RTTMillis: 20})
	}
	return mustCompileTopology(t, topology)
}

// A plan for many groups is computed in the background. It must be the same as a plan computed inline. Events must not
// wait for the plan. A plan for a topology that has been replaced must not be applied.
func TestPlanInBackgroundEqualsInlinePlan(t *testing.T) {
	background, inline := newLimitedAdmission(t, nil), newLimitedAdmission(t, nil)
	for _, admission := range []*Admission{background, inline} {
		var parents []routing.Endpoint
		for i := range maxGroupsPlannedInline + 1 {
			name := fmt.Sprint("p", i)
			parent := routing.Endpoint{Server: name, Zone: "hub", Kind: "area", Status: "healthy", Weight: 1}
			parents = append(parents, parent)
		}
		changeEndpoints(admission, 0, parents...)
	}
	hasPlan := func(a *Admission) bool {
		fractions := a.parents.route.Fractions()
		return fractions != nil && slices.Max(fractions) > 0
	}
	background.PlansInBackground = true
	background.SetTopology(0, manyParentGroups(t, 1))
	inline.SetTopology(0, manyParentGroups(t, 1))
	if hasPlan(background) {
		t.Error("a plan is in force before its job was run")
	}
	job := background.TakePlanJob()
	if job == nil || background.TakePlanJob() != nil {
		t.Fatal("no plan job, or the same job twice")
	}
	done := make(chan struct{})
	go func() { // concurrently with events, for the race detector
		job.Run()
		close(done)
	}()
	for i := range 50 {
		background.step(int64(i), routing.Event{
			Kind:       routing.EventRequest,
			RequestID:  fmt.Sprint(i),
			Class:      "page",
			Object:     "aa",
			PurgeGroup: 50,
			SizeKB:     5,
			Timeout:    3 * sec,
		})
	}
	testwait.Receive(t, done, "end of the plan job")
	background.ApplyPlanJob(job)
	got, want := background.parents.route.Fractions(), inline.parents.route.Fractions()
	if !slices.Equal(got, want) || slices.Max(got) <= 0 {
		t.Errorf("fractions of the background plan %v, of the inline plan %v", got, want)
	}
	background.SetTopology(100, manyParentGroups(t, 2))
	old := background.TakePlanJob()
	background.SetTopology(200, manyParentGroups(t, 3))
	old.Run()
	background.ApplyPlanJob(old)
	if hasPlan(background) {
		t.Error("the plan of a replaced topology is in force")
	}
}
