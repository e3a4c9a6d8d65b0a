package migration

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// admitted is a request that the limiter admitted.
type admitted struct {
	at         int64
	kb, fillKB float64
}

// Over any second and a half, migrating tenants get no more than the capacity that residents leave, half a second's
// worth and one request. A planted fault, tokens that are not capped, lets 40 s of saved-up capacity through and is
// found.
func TestCapacityLimiterBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largestKB = 400.0
		sends := rapid.Float64Range(1000, 50_000).Draw(t, "bears")
		fills := rapid.Float64Range(500, 20_000).Draw(t, "fills")
		resident := rapid.Float64Range(0, 1).Draw(t, "lives") // load, in parts of the capacity
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		l := NewCapacityLimiter()
		var all []admitted
		quietUntil := rapid.Int64Range(0, 40_000_000).Draw(t, "quiet")
		now := int64(1_000_000)
		l.SetCapacity(now, sends, fills)
		for ; now < 60_000_000; now += 5000 {
			if now%250_000 == 0 {
				l.SetCapacity(now, sends, fills)
			}
			l.RecordResident(now, resident*sends*0.005, resident*fills*0.005*0.3)
			if now < quietUntil {
				continue
			}
			for range 4 {
				kb, fillKB := largestKB*rng.Float64(), 0.0
				if rng.Float64() < 0.5 {
					fillKB = kb
				}
				if l.TryAcquire(now, kb, fillKB) {
					all = append(all, admitted{now, kb + l.FillCost*fillKB, fillKB})
				}
			}
		}
		available, availableFills := l.Available(now)
		// Residents were observed by the time of the window.
		maxAvailable := max(usableFraction*sends-resident*sends*0.5, 0) + 1
		if available > maxAvailable+0.6*sends*resident+1 || availableFills > usableFraction*fills+1e-6 {
			t.Fatalf("%v and %v left", available, availableFills)
		}
		const span = 1_500_000
		worst, worstFills := worstWindow(all, span)
		seconds := span/1e6 + burstSeconds
		if limit := available*1.02*seconds + 2*largestKB*(1+l.FillCost); worst > limit {
			t.Fatalf("%v KB in a window, %v allowed (%v a second left)", worst, limit, available)
		}
		if limit := availableFills*1.02*seconds + 2*largestKB; worstFills > limit {
			t.Fatalf("%v KB of fills in a window, %v allowed", worstFills, limit)
		}
	})
}

// worstWindow is the most that was admitted within any span once the residents' load has been observed.
func worstWindow(all []admitted, span int64) (worst, worstFills float64) {
	const observedBy = 8_000_000
	first, kb, fillKB := 0, 0.0, 0.0
	for _, x := range all {
		kb += x.kb
		fillKB += x.fillKB
		for all[first].at < x.at-span {
			kb -= all[first].kb
			fillKB -= all[first].fillKB
			first++
		}
		if x.at > observedBy {
			worst = max(worst, kb)
			worstFills = max(worstFills, fillKB)
		}
	}
	return worst, worstFills
}

func TestCapacityLimiterWithoutCapacity(t *testing.T) {
	l := NewCapacityLimiter()
	if l.TryAcquire(1_000_000, 1, 0) {
		t.Error("admitted to a cell of unknown capacity")
	}
	l.SetCapacity(2_000_000, 1000, math.Inf(1))
	if !l.TryAcquire(3_000_000, 100, 100) {
		t.Error("rejected with half a second's worth left")
	}
	l.SetCapacity(4_000_000, 0, 0)
	if l.TryAcquire(4_100_000, 1, 1) || l.TryAcquire(9_000_000, 1, 0) {
		t.Error("admitted to a cell that lost all its caches")
	}
	l.ObserveFillCost(100)
	l.ObserveFillCost(-1)
	if l.FillCost <= initialFillCost || l.FillCost > maxFillCost {
		t.Errorf("cost of a fill %v", l.FillCost)
	}
}

func BenchmarkCapacityLimiterTryAcquire(b *testing.B) {
	l := NewCapacityLimiter()
	now := int64(1_000_000)
	l.SetCapacity(now, 50_000, 20_000)
	b.ReportAllocs()
	for b.Loop() {
		now += 100
		l.RecordResident(now, 10, 1)
		l.TryAcquire(now, 4, 1)
	}
}
