package backoff

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// Guards against attempts that exceed the documented rate, and against a router that waits longer than a period. All
// routers of a fleet of random size lose the service at the same time, and each attempt fails after a random duration.
// The rate would be exceeded if all routers made their attempts at the start of the period.
func TestScheduleExceedsNoRateOrDelayBound(t *testing.T) {
	const longestAttempt = 30_000
	rng := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		fleetSize := 1 + rng.IntN(400)
		lostAt := rng.Int64N(1e9)
		var attempts []int64
		period := Schedule{0, fleetSize}.Period()
		for rank := range fleetSize {
			schedule := Schedule{rank, fleetSize}
			now, last, hasFailed := lostAt, lostAt, false
			for now < lostAt+3*second {
				next := schedule.Next(lostAt, now, hasFailed)
				duration := rng.Int64N(longestAttempt)
				latest := last + period + minRetryGap + longestAttempt
				if hasFailed {
					latest += period
				}
				if next < now || next > latest {
					t.Fatalf("rank %d of %d: attempt at %d us, previous one at %d us, period %d us",
						rank, fleetSize, next-lostAt, last-lostAt, period)
				}
				attempts = append(attempts, next)
				now, last, hasFailed = next+duration, next, true
			}
		}
		slices.Sort(attempts)
		for _, d := range []int64{10_000, 100_000, 700_000} {
			checkRate(t, attempts, d, int64(fleetSize)*d/period+2)
		}
	}
}

// checkRate fails the test if more attempts than bound are made in any interval of d microseconds.
func checkRate(t *testing.T, attempts []int64, d, bound int64) {
	t.Helper()
	first := 0
	for last := range attempts {
		for attempts[last]-attempts[first] >= d {
			first++
		}
		if count := int64(last - first + 1); count > bound {
			t.Fatalf("%d attempts in %d us, want at most %d", count, d, bound)
		}
	}
}

func TestPeriodIsWithinBounds(t *testing.T) {
	for fleetSize, want := range map[int]int64{0: 200_000, 4: 200_000, 60: 300_000, 100: 500_000, 300: 500_000} {
		t.Run(fmt.Sprintf("%d routers", fleetSize), func(t *testing.T) {
			if got := (Schedule{0, fleetSize}).Period(); got != want {
				t.Errorf("period is %d us, want %d us", got, want)
			}
		})
	}
}

// BenchmarkNext measures one call. attempts/s is the rate of attempts to reach an unavailable service.
func BenchmarkNext(b *testing.B) {
	for _, routers := range []int{300, 1_000, 3_000, 11_000} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			schedule := Schedule{Rank: routers / 2, FleetSize: routers}
			now := int64(0)
			for b.Loop() {
				now = schedule.Next(0, now, true)
			}
			b.ReportMetric(float64(routers)/float64(schedule.Period())*second, "attempts/s")
		})
	}
}
