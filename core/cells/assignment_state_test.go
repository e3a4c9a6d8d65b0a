package cells

import (
	"fmt"
	"slices"
	"testing"

	"spantack/routing"
)

// With fewer caches than cells, the cell with the larger share must get the cache. Requests of the other cell must be
// rejected, or go to its fallback cell if it has one.
func TestScarceCachesGoToLargestCells(t *testing.T) {
	spec := twoCells()
	spec.Cells[0].Share = 0.6
	spec.Cells[1].Share = 0.4
	admission := newTestAdmission(t, spec, "c0")
	client := &testClient{t: t, admission: admission, now: 2 * sec}
	if got := client.request(routing.Event{PurgeGroup: 1, Object: "01"}); got != "c0" {
		t.Errorf("request of the cell with the larger share sent to %q, want c0", got)
	}
	if got := client.request(routing.Event{PurgeGroup: 99, Object: "01"}); got != "" {
		t.Errorf("request of a cell without caches sent to %q, want rejected", got)
	}
	spec.Version = 2
	spec.Cells[1].FallbackCell = "one"
	admission.SetAssignment(2*sec, mustCompile(t, spec))
	if got := client.request(routing.Event{PurgeGroup: 99, Object: "01"}); got != "c0" {
		t.Errorf("request of a cell with a fallback cell sent to %q, want c0", got)
	}
	if admission.Stats.FellBack != 1 || admission.Stats.Rejected[ReasonNoHealthyCache] != 1 {
		t.Errorf("want 1 fallback and 1 rejection: %+v", admission.Stats)
	}
}

// requestBoth sends a request of each of the two cells, and returns their servers.
func (c *testClient) requestBoth(object string) (one, two string) {
	one = c.request(routing.Event{PurgeGroup: 1, Object: object})
	two = c.request(routing.Event{PurgeGroup: 99, Object: object})
	return one, two
}

// The only cache of a cell drains. The cell's requests must be rejected, not sent to the cache of the other cell. No
// cache may serve both cells after the draining cache is removed from the endpoint list, and after another cache is
// added.
func TestCellWithoutCacheUsesNoOtherCell(t *testing.T) {
	admission := newTestAdmission(t, twoCells(), "c0", "c1")
	client := &testClient{t: t, admission: admission, now: 2 * sec}
	cache := endpointsWith(client.request(routing.Event{PurgeGroup: 1, Object: "01"}))[3]
	cache.Status = routing.EndpointDraining
	changeEndpoints(admission, client.now, cache)
	for range 20 {
		if got := client.request(routing.Event{PurgeGroup: 1, Object: fmt.Sprint(client.sent)}); got != "" {
			t.Fatalf("cache %s: request sent to %s, want rejected", cache.Status, got)
		}
	}
	cache.Status = routing.EndpointRemoved
	changeEndpoints(admission, client.now, cache)
	// With one cache for two cells with equal shares, the first cell gets it.
	if one, two := client.requestBoth("1"); one == "" || two != "" {
		t.Errorf("one cache: requests of the cells sent to %q and %q, want the second rejected", one, two)
	}
	changeEndpoints(admission, client.now, endpointsWith("c7")[3:]...)
	if one, two := client.requestBoth("2"); one == "" || two == "" || one == two {
		t.Errorf("two caches: requests of the cells sent to %q and %q, want two different caches", one, two)
	}
}

// While the only cache of a cell drains, the cell's requests must go to its fallback cell.
func TestFallbackWhileOnlyCacheDrains(t *testing.T) {
	spec := twoCells()
	spec.Cells[0].FallbackCell = "two"
	admission := newTestAdmission(t, spec, "c0", "c1")
	client := &testClient{t: t, admission: admission, now: 2 * sec}
	draining := client.request(routing.Event{PurgeGroup: 1, Object: "01"})
	cache := endpointsWith(draining)[3]
	cache.Status = routing.EndpointDraining
	changeEndpoints(admission, client.now, cache)
	if got := client.request(routing.Event{PurgeGroup: 1, Object: "01"}); got == "" || got == draining {
		t.Errorf("request sent to %q while the only cache drains, want the cache of the fallback cell", got)
	}
}

// While routers have different versions of the assignment, each must send a tenant's requests only to the tenant's cell
// in its own version.
func TestRouterUsesCellsOfItsOwnVersion(t *testing.T) {
	caches := cacheNames(9)
	next := twoCells()
	next.Version = 2
	next.Tenants[0].Cell = "two"
	next.Tenants[1].Cell = "one"
	for i, spec := range []*Spec{twoCells(), next} {
		client := &testClient{t: t, admission: newTestAdmission(t, spec, caches...), now: 2 * sec}
		allowed := spec.CachesByCell(caches)[i]
		for object := range 100 {
			got := client.request(routing.Event{PurgeGroup: 1, Object: fmt.Sprint(object)})
			if !slices.Contains(allowed, got) {
				t.Fatalf("version %d: request sent to %s", spec.Version, got)
			}
		}
	}
}

// With each scheme, requests must go only to the caches that Explain returns, and use at least two of them.
func TestRequestsStayInTheirTenantsCaches(t *testing.T) {
	caches := cacheNames(12)
	for _, scheme := range []Scheme{SchemeFixed, SchemeShuffle, SchemeNested, SchemeOverflow} {
		spec := twoCells()
		spec.Scheme = scheme
		switch scheme {
		case SchemeShuffle, SchemeNested:
			spec.Width = 2
		case SchemeOverflow:
			spec.Cells = append(spec.Cells, Cell{Name: "spare", Share: 0.25})
			spec.Cells[0].Share = 0.375
			spec.Cells[1].Share = 0.375
			spec.OverflowCell = "spare"
		}
		client := &testClient{t: t, admission: newTestAdmission(t, spec, caches...), now: 2 * sec}
		used := map[string]map[string]bool{"heavy": {}, "normal": {}, "light": {}}
		for i := range 600 {
			client.now += 10 * msec
			event := routing.Event{PurgeGroup: int64(i % 20), Object: fmt.Sprintf("%02x", i)}
			if i%3 == 0 {
				event.Tenant = "q"
			}
			expected, err := spec.Explain("z", caches, int(event.PurgeGroup), "page", event.Object, event.Tenant)
			if err != nil {
				t.Fatal(err)
			}
			got := client.request(event)
			if !slices.Contains(expected.Caches, got) {
				t.Fatalf("%s: request for %s of tenant %s sent to %q, not one of %v",
					scheme, event.Object, expected.Tenant, got, expected.Caches)
			}
			used[expected.Tenant][got] = true
		}
		for tenant, caches := range used {
			if len(caches) < 2 {
				t.Errorf("%s: tenant %s used only %v", scheme, tenant, caches)
			}
		}
	}
}

// The estimates for a tenant must be kept if the tenant has another index in a new assignment.
func TestLearnedTenantStateSurvivesNewAssignment(t *testing.T) {
	admission := newTestAdmission(t, twoCells(), cacheNames(4)...)
	admission.state.tenants[0].missRatio.fill[0] = 0.95
	admission.state.tenants[2].missRatio.fill[0] = 0.1
	next := twoCells()
	next.Version = 2
	next.Tenants = []Tenant{{Name: "light", Cell: "one"}, {Name: "new", Cell: "one"}, {Name: "heavy", Cell: "two"}}
	next.TenantKeys = []TenantKey{{PurgeGroupRange: []int{0, 9}, Tenant: "heavy"}, {Tenant: "new"}}
	admission.SetAssignment(3*sec, mustCompile(t, next))
	light, added, heavy := admission.state.tenants[0], admission.state.tenants[1], admission.state.tenants[2]
	if light.missRatio.fill[0] != 0.1 || added.missRatio != (missRatio{}) || heavy.missRatio.fill[0] != 0.95 {
		t.Errorf("miss ratios of light, new, heavy: %+v", admission.state.tenants)
	}
}

// BenchmarkSetAssignment measures the two steps of applying a specification while serving: Compile runs in the
// background, SetAssignment runs under the router's lock while requests wait.
func BenchmarkSetAssignment(b *testing.B) {
	for _, size := range []int{10_000, 100_000} {
		spec := manyTenants(size, 64)
		b.Run(fmt.Sprintf("compile/tenants=%d", size), func(b *testing.B) {
			for b.Loop() {
				mustCompile(b, spec)
			}
		})
		b.Run(fmt.Sprintf("set/tenants=%d", size), func(b *testing.B) {
			admission := newTestAdmission(b, spec, cacheNames(256)...)
			assignment := mustCompile(b, spec)
			for b.Loop() {
				admission.SetAssignment(2*sec, assignment)
			}
		})
	}
}
