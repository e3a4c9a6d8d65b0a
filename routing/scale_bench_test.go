package routing

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
			r, err := NewEngine(testSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			gap := sec / rate
			objects := make([]string, 4*rate*r.purgeRetention/sec)
			for i := range objects {
				objects[i] = fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15)
			}
			now, events := int64(sec), make([]Event, 1)
			purge := func(i int) {
				now += gap
				events[0] = Event{Kind: EventPurge, Object: objects[i%len(objects)], PurgeAge: int64(i*7919) % (100 * ms)}
				r.Step(now, events)
			}
			for i := range objects {
				purge(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				purge(i)
			}
			b.ReportMetric(float64(len(r.purgedAt)), "entries")
			b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)*float64(rate)*100, "%core")
		})
	}
}

// BenchmarkDecisionOfMany is one request and its good answer, with so many caches in the zone: those of fleets of 300
// to 11,000 routers.
func BenchmarkDecisionOfMany(b *testing.B) {
	const perSecond = 718 // requests of one router at the peak
	for _, caches := range []int{46, 155, 464, 1700} {
		b.Run(fmt.Sprintf("caches=%d", caches), func(b *testing.B) {
			r, err := NewEngine(testSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			now := int64(sec)
			r.Step(now, []Event{{Kind: EventEndpoints, UpdateMode: "replace", Endpoints: endpoints(caches, max(caches/18, 1))}})
			objects := make([]string, 4096)
			for i := range objects {
				objects[i] = fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15)
			}
			events := make([]Event, 1)
			for i := 0; b.Loop(); i++ {
				now += sec / perSecond
				object := objects[i%len(objects)]
				events[0] = Event{Kind: EventRequest, RequestID: object, Class: "small", Object: object, SizeKB: 50, Timeout: 3 * sec}
				node, token := "", int64(0)
				for _, a := range r.Step(now, events) {
					switch a.Kind {
					case ActionSend:
						node = a.Server
					case ActionSetTimer:
						token = a.TimerToken
					}
				}
				if node == "" {
					b.Fatal("no attempt")
				}
				events[0] = Event{Kind: EventOutcome, RequestID: object, Server: node, Outcome: OutcomeServed, CacheStatus: 1, ResponseTime: 50 * ms, IsFinal: true}
				r.Step(now, events)
				events[0] = Event{Kind: EventTimer, TimerToken: token}
				r.Step(now, events)
			}
			b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)*perSecond*100, "%core")
		})
	}
}
