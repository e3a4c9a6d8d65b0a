package cells

import (
	"fmt"
	"slices"
	"testing"

	"spantack/routing"
)

func TestFewerCachesThanCells(t *testing.T) {
	s := twoCells()
	s.Cells[0].Share, s.Cells[1].Share = 0.6, 0.4
	m := newTestAdmission(t, s, "c0")
	a := &testClient{t: t, admission: m, now: 2 * sec}
	if got := a.request(routing.Event{PurgeGroup: 1, Object: "01"}); got != "c0" {
		t.Errorf("the cell with the greater share is sent to %q", got)
	}
	if got := a.request(routing.Event{PurgeGroup: 99, Object: "01"}); got != "" {
		t.Errorf("a cell without caches is sent to %q", got)
	}
	s.Version, s.Cells[1].FallbackCell = 2, "one"
	m.SetAssignment(2*sec, mustCompile(t, s))
	if got := a.request(routing.Event{PurgeGroup: 99, Object: "01"}); got != "c0" {
		t.Errorf("the named neighbour does not serve: %q", got)
	}
	if m.Stats.FellBack != 1 || m.Stats.Rejected[ReasonNoLiveCache] != 1 {
		t.Errorf("%+v", m.Stats)
	}
}

// The only cache of a cell drains, goes, and another comes: refused meanwhile, never spread over the other cell.
func TestOnlyCacheOfACellIsLost(t *testing.T) {
	m := newTestAdmission(t, twoCells(), "c0", "c1")
	a := &testClient{t: t, admission: m, now: 2 * sec}
	home := a.request(routing.Event{PurgeGroup: 1, Object: "01"})
	row := endpointsWith(home)[3]
	for _, status := range []routing.EndpointStatus{"cordoned", "deregistered"} {
		row.Status = status
		m.Step(a.now, []routing.Event{{Kind: routing.EventEndpoints, UpdateMode: "update", Endpoints: []routing.Endpoint{row}}})
		if status == "cordoned" {
			for range 20 {
				if got := a.request(routing.Event{PurgeGroup: 1, Object: fmt.Sprint(a.sent)}); got != "" {
					t.Fatalf("%s: sent to %s", status, got)
				}
			}
		}
	}
	// One cache for two cells of equal shares: the first named has it.
	one, other := a.request(routing.Event{PurgeGroup: 1, Object: "1"}), a.request(routing.Event{PurgeGroup: 99, Object: "1"})
	if one == "" || other != "" {
		t.Errorf("one cache left: cells sent to %q and %q", one, other)
	}
	m.Step(a.now, []routing.Event{{Kind: routing.EventEndpoints, UpdateMode: "update", Endpoints: endpointsWith("c7")[3:]}})
	one, other = a.request(routing.Event{PurgeGroup: 1, Object: "2"}), a.request(routing.Event{PurgeGroup: 99, Object: "2"})
	if one == "" || other == "" || one == other {
		t.Errorf("two caches again: cells sent to %q and %q", one, other)
	}
}

// While its only cache drains, a cell's requests go to the neighbour that it names.
func TestFallbackWhileOnlyCacheDrains(t *testing.T) {
	s := twoCells()
	s.Cells[0].FallbackCell = "two"
	m := newTestAdmission(t, s, "c0", "c1")
	a := &testClient{t: t, admission: m, now: 2 * sec}
	home := a.request(routing.Event{PurgeGroup: 1, Object: "01"})
	row := endpointsWith(home)[3]
	row.Status = "cordoned"
	m.Step(a.now, []routing.Event{{Kind: routing.EventEndpoints, UpdateMode: "update", Endpoints: []routing.Endpoint{row}}})
	if got := a.request(routing.Event{PurgeGroup: 1, Object: "01"}); got == "" || got == home {
		t.Errorf("sent to %q", got)
	}
}

// Routers with different versions send a tenant to its cell by the one or by the other, and nowhere else.
func TestRoutersWithDifferentAssignments(t *testing.T) {
	caches := cacheNames(9)
	next := twoCells()
	next.Version = 2
	next.Tenants[0].Cell, next.Tenants[1].Cell = "two", "one"
	for i, s := range []*Spec{twoCells(), next} {
		a := &testClient{t: t, admission: newTestAdmission(t, s, caches...), now: 2 * sec}
		in := s.CachesByCell(caches)
		for n := range 100 {
			if got := a.request(routing.Event{PurgeGroup: 1, Object: fmt.Sprint(n)}); !slices.Contains(in[i], got) {
				t.Fatalf("version %d: sent to %s", s.Version, got)
			}
		}
	}
}

// Whatever the scheme, no request goes outside the caches that Explain names, and all of those are used.
func TestRequestsStayInTheirTenantsCaches(t *testing.T) {
	caches := cacheNames(12)
	for _, scheme := range []string{SchemeFixed, SchemeShuffle, SchemeNested, SchemeOverflow} {
		s := twoCells()
		s.Scheme = scheme
		switch scheme {
		case SchemeShuffle, SchemeNested:
			s.Width = 2
		case SchemeOverflow:
			s.Cells = append(s.Cells, Cell{Name: "spare", Share: 0.25})
			s.Cells[0].Share, s.Cells[1].Share, s.OverflowCell = 0.375, 0.375, "spare"
		}
		m := newTestAdmission(t, s, caches...)
		a := &testClient{t: t, admission: m, now: 2 * sec}
		used := map[string]map[string]bool{}
		for i := range 600 {
			a.now += 10 * msec
			ev := routing.Event{PurgeGroup: int64(i % 20), Object: fmt.Sprintf("%02x", i)}
			if i%3 == 0 {
				ev.Tenant = "q"
			}
			why, err := s.Explain("z", caches, int(ev.PurgeGroup), "page", ev.Object, ev.Tenant)
			if err != nil {
				t.Fatal(err)
			}
			got := a.request(ev)
			if !slices.Contains(why.Caches, got) {
				t.Fatalf("%s: %s of %s sent to %q, not one of %v", scheme, ev.Object, why.Tenant, got, why.Caches)
			}
			if used[why.Tenant] == nil {
				used[why.Tenant] = map[string]bool{}
			}
			used[why.Tenant][got] = true
		}
		for _, tenant := range []string{"loud", "calm", "quiet"} {
			if len(used[tenant]) < 2 {
				t.Errorf("%s: %s used only %v", scheme, tenant, used[tenant])
			}
		}
	}
}

// What was learnt of a tenant goes with it into a new assignment, whatever its place there.
func TestLearnedTenantStateSurvivesNewAssignment(t *testing.T) {
	m := newTestAdmission(t, twoCells(), cacheNames(4)...)
	m.scope.tenants[0].missRatio.fill[0], m.scope.tenants[2].missRatio.fill[0] = 0.95, 0.1
	next := twoCells()
	next.Version = 2
	next.Tenants = []Tenant{{Name: "quiet", Cell: "one"}, {Name: "new", Cell: "one"}, {Name: "loud", Cell: "two"}}
	next.TenantKeys = []TenantKey{{PurgeGroupRange: []int{0, 9}, Tenant: "loud"}, {Tenant: "new"}}
	m.SetAssignment(3*sec, mustCompile(t, next))
	if m.scope.tenants[0].missRatio.fill[0] != 0.1 || m.scope.tenants[1].missRatio != (missRatio{}) || m.scope.tenants[2].missRatio.fill[0] != 0.95 {
		t.Errorf("%+v", m.scope.tenants)
	}
}

// BenchmarkSetAssignment is a new specification taken in while serving: worked out beside it, and put in force under the module's
// lock, for which requests wait.
func BenchmarkSetAssignment(b *testing.B) {
	for _, size := range []int{10_000, 100_000} {
		spec := manyTenants(size, 64)
		b.Run(fmt.Sprintf("compile/tenants=%d", size), func(b *testing.B) {
			for b.Loop() {
				mustCompile(b, spec)
			}
		})
		b.Run(fmt.Sprintf("force/tenants=%d", size), func(b *testing.B) {
			m := newTestAdmission(b, spec, cacheNames(256)...)
			a := mustCompile(b, spec)
			for b.Loop() {
				m.SetAssignment(2*sec, a)
			}
		})
	}
}
