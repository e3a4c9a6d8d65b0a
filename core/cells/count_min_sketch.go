package cells

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// CountMinSketch estimates the counts of any number of keys in bounded memory. It is a count-min sketch with
// conservative update (Estan and Varghese 2002). Counts decay by half in every half-life.
//
// An estimate is never below the decayed count. With probability 1-exp(-depth), the excess of the estimate over this
// count is at most e/width of the decayed total of all keys.
type CountMinSketch struct {
	width, depth int
	counters     []float32 // depth rows of width
	decay        decayScale
}

// maxSketchScale is the decay scale at which all counters are rescaled. It must be below 2^24, because the counters
// have type float32, with 24 bits of precision.
const maxSketchScale = 1 << 20

// NewCountMinSketch returns a sketch of depth rows with width counters each, of 4 bytes per counter. The half-life is
// in microseconds.
func NewCountMinSketch(width, depth int, halfLife float64) *CountMinSketch {
	width, depth = max(width, 1), max(depth, 1)
	return &CountMinSketch{
		width:    width,
		depth:    depth,
		counters: make([]float32, width*depth),
		decay:    newDecayScale(halfLife),
	}
}

// Add adds an amount to the count of a key and returns the new estimate.
func (s *CountMinSketch) Add(now int64, key string, amount float64) float64 {
	return s.addHash(now, xxhash.Sum64String(key), amount)
}

// Estimate returns the estimated count of a key, decayed to now.
func (s *CountMinSketch) Estimate(now int64, key string) float64 {
	return s.estimateHash(now, xxhash.Sum64String(key))
}

func (s *CountMinSketch) addHash(now int64, hash uint64, amount float64) float64 {
	s.age(now)
	count := s.minCounter(hash) + float32(amount*s.decay.scale)
	for row := range s.depth {
		if counter := &s.counters[s.slot(hash, row)]; *counter < count {
			*counter = count
		}
	}
	return float64(count) / s.decay.scale
}

func (s *CountMinSketch) estimateHash(now int64, hash uint64) float64 {
	s.age(now)
	return float64(s.minCounter(hash)) / s.decay.scale
}

// age decays all counts to now.
func (s *CountMinSketch) age(now int64) {
	divisor := s.decay.age(now, maxSketchScale)
	if divisor == 1 {
		return
	}
	for i := range s.counters {
		s.counters[i] = float32(float64(s.counters[i]) / divisor)
	}
}

// slot returns the index of the counter of a hash in a row. The hash function of each row is derived from the two
// halves of one hash (Kirsch and Mitzenmacher 2006).
func (s *CountMinSketch) slot(hash uint64, row int) int {
	x := uint32(hash) + uint32(row)*(uint32(hash>>32)|1)
	return row*s.width + int(uint64(x)*uint64(s.width)>>32)
}

func (s *CountMinSketch) minCounter(hash uint64) float32 {
	smallest := float32(math.MaxFloat32)
	for row := range s.depth {
		smallest = min(smallest, s.counters[s.slot(hash, row)])
	}
	return smallest
}
