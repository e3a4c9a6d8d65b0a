package migration

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

var terms = CapacityModel{StreamKbPerS: 1000, ColdFraction: 0.32, WarmUp: 11_000_000, LoadWindow: 3_000_000}

func TestWarmth(t *testing.T) {
	const up = 1_000_000
	for age, want := range map[int64]float64{0: 0.32, 3_000_000: 0.32, 8_500_000: 0.66, 14_000_000: 1, 30_000_000: 1} {
		if got := terms.WarmFraction(up+age, up); math.Abs(got-want) > 1e-9 {
			t.Errorf("%d us after its start: %v, want %v", age, got, want)
		}
	}
	if kb, part := terms.Capacity(up, []Server{{Weight: 4}, {Weight: 4, StartedAt: up}}); math.Abs(kb-5280) > 1e-6 || math.Abs(part-0.66) > 1e-9 {
		t.Errorf("one warm, one cold: %v KB/s, %v of both", kb, part)
	}
	if kb, part := terms.Capacity(up, nil); kb != 0 || part != 0 {
		t.Errorf("no server bears %v, %v", kb, part)
	}
}

// Over any second and a half, movers get no more than what is borne and not used by residents, half a second's worth and one request.
// A planted fault, levels that are not capped, lets 40 s of saved-up room through and is found.
func TestRoomBindsAndIsUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bears := rapid.Float64Range(1000, 50_000).Draw(t, "bears")
		fills := rapid.Float64Range(500, 20_000).Draw(t, "fills")
		lives := rapid.Float64Range(0, 1).Draw(t, "lives") // of what is borne
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		r := NewCapacityLimiter()
		type took struct {
			at       int64
			kb, fill float64
		}
		var all []took
		const biggest = 400.0
		quiet := rapid.Int64Range(0, 40_000_000).Draw(t, "quiet")
		now := int64(1_000_000)
		r.SetCapacity(now, bears, fills)
		for ; now < 60_000_000; now += 5000 {
			if now%250_000 == 0 {
				r.SetCapacity(now, bears, fills)
			}
			r.RecordResident(now, lives*bears*0.005, lives*fills*0.005*0.3)
			if now < quiet {
				continue
			}
			for range 4 {
				kb, fill := biggest*rng.Float64(), 0.0
				if rng.Float64() < 0.5 {
					fill = kb
				}
				if r.TryAcquire(now, kb, fill) {
					all = append(all, took{now, kb + r.FillCost*fill, fill})
				}
			}
		}
		left, leftFill := r.Available(now)
		leftMost := max(usableFraction*bears-lives*bears*0.5, 0) + 1 // residents were seen by the time of the window
		if left > leftMost+0.6*bears*lives+1 || leftFill > usableFraction*fills+1e-6 {
			t.Fatalf("%v and %v left", left, leftFill)
		}
		const span = 1_500_000
		first, kb, fill, worst, worstFill := 0, 0.0, 0.0, 0.0, 0.0
		for _, x := range all {
			kb, fill = kb+x.kb, fill+x.fill
			for all[first].at < x.at-span {
				kb, fill = kb-all[first].kb, fill-all[first].fill
				first++
			}
			if x.at > 8_000_000 {
				worst, worstFill = max(worst, kb), max(worstFill, fill)
			}
		}
		room := (span/1e6 + burstSeconds)
		if most := left*1.02*room + 2*biggest*(1+r.FillCost); worst > most {
			t.Fatalf("%v KB in a window, %v allowed (%v a second left)", worst, most, left)
		}
		if most := leftFill*1.02*room + 2*biggest; worstFill > most {
			t.Fatalf("%v KB of fills in a window, %v allowed", worstFill, most)
		}
	})
}

func TestRoomWithoutAnything(t *testing.T) {
	r := NewCapacityLimiter()
	if r.TryAcquire(1_000_000, 1, 0) {
		t.Error("a cell of which nothing is known took a mover")
	}
	r.SetCapacity(2_000_000, 1000, math.Inf(1))
	if !r.TryAcquire(3_000_000, 100, 100) {
		t.Error("no room at half a second's worth")
	}
	r.SetCapacity(4_000_000, 0, 0)
	if r.TryAcquire(4_100_000, 1, 1) || r.TryAcquire(9_000_000, 1, 0) {
		t.Error("a cell that lost all its caches took a mover")
	}
	r.ObserveFillCost(100)
	r.ObserveFillCost(-1)
	if r.FillCost <= initialFillCost || r.FillCost > maxFillCost {
		t.Errorf("cost of a fill %v", r.FillCost)
	}
}

func BenchmarkRoomTake(b *testing.B) {
	r := NewCapacityLimiter()
	now := int64(1_000_000)
	r.SetCapacity(now, 50_000, 20_000)
	b.ReportAllocs()
	for b.Loop() {
		now += 100
		r.RecordResident(now, 10, 1)
		r.TryAcquire(now, 4, 1)
	}
}
