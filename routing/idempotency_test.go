package routing

import (
	"fmt"
	"testing"
)

// What follows an attempt that may have run depends on the class's idempotency.
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

// A retry of a keyed request may wait for a connection: it says until when it may be sent.
func TestRetrySaysUntilWhenItMayBeSent(t *testing.T) {
	for class, hasSideEffects := range map[string]bool{"keyed": true, "zoned": true, "unsafe": true, "big": false} {
		t.Run(class, func(t *testing.T) {
			engine := newTestEngine(t, testSettings(), 2, 1)
			first := engine.request(class, "x")
			left := 3 * sec // as the clients of requestEvent wait
			if first.HasSideEffects != hasSideEffects || first.SendWithin < left-ms || first.SendWithin > left {
				t.Errorf("effects %v, may be sent within %d", first.HasSideEffects, first.SendWithin)
			}
			engine.now += sec
			want := min(2*sec, left) - sec
			if class == "big" {
				want = left - sec
			}
			retry := engine.stepOne(outcomeEvent(first, 0, OutcomeConnectionReset, CacheStatusUnknown))
			if retry.Kind == ActionSend && (retry.SendWithin > want || retry.SendWithin < want-400*ms) {
				t.Errorf("the retry may be sent within %d of %d", retry.SendWithin, want)
			}
		})
	}
}
