package emulator

import (
	"testing"

	"spantack/core/rollout"
)

// Prices renewed under their names, while routers die and come back, clocks differ and caches are replaced: a cell that has the release never
// answers with an old copy, one that has not mostly does, and once it is taken back none answers with the release. At a router that has
// found harm itself the same holds from the document's time on.
func TestReleaseDuringFaults(t *testing.T) {
	for name, c := range map[string]struct {
		harm float64
		back string
		skew float64
	}{
		"good": {0, "", 0}, "clocks apart": {0, "", 1000}, "bad, refused": {0.5, "", 0}, "bad, served": {0.5, "serve", 0},
	} {
		cfg := smallConfig(11)
		cfg.DurationSeconds, cfg.MaxClockSkewMillis = 34, c.skew
		addCells(&cfg, 3)
		cfg.Faults = []Fault{{Kind: "router", Site: 0, Index: 1, AtSeconds: 18, DurationSeconds: 4}, {Kind: "deploy", Site: -1, AtSeconds: 20, DurationSeconds: 8, Fraction: 0.4}}
		cfg.Release = &Release{StartSeconds: 10, CatalogueFraction: 0.5, HarmfulFraction: c.harm, ReplacesObjects: true, RollbackSeconds: 27, Rollout: &rollout.Rollout{Version: 1, Name: "prices", FamilyRange: []int{255, 255},
			Since: 10_000 + c.skew, ReplacesObjects: true, OldCopyMaxAge: 300_000, OnRollback: c.back, RollbackAt: 28_000, Rings: []rollout.Ring{{Cells: []string{cfg.Cells.Cells[0].Name}, OpensAt: 12_000, JudgeWithin: 60_000}}}}
		w, err := New(cfg)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		r := w.Run()
		if r.ViolationCount() != 0 {
			t.Errorf("%s: %v", name, r.Violations)
		}
		if r.ReleaseAnswers < 20 || r.PendingAnswers < 300 || r.RolledBackAnswers < 100 || float64(r.EarlyAnswers) > 0.4*float64(r.PendingAnswers) {
			t.Errorf("%s: %d renewed, %d held of which %d early, %d restored", name, r.ReleaseAnswers, r.PendingAnswers, r.EarlyAnswers, r.RolledBackAnswers)
		}
		if r.RoutersStopped != len(w.routers) || (c.harm > 0) != (r.StoppedAtSeconds < 27) {
			t.Errorf("%s: stopped at %d routers, first after %.1f s", name, r.RoutersStopped, r.StoppedAtSeconds)
		}
	}
	cfg := smallConfig(11)
	addCells(&cfg, 3)
	cfg.Release = &Release{Rollout: &rollout.Rollout{ReplacesObjects: true}}
	if _, err := New(cfg); err == nil {
		t.Error("a stage of another kind than its release")
	}
}
