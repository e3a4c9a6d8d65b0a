package emulator

import (
	"encoding/json"
	"testing"
	"time"
)

// small is a world of two depots that plays a day in a second or two.
func small(seed uint64) Config {
	return Config{Seed: seed, Depots: 2, Routers: 2, Caches: 12, Parents: 2, Tenants: 40, Objects: 10, Channels: 6, RateS: 300, TenantSkew: 0.8,
		ObjectSkew: 1.1, OnceShare: 0.06, DriftS: 4, KeepS: 40, LinkRoom: 1.35, ParentRoom: 1.35, OriginRoom: 2, MissShare: 0.35, RouterUs: 150,
		WarmS: 4, DayS: 8}
}

// confine puts the tenants of a world into cells, as the planner does by their shares.
func confine(cfg *Config, n int) {
	spec, group := Spec(cfg, n)
	cfg.Cells, cfg.Group = spec, group
}

func play(t testing.TB, cfg Config) Result {
	t.Helper()
	w, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return w.Run()
}

func TestCalmDay(t *testing.T) {
	cfg := small(1)
	began := time.Now()
	r := play(t, cfg)
	if r.BrokenRules() != 0 {
		t.Errorf("broken rules: %v", r.Broken)
	}
	sum := Tally{}
	for _, g := range r.Groups {
		sum.add(g)
	}
	out, _ := json.Marshal(r)
	t.Logf("%v for %d events: %s", time.Since(began), r.Events, out)
	if sum.Share() < 0.9 || sum.Asked < 2000 {
		t.Errorf("timely share %.3f of %d wishes", sum.Share(), sum.Asked)
	}
}
