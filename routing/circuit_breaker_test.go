package routing

import (
	"fmt"
	"testing"
)

// A breaker opens after failures, then allows one trial at a time. It opens again if the trial fails, and closes if it
// succeeds. If a trial ends without an outcome, another request becomes the trial.
func TestCircuitBreakerAllowsOneTrialAfterCoolDown(t *testing.T) {
	engine := newTestEngine(t, testSettings(), 3, 1)
	for i := range 3 {
		action := engine.request("small", fmt.Sprint("x", i))
		engine.step(outcomeEvent(action, 0, OutcomeError, SourceRejected))
	}
	parent := engine.servers["p0"]
	if !parent.breaker.isOpen(engine.now) {
		t.Fatal("breaker is closed after three failures out of three")
	}
	if action := engine.request("small", "y"); action.Source != action.Server {
		t.Errorf("all parents are ejected, but the source is %q", action.Source)
	}
	engine.now += breakerCoolDown * 2
	action, other := engine.request("small", "y1"), engine.request("small", "y2")
	if action.Source != "p0" || other.Source == "p0" {
		t.Errorf("half-open breaker: sources %q and %q, want one trial", action.Source, other.Source)
	}
	engine.step(outcomeEvent(action, 0, OutcomeError, SourceUnreachable))
	if !parent.breaker.isOpen(engine.now + breakerCoolDown/2) {
		t.Error("failed trial did not restart the cool-down")
	}
	engine.now += breakerCoolDown * 2
	action = engine.request("small", "y3")
	// The client of the trial gives up. The next request must become the trial.
	engine.step(Event{Kind: EventAborted, RequestID: action.RequestID})
	if action = engine.request("small", "y4"); action.Source != "p0" {
		t.Errorf("no new trial after an aborted one: source %q", action.Source)
	}
	engine.step(outcomeEvent(action, 0, OutcomeServed, FilledFromSource))
	if action = engine.request("small", "y5"); action.Source != "p0" || parent.breaker.openUntil != 0 {
		t.Error("successful trial did not close the breaker")
	}
}

// Each outcome and cache status opens the circuit breaker of the server at fault, and no other.
func TestFailureIsChargedToTheServerAtFault(t *testing.T) {
	for _, tc := range []struct {
		outcome AttemptOutcome
		status  CacheStatus
		want    string
	}{
		{OutcomeError, SourceRejected, "parent"},
		{OutcomeRejected, SourceRejected, "parent"},
		{OutcomeError, SourceUnreachable, "parent"},
		{OutcomeError, OriginFailed, "origin"},
		{OutcomeError, CacheStatusUnknown, ""},
		{OutcomeConnectionRefused, CacheStatusUnknown, "cache"},
		{OutcomeConnectionReset, CacheStatusUnknown, "cache"},
		{OutcomeTimedOut, CacheStatusUnknown, "cache"},
		{OutcomeRejected, CacheStatusUnknown, ""},
		{OutcomeRejected, FillLimitReached, ""},
		{OutcomeMiss, SourceMissed, ""},
		{OutcomeSkipped, CacheStatusUnknown, ""},
		{OutcomeCanceled, CacheStatusUnknown, ""},
	} {
		t.Run(fmt.Sprint(tc.outcome, ", ", tc.status), func(t *testing.T) {
			engine := newTestEngine(t, testSettings(), 1, 1)
			for i := range 4 {
				sent := engine.request("small", fmt.Sprint("x", i))
				engine.step(outcomeEvent(sent, 0, tc.outcome, tc.status))
				engine.servers["c0"].concurrencyLimit = initialLimit
			}
			got := ""
			for role, name := range map[string]string{"parent": "p0", "origin": "o", "cache": "c0"} {
				if engine.servers[name].breaker.openUntil != 0 {
					got += role
				}
			}
			if got != tc.want {
				t.Errorf("open breakers: %q, want %q", got, tc.want)
			}
		})
	}
}

// Requests for nonexistent objects fail at every cache. If such failures were charged at once, the retries would open
// the breakers of all caches. An error without a reason is charged only after another cache has served the same
// request. A second error without a reason, at another cache, ends the request.
func TestUnexplainedErrorIsChargedAfterOtherCacheServes(t *testing.T) {
	engine := newTestEngine(t, testSettings(), 3, 1)
	for i := range 10 {
		req := engine.request("small", fmt.Sprint("nobody knows ", i))
		second := engine.stepOne(outcomeEvent(req, 0, OutcomeError, CacheStatusUnknown))
		if second.Kind != ActionSend || second.Server == req.Server {
			t.Fatalf("after one error: %+v", second)
		}
		if last := engine.stepOne(outcomeEvent(second, 1, OutcomeError, CacheStatusUnknown)); last.Kind != ActionFail {
			t.Fatalf("after two errors: %+v", last)
		}
	}
	for _, srv := range engine.caches {
		if srv.breaker.openUntil != 0 {
			t.Errorf("requests for nonexistent objects opened the breaker of %s", srv.name)
		}
	}
	failing := ""
	for i := 0; i < 40 && (failing == "" || engine.servers[failing].breaker.openUntil == 0); i++ {
		req := engine.request("small", fmt.Sprint(i))
		if failing == "" {
			failing = req.Server
		}
		if req.Server != failing {
			engine.step(outcomeEvent(req, 0, OutcomeServed, CacheHit))
			continue
		}
		retry := engine.stepOne(outcomeEvent(req, 0, OutcomeError, CacheStatusUnknown))
		engine.step(outcomeEvent(retry, 1, OutcomeServed, CacheHit))
	}
	if engine.servers[failing].breaker.openUntil == 0 {
		t.Error("cache that fails requests which other caches serve is not ejected")
	}
}

// Time-outs of slow chunks must not open the breakers of servers that answer other requests in the meantime.
func TestSlowLargeChunkDoesNotEjectParent(t *testing.T) {
	engine := newTestEngine(t, testSettings(), 1, 1)
	for i := range 5 {
		slow, quick := engine.request("big", fmt.Sprint("s", i)), engine.request("big", fmt.Sprint("f", i))
		engine.step(outcomeEvent(quick, 0, OutcomeServed, FilledFromSource))
		engine.step(outcomeEvent(slow, 0, OutcomeTimedOut, CacheStatusUnknown))
		engine.servers["c0"].concurrencyLimit = initialLimit
		engine.servers["p0"].concurrencyLimit = initialLimit
	}
	if engine.servers["p0"].breaker.openUntil != 0 || engine.servers["c0"].breaker.openUntil != 0 {
		t.Error("slow chunks opened a breaker although other requests were answered in the meantime")
	}
}

// Time-outs of clients that give up before a response is due must not open breakers. Otherwise such time-outs eject
// all caches and parents, and all requests are rejected for the cool-down of ten seconds.
func TestShortClientTimeoutsDoNotEjectServers(t *testing.T) {
	engine := newTestEngine(t, testSettings(), 1, 1)
	cache, parent := engine.servers["c0"], engine.servers["p0"]
	cacheLimit, parentLimit := cache.concurrencyLimit, parent.concurrencyLimit
	for i := range 20 {
		short := outcomeEvent(engine.request("small", fmt.Sprint(i)), 0, OutcomeTimedOut, CacheStatusUnknown)
		short.ResponseTime = 50 * ms
		engine.step(short)
	}
	if cache.breaker.openUntil != 0 || parent.breaker.openUntil != 0 {
		t.Errorf("breakers open until %d and %d", cache.breaker.openUntil, parent.breaker.openUntil)
	}
	if cache.concurrencyLimit != cacheLimit || parent.concurrencyLimit != parentLimit {
		t.Errorf("cache limit %v, want %v; parent limit %v, want %v",
			cache.concurrencyLimit, cacheLimit, parent.concurrencyLimit, parentLimit)
	}
}
