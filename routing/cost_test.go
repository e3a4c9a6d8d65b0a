package routing

import (
	"fmt"
	"testing"
)

// decisionSizes are the sizes at which the cost of a decision is stated, caches by parents.
var decisionSizes = []struct{ caches, parents int }{{4, 1}, {16, 4}, {64, 16}, {256, 64}}

// BenchmarkDecision is one request, its outcome and the timer that looked after it, on one core.
func BenchmarkDecision(b *testing.B) {
	for i, c := range append(decisionSizes, decisionSizes...) {
		source := WeightsAbsent
		if i >= len(decisionSizes) {
			source = WeightsNominal
		}
		b.Run(fmt.Sprintf("weights=%s/%dx%d", source, c.caches, c.parents), func(b *testing.B) {
			set := testSettings()
			set.WeightSource = source
			r, err := NewEngine(set, 1)
			if err != nil {
				b.Fatal(err)
			}
			now := sec
			list := endpoints(c.caches, c.parents)
			for i := range list {
				list[i].Weight = 1 + float64(i%7)/10
				list[i].Server = fmt.Sprintf("s-%08x", uint32(i+1)*2654435761) // as the platform names them
			}
			r.Step(now, []Event{{Kind: EventEndpoints, UpdateMode: "replace", Endpoints: list}})
			objects := make([]string, 4096)
			calls := make([]string, len(objects))
			for i := range objects {
				objects[i], calls[i] = fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15), fmt.Sprintf("%016x", i)
			}
			events := make([]Event, 1)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 100
				call := calls[i%len(calls)]
				events[0] = Event{Kind: EventRequest, RequestID: call, Class: "small", Object: objects[i%len(objects)], SizeKB: 50, Timeout: 3 * sec}
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
				now += 100
				events[0] = Event{Kind: EventOutcome, RequestID: call, Server: node, Outcome: OutcomeServed, CacheStatus: 1, ResponseTime: 50 * ms, IsFinal: true}
				r.Step(now, events)
				events[0] = Event{Kind: EventTimer, TimerToken: token}
				r.Step(now, events)
			}
		})
	}
}
