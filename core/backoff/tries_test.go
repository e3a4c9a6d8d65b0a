package backoff

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// The bound of Schedule, for tiers of any size that lose the service at one moment and whose tries fail after times of their own; and a lone
// router's delay. With slots taken out (all at the start of the period) the first fails at once.
func TestTriesKeepTheirBound(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		siblings := 1 + rng.IntN(400)
		lost := rng.Int64N(1e9)
		var all []int64
		period := Schedule{0, siblings}.Period()
		for rank := range siblings {
			law, now, tried := Schedule{rank, siblings}, lost, false
			last := lost
			for now < lost+3_000_000 {
				next := law.Next(lost, now, tried)
				fails := rng.Int64N(30_000)
				if next < now || next-last > period+minRetryGap+period*int64(btoi(tried))+30_000 {
					t.Fatalf("%d of %d: a try at %d, the one before at %d, period %d", rank, siblings, next-lost, last-lost, period)
				}
				all = append(all, next)
				last, now, tried = next, next+fails, true
			}
		}
		slices.Sort(all)
		for _, d := range []int64{10_000, 100_000, 700_000} {
			for i, j := 0, 0; i < len(all); i++ {
				for all[i]-all[j] >= d {
					j++
				}
				if most := int64(siblings)*d/period + 2; int64(i-j+1) > most {
					t.Fatalf("%d routers: %d tries in %d us, %d is the bound", siblings, i-j+1, d, most)
				}
			}
		}
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func TestPeriods(t *testing.T) {
	for siblings, want := range map[int]int64{0: 200_000, 4: 200_000, 60: 300_000, 100: 500_000, 300: 500_000} {
		if got := (Schedule{0, siblings}).Period(); got != want {
			t.Errorf("%d routers: a period of %d us, want %d", siblings, got, want)
		}
	}
}
