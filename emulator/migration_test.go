package emulator

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"spantack/core/migration"
)

// migratingTenants is the number of tenants that migrate in a migrationConfig.
const migratingTenants = 12

// migrationConfig returns the configuration of a small world in which tenants migrate from second 6 on. The clocks by
// which routers read documents are off by up to a second.
func migrationConfig(t testing.TB, seed uint64, spec MigrationSpec, faults ...Fault) Config {
	t.Helper()
	cfg := smallConfig(seed)
	cfg.SiteLinkCapacityFactor = 3
	cfg.ParentCapacityFactor = 3
	cfg.OriginCapacityFactor = 5
	cfg.DurationSeconds = 44
	addCells(&cfg, 3)
	cfg.MaxClockSkewMillis = 1000
	cfg.Faults = faults
	spec.TenantCount = migratingTenants
	spec.StartSeconds = 6
	spec.WarmUpSeconds = 2
	spec.ShiftSeconds = 10
	spec.MaxShiftFactor = 2
	spec.SettleSeconds = 6
	spec.HotObjects = 2
	if spec.Style == "" {
		spec.Style = MigratePaced
	}
	if err := cfg.PlanMigrations(&spec); err != nil {
		t.Fatal(err)
	}
	return cfg
}

// runMigrations runs a world and checks the result and the final state. There must be no violation, no unfinished
// operation, no unanswered request and no warming server above its bound. At all routers, each migrating tenant must be
// in its new cell, or in its old cell if the migrations were rolled back.
func runMigrations(t *testing.T, cfg Config, isRolledBack bool) Result {
	t.Helper()
	w := newWorld(t, cfg)
	r := w.Run()
	checkNoViolation(t, &r)
	if r.Unfinished != 0 || r.Unanswered != 0 {
		t.Errorf("%d unfinished operations, %d unanswered requests", r.Unfinished, r.Unanswered)
	}
	if r.MaxWarmUpLoad > 1 {
		t.Errorf("a cold server received %.2f of its bound, want at most 1", r.MaxWarmUpLoad)
	}
	want := 1.0
	if isRolledBack {
		want = 0
	}
	for i := range w.routers {
		migrations := w.routers[i].module.Migrations(w.now)
		if len(migrations) != migratingTenants {
			t.Errorf("router %d has %d migrations, want one for each migrating tenant", i, len(migrations))
		}
		for _, p := range migrations {
			if p.Share != want {
				t.Errorf("router %d: migrated share of %s is %v, want %v", i, p.Tenant, p.Share, want)
			}
		}
	}
	return r
}

// cellLoss returns faults that crash all caches of one cell during the shift.
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

// Guards against migrations that lose requests, cause violations or leave a tenant in two cells when servers or routers
// fail or a migration is paused or rolled back.
func TestMigrationsCompleteDuringFaults(t *testing.T) {
	deploy := Fault{Kind: FaultDeploy, Site: -1, AtSeconds: 8, DurationSeconds: 14, Fraction: 0.91}
	for seed := range uint64(2) {
		base := migrationConfig(t, seed, MigrationSpec{})
		for name, c := range map[string]struct {
			spec         MigrationSpec
			faults       []Fault
			isRolledBack bool
		}{
			"no faults":      {},
			"rolling deploy": {faults: []Fault{deploy}},
			"cell 0 lost":    {faults: cellLoss(t, base, 0)},
			"cell 1 lost":    {faults: cellLoss(t, base, 1)},
			"parent lost": {faults: []Fault{
				{Kind: FaultParent, Index: 0, AtSeconds: 10, DurationSeconds: 5},
			}},
			"half of the routers lost": {faults: []Fault{
				{Kind: FaultRouter, Site: 0, Index: 0, AtSeconds: 11, DurationSeconds: 3},
				{Kind: FaultRouter, Site: 1, Index: 1, AtSeconds: 12, DurationSeconds: 3},
			}},
			"rolled back":        {spec: MigrationSpec{RollbackSeconds: 14}, isRolledBack: true},
			"paused and resumed": {spec: MigrationSpec{PauseSeconds: 12, ResumeSeconds: 20}},
			"rolled back during a deploy": {
				spec:         MigrationSpec{RollbackSeconds: 12},
				isRolledBack: true,
				faults: []Fault{
					deploy,
					{Kind: FaultRouter, Site: 0, Index: 0, AtSeconds: 13, DurationSeconds: 3},
				},
			},
			"planned": {spec: MigrationSpec{Style: MigratePlanned}},
		} {
			t.Run(fmt.Sprintf("seed %d/%s", seed, name), func(t *testing.T) {
				cfg := migrationConfig(t, seed, c.spec, c.faults...)
				if name == "planned" {
					cfg.DurationSeconds = max(cfg.DurationSeconds, 2*cfg.MigrationEndSeconds)
				}
				r := runMigrations(t, cfg, c.isRolledBack)
				if r.Admission.Migrated == 0 {
					t.Error("no request was migrated")
				}
				hasRouterFault := slices.ContainsFunc(c.faults, func(f Fault) bool { return f.Kind == FaultRouter })
				if r.LostWithRouter > 0 != hasRouterFault {
					t.Errorf("%d requests lost at crashed routers, want some if a router crashes, otherwise none",
						r.LostWithRouter)
				}
			})
		}
	}
}

// Guards against a migration that makes a flood worse for others. A tenant floods while it migrates. The timely ratio
// of the tenants that do not migrate must be at least 98% of the ratio with the same flood and no migration.
func TestMigrationDoesNotWorsenFlood(t *testing.T) {
	timelyRatio := func(style MigrationStyle) float64 {
		cfg := migrationConfig(t, 4, MigrationSpec{Style: style})
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
	baseline, migrating := timelyRatio(MigrateNone), timelyRatio(MigratePaced)
	if migrating < 0.98*baseline {
		t.Errorf("timely ratio of other tenants: %.4f with flood and migration, %.4f with the flood alone",
			migrating, baseline)
	}
}

// Guards against tenants that end up in two cells when routers temporarily have different documents. Two newer versions
// of the document arrive half a second apart, while a reload takes up to 2 s. Version 2 rolls the migrations back.
// Version 3 continues them.
func TestConcurrentMigrationDocumentsConverge(t *testing.T) {
	cfg := migrationConfig(t, 5, MigrationSpec{})
	first := cfg.Changes[0].Migrations
	rollback := &migration.Document{Version: 2, Migrations: slices.Clone(first.Migrations)}
	for i := range rollback.Migrations {
		rollback.Migrations[i].RollbackAt = 13_000
	}
	resume := &migration.Document{Version: 3, Migrations: slices.Clone(first.Migrations)}
	cfg.Changes = append(cfg.Changes,
		Change{AtSeconds: 12, Migrations: rollback}, Change{AtSeconds: 12.5, Migrations: resume})
	r := runMigrations(t, cfg, false)
	if r.MaxMigrationSpread == 0 || r.MaxMigrationSpread > 0.6 {
		t.Errorf("migration spread between routers %.2f, want above 0 and at most 0.6", r.MaxMigrationSpread)
	}
}

// Guards against a migration that starts in the middle of its shift because its document arrived late. A document that
// arrives after the start of its migrations is rejected as a whole.
func TestPastMigrationIsRejected(t *testing.T) {
	cfg := migrationConfig(t, 6, MigrationSpec{})
	cfg.Changes[0].AtSeconds = 9
	if _, err := New(cfg); err == nil {
		t.Error("New accepted a document that arrives after the start of its migrations")
	}
}

// Guards against nondeterminism: two runs with migrations and the same seed must give the same result.
func TestMigrationsSameSeedSameResult(t *testing.T) {
	var last string
	for range 2 {
		deploy := Fault{Kind: FaultDeploy, Site: 0, AtSeconds: 8, DurationSeconds: 10, Fraction: 0.5}
		w := newWorld(t, migrationConfig(t, 7, MigrationSpec{}, deploy))
		text, err := json.Marshal(w.Run())
		if err != nil {
			t.Fatal(err)
		}
		if last != "" && last != string(text) {
			t.Fatalf("two runs with the same seed differ:\n%s\n%s", last, text)
		}
		last = string(text)
	}
}
