package routing

import "math"

// decayingSum is a sum in which each amount fades exponentially. The span over which it fades, in microseconds, is
// given with each call and must be the same in all. The zero value is an empty sum.
type decayingSum struct {
	sum       float64
	updatedAt int64
}

// add adds an amount at a time.
func (s *decayingSum) add(now int64, span, amount float64) {
	s.sum = s.valueAt(now, span) + amount
	s.updatedAt = now
}

// valueAt returns what is left of the sum at a time.
func (s *decayingSum) valueAt(now int64, span float64) float64 {
	return s.sum * math.Exp(-float64(now-s.updatedAt)/span)
}

// rate returns the sum per microsecond at a time.
func (s *decayingSum) rate(now int64, span float64) float64 {
	return s.valueAt(now, span) / span
}

// runningMean is the mean of a sequence: of its first values all count alike, then older ones fade.
type runningMean struct {
	value float64
	count float64
}

// add adds a value, which counts as minStep of the mean at least.
func (m *runningMean) add(value, minStep float64) {
	m.count++
	m.value += max(1/m.count, minStep) * (value - m.value)
}
