package cells

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// CountMinSketch estimates how much has been counted under each of any number of keys, in bounded memory: a count-min
// sketch with conservative update (Estan and Varghese 2002), whose counts halve in every half-life.
//
// An estimate is never below the decayed count, and above it by at most e/width of all that is counted with probability
// 1-exp(-depth).
type CountMinSketch struct {
	width, depth int
	counters     []float32 // depth rows of width
	decay        decayScale
}

// maxSketchScale is the scale at which all counters are divided by it: float32 holds 24 bits.
const maxSketchScale = 1 << 20

// NewCountMinSketch returns a sketch of depth rows with width counters each; memory is 4 bytes for each counter. The
// half-life is in microseconds.
func NewCountMinSketch(width, depth int, halfLife float64) *CountMinSketch {
	width, depth = max(width, 1), max(depth, 1)
	return &CountMinSketch{
		width:    width,
		depth:    depth,
		counters: make([]float32, width*depth),
		decay:    newDecayScale(halfLife),
	}
}

// Add counts an amount under a key and returns the key's estimate with it.
func (s *CountMinSketch) Add(now int64, key string, amount float64) float64 {
	return s.addHash(now, xxhash.Sum64String(key), amount)
}

// Estimate returns what is counted under a key, decayed to now.
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

// age makes counts decay to now.
func (s *CountMinSketch) age(now int64) {
	divisor := s.decay.age(now, maxSketchScale)
	if divisor == 1 {
		return
	}
	for i := range s.counters {
		s.counters[i] = float32(float64(s.counters[i]) / divisor)
	}
}

// slot returns the index of a hash's counter in a row: two halves of one hash stand for any number of hash functions
// (Kirsch and Mitzenmacher 2006).
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
