package backoff

import (
	"fmt"
	"testing"
)

// BenchmarkNext is the time of one try; tries/s is what a service that is away gets of so many routers.
func BenchmarkNext(b *testing.B) {
	for _, routers := range []int{300, 1_000, 3_000, 11_000} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			t := Schedule{Rank: routers / 2, FleetSize: routers}
			now := int64(0)
			for b.Loop() {
				now = t.Next(0, now, true)
			}
			b.ReportMetric(float64(routers)/float64(t.Period())*1e6, "tries/s")
		})
	}
}
