package emulator

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// steppedTransfer is a transfer in the reference simulation, which advances in small time steps.
type steppedTransfer struct {
	startsAt    int64
	remainingKB float64
	endedAt     int64 // 0: not yet
}

func (s *steppedTransfer) isActive(now int64) bool { return s.startsAt <= now && s.endedAt == 0 }

// Guards against transfers that end at wrong times. Compares a link with a reference simulation that shares the
// capacity evenly, with at most maxRate for each transfer, in small time steps.
func TestLinkMatchesSteppedReference(t *testing.T) {
	const step = 50 * microsecond
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(t, "transfers")
		rng := rand.New(rand.NewPCG(uint64(count), rapid.Uint64().Draw(t, "seed")))
		l := link{capacity: 4000 / 1e6, maxRate: 1000 / 1e6}
		var want []steppedTransfer
		for range count {
			want = append(want, steppedTransfer{
				startsAt:    int64(rng.IntN(400)) * millisecond,
				remainingKB: 20 + 400*rng.Float64(),
			})
		}
		endedAt := make([]int64, count)
		started := make([]bool, count)
		for now := int64(0); now < 5*second; now += step {
			active := 0
			for i := range want {
				if want[i].isActive(now) {
					active++
				}
				if want[i].startsAt <= now && !started[i] {
					started[i] = true
					l.add(now, want[i].remainingKB, transfer{owner: int32(i)})
				}
			}
			rate := 0.0
			if active > 0 {
				rate = min(l.maxRate, l.capacity/float64(active))
			}
			for i := range want {
				if !want[i].isActive(now) {
					continue
				}
				want[i].remainingKB -= rate * float64(step)
				if want[i].remainingKB <= 0 {
					want[i].endedAt = now + step
				}
			}
			for len(l.transfers) > 0 && l.nextEnd() <= now+step {
				end := max(l.nextEnd(), now)
				l.advance(end)
				ended := l.popTransfer()
				l.active--
				endedAt[ended.owner] = end
			}
		}
		for i := range want {
			if d := endedAt[i] - want[i].endedAt; d > 20*millisecond || d < -20*millisecond {
				t.Fatalf("transfer %d ends at %d us, in the reference at %d us", i, endedAt[i], want[i].endedAt)
			}
		}
	})
}
