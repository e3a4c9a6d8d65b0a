package routing

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

// engineWithHistory returns an engine with learned state from successful responses, a failing cache and a cold cache.
// It also returns the endpoint list and the present time.
func engineWithHistory(t *testing.T, seed uint64) (*Engine, []Endpoint, int64) {
	t.Helper()
	settings := settingsWithoutParents()
	settings.Guarantees = Guarantees{
		WarmUpTime:       16_000_000,
		InitialCapacity:  0.18,
		OverloadWindow:   3_000_000,
		OverloadMultiple: 3,
	}
	engine, err := NewEngine(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := int64(1_000_000_000)
	list := []Endpoint{
		{Server: "o", Zone: "east", Kind: "origin", Status: EndpointHealthy, Weight: 4},
		{Server: "cold", Zone: "east", Kind: "box", Status: EndpointHealthy, Weight: 4, StartedAt: now - 1_000_000},
	}
	for _, name := range []string{"a", "b", "bad"} {
		list = append(list, Endpoint{Server: name, Zone: "east", Kind: "box", Status: EndpointHealthy, Weight: 4})
	}
	engine.Step(now, []Event{{Kind: EventEndpoints, UpdateMode: UpdateReplace, Endpoints: list}})
	engine.servers["a"].concurrencyLimit = 41 // a value that differs from the initial limit
	rng := rand.New(rand.NewPCG(seed, 0))
	for i := range 400 {
		now += 2000
		id := fmt.Sprint(i)
		request := videoRequest(id, fmt.Sprint(rng.IntN(30)), 200)
		actions := engine.Step(now, []Event{request})
		for attempt := 0; ; attempt++ {
			var send *Action
			for j := range actions {
				if actions[j].RequestID == id && actions[j].Kind == ActionSend {
					send = &actions[j]
				}
			}
			if send == nil {
				break
			}
			status := CacheStatus(1 + rng.IntN(3))
			ended := outcomeEvent(*send, attempt, OutcomeServed, status)
			if send.Server == "bad" {
				ended = outcomeEvent(*send, attempt, OutcomeConnectionReset, CacheStatusUnknown)
			}
			ended.ResponseTime = 100_000
			actions = engine.Step(now, []Event{ended})
		}
	}
	return engine, list, now
}

// videoRequest returns a request of class video.
func videoRequest(id, object string, sizeKB float64) Event {
	request := requestEvent(id, "video", object)
	request.SizeKB = sizeKB
	request.Timeout = 6_000_000
	return request
}

// roundTripJSON returns the state after encoding it to JSON and decoding it again.
func roundTripJSON(t *testing.T, state LearnedState) (decoded LearnedState) {
	t.Helper()
	text, err := json.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &decoded); err != nil {
		t.Fatal(err)
	}
	return decoded
}

// The learned state of a process, restored from JSON, is in effect in its replacement: the failing cache stays ejected,
// the record of the work sent to the cold cache is restored, and limits are kept.
func TestLearnedStateIsHandedOver(t *testing.T) {
	for seed := range uint64(20) {
		old, list, now := engineWithHistory(t, seed)
		saved := roundTripJSON(t, old.LearnedState(now))
		next, err := NewEngine(old.settings, 2)
		if err != nil {
			t.Fatal(err)
		}
		next.Step(now, []Event{{Kind: EventEndpoints, UpdateMode: UpdateReplace, Endpoints: list}})
		if err := next.RestoreLearnedState(now, saved); err != nil {
			t.Fatal(err)
		}
		if got := next.LearnedState(now); !reflect.DeepEqual(got, saved) {
			t.Fatalf("seed %d: saved %+v\nrestored %+v", seed, saved, got)
		}
		if !old.servers["bad"].breaker.isOpen(now) || next.servers["a"].concurrencyLimit != 41 {
			t.Fatalf("seed %d: breaker of the failing cache not open, or limit not restored", seed)
		}
		sent := 0.0
		for _, send := range next.servers["cold"].coldSends {
			sent += send.work
		}
		if sent == 0 {
			t.Errorf("seed %d: the work sent to the cold cache was not restored", seed)
		}
		for i := range 50 {
			actions := next.Step(now, []Event{videoRequest(fmt.Sprint(i), fmt.Sprint(i), 1)})
			if actions[0].Server == "bad" {
				t.Errorf("seed %d: request sent to the failing cache", seed)
			}
		}
	}
}

// A state with an implausible value is rejected as a whole. The state of a server that has restarted is ignored.
func TestImplausibleLearnedStateIsRejected(t *testing.T) {
	old, list, now := engineWithHistory(t, 1)
	good := old.LearnedState(now)
	for i := range list {
		if list[i].Server == "bad" {
			list[i].StartedAt = now
		}
	}
	next, err := NewEngine(old.settings, 2)
	if err != nil {
		t.Fatal(err)
	}
	next.Step(now, []Event{{Kind: EventEndpoints, UpdateMode: UpdateReplace, Endpoints: list}})
	fresh := next.LearnedState(now)
	for want, corrupt := range map[string]func(*LearnedState){
		"has an age of":    func(s *LearnedState) { s.TakenAt -= maxLearnedStateAge + 1 },
		"Peak":             func(s *LearnedState) { s.PeakWorkRates = nil },
		"Nodes[0].Limit":   func(s *LearnedState) { s.Servers[0].ConcurrencyLimit = -1 },
		"Nodes[1].Until":   func(s *LearnedState) { s.Servers[1].BreakerOpenUntil = now + maxBreakerOpenAhead + 1 },
		"Until or Next":    func(s *LearnedState) { s.Servers[1].NextOutcome = -1 },
		"Weights":          func(s *LearnedState) { s.Servers[2].OutcomeWeights[3] = -1 },
		"Spent: Work":      func(s *LearnedState) { s.Servers[2].ColdSends = []ColdSend{{now, 1e300}} },
		"ahead":            func(s *LearnedState) { s.Servers[2].LimitReducedAt = now + maxLearnedStateAge + 1 },
		"Behind":           func(s *LearnedState) { s.OriginFills.ConcurrencyLimit = -1 },
		"Classes[1]":       func(s *LearnedState) { s.Classes[1].TailMultiple = 0 },
		`Recent["object"]`: func(s *LearnedState) { s.RecentRequests = map[string]int{"object": -1} },
	} {
		t.Run(want, func(t *testing.T) {
			state := roundTripJSON(t, good)
			corrupt(&state)
			err := next.RestoreLearnedState(now, state)
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("error %v, want one that names the value", err)
			}
			var stateError *LearnedStateError
			if isOld := errors.Is(err, ErrLearnedStateAge); isOld == errors.As(err, &stateError) {
				t.Errorf("%T: %v, want either ErrLearnedStateAge or a *LearnedStateError", err, err)
			}
			if got := next.LearnedState(now); !reflect.DeepEqual(got, fresh) {
				t.Error("rejected state changed the engine")
			}
		})
	}
	if err := next.RestoreLearnedState(now, good); err != nil {
		t.Fatal(err)
	}
	srv := next.servers["bad"]
	if srv.breaker.openUntil != 0 || srv.concurrencyLimit != initialLimit+initialLimitMargin {
		t.Errorf("restarted server: breaker open until %d, limit %v", srv.breaker.openUntil, srv.concurrencyLimit)
	}
}
