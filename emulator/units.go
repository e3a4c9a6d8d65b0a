package emulator

import "math/rand/v2"

// Units of virtual time.
const (
	microsecond = int64(1)
	millisecond = 1000 * microsecond
	second      = 1000 * millisecond
)

// fromSeconds converts seconds to virtual time.
func fromSeconds(s float64) int64 { return int64(s * float64(second)) }

// toSeconds converts virtual time to seconds.
func toSeconds(t int64) float64 { return float64(t) / float64(second) }

// roundTripMillis converts a one-way delay to a round trip in milliseconds.
func roundTripMillis(delay int64) float64 { return 2 * float64(delay) / float64(millisecond) }

// drawDelay returns a uniformly distributed random delay from 0 up to, but not including, limit.
func drawDelay(rng *rand.Rand, limit int64) int64 { return int64(rng.Float64() * float64(limit)) }

// hashMix is the output function of splitmix64: consecutive inputs give unrelated results.
func hashMix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// hashFraction hashes x to a number from 0 up to, but not including, 1. The results are uniformly distributed.
func hashFraction(x uint64) float64 { return float64(hashMix(x)>>11) / (1 << 53) }
