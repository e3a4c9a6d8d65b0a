package cells

import (
	"fmt"
	"runtime"
	"testing"

	"spantack/routing"
)

// manyTenants is a specification with as many tenants as are planned for, or ten times as many.
func manyTenants(tenants, cells int) *Spec {
	s := &Spec{Version: 1, Scheme: SchemeFixed, Budget: Budget{RequestsPerSecond: 1e9, FillKBPerSecond: 1e9, ParentKBPerSecond: 1e9, OriginKBPerSecond: 1e9, UncacheablePerSecond: 1e9, MaxOpenRequests: 1e6}}
	for i := range cells {
		s.Cells = append(s.Cells, Cell{Name: fmt.Sprint("c", i), Share: 1 / float64(cells)})
	}
	for i := range tenants {
		name := fmt.Sprintf("t%06d", i)
		s.Tenants = append(s.Tenants, Tenant{Name: name, Cell: fmt.Sprint("c", i%cells)})
		s.TenantKeys = append(s.TenantKeys, TenantKey{ObjectPrefix: fmt.Sprintf("%05x", i), Tenant: name})
	}
	s.TenantKeys = append(s.TenantKeys, TenantKey{Tenant: "t000000"})
	return s
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

func BenchmarkKeyTable(b *testing.B) {
	for _, size := range []int{100, 10_000, 100_000} {
		spec := manyTenants(size, 64)
		table := newKeyTable(spec.TenantKeys)
		object := fmt.Sprintf("%05x%011x", size/2, 1)
		b.Run(fmt.Sprintf("trie/lines=%d", size), func(b *testing.B) {
			for b.Loop() {
				table.find(7, "page", object, "")
			}
		})
		b.Run(fmt.Sprintf("plain/lines=%d", size), func(b *testing.B) {
			for b.Loop() {
				referenceFind(spec.TenantKeys, 7, "page", object, "")
			}
		})
	}
}

func BenchmarkDivideCaches(b *testing.B) {
	for _, size := range []struct{ cells, caches int }{{8, 38}, {64, 256}} {
		cells, caches := manyTenants(64, size.cells).Cells, cacheNames(size.caches)
		b.Run(fmt.Sprintf("%dx%d", size.cells, size.caches), func(b *testing.B) {
			for b.Loop() {
				divideCaches(cells, caches)
			}
		})
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
