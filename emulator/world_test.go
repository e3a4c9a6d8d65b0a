package emulator

import (
	"encoding/json"
	"testing"
	"time"
)

// smallConfig is a world of two depots that plays a day in a second or two.
func smallConfig(seed uint64) Config {
	return Config{Seed: seed, Sites: 2, RoutersPerSite: 2, CachesPerSite: 12, Parents: 2, Tenants: 40, Objects: 10, StreamsPerCache: 6, RequestsPerSecond: 300, TenantSkew: 0.8,
		ObjectSkew: 1.1, OneTimeFraction: 0.06, PopularityDriftSeconds: 4, CacheRetentionSeconds: 40, SiteLinkCapacityFactor: 1.35, ParentCapacityFactor: 1.35, OriginCapacityFactor: 2, MissRatio: 0.35, RouterCPUMicros: 150,
		WarmUpSeconds: 4, DurationSeconds: 8}
}

// addCells puts the tenants of a world into cells, as the planner does by their shares.
func addCells(cfg *Config, n int) {
	spec, group := PlanCells(cfg, n)
	cfg.Cells, cfg.CellByTenant = spec, group
}

func runWorld(t testing.TB, cfg Config) Result {
	t.Helper()
	w, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return w.Run()
}

func TestCalmDay(t *testing.T) {
	cfg := smallConfig(1)
	began := time.Now()
	r := runWorld(t, cfg)
	if r.ViolationCount() != 0 {
		t.Errorf("broken rules: %v", r.Violations)
	}
	sum := Tally{}
	for _, g := range r.ByCell {
		sum.add(g)
	}
	out, _ := json.Marshal(r)
	t.Logf("%v for %d events: %s", time.Since(began), r.Events, out)
	if sum.TimelyRatio() < 0.9 || sum.Operations < 2000 {
		t.Errorf("timely share %.3f of %d wishes", sum.TimelyRatio(), sum.Operations)
	}
}
