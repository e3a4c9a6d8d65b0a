package cells

import "math"

// usageTimeConstant, in microseconds, is the time in which an amount in a decayingSum decays to 1/e. With this value,
// the sum shows the start and the end of a flood within a second. After one second without requests it has fallen to
// 61%.
const usageTimeConstant = 2e6

// decayingSum is a sum of amounts that decay exponentially with usageTimeConstant.
type decayingSum struct {
	sum       float64
	updatedAt int64 // time of the last addition, microseconds
}

// add adds an amount and returns the new sum.
func (s *decayingSum) add(now int64, amount float64) float64 {
	s.sum = s.valueAt(now) + amount
	s.updatedAt = now
	return s.sum
}

// valueAt returns the sum, decayed to now.
func (s *decayingSum) valueAt(now int64) float64 {
	return s.sum * math.Exp(-float64(now-s.updatedAt)/usageTimeConstant)
}
