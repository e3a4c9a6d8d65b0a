package rules

import (
	"fmt"
	"testing"
)

// purgeRates are the purges a second at which the cost of one is stated.
var purgeRates = []int64{24, 240, 2400}

// BenchmarkPurge is one purge by a router that has heard of as many a second for longer than it remembers them.
func BenchmarkPurge(b *testing.B) {
	for _, rate := range purgeRates {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			r, err := New(settings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			gap := sec / rate
			objects := make([]string, 4*rate*r.purgeSpan/sec)
			for i := range objects {
				objects[i] = fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15)
			}
			now, events := int64(sec), make([]Event, 1)
			purge := func(i int) {
				now += gap
				events[0] = Event{Kind: Purged, Object: objects[i%len(objects)], Age: int64(i*7919) % (100 * ms)}
				r.Step(now, events)
			}
			for i := range objects {
				purge(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				purge(i)
			}
			b.ReportMetric(float64(len(r.purged)), "entries")
			b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)*float64(rate)*100, "%core")
		})
	}
}
