package migration

import (
	"math"
	"testing"
)

func TestCapacityGrowsDuringWarmUp(t *testing.T) {
	const startedAt = 1_000_000
	model := CapacityModel{ResponseKBPerSecond: 1000, InitialCapacity: 0.32, WarmUp: 11_000_000, OverloadWindow: 3_000_000}
	for _, test := range []struct {
		age  int64 // microseconds
		want float64
	}{
		{0, 0.32},
		{3_000_000, 0.32},
		{8_500_000, 0.66},
		{14_000_000, 1},
		{30_000_000, 1},
	} {
		if got := model.WarmFraction(startedAt+test.age, startedAt); math.Abs(got-test.want) > 1e-9 {
			t.Errorf("WarmFraction %d us after the start: %v, want %v", test.age, got, test.want)
		}
	}
	servers := []Server{{Weight: 4}, {Weight: 4, StartedAt: startedAt}}
	if kb, warm := model.Capacity(startedAt, servers); math.Abs(kb-5280) > 1e-6 || math.Abs(warm-0.66) > 1e-9 {
		t.Errorf("one warm and one cold server: %v KB/s, %v of the warm capacity, want 5280 KB/s and 0.66", kb, warm)
	}
	if kb, warm := model.Capacity(startedAt, nil); kb != 0 || warm != 0 {
		t.Errorf("no server: %v KB/s, %v of the warm capacity", kb, warm)
	}
}
