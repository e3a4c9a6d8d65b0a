package routing

import (
	"fmt"
	"testing"
)

// An attempt at a server that answers no requests is canceled and retried.
func TestAttemptAtUnresponsiveCacheIsCanceled(t *testing.T) {
	engine := newTestEngine(t, testSettings(), 2, 1)
	token := engine.requestWithTimer(requestEvent("q", "small", "x"))
	engine.now += 2900 * ms // more than four latency objectives of a request of class small
	action := engine.stepOne(Event{Kind: EventTimer, TimerToken: token})
	if action.Kind != ActionCancel || action.RequestID != "q" {
		t.Fatalf("without any response: %+v, want a cancellation", action)
	}
	retry := engine.stepOne(Event{Kind: EventOutcome, RequestID: "q", Outcome: OutcomeCanceled})
	if retry.Kind != ActionSend {
		t.Errorf("after the cancellation: %+v, want a retry", retry)
	}
}

// requestWithTimer passes a request to the engine and returns the token of the timer that checks its first attempt.
func (engine *testEngine) requestWithTimer(request Event) (token int64) {
	for _, action := range engine.Step(engine.now, []Event{request}) {
		if action.Kind == ActionSetTimer {
			token = action.TimerToken
		}
	}
	return token
}

// An attempt whose response is lost must be canceled once the response is later than almost all others. Otherwise the
// attempt uses up the time of its request. A retry usually finds the object at the same cache. Without responses to
// other requests, as under overload, or without cancel budget, the attempt is not canceled.
func TestLostResponseIsCanceled(t *testing.T) {
	for _, tc := range []struct {
		others int
		budget float64
		want   bool
	}{{lostMinAnswers, 1, true}, {lostMinAnswers - 1, 1, false}, {lostMinAnswers, 0.5, false}} {
		t.Run(fmt.Sprintf("%d others, budget %v", tc.others, tc.budget), func(t *testing.T) {
			engine := newTestEngine(t, testSettings(), 1, 1)
			engine.tailMultiple[1] = 2
			request := requestEvent("lost", "small", "x")
			request.SizeKB = 50
			token := engine.requestWithTimer(request)
			for i := range tc.others {
				engine.step(outcomeEvent(engine.request("small", fmt.Sprint(i)), 0, OutcomeServed, CacheHit))
			}
			engine.cancelBudget = tc.budget
			engine.now += int64(lostTailMultiple*2*(50+baseObjectiveShare*300))*ms + ms
			actions := engine.step(Event{Kind: EventTimer, TimerToken: token})
			if got := len(actions) == 1 && actions[0].Kind == ActionCancel; got != tc.want {
				t.Errorf("%d other responses, budget %v: unexpected actions %+v", tc.others, tc.budget, actions)
			}
			if !tc.want {
				return
			}
			canceled := Event{Kind: EventOutcome, RequestID: "lost", Outcome: OutcomeCanceled, Server: "c0"}
			canceled.ResponseTime = 400 * ms
			retry := engine.stepOne(canceled)
			if retry.Kind != ActionSend || retry.Server != "c0" || retry.Source != "c0" {
				t.Errorf("after the cancellation: %+v, want an attempt at the same cache", retry)
			}
			cache, parent := engine.servers["c0"], engine.servers["p0"]
			if cache.breaker.outcomeCount != tc.others || parent.breaker.outcomeCount != 0 {
				t.Error("a single lost response was charged to a server")
			}
		})
	}
}
