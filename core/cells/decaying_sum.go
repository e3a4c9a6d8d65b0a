package cells

import "math"

// usageTimeConstant, in microseconds, is the time in which an amount in a decayingSum fades to 1/e. A flood shows
// within a second and is forgotten as fast.
const usageTimeConstant = 2e6

// decayingSum adds up amounts that fade exponentially with usageTimeConstant.
type decayingSum struct {
	sum       float64
	updatedAt int64 // microseconds
}

// add counts an amount and returns the sum with it.
func (s *decayingSum) add(now int64, amount float64) float64 {
	s.sum = s.valueAt(now) + amount
	s.updatedAt = now
	return s.sum
}

// valueAt returns the sum, faded to now.
func (s *decayingSum) valueAt(now int64) float64 {
	return s.sum * math.Exp(-float64(now-s.updatedAt)/usageTimeConstant)
}
