package originlimit

import "math"

// ControlAlgorithm selects how a limit is adjusted to the latencies and failures of fills.
type ControlAlgorithm int

// The control algorithms.
const (
	// Fixed always sets the limit to the router's share.
	Fixed ControlAlgorithm = iota
	// AIMD (additive increase, multiplicative decrease) multiplies the limit by decreaseFactor after a round of fills that
	// was slow or had a failure. It adds 1 after any other round if the limit was used (Chiu and Jain, 1989; see
	// round.isLimitUsed).
	AIMD
	// Gradient multiplies the limit by the ratio of the baseline to the current latency, and adds the square root of the
	// limit to allow for a queue.
	Gradient
	// Delay is a proportional-derivative controller of the latency. Its set point is slowRatio times the baseline.
	Delay
)

var algorithmNames = []string{"fixed", "aimd", "gradient", "delay"}

// String returns the algorithm's name in a features file.
func (a ControlAlgorithm) String() string { return algorithmNames[a] }

// ParseControlAlgorithm returns the algorithm with the given name, or an error that wraps ErrInvalid.
func ParseControlAlgorithm(name string) (ControlAlgorithm, error) {
	for i, n := range algorithmNames {
		if n == name {
			return ControlAlgorithm(i), nil
		}
	}
	return 0, invalid("law", "%q is none of %v", name, algorithmNames)
}

// Constants of the algorithms.
const (
	// A round is slow if the ratio of its mean latency to the baseline is above slowRatio. AIMD and Delay compare the
	// latency with the measured baseline (round.baseline). Limit.update compares it with Config.BaselineMs instead.
	slowRatio = 1.6

	// AIMD multiplies the limit by decreaseFactor after a slow or failed round. Under every algorithm except Fixed, a
	// limit above the share is multiplied by decreaseFactor after a slow round, but not to below the share.
	decreaseFactor = 0.7

	// Gradient.
	queueTolerance    = 1.3 // ratio of latency to baseline up to which no queue is assumed
	minGradient       = 0.5 // minimum factor in one round
	gradientSmoothing = 0.2 // fraction of the computed change of the limit that is applied in one round

	// Delay.
	proportionalGain = 0.25 // relative change of the limit if the latency differs from the set point by one baseline
	derivativeGain   = 0.5  // relative change of the limit if the latency has changed by one baseline in a round
	maxDelayStep     = 0.3  // maximum relative change of the limit in one round
)

// round summarizes the fills that completed since the last update. Latencies are in multiples of Config.BaselineMs.
type round struct {
	mean      float64 // mean latency
	baseline  float64 // estimated latency without overload: the lowest recent mean latency, see updateBaseline
	anyFailed bool    // whether a fill of the round failed
	// isLimitUsed is true if the fills completed in the round and the requests in flight at its end are together at least
	// half the limit. If it is false, the limit does not increase, because the round does not show whether the origin can
	// serve more requests.
	isLimitUsed bool
}

// latencyRatio returns the ratio of the mean latency to the baseline.
func (r *round) latencyRatio() float64 { return r.mean / r.baseline }

// nextAIMD returns the limit that AIMD sets after a round.
func nextAIMD(current float64, r *round) float64 {
	switch {
	case r.anyFailed || r.latencyRatio() > slowRatio:
		return current * decreaseFactor
	case r.isLimitUsed:
		return current + 1
	}
	return current
}

// nextGradient returns the limit that Gradient sets after a round.
func nextGradient(current float64, r *round) float64 {
	gradient := min(max(queueTolerance/r.latencyRatio(), minGradient), 1)
	target := current*gradient + math.Sqrt(current)
	if target < current || r.isLimitUsed {
		return current + gradientSmoothing*(target-current)
	}
	return current
}

// nextDelay returns the limit that Delay sets after a round. previousMean is the mean latency of the previous round.
func nextDelay(current, previousMean float64, r *round) float64 {
	proportional := (slowRatio - r.latencyRatio()) * proportionalGain
	derivative := (previousMean - r.mean) / r.baseline * derivativeGain
	step := min(max(proportional+derivative, -maxDelayStep), maxDelayStep)
	if step < 0 || r.isLimitUsed {
		return current + step*max(current, 1)
	}
	return current
}
