package scale

import "testing"

// Decisions are made among the caches: in steady state all requests are served by them. Fewer are while most caches are
// lost and the endpoint list does not say so yet, as a request has six attempts.
func TestDecisionsPickCaches(t *testing.T) {
	result := run(t, "decisions", Options{Routers: 1_000, Seed: 2})
	expectMetrics(t, result, map[string]float64{"served_on_ordinary_day": 1, "served_in_all": 0.9})
}
