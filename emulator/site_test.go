package emulator

import "testing"

func secondDeployment(seed uint64) Config {
	cfg := smallConfig(seed)
	cfg.MissRatio, cfg.OriginCapacityFactor, cfg.DurationSeconds = 0.5, 3, 16
	cfg.Deployment = &Deployment{CachesOnly: true, FetchesSeparately: true, ReportsLinkLoad: true, OriginDelayMillis: 50, FreshSeconds: 5, StaleGraceSeconds: 30, LatencyObjectiveMillis: 300}
	cfg.Faults = []Fault{{Kind: "purge", AtSeconds: 8, Fraction: 0.5}, {Kind: "router", AtSeconds: 8.2, DurationSeconds: 2}, {Kind: "brownout", AtSeconds: 8, DurationSeconds: 4, Fraction: 0.4}}
	return cfg
}

// Half of all groups are purged while a router is away and the head office slow: nobody is served from an old copy, by the router that comes
// back neither. A router that does not hear of the purge shows that the check can fail.
func TestPurgedCopiesAreNotServed(t *testing.T) {
	for seed := range uint64(3) {
		w, err := New(secondDeployment(seed))
		if err != nil {
			t.Fatal(err)
		}
		if r := w.Run(); r.ViolationCount() > 0 {
			t.Errorf("seed %d: %v", seed, r.Violations)
		}
	}
	w, err := New(secondDeployment(1))
	if err != nil {
		t.Fatal(err)
	}
	w.purges = []purge{{startedAt: 6 * second, fraction: 1}}
	w.routers[0].purgeDeadlines = []purgeDeadline{{0, 6 * second}}
	if r := w.Run(); r.Violations["an answer from a purged copy"] == 0 {
		t.Error("a router that was told nothing serves no old copy, or the check sees none")
	}
}

// Where requests may go to caches alone, reports run at the head office by way of a cache and leave nothing there; and nothing goes
// straight. On a calm day all is served in time though the head office is far.
func TestCachesOnly(t *testing.T) {
	cfg := secondDeployment(2)
	cfg.Faults = nil
	w, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	r := w.Run()
	for class, c := range r.ByClass {
		if r.ViolationCount() > 0 || c.Rejected > c.Operations/50 || c.TimelyWeight < 0.97*c.OfferedWeight {
			t.Errorf("%v, class %d %+v", r.Violations, class, c)
		}
	}
	cfg.Deployment.OriginDelayMillis = -1
	if _, err := New(cfg); err == nil {
		t.Error("a way of -1 ms")
	}
}
