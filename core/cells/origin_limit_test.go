package cells

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"spantack/core/originlimit"
	"spantack/routing"
)

var originLimitDocument = originlimit.Document{
	Algorithm:        "gradient",
	MaxInFlight:      24,
	Reserve:          0.1,
	Burst:            3,
	BaselineMs:       60,
	AbandonedFetchMs: 2000,
}

// newLimitedAdmission returns an Admission of one of two routers, with an origin limit, four caches, two parents and
// the origin. It has no assignment.
func newLimitedAdmission(t testing.TB, document *originlimit.Document) *Admission {
	t.Helper()
	admission, err := NewAdmission(routing.Settings{
		Classes: []routing.Class{{
			Name:                "page",
			Deadline:            3_000_000,
			LatencyObjective:    600_000,
			ObjectiveSizeFactor: 2,
			PriorityWeight:      1,
			Idempotency:         "read_like",
			DeduplicationScope:  "all",
		}},
		Hierarchy: routing.CacheHierarchy{
			OriginKind:           2,
			ParentKind:           1,
			CacheStatusReporting: "all",
			ResponseKBPerSecond:  2000,
			AllowsDirectFetch:    true,
		},
		Kinds:       []string{"box", "area", "origin"},
		Permissions: routing.Permissions{MayCancel: true, MaxAttempts: 4, MaxRetryAfter: 1_000_000},
		FleetSize:   2,
		Zone:        "z",
		Zones:       []string{"hub", "z"},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	endpoints := []routing.Endpoint{
		{Server: "o", Zone: "hub", Kind: "origin", Status: "healthy", Weight: 400},
		{Server: "p0", Zone: "hub", Kind: "area", Status: "healthy", Weight: 400},
		{Server: "p1", Zone: "hub", Kind: "area", Status: "healthy", Weight: 400},
	}
	for i := range 4 {
		cache := routing.Endpoint{Server: fmt.Sprint("c", i), Zone: "z", Kind: "box", Status: "healthy", Weight: 400}
		endpoints = append(endpoints, cache)
	}
	replaceEndpoints(admission, 0, endpoints)
	if err := admission.SetOriginLimit(0, document); err != nil {
		t.Fatal(err)
	}
	return admission
}

// pageRequest returns a request for a page of 1 KB.
func pageRequest(id, object string) routing.Event {
	return routing.Event{
		Kind:      routing.EventRequest,
		RequestID: id,
		Class:     "page",
		Object:    object,
		SizeKB:    1,
		Timeout:   3_000_000,
	}
}

// attemptInFlight is an attempt that has not ended.
type attemptInFlight struct {
	routing.Action
	attempt int
}

// isCachedOnly reports whether an attempt can't reach the origin.
func (a *attemptInFlight) isCachedOnly() bool {
	return a.Source == "" || a.Source == a.Server || a.FetchFlags&routing.FetchCachedOnly != 0
}

// originLoad sends requests and simulates caches that end each attempt after responseTime.
type originLoad struct {
	admission    *Admission
	responseTime int64                       // of each attempt, ms
	outcome      func(i int) routing.Event   // of an attempt that may reach the origin and ends at time i ms
	inFlight     map[int64][]attemptInFlight // by end time, ms

	toOrigin    int // attempts in flight that may reach the origin
	maxToOrigin int // maximum of toOrigin
	cachedOnly  int // attempts that requested cached copies only
}

// runLoad sends n requests, 1 ms apart, and ends each attempt after responseTime ms. It returns the maximum number of
// attempts in flight that may reach the origin, and the number of attempts that requested cached copies only.
func runLoad(
	a *Admission, from, n int, responseTime int64, outcome func(i int) routing.Event,
) (maxToOrigin, cachedOnly int) {
	load := &originLoad{
		admission:    a,
		responseTime: responseTime,
		outcome:      outcome,
		inFlight:     map[int64][]attemptInFlight{},
	}
	for i := from; i < from+n || len(load.inFlight) > 0; i++ {
		load.endAttempts(i)
		if i < from+n {
			id := fmt.Sprint(i)
			load.start(int64(i), a.step(int64(i)*1000, pageRequest(id, id)), 0)
		}
	}
	return load.maxToOrigin, load.cachedOnly
}

func (l *originLoad) start(now int64, actions []routing.Action, attempt int) {
	for _, action := range actions {
		if action.Kind != routing.ActionSend {
			continue
		}
		started := attemptInFlight{action, attempt}
		end := now + l.responseTime
		l.inFlight[end] = append(l.inFlight[end], started)
		if started.isCachedOnly() {
			l.cachedOnly++
		} else {
			l.toOrigin++
		}
	}
	l.maxToOrigin = max(l.maxToOrigin, l.toOrigin)
}

func (l *originLoad) endAttempts(i int) {
	now := int64(i)
	for _, ended := range l.inFlight[now] {
		event := l.outcome(i)
		if ended.isCachedOnly() {
			event = routing.Event{Outcome: routing.OutcomeMiss}
		} else {
			l.toOrigin--
		}
		event.Kind = routing.EventOutcome
		event.RequestID = ended.RequestID
		event.Attempt = ended.attempt
		event.Server = ended.Server
		event.ResponseTime = l.responseTime * 1000
		event.IsFinal = event.Outcome == routing.OutcomeServed
		l.start(now, l.admission.step(now*1000, event), ended.attempt+1)
	}
	delete(l.inFlight, now)
}

// originResponse returns an outcome function for fills from the origin that take waitMs.
func originResponse(waitMs int64) func(int) routing.Event {
	return func(int) routing.Event {
		return routing.Event{
			Outcome:      routing.OutcomeServed,
			CacheStatus:  routing.FilledFromOrigin,
			UpstreamWait: waitMs * 1000,
		}
	}
}

// Every fill reaches the origin, and the origin becomes slow. The number of this router's fills in flight must then
// fall from the router's share plus borrowed capacity to the share minus the reserve. The other attempts must request
// cached copies only.
func TestOriginLimitBoundsFills(t *testing.T) {
	admission := newLimitedAdmission(t, &originLimitDocument)
	runLoad(admission, 0, 3000, 60, originResponse(55)) // to learn the fraction of fills that reach the origin
	fast, _ := runLoad(admission, 4000, 2000, 60, originResponse(55))
	share := originLimitDocument.MaxInFlight / 2
	if limit := originLimitDocument.Burst * share / 0.9; float64(fast) > limit || float64(fast) < share {
		t.Errorf("fast origin: at most %d in flight; the share is %v, with the maximum burst %v", fast, share, limit)
	}
	runLoad(admission, 7000, 2000, 400, originResponse(390))
	slow, cachedOnly := runLoad(admission, 10_000, 2000, 400, originResponse(390))
	if float64(slow) > share+1 || cachedOnly < 100 || slow == 0 {
		t.Errorf("slow origin: at most %d in flight, the share is %v; %d cached only", slow, share, cachedOnly)
	}
	unlimited := newLimitedAdmission(t, nil)
	runLoad(unlimited, 0, 3000, 60, originResponse(55))
	if inFlight, _ := runLoad(unlimited, 4000, 2000, 400, originResponse(390)); float64(inFlight) < 3*share {
		t.Errorf("without a limit: only %d in flight, the load is too low for this test", inFlight)
	}
}

// Every attempt times out. An abandoned fetch must count for as long as a parent may continue it. Otherwise abandoned
// fetches would exceed the limit.
func TestOriginLimitCountsAbandonedFills(t *testing.T) {
	admission := newLimitedAdmission(t, &originLimitDocument)
	runLoad(admission, 0, 3000, 60, originResponse(55))
	timedOut := func(int) routing.Event { return routing.Event{Outcome: routing.OutcomeTimedOut} }
	sent := 0
	for i := range 10 { // 10 intervals of 150 ms: every attempt times out after 50 ms
		before := admission.OriginLimitStatus().Abandoned
		runLoad(admission, 4000+150*i, 50, 50, timedOut)
		sent += admission.OriginLimitStatus().Abandoned - before
	}
	if limit := originLimitDocument.Burst * originLimitDocument.MaxInFlight / 2; float64(sent) > 2*limit {
		t.Errorf("%d attempts abandoned within 1.5 s, want at most twice the limit of %v", sent, limit)
	}
	if n := admission.OriginLimitStatus().Abandoned; n == 0 {
		t.Error("no fetch counts as abandoned")
	}
	admission.step(20_000_000, routing.Event{Kind: routing.EventTimer})
	if n := admission.OriginLimitStatus().Abandoned; n != 0 {
		t.Errorf("%d fetches still count as abandoned after 14 s", n)
	}
}

// With random outcomes and statuses, all counts must be zero at the end, and the estimates must stay within their
// bounds.
func TestOriginLimitCountsReturnToZero(t *testing.T) {
	outcomes := []routing.AttemptOutcome{
		routing.OutcomeServed, routing.OutcomeError, routing.OutcomeRejected, routing.OutcomeTimedOut,
		routing.OutcomeConnectionRefused, routing.OutcomeConnectionReset, routing.OutcomeMiss,
	}
	rapid.Check(t, func(t *rapid.T) {
		document := originLimitDocument
		document.Algorithm = rapid.SampledFrom([]string{"fixed", "aimd", "gradient", "delay"}).Draw(t, "algorithm")
		admission := newLimitedAdmission(&testing.T{}, &document)
		draws := rapid.SliceOfN(rapid.IntRange(0, 11*len(outcomes)-1), 1, 200).Draw(t, "ends")
		responseTime := int64(rapid.IntRange(1, 80).Draw(t, "response time"))
		runLoad(admission, 0, len(draws), responseTime, func(i int) routing.Event {
			draw := draws[i%len(draws)]
			return routing.Event{
				Outcome:      outcomes[draw%len(outcomes)],
				CacheStatus:  routing.CacheStatus(draw / len(outcomes)),
				UpstreamWait: int64(draw) * 9000,
			}
		})
		admission.step(1e9, routing.Event{Kind: routing.EventTimer})
		status, direct := admission.OriginLimitStatus(), admission.origin.limiter.directInFlight
		if status.InFlight != 0 || direct != 0 || status.Abandoned != 0 {
			t.Fatalf("counts not zero: %+v, %d direct", status, direct)
		}
		if status.OriginFraction < 0 || status.OriginFraction > 1 {
			t.Fatalf("origin fraction outside 0 to 1: %+v", status)
		}
		if status.Limit <= 0 || status.Limit > document.Burst*status.Share {
			t.Fatalf("limit out of bounds: %+v", status)
		}
	})
}

// After an invalid document, the current limit must stay in force. After the limit is removed, actions must be the same
// as those of an Admission that never had a limit.
func TestInvalidOriginLimitIsIgnoredAndRemovedLimitHasNoEffect(t *testing.T) {
	admission, unlimited := newLimitedAdmission(t, &originLimitDocument), newLimitedAdmission(t, nil)
	invalid := originLimitDocument
	invalid.Burst = 0
	err := admission.SetOriginLimit(0, &invalid)
	if err == nil || admission.OriginLimitStatus() == nil || admission.origin.limiter.document != originLimitDocument {
		t.Errorf("invalid document: got error %v, want an error and the old limit still in force", err)
	}
	if err := admission.SetOriginLimit(0, nil); err != nil || admission.OriginLimitStatus() != nil {
		t.Fatal(err)
	}
	for i := range 500 {
		now, event := int64(i)*1000, pageRequest(fmt.Sprint(i), fmt.Sprint(i%40))
		if a, b := admission.step(now, event), unlimited.step(now, event); !reflect.DeepEqual(a, b) {
			t.Fatalf("request %d: %+v with the limit removed, %+v without a limit", i, a, b)
		}
	}
}

func BenchmarkStepWithOriginLimit(b *testing.B) {
	for _, isLimited := range []bool{false, true} {
		b.Run(fmt.Sprintf("originLimit=%v", isLimited), func(b *testing.B) {
			admission := newLimitedAdmission(b, nil)
			if isLimited {
				if err := admission.SetOriginLimit(0, &originLimitDocument); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := int64(i) * 1000
				actions := admission.Step(now, []routing.Event{pageRequest("id", "o")})
				admission.Step(now+500, []routing.Event{{
					Kind:         routing.EventOutcome,
					RequestID:    "id",
					Server:       actions[0].Server,
					Outcome:      routing.OutcomeServed,
					IsFinal:      true,
					CacheStatus:  routing.CacheStatus(1 + i%3),
					ResponseTime: 500,
					UpstreamWait: 300,
				}})
			}
		})
	}
}
