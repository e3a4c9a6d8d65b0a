package emulator

import (
	"testing"

	"spantack/core/rollout"
)

// Prices renewed under their names, while routers die and come back, clocks differ and caches are replaced: a cell that has the release never
// answers with an old copy, one that has not mostly does, and once it is taken back none answers with the release. At a router that has
// found harm itself the same holds from the document's time on.
func TestRenewedPricesThroughTrouble(t *testing.T) {
	for name, c := range map[string]struct {
		harm float64
		back string
		skew float64
	}{
		"good": {0, "", 0}, "clocks apart": {0, "", 1000}, "bad, refused": {0.5, "", 0}, "bad, served": {0.5, "serve", 0},
	} {
		cfg := small(11)
		cfg.DayS, cfg.SkewMs = 34, c.skew
		confine(&cfg, 3)
		cfg.Faults = []Fault{{Kind: "router", Depot: 0, Which: 1, AtS: 18, ForS: 4}, {Kind: "deploy", Depot: -1, AtS: 20, ForS: 8, Part: 0.4}}
		cfg.Release = &Release{FromS: 10, Part: 0.5, Harm: c.harm, Renews: true, BackS: 27, Stage: &rollout.Rollout{Version: 1, Name: "prices", FamilyRange: []int{255, 255},
			Since: 10_000 + c.skew, ReplacesObjects: true, OldCopyMaxAge: 300_000, OnRollback: c.back, RollbackAt: 28_000, Rings: []rollout.Ring{{Cells: []string{cfg.Cells.Cells[0].Name}, OpensAt: 12_000, JudgeWithin: 60_000}}}}
		w, err := New(cfg)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		r := w.Run()
		if r.BrokenRules() != 0 {
			t.Errorf("%s: %v", name, r.Broken)
		}
		if r.Renewed < 20 || r.Held < 300 || r.Restored < 100 || float64(r.Early) > 0.4*float64(r.Held) {
			t.Errorf("%s: %d renewed, %d held of which %d early, %d restored", name, r.Renewed, r.Held, r.Early, r.Restored)
		}
		if r.Stopped != len(w.routers) || (c.harm > 0) != (r.StoppedS < 27) {
			t.Errorf("%s: stopped at %d routers, first after %.1f s", name, r.Stopped, r.StoppedS)
		}
	}
	cfg := small(11)
	confine(&cfg, 3)
	cfg.Release = &Release{Stage: &rollout.Rollout{ReplacesObjects: true}}
	if _, err := New(cfg); err == nil {
		t.Error("a stage of another kind than its release")
	}
}
