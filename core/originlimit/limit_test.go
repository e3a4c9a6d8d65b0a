package originlimit

import (
	"errors"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"spantack/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

func terms() Config {
	return Config{MaxInFlight: 128, Routers: 64, Reserve: 0.25, Burst: 3, BaselineMs: 200}
}

func limit(t testing.TB, law ControlAlgorithm) *Limit {
	t.Helper()
	l, err := New(terms(), law)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func TestTermsNameWhatIsWrong(t *testing.T) {
	for want, spoil := range map[string]func(*Config){
		"most: ": func(t *Config) { t.MaxInFlight = 0 }, "routers: ": func(t *Config) { t.Routers = 0 }, "reserve: ": func(t *Config) { t.Reserve = 1 },
		"burst: ": func(t *Config) { t.Burst = 0.5 }, "usualMs: ": func(t *Config) { t.BaselineMs = -1 },
	} {
		s := terms()
		spoil(&s)
		if _, err := New(s, AIMD); !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
	if _, err := New(terms(), Delay+1); !errors.Is(err, ErrInvalid) {
		t.Error(err)
	}
	for _, law := range []ControlAlgorithm{Fixed, AIMD, Gradient, Delay} {
		if got, err := ParseControlAlgorithm(law.String()); err != nil || got != law {
			t.Errorf("%s: %s, %v", law, got, err)
		}
	}
	if _, err := ParseControlAlgorithm("pid"); !errors.Is(err, ErrInvalid) {
		t.Error(err)
	}
}

// Whatever fills tell, the limit stays between its floor and Burst shares, no more is out than it allows, and fills leave the reserve free.
func TestLimitStaysInItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, err := New(terms(), ControlAlgorithm(rapid.IntRange(0, int(Delay)).Draw(t, "law")))
		if err != nil {
			t.Fatal(err)
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now := 0.0
		for range 400 {
			now += rng.Float64() * 100
			reserved := rng.IntN(4) == 0
			out := l.InFlight()
			switch {
			case rng.IntN(2) == 0 && l.Allows(reserved, rng.Float64()):
				most := l.Current()
				if !reserved {
					most *= 0.75
				}
				if float64(out) >= most+1 {
					t.Fatalf("%d out of %v, reserved %v", out, most, reserved)
				}
				l.Acquire()
			case out > 0 && rng.IntN(10) == 0:
				l.Ignore()
			case out > 0:
				l.Complete(now, rng.ExpFloat64()*400, rng.IntN(20) == 0)
			}
			if l.Current() < 0.25 || l.Current() > 6 || l.InFlight() < 0 {
				t.Fatalf("limit %v, %d out", l.Current(), l.InFlight())
			}
			if l.algorithm == Fixed && l.Current() != 2 {
				t.Fatalf("fixed at %v", l.Current())
			}
		}
	})
}

// round ends so many rounds of fills, each as long as told, and returns the limit after them.
func round(l *Limit, now *float64, rounds int, took float64, failed bool) float64 {
	for range rounds {
		n := int(l.Current()) + 1
		for range n {
			l.Acquire()
		}
		for range n {
			*now += took / float64(n)
			l.Complete(*now, took, failed)
		}
	}
	return l.Current()
}

// A router that is alone with a head office that answers well borrows up to Burst shares; when it slows, what is borrowed is given back
// within ten rounds; a head office that has become slow by itself is still asked for the share once that is known; and after failures the
// limit comes back.
func TestLimitFollows(t *testing.T) {
	for _, law := range []ControlAlgorithm{AIMD, Gradient, Delay} {
		l, now := limit(t, law), 0.0
		if got := round(l, &now, 60, 200, false); got != 6 {
			t.Errorf("%s: %v where all is well", law, got)
		}
		if got := round(l, &now, 10, 700, false); got > 2 {
			t.Errorf("%s: %v after ten slow rounds", law, got)
		}
		if got := round(l, &now, 60, 700, false); got < 1.5 || got > 2 {
			t.Errorf("%s: %v when it is slow for good", law, got)
		}
		if got := round(l, &now, 30, 1500, true); law != Gradient && got > 2 || got > 2 {
			t.Errorf("%s: %v when fills fail", law, got)
		}
		if got := round(l, &now, 60, 200, false); got != 6 {
			t.Errorf("%s: %v when it is well again", law, got)
		}
	}
}

// A share under one comes out right over many routers: a place is open in that part of all cases.
func TestSmallShares(t *testing.T) {
	s := terms()
	s.MaxInFlight, s.Reserve = 16, 0
	l, err := New(s, Fixed)
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
		t.Error("open with one out")
	}
}

func BenchmarkLimit(b *testing.B) {
	l := limit(b, Gradient)
	now := 0.0
	for b.Loop() {
		if l.Allows(false, 0.5) {
			l.Acquire()
		}
		now++
		l.Complete(now, 200, false)
	}
}
