package cells

import (
	"fmt"
	"testing"

	"spantack/internal/testseed"
	"spantack/routing"
)

func TestMain(m *testing.M) { testseed.Main(m) }

const (
	msec = int64(1000)
	sec  = 1000 * msec
)

// twoCells returns a specification with the tenant "heavy" alone in cell "one", and "normal" and "light" in cell "two".
func twoCells() *Spec {
	return &Spec{
		Version: 1,
		Scheme:  SchemeFixed,
		Cells:   []Cell{{Name: "one", Share: 0.5}, {Name: "two", Share: 0.5}},
		Tenants: []Tenant{{Name: "heavy", Cell: "one"}, {Name: "normal", Cell: "two"}, {Name: "light", Cell: "two"}},
		TenantKeys: []TenantKey{
			{PurgeGroupRange: []int{0, 9}, Tenant: "heavy"},
			{ObjectPrefix: "aa", Tenant: "normal"},
			{DeclaredTenant: "q", Tenant: "light"},
			{Tenant: "normal"},
		},
	}
}

// manyTenants returns a specification with the given number of tenants, with one key each, spread evenly over cells.
func manyTenants(tenants, cells int) *Spec {
	spec := &Spec{Version: 1, Scheme: SchemeFixed, Budget: Budget{
		RequestsPerSecond:    1e9,
		FillKBPerSecond:      1e9,
		ParentKBPerSecond:    1e9,
		OriginKBPerSecond:    1e9,
		UncacheablePerSecond: 1e9,
		MaxOpenRequests:      1e6,
	}}
	for i := range cells {
		spec.Cells = append(spec.Cells, Cell{Name: fmt.Sprint("c", i), Share: 1 / float64(cells)})
	}
	for i := range tenants {
		name := fmt.Sprintf("t%06d", i)
		spec.Tenants = append(spec.Tenants, Tenant{Name: name, Cell: fmt.Sprint("c", i%cells)})
		spec.TenantKeys = append(spec.TenantKeys, TenantKey{ObjectPrefix: fmt.Sprintf("%05x", i), Tenant: name})
	}
	spec.TenantKeys = append(spec.TenantKeys, TenantKey{Tenant: "t000000"})
	return spec
}

// testSettings returns the settings of one of two routers at site z. Class "page" is cacheable, "report" is not.
func testSettings() routing.Settings {
	return routing.Settings{
		Classes: []routing.Class{
			{
				Name:                "page",
				ObjectiveSizeFactor: 2,
				Deadline:            3 * sec,
				LatencyObjective:    300 * msec,
				PriorityWeight:      1,
				DeduplicationScope:  "all",
				Idempotency:         "read_like",
			},
			{
				Name:                "report",
				Deadline:            3 * sec,
				LatencyObjective:    600 * msec,
				PriorityWeight:      3,
				DeduplicationScope:  "all",
				Idempotency:         "idempotency_key",
				DeduplicationWindow: 6 * sec,
			},
		},
		Discovery: "automatic",
		Hierarchy: routing.CacheHierarchy{
			FreshnessLifetime:      []int64{0, 0},
			StaleGracePeriod:       []int64{0, 0},
			OriginKind:             2,
			ParentKind:             1,
			CacheStatusReporting:   "all",
			ResponseKBPerSecond:    1000,
			Uncacheable:            []bool{false, true},
			RoutersByZone:          []int{0, 2},
			AllowsDirectFetch:      true,
			ParentInitialCapacity:  0.1,
			ParentWarmUpTime:       20 * sec,
			ParentOverloadMultiple: 2,
		},
		Guarantees: routing.Guarantees{
			WarmUpTime:       10 * sec,
			InitialCapacity:  0.3,
			OverloadWindow:   3 * sec,
			DrainGracePeriod: 500 * msec,
			OverloadMultiple: 3,
		},
		Kinds:        []string{"box", "area", "origin"},
		Permissions:  routing.Permissions{MayCancel: true, MaxAttempts: 6, MaxRetryAfter: sec, SendsRetryAfter: true},
		FleetSize:    2,
		WeightSource: "nominal",
		Zone:         "z",
		Zones:        []string{"hub", "z"},
	}
}

// endpointsWith returns an endpoint list of the origin, two parents and the given caches of site z, in this order.
func endpointsWith(caches ...string) []routing.Endpoint {
	list := []routing.Endpoint{
		{Server: "o", Zone: "hub", Kind: "origin", Status: "healthy", Weight: 100},
		{Server: "p0", Zone: "hub", Kind: "area", Status: "healthy", Weight: 50},
		{Server: "p1", Zone: "hub", Kind: "area", Status: "healthy", Weight: 50},
	}
	for _, name := range caches {
		list = append(list, routing.Endpoint{Server: name, Zone: "z", Kind: "box", Status: "healthy", Weight: 10})
	}
	return list
}

// cacheNames returns n names of caches.
func cacheNames(n int) (list []string) {
	for i := range n {
		list = append(list, fmt.Sprintf("s-%08x", uint32(i+1)*2654435761))
	}
	return list
}

func mustCompile(t testing.TB, spec *Spec) *Assignment {
	t.Helper()
	assignment, err := Compile(spec)
	if err != nil {
		t.Fatal(err)
	}
	return assignment
}

// newTestAdmission returns an Admission with an assignment and the given caches.
func newTestAdmission(t testing.TB, spec *Spec, caches ...string) *Admission {
	t.Helper()
	admission, err := NewAdmission(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	admission.SetAssignment(sec, mustCompile(t, spec))
	replaceEndpoints(admission, sec, endpointsWith(caches...))
	return admission
}

// step is Step for one event.
func (a *Admission) step(now int64, event routing.Event) []routing.Action {
	return a.Step(now, []routing.Event{event})
}

// replaceEndpoints sends an Admission a complete endpoint list.
func replaceEndpoints(a *Admission, now int64, endpoints []routing.Endpoint) []routing.Action {
	return a.step(now, routing.Event{Kind: routing.EventEndpoints, UpdateMode: "replace", Endpoints: endpoints})
}

// changeEndpoints sends an Admission changed entries of the endpoint list.
func changeEndpoints(a *Admission, now int64, endpoints ...routing.Endpoint) []routing.Action {
	return a.step(now, routing.Event{Kind: routing.EventEndpoints, UpdateMode: "update", Endpoints: endpoints})
}

// testClient sends requests and ends each one at once with a cache hit.
type testClient struct {
	t         testing.TB
	admission *Admission
	sent      int
	now       int64
}

// request sends a request. It returns the server of the first attempt, "" if the request was rejected, or "fail" if it
// failed.
func (c *testClient) request(event routing.Event) string {
	c.sent++
	event.Kind = routing.EventRequest
	event.RequestID = fmt.Sprint("r", c.sent)
	event.Timeout = 3 * sec
	if event.Class == "" {
		event.Class = "page"
	}
	for _, action := range c.admission.step(c.now, event) {
		switch action.Kind {
		case routing.ActionSend:
			c.admission.step(c.now, routing.Event{
				Kind:         routing.EventOutcome,
				RequestID:    event.RequestID,
				Server:       action.Server,
				Outcome:      routing.OutcomeServed,
				CacheStatus:  routing.CacheHit,
				ResponseTime: 10 * msec,
				IsFinal:      true,
			})
			return action.Server
		case routing.ActionReject:
			if action.RetryAfter <= 0 || action.RetryAfter > sec {
				c.t.Fatalf("rejected with Retry-After of %d us, want above 0 and at most 1 s", action.RetryAfter)
			}
			return ""
		case routing.ActionFail:
			return "fail"
		}
	}
	c.t.Fatal("request was neither sent, rejected nor failed")
	return ""
}

// panickingT is passed to helpers inside a property-based test. It panics on Fatal, because a failure of these helpers
// is a bug in the test.
type panickingT struct{ testing.TB }

func (panickingT) Helper() {}

func (panickingT) Fatal(args ...any) { panic(fmt.Sprint(args...)) }
