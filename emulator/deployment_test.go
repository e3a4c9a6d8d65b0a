package emulator

import (
	"fmt"
	"testing"
)

// secondDeployment is a deployment unlike the first, on a day with a purge, a router that dies and a brownout.
func secondDeployment(seed uint64) Config {
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

// Half of all groups are purged while a router is dead and the origin slow: nobody is served from an old copy, not by
// the router that comes back either.
func TestPurgedCopiesAreNotServed(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runWorld(t, secondDeployment(seed)) })
	}
	t.Run("a router without notice", func(t *testing.T) { // shows that the check can fail
		w := newWorld(t, secondDeployment(1))
		w.purges = []purge{{startedAt: 6 * second, fraction: 1}}
		w.routers[0].purgeDeadlines = []purgeDeadline{{0, 6 * second}}
		if r := w.Run(); r.Violations["an answer from a purged copy"] == 0 {
			t.Error("the router serves no old copy, or the check sees none")
		}
	})
}

// Where requests may go to edge caches alone, reports run at the origin by way of a cache and leave nothing there, and
// nothing goes to parents or the origin directly. On a calm day all is served in time though the origin is far.
func TestCachesOnly(t *testing.T) {
	cfg := secondDeployment(2)
	cfg.Faults = nil
	r := runWorld(t, cfg)
	for class, c := range r.ByClass {
		if c.Rejected > c.Operations/50 || c.TimelyWeight < 0.97*c.OfferedWeight {
			t.Errorf("class %d: %+v", class, c)
		}
	}
	cfg.Deployment.OriginDelayMillis = -1
	if _, err := New(cfg); err == nil {
		t.Error("a delay of -1 ms is valid")
	}
}
