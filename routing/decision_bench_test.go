package routing

import (
	"fmt"
	"testing"
)

// decisionSizes are the deployment sizes of BenchmarkDecision.
var decisionSizes = []struct{ caches, parents int }{{4, 1}, {16, 4}, {64, 16}, {256, 64}}

// benchObjects returns count different object names.
func benchObjects(count int64) []string {
	objects := make([]string, count)
	for i := range objects {
		objects[i] = fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15)
	}
	return objects
}

// decide passes one request to the engine and, after wait, its successful outcome and the timer of its first check.
func decide(b *testing.B, engine *Engine, events []Event, now, wait int64, id, object string) {
	events[0] = Event{
		Kind:      EventRequest,
		RequestID: id,
		Class:     "small",
		Object:    object,
		SizeKB:    50,
		Timeout:   3 * sec,
	}
	server, token := "", int64(0)
	for _, action := range engine.Step(now, events) {
		switch action.Kind {
		case ActionSend:
			server = action.Server
		case ActionSetTimer:
			token = action.TimerToken
		}
	}
	if server == "" {
		b.Fatal("request resulted in no attempt")
	}
	events[0] = Event{
		Kind:         EventOutcome,
		RequestID:    id,
		Server:       server,
		Outcome:      OutcomeServed,
		CacheStatus:  CacheHit,
		ResponseTime: 50 * ms,
		IsFinal:      true,
	}
	engine.Step(now+wait, events)
	events[0] = Event{Kind: EventTimer, TimerToken: token}
	engine.Step(now+wait, events)
}

// BenchmarkDecision measures one request, its outcome and the timer of its first check, on one core.
func BenchmarkDecision(b *testing.B) {
	for i, size := range append(decisionSizes, decisionSizes...) {
		source := WeightsAbsent
		if i >= len(decisionSizes) {
			source = WeightsNominal
		}
		b.Run(fmt.Sprintf("weights=%s/%dx%d", source, size.caches, size.parents), func(b *testing.B) {
			settings := testSettings()
			settings.WeightSource = source
			engine, err := NewEngine(settings, 1)
			if err != nil {
				b.Fatal(err)
			}
			now := sec
			list := endpoints(size.caches, size.parents)
			for i := range list {
				list[i].Weight = 1 + float64(i%7)/10
				list[i].Server = fmt.Sprintf("s-%08x", uint32(i+1)*2654435761) // like the names of real servers
			}
			engine.Step(now, []Event{{Kind: EventEndpoints, UpdateMode: UpdateReplace, Endpoints: list}})
			objects := benchObjects(4096)
			ids := make([]string, len(objects))
			for i := range ids {
				ids[i] = fmt.Sprintf("%016x", i)
			}
			events := make([]Event, 1)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 200
				decide(b, engine, events, now-100, 100, ids[i%len(ids)], objects[i%len(objects)])
			}
		})
	}
}

// purgeRates are the rates of BenchmarkPurge, in purges per second.
var purgeRates = []int64{24, 240, 2400}

// BenchmarkPurge measures one purge at a router that has received purges at the given rate for longer than their
// retention.
func BenchmarkPurge(b *testing.B) {
	for _, rate := range purgeRates {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			engine, err := NewEngine(testSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			gap := sec / rate
			objects := benchObjects(4 * rate * engine.purgeRetention / sec)
			now, events := int64(sec), make([]Event, 1)
			purge := func(i int) {
				now += gap
				events[0] = Event{
					Kind:     EventPurge,
					Object:   objects[i%len(objects)],
					PurgeAge: int64(i*7919) % (100 * ms),
				}
				engine.Step(now, events)
			}
			for i := range objects {
				purge(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				purge(i)
			}
			b.ReportMetric(float64(len(engine.purgedAt)), "entries")
			b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)*float64(rate)*100, "%core")
		})
	}
}

// BenchmarkDecisionWithManyCaches measures one request and its successful outcome with many caches in the zone, as in
// fleets of 300 to 11,000 routers.
func BenchmarkDecisionWithManyCaches(b *testing.B) {
	const perSecond = 718 // assumed requests per second of one router; %core is the load at this rate
	for _, caches := range []int{46, 155, 464, 1700} {
		b.Run(fmt.Sprintf("caches=%d", caches), func(b *testing.B) {
			engine, err := NewEngine(testSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			now := int64(sec)
			list := endpoints(caches, max(caches/18, 1))
			engine.Step(now, []Event{{Kind: EventEndpoints, UpdateMode: UpdateReplace, Endpoints: list}})
			objects := benchObjects(4096)
			events := make([]Event, 1)
			for i := 0; b.Loop(); i++ {
				now += sec / perSecond
				object := objects[i%len(objects)]
				decide(b, engine, events, now, 0, object, object)
			}
			b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)*perSecond*100, "%core")
		})
	}
}
