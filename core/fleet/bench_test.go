package fleet

import (
	"fmt"
	"runtime"
	"testing"

	"spantack/core/lease"
)

// scaleSizes are the fleet sizes, in routers, for which the benchmarks measure costs.
var scaleSizes = []int{300, 1_000, 3_000, 11_000}

func newBenchNode(b *testing.B, routers int, limits ...Limit) *Node {
	b.Helper()
	n, err := New(second, Options{FleetSize: routers, Sites: 4, Incarnation: 1, Seed: 1, Limits: limits})
	if err != nil {
		b.Fatal(err)
	}
	return n
}

func BenchmarkReceive(b *testing.B) {
	n, err := New(0, Options{
		FleetSize: 300, Sites: 40, Incarnation: 1, Limits: []Limit{{Name: "a", Max: 100, FloorFraction: 0.2}},
	})
	if err != nil {
		b.Fatal(err)
	}
	var datagrams [300][]byte
	m := message{
		kind:        ackMessage,
		holder:      lease.NoRank,
		incarnation: 1,
		updates:     []update{{5, 1, 0, stateAlive}, {6, 1, 0, stateAlive}},
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		m.rank = 1 + i%299
		m.sequence = uint32(i + 1)
		datagrams[m.rank] = m.append(datagrams[m.rank][:0])
		if err := n.Receive(int64(i), m.rank, datagrams[m.rank]); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAcquireRelease(b *testing.B) {
	n, err := New(0, Options{
		FleetSize: 4, Sites: 1, Incarnation: 1, Limits: []Limit{{Name: "a", Max: 100, FloorFraction: 1}},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if !n.TryAcquire(int64(i), 0) {
			b.Fatal("the quota is used up")
		}
		n.Release(0)
	}
}

// BenchmarkTick measures one call of Tick. The metric %core is the share of one CPU core that is used by one call of
// Tick every 50 ms. The metric heap-B/router is the heap of a node divided by the number of routers.
func BenchmarkTick(b *testing.B) {
	for _, routers := range scaleSizes {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			n := newBenchNode(b, routers)
			runtime.GC()
			runtime.ReadMemStats(&after)
			now := second
			b.ResetTimer()
			for b.Loop() {
				now += tickInterval
				n.Tick(now)
			}
			b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)*1e6/tickInterval*100, "%core")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(routers), "heap-B/router")
		})
	}
}

// BenchmarkHandleRequest measures one request to the holder of a limit when all routers have demand and a lease. The
// metric %core is the share of one CPU core that the holder uses if each router sends one request every 450 ms.
func BenchmarkHandleRequest(b *testing.B) {
	for _, routers := range scaleSizes {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			n := newBenchNode(b, routers, Limit{Name: "fills", Max: float64(4 * routers), FloorFraction: 0.25})
			now := second + 10*second
			n.Tick(now)
			m := message{kind: leaseRequestMessage, amount: 1e5, candidateIncarnation: 1}
			interval := int64(450_000 / routers) // each router sends one request in 450 ms, the mean renew interval
			step := func(i int) {
				now += interval
				m.rank = 1 + i%(routers-1)
				m.sequence = uint32(i + 1)
				m.timestamp = n.limits[0].timestamp(now)
				n.limits[0].handleRequest(now, &m)
			}
			for i := range 4 * routers {
				step(i)
			}
			granted := n.Counts.LeasesGranted
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				step(i)
			}
			if n.Counts.LeasesGranted == granted {
				b.Fatal("no lease was granted")
			}
			b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)*float64(routers)/0.45*100, "%core")
		})
	}
}
