package emulator

import (
	"encoding/json"
	"slices"
	"testing"

	"spantack/core/migration"
)

// migrationDay is a small world in which twelve tenants move from second 6 on, with clocks of routers a second apart either way.
func migrationDay(seed uint64, trip MigrationTrial, faults ...Fault) Config {
	cfg := smallConfig(seed)
	cfg.SiteLinkCapacityFactor, cfg.ParentCapacityFactor, cfg.OriginCapacityFactor, cfg.DurationSeconds = 3, 3, 5, 44
	addCells(&cfg, 3)
	cfg.MaxClockSkewMillis = 1000
	cfg.Faults = faults
	trip.TenantCount, trip.StartSeconds, trip.WarmUpSeconds, trip.ShiftSeconds, trip.MaxShiftFactor, trip.SettleSeconds, trip.HotObjects = 12, 6, 2, 10, 2, 6, 2
	if trip.Style == "" {
		trip.Style = "paced"
	}
	if err := cfg.PlanMigrations(&trip); err != nil {
		panic(err)
	}
	return cfg
}

// runMigrations plays a day and holds its end against what holds for every move: no rule broken, no wish without an end, and each tenant in one cell,
// the same at all routers, which is the new one unless the moves were taken back.
func runMigrations(t *testing.T, name string, cfg Config, back bool) Result {
	t.Helper()
	w, err := New(cfg)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	r := w.Run()
	if r.ViolationCount() != 0 {
		t.Errorf("%s: %v", name, r.Violations)
	}
	if r.Unfinished != 0 || r.Unanswered != 0 {
		t.Errorf("%s: %d wishes without an end, %d requests without an answer", name, r.Unfinished, r.Unanswered)
	}
	if r.MaxWarmUpLoad > 1 {
		t.Errorf("%s: a cold server got %.2f of its bound", name, r.MaxWarmUpLoad)
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
func TestMigrationsDuringFaults(t *testing.T) {
	lost := func(cfg *Config, cell int) (faults []Fault) { // all caches of one cell, in the midst of the shift
		w, err := New(*cfg)
		if err != nil {
			t.Fatal(err)
		}
		for d := range cfg.Sites {
			for which, id := range w.cachesBySite[d] {
				if w.cellOfCache(id) == cell {
					faults = append(faults, Fault{Kind: "cache", Site: d, Index: which, AtSeconds: 12, DurationSeconds: 6})
				}
			}
		}
		return faults
	}
	for seed := range uint64(2) {
		base := migrationDay(seed, MigrationTrial{})
		for name, c := range map[string]struct {
			trip   MigrationTrial
			faults []Fault
			back   bool
		}{
			"calm":               {},
			"rolling deploy":     {faults: []Fault{{Kind: "deploy", Site: -1, AtSeconds: 8, DurationSeconds: 14, Fraction: 0.91}}},
			"a cell lost":        {faults: lost(&base, 0)},
			"another cell lost":  {faults: lost(&base, 1)},
			"an area cache lost": {faults: []Fault{{Kind: "parent", Index: 0, AtSeconds: 10, DurationSeconds: 5}}},
			"half the routers":   {faults: []Fault{{Kind: "router", Site: 0, Index: 0, AtSeconds: 11, DurationSeconds: 3}, {Kind: "router", Site: 1, Index: 1, AtSeconds: 12, DurationSeconds: 3}}},
			"taken back":         {trip: MigrationTrial{RollbackSeconds: 14}, back: true},
			"held and resumed":   {trip: MigrationTrial{PauseSeconds: 12, ResumeSeconds: 20}},
			"back while deploying": {trip: MigrationTrial{RollbackSeconds: 12}, back: true, faults: []Fault{{Kind: "deploy", Site: -1, AtSeconds: 8, DurationSeconds: 14, Fraction: 0.91},
				{Kind: "router", Site: 0, Index: 0, AtSeconds: 13, DurationSeconds: 3}}},
			"planned": {trip: MigrationTrial{Style: "planned"}},
		} {
			cfg := migrationDay(seed, c.trip, c.faults...)
			if name == "planned" {
				cfg.DurationSeconds = max(cfg.DurationSeconds, 2*cfg.MigrationEndSeconds)
			}
			r := runMigrations(t, name, cfg, c.back)
			if r.Admission.Migrated == 0 {
				t.Errorf("%s, seed %d: nothing moved", name, seed)
			}
			if r.LostWithRouter > 0 != (slices.ContainsFunc(c.faults, func(f Fault) bool { return f.Kind == "router" })) {
				t.Errorf("%s: %d requests at routers that died", name, r.LostWithRouter)
			}
		}
	}
}

// The tenant that moves floods: tenants that stay lose no more than they do by the same flood without a move.
func TestMigratedTenantFloods(t *testing.T) {
	share := func(style string) float64 {
		cfg := migrationDay(4, MigrationTrial{Style: style})
		cfg.Flood = &Flood{Tenant: cfg.MigratedTenants[0], Factor: 10, Kind: "unique", StartSeconds: 8, DurationSeconds: 10}
		r := runWorld(t, cfg)
		if r.ViolationCount() != 0 {
			t.Errorf("%s: %v", style, r.Violations)
		}
		return r.NotMigrated.TimelyRatio()
	}
	if still, moving := share("none"), share("paced"); moving < 0.98*still {
		t.Errorf("tenants that stay: %.4f while it floods and moves, %.4f while it floods and stays", moving, still)
	}
}

// Two documents in a race: some routers have the one that goes on, some the one that is taken back, until a third version ends it. A tenant
// is served by its two cells throughout, and ends in one.
func TestCrossingMigrationDocuments(t *testing.T) {
	cfg := migrationDay(5, MigrationTrial{})
	first := cfg.Changes[0].Migrations
	back := &migration.Document{Version: 2, Migrations: slices.Clone(first.Migrations)}
	for i := range back.Migrations {
		back.Migrations[i].RollbackAt = 13_000
	}
	on := &migration.Document{Version: 3, Migrations: slices.Clone(first.Migrations)}
	cfg.Changes = append(cfg.Changes, Change{AtSeconds: 12, Migrations: back}, Change{AtSeconds: 12.5, Migrations: on}) // reloads take up to 2 s: they cross
	r := runMigrations(t, "race", cfg, false)
	if r.MaxMigrationSpread == 0 || r.MaxMigrationSpread > 0.6 {
		t.Errorf("routers %.2f of the objects apart", r.MaxMigrationSpread)
	}
}

// A move begun when its end is past is refused as a whole, and nothing of it takes effect.
func TestPastMigrationIsRejected(t *testing.T) {
	cfg := migrationDay(6, MigrationTrial{})
	cfg.Changes[0].AtSeconds = 9
	if _, err := New(cfg); err == nil {
		t.Error("a document whose moves should have begun before")
	}
}

// Days with moves give the same result however often they run.
func TestMigrationsSameSeedSameResult(t *testing.T) {
	var last string
	for range 2 {
		r := runWorld(t, migrationDay(7, MigrationTrial{}, Fault{Kind: "deploy", Site: 0, AtSeconds: 8, DurationSeconds: 10, Fraction: 0.5}))
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
