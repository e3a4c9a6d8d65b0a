package migration

import (
	"math"
	"testing"
)

func TestPhaseByTime(t *testing.T) {
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
			t.Errorf("phase %v ms after start: %s, want %s", test.after, got, test.want)
		}
	}
	m.PausedAt = start + 50_000
	if got := m.Phase(start + 500_000); got != Paused {
		t.Errorf("phase while paused: %s", got)
	}
	if got, want := m.MaxShare(start+500_000), m.MaxShare(start+50_000); got != want || !math.IsInf(m.EndsAt(), 1) {
		t.Errorf("while paused: share %v, want %v, end %v", got, want, m.EndsAt())
	}
	m.RollbackAt = start + 600_000
	if got := m.Phase(start + 600_001); got != RollingBack {
		t.Errorf("phase after the start of the rollback: %s", got)
	}
	ended := m.EndsAt() + 1
	if got := m.Phase(ended); got != RolledBack || m.MaxShare(ended) != 0 {
		t.Errorf("after the rollback: phase %s at share %v", got, m.MaxShare(ended))
	}
}

// Guards against a jump of the share on resuming: a migration continues from its share at the pause, however
// long the pause was.
func TestResumedContinuesFromThePausedShare(t *testing.T) {
	m := sampleMigration()
	m.PausedAt = start + 40_000
	for _, at := range []float64{start + 40_000, start + 90_000, start + 1e6} {
		resumed := m.Resumed(at)
		if math.Abs(resumed.MaxShare(at)-m.MaxShare(at)) > 1e-9 || resumed.PausedAt != 0 {
			t.Errorf("paused at share %v, resumed at %v", m.MaxShare(at), resumed.MaxShare(at))
		}
		if resumed.MaxShare(at+10_000) <= m.MaxShare(at) {
			t.Errorf("share did not rise after resuming: %v", resumed.MaxShare(at+10_000))
		}
	}
}
