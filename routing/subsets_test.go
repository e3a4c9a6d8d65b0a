package routing

import (
	"fmt"
	"strings"
	"testing"
)

// newSubsetEngine returns an engine with two subsets of two edge caches, each with its own accounting group.
// The second subset also names c9, which is not in the endpoint list.
func newSubsetEngine(t *testing.T, shares ...float64) *testEngine {
	engine := newTestEngine(t, testSettings(), 4, 2)
	for i, names := range [][]string{{"c0", "c1"}, {"c3", "c2", "c9"}} {
		engine.step(Event{
			Kind:            EventSubset,
			Subset:          i + 1,
			AccountingGroup: i + 1,
			CapacityShare:   shares[i],
			SubsetServers:   names,
		})
	}
	return engine
}

// requestIn passes a request that is restricted to a subset to the engine and returns the resulting action.
func (engine *testEngine) requestIn(subset int, class, object string) Action {
	engine.t.Helper()
	request := requestEvent(fmt.Sprint(subset, object), class, object)
	request.Subset = subset
	return engine.stepOne(request)
}

// Requests are sent only to the caches of their subset. A subset that is undefined or deleted is empty.
func TestRequestsStayInTheirSubset(t *testing.T) {
	engine := newSubsetEngine(t, 0.5, 0.5)
	members := map[int]string{1: "c0 c1", 2: "c2 c3"}
	for i := range 60 {
		for subset, names := range members {
			action := engine.requestIn(subset, "small", fmt.Sprint("o", i))
			if action.Kind != ActionSend || len(action.Server) != 2 || !strings.Contains(names, action.Server) {
				t.Fatalf("subset %d: %+v", subset, action)
			}
			engine.step(outcomeEvent(action, 0, OutcomeServed, CacheHit))
		}
	}
	if action := engine.requestIn(7, "small", "x"); action.Kind != ActionReject {
		t.Errorf("undefined subset: %+v, want a rejection", action)
	}
	engine.step(Event{Kind: EventSubset, Subset: 1})
	if action := engine.requestIn(1, "small", "y"); action.Kind != ActionReject {
		t.Errorf("deleted subset: %+v, want a rejection", action)
	}
}

// Subset 0 is all edge caches of the zone. An event that redefines or deletes it has no effect.
func TestSubsetOfAllCachesIsNotRedefined(t *testing.T) {
	engine := newTestEngine(t, testSettings(), 2, 1)
	engine.step(Event{Kind: EventSubset, Subset: 0, SubsetServers: []string{"c9"}})
	engine.step(Event{Kind: EventSubset, Subset: 0})
	if action := engine.request("small", "x"); action.Kind != ActionSend || !strings.HasPrefix(action.Server, "c") {
		t.Errorf("got %+v, want an attempt at an edge cache", action)
	}
}

// If all caches of a subset are ejected, its requests are rejected. They must not be sent to other caches or directly
// to parents.
func TestRequestsOfEjectedSubsetAreRejected(t *testing.T) {
	engine := newSubsetEngine(t, 0.5, 0.5)
	for i := range 40 {
		engine.now += 10 * ms
		action := engine.requestIn(1, "small", fmt.Sprint("o", i))
		for attempt := 0; action.Kind == ActionSend; attempt++ {
			if action.Server != "c0" && action.Server != "c1" {
				t.Fatalf("request sent to %s, outside its subset", action.Server)
			}
			action = engine.stepOne(outcomeEvent(action, attempt, OutcomeConnectionReset, CacheStatusUnknown))
		}
	}
	if action := engine.requestIn(2, "small", "z"); action.Kind != ActionSend {
		t.Errorf("request of the other subset: %+v, want an attempt", action)
	}
}

// If no cache of its subset is available, a request is sent to the overflow subset.
func TestOverflowSubsetIsUsedWhenNoCacheIsLeft(t *testing.T) {
	engine := newSubsetEngine(t, 0.5, 0.5)
	engine.step(Event{Kind: EventEndpoints, UpdateMode: UpdateChanges, Endpoints: []Endpoint{
		{Server: "c0", Status: EndpointRemoved},
		{Server: "c1", Status: EndpointRemoved},
	}})
	request := requestEvent("s", "small", "o")
	request.Subset = 1
	request.OverflowSubset = 2
	action := engine.stepOne(request)
	if action.Kind != ActionSend || action.Server != "c2" && action.Server != "c3" {
		t.Errorf("got %+v, want an attempt at c2 or c3", action)
	}
}

// If the origin fails the fills of one accounting group, its circuit breaker opens for that group only.
func TestBreakersOfSharedServersAreKeptByGroup(t *testing.T) {
	engine := newSubsetEngine(t, 0.5, 0.5)
	for i := range 12 {
		action := engine.requestIn(1, "small", fmt.Sprint("bad", i))
		for attempt := 0; action.Kind == ActionSend; attempt++ {
			outcome := OutcomeError
			if action.Source == action.Server { // an attempt for any cached copy
				outcome = OutcomeMiss
			}
			action = engine.stepOne(outcomeEvent(action, attempt, outcome, OriginFailed))
		}
	}
	origin := engine.origin
	if !origin.breakerFor(1).isOpen(engine.now) {
		t.Fatal("the group's breaker is closed after twelve failed fills")
	}
	if origin.breakerFor(2).isOpen(engine.now) || origin.breaker.openUntil != 0 {
		t.Error("another group's breaker is open")
	}
	action := engine.requestIn(2, "small", "good")
	isFill := action.Source != action.Server && action.FetchFlags&FetchCachedOnly == 0
	if action.Kind != ActionSend || !isFill {
		t.Errorf("request of the other group: %+v, want a fill", action)
	}
}

// If one accounting group uses up the parents' limits, the other group's share must still be available to it.
func TestGroupKeepsItsShareOfLimit(t *testing.T) {
	engine := newSubsetEngine(t, 0.25, 0.25)
	parents := engine.parents
	for _, srv := range append(parents, engine.origin) {
		srv.concurrencyLimit = 20
		srv.limitReducedAt = 1
	}
	fills := func(subset, requests int, name string) (inFlight int) {
		for i := range requests {
			action := engine.requestIn(subset, "small", fmt.Sprint(name, i))
			if action.Kind == ActionSend && (action.Source == "p0" || action.Source == "p1") {
				inFlight++
			}
		}
		return inFlight
	}
	for _, srv := range engine.caches {
		srv.concurrencyLimit = 1000
	}
	first := fills(1, 200, "l")
	if first < 25 || first > 60 {
		t.Errorf("first group alone: %d fills in flight, sum of limits 40", first)
	}
	if second := fills(2, 30, "q"); second < 6 {
		t.Errorf("second group: %d fills in flight, its share is 10", second)
	}
}

// Capacity that a group used recently, within its share, is reserved for it. Other groups may borrow it only after some
// time.
func TestRecentlyUsedShareIsReserved(t *testing.T) {
	for _, wait := range []int64{10 * ms, 8 * sec} {
		engine := newSubsetEngine(t, 0.5, 0.5)
		for _, srv := range append(engine.parents, engine.origin) {
			srv.concurrencyLimit = 20
			srv.limitReducedAt = 1
		}
		for _, srv := range engine.caches {
			srv.concurrencyLimit = 1000
		}
		var earlier []Action
		for i := range 16 {
			earlier = append(earlier, engine.requestIn(2, "small", fmt.Sprint("q", i)))
		}
		for _, action := range earlier {
			engine.step(outcomeEvent(action, 0, OutcomeServed, FilledFromSource))
		}
		engine.now += wait
		for i := range 200 {
			engine.requestIn(1, "small", fmt.Sprint("l", i))
		}
		inFlight := 0
		for _, srv := range engine.parents {
			inFlight += srv.inFlight
		}
		if isReserved := inFlight <= 30; isReserved != (wait < sec) {
			t.Errorf("%d us after the other group's last fill: %d of 40 fills in flight", wait, inFlight)
		}
	}
}

// Fills go to the parents of the request's parent subset, in the object's rendezvous order. They go to other parents if
// no parent of the subset is available, and to the origin if the subset is empty.
func TestFillsPreferTheParentSubset(t *testing.T) {
	engine := newTestEngine(t, testSettings(), 2, 4)
	engine.step(Event{Kind: EventSubset, Subset: 50, SubsetServers: []string{"p0", "p2"}})
	send := func(i, parentSubset int) Action {
		engine.now += 10 * ms
		request := requestEvent(fmt.Sprint("q", i), "small", fmt.Sprint("o", i))
		request.ParentSubset = parentSubset
		return engine.stepOne(request)
	}
	seen := map[string]bool{}
	for i := range 40 {
		action := send(i, 50)
		seen[action.Source] = true
		engine.step(outcomeEvent(action, 0, OutcomeServed, FilledFromSource))
	}
	if len(seen) != 2 || !seen["p0"] || !seen["p2"] {
		t.Errorf("fills of subset 50 went to %v, want p0 and p2", seen)
	}
	if action := send(100, -1); action.Source != "o" {
		t.Errorf("empty parent subset: source %s, want the origin", action.Source)
	}
	if action := send(101, 0); action.Source == "" || action.Source == "o" {
		t.Errorf("no parent subset: source %s, want a parent", action.Source)
	}
	for i := 200; i < 300; i++ { // both parents of the subset fail every fill
		action := send(i, 50)
		attempt := 0
		for ; action.Kind == ActionSend && (action.Source == "p0" || action.Source == "p2"); attempt++ {
			action = engine.stepOne(outcomeEvent(action, attempt, OutcomeError, SourceUnreachable))
		}
		if action.Kind == ActionSend {
			engine.step(outcomeEvent(action, attempt, OutcomeServed, FilledFromSource))
		}
	}
	if action := send(400, 50); action.Source != "p1" && action.Source != "p3" {
		t.Errorf("parent subset ejected: source %s, want p1 or p3", action.Source)
	}
}
