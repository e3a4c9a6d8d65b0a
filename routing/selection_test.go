package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// referenceSelectEdgeCache is the reference of selectEdgeCache: it checks every cache in the order of referenceRanking,
// with a random draw for each eligible one.
func referenceSelectEdgeCache(engine *Engine, req *request) (selected *server, isFull bool) {
	isUsable := func(srv *server) bool { return !srv.breaker.isOpen(engine.now) }
	engine.subsetOf(0).inPanic = !slices.ContainsFunc(engine.caches, isUsable)
	var eligible []*server
	for _, srv := range referenceRanking(engine.caches, req.chunkKey, engine.hasServerWeights) {
		if !engine.isEligible(req, srv) {
			continue
		}
		if engine.hasCapacity(req, srv) {
			eligible = append(eligible, srv)
		} else {
			isFull = true
		}
	}
	if len(eligible) == 0 {
		return nil, isFull
	}
	counted := max(engine.recentRequestCount, recentRequestWindow/8)
	isHot := float64(engine.recentRequests[req.Object]*len(engine.caches)) > hotObjectShare*float64(counted)
	if !isHot || len(eligible) == 1 {
		return eligible[0], isFull
	}
	first, second := eligible[0], eligible[1]
	if second.inFlight+1 < first.inFlight && !second.breaker.isReadyForTrial(engine.now) {
		return second, isFull
	}
	return first, isFull
}

// With the same random numbers, the selection agrees with the reference, for random open breakers, cold and loaded
// caches, hot objects and retries.
func TestSelectEdgeCacheAgreesWithReference(t *testing.T) {
	rng := rand.New(rand.NewPCG(11, 3))
	unselected, notFirst := 0, 0
	for run := range 400 {
		settings := testSettings()
		settings.WeightSource = []WeightSource{WeightsAbsent, WeightsNominal}[rng.IntN(2)]
		engine, err := NewEngine(settings, int64(run))
		if err != nil {
			t.Fatal(err)
		}
		now := 100 * sec
		list := endpoints(1+rng.IntN(40), 1)
		for i := range list {
			list[i].Weight = 0.5 + rng.Float64()*4
			if rng.IntN(4) == 0 {
				list[i].StartedAt = now - int64(rng.IntN(20))*sec
			}
		}
		engine.Step(now, []Event{{Kind: EventEndpoints, UpdateMode: UpdateReplace, Endpoints: list}})
		load := rng.Float64() * 3
		for _, srv := range engine.caches {
			srv.inFlight = int(srv.concurrencyLimit * load * rng.Float64())
			if rng.IntN(5) == 0 {
				srv.breaker.openUntil = now + int64(rng.IntN(3)-1)*sec
				srv.breaker.isTrialInFlight = rng.IntN(4) == 0
			}
		}
		for i := range 50 {
			engine.now = now + int64(i)*100*ms
			req := &request{
				Event: Event{RequestID: "c", Object: fmt.Sprint("o", rng.IntN(8)), SizeKB: 30},
				class: rng.IntN(3),
			}
			req.chunkKey = chunkKey(req.Object, int64(rng.IntN(3)))
			engine.recentRequests[req.Object] += rng.IntN(40)
			engine.recentRequestCount += 20
			if srv := engine.caches[rng.IntN(len(engine.caches))]; rng.IntN(4) == 0 {
				req.failedCaches = append(req.failedCaches, srv)
				req.firstRunServer = srv
			}
			seed := rng.Uint64()
			engine.rng = rand.New(rand.NewPCG(seed, 0))
			before := map[*server]server{}
			for _, srv := range engine.caches {
				before[srv] = server{
					coldDraw:   srv.coldDraw,
					coldDrawAt: srv.coldDrawAt,
					coldSends:  slices.Clone(srv.coldSends),
				}
			}
			want, wantFull := referenceSelectEdgeCache(engine, req)
			engine.rng = rand.New(rand.NewPCG(seed, 0))
			for srv, old := range before {
				srv.coldDraw = old.coldDraw
				srv.coldDrawAt = old.coldDrawAt
				srv.coldSends = old.coldSends
			}
			got, isFull := engine.selectEdgeCache(req, 0)
			if got != want || got == nil && isFull != wantFull {
				t.Fatalf("run %d, selection %d: %v, full %v, want %v, %v", run, i, got, isFull, want, wantFull)
			}
			if got == nil {
				unselected++
			} else if got != referenceRanking(engine.caches, req.chunkKey, engine.hasServerWeights)[0] {
				notFirst++
			}
			if got != nil {
				engine.recordColdSend(got, 1000)
			}
		}
	}
	if unselected < 100 || notFirst < 1000 {
		t.Errorf("cases cover too little: %d without a selected cache, %d not the first cache", unselected, notFirst)
	}
}

// The requests for a hot object are distributed over two caches under load, and sent to one cache otherwise.
func TestRequestsForHotObjectAreDistributedOnlyUnderLoad(t *testing.T) {
	engine := newTestEngine(t, testSettings(), 3, 1)
	used := map[string]bool{}
	for range 40 {
		action := engine.request("big", "x")
		used[action.Server] = true
		engine.step(outcomeEvent(action, 0, OutcomeServed, CacheHit))
	}
	if len(used) != 1 {
		t.Errorf("idle zone: %d caches used for a hot object, want 1", len(used))
	}
	for range 4 {
		used[engine.request("big", "x").Server] = true
	}
	if len(used) != 2 {
		t.Errorf("loaded zone: %d caches used for a hot object, want 2", len(used))
	}
}

// In panic mode, while all caches are ejected, only those whose half-open trial has not failed are used.
func TestPanicUsesCachesWhoseTrialHasNotFailed(t *testing.T) {
	engine := newTestEngine(t, testSettings(), 2, 1)
	for _, srv := range engine.caches {
		srv.breaker.openUntil = engine.now + sec
	}
	if action := engine.request("small", "x"); action.Server[0] != 'c' {
		t.Errorf("request sent to %q, want an ejected cache", action.Server)
	}
	for _, srv := range engine.caches {
		srv.breaker.hasTrialFailed = true
	}
	if action := engine.request("small", "y"); action.Server[0] == 'c' {
		t.Error("cache with a failed trial was used")
	}
}

// Fills of a full parent go to the next parent first, and to the origin only if all parents are full. If hundreds of
// routers sent these fills to the origin directly, the origin would be overloaded, and uncacheable requests delayed.
func TestFullParentFallsBackToNextParentThenOrigin(t *testing.T) {
	engine := newTestEngine(t, testSettings(), 2, 2)
	first := engine.request("small", "x").Source
	other := map[string]string{"p0": "p1", "p1": "p0"}[first]
	engine.servers[first].inFlight = 100
	for _, want := range []string{other, "o"} {
		if got := engine.request("small", "x").Source; got != want {
			t.Fatalf("source %q, want %q", got, want)
		}
		engine.servers[want].inFlight = 100
	}
	if action := engine.request("small", "x"); action.Source != action.Server {
		t.Errorf("all sources are full, but the source is %q", action.Source)
	}
}

// If all parents are ejected or drained, a miss is filled from the origin once no cached copy was found. Otherwise
// misses are rejected for the cool-down of ten seconds while the origin is idle.
func TestMissIsFilledFromOriginWhileParentsAreEjected(t *testing.T) {
	engine := newTestEngine(t, testSettings(), 3, 1)
	for i := range 3 {
		engine.step(outcomeEvent(engine.request("small", fmt.Sprint("x", i)), 0, OutcomeError, SourceUnreachable))
	}
	cachedCopy := engine.request("small", "y")
	if cachedCopy.Source != cachedCopy.Server {
		t.Fatalf("all parents ejected: %+v, want any cached copy first", cachedCopy)
	}
	fill := engine.stepOne(outcomeEvent(cachedCopy, 0, OutcomeMiss, CacheStatusUnknown))
	if fill.Kind != ActionSend || fill.Source != "o" || fill.FetchFlags&FetchCachedOnly != 0 {
		t.Fatalf("no cached copy: %+v, want a fill from the origin", fill)
	}
	last := engine.stepOne(outcomeEvent(fill, 1, OutcomeError, OriginFailed))
	if last.Kind == ActionSend && last.Source == "o" {
		t.Errorf("after the origin failed: %+v, want no further origin fill", last)
	}
	cachedCopy = engine.request("small", "z")
	engine.servers["o"].inFlight = 100
	last = engine.stepOne(outcomeEvent(cachedCopy, 0, OutcomeMiss, CacheStatusUnknown))
	if last.Kind != ActionReject {
		t.Errorf("origin at its limit: %+v, want a rejection", last)
	}
}
