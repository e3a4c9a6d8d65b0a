package scale

import "testing"

// Guards against a simulation in which requests do not go to the caches. In steady state caches serve all requests.
// They serve fewer while most caches are lost but still listed as endpoints, because a request has only six attempts.
func TestDecisionsPickCaches(t *testing.T) {
	result := run(t, "decisions", Options{Routers: 1_000, Seed: 2})
	expectMetrics(t, result, map[string]float64{"served_on_ordinary_day": 1, "served_in_all": 0.9})
}
