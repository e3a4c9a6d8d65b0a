package cells

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"spantack/core/originlimit"
	"spantack/routing"
)

var originLimitDocument = originlimit.Document{Algorithm: "gradient", MaxInFlight: 24, Reserve: 0.1, Burst: 3, BaselineMs: 60, AbandonedFetchMs: 2000}

// newLimitedAdmission is a module with four caches, two area caches and the head office; its router is one of two.
func newLimitedAdmission(t testing.TB, doc *originlimit.Document) *Admission {
	t.Helper()
	set := routing.Settings{
		Classes:   []routing.Class{{Name: "page", Deadline: 3_000_000, LatencyObjective: 600_000, ObjectiveSizeFactor: 2, PriorityWeight: 1, Idempotency: "read_like", DeduplicationScope: "all"}},
		Hierarchy: routing.CacheHierarchy{OriginKind: 2, ParentKind: 1, CacheStatusReporting: "all", ResponseKBPerSecond: 2000, AllowsDirectFetch: true},
		Kinds:     []string{"box", "area", "origin"}, Permissions: routing.Permissions{MayCancel: true, MaxAttempts: 4, MaxRetryAfter: 1_000_000},
		FleetSize: 2, Zone: "z", Zones: []string{"hub", "z"},
	}
	m, err := NewAdmission(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	rows := []routing.Endpoint{{Server: "o", Zone: "hub", Kind: "origin", Status: "healthy", Weight: 400}, {Server: "p0", Zone: "hub", Kind: "area", Status: "healthy", Weight: 400},
		{Server: "p1", Zone: "hub", Kind: "area", Status: "healthy", Weight: 400}}
	for i := range 4 {
		rows = append(rows, routing.Endpoint{Server: fmt.Sprint("c", i), Zone: "z", Kind: "box", Status: "healthy", Weight: 400})
	}
	m.Step(0, []routing.Event{{Kind: routing.EventEndpoints, UpdateMode: "replace", Endpoints: rows}})
	if err := m.SetOriginLimit(0, doc); err != nil {
		t.Fatal(err)
	}
	return m
}

// attemptInFlight is an attempt under way.
type attemptInFlight struct {
	routing.Action
	attempt int
}

// runLoad keeps requests coming, 1 ms apart, and ends each attempt after took ms as end says; it returns the most that were out at the head office
// at once, by way of an area cache and asked to fill, and how many were asked for held copies alone.
func runLoad(m *Admission, from, n int, took int64, end func(i int) routing.Event) (most, held int) {
	out := map[int64][]attemptInFlight{}
	deep := 0
	note := func(now int64, acts []routing.Action, attempt int) {
		for _, a := range acts {
			if a.Kind != routing.ActionSend {
				continue
			}
			out[now+took] = append(out[now+took], attemptInFlight{a, attempt})
			if a.Source == "" || a.Source == a.Server || a.FetchFlags&routing.FetchCachedOnly != 0 {
				held++
			} else {
				deep++
			}
		}
		most = max(most, deep)
	}
	for i := from; i < from+n || len(out) > 0; i++ {
		now := int64(i)
		for _, a := range out[now] {
			ev := end(i)
			if a.Source == "" || a.Source == a.Server || a.FetchFlags&routing.FetchCachedOnly != 0 {
				ev = routing.Event{Outcome: routing.OutcomeMiss}
			} else {
				deep--
			}
			ev.Kind, ev.RequestID, ev.Attempt, ev.Server, ev.ResponseTime = routing.EventOutcome, a.RequestID, a.attempt, a.Server, took*1000
			ev.IsFinal = ev.Outcome == routing.OutcomeServed
			note(now, m.Step(now*1000, []routing.Event{ev}), a.attempt+1)
		}
		delete(out, now)
		if i < from+n {
			call := fmt.Sprint(i)
			note(now, m.Step(now*1000, []routing.Event{{Kind: routing.EventRequest, RequestID: call, Class: "page", Object: call, SizeKB: 1, Timeout: 3_000_000}}), 0)
		}
	}
	return most, held
}

func originAnswer(waitMs int64) func(int) routing.Event {
	return func(int) routing.Event {
		return routing.Event{Outcome: routing.OutcomeServed, CacheStatus: routing.FilledFromOrigin, UpstreamWait: waitMs * 1000}
	}
}

// Where every fill comes to the head office and it becomes slow, what this router has out there comes down from what is borrowed to its
// share, less what is kept for others; the rest is asked for held copies.
func TestOriginLimitBoundsFills(t *testing.T) {
	m := newLimitedAdmission(t, &originLimitDocument)
	runLoad(m, 0, 3000, 60, originAnswer(55)) // the part of fills that come to the head office is learnt
	calm, _ := runLoad(m, 4000, 2000, 60, originAnswer(55))
	share := originLimitDocument.MaxInFlight / 2
	if most := originLimitDocument.Burst * share / 0.9; float64(calm) > most || float64(calm) < share {
		t.Errorf("calm: %d out at most; the share is %v, %v with all that may be borrowed", calm, share, most)
	}
	runLoad(m, 7000, 2000, 400, originAnswer(390))
	slow, held := runLoad(m, 10_000, 2000, 400, originAnswer(390))
	if float64(slow) > share+1 || held < 100 || slow == 0 {
		t.Errorf("slow: %d out at most, of a share of %v; %d asked for held copies", slow, share, held)
	}
	bare := newLimitedAdmission(t, nil)
	runLoad(bare, 0, 3000, 60, originAnswer(55))
	if most, _ := runLoad(bare, 4000, 2000, 400, originAnswer(390)); float64(most) < 3*share {
		t.Errorf("without a shield: %d out at most, so the day shows nothing", most)
	}
}

// What was given up counts for as long as an area cache may go on with it: then no more than the limit has been sent up since, dropped or not.
func TestOriginLimitCountsAbandonedFills(t *testing.T) {
	m := newLimitedAdmission(t, &originLimitDocument)
	runLoad(m, 0, 3000, 60, originAnswer(55))
	lost := func(int) routing.Event { return routing.Event{Outcome: routing.OutcomeTimedOut} }
	sent := 0
	for i := range 10 { // a second in tenths: every attempt ends unanswered after 50 ms
		before := m.OriginLimitStatus().Abandoned
		runLoad(m, 4000+150*i, 50, 50, lost)
		sent += m.OriginLimitStatus().Abandoned - before
	}
	if most := originLimitDocument.Burst * originLimitDocument.MaxInFlight / 2; float64(sent) > 2*most {
		t.Errorf("%d sent up and given up within 1.5 s, with a limit of %v", sent, most)
	}
	if n := m.OriginLimitStatus().Abandoned; n == 0 {
		t.Error("nothing is reckoned to go on")
	}
	m.Step(20_000_000, []routing.Event{{Kind: routing.EventTimer}})
	if n := m.OriginLimitStatus().Abandoned; n != 0 {
		t.Errorf("%d are reckoned to go on 14 s later", n)
	}
}

// Whatever comes back, the books are even at the end, and what is reckoned stays in its bounds.
func TestOriginLimitAccountsBalance(t *testing.T) {
	codes := []routing.AttemptOutcome{routing.OutcomeServed, routing.OutcomeError, routing.OutcomeRejected, routing.OutcomeTimedOut, routing.OutcomeConnectionRefused, routing.OutcomeConnectionReset, routing.OutcomeMiss}
	rapid.Check(t, func(t *rapid.T) {
		doc := originLimitDocument
		doc.Algorithm = rapid.SampledFrom([]string{"fixed", "aimd", "gradient", "delay"}).Draw(t, "law")
		m := newLimitedAdmission(&testing.T{}, &doc)
		draw := rapid.SliceOfN(rapid.IntRange(0, 11*len(codes)-1), 1, 200).Draw(t, "ends")
		runLoad(m, 0, len(draw), int64(rapid.IntRange(1, 80).Draw(t, "took")), func(i int) routing.Event {
			d := draw[i%len(draw)]
			return routing.Event{Outcome: codes[d%len(codes)], CacheStatus: routing.CacheStatus(d / len(codes)), UpstreamWait: int64(d) * 9000}
		})
		g := m.origin.limiter
		m.Step(1e9, []routing.Event{{Kind: routing.EventTimer}})
		now := m.OriginLimitStatus()
		if now.InFlight != 0 || g.directInFlight != 0 || now.Abandoned != 0 || now.OriginFraction < 0 || now.OriginFraction > 1 || now.Limit <= 0 || now.Limit > doc.Burst*now.Share {
			t.Fatalf("%+v, %d straight", now, g.directInFlight)
		}
	})
}

// Off, the gate acts as if it were not there; a document that can't be used changes nothing.
func TestNoOriginLimitIsWithoutEffect(t *testing.T) {
	m, bare := newLimitedAdmission(t, &originLimitDocument), newLimitedAdmission(t, nil)
	bad := originLimitDocument
	bad.Burst = 0
	if err := m.SetOriginLimit(0, &bad); err == nil || m.OriginLimitStatus() == nil || m.origin.limiter.document != originLimitDocument {
		t.Errorf("a document that can't be: %v", err)
	}
	if err := m.SetOriginLimit(0, nil); err != nil || m.OriginLimitStatus() != nil {
		t.Fatal(err)
	}
	for i := range 500 {
		ev := []routing.Event{{Kind: routing.EventRequest, RequestID: fmt.Sprint(i), Class: "page", Object: fmt.Sprint(i % 40), SizeKB: 1, Timeout: 3_000_000}}
		if a, b := m.Step(int64(i)*1000, ev), bare.Step(int64(i)*1000, ev); !reflect.DeepEqual(a, b) {
			t.Fatalf("request %d: %+v with it off, %+v without", i, a, b)
		}
	}
}

func BenchmarkStepWithOriginLimit(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprintf("shield=%v", on), func(b *testing.B) {
			m := newLimitedAdmission(b, nil)
			if on {
				if err := m.SetOriginLimit(0, &originLimitDocument); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now, call := int64(i)*1000, "call"
				acts := m.Step(now, []routing.Event{{Kind: routing.EventRequest, RequestID: call, Class: "page", Object: "o", SizeKB: 1, Timeout: 3_000_000}})
				m.Step(now+500, []routing.Event{{Kind: routing.EventOutcome, RequestID: call, Server: acts[0].Server, Outcome: routing.OutcomeServed, IsFinal: true, CacheStatus: routing.CacheStatus(1 + i%3), ResponseTime: 500, UpstreamWait: 300}})
			}
		})
	}
}
