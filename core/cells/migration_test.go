package cells

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"spantack/core/migration"
	"spantack/routing"
)

// migrationOfCalm is a document in which "calm" goes from cell two to cell one, from second 20 to second 40.
func migrationOfCalm(change ...func(*migration.Migration)) *migration.Document {
	m := migration.Migration{Tenant: "calm", Site: "z", From: "two", To: "one", Start: 20_000, MinShift: 20_000, Settle: 10_000, Unbounded: true}
	for _, c := range change {
		c(&m)
	}
	return &migration.Document{Version: 1, Migrations: []migration.Migration{m}}
}

func boundByCapacity(m *migration.Migration) { m.Unbounded, m.MaxShift = false, 40_000 }

// cellByCache tells by cache which cell it is in.
func cellByCache(m *Admission) map[string]string {
	in := map[string]string{}
	for _, c := range m.scope.cells {
		for _, name := range c.caches {
			in[name] = c.name
		}
	}
	return in
}

// requestObjects asks for n objects of calm's, spread over a time, and counts answers by cell; "" counts refusals.
func (a *testClient) requestObjects(n int, over int64, object func(i int) string) map[string]int {
	in := cellByCache(a.admission)
	got := map[string]int{}
	for i := range n {
		a.now += over / int64(n)
		node := a.request(routing.Event{PurgeGroup: 50, Object: object(i), SizeKB: 50})
		got[in[node]]++
	}
	return got
}

func oneOf50Objects(i int) string { return fmt.Sprintf("aa%014x", i%50) }

func TestMigrationFromStartToEnd(t *testing.T) {
	a := &testClient{t: t, admission: newTestAdmission(t, twoCells(), cacheNames(8)...), now: 10 * sec}
	a.admission.SetMigrations(a.now, migrationOfCalm())
	if got := a.requestObjects(100, 9*sec, oneOf50Objects); got["two"] != 100 {
		t.Errorf("before it starts: %v", got)
	}
	a.requestObjects(1000, 11*sec, oneOf50Objects)
	if p := a.admission.Migrations(a.now)[0]; p.Phase != "shifting" || p.Share < 0.4 || p.Share > p.MaxShare {
		t.Errorf("half-way: %+v", p)
	}
	half := a.requestObjects(500, sec/10, oneOf50Objects)
	if half["one"] < 100 || half["two"] < 100 || half["one"]+half["two"] != 500 {
		t.Errorf("half-way: %v", half)
	}
	where := map[string]string{}
	in := cellByCache(a.admission)
	for i := range 500 { // all parts of an object are in one cell at one time
		object := oneOf50Objects(i)
		cell := in[a.request(routing.Event{PurgeGroup: 50, Object: object, Chunk: int64(i / 50), SizeKB: 50})]
		if where[object] == "" {
			where[object] = cell
		}
		if where[object] != cell {
			t.Fatalf("part %d of %s goes to %s, others to %s", i/50, object, cell, where[object])
		}
	}
	a.now = 45 * sec
	a.requestObjects(200, sec, oneOf50Objects)
	if got := a.requestObjects(100, sec, oneOf50Objects); got["one"] != 100 {
		t.Errorf("at its end: %v", got)
	}
	a.now = 60 * sec
	if got := a.requestObjects(100, sec, oneOf50Objects); got["one"] != 100 {
		t.Errorf("after it: %v", got)
	}
	spec := twoCells()
	spec.Version, spec.Tenants[1].Cell = 2, "one"
	a.admission.SetAssignment(a.now, mustCompile(t, spec))
	a.admission.SetMigrations(a.now, &migration.Document{Version: 2})
	if got := a.requestObjects(100, sec, oneOf50Objects); got["one"] != 100 || len(a.admission.Migrations(a.now)) != 0 {
		t.Errorf("under an assignment that has it there: %v", got)
	}
}

// Until the move ends, parts that the new cell does not know come no faster than it bears: here links let 40 KB a second of fills into the
// cell, at this router. With the room's answer thrown away the test finds 19 times as much.
func TestMigrationStaysWithinDestinationCapacity(t *testing.T) {
	spec := twoCells()
	spec.Budget.FillKBPerSecond = 2 * 2 * 40 / 0.85
	a := &testClient{t: t, admission: newTestAdmission(t, spec, cacheNames(8)...), now: 10 * sec}
	a.admission.SetMigrations(a.now, migrationOfCalm(boundByCapacity))
	a.now = 20 * sec
	in := cellByCache(a.admission)
	seen := map[string]bool{}
	cold := map[int64]float64{} // KB by second
	for i := range 4000 {
		a.now += 10 * msec
		object := fmt.Sprintf("aa%014x", i%400)
		if node := a.request(routing.Event{PurgeGroup: 50, Object: object, SizeKB: 20}); in[node] == "one" && !seen[object] {
			seen[object] = true
			cold[a.now/sec] += 20
		}
	}
	if a.admission.Stats.Deferred == 0 {
		t.Error("nothing was kept back")
	}
	for s := range cold {
		if sum := cold[s] + cold[s+1] + cold[s+2]; sum > 3.5*40+20 {
			t.Errorf("%v KB that the cell did not know within 3 s", sum)
		}
	}
	if len(seen) < 30 {
		t.Errorf("only %d objects have gone over", len(seen))
	}
}

func TestMigrationWhileACellIsLost(t *testing.T) {
	down := func(a *testClient, cell string) {
		for name, in := range cellByCache(a.admission) {
			if in == cell {
				a.admission.Step(a.now, []routing.Event{{Kind: routing.EventEndpoints, UpdateMode: "update", Endpoints: []routing.Endpoint{{Server: name, Zone: "z", Kind: "box", Status: "cordoned", Weight: 10}}}})
			}
		}
	}
	start := func(change ...func(*migration.Migration)) *testClient {
		a := &testClient{t: t, admission: newTestAdmission(t, twoCells(), cacheNames(8)...), now: 10 * sec}
		a.admission.SetMigrations(a.now, migrationOfCalm(change...))
		a.now = 19 * sec
		a.requestObjects(600, 11*sec, oneOf50Objects)
		return a
	}
	a := start()
	down(a, "one")
	if got := a.requestObjects(200, sec, oneOf50Objects); got["two"] != 200 {
		t.Errorf("destination lost half-way: %v", got)
	}
	a.now = 60 * sec
	if got := a.requestObjects(200, sec, oneOf50Objects); got[""] != 200 {
		t.Errorf("destination lost, and the move over: %v", got)
	}
	a = start()
	down(a, "two")
	if got := a.requestObjects(200, sec, oneOf50Objects); got["one"] != 200 {
		t.Errorf("source lost half-way: %v", got)
	}
	// Bounded, what the new cell can't bear is refused at once, with the reason.
	spec := twoCells()
	spec.Budget.FillKBPerSecond = 100
	a = &testClient{t: t, admission: newTestAdmission(t, spec, cacheNames(8)...), now: 10 * sec}
	a.admission.SetMigrations(a.now, migrationOfCalm(boundByCapacity))
	a.now = 25 * sec
	down(a, "two")
	got := a.requestObjects(400, sec, func(i int) string { return fmt.Sprintf("aa%014x", i) })
	if got["one"] == 0 || got[""] == 0 || a.admission.Stats.Rejected[ReasonMigrating] == 0 {
		t.Errorf("source lost, and the new one bears little: %v, %v", got, a.admission.Stats.Rejected)
	}
}

// A document taken back leads everything to the old cell within one shift; a router that starts in the midst goes on from the document.
func TestMigrationRollbackAndRestart(t *testing.T) {
	a := &testClient{t: t, admission: newTestAdmission(t, twoCells(), cacheNames(8)...), now: 10 * sec}
	a.admission.SetMigrations(a.now, migrationOfCalm())
	a.now = 25 * sec
	a.requestObjects(200, 10*sec, oneOf50Objects)
	back := migrationOfCalm(func(m *migration.Migration) { m.RollbackAt = 35_000 })
	back.Version = 2
	mv := &back.Migrations[0]
	a.admission.SetMigrations(a.now, back)
	for range 100 { // on the way back each object is in the cell that its place in the order gives it
		object := oneOf50Objects(a.sent)
		a.requestObjects(1, 50*msec, func(int) string { return object })
		cell, share := cellByCache(a.admission)[a.request(routing.Event{PurgeGroup: 50, Object: object, SizeKB: 50})], a.admission.Migrations(a.now)[0].Share
		if want := map[bool]string{true: "one", false: "two"}[mv.Position(object) < share]; cell != want {
			t.Fatalf("at share %v object at %v goes to %s", share, mv.Position(object), cell)
		}
	}
	a.requestObjects(400, 30*sec, oneOf50Objects)
	if got := a.requestObjects(100, sec, oneOf50Objects); got["two"] != 100 {
		t.Errorf("taken back: %v", got)
	}
	b := &testClient{t: t, admission: newTestAdmission(t, twoCells(), cacheNames(8)...), now: 30 * sec}
	b.admission.SetMigrations(b.now, migrationOfCalm(boundByCapacity))
	if p := b.admission.Migrations(b.now)[0]; p.Share != p.MinShare || p.Share < 0.2 {
		t.Errorf("a router that starts half-way: %+v", p)
	}
	b.now = 90 * sec
	if got := b.requestObjects(100, sec, oneOf50Objects); got["one"] != 100 {
		t.Errorf("and after the end: %v", got)
	}
}

// The tenant that moves floods: others of the cell that it moves into are served as before.
func TestFloodOfMigratingTenant(t *testing.T) {
	served := func(times int) (share float64) {
		spec := twoCells()
		spec.Budget = Budget{RequestsPerSecond: 800, FillKBPerSecond: 4000}
		a := &testClient{t: t, admission: newTestAdmission(t, spec, cacheNames(8)...), now: 18 * sec}
		a.admission.SetMigrations(a.now, migrationOfCalm(boundByCapacity))
		asked, got := 0, 0
		for i := range 6000 {
			a.now += 5 * msec
			for range times {
				a.request(routing.Event{PurgeGroup: 50, Object: fmt.Sprintf("aa%014x", i*7%3000), SizeKB: 50})
			}
			asked++
			if node := a.request(routing.Event{PurgeGroup: 3, Object: fmt.Sprintf("00%014x", i%40), SizeKB: 20}); node != "" && node != "fail" {
				got++
			}
		}
		return float64(got) / float64(asked)
	}
	calm, flood := served(0), served(8)
	if flood < 0.98*calm {
		t.Errorf("the tenant that lives there: %.3f served in the flood, %.3f without", flood, calm)
	}
}

func TestCheckMigrationsNamesTheField(t *testing.T) {
	a := mustCompile(t, twoCells())
	if err := a.CheckMigrations(migrationOfCalm()); err != nil {
		t.Fatal(err)
	}
	if err := a.CheckMigrations(nil); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string]func(*migration.Migration){
		`moves.moves[0].tenant: "x" is no tenant`:       func(m *migration.Migration) { m.Tenant = "x" },
		`moves.moves[0].from: "x" is no cell`:           func(m *migration.Migration) { m.From = "x" },
		`moves.moves[0].from: loud is in cell one in d`: func(m *migration.Migration) { m.Tenant, m.From, m.To = "loud", "two", "two" },
	} {
		if err := a.CheckMigrations(migrationOfCalm(change)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
	nested := twoCells()
	nested.Scheme, nested.Width = SchemeNested, 2
	if err := mustCompile(t, nested).CheckMigrations(migrationOfCalm()); err == nil || !strings.Contains(err.Error(), "schemes fixed and overflow") {
		t.Errorf("got %v", err)
	}
}

// Whatever happens to cells and documents, a tenant on the move is served by one of its two cells and no third.
func TestMigratingTenantStaysInItsTwoCells(t *testing.T) {
	spec := twoCells()
	spec.Cells = []Cell{{Name: "one", Share: 0.3}, {Name: "two", Share: 0.3}, {Name: "three", Share: 0.4}}
	rapid.Check(t, func(t *rapid.T) {
		a := &testClient{t: nil, admission: newTestAdmission(panickingT{}, spec, cacheNames(9)...), now: 15 * sec}
		caches := cacheNames(9)
		version := int64(0)
		for range 60 {
			a.now += rapid.Int64Range(0, 2_000_000).Draw(t, "gone")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				version++
				doc := migrationOfCalm(func(m *migration.Migration) {
					m.Start = float64(a.now)/1000 + rapid.Float64Range(-30_000, 10_000).Draw(t, "start")
					m.Unbounded = rapid.Bool().Draw(t, "unbounded")
					if rapid.Bool().Draw(t, "back") {
						m.RollbackAt = m.Start + rapid.Float64Range(0, 30_000).Draw(t, "backAt")
					}
				})
				doc.Version = version
				a.admission.SetMigrations(a.now, doc)
			case 1:
				i := rapid.IntRange(0, 8).Draw(t, "cache")
				a.admission.Step(a.now, []routing.Event{{Kind: routing.EventEndpoints, UpdateMode: "update", Endpoints: []routing.Endpoint{{Server: caches[i], Zone: "z", Kind: "box", Weight: 10,
					Status: rapid.SampledFrom([]routing.EndpointStatus{"healthy", "cordoned", "deregistered"}).Draw(t, "status"), StartedAt: rapid.SampledFrom([]int64{0, a.now}).Draw(t, "up")}}}})
			default:
				in := cellByCache(a.admission)
				node := a.request(routing.Event{PurgeGroup: 50, Object: oneOf50Objects(rapid.IntRange(0, 49).Draw(t, "object")), SizeKB: 50})
				if cell := in[node]; node != "" && node != "fail" && cell != "one" && cell != "two" {
					t.Fatalf("sent to %s of cell %q", node, cell)
				}
			}
			if open := len(a.admission.openRequests); open != 0 {
				t.Fatalf("%d requests booked as open", open)
			}
		}
	})
}

// A document that moves nobody here changes nothing at all.
func TestMigrationsAtOtherSitesAreWithoutEffect(t *testing.T) {
	plain := &testClient{t: t, admission: newTestAdmission(t, twoCells(), cacheNames(8)...), now: 10 * sec}
	other := &testClient{t: t, admission: newTestAdmission(t, twoCells(), cacheNames(8)...), now: 10 * sec}
	other.admission.SetMigrations(other.now, migrationOfCalm(func(m *migration.Migration) { m.Site = "elsewhere" }))
	for i := range 2000 {
		ev := routing.Event{PurgeGroup: int64(i % 60), Object: fmt.Sprintf("%016x", i%37), SizeKB: float64(i % 90)}
		plain.now, other.now = plain.now+5*msec, other.now+5*msec
		if a, b := plain.request(ev), other.request(ev); a != b {
			t.Fatalf("request %d: %s, and %s with a document", i, a, b)
		}
	}
	if !slices.Equal(plain.admission.Migrations(plain.now), other.admission.Migrations(other.now)) || other.admission.MigrationsVersion() != 1 {
		t.Error("a path where nobody moves")
	}
}

// BenchmarkAdmitMigratingTenant is the gate for a tenant on the move among a thousand that move.
func BenchmarkAdmitMigratingTenant(b *testing.B) {
	spec := twoCells()
	doc := &migration.Document{Version: 1}
	spec.Tenants, spec.TenantKeys = nil, nil
	for i := range 10_000 {
		name := fmt.Sprintf("t%05d", i)
		spec.Tenants = append(spec.Tenants, Tenant{Name: name, Cell: "two"})
		spec.TenantKeys = append(spec.TenantKeys, TenantKey{ObjectPrefix: fmt.Sprintf("%05x", i), Tenant: name})
		if i < 1000 {
			doc.Migrations = append(doc.Migrations, migration.Migration{Tenant: name, Site: "z", From: "two", To: "one", Start: 1000, MinShift: 1e8, MaxShift: 2e8})
		}
	}
	spec.TenantKeys = append(spec.TenantKeys, TenantKey{Tenant: "t00000"})
	m := newTestAdmission(b, spec, cacheNames(64)...)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m.SetMigrations(2*sec, doc)
	runtime.GC()
	runtime.ReadMemStats(&after)
	var objects []string
	for i := range 1000 {
		objects = append(objects, fmt.Sprintf("%05x%011x", i, i*31))
	}
	now, i := 3*sec, 0
	ev := routing.Event{Kind: routing.EventRequest, Class: "page", Timeout: 3 * sec, SizeKB: 50}
	b.ReportAllocs()
	for b.Loop() {
		now += 50
		i++
		ev.Object, ev.RequestID = objects[i%1000], "x"
		if m.admit(now, &ev) == ReasonNone {
			m.closeRequest("x")
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(doc.Migrations)), "B/move")
}
