package cells

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// zipfKeys draws from n keys, the first ones most.
func zipfKeys(seed uint64, n, draws int) []string {
	rng := rand.New(rand.NewPCG(seed, 5))
	z := rand.NewZipf(rng, 1.1, 1, uint64(n-1))
	keys := make([]string, draws)
	for i := range keys {
		keys[i] = fmt.Sprintf("%016x", z.Uint64()*0x9e3779b97f4a7c15)
	}
	return keys
}

// Estimates are never under the truth and hardly ever far over it; the truth fades by half in a half-life.
func TestCountMinSketchAgainstMap(t *testing.T) {
	const half = 1e6
	c := NewCountMinSketch(4096, 4, half)
	plain := map[string]float64{}
	total, now := 0.0, int64(1)
	for i, key := range zipfKeys(1, 100_000, 50_000) {
		if i%5000 == 4999 {
			now += int64(half)
			for k := range plain {
				plain[k] /= 2
			}
			total /= 2
		}
		c.Add(now, key, 1)
		plain[key]++
		total++
	}
	over := 0
	for key, truth := range plain {
		e := c.Estimate(now, key)
		if e < truth*(1-1e-3)-1e-3 {
			t.Fatalf("%s: %v estimated, %v counted", key, e, truth)
		}
		if e > truth+math.E/4096*total {
			over++
		}
	}
	if most := float64(len(plain)) * math.Exp(-4); float64(over) > most {
		t.Errorf("%d of %d keys past the bound, %.0f allowed", over, len(plain), most)
	}
}

// Whoever has more than 1/size of all is kept, with bounds that hold.
func TestHeavyHittersKeepsHeavyKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHeavyHitters(10, 1e12)
		plain, total := map[string]float64{}, 0.0
		for _, k := range rapid.SliceOfN(rapid.IntRange(0, 60), 1, 400).Draw(t, "keys") {
			key, amount := fmt.Sprint(k*k%47), float64(1+k%3)
			h.Add(1, key, amount)
			plain[key] += amount
			total += amount
		}
		top := map[string]HeavyHitter{}
		for _, x := range h.Top(10) {
			top[x.Key] = x
			if x.Count < plain[x.Key]-1e-6 || x.Count-x.MaxOvercount > plain[x.Key]+1e-6 {
				t.Fatalf("%+v, counted %v", x, plain[x.Key])
			}
		}
		for key, n := range plain {
			if _, kept := top[key]; !kept && n > total/10 {
				t.Fatalf("%s with %v of %v is not kept", key, n, total)
			}
		}
	})
}

// Old counts fade: who was heavy yesterday makes room.
func TestHeavyHittersDecay(t *testing.T) {
	h := NewHeavyHitters(2, 1e6)
	for range 100 {
		h.Add(1, "old", 1)
	}
	for i := range 4 {
		h.Add(int64(20e6), fmt.Sprint("new", i%2), 1)
	}
	if top := h.Top(2); top[0].Key+top[1].Key != "new0new1" && top[0].Key+top[1].Key != "new1new0" {
		t.Errorf("%+v", top)
	}
}

const sketchObjects = 1_000_000

func BenchmarkSketches(b *testing.B) {
	keys := zipfKeys(2, sketchObjects, 1<<20)
	b.Run("sketch", func(b *testing.B) {
		c, h := NewCountMinSketch(1<<14, 4, 60e6), NewHeavyHitters(1024, 60e6)
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			key := keys[i&(len(keys)-1)]
			c.Add(int64(i), key, 1)
			h.Add(int64(i), key, 1)
		}
		b.ReportMetric(float64(4*len(c.counters)+1024*80), "bytes")
	})
	b.Run("map", func(b *testing.B) {
		m := map[string]*decayingSum{}
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			key := keys[i&(len(keys)-1)]
			u := m[key]
			if u == nil {
				u = &decayingSum{}
				m[key] = u
			}
			u.add(int64(i), 1)
		}
		b.ReportMetric(float64(len(m)*(16+8+16+16)), "bytes")
	})
}
