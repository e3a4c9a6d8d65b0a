package process

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"spantack/core/cells"
	"spantack/core/hierarchy"
	"spantack/core/migration"
	"spantack/core/rollout"
	"spantack/internal/features"
	"spantack/internal/testwait"
	"spantack/standin/cache"
)

var routerBinary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "spantack-test-")
	if err == nil {
		routerBinary, err = Build(dir)
	}
	if err != nil {
		println(err.Error())
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// cellsFeatures puts four families into two cells; a version in the other order exchanges them.
func cellsFeatures(version int64, first, second string) string {
	spec := cells.Spec{Version: version, Scheme: cells.SchemeFixed,
		Cells:      []cells.Cell{{Name: "one", Share: 0.5}, {Name: "two", Share: 0.5}},
		Tenants:    []cells.Tenant{{Name: "loud", Cell: first}, {Name: "rest", Cell: second}},
		TenantKeys: []cells.TenantKey{{PurgeGroupRange: []int{0, 0}, Tenant: "loud"}, {Tenant: "rest"}},
		Budget:     cells.Budget{RequestsPerSecond: 3000, MaxOpenRequests: 200},
	}
	text, err := json.Marshal(map[string]any{"cells": struct {
		Enabled bool `json:"enabled"`
		cells.Spec
	}{true, spec}})
	if err != nil {
		panic(err)
	}
	return string(text)
}

func startDeployment(t *testing.T, opt Options) *Deployment {
	t.Helper()
	opt.RouterBinary = routerBinary
	d, err := Start(contextWithLimit(t, routerTimeout, "the deployment to start"), opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := d.Stop(); err != nil {
			t.Error(err)
		}
		goleak.VerifyNone(t)
	})
	return d
}

func cellByCache(t *testing.T, d *Deployment, text string) map[string]string {
	t.Helper()
	f, err := features.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, c := range d.EdgeCaches {
		names = append(names, c.Name())
	}
	cell := map[string]string{}
	for i, in := range f.CellSpec().CachesByCell(names) {
		for _, name := range in {
			cell[name] = f.CellSpec().Cells[i].Name
		}
	}
	return cell
}

const (
	// routerTimeout bounds the waits for what routers do.
	routerTimeout = time.Minute
	// loadTimeout bounds a load with all its answers, which takes half a minute at most on a machine that is free.
	loadTimeout = 4 * time.Minute
	// callTimeout bounds a call to a router, which has limits of its own.
	callTimeout = testwait.Limit
)

// contextWithLimit is a context for a wait of the test; its end names what was awaited.
func contextWithLimit(t *testing.T, limit time.Duration, what string) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeoutCause(t.Context(), limit, fmt.Errorf("waited %v for %s", limit, what))
	t.Cleanup(cancel)
	return ctx
}

// runLoad sends a load and waits for all answers.
func runLoad(t *testing.T, d *Deployment, load Load) (*LoadResult, error) {
	t.Helper()
	ctx := contextWithLimit(t, loadTimeout, fmt.Sprintf("the answers to %d requests of seed %d", load.Requests, load.Seed))
	rep, err := d.RunLoad(ctx, load)
	if late := context.Cause(ctx); late != nil { // requests that were out count as lost
		err = late
	}
	return rep, err
}

// startLoad is run beside the test.
func startLoad(t *testing.T, d *Deployment, load Load) <-chan *LoadResult {
	t.Helper()
	ended := make(chan *LoadResult, 1)
	go func() {
		rep, err := runLoad(t, d, load)
		if err != nil {
			t.Error(err)
		}
		ended <- rep
	}()
	return ended
}

// waitForLog returns once a router's log holds some words.
func waitForLog(t *testing.T, r *Router, words string) {
	t.Helper()
	testwait.UntilWithin(t, routerTimeout, fmt.Sprintf("the log of %s to say %q", r.Addr, words), func() bool {
		log, err := os.ReadFile(r.LogPath)
		if err != nil {
			t.Fatal(err)
		}
		return strings.Contains(string(log), words)
	})
}

// Three routers, a flood by one tenant whose caches also fail now and then: no request of any tenant reaches a cache
// outside its cell, every request has one right answer, and no two attempts of one were out at once.
func TestFloodIsConfinedToItsCell(t *testing.T) {
	text := cellsFeatures(1, "one", "two")
	d := startDeployment(t, Options{Routers: 3, EdgeCaches: 6, ResponseDelay: 2 * time.Millisecond, Features: text, FaultScript: func(g cache.Request) cache.Fault {
		if strings.HasPrefix(g.Object, "00") && strings.HasSuffix(g.ID, "7") {
			return cache.FaultError
		}
		return cache.FaultNone
	}})
	const requests = 3000
	rep, err := runLoad(t, d, Load{Seed: 5, Requests: requests, Interval: 700 * time.Microsecond, ConnsPerRouter: 2, Families: 4, ObjectsPerFamily: 200, FloodFamily: 0, FloodFactor: 3})
	if err != nil {
		t.Fatal(err)
	}
	all := rep.Total()
	if n := all.Served + all.Rejected + all.Failed; n != requests || all.WrongBody+all.Lost > 0 {
		t.Errorf("answers: %+v, want %d in all, none wrong or lost", all, requests)
	}
	if all.Served < requests/2 {
		t.Errorf("only %d served", all.Served)
	}
	for family, c := range rep.ByFamily[1:] {
		if c.Failed > 0 {
			t.Errorf("family %d: %d failed", family+1, c.Failed)
		}
	}
	for _, r := range d.Routers { // what a plan is made from is in the log
		if err := r.Signal(syscall.SIGUSR1); err != nil {
			t.Fatal(err)
		}
		waitForLog(t, r, `"name":"loud"`)
	}
	cell := cellByCache(t, d, text)
	seen := map[string]int{}
	for _, g := range d.RequestLog.Requests() {
		want := "two"
		if strings.HasPrefix(g.Object, "00") {
			want = "one"
		}
		home, isCache := cell[g.Server]
		if isCache && home != want {
			t.Fatalf("object %s reached %s of cell %s", g.Object, g.Server, home)
		}
		seen[home]++
	}
	if seen["one"] == 0 || seen["two"] == 0 {
		t.Errorf("attempts by cell: %v", seen)
	}
	if o := d.RequestLog.Overlaps(); len(o) > 0 {
		t.Errorf("two attempts out at once: %v", o)
	}
}

// SIGHUP under load: a file that can't be used changes nothing, a good one moves the tenants to each other's cells, and
// no request is lost on the way.
func TestCellsChangeInService(t *testing.T) {
	before, after := cellsFeatures(1, "one", "two"), cellsFeatures(2, "two", "one")
	d := startDeployment(t, Options{Routers: 2, EdgeCaches: 4, ResponseDelay: time.Millisecond, Features: before})
	hangUp := func(text, says string) {
		if err := d.WriteFeatures(text); err != nil {
			t.Fatal(err)
		}
		for _, r := range d.Routers {
			if err := r.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
		}
		for _, r := range d.Routers { // the log tells when it is done; the test's own limit ends a wait for nothing
			waitForLog(t, r, says)
		}
	}
	half := func(seed uint64) {
		rep, err := runLoad(t, d, Load{Seed: seed, Requests: 300, Interval: time.Millisecond, ConnsPerRouter: 2, Families: 4, ObjectsPerFamily: 50})
		if err != nil {
			t.Fatal(err)
		}
		if all := rep.Total(); all.Served != 300 {
			t.Errorf("answers: %+v", all)
		}
	}
	homes := func(from int) map[string]map[string]bool {
		cell := cellByCache(t, d, before)
		seen := map[string]map[string]bool{"loud": {}, "rest": {}}
		for _, g := range d.RequestLog.Requests()[from:] {
			who := "rest"
			if strings.HasPrefix(g.Object, "00") {
				who = "loud"
			}
			if home := cell[g.Server]; home != "" {
				seen[who][home] = true
			}
		}
		return seen
	}
	half(1)
	hangUp(strings.Replace(after, `"two"`, `"three"`, 1), "new features can't be used")
	half(2)
	if got := homes(0); !got["loud"]["one"] || got["loud"]["two"] || got["rest"]["one"] {
		t.Errorf("before: %v", got)
	}

	ran := startLoad(t, d, Load{Seed: 3, Requests: 600, Interval: time.Millisecond, ConnsPerRouter: 2, Families: 4, ObjectsPerFamily: 50})
	hangUp(after, `"cells":2`)
	if all := testwait.ReceiveWithin(t, loadTimeout+routerTimeout, ran, "the load").Total(); all.Served != 600 {
		t.Errorf("while it changed: %+v", all)
	}
	from := len(d.RequestLog.Requests())
	half(4)
	if got := homes(from); !got["loud"]["two"] || got["loud"]["one"] || got["rest"]["two"] {
		t.Errorf("after: %v", got)
	}
}

// Three routers, a tenant moved in service by SIGHUP while half of the caches are replaced, one at the address of the machine that has gone:
// 20,000 requests, each with one right answer, and none at a cache that is in neither of its tenant's cells.
func TestMigrationInService(t *testing.T) {
	const requests = 20_000
	spec := cells.Spec{Version: 1, Scheme: cells.SchemeFixed,
		Cells:      []cells.Cell{{Name: "one", Share: 0.34}, {Name: "two", Share: 0.33}, {Name: "three", Share: 0.33}},
		Tenants:    []cells.Tenant{{Name: "mover", Cell: "one"}, {Name: "rest", Cell: "three"}},
		TenantKeys: []cells.TenantKey{{PurgeGroupRange: []int{0, 0}, Tenant: "mover"}, {Tenant: "rest"}},
	}
	file := func(doc *migration.Document) string {
		f := features.File{Cells: features.Cells{Enabled: true, Spec: spec}, Rollout: features.Rollout{Rollout: rollout.Rollout{Rings: []rollout.Ring{}}}}
		if doc != nil {
			f.Migration = features.Migration{Enabled: true, Document: *doc}
		} else {
			f.Migration.Migrations = []migration.Migration{}
		}
		text, err := json.Marshal(f)
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	d := startDeployment(t, Options{Routers: 3, EdgeCaches: 9, ResponseDelay: time.Millisecond, Features: file(nil)})
	tell := func(doc *migration.Document, says string) {
		if err := d.WriteFeatures(file(doc)); err != nil {
			t.Fatal(err)
		}
		for _, r := range d.Routers {
			if err := r.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
		}
		for _, r := range d.Routers {
			waitForLog(t, r, says)
		}
	}
	lists := map[string][]string{} // cells of every cache, under each list that there was
	note := func() {
		var names []string
		for _, c := range d.EdgeCaches {
			names = append(names, c.Name())
		}
		for i, in := range spec.CachesByCell(names) {
			for _, name := range in {
				lists[name] = append(lists[name], spec.Cells[i].Name)
			}
		}
	}
	note()
	ran := startLoad(t, d, Load{Seed: 9, Requests: requests, Interval: 1200 * time.Microsecond, ConnsPerRouter: 2, Families: 3, ObjectsPerFamily: 300})
	now := float64(time.Now().UnixMilli())
	move := migration.Migration{Tenant: "mover", Site: migration.AllSites, From: "one", To: "two", Start: now + 1000, MinShift: migration.ShortestShiftMs, MaxShift: 15_000, Settle: 2000}
	tell(&migration.Document{Version: 1, Migrations: []migration.Migration{move}}, `"moves":1`)
	for i := range 4 {
		if err := d.ReplaceCache(2*i, 700*time.Millisecond, i%2 == 0); err != nil {
			t.Fatal(err)
		}
		note()
	}
	lost := move
	lost.To = "three"
	tell(&migration.Document{Version: 2, Migrations: []migration.Migration{lost}}, "new features can't be used") // a move under way can't be led elsewhere
	rep := testwait.ReceiveWithin(t, loadTimeout+routerTimeout, ran, "the load")
	all := rep.Total()
	if n := all.Served + all.Rejected + all.Failed; n != requests || all.WrongBody+all.Lost > 0 {
		t.Errorf("answers: %+v, want %d in all, none wrong or lost", all, requests)
	}
	if all.Served < requests*99/100 {
		t.Errorf("%d of %d served", all.Served, requests)
	}
	if o := d.RequestLog.Overlaps(); len(o) > 0 {
		t.Errorf("two attempts out at once: %v", o)
	}
	seen := map[string]int{}
	for _, g := range d.RequestLog.Requests() {
		if !strings.HasPrefix(g.Object, "00") || lists[g.Server] == nil {
			continue
		}
		in := lists[g.Server]
		if !slices.Contains(in, "one") && !slices.Contains(in, "two") {
			t.Fatalf("object %s reached %s, which was in %v", g.Object, g.Server, in)
		}
		for _, cell := range in {
			seen[cell]++
		}
	}
	if seen["one"] == 0 || seen["two"] == 0 {
		t.Errorf("attempts of the mover by cell: %v", seen)
	}
	for _, r := range d.Routers {
		if err := r.Signal(syscall.SIGUSR1); err != nil {
			t.Fatal(err)
		}
		waitForLog(t, r, `"message":"moves"`)
	}
}

// Two routers and a release in one of two cells: refused before its ring opens, served after, and once its objects fail at the caches taken
// back by each router for itself, while nothing else is touched.
func TestReleaseInService(t *testing.T) {
	spec := cells.Spec{Version: 1, Scheme: cells.SchemeFixed,
		Cells:      []cells.Cell{{Name: "one", Share: 0.5}, {Name: "two", Share: 0.5}},
		Tenants:    []cells.Tenant{{Name: "first", Cell: "one"}, {Name: "rest", Cell: "two"}},
		TenantKeys: []cells.TenantKey{{PurgeGroupRange: []int{0, 0}, Tenant: "first"}, {PurgeGroupRange: []int{2, 2}, Tenant: "first"}, {Tenant: "rest"}},
	}
	var bad atomic.Bool
	opens := float64(time.Now().UnixMilli()) + 12_000 // the routers are up long before
	release := rollout.Rollout{Version: 1, Name: "r", FamilyRange: []int{2, 2}, Since: opens - 12_000, Rings: []rollout.Ring{{Cells: []string{"one"}, OpensAt: opens, JudgeWithin: 600_000}}}
	f := features.File{Cells: features.Cells{Enabled: true, Spec: spec}, Rollout: features.Rollout{Enabled: true, Rollout: release}}
	f.Migration.Migrations = []migration.Migration{}
	text, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	d := startDeployment(t, Options{Routers: 2, EdgeCaches: 4, ResponseDelay: time.Millisecond, Features: string(text), FaultScript: func(g cache.Request) cache.Fault {
		if bad.Load() && strings.HasPrefix(g.Object, "02") {
			return cache.FaultError
		}
		return cache.FaultNone
	}})
	run := func(seed uint64, requests int) *LoadResult {
		rep, err := runLoad(t, d, Load{Seed: seed, Requests: requests, Interval: 2 * time.Millisecond, ConnsPerRouter: 2, Families: 3, ObjectsPerFamily: 50})
		if err != nil {
			t.Fatal(err)
		}
		for family, c := range rep.ByFamily {
			if c.WrongBody+c.Lost > 0 || family < 2 && c.Served < (c.Served+c.Rejected+c.Failed)*99/100 {
				t.Errorf("family %d: %+v", family, c)
			}
		}
		return rep
	}
	before := run(1, 1500)
	reports := before.ByClass["stock-report"]
	if c := before.ByFamily[2]; float64(time.Now().UnixMilli()) < opens && (c.Served > 0 || c.Rejected == 0) {
		t.Errorf("before the ring opens: %+v, reports %+v", c, reports)
	}
	for _, r := range d.Routers {
		waitForLog(t, r, "release r, ring 0 ([one]): judging")
	}
	if c := run(2, 600).ByFamily[2]; c.Served == 0 || c.Rejected+c.Failed > 0 {
		t.Errorf("where it is open: %+v", c)
	}
	bad.Store(true)
	stopped := func() bool {
		for _, r := range d.Routers {
			log, err := os.ReadFile(r.LogPath)
			if err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(string(log), "stopped, by ") {
				return false
			}
		}
		return true
	}
	for i := uint64(0); !stopped(); i++ {
		if i == 20 {
			t.Fatal("a release that fails whole is not stopped after 10,000 requests")
		}
		run(10+i, 500)
	}
	if c := run(50, 500).ByFamily[2]; c.Served > 0 || c.Failed > 0 {
		t.Errorf("after it was stopped: %+v", c)
	}
}

// Two routers and prices renewed under their names, from the ring's time to the document's way back: every attempt for them at every server
// carries the age that its cell's ring allows at that moment, and nothing is refused.
func TestObjectReplacementInService(t *testing.T) {
	spec := cells.Spec{Version: 1, Scheme: cells.SchemeFixed,
		Cells:      []cells.Cell{{Name: "one", Share: 0.5}, {Name: "two", Share: 0.5}},
		Tenants:    []cells.Tenant{{Name: "first", Cell: "one"}, {Name: "rest", Cell: "two"}},
		TenantKeys: []cells.TenantKey{{PurgeGroupRange: []int{0, 0}, Tenant: "first"}, {PurgeGroupRange: []int{2, 2}, Tenant: "first"}, {Tenant: "rest"}},
	}
	since := float64(time.Now().UnixMilli()) + 5000
	const keep = 3_600_000
	release := rollout.Rollout{Version: 1, Name: "r", FamilyRange: []int{1, 2}, Since: since, ReplacesObjects: true, OldCopyMaxAge: keep, RollbackAt: since + 6000,
		Rings: []rollout.Ring{{Cells: []string{"one"}, OpensAt: since, JudgeWithin: 600_000}}}
	f := features.File{Cells: features.Cells{Enabled: true, Spec: spec}, Rollout: features.Rollout{Enabled: true, Rollout: release}}
	f.Migration.Migrations = []migration.Migration{}
	text, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	d := startDeployment(t, Options{Routers: 2, EdgeCaches: 4, ResponseDelay: time.Millisecond, Features: string(text)})
	ages := func(seed uint64, check func(family string, g cache.Request, at float64)) (seen int) {
		from := len(d.RequestLog.Requests())
		rep, err := runLoad(t, d, Load{Seed: seed, Requests: 600, Interval: 2 * time.Millisecond, ConnsPerRouter: 2, Families: 3, ObjectsPerFamily: 50})
		if err != nil {
			t.Fatal(err)
		}
		for family, c := range rep.ByFamily {
			if c.WrongBody+c.Lost+c.Rejected+c.Failed > 0 {
				t.Errorf("family %d: %+v", family, c)
			}
		}
		for _, g := range d.RequestLog.Requests()[from:] {
			if family := g.Object[:2]; g.Class != "stock-report" && family != "00" {
				check(family, g, float64(g.ArrivedAt.UnixMilli()))
				seen++
			}
		}
		return seen
	}
	for _, r := range d.Routers {
		waitForLog(t, r, "release r, ring 0 ([one]): judging")
	}
	seen := ages(1, func(family string, g cache.Request, at float64) {
		switch {
		case at >= release.RollbackAt:
		case family == "02" && (g.MaxAgeMillis < 1 || float64(g.MaxAgeMillis) > at-since):
			t.Errorf("%s, cell one, %.0f ms since: copies of %d ms", g.Object, at-since, g.MaxAgeMillis)
		case family == "01" && g.MaxAgeMillis != 0 && g.MaxAgeMillis != keep:
			t.Errorf("%s, cell two: copies of %d ms", g.Object, g.MaxAgeMillis)
		}
	})
	for _, r := range d.Routers {
		waitForLog(t, r, "release r, ring 0 ([one]): stopped")
	}
	seen += ages(2, func(family string, g cache.Request, at float64) {
		if g.MaxAgeMillis < 1 || float64(g.MaxAgeMillis) > at-release.RollbackAt {
			t.Errorf("%s, taken back %.0f ms before: copies of %d ms", g.Object, at-release.RollbackAt, g.MaxAgeMillis)
		}
	})
	if seen < 200 {
		t.Errorf("%d attempts seen", seen)
	}
}

// Two routers, three area caches, and a shape that changes by SIGHUP: an object's fills are asked of one area at both routers, a planted
// circle is refused and changes nothing, a later shape moves what it must, and when an area's cache is cut off, unlisted, fills go
// elsewhere. Every request has one right answer.
func TestTopologyChangesInService(t *testing.T) {
	// fillsOfOneParent is how many fills two routers have in flight at most. A router starts with a concurrency limit of 10 at each parent and
	// keeps half of it for the classes with the most weight; a fill that is past it goes to another parent, as it should. Where processes
	// wait for a CPU, requests sent by the clock pile up past 10.
	const fillsOfOneParent = 5
	shape := func(version int64, areas ...int) *hierarchy.Topology {
		s := &hierarchy.Topology{Version: version, Origin: hierarchy.Origin{Name: "head", CapacityKBPerS: 1e6}, Sites: []hierarchy.Site{{Name: "depot-00", PeakFillKBPerS: 1000}}}
		for _, a := range areas {
			name := fmt.Sprint("area-", a)
			s.ParentGroups = append(s.ParentGroups, hierarchy.ParentGroup{Name: name, ServerPrefixes: []string{ParentName(a)}})
			s.Links = append(s.Links, hierarchy.Link{From: "depot-00", To: name, CapacityKBPerS: 1e6, RTTMillis: 5}, hierarchy.Link{From: name, To: "head", CapacityKBPerS: 1e6, RTTMillis: 5})
		}
		return s
	}
	file := func(s *hierarchy.Topology) string {
		text, err := json.Marshal(map[string]any{"shape": features.Topology{Enabled: true, Topology: *s}})
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	d := startDeployment(t, Options{Routers: 2, EdgeCaches: 4, Parents: 3, ResponseDelay: time.Millisecond, Features: file(shape(1, 0, 1))})
	tell := func(s *hierarchy.Topology, says string) {
		if err := d.WriteFeatures(file(s)); err != nil {
			t.Fatal(err)
		}
		for _, r := range d.Routers {
			if err := r.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			waitForLog(t, r, says)
		}
	}
	run := func(seed uint64, objects int) map[string]map[string]bool { // of each object, the sources that its fills named
		from := len(d.RequestLog.Requests())
		rep, err := runLoad(t, d, Load{Seed: seed, Requests: 1500, Interval: time.Millisecond, ConnsPerRouter: 2, MaxInFlight: fillsOfOneParent,
			Families: 3, ObjectsPerFamily: objects})
		if err != nil {
			t.Fatal(err)
		}
		if all := rep.Total(); all.WrongBody+all.Lost > 0 || all.Served < 1485 {
			t.Errorf("seed %d: %+v", seed, all)
		}
		asked := map[string]map[string]bool{}
		for _, g := range d.RequestLog.Requests()[from:] {
			if g.Class == "stock-report" || g.FillFrom == "" {
				continue
			}
			if asked[g.Object] == nil {
				asked[g.Object] = map[string]bool{}
			}
			asked[g.Object][g.FillFrom] = true
		}
		return asked
	}
	place := func(asked map[string]map[string]bool, areas ...int) map[string]string {
		at := map[string]string{}
		for object, sources := range asked {
			for source := range sources {
				if len(sources) != 1 || !slices.ContainsFunc(areas, func(a int) bool { return ParentName(a) == source }) {
					t.Errorf("fills of %s are asked of %v", object, sources)
				}
				at[object] = source
			}
		}
		return at
	}
	before := place(run(1, 200), 0, 1)
	loop := shape(2, 0, 1)
	loop.Links = append(loop.Links, hierarchy.Link{From: "area-0", To: "area-1", CapacityKBPerS: 1}, hierarchy.Link{From: "area-1", To: "area-0", CapacityKBPerS: 1})
	tell(loop, "cycle: area-1 > area-0 > area-1")
	same := place(run(2, 200), 0, 1)
	tell(shape(3, 1, 2), `"shape":3`)
	after := place(run(3, 200), 1, 2)
	moved, all := 0, 0
	for object, at := range before {
		if now, known := same[object]; known && now != at {
			t.Errorf("%s went from %s to %s by a shape that was refused", object, at, now)
		}
		if now, known := after[object]; known && at == ParentName(1) {
			if all++; now != at {
				moved++
			}
		}
	}
	if all < 50 || len(same) < 100 || moved > all*45/100 { // a third goes to the new area, as the hash has it
		t.Errorf("%d and %d objects seen; of those whose area stayed %d of %d went elsewhere", all, len(same), moved, all)
	}
	d.KillParent(2)
	run(4, 400) // finds out
	left := run(5, 800)
	astray := 0
	for _, sources := range left {
		if sources[ParentName(2)] {
			astray++
		}
	}
	if astray > len(left)/10 || len(left) < 300 { // trials
		t.Errorf("after the cut %d of %d objects were asked of what is not there", astray, len(left))
	}
	if o := d.RequestLog.Overlaps(); len(o) > 0 {
		t.Errorf("two attempts out at once: %v", o)
	}
}
