package ratelog

import "testing"

// Only one line may be allowed per Interval, and a recorded line must count too.
func TestAllowOncePerInterval(t *testing.T) {
	const start = 1_764_576_000_000
	var limiter Limiter
	for _, step := range []struct {
		now  float64
		want bool
	}{
		{start, true},
		{start, false},
		{start + Interval - 1, false},
		{start + Interval, true},
		{start + Interval + 1, false},
	} {
		if got := limiter.Allow(step.now); got != step.want {
			t.Errorf("at %v: allowed %v, want %v", step.now, got, step.want)
		}
	}
	limiter.Record(start + 2*Interval - 1)
	if limiter.Allow(start + 3*Interval - 2) {
		t.Error("allowed less than Interval after a recorded line")
	}
}
