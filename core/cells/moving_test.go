package cells

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"spantack/core/moves"
	"spantack/rules"
)

// goes is a document in which "calm" goes from cell two to cell one, from second 20 to second 40.
func goes(change ...func(*moves.Move)) *moves.Document {
	m := moves.Move{Tenant: "calm", Depot: "z", From: "two", To: "one", Start: 20_000, Shift: 20_000, Settle: 10_000, Unbounded: true}
	for _, c := range change {
		c(&m)
	}
	return &moves.Document{Version: 1, Moves: []moves.Move{m}}
}

func bounded(m *moves.Move) { m.Unbounded, m.Slow = false, 40_000 }

// cellsOf tells by cache which cell it is in.
func cellsOf(m *Module) map[string]string {
	in := map[string]string{}
	for _, c := range m.cells {
		for _, name := range c.names {
			in[name] = c.name
		}
	}
	return in
}

// sends asks for n objects of calm's, spread over a time, and counts answers by cell; "" counts refusals.
func (a *asker) sends(n int, over int64, object func(i int) string) map[string]int {
	in := cellsOf(a.m)
	got := map[string]int{}
	for i := range n {
		a.now += over / int64(n)
		node := a.ask(rules.Event{PurgeGroup: 50, Object: object(i), SizeKB: 50})
		got[in[node]]++
	}
	return got
}

func any50(i int) string { return fmt.Sprintf("aa%014x", i%50) }

func TestMoveFromStartToEnd(t *testing.T) {
	a := &asker{t: t, m: module(t, two(), names(8)...), now: 10 * sec}
	a.m.Move(a.now, goes())
	if got := a.sends(100, 9*sec, any50); got["two"] != 100 {
		t.Errorf("before it starts: %v", got)
	}
	a.sends(1000, 11*sec, any50)
	if p := a.m.Paths(a.now)[0]; p.Phase != "shifting" || p.Share < 0.4 || p.Share > p.Most {
		t.Errorf("half-way: %+v", p)
	}
	half := a.sends(500, sec/10, any50)
	if half["one"] < 100 || half["two"] < 100 || half["one"]+half["two"] != 500 {
		t.Errorf("half-way: %v", half)
	}
	where := map[string]string{}
	in := cellsOf(a.m)
	for i := range 500 { // all parts of an object are in one cell at one time
		object := any50(i)
		cell := in[a.ask(rules.Event{PurgeGroup: 50, Object: object, Chunk: int64(i / 50), SizeKB: 50})]
		if where[object] == "" {
			where[object] = cell
		}
		if where[object] != cell {
			t.Fatalf("part %d of %s goes to %s, others to %s", i/50, object, cell, where[object])
		}
	}
	a.now = 45 * sec
	a.sends(200, sec, any50)
	if got := a.sends(100, sec, any50); got["one"] != 100 {
		t.Errorf("at its end: %v", got)
	}
	a.now = 60 * sec
	if got := a.sends(100, sec, any50); got["one"] != 100 {
		t.Errorf("after it: %v", got)
	}
	spec := two()
	spec.Version, spec.Tenants[1].Cell = 2, "one"
	a.m.Confine(a.now, compile(t, spec))
	a.m.Move(a.now, &moves.Document{Version: 2})
	if got := a.sends(100, sec, any50); got["one"] != 100 || len(a.m.Paths(a.now)) != 0 {
		t.Errorf("under an assignment that has it there: %v", got)
	}
}

// Until the move ends, parts that the new cell does not know come no faster than it bears: here links let 40 KB a second of fills into the
// cell, at this router. With the room's answer thrown away the test finds 19 times as much.
func TestMoveKeepsToWhatTheNewCellBears(t *testing.T) {
	spec := two()
	spec.Budget.FillKbPerS = 2 * 2 * 40 / 0.85
	a := &asker{t: t, m: module(t, spec, names(8)...), now: 10 * sec}
	a.m.Move(a.now, goes(bounded))
	a.now = 20 * sec
	in := cellsOf(a.m)
	seen := map[string]bool{}
	cold := map[int64]float64{} // KB by second
	for i := range 4000 {
		a.now += 10 * msec
		object := fmt.Sprintf("aa%014x", i%400)
		if node := a.ask(rules.Event{PurgeGroup: 50, Object: object, SizeKB: 20}); in[node] == "one" && !seen[object] {
			seen[object] = true
			cold[a.now/sec] += 20
		}
	}
	if a.m.Stats.Kept == 0 {
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

func TestMoveWhileACellIsLost(t *testing.T) {
	down := func(a *asker, cell string) {
		for name, in := range cellsOf(a.m) {
			if in == cell {
				a.m.Step(a.now, []rules.Event{{Kind: rules.EventEndpoints, UpdateMode: "update", Endpoints: []rules.Endpoint{{Server: name, Zone: "z", Kind: "box", Status: "cordoned", Weight: 10}}}})
			}
		}
	}
	start := func(change ...func(*moves.Move)) *asker {
		a := &asker{t: t, m: module(t, two(), names(8)...), now: 10 * sec}
		a.m.Move(a.now, goes(change...))
		a.now = 19 * sec
		a.sends(600, 11*sec, any50)
		return a
	}
	a := start()
	down(a, "one")
	if got := a.sends(200, sec, any50); got["two"] != 200 {
		t.Errorf("destination lost half-way: %v", got)
	}
	a.now = 60 * sec
	if got := a.sends(200, sec, any50); got[""] != 200 {
		t.Errorf("destination lost, and the move over: %v", got)
	}
	a = start()
	down(a, "two")
	if got := a.sends(200, sec, any50); got["one"] != 200 {
		t.Errorf("source lost half-way: %v", got)
	}
	// Bounded, what the new cell can't bear is refused at once, with the reason.
	spec := two()
	spec.Budget.FillKbPerS = 100
	a = &asker{t: t, m: module(t, spec, names(8)...), now: 10 * sec}
	a.m.Move(a.now, goes(bounded))
	a.now = 25 * sec
	down(a, "two")
	got := a.sends(400, sec, func(i int) string { return fmt.Sprintf("aa%014x", i) })
	if got["one"] == 0 || got[""] == 0 || a.m.Stats.Refused[Moving] == 0 {
		t.Errorf("source lost, and the new one bears little: %v, %v", got, a.m.Stats.Refused)
	}
}

// A document taken back leads everything to the old cell within one shift; a router that starts in the midst goes on from the document.
func TestMoveBackAndRestart(t *testing.T) {
	a := &asker{t: t, m: module(t, two(), names(8)...), now: 10 * sec}
	a.m.Move(a.now, goes())
	a.now = 25 * sec
	a.sends(200, 10*sec, any50)
	back := goes(func(m *moves.Move) { m.BackAt = 35_000 })
	back.Version = 2
	mv := &back.Moves[0]
	a.m.Move(a.now, back)
	for range 100 { // on the way back each object is in the cell that its place in the order gives it
		object := any50(a.n)
		a.sends(1, 50*msec, func(int) string { return object })
		cell, share := cellsOf(a.m)[a.ask(rules.Event{PurgeGroup: 50, Object: object, SizeKB: 50})], a.m.Paths(a.now)[0].Share
		if want := map[bool]string{true: "one", false: "two"}[mv.Place(object) < share]; cell != want {
			t.Fatalf("at share %v object at %v goes to %s", share, mv.Place(object), cell)
		}
	}
	a.sends(400, 30*sec, any50)
	if got := a.sends(100, sec, any50); got["two"] != 100 {
		t.Errorf("taken back: %v", got)
	}
	b := &asker{t: t, m: module(t, two(), names(8)...), now: 30 * sec}
	b.m.Move(b.now, goes(bounded))
	if p := b.m.Paths(b.now)[0]; p.Share != p.Least || p.Share < 0.2 {
		t.Errorf("a router that starts half-way: %+v", p)
	}
	b.now = 90 * sec
	if got := b.sends(100, sec, any50); got["one"] != 100 {
		t.Errorf("and after the end: %v", got)
	}
}

// The tenant that moves floods: others of the cell that it moves into are served as before.
func TestMoverThatFloods(t *testing.T) {
	served := func(times int) (share float64) {
		spec := two()
		spec.Budget = Budget{RequestsPerS: 800, FillKbPerS: 4000}
		a := &asker{t: t, m: module(t, spec, names(8)...), now: 18 * sec}
		a.m.Move(a.now, goes(bounded))
		asked, got := 0, 0
		for i := range 6000 {
			a.now += 5 * msec
			for range times {
				a.ask(rules.Event{PurgeGroup: 50, Object: fmt.Sprintf("aa%014x", i*7%3000), SizeKB: 50})
			}
			asked++
			if node := a.ask(rules.Event{PurgeGroup: 3, Object: fmt.Sprintf("00%014x", i%40), SizeKB: 20}); node != "" && node != "fail" {
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

func TestFitsNamesTheField(t *testing.T) {
	a := compile(t, two())
	if err := a.Fits(goes()); err != nil {
		t.Fatal(err)
	}
	if err := a.Fits(nil); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string]func(*moves.Move){
		`moves.moves[0].tenant: "x" is no tenant`:       func(m *moves.Move) { m.Tenant = "x" },
		`moves.moves[0].from: "x" is no cell`:           func(m *moves.Move) { m.From = "x" },
		`moves.moves[0].from: loud is in cell one in d`: func(m *moves.Move) { m.Tenant, m.From, m.To = "loud", "two", "two" },
	} {
		if err := a.Fits(goes(change)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
	nested := two()
	nested.Scheme, nested.Width = Nested, 2
	if err := compile(t, nested).Fits(goes()); err == nil || !strings.Contains(err.Error(), "schemes fixed and overflow") {
		t.Errorf("got %v", err)
	}
}

// Whatever happens to cells and documents, a tenant on the move is served by one of its two cells and no third.
func TestMoversStayInTheirTwoCells(t *testing.T) {
	spec := two()
	spec.Cells = []Cell{{Name: "one", Share: 0.3}, {Name: "two", Share: 0.3}, {Name: "three", Share: 0.4}}
	rapid.Check(t, func(t *rapid.T) {
		a := &asker{t: nil, m: module(noT{}, spec, names(9)...), now: 15 * sec}
		caches := names(9)
		version := int64(0)
		for range 60 {
			a.now += rapid.Int64Range(0, 2_000_000).Draw(t, "gone")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				version++
				doc := goes(func(m *moves.Move) {
					m.Start = float64(a.now)/1000 + rapid.Float64Range(-30_000, 10_000).Draw(t, "start")
					m.Unbounded = rapid.Bool().Draw(t, "unbounded")
					if rapid.Bool().Draw(t, "back") {
						m.BackAt = m.Start + rapid.Float64Range(0, 30_000).Draw(t, "backAt")
					}
				})
				doc.Version = version
				a.m.Move(a.now, doc)
			case 1:
				i := rapid.IntRange(0, 8).Draw(t, "cache")
				a.m.Step(a.now, []rules.Event{{Kind: rules.EventEndpoints, UpdateMode: "update", Endpoints: []rules.Endpoint{{Server: caches[i], Zone: "z", Kind: "box", Weight: 10,
					Status: rapid.SampledFrom([]rules.EndpointStatus{"healthy", "cordoned", "deregistered"}).Draw(t, "status"), StartedAt: rapid.SampledFrom([]int64{0, a.now}).Draw(t, "up")}}}})
			default:
				in := cellsOf(a.m)
				node := a.ask(rules.Event{PurgeGroup: 50, Object: any50(rapid.IntRange(0, 49).Draw(t, "object")), SizeKB: 50})
				if cell := in[node]; node != "" && node != "fail" && cell != "one" && cell != "two" {
					t.Fatalf("sent to %s of cell %q", node, cell)
				}
			}
			if open := len(a.m.open); open != 0 {
				t.Fatalf("%d requests booked as open", open)
			}
		}
	})
}

// noT is for helpers inside a property: what they would fail by is a fault of the test itself.
type noT struct{ testing.TB }

func (noT) Helper()           {}
func (noT) Fatal(args ...any) { panic(fmt.Sprint(args...)) }

// A document that moves nobody here changes nothing at all.
func TestMovesElsewhereAreWithoutEffect(t *testing.T) {
	plain := &asker{t: t, m: module(t, two(), names(8)...), now: 10 * sec}
	other := &asker{t: t, m: module(t, two(), names(8)...), now: 10 * sec}
	other.m.Move(other.now, goes(func(m *moves.Move) { m.Depot = "elsewhere" }))
	for i := range 2000 {
		ev := rules.Event{PurgeGroup: int64(i % 60), Object: fmt.Sprintf("%016x", i%37), SizeKB: float64(i % 90)}
		plain.now, other.now = plain.now+5*msec, other.now+5*msec
		if a, b := plain.ask(ev), other.ask(ev); a != b {
			t.Fatalf("request %d: %s, and %s with a document", i, a, b)
		}
	}
	if !slices.Equal(plain.m.Paths(plain.now), other.m.Paths(other.now)) || other.m.Moves() != 1 {
		t.Error("a path where nobody moves")
	}
}

// BenchmarkMover is the gate for a tenant on the move among a thousand that move.
func BenchmarkMover(b *testing.B) {
	spec := two()
	doc := &moves.Document{Version: 1}
	spec.Tenants, spec.Keys = nil, nil
	for i := range 10_000 {
		name := fmt.Sprintf("t%05d", i)
		spec.Tenants = append(spec.Tenants, Tenant{Name: name, Cell: "two"})
		spec.Keys = append(spec.Keys, Key{Prefix: fmt.Sprintf("%05x", i), Tenant: name})
		if i < 1000 {
			doc.Moves = append(doc.Moves, moves.Move{Tenant: name, Depot: "z", From: "two", To: "one", Start: 1000, Shift: 1e8, Slow: 2e8})
		}
	}
	spec.Keys = append(spec.Keys, Key{Tenant: "t00000"})
	m := module(b, spec, names(64)...)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m.Move(2*sec, doc)
	runtime.GC()
	runtime.ReadMemStats(&after)
	var objects []string
	for i := range 1000 {
		objects = append(objects, fmt.Sprintf("%05x%011x", i, i*31))
	}
	now, i := 3*sec, 0
	ev := rules.Event{Kind: rules.EventRequest, Class: "page", Timeout: 3 * sec, SizeKB: 50}
	b.ReportAllocs()
	for b.Loop() {
		now += 50
		i++
		ev.Object, ev.RequestID = objects[i%1000], "x"
		if m.admit(now, &ev) == None {
			m.over("x")
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(doc.Moves)), "B/move")
}
