package cells

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"

	"spantack/routing"
)

// Reports go past the caches to the head office: a cell without a cache has them served all the same.
func TestUncacheableRequestsNeedNoCache(t *testing.T) {
	m := newTestAdmission(t, twoCells(), "c0")
	a := &testClient{t: t, admission: m, now: 2 * sec}
	if page, report := a.request(routing.Event{PurgeGroup: 99, Object: "01"}), a.request(routing.Event{PurgeGroup: 99, Class: "report"}); page != "" || report != "o" {
		t.Errorf("page sent to %q, report to %q", page, report)
	}
}

// A flood that uses a cell's share up is refused; the other cell, and the quiet tenant beside a loud one, are not.
func TestFloodIsLimitedToItsCellsShare(t *testing.T) {
	s := twoCells()
	s.Budget.RequestsPerSecond = 400 // 200 for this router, 100 for each cell
	s.Tenants[2].Cell = "one"        // quiet lives with loud
	m := newTestAdmission(t, s, cacheNames(8)...)
	a := &testClient{t: t, admission: m, now: 2 * sec}
	asked, served := map[string]int{}, map[string]int{}
	for i := range 10_000 { // ten seconds: loud 900 a second, calm 80, quiet 20
		a.now += msec
		ev, who := routing.Event{PurgeGroup: 1, Object: fmt.Sprintf("%04x", i)}, "loud"
		switch {
		case i%50 == 0:
			ev.PurgeGroup, ev.Tenant, who = 99, "q", "quiet"
		case i%50 < 5:
			ev.PurgeGroup, who = 99, "calm"
		}
		asked[who]++
		if a.request(ev) != "" {
			served[who]++
		}
	}
	if served["calm"] < asked["calm"]*98/100 || served["quiet"] < asked["quiet"]*90/100 {
		t.Errorf("asked %v, served %v", asked, served)
	}
	if served["loud"] > 1600 || served["loud"] < 700 {
		t.Errorf("loud: %d served of %d, its cell's share is 1000 and what others leave 200", served["loud"], asked["loud"])
	}
}

// ReasonUncacheableRate have a budget of their own: a flood of pages leaves them alone.
func TestUncacheableRequestsHaveTheirOwnRate(t *testing.T) {
	s := twoCells()
	s.Budget.RequestsPerSecond, s.Budget.UncacheablePerSecond = 100, 100
	m := newTestAdmission(t, s, cacheNames(4)...)
	a := &testClient{t: t, admission: m, now: 2 * sec}
	served := 0
	for i := range 4000 {
		a.now += msec
		a.request(routing.Event{PurgeGroup: 1, Object: fmt.Sprintf("%04x", i)})
		if i%100 == 0 && a.request(routing.Event{PurgeGroup: 1, Class: "report"}) != "" {
			served++
		}
	}
	if served != 40 {
		t.Errorf("%d of 40 reports", served)
	}
}

// Random days: members come and go, specifications change, requests end in every way. Nothing is counted as open that
// is not, no request goes where its specification of the moment does not allow, and each has one answer.
func TestRandomDays(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 77))
		specs := []*Spec{twoCells(), twoCells(), twoCells()}
		specs[1].Version, specs[1].Scheme, specs[1].Width = 2, SchemeNested, 2
		specs[2].Version = 3
		specs[2].Cells = append(specs[2].Cells, Cell{Name: "three", Share: 0.0001})
		specs[2].Cells[0].Share, specs[2].Cells[1].Share, specs[2].Cells[0].FallbackCell = 0.4, 0.4, "three"
		specs[2].Budget = Budget{RequestsPerSecond: 300, FillKBPerSecond: 3000, ParentKBPerSecond: 4000, OriginKBPerSecond: 3000, MaxOpenRequests: 40, UncacheablePerSecond: 30}
		all := cacheNames(9)
		m := newTestAdmission(t, specs[0], all...)
		listed := map[string]bool{}
		for _, name := range all {
			listed[name] = true
		}
		now := sec
		out := map[string]string{}
		number := map[string]int{}
		take := func(acts []routing.Action) {
			for _, a := range acts {
				switch a.Kind {
				case routing.ActionSend:
					if out[a.RequestID] != "" {
						t.Fatalf("seed %d: two attempts of %s", seed, a.RequestID)
					}
					out[a.RequestID] = a.Server
					number[a.RequestID]++
				case routing.ActionReject, routing.ActionFail:
					if _, open := out[a.RequestID]; !open {
						t.Fatalf("seed %d: an answer to %s, which is over", seed, a.RequestID)
					}
					delete(out, a.RequestID)
				}
			}
		}
		for i := range 3000 {
			now += int64(rng.IntN(4000))
			switch rng.IntN(40) {
			case 0:
				m.SetAssignment(now, mustCompile(t, specs[rng.IntN(len(specs))]))
			case 1:
				name := all[rng.IntN(len(all))]
				row := endpointsWith(name)[3]
				if listed[name] = !listed[name]; !listed[name] {
					row.Status = []routing.EndpointStatus{"cordoned", "deregistered"}[rng.IntN(2)]
				}
				take(m.Step(now, []routing.Event{{Kind: routing.EventEndpoints, UpdateMode: "update", Endpoints: []routing.Endpoint{row}}}))
			default:
				call := fmt.Sprint(i)
				ev := routing.Event{Kind: routing.EventRequest, RequestID: call, Class: []string{"page", "page", "report"}[rng.IntN(3)], PurgeGroup: int64(rng.IntN(20)),
					Object: fmt.Sprintf("%04x", rng.IntN(300)), SizeKB: float64(rng.IntN(100)), Timeout: sec}
				out[call] = ""
				who := m.scope.tenants[m.TenantOf(&ev)]
				acts := m.Step(now, []routing.Event{ev})
				for _, a := range acts {
					if a.Kind != routing.ActionSend || ev.Class == "report" || !strings.HasPrefix(a.Server, "s-") {
						continue
					}
					c := &m.scope.cells[who.cell]
					if !slices.Contains(c.caches, a.Server) && (c.fallback < 0 || !slices.Contains(m.scope.cells[c.fallback].caches, a.Server)) {
						t.Fatalf("seed %d: %s of %s sent to %s", seed, call, who.name, a.Server)
					}
				}
				take(acts)
			}
			for len(out) > 30 {
				var calls []string
				for call := range out {
					calls = append(calls, call)
				}
				slices.Sort(calls)
				call := calls[rng.IntN(len(calls))]
				node := out[call]
				if rng.IntN(8) == 0 {
					delete(out, call)
					m.Step(now, []routing.Event{{Kind: routing.EventAborted, RequestID: call}})
					continue
				}
				code := []routing.AttemptOutcome{routing.OutcomeServed, routing.OutcomeError, routing.OutcomeRejected, routing.OutcomeConnectionReset, routing.OutcomeTimedOut}[rng.IntN(5)]
				ev := routing.Event{Kind: routing.EventOutcome, RequestID: call, Attempt: number[call] - 1, Server: node, Outcome: code, CacheStatus: routing.CacheStatus(rng.IntN(11)), ResponseTime: 40 * msec, IsFinal: code == routing.OutcomeServed}
				if out[call] = ""; code == routing.OutcomeServed {
					delete(out, call)
				}
				take(m.Step(now, []routing.Event{ev}))
			}
		}
		for call := range out {
			m.Step(now, []routing.Event{{Kind: routing.EventAborted, RequestID: call}})
		}
		sum := 0
		for _, c := range m.scope.cells {
			sum += c.openRequests
		}
		if len(m.openRequests) != 0 || sum != 0 {
			t.Errorf("seed %d: %d requests and %d places left open", seed, len(m.openRequests), sum)
		}
	}
}

// BenchmarkAdmit is what the gate adds to a request: admission, and the booking of its outcome, without rules.
func BenchmarkAdmit(b *testing.B) {
	for _, size := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprintf("tenants=%d", size), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			spec := manyTenants(size, 64)
			m := newTestAdmission(b, spec, cacheNames(256)...)
			runtime.GC()
			runtime.ReadMemStats(&after)
			calls, objects := make([]string, 1024), make([]string, 4096)
			for i := range calls {
				calls[i] = fmt.Sprintf("%016x", i)
			}
			for i := range objects {
				objects[i] = fmt.Sprintf("%05x%011x", i*size/len(objects), i)
			}
			now := 2 * sec
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 100
				ev := routing.Event{Kind: routing.EventRequest, RequestID: calls[i%len(calls)], Class: "page", Object: objects[i%len(objects)], PurgeGroup: 7, SizeKB: 50}
				if why := m.admit(now, &ev); why != ReasonNone {
					b.Fatal(why)
				}
				ev.Kind, ev.Outcome, ev.CacheStatus, ev.IsFinal = routing.EventOutcome, routing.OutcomeServed, 1, true
				m.observeOutcome(now, &ev)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "B/tenant")
		})
	}
}
