package cells

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"spantack/core/migration"
	"spantack/routing"
)

// normalTenantMigration returns a document with a migration of tenant "normal" from cell "two" to cell "one". Its ramp
// (MinShift) lasts from second 20 to second 40.
func normalTenantMigration(changes ...func(*migration.Migration)) *migration.Document {
	m := migration.Migration{
		Tenant:    "normal",
		Site:      "z",
		From:      "two",
		To:        "one",
		Start:     20_000,
		MinShift:  20_000,
		Settle:    10_000,
		Unbounded: true,
	}
	for _, change := range changes {
		change(&m)
	}
	return &migration.Document{Version: 1, Migrations: []migration.Migration{m}}
}

// boundByCapacity limits a migration by the capacity of its destination.
func boundByCapacity(m *migration.Migration) {
	m.Unbounded = false
	m.MaxShift = 40_000
}

// newMigrationClient returns a client at second 10, with eight caches in two cells.
func newMigrationClient(t testing.TB, spec *Spec, document *migration.Document) *testClient {
	client := &testClient{t: t, admission: newTestAdmission(t, spec, cacheNames(8)...), now: 10 * sec}
	client.admission.SetMigrations(client.now, document)
	return client
}

// cellByCache returns the name of each cache's cell.
func cellByCache(a *Admission) map[string]string {
	cells := map[string]string{}
	for _, cell := range a.state.cells {
		for _, cache := range cell.caches {
			cells[cache] = cell.name
		}
	}
	return cells
}

// requestObjects sends n requests of tenant "normal", spread evenly over a duration. It returns the number of responses
// by cell, and of rejections under "".
func (c *testClient) requestObjects(n int, over int64, object func(i int) string) map[string]int {
	cells := cellByCache(c.admission)
	responses := map[string]int{}
	for i := range n {
		c.now += over / int64(n)
		cache := c.request(routing.Event{PurgeGroup: 50, Object: object(i), SizeKB: 50})
		responses[cells[cache]]++
	}
	return responses
}

// oneOf50Objects returns the name of object i modulo 50 of tenant "normal".
func oneOf50Objects(i int) string { return fmt.Sprintf("aa%014x", i%50) }

// drainCell marks all caches of a cell as draining.
func (c *testClient) drainCell(cell string) {
	for name, in := range cellByCache(c.admission) {
		if in == cell {
			cache := endpointsWith(name)[3]
			cache.Status = routing.EndpointDraining
			changeEndpoints(c.admission, c.now, cache)
		}
	}
}

// Before, during and after a migration, requests must go to the cells that the document requires at that time.
func TestMigrationRoutesByPhase(t *testing.T) {
	client := newMigrationClient(t, twoCells(), normalTenantMigration())
	if got := client.requestObjects(100, 9*sec, oneOf50Objects); got["two"] != 100 {
		t.Errorf("before the start: responses by cell %v, want 100 from two", got)
	}
	client.requestObjects(1000, 11*sec, oneOf50Objects)
	status := client.admission.Migrations(client.now)[0]
	if status.Phase != "shifting" || status.Share < 0.4 || status.Share > status.MaxShare {
		t.Errorf("during the shift: status %+v, want a share from 0.4 to MaxShare", status)
	}
	half := client.requestObjects(500, sec/10, oneOf50Objects)
	if half["one"] < 100 || half["two"] < 100 || half["one"]+half["two"] != 500 {
		t.Errorf("during the shift: responses by cell %v, want at least 100 from each, 500 together", half)
	}
	client.checkChunksInOneCell()
	client.now = 45 * sec
	client.requestObjects(200, sec, oneOf50Objects)
	if got := client.requestObjects(100, sec, oneOf50Objects); got["one"] != 100 {
		t.Errorf("after the shift: responses by cell %v, want 100 from one", got)
	}
	client.now = 60 * sec
	if got := client.requestObjects(100, sec, oneOf50Objects); got["one"] != 100 {
		t.Errorf("after the migration: responses by cell %v, want 100 from one", got)
	}
	spec := twoCells()
	spec.Version = 2
	spec.Tenants[1].Cell = "one"
	client.admission.SetAssignment(client.now, mustCompile(t, spec))
	client.admission.SetMigrations(client.now, &migration.Document{Version: 2})
	got := client.requestObjects(100, sec, oneOf50Objects)
	if got["one"] != 100 || len(client.admission.Migrations(client.now)) != 0 {
		t.Errorf("assignment has the tenant in the new cell: responses by cell %v, want 100 from one, no status", got)
	}
}

// checkChunksInOneCell checks that all chunks of an object go to the same cell.
func (c *testClient) checkChunksInOneCell() {
	cellOf := map[string]string{} // by object
	cells := cellByCache(c.admission)
	for i := range 500 {
		object := oneOf50Objects(i)
		event := routing.Event{PurgeGroup: 50, Object: object, Chunk: int64(i / 50), SizeKB: 50}
		cell := cells[c.request(event)]
		if cellOf[object] == "" {
			cellOf[object] = cell
		}
		if cellOf[object] != cell {
			c.t.Fatalf("chunk %d of %s goes to %s, others to %s", i/50, object, cell, cellOf[object])
		}
	}
}

// Until the migration ends, the rate of requests for chunks that the destination does not have must not exceed its
// capacity. Here the link allows 40 KB per second of fills for the cell at this router. The budget is larger by a
// factor of 2 * 2 / 0.85, because it is for 2 routers and 2 cells, and a migration may use the fraction 0.85 of a
// capacity. Without the capacity limiter, the rate is 19 times as high.
func TestMigrationStaysWithinDestinationCapacity(t *testing.T) {
	spec := twoCells()
	spec.Budget.FillKBPerSecond = 2 * 2 * 40 / 0.85
	client := newMigrationClient(t, spec, normalTenantMigration(boundByCapacity))
	client.now = 20 * sec
	cells := cellByCache(client.admission)
	hasMigrated := map[string]bool{} // by object
	coldKB := map[int64]float64{}    // by second
	for i := range 4000 {
		client.now += 10 * msec
		object := fmt.Sprintf("aa%014x", i%400)
		cache := client.request(routing.Event{PurgeGroup: 50, Object: object, SizeKB: 20})
		if cells[cache] == "one" && !hasMigrated[object] {
			hasMigrated[object] = true
			coldKB[client.now/sec] += 20
		}
	}
	if client.admission.Stats.KeptInSource == 0 {
		t.Error("no request was sent to the source for lack of capacity in the destination")
	}
	for second := range coldKB {
		if sum := coldKB[second] + coldKB[second+1] + coldKB[second+2]; sum > 3.5*40+20 {
			t.Errorf("%v KB of cold chunks sent to the destination within 3 s", sum)
		}
	}
	if len(hasMigrated) < 30 {
		t.Errorf("only %d objects have migrated", len(hasMigrated))
	}
}

// One of a migration's two cells loses all its caches. During the migration, requests must go to the other cell, and
// must be rejected if the other cell lacks the capacity. After the migration, requests must be rejected if the new cell
// is the lost one.
func TestMigrationUsesOtherCellIfOneIsLost(t *testing.T) {
	halfWay := func() *testClient {
		client := newMigrationClient(t, twoCells(), normalTenantMigration())
		client.now = 19 * sec
		client.requestObjects(600, 11*sec, oneOf50Objects)
		return client
	}
	client := halfWay()
	client.drainCell("one")
	if got := client.requestObjects(200, sec, oneOf50Objects); got["two"] != 200 {
		t.Errorf("destination lost during the shift: responses by cell %v, want 200 from two", got)
	}
	client.now = 60 * sec
	if got := client.requestObjects(200, sec, oneOf50Objects); got[""] != 200 {
		t.Errorf("destination lost, after the migration: responses by cell %v, want 200 rejected", got)
	}
	client = halfWay()
	client.drainCell("two")
	if got := client.requestObjects(200, sec, oneOf50Objects); got["one"] != 200 {
		t.Errorf("source lost during the shift: responses by cell %v, want 200 from one", got)
	}
	// If the migration is limited by capacity, requests beyond the destination's capacity are rejected at once, with
	// ReasonMigrating.
	spec := twoCells()
	spec.Budget.FillKBPerSecond = 100
	client = newMigrationClient(t, spec, normalTenantMigration(boundByCapacity))
	client.now = 25 * sec
	client.drainCell("two")
	got := client.requestObjects(400, sec, func(i int) string { return fmt.Sprintf("aa%014x", i) })
	rejected := client.admission.Stats.Rejected
	if got["one"] == 0 || got[""] == 0 || rejected[ReasonMigrating] == 0 {
		t.Errorf("source lost, little capacity in the destination: responses by cell %v, rejected %v, want both",
			got, rejected)
	}
}

// A rollback must return all objects to the old cell within MinShift, the shortest time in which all objects move. A
// router that starts during a migration must continue at the share that the document requires.
func TestRollbackReturnsObjectsAndStartedRouterContinues(t *testing.T) {
	client := newMigrationClient(t, twoCells(), normalTenantMigration())
	client.now = 25 * sec
	client.requestObjects(200, 10*sec, oneOf50Objects)
	rollback := normalTenantMigration(func(m *migration.Migration) { m.RollbackAt = 35_000 })
	rollback.Version = 2
	client.admission.SetMigrations(client.now, rollback)
	for range 100 { // during the rollback the position of an object determines its cell
		object := oneOf50Objects(client.sent)
		client.requestObjects(1, 50*msec, func(int) string { return object })
		cache := client.request(routing.Event{PurgeGroup: 50, Object: object, SizeKB: 50})
		cell, share := cellByCache(client.admission)[cache], client.admission.Migrations(client.now)[0].Share
		position := rollback.Migrations[0].Position(object)
		if want := map[bool]string{true: "one", false: "two"}[position < share]; cell != want {
			t.Fatalf("at share %v, object at position %v goes to cell %s", share, position, cell)
		}
	}
	client.requestObjects(400, 30*sec, oneOf50Objects)
	if got := client.requestObjects(100, sec, oneOf50Objects); got["two"] != 100 {
		t.Errorf("after the rollback: responses by cell %v, want 100 from two", got)
	}

	restarted := &testClient{t: t, admission: newTestAdmission(t, twoCells(), cacheNames(8)...), now: 30 * sec}
	restarted.admission.SetMigrations(restarted.now, normalTenantMigration(boundByCapacity))
	status := restarted.admission.Migrations(restarted.now)[0]
	if status.Share != status.MinShare || status.Share < 0.2 {
		t.Errorf("router started during the shift: status %+v, want the minimum share, at least 0.2", status)
	}
	restarted.now = 90 * sec
	if got := restarted.requestObjects(100, sec, oneOf50Objects); got["one"] != 100 {
		t.Errorf("router started during the shift, after the migration: responses by cell %v, want 100 from one", got)
	}
}

// A tenant floods while it migrates. The tenants of the destination must be served as well as they are without the
// flood.
func TestMigratingTenantFloodDoesNotAffectDestination(t *testing.T) {
	servedFraction := func(floodFactor int) float64 {
		spec := twoCells()
		spec.Budget = Budget{RequestsPerSecond: 800, FillKBPerSecond: 4000}
		client := &testClient{t: t, admission: newTestAdmission(t, spec, cacheNames(8)...), now: 18 * sec}
		client.admission.SetMigrations(client.now, normalTenantMigration(boundByCapacity))
		sent, served := 0, 0
		for i := range 6000 {
			client.now += 5 * msec
			for range floodFactor {
				object := fmt.Sprintf("aa%014x", i*7%3000)
				client.request(routing.Event{PurgeGroup: 50, Object: object, SizeKB: 50})
			}
			sent++
			object := fmt.Sprintf("00%014x", i%40)
			cache := client.request(routing.Event{PurgeGroup: 3, Object: object, SizeKB: 20})
			if cache != "" && cache != "fail" {
				served++
			}
		}
		return float64(served) / float64(sent)
	}
	without, flood := servedFraction(0), servedFraction(8)
	if flood < 0.98*without {
		t.Errorf("tenant of the destination: %.3f served during the flood, %.3f without it", flood, without)
	}
}

// With random changes of caches and documents, requests of a migrating tenant must go to its two cells only, and no
// request may count as open after its end.
func TestMigratingTenantStaysInItsTwoCells(t *testing.T) {
	spec := twoCells()
	spec.Cells = []Cell{{Name: "one", Share: 0.3}, {Name: "two", Share: 0.3}, {Name: "three", Share: 0.4}}
	caches := cacheNames(9)
	rapid.Check(t, func(t *rapid.T) {
		client := &testClient{admission: newTestAdmission(panickingT{}, spec, caches...), now: 15 * sec}
		version := int64(0)
		for range 60 {
			client.now += rapid.Int64Range(0, 2_000_000).Draw(t, "elapsed")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				version++
				client.admission.SetMigrations(client.now, drawNormalTenantMigration(t, client.now, version))
			case 1:
				cache := endpointsWith(caches[rapid.IntRange(0, 8).Draw(t, "cache")])[3]
				cache.Status = rapid.SampledFrom([]routing.EndpointStatus{
					routing.EndpointHealthy, routing.EndpointDraining, routing.EndpointRemoved,
				}).Draw(t, "status")
				cache.StartedAt = rapid.SampledFrom([]int64{0, client.now}).Draw(t, "started at")
				changeEndpoints(client.admission, client.now, cache)
			default:
				cells := cellByCache(client.admission)
				object := oneOf50Objects(rapid.IntRange(0, 49).Draw(t, "object"))
				cache := client.request(routing.Event{PurgeGroup: 50, Object: object, SizeKB: 50})
				if cell := cells[cache]; cache != "" && cache != "fail" && cell != "one" && cell != "two" {
					t.Fatalf("request sent to %s of cell %q", cache, cell)
				}
			}
			if open := len(client.admission.openRequests); open != 0 {
				t.Fatalf("%d ended requests count as open", open)
			}
		}
	})
}

// drawNormalTenantMigration returns a random document whose migration starts between 30 s before and 10 s after now.
func drawNormalTenantMigration(t *rapid.T, now, version int64) *migration.Document {
	document := normalTenantMigration(func(m *migration.Migration) {
		m.Start = float64(now)/1000 + rapid.Float64Range(-30_000, 10_000).Draw(t, "start")
		m.Unbounded = rapid.Bool().Draw(t, "unbounded")
		if rapid.Bool().Draw(t, "rolls back") {
			m.RollbackAt = m.Start + rapid.Float64Range(0, 30_000).Draw(t, "rollback after")
		}
	})
	document.Version = version
	return document
}

// A document with migrations at other sites only must not change the routing at this site.
func TestMigrationsAtOtherSitesHaveNoEffect(t *testing.T) {
	plain := &testClient{t: t, admission: newTestAdmission(t, twoCells(), cacheNames(8)...), now: 10 * sec}
	elsewhere := normalTenantMigration(func(m *migration.Migration) { m.Site = "elsewhere" })
	other := newMigrationClient(t, twoCells(), elsewhere)
	for i := range 2000 {
		event := routing.Event{PurgeGroup: int64(i % 60), Object: fmt.Sprintf("%016x", i%37), SizeKB: float64(i % 90)}
		plain.now += 5 * msec
		other.now += 5 * msec
		if a, b := plain.request(event), other.request(event); a != b {
			t.Fatalf("request %d sent to %q without a document, to %q with one", i, a, b)
		}
	}
	if !slices.Equal(plain.admission.Migrations(plain.now), other.admission.Migrations(other.now)) {
		t.Error("status shows a migration at this site")
	}
	if version := other.admission.MigrationsVersion(); version != 1 {
		t.Errorf("version %d, want 1", version)
	}
}

// BenchmarkAdmitMigratingTenant measures the cost of admission for requests of 1,000 migrating tenants, and the memory
// per migration.
func BenchmarkAdmitMigratingTenant(b *testing.B) {
	spec := twoCells()
	spec.Tenants, spec.TenantKeys = nil, nil
	document := &migration.Document{Version: 1}
	for i := range 10_000 {
		name := fmt.Sprintf("t%05d", i)
		spec.Tenants = append(spec.Tenants, Tenant{Name: name, Cell: "two"})
		spec.TenantKeys = append(spec.TenantKeys, TenantKey{ObjectPrefix: fmt.Sprintf("%05x", i), Tenant: name})
		if i < 1000 {
			document.Migrations = append(document.Migrations, migration.Migration{
				Tenant: name, Site: "z", From: "two", To: "one", Start: 1000, MinShift: 1e8, MaxShift: 2e8,
			})
		}
	}
	spec.TenantKeys = append(spec.TenantKeys, TenantKey{Tenant: "t00000"})
	admission := newTestAdmission(b, spec, cacheNames(64)...)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	admission.SetMigrations(2*sec, document)
	runtime.GC()
	runtime.ReadMemStats(&after)
	var objects []string
	for i := range 1000 {
		objects = append(objects, fmt.Sprintf("%05x%011x", i, i*31))
	}
	now, i := 3*sec, 0
	event := routing.Event{Kind: routing.EventRequest, Class: "page", Timeout: 3 * sec, SizeKB: 50}
	b.ReportAllocs()
	for b.Loop() {
		now += 50
		i++
		event.Object = objects[i%1000]
		event.RequestID = "x"
		if admission.admit(now, &event) == ReasonNone {
			admission.closeRequest("x")
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(document.Migrations)), "B/migration")
}
