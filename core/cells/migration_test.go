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

// migrationOfCalm is a document in which "calm" goes from cell two to cell one, from second 20 to second 40.
func migrationOfCalm(changes ...func(*migration.Migration)) *migration.Document {
	m := migration.Migration{
		Tenant:    "calm",
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

func boundByCapacity(m *migration.Migration) {
	m.Unbounded = false
	m.MaxShift = 40_000
}

// newMigrationClient has eight caches in two cells, at second 10.
func newMigrationClient(t testing.TB, spec *Spec, document *migration.Document) *testClient {
	client := &testClient{t: t, admission: newTestAdmission(t, spec, cacheNames(8)...), now: 10 * sec}
	client.admission.SetMigrations(client.now, document)
	return client
}

// cellByCache returns the cell that each cache is in.
func cellByCache(a *Admission) map[string]string {
	cells := map[string]string{}
	for _, cell := range a.scope.cells {
		for _, cache := range cell.caches {
			cells[cache] = cell.name
		}
	}
	return cells
}

// requestObjects requests n objects of calm's, spread over a time, and counts answers by cell; "" counts rejections.
func (c *testClient) requestObjects(n int, over int64, object func(i int) string) map[string]int {
	cells := cellByCache(c.admission)
	answers := map[string]int{}
	for i := range n {
		c.now += over / int64(n)
		cache := c.request(routing.Event{PurgeGroup: 50, Object: object(i), SizeKB: 50})
		answers[cells[cache]]++
	}
	return answers
}

func oneOf50Objects(i int) string { return fmt.Sprintf("aa%014x", i%50) }

// drainCell makes all caches of a cell draining.
func (c *testClient) drainCell(cell string) {
	for name, in := range cellByCache(c.admission) {
		if in == cell {
			cache := endpointsWith(name)[3]
			cache.Status = routing.EndpointDraining
			changeEndpoints(c.admission, c.now, cache)
		}
	}
}

func TestMigrationFromStartToEnd(t *testing.T) {
	client := newMigrationClient(t, twoCells(), migrationOfCalm())
	if got := client.requestObjects(100, 9*sec, oneOf50Objects); got["two"] != 100 {
		t.Errorf("before it starts: %v", got)
	}
	client.requestObjects(1000, 11*sec, oneOf50Objects)
	status := client.admission.Migrations(client.now)[0]
	if status.Phase != "shifting" || status.Share < 0.4 || status.Share > status.MaxShare {
		t.Errorf("half-way: %+v", status)
	}
	half := client.requestObjects(500, sec/10, oneOf50Objects)
	if half["one"] < 100 || half["two"] < 100 || half["one"]+half["two"] != 500 {
		t.Errorf("half-way: %v", half)
	}
	client.checkChunksTogether()
	client.now = 45 * sec
	client.requestObjects(200, sec, oneOf50Objects)
	if got := client.requestObjects(100, sec, oneOf50Objects); got["one"] != 100 {
		t.Errorf("at its end: %v", got)
	}
	client.now = 60 * sec
	if got := client.requestObjects(100, sec, oneOf50Objects); got["one"] != 100 {
		t.Errorf("after it: %v", got)
	}
	spec := twoCells()
	spec.Version = 2
	spec.Tenants[1].Cell = "one"
	client.admission.SetAssignment(client.now, mustCompile(t, spec))
	client.admission.SetMigrations(client.now, &migration.Document{Version: 2})
	got := client.requestObjects(100, sec, oneOf50Objects)
	if got["one"] != 100 || len(client.admission.Migrations(client.now)) != 0 {
		t.Errorf("under an assignment that has it there: %v", got)
	}
}

// checkChunksTogether checks that all chunks of an object are in one cell at one time.
func (c *testClient) checkChunksTogether() {
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

// Until the migration ends, chunks that the new cell does not have come no faster than its capacity: here links let 40
// KB a second of fills into the cell, at this router. With the answer of the capacity limiter ignored the test finds 19
// times as much.
func TestMigrationStaysWithinDestinationCapacity(t *testing.T) {
	spec := twoCells()
	spec.Budget.FillKBPerSecond = 2 * 2 * 40 / 0.85
	client := newMigrationClient(t, spec, migrationOfCalm(boundByCapacity))
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
	if client.admission.Stats.Deferred == 0 {
		t.Error("nothing was deferred")
	}
	for second := range coldKB {
		if sum := coldKB[second] + coldKB[second+1] + coldKB[second+2]; sum > 3.5*40+20 {
			t.Errorf("%v KB that the cell did not have within 3 s", sum)
		}
	}
	if len(hasMigrated) < 30 {
		t.Errorf("only %d objects have gone over", len(hasMigrated))
	}
}

func TestMigrationWhileACellIsLost(t *testing.T) {
	halfWay := func() *testClient {
		client := newMigrationClient(t, twoCells(), migrationOfCalm())
		client.now = 19 * sec
		client.requestObjects(600, 11*sec, oneOf50Objects)
		return client
	}
	client := halfWay()
	client.drainCell("one")
	if got := client.requestObjects(200, sec, oneOf50Objects); got["two"] != 200 {
		t.Errorf("destination lost half-way: %v", got)
	}
	client.now = 60 * sec
	if got := client.requestObjects(200, sec, oneOf50Objects); got[""] != 200 {
		t.Errorf("destination lost, and the migration over: %v", got)
	}
	client = halfWay()
	client.drainCell("two")
	if got := client.requestObjects(200, sec, oneOf50Objects); got["one"] != 200 {
		t.Errorf("source lost half-way: %v", got)
	}
	// Bounded, what the new cell has no capacity for is rejected at once, with the reason.
	spec := twoCells()
	spec.Budget.FillKBPerSecond = 100
	client = newMigrationClient(t, spec, migrationOfCalm(boundByCapacity))
	client.now = 25 * sec
	client.drainCell("two")
	got := client.requestObjects(400, sec, func(i int) string { return fmt.Sprintf("aa%014x", i) })
	rejected := client.admission.Stats.Rejected
	if got["one"] == 0 || got[""] == 0 || rejected[ReasonMigrating] == 0 {
		t.Errorf("source lost, and the new cell has little capacity: %v, %v", got, rejected)
	}
}

// A document that is rolled back leads everything to the old cell within one shift; a router that starts in the midst
// goes on from the document.
func TestMigrationRollbackAndRestart(t *testing.T) {
	client := newMigrationClient(t, twoCells(), migrationOfCalm())
	client.now = 25 * sec
	client.requestObjects(200, 10*sec, oneOf50Objects)
	rollback := migrationOfCalm(func(m *migration.Migration) { m.RollbackAt = 35_000 })
	rollback.Version = 2
	client.admission.SetMigrations(client.now, rollback)
	for range 100 { // during the rollback each object is in the cell that its position gives it
		object := oneOf50Objects(client.sent)
		client.requestObjects(1, 50*msec, func(int) string { return object })
		cache := client.request(routing.Event{PurgeGroup: 50, Object: object, SizeKB: 50})
		cell, share := cellByCache(client.admission)[cache], client.admission.Migrations(client.now)[0].Share
		position := rollback.Migrations[0].Position(object)
		if want := map[bool]string{true: "one", false: "two"}[position < share]; cell != want {
			t.Fatalf("at share %v object at %v goes to %s", share, position, cell)
		}
	}
	client.requestObjects(400, 30*sec, oneOf50Objects)
	if got := client.requestObjects(100, sec, oneOf50Objects); got["two"] != 100 {
		t.Errorf("rolled back: %v", got)
	}

	restarted := &testClient{t: t, admission: newTestAdmission(t, twoCells(), cacheNames(8)...), now: 30 * sec}
	restarted.admission.SetMigrations(restarted.now, migrationOfCalm(boundByCapacity))
	status := restarted.admission.Migrations(restarted.now)[0]
	if status.Share != status.MinShare || status.Share < 0.2 {
		t.Errorf("a router that starts half-way: %+v", status)
	}
	restarted.now = 90 * sec
	if got := restarted.requestObjects(100, sec, oneOf50Objects); got["one"] != 100 {
		t.Errorf("and after the end: %v", got)
	}
}

// The migrating tenant floods: others of the cell that it goes to are served as before.
func TestFloodOfMigratingTenant(t *testing.T) {
	servedShare := func(times int) float64 {
		spec := twoCells()
		spec.Budget = Budget{RequestsPerSecond: 800, FillKBPerSecond: 4000}
		client := &testClient{t: t, admission: newTestAdmission(t, spec, cacheNames(8)...), now: 18 * sec}
		client.admission.SetMigrations(client.now, migrationOfCalm(boundByCapacity))
		sent, served := 0, 0
		for i := range 6000 {
			client.now += 5 * msec
			for range times {
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
	calm, flood := servedShare(0), servedShare(8)
	if flood < 0.98*calm {
		t.Errorf("the tenant that lives there: %.3f served in the flood, %.3f without", flood, calm)
	}
}

// Whatever happens to cells and documents, a migrating tenant is served by one of its two cells and no third.
func TestMigratingTenantStaysInItsTwoCells(t *testing.T) {
	spec := twoCells()
	spec.Cells = []Cell{{Name: "one", Share: 0.3}, {Name: "two", Share: 0.3}, {Name: "three", Share: 0.4}}
	caches := cacheNames(9)
	rapid.Check(t, func(t *rapid.T) {
		client := &testClient{admission: newTestAdmission(panickingT{}, spec, caches...), now: 15 * sec}
		version := int64(0)
		for range 60 {
			client.now += rapid.Int64Range(0, 2_000_000).Draw(t, "elapsed")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				version++
				client.admission.SetMigrations(client.now, drawMigrationOfCalm(t, client.now, version))
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
					t.Fatalf("sent to %s of cell %q", cache, cell)
				}
			}
			if open := len(client.admission.openRequests); open != 0 {
				t.Fatalf("%d requests counted as open", open)
			}
		}
	})
}

// drawMigrationOfCalm draws a document whose migration starts or started about now.
func drawMigrationOfCalm(t *rapid.T, now, version int64) *migration.Document {
	document := migrationOfCalm(func(m *migration.Migration) {
		m.Start = float64(now)/1000 + rapid.Float64Range(-30_000, 10_000).Draw(t, "start")
		m.Unbounded = rapid.Bool().Draw(t, "unbounded")
		if rapid.Bool().Draw(t, "rolls back") {
			m.RollbackAt = m.Start + rapid.Float64Range(0, 30_000).Draw(t, "rollback after")
		}
	})
	document.Version = version
	return document
}

// A document without a migration at this site changes nothing at all.
func TestMigrationsAtOtherSitesAreWithoutEffect(t *testing.T) {
	plain := &testClient{t: t, admission: newTestAdmission(t, twoCells(), cacheNames(8)...), now: 10 * sec}
	elsewhere := migrationOfCalm(func(m *migration.Migration) { m.Site = "elsewhere" })
	other := newMigrationClient(t, twoCells(), elsewhere)
	for i := range 2000 {
		event := routing.Event{PurgeGroup: int64(i % 60), Object: fmt.Sprintf("%016x", i%37), SizeKB: float64(i % 90)}
		plain.now += 5 * msec
		other.now += 5 * msec
		if a, b := plain.request(event), other.request(event); a != b {
			t.Fatalf("request %d: %s, and %s with a document", i, a, b)
		}
	}
	if !slices.Equal(plain.admission.Migrations(plain.now), other.admission.Migrations(other.now)) {
		t.Error("a migration where nobody migrates")
	}
	if version := other.admission.MigrationsVersion(); version != 1 {
		t.Errorf("version %d", version)
	}
}

// BenchmarkAdmitMigratingTenant is admission for a migrating tenant among a thousand.
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
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(document.Migrations)), "B/move")
}
