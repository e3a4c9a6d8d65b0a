package hierarchy

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// allWarm returns a status for each group: warm, and of the same capacity.
func allWarm(topology *Topology, kbPerS float64) map[string]GroupStatus {
	now := map[string]GroupStatus{}
	for _, group := range topology.ParentGroups {
		now[group.Name] = GroupStatus{kbPerS, 1}
	}
	return now
}

// checkBounds reports what a plan breaks: the bounds of its problem, and each group's capacity with what comes from
// sites and from other groups.
func (s *FillPlan) checkBounds(t interface{ Errorf(string, ...any) }, now map[string]GroupStatus) {
	if err := checkAllocation(s.Problem, s.Allocation); err != nil {
		t.Errorf("%v", err)
	}
	for i, group := range s.Graph.topology.ParentGroups {
		sent := s.ChildDemandKBPerS[i]
		for site := range s.Allocation.ToGroup {
			sent += s.Allocation.ToGroup[site][i]
		}
		if sent > now[group.Name].CapacityKBPerS+1 {
			t.Errorf("group %s: gets %v of %v", group.Name, sent, now[group.Name].CapacityKBPerS)
		}
	}
}

func checkedPlan(t *testing.T, g *Graph, now map[string]GroupStatus) *FillPlan {
	t.Helper()
	plan, err := g.PlanFills(now)
	if err != nil {
		t.Fatal(err)
	}
	plan.checkBounds(t, now)
	return plan
}

func near(got, want float64) bool { return math.Abs(got-want) <= 0.01 }

// With all groups up, objects go to their homes in both groups, in proportion to their capacity and from all sites
// alike. If a group is lost, its sites go to the other one as far as links permit, and then directly to the origin. A
// cold group that returns gets no more than its capacity, and more as it warms up.
func TestFillPlanThroughALossAndReturn(t *testing.T) {
	topology := valley()
	topology.Links = append(topology.Links, Link{"d3", "north", 300, 30})
	topology.Links[9].CapacityKBPerS = 800
	g := compiled(t, topology)
	now := allWarm(g.topology, 3000)
	allUp := checkedPlan(t, g, now)
	r := allUp.Route("d1")
	if r.HomeFraction[0] != 0.5 || r.StayFraction[0] < 0.999 || r.StayFraction[1] < 0.999 || r.RejectedFraction != 0 {
		t.Errorf("d1 with all groups: %+v", r)
	}

	delete(now, "south")
	lost := checkedPlan(t, g, now)
	r = lost.Route("d2")
	if r.HomeFraction[1] > 0 || !near(r.RejectedFraction, 3.0/8) { // its link to north has capacity for 500 of 800
		t.Errorf("d2 without south: %+v", r)
	}
	r = lost.Route("d3")
	if !near(r.StayFraction[0], 3.0/7) || !near(r.OffHomeFraction[3], 3.0/4) || !near(r.RejectedFraction, 1.0/7) {
		t.Errorf("d3 without south: %+v", r)
	}

	before := 0.0
	for _, warm := range []float64{0.1, 0.3, 0.6, 1} {
		now["south"] = GroupStatus{3000 * warm, warm}
		returning := checkedPlan(t, g, now)
		got := 0.0
		for site := range returning.Allocation.ToGroup {
			got += returning.Allocation.ToGroup[site][1]
		}
		if got < before {
			t.Errorf("south at warm fraction %v gets %v, before %v", warm, got, before)
		}
		before = got
	}

	if r := allUp.Route("nowhere"); r.RejectedFraction != 1 || r.Pick(7) != noTarget {
		t.Error("an unknown site has a route")
	}
	if _, err := g.PlanFills(map[string]GroupStatus{"south": {1, 2}}); err == nil {
		t.Error("a warm fraction over 1")
	}
}

// With all groups lost but one, and then that one too, what is left gets no more than its capacity, the origin
// included.
func TestFillPlanWithAllGroupsLostButOne(t *testing.T) {
	topology := valley()
	topology.Origin.CapacityKBPerS = 200
	topology.Links = append(topology.Links,
		Link{"d1", "head", 5000, 60}, Link{"d2", "head", 5000, 60}, Link{"north", "head", 900, 50})
	g := compiled(t, topology)
	one := checkedPlan(t, g, map[string]GroupStatus{"north": {600, 0.5}}).Allocation
	if one.OriginLoad < 199 || one.OriginPrice <= 0 {
		t.Errorf("the origin gets %v of 200, at a price of %v", one.OriginLoad, one.OriginPrice)
	}
	none := checkedPlan(t, g, nil).Allocation
	if math.Abs(none.OriginLoad-200) > 1 {
		t.Errorf("without groups the origin gets %v of 200", none.OriginLoad)
	}
}

// For any topology and status a plan keeps all bounds.
func TestFillPlanKeepsEveryBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		topology := randomTopology(rng, 1+rng.IntN(6), 1+rng.IntN(5))
		topology.Origin.CapacityKBPerS = float64(rng.IntN(600))
		now := map[string]GroupStatus{}
		for _, group := range topology.ParentGroups {
			if rng.IntN(4) > 0 {
				now[group.Name] = GroupStatus{float64(rng.IntN(400)), rng.Float64()}
			}
		}
		g, err := Compile(topology)
		if err != nil {
			t.Fatal(err)
		}
		for _, rounds := range []int{maxPlanRounds, 0} { // also if no better plan is looked for
			plan, err := g.planFills(now, rounds)
			if err != nil {
				t.Fatal(err)
			}
			plan.checkBounds(t, now)
		}
	})
}
