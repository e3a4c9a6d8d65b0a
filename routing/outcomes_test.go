package routing

import "testing"

// After a failed fill, an attempt at the same cache accepts any cached copy. If that fails, the request is rejected.
func TestFailedFillTriesCachedCopyThenRejects(t *testing.T) {
	settings := testSettings()
	settings.Permissions.MaxAttempts = 2
	engine := newTestEngine(t, settings, 3, 2)
	first := engine.request("small", "x")
	second := engine.stepOne(outcomeEvent(first, 0, OutcomeError, SourceUnreachable))
	if second.Server != first.Server || second.Source != first.Server || second.MaxAge != 30*sec {
		t.Fatalf("after the failed fill: %+v, want any cached copy of the same cache", second)
	}
	last := engine.stepOne(outcomeEvent(second, 1, OutcomeMiss, CacheStatusUnknown))
	if last.Kind != ActionReject || last.RetryAfter <= 0 || last.RetryAfter > 2*sec {
		t.Errorf("after the miss: %+v, want a rejection", last)
	}
}

// If an edge cache is at its fill limit, the request must not be retried at other caches. Such retries would keep all
// caches at their limits.
func TestRequestIsNotRetriedElsewhereAtFillLimit(t *testing.T) {
	engine := newTestEngine(t, testSettings(), 3, 2)
	first := engine.request("small", "x")
	second := engine.stepOne(outcomeEvent(first, 0, OutcomeRejected, FillLimitReached))
	if second.Server != first.Server || second.Source != first.Server {
		t.Fatalf("after a fill rejected at the fill limit: %+v, want any cached copy of the same cache", second)
	}
	last := engine.stepOne(outcomeEvent(second, 1, OutcomeMiss, CacheStatusUnknown))
	if last.Kind != ActionReject {
		t.Errorf("after a miss for any cached copy: %+v, want a rejection", last)
	}
}
