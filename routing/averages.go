package routing

import "math"

// decayingSum is a sum in which each amount decays exponentially. The time constant, span, in microseconds, is a
// parameter of each method and must be the same in all calls. The zero value is an empty sum.
type decayingSum struct {
	sum       float64
	updatedAt int64
}

// add adds an amount at the time now.
func (s *decayingSum) add(now int64, span, amount float64) {
	s.sum = s.valueAt(now, span) + amount
	s.updatedAt = now
}

// valueAt returns the decayed sum at the time now.
func (s *decayingSum) valueAt(now int64, span float64) float64 {
	return s.sum * math.Exp(-float64(now-s.updatedAt)/span)
}

// rate returns the average amount per microsecond at the time now.
func (s *decayingSum) rate(now int64, span float64) float64 {
	return s.valueAt(now, span) / span
}

// runningMean is the mean of a sequence of values. The first values have equal weight; after that the weight of older
// values decays exponentially.
type runningMean struct {
	value float64
	count float64
}

// add adds a value, whose weight in the mean is at least minStep.
func (m *runningMean) add(value, minStep float64) {
	m.count++
	m.value += max(1/m.count, minStep) * (value - m.value)
}
