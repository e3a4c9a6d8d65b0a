package migration

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a share that falls before a rollback, rises during one, or jumps. Two routers whose clocks differ may
// differ in the share only by the clock difference times the steepest slope.
func TestShareIsMonotonicAndContinuous(t *testing.T) {
	const interval = 777.0 // ms
	rapid.Check(t, func(t *rapid.T) {
		m := sampleMigration()
		m.WarmUp = rapid.Float64Range(1000, 60_000).Draw(t, "warmUp")
		m.MinShift = rapid.Float64Range(ShortestShiftMs, 300_000).Draw(t, "minShift")
		if rapid.Bool().Draw(t, "paused") {
			m.PausedAt = start + rapid.Float64Range(0, 300_000).Draw(t, "pausedAfter")
		}
		if rapid.Bool().Draw(t, "rolledBack") {
			m.RollbackAt = start + rapid.Float64Range(0, 300_000).Draw(t, "rollbackAfter")
		}
		skew := rapid.Float64Range(0, 2000).Draw(t, "skew")
		steepestSlope := max(1/m.MinShift, hotPositionRange/m.WarmUp)
		m.MaxShift = m.MinShift * rapid.Float64Range(1, 4).Draw(t, "maxShiftFactor")
		last := 0.0
		for at := start - 5000; at < start+800_000; at += interval {
			share := m.MaxShare(at)
			if minShare := m.MinShare(at); minShare < 0 || minShare > share || share > 1 {
				t.Fatalf("MaxShare %v with MinShare %v", share, minShare)
			}
			if at > m.EndsAt() && m.MinShare(at) != share {
				t.Fatalf("after the end, MinShare %v and MaxShare %v", m.MinShare(at), share)
			}
			falling := m.RollbackAt > 0 && at > m.RollbackAt
			reversed := falling && at-interval <= m.RollbackAt // since the last iteration
			if !reversed && (falling && share > last+1e-9 || !falling && share < last-1e-9) {
				t.Fatalf("share %v after %v at %v ms", share, last, at)
			}
			if d := math.Abs(m.MaxShare(at+skew) - share); d > skew*steepestSlope+1e-6 {
				t.Fatalf("clocks %v ms apart, shares differ by %v", skew, d)
			}
			last = share
		}
	})
}

// Guards against objects that move in the wrong order. Hot objects must move first, in the order of the document. No
// other object may move during the warm-up. All others must move by the end of the shift, evenly over it.
func TestObjectsMoveInOrderOfPosition(t *testing.T) {
	m := sampleMigration()
	if m.Position("h0") >= m.Position("h1") || m.Position("h2") >= hotPositionRange {
		t.Errorf("positions of hot objects: %v, %v, %v", m.Position("h0"), m.Position("h1"), m.Position("h2"))
	}
	halfway := start + m.WarmUp + m.MinShift/2
	moved := 0
	for i := range 10_000 {
		object := fmt.Sprintf("%016x", i)
		position := m.Position(object)
		if position < m.MaxShare(start+m.WarmUp) || position >= m.MaxShare(start+m.WarmUp+m.MinShift) {
			t.Fatalf("object %s at position %v moves during the warm-up or never", object, position)
		}
		if position < m.MaxShare(halfway) {
			moved++
		}
	}
	if moved < 4800 || moved > 5200 {
		t.Errorf("%d of 10,000 objects have moved halfway through the shift", moved)
	}
}

func BenchmarkPosition(b *testing.B) {
	m := sampleMigration()
	b.ReportAllocs()
	for b.Loop() {
		m.Position("00f3a9c21e0b4d65")
	}
}
