package emulator

import (
	"encoding/json"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"spantack/routing"
)

// faultyConfig returns a configuration with a flood and faults of routers, caches, a parent and a whole site.
func faultyConfig(seed uint64) Config {
	cfg := smallConfig(seed)
	addCells(&cfg, 3)
	cfg.Flood = &Flood{Tenant: 0, Factor: 8, Kind: FloodUnique, StartSeconds: 5, DurationSeconds: 4}
	cfg.Faults = []Fault{
		{Kind: FaultRouter, Site: 0, Index: 1, AtSeconds: 5, DurationSeconds: 3},
		{Kind: FaultCache, Site: 1, Index: 2, AtSeconds: 6, DurationSeconds: 2},
		{Kind: FaultParent, Index: 1, AtSeconds: 7, DurationSeconds: 2},
		{Kind: FaultDeploy, Site: 1, AtSeconds: 6, DurationSeconds: 5, Fraction: 0.5},
		{Kind: FaultSite, Site: 0, AtSeconds: 9, DurationSeconds: 1},
	}
	return cfg
}

// Guards against a world that serves requests late or not at all under normal load.
func TestNormalLoadIsServedInTime(t *testing.T) {
	start := time.Now()
	r := runWorld(t, smallConfig(1))
	sum := Tally{}
	for _, cell := range r.ByCell {
		sum.add(cell)
	}
	text, err := json.Marshal(r)
	if err != nil {
		t.Error(err)
	}
	t.Logf("%v for %d events: %s", time.Since(start), r.Events, text)
	if sum.TimelyRatio() < 0.9 || sum.Operations < 2000 {
		t.Errorf("timely ratio %.3f of %d operations", sum.TimelyRatio(), sum.Operations)
	}
}

// Guards against nondeterminism: the same seed must give the same result to the byte, with several worlds in parallel
// and on one processor.
func TestSameSeedSameResult(t *testing.T) {
	results := make([]string, 6)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() {
			w, err := New(faultyConfig(3))
			if err != nil {
				t.Error(err)
				return
			}
			r := w.Run()
			text, err := json.Marshal(r)
			if err != nil {
				t.Error(err)
			}
			results[i] = string(text) + fmt.Sprint(r.Seconds)
		})
		if i == 2 { // the remaining worlds run on one processor
			wg.Wait()
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
		}
	}
	wg.Wait()
	for _, r := range results {
		if r != results[0] {
			t.Fatalf("two runs with the same seed differ:\n%s\n%s", results[0], r)
		}
	}
}

// Guards against violations and lost operations during many faults.
func TestFaultsCauseNoViolation(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := runWorld(t, faultyConfig(seed))
			if r.LostWithRouter == 0 {
				t.Error("no request was lost at the crashed router")
			}
			all := r.OtherCells().Plus(r.NoisyCell())
			if ended := all.Served + all.Unserved; ended != all.Operations {
				t.Errorf("%d operations, %d ended", all.Operations, ended)
			}
			if all.TimelyRatio() < 0.5 {
				t.Errorf("timely ratio %.3f", all.TimelyRatio())
			}
		})
	}
}

// sendTo returns a router's action that sends an attempt to a server.
func sendTo(server string) routing.Action {
	return routing.Action{Kind: routing.ActionSend, Server: server, Timeout: second}
}

// Guards against checks for violations that detect nothing. The test causes violations on purpose and expects each to
// be counted once.
func TestViolationsAreCounted(t *testing.T) {
	w := newWorld(t, smallConfig(1))
	id := w.addCache(0, 1)
	w.now = second
	for i := 0; i < 10_000 && w.addWarmUpLoad(id, 370, 0); i++ {
	}
	if w.result.Violations["cold server pushed over"] != 1 || w.servers[id].running {
		t.Errorf("violations after an overload of a cold cache: %v", w.result.Violations)
	}
	requestID := allocate(&w.requests, &w.freeRequests)
	w.requests[requestID] = clientRequest{
		generation:    1,
		operation:     allocate(&w.operations, &w.freeOperations),
		attempt:       -1,
		attemptNumber: -1,
	}
	drained := &w.servers[w.cachesBySite[0][0]]
	other := &w.servers[w.cachesBySite[0][1]]
	drained.drainNoticeAt[0] = w.now - drainGracePeriod - 1
	w.sendAttempt(requestID, sendTo(drained.name))
	w.sendAttempt(requestID, sendTo(other.name))
	w.answerRequest(requestID, sendTo(""))
	w.answerRequest(requestID, sendTo(""))
	for _, violation := range []string{
		"sent to a drained server",
		"two attempts of a request out",
		"answered with an attempt out",
		"two answers to a request",
	} {
		if count := w.result.Violations[violation]; count != 1 {
			t.Errorf("%s: counted %d times, want 1", violation, count)
		}
	}
}
