package routing

import (
	"fmt"
	"testing"
)

// A late response reduces the limit of a cache if the limit is in use. Otherwise an overload never ends, as every
// router continues to send all its requests to the cache.
func TestLateResponseReducesLimit(t *testing.T) {
	engine := newTestEngine(t, testSettings(), 1, 1)
	cache := engine.servers["c0"]
	first := cache.concurrencyLimit
	for i := range 6 {
		engine.request("small", fmt.Sprint("held", i))
	}
	late := outcomeEvent(Action{RequestID: "q1", Server: "c0"}, 0, OutcomeServed, CacheHit)
	late.ResponseTime = 3 * sec
	engine.step(late)
	if cache.concurrencyLimit >= first {
		t.Errorf("limit %v after a late response", cache.concurrencyLimit)
	}
	idle := newTestEngine(t, testSettings(), 1, 1)
	idle.request("small", "x")
	idle.step(late)
	if srv := idle.servers["c0"]; srv.concurrencyLimit != first {
		t.Errorf("limit %v was reduced although it was not in use", srv.concurrencyLimit)
	}
}

// A single lost response must not reduce the limits of a cache and a parent that answer other requests in the meantime.
// Otherwise lost responses reduce the limits until misses are rejected.
func TestSingleTimeoutDoesNotReduceLimit(t *testing.T) {
	for _, others := range []bool{true, false} {
		engine := newTestEngine(t, testSettings(), 1, 1)
		cache, parent := engine.servers["c0"], engine.servers["p0"]
		for _, srv := range []*server{cache, parent} {
			srv.concurrencyLimit = 3
			srv.limitReducedAt = 1
		}
		lost := engine.request("small", "lost")
		if others {
			engine.step(outcomeEvent(engine.request("small", "other"), 0, OutcomeServed, FilledFromSource))
		}
		cache.concurrencyLimit, parent.concurrencyLimit = 2, 2 // so low that the limits are in use
		engine.now += 3 * sec
		engine.step(outcomeEvent(lost, 0, OutcomeTimedOut, CacheStatusUnknown))
		isCacheReduced, isParentReduced := cache.concurrencyLimit < 2, parent.concurrencyLimit < 2
		if isCacheReduced == others || isParentReduced == others {
			t.Errorf("others answered: %v; cache limit reduced: %v, parent limit reduced: %v",
				others, isCacheReduced, isParentReduced)
		}
	}
}

// Limits may be below one request. If each of 50 routers had a limit of at least two, a cache with capacity for a few
// transfers would stay overloaded.
func TestLimitsFallBelowOneRequest(t *testing.T) {
	engine := newTestEngine(t, testSettings(), 1, 1)
	cache, sent := engine.servers["c0"], 0
	for i := range 300 {
		cache.concurrencyLimit, cache.limitReducedAt = 0.3, engine.now
		if action := engine.request("small", fmt.Sprint(i)); action.Kind == ActionSend {
			sent++
			engine.step(outcomeEvent(action, 0, OutcomeRejected, CacheStatusUnknown))
		}
	}
	if sent < 50 || sent > 130 {
		t.Errorf("limit of 0.3 admitted %d of 300 requests", sent)
	}
	action := engine.request("small", "last")
	for action.Kind != ActionSend {
		action = engine.request("small", "last")
	}
	engine.now += sec
	engine.step(outcomeEvent(action, 0, OutcomeTimedOut, CacheStatusUnknown))
	if cache.concurrencyLimit >= 0.3 {
		t.Errorf("limit %v after a late response", cache.concurrencyLimit)
	}
	weighted := testSettings()
	weighted.WeightSource = WeightsNominal
	weighted.Hierarchy.RoutersByZone = []int{0, 4}
	engine = newTestEngine(t, weighted, 1, 1)
	action = engine.request("small", "x")
	for i := range 3 {
		engine.request("small", fmt.Sprint(i))
	}
	late := outcomeEvent(action, 0, OutcomeServed, CacheHit)
	late.ResponseTime = sec
	engine.step(late)
	if cache := engine.servers["c0"]; cache.concurrencyLimit > maxReducedLimitMultiple*1/4 {
		t.Errorf("limit %v although the router's share of the cache is a quarter of a transfer", cache.concurrencyLimit)
	}
}

// If no cache is available, requests are sent directly to the parents, over the zone's link. Late responses must reduce
// the parent's limit. Otherwise direct requests are unlimited, and responses are late.
func TestLateDirectResponseReducesParentLimit(t *testing.T) {
	engine := newTestEngine(t, testSettings(), 0, 1)
	parent := engine.servers["p0"]
	var last Action
	for float64(parent.inFlight) < parent.concurrencyLimit/2 {
		if last = engine.request("big", "hot"); last.Server != "p0" {
			t.Fatalf("no cache is available, got attempt %+v", last)
		}
	}
	before := parent.concurrencyLimit
	engine.now += 4 * sec
	late := outcomeEvent(last, 0, OutcomeServed, CacheStatusUnknown)
	late.ResponseTime = 4 * sec
	engine.step(late)
	if parent.concurrencyLimit >= before {
		t.Errorf("limit %v after a late response, %v before", parent.concurrencyLimit, before)
	}
}

// largeRequest returns a request for a response with a sending time of 2 s.
func largeRequest(timeout int64) Event {
	request := requestEvent("large", "big", "x")
	request.SizeKB = 2000
	request.Timeout = timeout
	return request
}

// The sending time of a large chunk alone must not count as late. Otherwise each such response reduces the limits of
// caches and parents until misses are rejected. In a fleet of hundreds of routers, a late fill is caused by load at its
// source and must reduce only the source's limit. If it also reduced the cache's limit, requests would go to other
// caches, which would fill the same objects again. With few routers the cause may be a full link of the site. The
// cache's limit must then fall too. Otherwise too many fills are in flight.
func TestOnlyDelayBeyondSendingTimeReducesLimits(t *testing.T) {
	for _, tc := range []struct {
		routers       int
		extra         int64
		status        CacheStatus
		cache, parent bool // whether the limit of each is reduced
	}{
		{3, 500 * ms, FilledFromSource, false, false},
		{3, 1400 * ms, FilledFromSource, true, true},
		{3, 500 * ms, CacheHit, false, false},
		{3, 1400 * ms, CacheHit, true, false},
		{300, 500 * ms, FilledFromSource, false, false},
		{300, 1400 * ms, FilledFromSource, false, true},
		{300, 500 * ms, CacheHit, false, false},
		{300, 1400 * ms, CacheHit, true, false},
	} { // the sending time is 2 s, the latency objective 4.6 s
		t.Run(fmt.Sprintf("%d routers, %s after %d ms", tc.routers, tc.status, 2000+tc.extra/ms), func(t *testing.T) {
			settings := testSettings()
			settings.FleetSize = tc.routers
			engine := newTestEngine(t, settings, 1, 1)
			cacheServer, parentServer := engine.servers["c0"], engine.servers["p0"]
			ev := outcomeEvent(engine.stepOne(largeRequest(5*sec)), 0, OutcomeServed, tc.status)
			ev.ResponseTime = 2*sec + tc.extra
			engine.now += ev.ResponseTime
			for _, srv := range []*server{cacheServer, parentServer} {
				srv.concurrencyLimit = 2
				srv.limitReducedAt = 1
			}
			engine.step(ev)
			if cacheServer.concurrencyLimit < 2 != tc.cache || parentServer.concurrencyLimit < 2 != tc.parent {
				limits := []float64{cacheServer.concurrencyLimit, parentServer.concurrencyLimit}
				t.Errorf("%+v: limits of cache and parent are %v", tc, limits)
			}
		})
	}
}

// The wait for a distant origin must not count as overload of the parent. Otherwise the parent's limit falls, and
// requests are rejected although no server is overloaded. Only the part of a wait above the recent minimum counts. On a
// full link the whole wait counts, since the number of fills must fall there.
func TestWaitForDistantOriginIsNotChargedToParent(t *testing.T) {
	limit := func(wait int64, link float64) float64 {
		engine := newTestEngine(t, distantOriginSettings(), 2, 1)
		for i := range 300 {
			request := requestEvent(fmt.Sprint("f", i), "small", fmt.Sprint(i))
			request.SizeKB = 30
			action := engine.stepOne(request)
			if action.Kind != ActionSend || action.FetchFlags&FetchCachedOnly != 0 {
				continue
			}
			engine.servers["p0"].inFlight += 40 // only a limit in use is adjusted
			engine.now += 110 * ms
			engine.step(originFillOutcome(action, min(190*ms+int64(i)*wait/20, max(wait, 190*ms)), link))
			engine.servers["p0"].inFlight -= 40
		}
		return engine.servers["p0"].concurrencyLimit
	}
	if idle, full := limit(190*ms, 0.4), limit(190*ms, 4); idle < 5 || full > 1 {
		t.Errorf("parent limit %v with a distant origin, %v on a full link", idle, full)
	}
	// The minimum wait rises so slowly that it does not adapt to the waits of an overload. If it rose quickly, long
	// waits would soon count as normal, and the overload would outlast its cause.
	if overloaded := limit(700*ms, 0.4); overloaded > 1 {
		t.Errorf("parent limit %v after 300 late fills through the parent", overloaded)
	}
}

// If no load report shows the use of the link, the usual wait for a distant origin must not count as overload of the
// source, even if it is long compared with the class's objective. Otherwise requests of a class with an objective of
// 180 ms are rejected at low load.
// A usual wait within the objective is not late. A wait of several times the usual one is late, and so is a response
// after the objective.
func TestUsualOriginWaitOfUrgentClassIsNotLate(t *testing.T) {
	limit := func(firstWait, laterWait int64) float64 {
		settings := testSettings()
		settings.Classes[1].LatencyObjective = 180 * ms
		engine := newTestEngine(t, settings, 2, 1)
		for i := range 300 {
			request := requestEvent(fmt.Sprint("h", i), "small", fmt.Sprint(i))
			request.SizeKB = 10
			request.Timeout = 600 * ms
			action := engine.stepOne(request)
			if action.Kind != ActionSend || action.FetchFlags&FetchCachedOnly != 0 {
				continue
			}
			more := int(engine.servers["p0"].concurrencyLimit) // only a limit in use is adjusted
			engine.servers["p0"].inFlight += more
			engine.now += 110 * ms
			ev := originFillOutcome(action, firstWait, 0)
			ev.LoadReport = nil
			if i >= 100 {
				ev.UpstreamWait = laterWait
				ev.ResponseTime = laterWait + 20*ms
			}
			engine.step(ev)
			engine.servers["p0"].inFlight -= more
		}
		return engine.servers["p0"].concurrencyLimit
	}
	distant, late, overloaded := limit(100*ms, 100*ms), limit(100*ms, 400*ms), limit(30*ms, 130*ms)
	if distant < 5 || late > 1 || overloaded > 1 {
		t.Errorf("limits: %v with a distant origin, %v past the objective, %v at four times the usual wait",
			distant, late, overloaded)
	}
}

// Without cache statuses, a rejection by the source cannot be distinguished from a rejection by the cache. Any
// rejection of a fill must reduce the limit of the source, and not the limit of the cache.
func TestRejectedFillWithoutCacheStatusReducesSourceLimit(t *testing.T) {
	settings := testSettings()
	settings.Hierarchy.CacheStatusReporting = CacheStatusUnreported
	engine := newTestEngine(t, settings, 1, 2)
	first := engine.request("small", "x")
	cache, source := engine.servers[first.Server], engine.servers[first.Source]
	cache.inFlight = 8
	source.inFlight = 6
	cacheLimit, sourceLimit := cache.concurrencyLimit, source.concurrencyLimit
	second := engine.stepOne(outcomeEvent(first, 0, OutcomeRejected, CacheStatusUnknown))
	if source.concurrencyLimit >= sourceLimit || cache.concurrencyLimit < cacheLimit {
		t.Errorf("cache limit changed from %v to %v, source limit from %v to %v",
			cacheLimit, cache.concurrencyLimit, sourceLimit, source.concurrencyLimit)
	}
	last := engine.stepOne(outcomeEvent(second, 1, OutcomeMiss, CacheStatusUnknown))
	if last.Kind != ActionSend || last.Source == first.Source || last.Source == last.Server {
		t.Errorf("after a miss for any cached copy: %+v, want another source", last)
	}
}

// When capacity is short, requests of a tenant over its quota are rejected first.
func TestTenantOverQuotaIsRejectedFirst(t *testing.T) {
	settings := testSettings()
	settings.Tenants = []Tenant{{Name: "t", QuotaPerSecond: 3}}
	settings.OverQuotaWeightFactor = 0.1
	engine := newTestEngine(t, settings, 1, 1)
	rejected := map[string]int{}
	for i := range 40 {
		for _, tenant := range []string{"t", ""} {
			request := requestEvent(fmt.Sprint(tenant, i), "small", "x")
			request.Tenant = tenant
			request.Timeout = sec
			action := engine.stepOne(request)
			if action.Kind == ActionReject {
				rejected[tenant]++
			} else if i > 2 {
				engine.step(outcomeEvent(action, 0, OutcomeServed, CacheHit))
			}
		}
	}
	if rejected["t"] <= rejected[""] {
		t.Errorf("rejected by tenant: %v; want most for the tenant over its quota", rejected)
	}
}

// Requests for the largest objects, of classes with any weight, may use half of a server's limit. Otherwise all of them
// would be rejected when capacity is short.
func TestLargestRequestsMayUseHalfOfLimit(t *testing.T) {
	engine := newTestEngine(t, testSettings(), 1, 1)
	srv := engine.servers["c0"]
	srv.concurrencyLimit = 100
	maxInFlight := func(class int, sizeKB float64) int { // with fewer in flight, such a request is admitted
		req := &request{class: class}
		req.SizeKB = sizeKB
		for srv.inFlight = 0; srv.inFlight < 200 && engine.hasCapacity(req, srv); srv.inFlight++ {
		}
		return srv.inFlight
	}
	smallest, largest := maxInFlight(1, 1), maxInFlight(0, 1e6)
	if largest < smallest/2-1 { // minus 1 because of the random draw
		t.Errorf("capacity for %d of the largest requests, for %d of the smallest", largest, smallest)
	}
}

// An edge cache of another zone gets no uncacheable requests. No part of its limit may be reserved for them. At an
// edge cache of this zone, part of the limit is reserved for the class with the greatest weight, which is uncacheable
// here.
func TestUncacheableClassReservesNoCapacityAtRemoteCaches(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].PriorityWeight = 1000
	settings.Hierarchy.Uncacheable = []bool{true}
	engine := newTestEngine(t, settings, 1, 1)
	srv := engine.servers["c0"]
	srv.concurrencyLimit = 100
	capacity := func(role serverRole) (admitted int) {
		srv.role = role
		req := &request{class: 3} // has the greatest weight density of the cacheable classes
		for srv.inFlight = 0; srv.inFlight < 200 && engine.hasCapacity(req, srv); srv.inFlight++ {
			admitted++
		}
		return admitted
	}
	if own, remote := capacity(roleEdgeCache), capacity(roleRemoteCache); own > 55 || remote < 99 {
		t.Errorf("capacity for %d in this zone and %d in another, want about 50 and 100", own, remote)
	}
}

// A limit below one request admits a request with a probability. For the limits of parents and origin, the random
// number for this must be drawn only once per request. Hundreds of routers, each with capacity for less than one
// request, then stay within the sum of their limits. A second draw, after a request found no capacity and then no
// cached copy, would give the request two chances, and the fills would exceed the limit.
func TestLimitsAreDrawnOncePerRequest(t *testing.T) {
	const requests = 2000
	engine := newTestEngine(t, testSettings(), 3, 1)
	engine.servers["o"].concurrencyLimit = 0
	parent := engine.servers["p0"]
	fills, rejected := 0, 0
	for i := range requests {
		parent.concurrencyLimit = 0.5 // less than one request, as with hundreds of routers that share a source
		first := engine.request("small", fmt.Sprint("x", i))
		if first.Source != first.Server {
			fills++
			engine.step(outcomeEvent(first, 0, OutcomeServed, CacheStatusUnknown))
			continue
		}
		parent.concurrencyLimit = 1e6
		switch last := engine.stepOne(outcomeEvent(first, 0, OutcomeMiss, CacheStatusUnknown)); last.Kind {
		case ActionReject:
			rejected++
		default:
			t.Fatalf("source at its limit and no cached copy: %+v, want a rejection", last)
		}
	}
	if fills == 0 || rejected == 0 || fills+rejected != requests {
		t.Errorf("%d fills and %d rejections of %d requests, want both and nothing else", fills, rejected, requests)
	}
}
