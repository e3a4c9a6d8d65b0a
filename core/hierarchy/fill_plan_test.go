package hierarchy

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// allWarm returns a status for each group: fully warm, all with the same capacity.
func allWarm(topology *Topology, kbPerS float64) map[string]GroupStatus {
	statuses := map[string]GroupStatus{}
	for _, group := range topology.ParentGroups {
		statuses[group.Name] = GroupStatus{kbPerS, 1}
	}
	return statuses
}

// checkBounds fails the test if a plan exceeds a bound of its problem, or if the load of a group from sites and other
// groups exceeds the group's capacity.
func (s *FillPlan) checkBounds(t interface{ Errorf(string, ...any) }, statuses map[string]GroupStatus) {
	if err := checkAllocation(s.Problem, s.Allocation); err != nil {
		t.Errorf("%v", err)
	}
	for i, group := range s.Graph.topology.ParentGroups {
		sent := s.ChildDemandKBPerS[i]
		for site := range s.Allocation.ToGroup {
			sent += s.Allocation.ToGroup[site][i]
		}
		if sent > statuses[group.Name].CapacityKBPerS+1 {
			t.Errorf("group %s: load %v KB/s, capacity %v KB/s", group.Name, sent, statuses[group.Name].CapacityKBPerS)
		}
	}
}

func checkedPlan(t *testing.T, g *Graph, statuses map[string]GroupStatus) *FillPlan {
	t.Helper()
	plan, err := g.PlanFills(statuses)
	if err != nil {
		t.Fatal(err)
	}
	plan.checkBounds(t, statuses)
	return plan
}

func almostEqual(got, want float64) bool { return math.Abs(got-want) <= 0.01 }

// Guards against plans that route fills wrongly while a group fails and returns. With all groups available, every site
// must fill objects from their homes. If a group is lost, its sites must use the other group within the capacity of the
// links. Fills beyond that capacity must go to the origin directly. A group that returns cold must get at most its
// capacity, and its load must not decrease while it warms.
func TestFillPlanAdaptsToAvailableCapacity(t *testing.T) {
	topology := sampleTopology()
	topology.Links = append(topology.Links, Link{"d3", "north", 300, 30})
	topology.Links[9].CapacityKBPerS = 800
	g := mustCompile(t, topology)
	statuses := allWarm(g.topology, 3000)
	allUp := checkedPlan(t, g, statuses)
	r := allUp.Route("d1")
	if r.HomeFraction[0] != 0.5 || r.AtHomeFraction[0] < 0.999 || r.AtHomeFraction[1] < 0.999 || r.RejectedFraction != 0 {
		t.Errorf("route of d1 with all groups: %+v", r)
	}

	delete(statuses, "south")
	lost := checkedPlan(t, g, statuses)
	r = lost.Route("d2")
	if r.HomeFraction[1] > 0 || !almostEqual(r.RejectedFraction, 3.0/8) { // 500 of 800 KB/s fit on d2's link to north
		t.Errorf("route of d2 without south: %+v", r)
	}
	r = lost.Route("d3")
	if !almostEqual(r.AtHomeFraction[0], 3.0/7) || !almostEqual(r.OffHomeFraction[3], 3.0/4) ||
		!almostEqual(r.RejectedFraction, 1.0/7) {
		t.Errorf("route of d3 without south: %+v", r)
	}

	before := 0.0
	for _, warm := range []float64{0.1, 0.3, 0.6, 1} {
		statuses["south"] = GroupStatus{3000 * warm, warm}
		returning := checkedPlan(t, g, statuses)
		got := 0.0
		for site := range returning.Allocation.ToGroup {
			got += returning.Allocation.ToGroup[site][1]
		}
		if got < before {
			t.Errorf("south at warm fraction %v gets %v KB/s, less than %v KB/s before", warm, got, before)
		}
		before = got
	}

	if r := allUp.Route("nowhere"); r.RejectedFraction != 1 || r.Pick(7) != noTarget {
		t.Error("an unknown site has a route")
	}
	if _, err := g.PlanFills(map[string]GroupStatus{"south": {1, 2}}); err == nil {
		t.Error("a warm fraction over 1 is accepted")
	}
}

// Guards against a plan that overloads the origin or the last available group. First all groups but one are lost, then
// the last group is lost too.
func TestFillPlanWithLastGroupKeepsOriginWithinCapacity(t *testing.T) {
	topology := sampleTopology()
	topology.Origin.CapacityKBPerS = 200
	topology.Links = append(topology.Links,
		Link{"d1", "head", 5000, 60}, Link{"d2", "head", 5000, 60}, Link{"north", "head", 900, 50})
	g := mustCompile(t, topology)
	one := checkedPlan(t, g, map[string]GroupStatus{"north": {600, 0.5}}).Allocation
	if one.OriginLoad < 199 || one.OriginPrice <= 0 {
		t.Errorf("origin load %v KB/s, want 200 KB/s; origin price %v, want above 0", one.OriginLoad, one.OriginPrice)
	}
	none := checkedPlan(t, g, nil).Allocation
	if math.Abs(none.OriginLoad-200) > 1 {
		t.Errorf("origin load without groups is %v KB/s, want 200 KB/s", none.OriginLoad)
	}
}

// Guards against a plan that exceeds a capacity for some topology and group status. Both are random.
func TestFillPlanExceedsNoCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		topology := randomTopology(rng, 1+rng.IntN(6), 1+rng.IntN(5))
		topology.Origin.CapacityKBPerS = float64(rng.IntN(600))
		statuses := map[string]GroupStatus{}
		for _, group := range topology.ParentGroups {
			if rng.IntN(4) > 0 {
				statuses[group.Name] = GroupStatus{float64(rng.IntN(400)), rng.Float64()}
			}
		}
		g, err := Compile(topology)
		if err != nil {
			t.Fatal(err)
		}
		for _, rounds := range []int{maxPlanRounds, 0} { // 0: the plan is not recomputed
			plan, err := g.planFills(statuses, rounds)
			if err != nil {
				t.Fatal(err)
			}
			plan.checkBounds(t, statuses)
		}
	})
}
