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

// topologyWithParents is a topology of the site, the origin, and the parents with some indexes, each one a group.
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

// topologyFeatures is a features file with a topology.
func topologyFeatures(t *testing.T, topology *hierarchy.Topology) string {
	t.Helper()
	text, err := json.Marshal(map[string]any{"shape": features.Topology{Enabled: true, Topology: *topology}})
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// fillSources are, by object, the servers that its fills were asked of.
type fillSources map[string]map[string]bool

// runFills sends a load and returns the sources of the fills in it.
func runFills(t *testing.T, d *Deployment, seed uint64, objects int) fillSources {
	t.Helper()
	// maxFills is how many fills two routers have in flight. A router starts with a concurrency limit of 10 at each
	// parent and keeps half of it for the classes with the most weight; a fill that is past it goes to another parent,
	// as it should. Where processes wait for a CPU, requests sent by the clock pile up past 10.
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

// onlySource checks that the fills of each object were asked of one of some parents, and returns it by object.
func (f fillSources) onlySource(t *testing.T, parents ...int) map[string]string {
	t.Helper()
	parentOf := map[string]string{}
	for object, sources := range f {
		for source := range sources {
			isListed := slices.ContainsFunc(parents, func(i int) bool { return parentName(i) == source })
			if len(sources) != 1 || !isListed {
				t.Errorf("fills of %s are asked of %v", object, sources)
			}
			parentOf[object] = source
		}
	}
	return parentOf
}

// Two routers, three parents, and a topology that changes by SIGHUP: an object's fills are asked of one parent at both
// routers, a planted cycle is refused and changes nothing, a later topology moves what it must, and when a parent is
// cut off, still listed, fills go elsewhere. Every request has one right answer.
func TestTopologyChangesInService(t *testing.T) {
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
	afterRefusal := runFills(t, d, 2, 200).onlySource(t, 0, 1)
	for object, parent := range before {
		if now, known := afterRefusal[object]; known && now != parent {
			t.Errorf("%s went from %s to %s by a topology that was refused", object, parent, now)
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
	if seen < 50 || len(afterRefusal) < 100 || moved > seen*45/100 { // a third goes to the new one, as the hash has it
		t.Errorf("%d and %d objects seen; of those whose parent stayed %d of %d went elsewhere",
			seen, len(afterRefusal), moved, seen)
	}

	d.KillParent(2)
	runFills(t, d, 4, 400) // finds out
	checkDeadParentAvoided(t, runFills(t, d, 5, 800))
	checkNoOverlaps(t, d)
}

// checkDeadParentAvoided checks that fills are asked of the dead parent, which is the last one, for trials alone.
func checkDeadParentAvoided(t *testing.T, sources fillSources) {
	t.Helper()
	astray := 0
	for _, asked := range sources {
		if asked[parentName(2)] {
			astray++
		}
	}
	if astray > len(sources)/10 || len(sources) < 300 {
		t.Errorf("after the cut %d of %d objects were asked of what is not there", astray, len(sources))
	}
}
