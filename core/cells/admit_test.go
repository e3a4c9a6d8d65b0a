package cells

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"

	"spantack/routing"
)

// Uncacheable requests go directly to the origin, so they must also be admitted in a cell without a cache.
func TestUncacheableRequestsNeedNoCache(t *testing.T) {
	client := &testClient{t: t, admission: newTestAdmission(t, twoCells(), "c0"), now: 2 * sec}
	page := client.request(routing.Event{PurgeGroup: 99, Object: "01"})
	report := client.request(routing.Event{PurgeGroup: 99, Class: "report"})
	if page != "" || report != "o" {
		t.Errorf("page sent to %q, want rejected; report sent to %q, want o", page, report)
	}
}

// One tenant floods its cell. Its requests above the cell's share must be rejected. Requests of the other cell must be
// admitted, and so must those of a tenant with low usage in the same cell.
func TestFloodIsLimitedToItsCellsShare(t *testing.T) {
	spec := twoCells()
	spec.Budget.RequestsPerSecond = 400 // 200 for this router, 100 for each cell
	spec.Tenants[2].Cell = "one"        // light shares the cell with heavy
	client := &testClient{t: t, admission: newTestAdmission(t, spec, cacheNames(8)...), now: 2 * sec}
	sent, served := map[string]int{}, map[string]int{}
	for i := range 10_000 { // 10 s: heavy sends 900 requests per second, normal 80, light 20
		client.now += msec
		event, tenant := routing.Event{PurgeGroup: 1, Object: fmt.Sprintf("%04x", i)}, "heavy"
		switch {
		case i%50 == 0:
			event.PurgeGroup, event.Tenant, tenant = 99, "q", "light"
		case i%50 < 5:
			event.PurgeGroup, tenant = 99, "normal"
		}
		sent[tenant]++
		if client.request(event) != "" {
			served[tenant]++
		}
	}
	if served["normal"] < sent["normal"]*98/100 || served["light"] < sent["light"]*90/100 {
		t.Errorf("sent %v, served %v, want at least 98%% of normal and 90%% of light", sent, served)
	}
	if served["heavy"] > 1600 || served["heavy"] < 700 {
		t.Errorf("heavy: %d served of %d, want 700 to 1600: 1000 is its cell's share, 200 are unused",
			served["heavy"], sent["heavy"])
	}
}

// Uncacheable requests have a separate rate limit: a flood of cacheable requests must not cause rejections of them.
func TestUncacheableRequestsHaveSeparateRate(t *testing.T) {
	spec := twoCells()
	spec.Budget.RequestsPerSecond = 100
	spec.Budget.UncacheablePerSecond = 100
	client := &testClient{t: t, admission: newTestAdmission(t, spec, cacheNames(4)...), now: 2 * sec}
	served := 0
	for i := range 4000 {
		client.now += msec
		client.request(routing.Event{PurgeGroup: 1, Object: fmt.Sprintf("%04x", i)})
		if i%100 == 0 && client.request(routing.Event{PurgeGroup: 1, Class: "report"}) != "" {
			served++
		}
	}
	if served != 40 {
		t.Errorf("%d of 40 uncacheable requests served", served)
	}
}

// In a random run, caches are added and removed, assignments change, and requests end with all outcomes. Requests that
// have ended must not count as open. A request must not go to a cache that the assignment in force does not allow. Each
// request must get exactly one response.
func TestRandomEventsLeaveNoOpenRequestsAndUseAllowedCaches(t *testing.T) {
	for seed := range uint64(30) {
		run := newRandomRun(t, seed)
		for i := range 3000 {
			run.now += int64(run.rng.IntN(4000))
			switch run.rng.IntN(40) {
			case 0:
				run.changeAssignment()
			case 1:
				run.changeCache()
			default:
				run.sendRequest(fmt.Sprint(i))
			}
			for len(run.serverOf) > 30 {
				run.endAttempt()
			}
		}
		run.end()
	}
}

// randomRun sends random events to an Admission.
type randomRun struct {
	t         *testing.T
	seed      uint64
	rng       *rand.Rand
	admission *Admission
	now       int64
	specs     []*Spec
	caches    []string
	isListed  map[string]bool   // by cache
	serverOf  map[string]string // server of the current attempt by open request, "" without an attempt
	attempts  map[string]int    // number of attempts by request
}

func newRandomRun(t *testing.T, seed uint64) *randomRun {
	specs := []*Spec{twoCells(), twoCells(), twoCells()}
	specs[1].Version, specs[1].Scheme, specs[1].Width = 2, SchemeNested, 2
	specs[2].Version = 3
	specs[2].Cells = append(specs[2].Cells, Cell{Name: "three", Share: 0.0001})
	specs[2].Cells[0].Share = 0.4
	specs[2].Cells[1].Share = 0.4
	specs[2].Cells[0].FallbackCell = "three"
	specs[2].Budget = Budget{
		RequestsPerSecond:    300,
		FillKBPerSecond:      3000,
		ParentKBPerSecond:    4000,
		OriginKBPerSecond:    3000,
		MaxOpenRequests:      40,
		UncacheablePerSecond: 30,
	}
	caches := cacheNames(9)
	run := &randomRun{
		t:         t,
		seed:      seed,
		rng:       rand.New(rand.NewPCG(seed, 77)),
		admission: newTestAdmission(t, specs[0], caches...),
		now:       sec,
		specs:     specs,
		caches:    caches,
		isListed:  map[string]bool{},
		serverOf:  map[string]string{},
		attempts:  map[string]int{},
	}
	for _, name := range caches {
		run.isListed[name] = true
	}
	return run
}

func (r *randomRun) changeAssignment() {
	r.admission.SetAssignment(r.now, mustCompile(r.t, r.specs[r.rng.IntN(len(r.specs))]))
}

func (r *randomRun) changeCache() {
	name := r.caches[r.rng.IntN(len(r.caches))]
	cache := endpointsWith(name)[3]
	r.isListed[name] = !r.isListed[name]
	if !r.isListed[name] {
		cache.Status = []routing.EndpointStatus{routing.EndpointDraining, routing.EndpointRemoved}[r.rng.IntN(2)]
	}
	r.recordActions(changeEndpoints(r.admission, r.now, cache))
}

func (r *randomRun) sendRequest(id string) {
	event := routing.Event{
		Kind:       routing.EventRequest,
		RequestID:  id,
		Class:      []string{"page", "page", "report"}[r.rng.IntN(3)],
		PurgeGroup: int64(r.rng.IntN(20)),
		Object:     fmt.Sprintf("%04x", r.rng.IntN(300)),
		SizeKB:     float64(r.rng.IntN(100)),
		Timeout:    sec,
	}
	r.serverOf[id] = ""
	state := &r.admission.state
	tenant := state.tenants[r.admission.TenantOf(&event)]
	actions := r.admission.step(r.now, event)
	for _, action := range actions {
		toCache := strings.HasPrefix(action.Server, "s-")
		if action.Kind != routing.ActionSend || event.Class == "report" || !toCache {
			continue
		}
		cell := &state.cells[tenant.cell]
		isAllowed := slices.Contains(cell.caches, action.Server) ||
			cell.fallback >= 0 && slices.Contains(state.cells[cell.fallback].caches, action.Server)
		if !isAllowed {
			r.t.Fatalf("seed %d: request %s of tenant %s sent to %s", r.seed, id, tenant.name, action.Server)
		}
	}
	r.recordActions(actions)
}

// recordActions records actions, and checks that each request has at most one attempt at a time and one response.
func (r *randomRun) recordActions(actions []routing.Action) {
	for _, action := range actions {
		switch action.Kind {
		case routing.ActionSend:
			if r.serverOf[action.RequestID] != "" {
				r.t.Fatalf("seed %d: two concurrent attempts of request %s", r.seed, action.RequestID)
			}
			r.serverOf[action.RequestID] = action.Server
			r.attempts[action.RequestID]++
		case routing.ActionReject, routing.ActionFail:
			if _, isOpen := r.serverOf[action.RequestID]; !isOpen {
				r.t.Fatalf("seed %d: response to request %s, which has ended", r.seed, action.RequestID)
			}
			delete(r.serverOf, action.RequestID)
		}
	}
}

// endAttempt ends the attempt of a random open request with a random outcome, or aborts the request.
func (r *randomRun) endAttempt() {
	open := slices.Sorted(maps.Keys(r.serverOf))
	id := open[r.rng.IntN(len(open))]
	server := r.serverOf[id]
	if r.rng.IntN(8) == 0 {
		delete(r.serverOf, id)
		r.admission.step(r.now, routing.Event{Kind: routing.EventAborted, RequestID: id})
		return
	}
	outcome := []routing.AttemptOutcome{
		routing.OutcomeServed, routing.OutcomeError, routing.OutcomeRejected, routing.OutcomeConnectionReset,
		routing.OutcomeTimedOut,
	}[r.rng.IntN(5)]
	event := routing.Event{
		Kind:         routing.EventOutcome,
		RequestID:    id,
		Attempt:      r.attempts[id] - 1,
		Server:       server,
		Outcome:      outcome,
		CacheStatus:  routing.CacheStatus(r.rng.IntN(11)),
		ResponseTime: 40 * msec,
		IsFinal:      outcome == routing.OutcomeServed,
	}
	r.serverOf[id] = ""
	if outcome == routing.OutcomeServed {
		delete(r.serverOf, id)
	}
	r.recordActions(r.admission.step(r.now, event))
}

// end aborts all open requests and checks that none counts as open any more.
func (r *randomRun) end() {
	for id := range r.serverOf {
		r.admission.step(r.now, routing.Event{Kind: routing.EventAborted, RequestID: id})
	}
	inCells := 0
	for _, cell := range r.admission.state.cells {
		inCells += cell.openRequests
	}
	if len(r.admission.openRequests) != 0 || inCells != 0 {
		r.t.Errorf("seed %d: %d open requests, %d in cells, want 0", r.seed, len(r.admission.openRequests), inCells)
	}
}

// BenchmarkAdmit measures the cost of admission per request, including its outcome and without the engine, and the
// memory per tenant.
func BenchmarkAdmit(b *testing.B) {
	for _, size := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprintf("tenants=%d", size), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			spec := manyTenants(size, 64)
			admission := newTestAdmission(b, spec, cacheNames(256)...)
			runtime.GC()
			runtime.ReadMemStats(&after)
			ids, objects := make([]string, 1024), make([]string, 4096)
			for i := range ids {
				ids[i] = fmt.Sprintf("%016x", i)
			}
			for i := range objects {
				objects[i] = fmt.Sprintf("%05x%011x", i*size/len(objects), i)
			}
			now := 2 * sec
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 100
				event := routing.Event{
					Kind:       routing.EventRequest,
					RequestID:  ids[i%len(ids)],
					Class:      "page",
					Object:     objects[i%len(objects)],
					PurgeGroup: 7,
					SizeKB:     50,
				}
				if reason := admission.admit(now, &event); reason != ReasonNone {
					b.Fatal(reason)
				}
				event.Kind = routing.EventOutcome
				event.Outcome = routing.OutcomeServed
				event.CacheStatus = routing.CacheHit
				event.IsFinal = true
				admission.observeOutcome(now, &event)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "B/tenant")
		})
	}
}
