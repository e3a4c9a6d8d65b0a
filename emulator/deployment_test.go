package emulator

import (
	"fmt"
	"testing"
)

// customDeploymentConfig returns a configuration in which each field of Deployment is set, with a purge, a router crash
// and a brownout of the origin.
func customDeploymentConfig(seed uint64) Config {
	cfg := smallConfig(seed)
	cfg.MissRatio = 0.5
	cfg.OriginCapacityFactor = 3
	cfg.DurationSeconds = 16
	cfg.Deployment = &Deployment{
		CachesOnly:             true,
		FetchesSeparately:      true,
		ReportsLinkLoad:        true,
		OriginDelayMillis:      50,
		FreshSeconds:           5,
		StaleGraceSeconds:      30,
		LatencyObjectiveMillis: 300,
	}
	cfg.Faults = []Fault{
		{Kind: FaultPurge, AtSeconds: 8, Fraction: 0.5},
		{Kind: FaultRouter, AtSeconds: 8.2, DurationSeconds: 2},
		{Kind: FaultBrownout, AtSeconds: 8, DurationSeconds: 4, Fraction: 0.4},
	}
	return cfg
}

// Guards against responses from purged copies. Half of all groups are purged while a router is down and the origin is
// slow. That router misses the notice and must not serve purged copies after its restart either.
func TestPurgedCopiesAreNotServed(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runWorld(t, customDeploymentConfig(seed)) })
	}
	t.Run("missed notice is counted", func(t *testing.T) { // shows that the check detects purged copies
		w := newWorld(t, customDeploymentConfig(1))
		w.purges = []purge{{startedAt: 6 * second, fraction: 1}}
		w.routers[0].purgeDeadlines = []purgeDeadline{{0, 6 * second}}
		if r := w.Run(); r.Violations["an answer from a purged copy"] == 0 {
			t.Error("no violation counted for a router that missed the purge notice")
		}
	})
}

// Guards against lost or late requests in a deployment where routers may use only edge caches. Routers send nothing
// directly to parents or the origin. Reports reach the origin through an edge cache, which does not store them. Without
// faults nearly all requests are served in time although the origin is far away.
func TestCachesOnlyDeploymentServesInTime(t *testing.T) {
	cfg := customDeploymentConfig(2)
	cfg.Faults = nil
	r := runWorld(t, cfg)
	for class, c := range r.ByClass {
		if c.Rejected > c.Operations/50 || c.TimelyWeight < 0.97*c.OfferedWeight {
			t.Errorf("class %d: more than 2%% rejected or less than 97%% of the weight served in time: %+v", class, c)
		}
	}
	cfg.Deployment.OriginDelayMillis = -1
	if _, err := New(cfg); err == nil {
		t.Error("New accepted an origin delay of -1 ms")
	}
}
