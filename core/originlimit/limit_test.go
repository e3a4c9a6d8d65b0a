package originlimit

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"spantack/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// sampleConfig returns a configuration in which each router has a share of 2.
func sampleConfig() Config {
	return Config{MaxInFlight: 128, Routers: 64, Reserve: 0.25, Burst: 3, BaselineMs: 200}
}

func newLimit(t testing.TB, algorithm ControlAlgorithm) *Limit {
	t.Helper()
	l, err := New(sampleConfig(), algorithm)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Guards against a limit below its minimum or above Burst times the share, against more requests in flight than the
// limit allows, and against fills that use the reserve. Fills complete with random latencies and failures.
func TestLimitStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, err := New(sampleConfig(), ControlAlgorithm(rapid.IntRange(0, int(Delay)).Draw(t, "algorithm")))
		if err != nil {
			t.Fatal(err)
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now := 0.0
		for range 400 {
			now += rng.Float64() * 100
			mayUseReserve := rng.IntN(4) == 0
			inFlight := l.InFlight()
			switch {
			case rng.IntN(2) == 0 && l.Allows(mayUseReserve, rng.Float64()):
				limit := l.Current()
				if !mayUseReserve {
					limit *= 0.75
				}
				if float64(inFlight) >= limit+1 {
					t.Fatalf("allowed with %d in flight, limit %v, may use reserve: %v", inFlight, limit, mayUseReserve)
				}
				l.Acquire()
			case inFlight > 0 && rng.IntN(10) == 0:
				l.Ignore()
			case inFlight > 0:
				l.Complete(now, rng.ExpFloat64()*400, rng.IntN(20) == 0)
			}
			if l.Current() < 0.25 || l.Current() > 6 || l.InFlight() < 0 {
				t.Fatalf("limit %v, %d in flight", l.Current(), l.InFlight())
			}
			if l.algorithm == Fixed && l.Current() != 2 {
				t.Fatalf("fixed limit is %v, want 2", l.Current())
			}
		}
	})
}

// completeRounds completes rounds of fills, all with the same latency and outcome, and returns the limit after them.
func completeRounds(l *Limit, now *float64, rounds int, latencyMs float64, failed bool) float64 {
	for range rounds {
		n := int(l.Current()) + 1
		for range n {
			l.Acquire()
		}
		for range n {
			*now += latencyMs / float64(n)
			l.Complete(*now, latencyMs, failed)
		}
	}
	return l.Current()
}

// Guards against a limit that does not adapt to the origin. While fills are fast, it must rise to Burst times the
// share. When fills become slow, the limit must be back at the share within ten rounds. If fills stay slow, the limit
// must remain near the share. While fills fail, the limit must not exceed the share. After the failures it must
// recover.
func TestLimitAdaptsToOriginLatency(t *testing.T) {
	for _, algorithm := range []ControlAlgorithm{AIMD, Gradient, Delay} {
		l, now := newLimit(t, algorithm), 0.0
		if got := completeRounds(l, &now, 60, 200, false); got != 6 {
			t.Errorf("%s: limit %v after fast rounds, want 6", algorithm, got)
		}
		if got := completeRounds(l, &now, 10, 700, false); got > 2 {
			t.Errorf("%s: limit %v after ten slow rounds, want at most 2", algorithm, got)
		}
		if got := completeRounds(l, &now, 60, 700, false); got < 1.5 || got > 2 {
			t.Errorf("%s: limit %v while fills stay slow, want 1.5 to 2", algorithm, got)
		}
		if got := completeRounds(l, &now, 30, 1500, true); got > 2 {
			t.Errorf("%s: limit %v while fills fail, want at most 2", algorithm, got)
		}
		if got := completeRounds(l, &now, 60, 200, false); got != 6 {
			t.Errorf("%s: limit %v after recovery, want 6", algorithm, got)
		}
	}
}

// Guards against shares below 1 that are always rounded to 0 or always to 1. With a share of 0.25, a request must be
// allowed in a quarter of all calls.
func TestFractionalShareIsExactOnAverage(t *testing.T) {
	config := sampleConfig()
	config.MaxInFlight = 16
	config.Reserve = 0
	l, err := New(config, Fixed)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	allowed := 0
	for range 10_000 {
		if l.Allows(false, rng.Float64()) {
			allowed++
		}
	}
	if allowed < 2300 || allowed > 2700 {
		t.Errorf("allowed in %d of 10,000 calls, want a quarter", allowed)
	}
	l.Acquire()
	if l.Allows(true, 0) {
		t.Error("allowed with one request in flight")
	}
}

func BenchmarkLimit(b *testing.B) {
	l := newLimit(b, Gradient)
	now := 0.0
	for b.Loop() {
		if l.Allows(false, 0.5) {
			l.Acquire()
		}
		now++
		l.Complete(now, 200, false)
	}
}
