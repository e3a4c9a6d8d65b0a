package migration

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

func move() Migration {
	return Migration{Tenant: "t", Site: "d", From: "a", To: "b", Start: start, WarmUp: 20_000, MinShift: 60_000, Settle: 30_000, HotObjects: []string{"h0", "h1", "h2"}}
}

func TestPhases(t *testing.T) {
	m := move()
	for at, want := range map[float64]Phase{-1: Planned, 0: Warming, 19_999: Warming, 20_000: Shifting, 79_999: Shifting, 80_000: Settling, 110_000: Done} {
		if got := m.Phase(start + at); got != want {
			t.Errorf("%v ms: %s, want %s", at, got, want)
		}
	}
	m.PausedAt = start + 50_000
	if got := m.Phase(start + 500_000); got != Paused || m.MaxShare(start+500_000) != m.MaxShare(start+50_000) || !math.IsInf(m.EndsAt(), 1) {
		t.Errorf("%s at share %v until %v", got, m.MaxShare(start+500_000), m.EndsAt())
	}
	m.RollbackAt = start + 600_000
	if m.Phase(start+600_001) != RollingBack || m.Phase(m.EndsAt()+1) != RolledBack || m.MaxShare(m.EndsAt()+1) != 0 {
		t.Errorf("%s, then %s", m.Phase(start+600_001), m.Phase(m.EndsAt()+1))
	}
}

// A held move goes on from where it stood, however long it was held.
func TestResumedGoesOnWhereItStood(t *testing.T) {
	m := move()
	m.PausedAt = start + 40_000
	for _, at := range []float64{start + 40_000, start + 90_000, start + 1e6} {
		r := m.Resumed(at)
		if math.Abs(r.MaxShare(at)-m.MaxShare(at)) > 1e-9 || r.MaxShare(at+10_000) <= m.MaxShare(at) || r.PausedAt != 0 {
			t.Errorf("held at %v, resumed at %v", m.MaxShare(at), r.MaxShare(at))
		}
	}
}

// The share goes up and never down while a move goes on, down and never up once it is taken back, and never jumps: two routers whose
// clocks are apart differ by no more than that part of the shift.
func TestShareIsSteady(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := move()
		m.WarmUp = rapid.Float64Range(1000, 60_000).Draw(t, "warm")
		m.MinShift = rapid.Float64Range(ShortestShiftMs, 300_000).Draw(t, "shift")
		if rapid.Bool().Draw(t, "held") {
			m.PausedAt = start + rapid.Float64Range(0, 300_000).Draw(t, "heldAt")
		}
		if rapid.Bool().Draw(t, "back") {
			m.RollbackAt = start + rapid.Float64Range(0, 300_000).Draw(t, "backAt")
		}
		apart := rapid.Float64Range(0, 2000).Draw(t, "apart")
		fastest := max(1/m.MinShift, hotShare/m.WarmUp)
		m.MaxShift = m.MinShift * rapid.Float64Range(1, 4).Draw(t, "slow")
		last := 0.0
		for at := start - 5000; at < start+800_000; at += 777 {
			share := m.MaxShare(at)
			if low := m.MinShare(at); low < 0 || low > share || share > 1 {
				t.Fatalf("share %v over a floor of %v", share, low)
			}
			if at > m.EndsAt() && m.MinShare(at) != share {
				t.Fatalf("over, and still %v to %v", m.MinShare(at), share)
			}
			back := m.RollbackAt > 0 && at > m.RollbackAt // and was so at the last look
			if turned := back && at-777 <= m.RollbackAt; !turned && (back && share > last+1e-9 || !back && share < last-1e-9) {
				t.Fatalf("share %v after %v at %v", share, last, at)
			}
			if d := math.Abs(m.MaxShare(at+apart) - share); d > apart*fastest+1e-6 {
				t.Fatalf("clocks %v ms apart differ by %v", apart, d)
			}
			last = share
		}
	})
}

// Objects move in one order, the hot ones first as named, and each moves once.
func TestObjectsMoveInOrder(t *testing.T) {
	m := move()
	if m.Position("h0") >= m.Position("h1") || m.Position("h2") >= hotShare {
		t.Errorf("hot objects at %v, %v, %v", m.Position("h0"), m.Position("h1"), m.Position("h2"))
	}
	half, moved := start+m.WarmUp+m.MinShift/2, 0
	for i := range 10_000 {
		object := fmt.Sprintf("%016x", i)
		place := m.Position(object)
		if place < m.MaxShare(start+m.WarmUp) || place >= m.MaxShare(start+m.WarmUp+m.MinShift) {
			t.Fatalf("%s at %v moves in the warming or never", object, place)
		}
		if place < m.MaxShare(half) {
			moved++
		}
	}
	if moved < 4800 || moved > 5200 {
		t.Errorf("%d of 10,000 objects have moved at half time", moved)
	}
}

func TestCheckNamesTheField(t *testing.T) {
	before := &Document{Version: 3, Migrations: []Migration{move()}}
	for want, spoil := range map[string]func(*Document){
		"version: ":                          func(d *Document) { d.Version = 3 },
		"moves[0].tenant: ":                  func(d *Document) { d.Migrations[0].Site = "" },
		"moves[0].to: ":                      func(d *Document) { d.Migrations[0].To = "a" },
		"moves[0].start: can't be used: NaN": func(d *Document) { d.Migrations[0].Start = math.NaN() },
		"moves[0].warm: ":                    func(d *Document) { d.Migrations[0].WarmUp = -1 },
		"moves[0].shift: ":                   func(d *Document) { d.Migrations[0].MinShift = 9999 },
		"moves[0].slow: ":                    func(d *Document) { d.Migrations[0].MaxShift = 100 },
		"moves[1].tenant: can't be used: t moves twice":   func(d *Document) { d.Migrations = append(d.Migrations, move()); d.Migrations[1].Site = "*" },
		"moves: can't be used: that of t in d is warming": func(d *Document) { d.Migrations = nil },
		"moves[0].hot: ":    func(d *Document) { d.Migrations[0].WarmUp = 0 },
		"moves[0].backAt: ": func(d *Document) { d.Migrations[0].RollbackAt = start - 1 },
		"moves[0].start: can't be used: would be done already": func(d *Document) { d.Migrations[0].Tenant = "late" },
	} {
		d := &Document{Version: 4, Migrations: []Migration{move()}}
		spoil(d)
		now := start + 1000
		if strings.Contains(want, "would be") {
			now = start + 1e6
		}
		if err := d.Validate(now, before); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
	if err := (&Document{Version: 4, Migrations: []Migration{move()}}).Validate(start+1e6, before); err != nil {
		t.Errorf("a move begun before: %v", err)
	}
}

func BenchmarkPlace(b *testing.B) {
	m := move()
	b.ReportAllocs()
	for b.Loop() {
		m.Position("00f3a9c21e0b4d65")
	}
}
