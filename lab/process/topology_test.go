package process

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"spantack/core/hierarchy"
	"spantack/internal/features"
)

// topologyWithParents returns a topology of the site, the origin and the parents with the given indexes. Each parent is
// a parent group.
func topologyWithParents(version int64, parents ...int) *hierarchy.Topology {
	topology := &hierarchy.Topology{
		Version: version,
		Origin:  hierarchy.Origin{Name: "head", CapacityKBPerS: 1e6},
		Sites:   []hierarchy.Site{{Name: siteZone, PeakFillKBPerS: 1000}},
	}
	for _, parent := range parents {
		name := fmt.Sprint("area-", parent)
		group := hierarchy.ParentGroup{Name: name, ServerPrefixes: []string{parentName(parent)}}
		topology.ParentGroups = append(topology.ParentGroups, group)
		topology.Links = append(topology.Links,
			hierarchy.Link{From: siteZone, To: name, CapacityKBPerS: 1e6, RTTMillis: 5},
			hierarchy.Link{From: name, To: "head", CapacityKBPerS: 1e6, RTTMillis: 5})
	}
	return topology
}

// topologyFeatures returns a features file with a topology.
func topologyFeatures(t *testing.T, topology *hierarchy.Topology) string {
	t.Helper()
	text, err := json.Marshal(map[string]any{"shape": features.Topology{Enabled: true, Topology: *topology}})
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// fillSources has, for each object, the servers that its fills named as their source.
type fillSources map[string]map[string]bool

// runFills sends a load and returns the sources of the fills in it.
func runFills(t *testing.T, d *Deployment, seed uint64, objects int) fillSources {
	t.Helper()
	// maxFills is the maximum of fills in flight by both routers. A router starts with a concurrency limit of 10 at
	// each parent and reserves half of it for the classes with the highest weight. A fill beyond that limit correctly
	// goes to another parent, which the test would count as an error. On a busy machine, requests without this bound
	// could exceed the limit.
	const maxFills = 5
	from := len(d.RequestLog.Requests())
	total := mustRunLoad(t, d, Load{
		Seed:             seed,
		Requests:         1500,
		Interval:         time.Millisecond,
		ConnsPerRouter:   2,
		MaxInFlight:      maxFills,
		Families:         3,
		ObjectsPerFamily: objects,
	}).Total()
	if total.WrongBody+total.Lost > 0 || total.Served < 1485 {
		t.Errorf("seed %d: %+v", seed, total)
	}
	sources := fillSources{}
	for _, request := range d.RequestLog.Requests()[from:] {
		if request.Class == classReport || request.FillFrom == "" {
			continue
		}
		if sources[request.Object] == nil {
			sources[request.Object] = map[string]bool{}
		}
		sources[request.Object][request.FillFrom] = true
	}
	return sources
}

// onlySource checks that all fills of an object were sent to the same parent, and that it is one of the given parents.
// It returns the parents by object.
func (f fillSources) onlySource(t *testing.T, parents ...int) map[string]string {
	t.Helper()
	parentOf := map[string]string{}
	for object, sources := range f {
		for source := range sources {
			isListed := slices.ContainsFunc(parents, func(i int) bool { return parentName(i) == source })
			if len(sources) != 1 || !isListed {
				t.Errorf("fills of %s named %v", object, sources)
			}
			parentOf[object] = source
		}
	}
	return parentOf
}

// Two routers with three parents reload their topology on SIGHUP. Both routers fill an object from the same parent. A
// topology with a cycle is rejected and changes nothing. A valid one moves a fill to another parent only if the hash of
// its object requires it. When a parent dies but stays in the endpoint list, fills go to the other parents. Every
// request gets one correct response.
func TestTopologyReloadMovesOnlyRequiredFills(t *testing.T) {
	d := startDeployment(t, Options{
		Routers:       2,
		EdgeCaches:    4,
		Parents:       3,
		ResponseDelay: time.Millisecond,
		Features:      topologyFeatures(t, topologyWithParents(1, 0, 1)),
	})
	before := runFills(t, d, 1, 200).onlySource(t, 0, 1)

	loop := topologyWithParents(2, 0, 1)
	loop.Links = append(loop.Links,
		hierarchy.Link{From: "area-0", To: "area-1", CapacityKBPerS: 1},
		hierarchy.Link{From: "area-1", To: "area-0", CapacityKBPerS: 1})
	reloadFeatures(t, d, topologyFeatures(t, loop), "cycle: area-1 > area-0 > area-1")
	afterRejection := runFills(t, d, 2, 200).onlySource(t, 0, 1)
	for object, parent := range before {
		if now, known := afterRejection[object]; known && now != parent {
			t.Errorf("%s moved from %s to %s by a rejected topology", object, parent, now)
		}
	}

	reloadFeatures(t, d, topologyFeatures(t, topologyWithParents(3, 1, 2)), `"shape":3`)
	after := runFills(t, d, 3, 200).onlySource(t, 1, 2)
	moved, seen := 0, 0 // of the objects whose parent stayed
	for object, parent := range before {
		if now, known := after[object]; known && parent == parentName(1) {
			seen++
			if now != parent {
				moved++
			}
		}
	}
	if seen < 50 || len(afterRejection) < 100 || moved > seen*45/100 { // by the hash, a third moves to the new parent
		t.Errorf("%d objects whose parent stayed, min. 50; %d after the rejection, min. 100; %d of %d moved, max. 45%%",
			seen, len(afterRejection), moved, seen)
	}

	d.KillParent(2)
	runFills(t, d, 4, 400) // the routers detect the failure
	checkDeadParentAvoided(t, runFills(t, d, 5, 800))
	checkNoOverlaps(t, d)
}

// checkDeadParentAvoided checks that at most 10% of the objects had a fill that was sent to the dead parent, the last
// of the parents. Some objects have such a fill, because routers probe the dead parent.
func checkDeadParentAvoided(t *testing.T, sources fillSources) {
	t.Helper()
	misdirected := 0
	for _, named := range sources {
		if named[parentName(2)] {
			misdirected++
		}
	}
	if misdirected > len(sources)/10 || len(sources) < 300 {
		t.Errorf("after the parent died, fills of %d of %d objects named it", misdirected, len(sources))
	}
}
