package migration

import (
	"math"
	"testing"
)

func TestPhases(t *testing.T) {
	m := sampleMigration()
	for _, test := range []struct {
		after float64 // ms after start
		want  Phase
	}{
		{-1, Planned},
		{0, Warming},
		{19_999, Warming},
		{20_000, Shifting},
		{79_999, Shifting},
		{80_000, Settling},
		{110_000, Done},
	} {
		if got := m.Phase(start + test.after); got != test.want {
			t.Errorf("%v ms: %s, want %s", test.after, got, test.want)
		}
	}
	m.PausedAt = start + 50_000
	if got := m.Phase(start + 500_000); got != Paused {
		t.Errorf("paused: %s", got)
	}
	if got, want := m.MaxShare(start+500_000), m.MaxShare(start+50_000); got != want || !math.IsInf(m.EndsAt(), 1) {
		t.Errorf("paused: share %v, want %v, until %v", got, want, m.EndsAt())
	}
	m.RollbackAt = start + 600_000
	if got := m.Phase(start + 600_001); got != RollingBack {
		t.Errorf("rolled back just now: %s", got)
	}
	ended := m.EndsAt() + 1
	if got := m.Phase(ended); got != RolledBack || m.MaxShare(ended) != 0 {
		t.Errorf("after the rollback: %s at share %v", got, m.MaxShare(ended))
	}
}

// A paused migration goes on from where it stood, however long it was paused.
func TestResumedContinuesFromThePausedShare(t *testing.T) {
	m := sampleMigration()
	m.PausedAt = start + 40_000
	for _, at := range []float64{start + 40_000, start + 90_000, start + 1e6} {
		resumed := m.Resumed(at)
		if math.Abs(resumed.MaxShare(at)-m.MaxShare(at)) > 1e-9 || resumed.PausedAt != 0 {
			t.Errorf("paused at share %v, resumed at %v", m.MaxShare(at), resumed.MaxShare(at))
		}
		if resumed.MaxShare(at+10_000) <= m.MaxShare(at) {
			t.Errorf("resumed, and still at share %v", resumed.MaxShare(at+10_000))
		}
	}
}
