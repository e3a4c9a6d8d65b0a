package routing

import (
	"fmt"
	"testing"
)

// A request that may have run is retried, rejected or failed according to the idempotency of its class.
func TestRetriesFollowIdempotency(t *testing.T) {
	for _, tc := range []struct {
		class   string
		outcome AttemptOutcome
		after   int64
		want    ActionKind
	}{
		{"unsafe", OutcomeError, 0, ActionFail},
		{"unsafe", OutcomeTimedOut, 0, ActionFail},
		{"unsafe", OutcomeConnectionRefused, 0, ActionSend},
		{"unsafe", OutcomeRejected, 0, ActionSend},
		{"keyed", OutcomeConnectionReset, 0, ActionSend},
		{"keyed", OutcomeTimedOut, 2 * sec, ActionReject},
		{"zoned", OutcomeError, 2 * sec, ActionFail},
		{"zoned", OutcomeError, 0, ActionSend},
		{"big", OutcomeConnectionReset, 0, ActionSend},
	} {
		t.Run(fmt.Sprintf("%s, %s after %d ms", tc.class, tc.outcome, tc.after/ms), func(t *testing.T) {
			engine := newTestEngine(t, testSettings(), 2, 1)
			first := engine.request(tc.class, "x")
			engine.now += tc.after
			next := engine.stepOne(outcomeEvent(first, 0, tc.outcome, CacheStatusUnknown))
			if next.Kind != tc.want {
				t.Errorf("action %s, want %s", next.Kind, tc.want)
			}
		})
	}
}

// A retry may wait for a connection at the router. Its SendWithin must not be longer than the rest of the deduplication
// window of a request with an idempotency key. Otherwise the request could run twice.
func TestRetryIsSentWithinDeduplicationWindow(t *testing.T) {
	for class, hasSideEffects := range map[string]bool{"keyed": true, "zoned": true, "unsafe": true, "big": false} {
		t.Run(class, func(t *testing.T) {
			engine := newTestEngine(t, testSettings(), 2, 1)
			first := engine.request(class, "x")
			timeout := 3 * sec // the timeout of requestEvent
			if first.HasSideEffects != hasSideEffects || first.SendWithin < timeout-ms || first.SendWithin > timeout {
				t.Errorf("HasSideEffects %v, SendWithin %d", first.HasSideEffects, first.SendWithin)
			}
			engine.now += sec
			want := min(2*sec, timeout) - sec
			if class == "big" {
				want = timeout - sec
			}
			retry := engine.stepOne(outcomeEvent(first, 0, OutcomeConnectionReset, CacheStatusUnknown))
			if retry.Kind == ActionSend && (retry.SendWithin > want || retry.SendWithin < want-400*ms) {
				t.Errorf("retry with SendWithin %d, want %d", retry.SendWithin, want)
			}
		})
	}
}
