package migration

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// admittedRequest is a request that the limiter admitted.
type admittedRequest struct {
	at         int64
	kb, fillKB float64
}

// Guards against admitting more than the guarantee allows: in any 1.5 s, the capacity that resident tenants leave, plus
// the burst of half a second and one request. If tokens were not capped, up to 40 s of unused capacity would be
// admitted at once.
func TestCapacityLimiterAdmitsWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largestKB = 400.0
		sends := rapid.Float64Range(1000, 50_000).Draw(t, "sendKBPerS")
		fills := rapid.Float64Range(500, 20_000).Draw(t, "fillKBPerS")
		resident := rapid.Float64Range(0, 1).Draw(t, "resident") // load, as a fraction of the capacity
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		l := NewCapacityLimiter()
		var all []admittedRequest
		idleUntil := rapid.Int64Range(0, 40_000_000).Draw(t, "idleUntil")
		now := int64(1_000_000)
		l.SetCapacity(now, sends, fills)
		for ; now < 60_000_000; now += 5000 {
			if now%250_000 == 0 {
				l.SetCapacity(now, sends, fills)
			}
			l.RecordResident(now, resident*sends*0.005, resident*fills*0.005*0.3)
			if now < idleUntil {
				continue
			}
			for range 4 {
				kb, fillKB := largestKB*rng.Float64(), 0.0
				if rng.Float64() < 0.5 {
					fillKB = kb
				}
				if l.TryAcquire(now, kb, fillKB) {
					all = append(all, admittedRequest{now, kb + l.FillCost*fillKB, fillKB})
				}
			}
		}
		available, availableFills := l.Available(now)
		// By the end of the run the load of resident tenants is fully observed. Fills must be within usableFraction of
		// the capacity. The bound on sends is looser: it is 0.1 of the resident load plus 2 KB/s above usableFraction of
		// the capacity. Neither bound checks that the resident load is subtracted.
		maxAvailable := max(usableFraction*sends-resident*sends*0.5, 0) + 1
		if available > maxAvailable+0.6*sends*resident+1 || availableFills > usableFraction*fills+1e-6 {
			t.Fatalf("%v KB/s of sends and %v KB/s of fills available", available, availableFills)
		}
		const span = 1_500_000
		greatest, greatestFills := greatestWindow(all, span)
		// The limits exceed the guarantee by 2% of the rate and one request. They are computed from what is available
		// at the end of the run. More was available in the first windows, in which the observed resident load was still
		// rising.
		seconds := span/1e6 + burstSeconds
		if limit := available*1.02*seconds + 2*largestKB*(1+l.FillCost); greatest > limit {
			t.Fatalf("%v KB in a window, %v allowed (%v KB/s available)", greatest, limit, available)
		}
		if limit := availableFills*1.02*seconds + 2*largestKB; greatestFills > limit {
			t.Fatalf("%v KB of fills in a window, %v allowed", greatestFills, limit)
		}
	})
}

// greatestWindow returns the maximum cost and the maximum fills, both in KB, that were admitted in any window of length
// span. Windows that end before the load of resident tenants is fully observed do not count.
func greatestWindow(all []admittedRequest, span int64) (greatest, greatestFills float64) {
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
			greatest = max(greatest, kb)
			greatestFills = max(greatestFills, fillKB)
		}
	}
	return greatest, greatestFills
}

func TestCapacityLimiterRejectsWithoutCapacity(t *testing.T) {
	l := NewCapacityLimiter()
	if l.TryAcquire(1_000_000, 1, 0) {
		t.Error("admitted before the capacity was set")
	}
	l.SetCapacity(2_000_000, 1000, math.Inf(1))
	if !l.TryAcquire(3_000_000, 100, 100) {
		t.Error("rejected with a full burst left")
	}
	l.SetCapacity(4_000_000, 0, 0)
	if l.TryAcquire(4_100_000, 1, 1) || l.TryAcquire(9_000_000, 1, 0) {
		t.Error("admitted to a cell whose capacity fell to 0")
	}
	l.ObserveFillCost(100)
	l.ObserveFillCost(-1)
	if l.FillCost <= initialFillCost || l.FillCost > maxFillCost {
		t.Errorf("FillCost is %v, want above initialFillCost and at most maxFillCost", l.FillCost)
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
