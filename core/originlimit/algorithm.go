package originlimit

import "math"

// ControlAlgorithm is how a limit follows the latencies of fills.
type ControlAlgorithm int

// The control algorithms.
const (
	// Fixed keeps to the router's share, always.
	Fixed ControlAlgorithm = iota
	// AIMD goes up by one in each round of fills that went well, and down by a part when one was slow or failed (Chiu and
	// Jain, 1989).
	AIMD
	// Gradient multiplies by the quotient of baseline and present latency, and leaves the square root of the limit for a
	// queue.
	Gradient
	// Delay goes towards a set latency, in proportion to how far that is off and to how it changes.
	Delay
)

var algorithmNames = []string{"fixed", "aimd", "gradient", "delay"}

// String returns the name that a features file uses.
func (a ControlAlgorithm) String() string { return algorithmNames[a] }

// ParseControlAlgorithm returns the algorithm of a name, or an error that wraps ErrInvalid.
func ParseControlAlgorithm(name string) (ControlAlgorithm, error) {
	for i, n := range algorithmNames {
		if n == name {
			return ControlAlgorithm(i), nil
		}
	}
	return 0, invalid("law", "%q is none of %v", name, algorithmNames)
}

// Constants of the algorithms. Latencies are in multiples of Config.BaselineMs.
const (
	slowRatio = 1.6 // latency, over the baseline, from which a round is slow

	// AIMD, and what is borrowed: the part of the limit that is left after a decrease.
	decreaseFactor = 0.7

	// Gradient.
	queueTolerance    = 1.3 // latency, over the baseline, that is not a queue yet
	minGradient       = 0.5 // least quotient in one round
	gradientSmoothing = 0.2 // part of a change that is made

	// Delay.
	delayGain    = 0.25 // part of the limit for each multiple of the baseline that the latency is off
	delaySlope   = 0.5  // the same for its change since the round before
	maxDelayStep = 0.3  // greatest part of the limit in one round
)

// round is what fills that completed since the last update say.
type round struct {
	mean        float64 // latency
	baseline    float64 // latency at which the origin is not overloaded
	anyFailed   bool
	isLimitUsed bool // half the limit or more was in flight; a limit that is not used says nothing of a greater one
}

// latencyRatio is the latency over the baseline.
func (r *round) latencyRatio() float64 { return r.mean / r.baseline }

// nextAIMD is the limit that AIMD sets after a round.
func nextAIMD(current float64, r *round) float64 {
	switch {
	case r.anyFailed || r.latencyRatio() > slowRatio:
		return current * decreaseFactor
	case r.isLimitUsed:
		return current + 1
	}
	return current
}

// nextGradient is the limit that Gradient sets after a round.
func nextGradient(current float64, r *round) float64 {
	gradient := min(max(queueTolerance/r.latencyRatio(), minGradient), 1)
	target := current*gradient + math.Sqrt(current)
	if target < current || r.isLimitUsed {
		return current + gradientSmoothing*(target-current)
	}
	return current
}

// nextDelay is the limit that Delay sets after a round.
func nextDelay(current, previousMean float64, r *round) float64 {
	proportional := (slowRatio - r.latencyRatio()) * delayGain
	derivative := (previousMean - r.mean) / r.baseline * delaySlope
	step := min(max(proportional+derivative, -maxDelayStep), maxDelayStep)
	if step < 0 || r.isLimitUsed {
		return current + step*max(current, 1)
	}
	return current
}
