package process

import (
	"encoding/json"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"spantack/core/cells"
	"spantack/core/migration"
	"spantack/core/rollout"
	"spantack/internal/features"
)

// moverFamily is the prefix of the object names of the tenant "mover".
const moverFamily = "00"

// moverCells defines three cells. The tenant "mover" is migrated; it starts in the first cell.
var moverCells = cells.Spec{
	Version: 1,
	Scheme:  cells.SchemeFixed,
	Cells: []cells.Cell{
		{Name: "one", Share: 0.34},
		{Name: "two", Share: 0.33},
		{Name: "three", Share: 0.33},
	},
	Tenants:    []cells.Tenant{{Name: "mover", Cell: "one"}, {Name: "rest", Cell: "three"}},
	TenantKeys: []cells.TenantKey{{PurgeGroupRange: []int{0, 0}, Tenant: "mover"}, {Tenant: "rest"}},
}

// migrationFeatures returns a features file with moverCells and the migrations of document.
func migrationFeatures(t *testing.T, document migration.Document) string {
	t.Helper()
	file := features.File{
		Cells:     features.Cells{Enabled: true, Spec: moverCells},
		Migration: features.Migration{Enabled: len(document.Migrations) > 0, Document: document},
		Rollout:   features.Rollout{Rollout: rollout.Rollout{Rings: []rollout.Ring{}}},
	}
	if !file.Migration.Enabled {
		file.Migration.Migrations = []migration.Migration{}
	}
	text, err := json.Marshal(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Three routers read the migration of a tenant on SIGHUP and perform it under a load of 20,000 requests, while four of
// nine caches are replaced, two at the same address. Every request gets one correct response, and no request of the
// tenant reaches a cache outside its old and new cell.
func TestMigrationStaysWithinItsCells(t *testing.T) {
	const requests = 20_000
	d := startDeployment(t, Options{
		Routers:       3,
		EdgeCaches:    9,
		ResponseDelay: time.Millisecond,
		Features:      migrationFeatures(t, migration.Document{}),
	})
	cellsOf := map[string][]string{} // the cells of each cache under all endpoint lists so far
	recordCells := func() {
		for name, cell := range cellsOfCaches(&moverCells, cacheNames(d)) {
			cellsOf[name] = append(cellsOf[name], cell)
		}
	}
	recordCells()
	ended := startLoad(t, d, Load{
		Seed:             9,
		Requests:         requests,
		Interval:         1200 * time.Microsecond,
		ConnsPerRouter:   2,
		Families:         3,
		ObjectsPerFamily: 300,
	})
	move := migration.Migration{
		Tenant:   "mover",
		Site:     migration.AllSites,
		From:     "one",
		To:       "two",
		Start:    float64(time.Now().UnixMilli()) + 1000,
		MinShift: migration.ShortestShiftMs,
		MaxShift: 15_000,
		Settle:   2000,
	}
	document := migration.Document{Version: 1, Migrations: []migration.Migration{move}}
	reloadFeatures(t, d, migrationFeatures(t, document), `"moves":1`)
	for i := range 4 {
		replaceCache(t, d, 2*i, 700*time.Millisecond, i%2 == 0)
		recordCells()
	}
	move.To = "three" // the target of a running migration can't be changed
	document = migration.Document{Version: 2, Migrations: []migration.Migration{move}}
	reloadFeatures(t, d, migrationFeatures(t, document), "new features can't be used")
	total := waitForLoad(t, ended).Total()
	checkAllAnswered(t, total, requests)
	if total.Served < requests*99/100 {
		t.Errorf("%d of %d requests served", total.Served, requests)
	}
	checkNoOverlaps(t, d)
	checkMoverStaysInItsCells(t, d, cellsOf)
	for _, r := range d.Routers { // SIGUSR1 logs the state of the migrations
		signal(t, r, syscall.SIGUSR1)
		waitForLog(t, r, `"message":"moves"`)
	}
}

// checkMoverStaysInItsCells checks that the requests of the migrated tenant reached caches of both its cells, and no
// cache that was never in one of them.
func checkMoverStaysInItsCells(t *testing.T, d *Deployment, cellsOf map[string][]string) {
	t.Helper()
	attempts := map[string]int{}
	for _, request := range d.RequestLog.Requests() {
		in, isCache := cellsOf[request.Server]
		if !isCache || !strings.HasPrefix(request.Object, moverFamily) {
			continue
		}
		if !slices.Contains(in, "one") && !slices.Contains(in, "two") {
			t.Fatalf("object %s reached %s, which was in %v", request.Object, request.Server, in)
		}
		for _, cell := range in {
			attempts[cell]++
		}
	}
	if attempts["one"] == 0 || attempts["two"] == 0 {
		t.Errorf("attempts of the mover by cell: %v", attempts)
	}
}
