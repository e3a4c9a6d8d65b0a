package gossip

import (
	"fmt"
	"testing"
)

// BenchmarkHearOfMany is one datagram heard in a tier of so many routers, each of which speaks in turn.
func BenchmarkHearOfMany(b *testing.B) {
	for _, routers := range []int{300, 1_000, 3_000, 11_000} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			t, err := New(Options{FleetSize: routers, Sites: 50, Incarnation: 1})
			if err != nil {
				b.Fatal(err)
			}
			datagrams := make([][]byte, routers)
			for rank := range datagrams {
				datagrams[rank] = word(rank, rank%50, 1, 0, fmt.Sprintf("s-%08x", rank%100))
			}
			quiet := func(string) {}
			for i := 0; b.Loop(); i++ {
				rank := 1 + i%(routers-1)
				n := uint32(i + 1)
				d := datagrams[rank]
				d[10], d[11], d[12], d[13] = byte(n>>24), byte(n>>16), byte(n>>8), byte(n)
				if err := t.Receive(int64(i)*100, rank, d, quiet); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(t.replayWindows)), "routers-known")
		})
	}
}
