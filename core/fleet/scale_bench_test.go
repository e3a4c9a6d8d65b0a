package fleet

import (
	"fmt"
	"runtime"
	"testing"
)

// scaleSizes are the numbers of routers at which costs are stated.
var scaleSizes = []int{300, 1_000, 3_000, 11_000}

// scaleNode is one of so many routers, all of which were heard.
func scaleNode(b *testing.B, routers int, limits ...Limit) *Node {
	b.Helper()
	n, err := New(second, Options{Rank: 0, FleetSize: routers, Sites: 4, Incarnation: 1, Seed: 1, Limits: limits})
	if err != nil {
		b.Fatal(err)
	}
	return n
}

// BenchmarkTick is one call of Tick, made every 50 ms; heap-B/router is what a node holds for each other router.
func BenchmarkTick(b *testing.B) {
	for _, routers := range scaleSizes {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			n := scaleNode(b, routers)
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

// BenchmarkAsk is one ask that comes to the holder of a limit that all routers want, with leases out to all of them.
func BenchmarkAsk(b *testing.B) {
	for _, routers := range scaleSizes {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			n := scaleNode(b, routers, Limit{Name: "fills", Max: float64(4 * routers), FloorFraction: 0.25})
			now := second + 10*second
			n.Tick(now)
			m := message{kind: leaseRequestMessage, amount: 1e5, candidateIncarnation: 1}
			gap := int64(450_000 / routers) // as many come in one renewInterval
			step := func(i int) {
				now += gap
				m.rank, m.sequence, m.stamp = 1+i%(routers-1), uint32(i+1), n.limits[0].stamp(now)
				n.limits[0].handleRequest(now, &m)
			}
			for i := range 4 * routers {
				step(i)
			}
			lent := n.Counts.LeasesGranted
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				step(i)
			}
			if n.Counts.LeasesGranted == lent {
				b.Fatal("nothing is lent")
			}
			b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)*float64(routers)/0.45*100, "%core")
		})
	}
}
