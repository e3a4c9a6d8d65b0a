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

// Reports go past the edge caches to the origin: a cell without a cache has them served all the same.
func TestUncacheableRequestsNeedNoCache(t *testing.T) {
	client := &testClient{t: t, admission: newTestAdmission(t, twoCells(), "c0"), now: 2 * sec}
	page := client.request(routing.Event{PurgeGroup: 99, Object: "01"})
	report := client.request(routing.Event{PurgeGroup: 99, Class: "report"})
	if page != "" || report != "o" {
		t.Errorf("page sent to %q, report to %q", page, report)
	}
}

// A flood that uses a cell's share up is rejected; the other cell, and the quiet tenant beside a loud one, are not.
func TestFloodIsLimitedToItsCellsShare(t *testing.T) {
	spec := twoCells()
	spec.Budget.RequestsPerSecond = 400 // 200 for this router, 100 for each cell
	spec.Tenants[2].Cell = "one"        // quiet lives with loud
	client := &testClient{t: t, admission: newTestAdmission(t, spec, cacheNames(8)...), now: 2 * sec}
	sent, served := map[string]int{}, map[string]int{}
	for i := range 10_000 { // ten seconds: loud 900 a second, calm 80, quiet 20
		client.now += msec
		event, tenant := routing.Event{PurgeGroup: 1, Object: fmt.Sprintf("%04x", i)}, "loud"
		switch {
		case i%50 == 0:
			event.PurgeGroup, event.Tenant, tenant = 99, "q", "quiet"
		case i%50 < 5:
			event.PurgeGroup, tenant = 99, "calm"
		}
		sent[tenant]++
		if client.request(event) != "" {
			served[tenant]++
		}
	}
	if served["calm"] < sent["calm"]*98/100 || served["quiet"] < sent["quiet"]*90/100 {
		t.Errorf("sent %v, served %v", sent, served)
	}
	if served["loud"] > 1600 || served["loud"] < 700 {
		t.Errorf("loud: %d served of %d, its cell's share is 1000 and what others leave 200", served["loud"], sent["loud"])
	}
}

// Uncacheable requests have a rate of their own: a flood of pages leaves them alone.
func TestUncacheableRequestsHaveTheirOwnRate(t *testing.T) {
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
		t.Errorf("%d of 40 reports", served)
	}
}

// Random days: caches come and go, assignments change, requests end in every way. Nothing is counted as open that is
// not, no request goes where its assignment of the moment does not allow, and each has one answer.
func TestRandomDays(t *testing.T) {
	for seed := range uint64(30) {
		day := newRandomDay(t, seed)
		for i := range 3000 {
			day.now += int64(day.rng.IntN(4000))
			switch day.rng.IntN(40) {
			case 0:
				day.changeAssignment()
			case 1:
				day.changeCache()
			default:
				day.sendRequest(fmt.Sprint(i))
			}
			for len(day.serverOf) > 30 {
				day.endAttempt()
			}
		}
		day.end()
	}
}

// randomDay plays events on an Admission.
type randomDay struct {
	t         *testing.T
	seed      uint64
	rng       *rand.Rand
	admission *Admission
	now       int64
	specs     []*Spec
	caches    []string
	isListed  map[string]bool   // by cache
	serverOf  map[string]string // by open request: where its attempt is, "" without one
	attempts  map[string]int    // by request
}

func newRandomDay(t *testing.T, seed uint64) *randomDay {
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
	day := &randomDay{
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
		day.isListed[name] = true
	}
	return day
}

func (d *randomDay) changeAssignment() {
	d.admission.SetAssignment(d.now, mustCompile(d.t, d.specs[d.rng.IntN(len(d.specs))]))
}

func (d *randomDay) changeCache() {
	name := d.caches[d.rng.IntN(len(d.caches))]
	cache := endpointsWith(name)[3]
	d.isListed[name] = !d.isListed[name]
	if !d.isListed[name] {
		cache.Status = []routing.EndpointStatus{routing.EndpointDraining, routing.EndpointRemoved}[d.rng.IntN(2)]
	}
	d.take(changeEndpoints(d.admission, d.now, cache))
}

func (d *randomDay) sendRequest(id string) {
	event := routing.Event{
		Kind:       routing.EventRequest,
		RequestID:  id,
		Class:      []string{"page", "page", "report"}[d.rng.IntN(3)],
		PurgeGroup: int64(d.rng.IntN(20)),
		Object:     fmt.Sprintf("%04x", d.rng.IntN(300)),
		SizeKB:     float64(d.rng.IntN(100)),
		Timeout:    sec,
	}
	d.serverOf[id] = ""
	scope := &d.admission.scope
	tenant := scope.tenants[d.admission.TenantOf(&event)]
	actions := d.admission.step(d.now, event)
	for _, action := range actions {
		toCache := strings.HasPrefix(action.Server, "s-")
		if action.Kind != routing.ActionSend || event.Class == "report" || !toCache {
			continue
		}
		cell := &scope.cells[tenant.cell]
		isAllowed := slices.Contains(cell.caches, action.Server) ||
			cell.fallback >= 0 && slices.Contains(scope.cells[cell.fallback].caches, action.Server)
		if !isAllowed {
			d.t.Fatalf("seed %d: %s of %s sent to %s", d.seed, id, tenant.name, action.Server)
		}
	}
	d.take(actions)
}

// take checks that each request has one attempt at a time, and one answer.
func (d *randomDay) take(actions []routing.Action) {
	for _, action := range actions {
		switch action.Kind {
		case routing.ActionSend:
			if d.serverOf[action.RequestID] != "" {
				d.t.Fatalf("seed %d: two attempts of %s", d.seed, action.RequestID)
			}
			d.serverOf[action.RequestID] = action.Server
			d.attempts[action.RequestID]++
		case routing.ActionReject, routing.ActionFail:
			if _, isOpen := d.serverOf[action.RequestID]; !isOpen {
				d.t.Fatalf("seed %d: an answer to %s, which is over", d.seed, action.RequestID)
			}
			delete(d.serverOf, action.RequestID)
		}
	}
}

// endAttempt ends an attempt of a random request, or aborts the request.
func (d *randomDay) endAttempt() {
	open := slices.Sorted(maps.Keys(d.serverOf))
	id := open[d.rng.IntN(len(open))]
	server := d.serverOf[id]
	if d.rng.IntN(8) == 0 {
		delete(d.serverOf, id)
		d.admission.step(d.now, routing.Event{Kind: routing.EventAborted, RequestID: id})
		return
	}
	outcome := []routing.AttemptOutcome{
		routing.OutcomeServed, routing.OutcomeError, routing.OutcomeRejected, routing.OutcomeConnectionReset,
		routing.OutcomeTimedOut,
	}[d.rng.IntN(5)]
	event := routing.Event{
		Kind:         routing.EventOutcome,
		RequestID:    id,
		Attempt:      d.attempts[id] - 1,
		Server:       server,
		Outcome:      outcome,
		CacheStatus:  routing.CacheStatus(d.rng.IntN(11)),
		ResponseTime: 40 * msec,
		IsFinal:      outcome == routing.OutcomeServed,
	}
	d.serverOf[id] = ""
	if outcome == routing.OutcomeServed {
		delete(d.serverOf, id)
	}
	d.take(d.admission.step(d.now, event))
}

// end aborts what is open and checks that nothing is left.
func (d *randomDay) end() {
	for id := range d.serverOf {
		d.admission.step(d.now, routing.Event{Kind: routing.EventAborted, RequestID: id})
	}
	inCells := 0
	for _, cell := range d.admission.scope.cells {
		inCells += cell.openRequests
	}
	if len(d.admission.openRequests) != 0 || inCells != 0 {
		d.t.Errorf("seed %d: %d requests and %d places left open", d.seed, len(d.admission.openRequests), inCells)
	}
}

// BenchmarkAdmit is what admission adds to a request, with the count of its outcome and without the engine.
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
