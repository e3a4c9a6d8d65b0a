package cells

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
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
