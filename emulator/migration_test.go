package emulator

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"spantack/core/migration"
)

// migratingTenants is how many tenants migrate on a migrationDay.
const migratingTenants = 12

// migrationDay is a small world in which tenants migrate from second 6 on, with clocks of routers up to a second off.
func migrationDay(t testing.TB, seed uint64, trial MigrationTrial, faults ...Fault) Config {
	t.Helper()
	cfg := smallConfig(seed)
	cfg.SiteLinkCapacityFactor = 3
	cfg.ParentCapacityFactor = 3
	cfg.OriginCapacityFactor = 5
	cfg.DurationSeconds = 44
	addCells(&cfg, 3)
	cfg.MaxClockSkewMillis = 1000
	cfg.Faults = faults
	trial.TenantCount = migratingTenants
	trial.StartSeconds = 6
	trial.WarmUpSeconds = 2
	trial.ShiftSeconds = 10
	trial.MaxShiftFactor = 2
	trial.SettleSeconds = 6
	trial.HotObjects = 2
	if trial.Style == "" {
		trial.Style = MigratePaced
	}
	if err := cfg.PlanMigrations(&trial); err != nil {
		t.Fatal(err)
	}
	return cfg
}

// runMigrations plays a day and checks what holds at the end of every migration: no violation, no operation without
// an end, and each tenant in one cell, the same at all routers, which is the new one unless the migrations were
// rolled back.
func runMigrations(t *testing.T, cfg Config, isRolledBack bool) Result {
	t.Helper()
	w := newWorld(t, cfg)
	r := w.Run()
	checkNoViolation(t, &r)
	if r.Unfinished != 0 || r.Unanswered != 0 {
		t.Errorf("%d operations without an end, %d requests without an answer", r.Unfinished, r.Unanswered)
	}
	if r.MaxWarmUpLoad > 1 {
		t.Errorf("a cold server got %.2f of its bound", r.MaxWarmUpLoad)
	}
	want := 1.0
	if isRolledBack {
		want = 0
	}
	for i := range w.routers {
		paths := w.routers[i].module.Migrations(w.now)
		if len(paths) != migratingTenants {
			t.Errorf("router %d has %d migrations", i, len(paths))
		}
		for _, p := range paths {
			if p.Share != want {
				t.Errorf("router %d has %s at %v, want %v", i, p.Tenant, p.Share, want)
			}
		}
	}
	return r
}

// cellLoss is the loss of all caches of one cell, in the midst of the shift.
func cellLoss(t testing.TB, cfg Config, cell int) (faults []Fault) {
	t.Helper()
	w := newWorld(t, cfg)
	for site := range cfg.Sites {
		for index, id := range w.cachesBySite[site] {
			if w.cellOfCache(id) == cell {
				loss := Fault{Kind: FaultCache, Site: site, Index: index, AtSeconds: 12, DurationSeconds: 6}
				faults = append(faults, loss)
			}
		}
	}
	return faults
}

// The cases that can go wrong: migrations lose no request in any of them, cause no violation, and end in one cell.
func TestMigrationsDuringFaults(t *testing.T) {
	deploy := Fault{Kind: FaultDeploy, Site: -1, AtSeconds: 8, DurationSeconds: 14, Fraction: 0.91}
	for seed := range uint64(2) {
		base := migrationDay(t, seed, MigrationTrial{})
		for name, c := range map[string]struct {
			trial        MigrationTrial
			faults       []Fault
			isRolledBack bool
		}{
			"calm":              {},
			"rolling deploy":    {faults: []Fault{deploy}},
			"a cell lost":       {faults: cellLoss(t, base, 0)},
			"another cell lost": {faults: cellLoss(t, base, 1)},
			"a parent lost": {faults: []Fault{
				{Kind: FaultParent, Index: 0, AtSeconds: 10, DurationSeconds: 5},
			}},
			"half the routers": {faults: []Fault{
				{Kind: FaultRouter, Site: 0, Index: 0, AtSeconds: 11, DurationSeconds: 3},
				{Kind: FaultRouter, Site: 1, Index: 1, AtSeconds: 12, DurationSeconds: 3},
			}},
			"rolled back":        {trial: MigrationTrial{RollbackSeconds: 14}, isRolledBack: true},
			"paused and resumed": {trial: MigrationTrial{PauseSeconds: 12, ResumeSeconds: 20}},
			"rolled back during a deploy": {
				trial:        MigrationTrial{RollbackSeconds: 12},
				isRolledBack: true,
				faults: []Fault{
					deploy,
					{Kind: FaultRouter, Site: 0, Index: 0, AtSeconds: 13, DurationSeconds: 3},
				},
			},
			"planned": {trial: MigrationTrial{Style: MigratePlanned}},
		} {
			t.Run(fmt.Sprintf("seed %d/%s", seed, name), func(t *testing.T) {
				cfg := migrationDay(t, seed, c.trial, c.faults...)
				if name == "planned" {
					cfg.DurationSeconds = max(cfg.DurationSeconds, 2*cfg.MigrationEndSeconds)
				}
				r := runMigrations(t, cfg, c.isRolledBack)
				if r.Admission.Migrated == 0 {
					t.Error("nothing migrated")
				}
				hasRouterFault := slices.ContainsFunc(c.faults, func(f Fault) bool { return f.Kind == FaultRouter })
				if r.LostWithRouter > 0 != hasRouterFault {
					t.Errorf("%d requests at routers that died", r.LostWithRouter)
				}
			})
		}
	}
}

// A tenant floods while it migrates: tenants that do not migrate lose no more than by the same flood without a
// migration.
func TestMigratedTenantFloods(t *testing.T) {
	timelyRatio := func(style MigrationStyle) float64 {
		cfg := migrationDay(t, 4, MigrationTrial{Style: style})
		cfg.Flood = &Flood{
			Tenant:          cfg.MigratedTenants[0],
			Factor:          10,
			Kind:            FloodUnique,
			StartSeconds:    8,
			DurationSeconds: 10,
		}
		r := runWorld(t, cfg)
		return r.NotMigrated.TimelyRatio()
	}
	still, migrating := timelyRatio(MigrateNone), timelyRatio(MigratePaced)
	if migrating < 0.98*still {
		t.Errorf("other tenants: %.4f while it floods and migrates, %.4f while it floods and stays", migrating, still)
	}
}

// Documents that cross: some routers have the one that goes on, some the one that rolls back, until a third version
// ends it. A tenant is served by its two cells throughout, and ends in one.
func TestCrossingMigrationDocuments(t *testing.T) {
	cfg := migrationDay(t, 5, MigrationTrial{})
	first := cfg.Changes[0].Migrations
	back := &migration.Document{Version: 2, Migrations: slices.Clone(first.Migrations)}
	for i := range back.Migrations {
		back.Migrations[i].RollbackAt = 13_000
	}
	on := &migration.Document{Version: 3, Migrations: slices.Clone(first.Migrations)}
	cfg.Changes = append(cfg.Changes, // half a second apart, while reloads take up to 2 s
		Change{AtSeconds: 12, Migrations: back}, Change{AtSeconds: 12.5, Migrations: on})
	r := runMigrations(t, cfg, false)
	if r.MaxMigrationSpread == 0 || r.MaxMigrationSpread > 0.6 {
		t.Errorf("routers %.2f of the objects apart", r.MaxMigrationSpread)
	}
}

// A migration whose document comes after its start is rejected as a whole, and nothing of it takes effect.
func TestPastMigrationIsRejected(t *testing.T) {
	cfg := migrationDay(t, 6, MigrationTrial{})
	cfg.Changes[0].AtSeconds = 9
	if _, err := New(cfg); err == nil {
		t.Error("a document whose migrations should have begun before is valid")
	}
}

// Days with migrations give the same result however often they run.
func TestMigrationsSameSeedSameResult(t *testing.T) {
	var last string
	for range 2 {
		deploy := Fault{Kind: FaultDeploy, Site: 0, AtSeconds: 8, DurationSeconds: 10, Fraction: 0.5}
		w := newWorld(t, migrationDay(t, 7, MigrationTrial{}, deploy))
		text, err := json.Marshal(w.Run())
		if err != nil {
			t.Fatal(err)
		}
		if last != "" && last != string(text) {
			t.Fatalf("not the same:\n%s\n%s", last, text)
		}
		last = string(text)
	}
}
