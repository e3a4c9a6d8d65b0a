package emulator

import (
	"testing"

	"spantack/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// smallConfig returns the configuration of a world of two sites that takes a second or two of real time to run.
func smallConfig(seed uint64) Config {
	return Config{
		Seed:                   seed,
		Sites:                  2,
		RoutersPerSite:         2,
		CachesPerSite:          12,
		Parents:                2,
		Tenants:                40,
		Objects:                10,
		StreamsPerCache:        6,
		RequestsPerSecond:      300,
		TenantSkew:             0.8,
		ObjectSkew:             1.1,
		OneTimeFraction:        0.06,
		PopularityDriftSeconds: 4,
		CacheRetentionSeconds:  40,
		SiteLinkCapacityFactor: 1.35,
		ParentCapacityFactor:   1.35,
		OriginCapacityFactor:   2,
		MissRatio:              0.35,
		RouterCPUMicros:        150,
		WarmUpSeconds:          4,
		DurationSeconds:        8,
	}
}

// addCells assigns the tenants of a world to cells as PlanCells does.
func addCells(cfg *Config, count int) {
	cfg.Cells, cfg.CellByTenant = PlanCells(cfg, count)
}

func newWorld(t testing.TB, cfg Config) *World {
	t.Helper()
	w, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// runWorld runs a world and fails the test if there is any violation.
func runWorld(t testing.TB, cfg Config) Result {
	t.Helper()
	r := newWorld(t, cfg).Run()
	checkNoViolation(t, &r)
	return r
}

func checkNoViolation(t testing.TB, r *Result) {
	t.Helper()
	if r.ViolationCount() != 0 {
		t.Errorf("violations: %v", r.Violations)
	}
}
