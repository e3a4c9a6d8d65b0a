package routing

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

// engineWithHistory is a router that has met good answers, a failing cache, late fills and a cold cache.
func engineWithHistory(t *testing.T, seed uint64) (*Engine, []Endpoint, int64) {
	t.Helper()
	set := baseSettings()
	set.Guarantees = Guarantees{WarmUpTime: 16_000_000, InitialCapacity: 0.18, OverloadWindow: 3_000_000, OverloadMultiple: 3}
	r, err := NewEngine(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := int64(1_000_000_000)
	rows := []Endpoint{{Server: "o", Zone: "east", Kind: "origin", Status: "healthy", Weight: 4}, {Server: "cold", Zone: "east", Kind: "box", Status: "healthy",
		Weight: 4, StartedAt: now - 1_000_000}}
	for _, name := range []string{"a", "b", "bad"} {
		rows = append(rows, Endpoint{Server: name, Zone: "east", Kind: "box", Status: "healthy", Weight: 4})
	}
	r.Step(now, []Event{{Kind: EventEndpoints, UpdateMode: "replace", Endpoints: rows}})
	r.servers["a"].concurrencyLimit = 41 // as a busier day would have taught
	rng := rand.New(rand.NewPCG(seed, 0))
	for i := range 400 {
		now += 2000
		call := fmt.Sprint(i)
		acts := r.Step(now, []Event{{Kind: EventRequest, RequestID: call, Class: "video", Object: fmt.Sprint(rng.IntN(30)), SizeKB: 200, Timeout: 6_000_000}})
		for try := 0; ; try++ {
			var get *Action
			for j := range acts {
				if acts[j].RequestID == call && acts[j].Kind == ActionSend {
					get = &acts[j]
				}
			}
			if get == nil {
				break
			}
			end := Event{Kind: EventOutcome, RequestID: call, Attempt: try, Server: get.Server, Outcome: OutcomeServed, IsFinal: true, CacheStatus: CacheStatus(1 + rng.IntN(3)), ResponseTime: 100_000}
			if get.Server == "bad" {
				end.Outcome, end.IsFinal, end.CacheStatus = OutcomeConnectionReset, false, 0
			}
			acts = r.Step(now, []Event{end})
		}
	}
	return r, rows, now
}

// What a process leaves, through JSON, is what its successor believes, and it acts by it: the cache that fails is left
// alone, the cold one has had its part, limits are not learnt anew.
func TestBeliefsHandedOn(t *testing.T) {
	for seed := range uint64(20) {
		old, rows, now := engineWithHistory(t, seed)
		text, err := json.Marshal(old.LearnedState(now))
		if err != nil {
			t.Fatal(err)
		}
		var left LearnedState
		if err := json.Unmarshal(text, &left); err != nil {
			t.Fatal(err)
		}
		next, err := NewEngine(old.settings, 2)
		if err != nil {
			t.Fatal(err)
		}
		next.Step(now, []Event{{Kind: EventEndpoints, UpdateMode: "replace", Endpoints: rows}})
		if err := next.RestoreLearnedState(now, left); err != nil {
			t.Fatal(err)
		}
		if got := next.LearnedState(now); !reflect.DeepEqual(got, left) {
			t.Fatalf("seed %d: left %+v\nbelieved %+v", seed, left, got)
		}
		if !old.servers["bad"].breaker.isOpen(now) || next.servers["a"].concurrencyLimit != 41 {
			t.Fatalf("seed %d: the day showed nothing", seed)
		}
		spent := 0.0
		for _, s := range next.servers["cold"].coldSends {
			spent += s.work
		}
		if spent == 0 {
			t.Errorf("seed %d: what the cold cache was sent is forgotten", seed)
		}
		for i := range 50 {
			acts := next.Step(now, []Event{{Kind: EventRequest, RequestID: fmt.Sprint(i), Class: "video", Object: fmt.Sprint(i), SizeKB: 1, Timeout: 6_000_000}})
			if acts[0].Server == "bad" {
				t.Errorf("seed %d: sent to the cache that fails", seed)
			}
		}
	}
}

// Nothing is believed of a process that started anew, and nothing of what can't be.
func TestBeliefsRefused(t *testing.T) {
	old, rows, now := engineWithHistory(t, 1)
	good := old.LearnedState(now)
	for i := range rows {
		if rows[i].Server == "bad" {
			rows[i].StartedAt = now
		}
	}
	next, err := NewEngine(old.settings, 2)
	if err != nil {
		t.Fatal(err)
	}
	next.Step(now, []Event{{Kind: EventEndpoints, UpdateMode: "replace", Endpoints: rows}})
	fresh := next.LearnedState(now)
	for want, spoil := range map[string]func(*LearnedState){
		"us ago":           func(b *LearnedState) { b.TakenAt -= maxLearnedStateAge + 1 },
		"Peak":             func(b *LearnedState) { b.PeakWorkRates = nil },
		"Nodes[0].Limit":   func(b *LearnedState) { b.Servers[0].ConcurrencyLimit = -1 },
		"Nodes[1].Until":   func(b *LearnedState) { b.Servers[1].BreakerOpenUntil = now + maxBreakerOpenAhead + 1 },
		"Until or Next":    func(b *LearnedState) { b.Servers[1].NextOutcome = -1 },
		"Weights":          func(b *LearnedState) { b.Servers[2].OutcomeWeights[3] = -1 },
		"Spent: Work":      func(b *LearnedState) { b.Servers[2].ColdSends = []ColdSend{{now, 1e300}} },
		"ahead":            func(b *LearnedState) { b.Servers[2].LimitReducedAt = now + maxLearnedStateAge + 1 },
		"Behind":           func(b *LearnedState) { b.OriginFills.ConcurrencyLimit = -1 },
		"Classes[1]":       func(b *LearnedState) { b.Classes[1].TailMultiple = 0 },
		`Recent["object"]`: func(b *LearnedState) { b.RecentRequests = map[string]int{"object": -1} },
	} {
		text, err := json.Marshal(good)
		if err != nil {
			t.Fatal(err)
		}
		var b LearnedState
		if err := json.Unmarshal(text, &b); err != nil {
			t.Fatal(err)
		}
		spoil(&b)
		if err := next.RestoreLearnedState(now, b); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
		if got := next.LearnedState(now); !reflect.DeepEqual(got, fresh) {
			t.Errorf("%s: changed something", want)
		}
	}
	if err := next.RestoreLearnedState(now, good); err != nil {
		t.Fatal(err)
	}
	if n := next.servers["bad"]; n.breaker.openUntil != 0 || n.concurrencyLimit != initialLimit+initialLimitExtra {
		t.Errorf("of a new process: breaker until %d, limit %v", n.breaker.openUntil, n.concurrencyLimit)
	}
}
