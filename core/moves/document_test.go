package moves

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"spantack/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

const start = 1_764_576_000_000.0

func move() Move {
	return Move{Tenant: "t", Depot: "d", From: "a", To: "b", Start: start, Warm: 20_000, Shift: 60_000, Settle: 30_000, Hot: []string{"h0", "h1", "h2"}}
}

func TestPhases(t *testing.T) {
	m := move()
	for at, want := range map[float64]Phase{-1: Planned, 0: Warming, 19_999: Warming, 20_000: Shifting, 79_999: Shifting, 80_000: Settling, 110_000: Done} {
		if got := m.Phase(start + at); got != want {
			t.Errorf("%v ms: %s, want %s", at, got, want)
		}
	}
	m.HeldAt = start + 50_000
	if got := m.Phase(start + 500_000); got != Held || m.Share(start+500_000) != m.Share(start+50_000) || !math.IsInf(m.Until(), 1) {
		t.Errorf("%s at share %v until %v", got, m.Share(start+500_000), m.Until())
	}
	m.BackAt = start + 600_000
	if m.Phase(start+600_001) != GoingBack || m.Phase(m.Until()+1) != Back || m.Share(m.Until()+1) != 0 {
		t.Errorf("%s, then %s", m.Phase(start+600_001), m.Phase(m.Until()+1))
	}
}

// A held move goes on from where it stood, however long it was held.
func TestResumedGoesOnWhereItStood(t *testing.T) {
	m := move()
	m.HeldAt = start + 40_000
	for _, at := range []float64{start + 40_000, start + 90_000, start + 1e6} {
		r := m.Resumed(at)
		if math.Abs(r.Share(at)-m.Share(at)) > 1e-9 || r.Share(at+10_000) <= m.Share(at) || r.HeldAt != 0 {
			t.Errorf("held at %v, resumed at %v", m.Share(at), r.Share(at))
		}
	}
}

// The share goes up and never down while a move goes on, down and never up once it is taken back, and never jumps: two routers whose
// clocks are apart differ by no more than that part of the shift.
func TestShareIsSteady(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := move()
		m.Warm = rapid.Float64Range(1000, 60_000).Draw(t, "warm")
		m.Shift = rapid.Float64Range(LeastShift, 300_000).Draw(t, "shift")
		if rapid.Bool().Draw(t, "held") {
			m.HeldAt = start + rapid.Float64Range(0, 300_000).Draw(t, "heldAt")
		}
		if rapid.Bool().Draw(t, "back") {
			m.BackAt = start + rapid.Float64Range(0, 300_000).Draw(t, "backAt")
		}
		apart := rapid.Float64Range(0, 2000).Draw(t, "apart")
		fastest := max(1/m.Shift, hotShare/m.Warm)
		m.Slow = m.Shift * rapid.Float64Range(1, 4).Draw(t, "slow")
		last := 0.0
		for at := start - 5000; at < start+800_000; at += 777 {
			share := m.Share(at)
			if low := m.Floor(at); low < 0 || low > share || share > 1 {
				t.Fatalf("share %v over a floor of %v", share, low)
			}
			if at > m.Until() && m.Floor(at) != share {
				t.Fatalf("over, and still %v to %v", m.Floor(at), share)
			}
			back := m.BackAt > 0 && at > m.BackAt // and was so at the last look
			if turned := back && at-777 <= m.BackAt; !turned && (back && share > last+1e-9 || !back && share < last-1e-9) {
				t.Fatalf("share %v after %v at %v", share, last, at)
			}
			if d := math.Abs(m.Share(at+apart) - share); d > apart*fastest+1e-6 {
				t.Fatalf("clocks %v ms apart differ by %v", apart, d)
			}
			last = share
		}
	})
}

// Objects move in one order, the hot ones first as named, and each moves once.
func TestObjectsMoveInOrder(t *testing.T) {
	m := move()
	if m.Place("h0") >= m.Place("h1") || m.Place("h2") >= hotShare {
		t.Errorf("hot objects at %v, %v, %v", m.Place("h0"), m.Place("h1"), m.Place("h2"))
	}
	half, moved := start+m.Warm+m.Shift/2, 0
	for i := range 10_000 {
		object := fmt.Sprintf("%016x", i)
		place := m.Place(object)
		if place < m.Share(start+m.Warm) || place >= m.Share(start+m.Warm+m.Shift) {
			t.Fatalf("%s at %v moves in the warming or never", object, place)
		}
		if place < m.Share(half) {
			moved++
		}
	}
	if moved < 4800 || moved > 5200 {
		t.Errorf("%d of 10,000 objects have moved at half time", moved)
	}
}

func TestCheckNamesTheField(t *testing.T) {
	before := &Document{Version: 3, Moves: []Move{move()}}
	for want, spoil := range map[string]func(*Document){
		"version: ":                          func(d *Document) { d.Version = 3 },
		"moves[0].tenant: ":                  func(d *Document) { d.Moves[0].Depot = "" },
		"moves[0].to: ":                      func(d *Document) { d.Moves[0].To = "a" },
		"moves[0].start: can't be used: NaN": func(d *Document) { d.Moves[0].Start = math.NaN() },
		"moves[0].warm: ":                    func(d *Document) { d.Moves[0].Warm = -1 },
		"moves[0].shift: ":                   func(d *Document) { d.Moves[0].Shift = 9999 },
		"moves[0].slow: ":                    func(d *Document) { d.Moves[0].Slow = 100 },
		"moves[1].tenant: can't be used: t moves twice":   func(d *Document) { d.Moves = append(d.Moves, move()); d.Moves[1].Depot = "*" },
		"moves: can't be used: that of t in d is warming": func(d *Document) { d.Moves = nil },
		"moves[0].hot: ":    func(d *Document) { d.Moves[0].Warm = 0 },
		"moves[0].backAt: ": func(d *Document) { d.Moves[0].BackAt = start - 1 },
		"moves[0].start: can't be used: would be done already": func(d *Document) { d.Moves[0].Tenant = "late" },
	} {
		d := &Document{Version: 4, Moves: []Move{move()}}
		spoil(d)
		now := start + 1000
		if strings.Contains(want, "would be") {
			now = start + 1e6
		}
		if err := d.Check(now, before); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
	if err := (&Document{Version: 4, Moves: []Move{move()}}).Check(start+1e6, before); err != nil {
		t.Errorf("a move begun before: %v", err)
	}
}

func BenchmarkPlace(b *testing.B) {
	m := move()
	b.ReportAllocs()
	for b.Loop() {
		m.Place("00f3a9c21e0b4d65")
	}
}
