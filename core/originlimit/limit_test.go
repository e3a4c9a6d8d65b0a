package originlimit

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"spantack/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// sampleConfig gives each router a share of 2.
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

// Whatever fills say, the limit stays between its minimum and Burst shares, no more is in flight than it allows, and
// fills leave the reserve free.
func TestLimitStaysInItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, err := New(sampleConfig(), ControlAlgorithm(rapid.IntRange(0, int(Delay)).Draw(t, "law")))
		if err != nil {
			t.Fatal(err)
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now := 0.0
		for range 400 {
			now += rng.Float64() * 100
			reserved := rng.IntN(4) == 0
			inFlight := l.InFlight()
			switch {
			case rng.IntN(2) == 0 && l.Allows(reserved, rng.Float64()):
				limit := l.Current()
				if !reserved {
					limit *= 0.75
				}
				if float64(inFlight) >= limit+1 {
					t.Fatalf("%d in flight of %v, reserved %v", inFlight, limit, reserved)
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
				t.Fatalf("fixed at %v", l.Current())
			}
		}
	})
}

// playRounds completes so many rounds of fills, each of the same latency, and returns the limit after them.
func playRounds(l *Limit, now *float64, rounds int, latencyMs float64, failed bool) float64 {
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

// A router that is alone with an origin that answers well borrows up to Burst shares; when the origin slows, what is
// borrowed is returned within ten rounds; an origin that has become slow by itself is still asked for the share once
// that is known; and after failures the limit recovers.
func TestLimitFollowsTheOrigin(t *testing.T) {
	for _, algorithm := range []ControlAlgorithm{AIMD, Gradient, Delay} {
		l, now := newLimit(t, algorithm), 0.0
		if got := playRounds(l, &now, 60, 200, false); got != 6 {
			t.Errorf("%s: %v where all is well", algorithm, got)
		}
		if got := playRounds(l, &now, 10, 700, false); got > 2 {
			t.Errorf("%s: %v after ten slow rounds", algorithm, got)
		}
		if got := playRounds(l, &now, 60, 700, false); got < 1.5 || got > 2 {
			t.Errorf("%s: %v when it is slow for good", algorithm, got)
		}
		if got := playRounds(l, &now, 30, 1500, true); got > 2 {
			t.Errorf("%s: %v when fills fail", algorithm, got)
		}
		if got := playRounds(l, &now, 60, 200, false); got != 6 {
			t.Errorf("%s: %v when it is well again", algorithm, got)
		}
	}
}

// A share under one comes out right over many routers: a place is open in that part of all cases.
func TestSharesUnderOne(t *testing.T) {
	config := sampleConfig()
	config.MaxInFlight = 16
	config.Reserve = 0
	l, err := New(config, Fixed)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	open := 0
	for range 10_000 {
		if l.Allows(false, rng.Float64()) {
			open++
		}
	}
	if open < 2300 || open > 2700 {
		t.Errorf("open in %d of 10,000 cases, a quarter wanted", open)
	}
	l.Acquire()
	if l.Allows(true, 0) {
		t.Error("open with one in flight")
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
