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

// faultyDay is a day on which much goes wrong.
func faultyDay(seed uint64) Config {
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

func TestCalmDay(t *testing.T) {
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

// One seed gives one result, to the byte, however many worlds run beside it.
func TestSameSeedSameResult(t *testing.T) {
	results := make([]string, 6)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() {
			w, err := New(faultyDay(3))
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
		if i == 2 { // the others run on one processor
			wg.Wait()
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
		}
	}
	wg.Wait()
	for _, r := range results {
		if r != results[0] {
			t.Fatalf("not the same:\n%s\n%s", results[0], r)
		}
	}
}

// Days with many faults cause no violation, and all operations are accounted for.
func TestFaultsCauseNoViolation(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := runWorld(t, faultyDay(seed))
			if r.LostWithRouter == 0 {
				t.Error("no request was at the router that died")
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

// sendTo is a router's action that sends an attempt to a server.
func sendTo(server string) routing.Action {
	return routing.Action{Kind: routing.ActionSend, Server: server, Timeout: second}
}

// The world's own checks find what they are there to find.
func TestViolationsAreCounted(t *testing.T) {
	w := newWorld(t, smallConfig(1))
	id := w.addCache(0, 1)
	w.now = second
	for i := 0; i < 10_000 && w.acceptsWarmUpLoad(id, 370, 0); i++ {
	}
	if w.result.Violations["cold server pushed over"] != 1 || w.servers[id].running {
		t.Errorf("a cold cache with ten thousand chunks: %v", w.result.Violations)
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
			t.Errorf("%s: counted %d times", violation, count)
		}
	}
}
