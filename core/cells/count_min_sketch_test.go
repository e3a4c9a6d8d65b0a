package cells

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// zipfKeys returns draws from n keys with a Zipf distribution.
func zipfKeys(seed uint64, n, draws int) []string {
	rng := rand.New(rand.NewPCG(seed, 5))
	zipf := rand.NewZipf(rng, 1.1, 1, uint64(n-1))
	keys := make([]string, draws)
	for i := range keys {
		keys[i] = fmt.Sprintf("%016x", zipf.Uint64()*0x9e3779b97f4a7c15)
	}
	return keys
}

// Estimates must not be below exact counts, kept in a map and halved every half-life. The estimates of at most the
// fraction exp(-depth) of the keys may exceed the error bound.
func TestCountMinSketchErrorBound(t *testing.T) {
	const halfLife = 1e6
	sketch := NewCountMinSketch(4096, 4, halfLife)
	counts := map[string]float64{}
	total, now := 0.0, int64(1)
	for i, key := range zipfKeys(1, 100_000, 50_000) {
		if i%5000 == 4999 {
			now += int64(halfLife)
			for k := range counts {
				counts[k] /= 2
			}
			total /= 2
		}
		sketch.Add(now, key, 1)
		counts[key]++
		total++
	}
	overestimated := 0
	for key, count := range counts {
		estimate := sketch.Estimate(now, key)
		if estimate < count*(1-1e-3)-1e-3 {
			t.Fatalf("%s: estimate %v is below count %v", key, estimate, count)
		}
		if estimate > count+math.E/4096*total {
			overestimated++
		}
	}
	if allowed := float64(len(counts)) * math.Exp(-4); float64(overestimated) > allowed {
		t.Errorf("%d of %d keys above the error bound, %.0f allowed", overestimated, len(counts), allowed)
	}
}

// sketchObjects is the number of distinct keys in BenchmarkSketches.
const sketchObjects = 1_000_000

func BenchmarkSketches(b *testing.B) {
	keys := zipfKeys(2, sketchObjects, 1<<20)
	b.Run("sketch", func(b *testing.B) {
		sketch, hitters := NewCountMinSketch(1<<14, 4, 60e6), NewHeavyHitters(1024, 60e6)
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			key := keys[i&(len(keys)-1)]
			sketch.Add(int64(i), key, 1)
			hitters.Add(int64(i), key, 1)
		}
		b.ReportMetric(float64(4*len(sketch.counters)+1024*80), "bytes")
	})
	b.Run("map", func(b *testing.B) {
		sums := map[string]*decayingSum{}
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			key := keys[i&(len(keys)-1)]
			sum := sums[key]
			if sum == nil {
				sum = &decayingSum{}
				sums[key] = sum
			}
			sum.add(int64(i), 1)
		}
		b.ReportMetric(float64(len(sums)*(16+8+16+16)), "bytes")
	})
}
