package emulator

import "testing"

func second(seed uint64) Config {
	cfg := small(seed)
	cfg.MissShare, cfg.OriginRoom, cfg.DayS = 0.5, 3, 16
	cfg.Site = &Site{CachesOnly: true, Apart: true, LinkTold: true, OriginWayMs: 50, FreshS: 5, GraceS: 30, PromiseMs: 300}
	cfg.Faults = []Fault{{Kind: "purge", AtS: 8, Part: 0.5}, {Kind: "router", AtS: 8.2, ForS: 2}, {Kind: "brownout", AtS: 8, ForS: 4, Part: 0.4}}
	return cfg
}

// Half of all groups are purged while a router is away and the head office slow: nobody is served from an old copy, by the router that comes
// back neither. A router that does not hear of the purge shows that the check can fail.
func TestPurgedCopiesAreNotServed(t *testing.T) {
	for seed := range uint64(3) {
		w, err := New(second(seed))
		if err != nil {
			t.Fatal(err)
		}
		if r := w.Run(); r.BrokenRules() > 0 {
			t.Errorf("seed %d: %v", seed, r.Broken)
		}
	}
	w, err := New(second(1))
	if err != nil {
		t.Fatal(err)
	}
	w.flushes = []flush{{at: 6 * sec, part: 1}}
	w.routers[0].heeds = []heed{{0, 6 * sec}}
	if r := w.Run(); r.Broken["an answer from a purged copy"] == 0 {
		t.Error("a router that was told nothing serves no old copy, or the check sees none")
	}
}

// Where requests may go to caches alone, reports run at the head office by way of a cache and leave nothing there; and nothing goes
// straight. On a calm day all is served in time though the head office is far.
func TestCachesOnly(t *testing.T) {
	cfg := second(2)
	cfg.Faults = nil
	w, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	r := w.Run()
	for class, c := range r.Class {
		if r.BrokenRules() > 0 || c.Refused > c.Asked/50 || c.Timely < 0.97*c.Offered {
			t.Errorf("%v, class %d %+v", r.Broken, class, c)
		}
	}
	cfg.Site.OriginWayMs = -1
	if _, err := New(cfg); err == nil {
		t.Error("a way of -1 ms")
	}
}
