package emulator

import (
	"encoding/json"
	"slices"
	"testing"

	"spantack/core/migration"
)

// moveDay is a small world in which twelve tenants move from second 6 on, with clocks of routers a second apart either way.
func moveDay(seed uint64, trip Trip, faults ...Fault) Config {
	cfg := small(seed)
	cfg.LinkRoom, cfg.ParentRoom, cfg.OriginRoom, cfg.DayS = 3, 3, 5, 44
	confine(&cfg, 3)
	cfg.SkewMs = 1000
	cfg.Faults = faults
	trip.Count, trip.StartS, trip.WarmS, trip.ShiftS, trip.Slow, trip.SettleS, trip.Hot = 12, 6, 2, 10, 2, 6, 2
	if trip.Style == "" {
		trip.Style = "paced"
	}
	if err := cfg.Relocate(&trip); err != nil {
		panic(err)
	}
	return cfg
}

// ends plays a day and holds its end against what holds for every move: no rule broken, no wish without an end, and each tenant in one cell,
// the same at all routers, which is the new one unless the moves were taken back.
func ends(t *testing.T, name string, cfg Config, back bool) Result {
	t.Helper()
	w, err := New(cfg)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	r := w.Run()
	if r.BrokenRules() != 0 {
		t.Errorf("%s: %v", name, r.Broken)
	}
	if r.Unended != 0 || r.Overdue != 0 {
		t.Errorf("%s: %d wishes without an end, %d requests without an answer", name, r.Unended, r.Overdue)
	}
	if r.ColdMost > 1 {
		t.Errorf("%s: a cold server got %.2f of its bound", name, r.ColdMost)
	}
	want := 1.0
	if back {
		want = 0
	}
	for i := range w.routers {
		paths := w.routers[i].module.Migrations(w.now)
		if len(paths) != 12 {
			t.Errorf("%s: router %d has %d moves", name, i, len(paths))
		}
		for _, p := range paths {
			if p.Share != want {
				t.Errorf("%s: router %d has %s at %v, want %v", name, i, p.Tenant, p.Share, want)
			}
		}
	}
	return r
}

// The cases that can go wrong: moves in each of them lose no request, break no rule, and end in one cell.
func TestMovesThroughTrouble(t *testing.T) {
	lost := func(cfg *Config, cell int) (faults []Fault) { // all caches of one cell, in the midst of the shift
		w, err := New(*cfg)
		if err != nil {
			t.Fatal(err)
		}
		for d := range cfg.Depots {
			for which, id := range w.caches[d] {
				if w.cellOfCache(id) == cell {
					faults = append(faults, Fault{Kind: "cache", Depot: d, Which: which, AtS: 12, ForS: 6})
				}
			}
		}
		return faults
	}
	for seed := range uint64(2) {
		base := moveDay(seed, Trip{})
		for name, c := range map[string]struct {
			trip   Trip
			faults []Fault
			back   bool
		}{
			"calm":               {},
			"rolling deploy":     {faults: []Fault{{Kind: "deploy", Depot: -1, AtS: 8, ForS: 14, Part: 0.91}}},
			"a cell lost":        {faults: lost(&base, 0)},
			"another cell lost":  {faults: lost(&base, 1)},
			"an area cache lost": {faults: []Fault{{Kind: "parent", Which: 0, AtS: 10, ForS: 5}}},
			"half the routers":   {faults: []Fault{{Kind: "router", Depot: 0, Which: 0, AtS: 11, ForS: 3}, {Kind: "router", Depot: 1, Which: 1, AtS: 12, ForS: 3}}},
			"taken back":         {trip: Trip{BackS: 14}, back: true},
			"held and resumed":   {trip: Trip{HoldS: 12, ResumeS: 20}},
			"back while deploying": {trip: Trip{BackS: 12}, back: true, faults: []Fault{{Kind: "deploy", Depot: -1, AtS: 8, ForS: 14, Part: 0.91},
				{Kind: "router", Depot: 0, Which: 0, AtS: 13, ForS: 3}}},
			"planned": {trip: Trip{Style: "planned"}},
		} {
			cfg := moveDay(seed, c.trip, c.faults...)
			if name == "planned" {
				cfg.DayS = max(cfg.DayS, 2*cfg.EndS)
			}
			r := ends(t, name, cfg, c.back)
			if r.Gate.Migrated == 0 {
				t.Errorf("%s, seed %d: nothing moved", name, seed)
			}
			if r.Lost > 0 != (slices.ContainsFunc(c.faults, func(f Fault) bool { return f.Kind == "router" })) {
				t.Errorf("%s: %d requests at routers that died", name, r.Lost)
			}
		}
	}
}

// The tenant that moves floods: tenants that stay lose no more than they do by the same flood without a move.
func TestMoverFloods(t *testing.T) {
	share := func(style string) float64 {
		cfg := moveDay(4, Trip{Style: style})
		cfg.Flood = &Flood{Tenant: cfg.Movers[0], Times: 10, Kind: "unique", FromS: 8, ForS: 10}
		r := play(t, cfg)
		if r.BrokenRules() != 0 {
			t.Errorf("%s: %v", style, r.Broken)
		}
		return r.Stayers.Share()
	}
	if still, moving := share("none"), share("paced"); moving < 0.98*still {
		t.Errorf("tenants that stay: %.4f while it floods and moves, %.4f while it floods and stays", moving, still)
	}
}

// Two documents in a race: some routers have the one that goes on, some the one that is taken back, until a third version ends it. A tenant
// is served by its two cells throughout, and ends in one.
func TestDocumentsInARace(t *testing.T) {
	cfg := moveDay(5, Trip{})
	first := cfg.Changes[0].Moves
	back := &migration.Document{Version: 2, Migrations: slices.Clone(first.Migrations)}
	for i := range back.Migrations {
		back.Migrations[i].RollbackAt = 13_000
	}
	on := &migration.Document{Version: 3, Migrations: slices.Clone(first.Migrations)}
	cfg.Changes = append(cfg.Changes, Change{AtS: 12, Moves: back}, Change{AtS: 12.5, Moves: on}) // reloads take up to 2 s: they cross
	r := ends(t, "race", cfg, false)
	if r.Spread == 0 || r.Spread > 0.6 {
		t.Errorf("routers %.2f of the objects apart", r.Spread)
	}
}

// A move begun when its end is past is refused as a whole, and nothing of it takes effect.
func TestMoveOfThePastIsRefused(t *testing.T) {
	cfg := moveDay(6, Trip{})
	cfg.Changes[0].AtS = 9
	if _, err := New(cfg); err == nil {
		t.Error("a document whose moves should have begun before")
	}
}

// Days with moves give the same result however often they run.
func TestMovesSameSeedSameResult(t *testing.T) {
	var last string
	for range 2 {
		r := play(t, moveDay(7, Trip{}, Fault{Kind: "deploy", Depot: 0, AtS: 8, ForS: 10, Part: 0.5}))
		text, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		if last != "" && last != string(text) {
			t.Fatalf("not the same:\n%s\n%s", last, text)
		}
		last = string(text)
	}
}
