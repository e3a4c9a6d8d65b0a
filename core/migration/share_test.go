package migration

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// The share never falls while a migration goes on, never rises once it is rolled back, and never jumps: two routers
// whose clocks are apart differ by no more than that part of the shift.
func TestShareIsMonotonicAndContinuous(t *testing.T) {
	const interval = 777.0 // ms
	rapid.Check(t, func(t *rapid.T) {
		m := sampleMigration()
		m.WarmUp = rapid.Float64Range(1000, 60_000).Draw(t, "warm")
		m.MinShift = rapid.Float64Range(ShortestShiftMs, 300_000).Draw(t, "shift")
		if rapid.Bool().Draw(t, "held") {
			m.PausedAt = start + rapid.Float64Range(0, 300_000).Draw(t, "heldAt")
		}
		if rapid.Bool().Draw(t, "back") {
			m.RollbackAt = start + rapid.Float64Range(0, 300_000).Draw(t, "backAt")
		}
		skew := rapid.Float64Range(0, 2000).Draw(t, "apart")
		steepest := max(1/m.MinShift, hotShare/m.WarmUp)
		m.MaxShift = m.MinShift * rapid.Float64Range(1, 4).Draw(t, "slow")
		last := 0.0
		for at := start - 5000; at < start+800_000; at += interval {
			share := m.MaxShare(at)
			if low := m.MinShare(at); low < 0 || low > share || share > 1 {
				t.Fatalf("share %v over a minimum of %v", share, low)
			}
			if at > m.EndsAt() && m.MinShare(at) != share {
				t.Fatalf("over, and still %v to %v", m.MinShare(at), share)
			}
			falling := m.RollbackAt > 0 && at > m.RollbackAt
			reversed := falling && at-interval <= m.RollbackAt // since the last look
			if !reversed && (falling && share > last+1e-9 || !falling && share < last-1e-9) {
				t.Fatalf("share %v after %v at %v", share, last, at)
			}
			if d := math.Abs(m.MaxShare(at+skew) - share); d > skew*steepest+1e-6 {
				t.Fatalf("clocks %v ms apart differ by %v", skew, d)
			}
			last = share
		}
	})
}

// Objects move in one order, the hot ones first as listed, and each moves once.
func TestObjectsMoveInOrderOfPosition(t *testing.T) {
	m := sampleMigration()
	if m.Position("h0") >= m.Position("h1") || m.Position("h2") >= hotShare {
		t.Errorf("hot objects at %v, %v, %v", m.Position("h0"), m.Position("h1"), m.Position("h2"))
	}
	halfTime := start + m.WarmUp + m.MinShift/2
	moved := 0
	for i := range 10_000 {
		object := fmt.Sprintf("%016x", i)
		position := m.Position(object)
		if position < m.MaxShare(start+m.WarmUp) || position >= m.MaxShare(start+m.WarmUp+m.MinShift) {
			t.Fatalf("%s at %v moves during the warm-up or never", object, position)
		}
		if position < m.MaxShare(halfTime) {
			moved++
		}
	}
	if moved < 4800 || moved > 5200 {
		t.Errorf("%d of 10,000 objects have moved at half time", moved)
	}
}

func BenchmarkPosition(b *testing.B) {
	m := sampleMigration()
	b.ReportAllocs()
	for b.Loop() {
		m.Position("00f3a9c21e0b4d65")
	}
}
