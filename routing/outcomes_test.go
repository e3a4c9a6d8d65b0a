package routing

import "testing"

// After a failed fill the same cache is asked for any cached copy, then the request is rejected.
func TestFailedFillTriesCachedCopyThenRejects(t *testing.T) {
	settings := testSettings()
	settings.Permissions.MaxAttempts = 2
	engine := newTestEngine(t, settings, 3, 2)
	first := engine.request("small", "x")
	second := engine.stepOne(outcomeEvent(first, 0, OutcomeError, SourceUnreachable))
	if second.Server != first.Server || second.Source != first.Server || second.MaxAge != 30*sec {
		t.Fatalf("second attempt %+v", second)
	}
	last := engine.stepOne(outcomeEvent(second, 1, OutcomeMiss, CacheStatusUnknown))
	if last.Kind != ActionReject || last.RetryAfter <= 0 || last.RetryAfter > 2*sec {
		t.Errorf("after the miss %+v", last)
	}
}

// Caches with no place for a fill were tried one after another, a storm that kept them full.
func TestExhaustedFillsAreNotRetriedElsewhere(t *testing.T) {
	engine := newTestEngine(t, testSettings(), 3, 2)
	first := engine.request("small", "x")
	second := engine.stepOne(outcomeEvent(first, 0, OutcomeRejected, FillsExhausted))
	if second.Server != first.Server || second.Source != first.Server {
		t.Fatalf("after no place for a fill %+v", second)
	}
	last := engine.stepOne(outcomeEvent(second, 1, OutcomeMiss, CacheStatusUnknown))
	if last.Kind != ActionReject {
		t.Errorf("after the cached copy missed %+v", last)
	}
}
