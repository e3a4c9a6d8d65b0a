package originlimit

import "math"

const (
	// The baseline is the lowest mean latency of a round in the current and the previous window. A window lasts
	// baselineWindowMs. Older rounds are dropped. Otherwise the limit would stay low when the origin has become slower
	// for a reason other than its load.
	baselineWindowMs = 4000
	// maxBaseline is the maximum baseline, in multiples of BaselineMs. It keeps the latency of a queue from becoming the
	// baseline.
	maxBaseline = 6.0
	// A failed fill with a latency below failurePenalty counts as if it had this latency, in multiples of BaselineMs.
	failurePenalty = 4.0
	// The lower bound of a limit is the greater of minShareFraction times the router's share and minLimit requests in
	// flight. If the share is less than that, the lower bound is the share.
	minShareFraction = 0.05
	minLimit         = 0.25
)

// Limit is one router's limit on requests in flight at the origin. Use New to create it: the zero value is not usable.
// It is not safe for concurrent use.
type Limit struct {
	config    Config
	algorithm ControlAlgorithm
	share     float64 // an equal part of MaxInFlight for each router
	current   float64 // not always a whole number: Allows rounds it at random
	inFlight  int     // requests in flight at the origin

	// The current round: fills that completed since the last update. Latencies are in multiples of BaselineMs.
	completed  int
	latencySum float64
	anyFailed  bool

	previousMean   float64    // mean latency of the previous round
	updatedAt      float64    // time of the last update, ms
	windowMinimums [2]float64 // lowest mean latency of a round in the current window and in the previous window
	windowStart    float64    // start of the current window, ms
}

// New returns a limit that starts at the router's share, or an error that wraps ErrInvalid.
func New(config Config, algorithm ControlAlgorithm) (*Limit, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	if algorithm < Fixed || algorithm > Delay {
		return nil, invalid("law", "unknown algorithm %d", int(algorithm))
	}
	share := config.MaxInFlight / float64(config.Routers)
	return &Limit{
		config:         config,
		algorithm:      algorithm,
		share:          share,
		current:        share,
		previousMean:   1,
		windowMinimums: [2]float64{1, 1},
	}, nil
}

// Current returns the current limit. The limit is not always a whole number, and can be below 1.
func (l *Limit) Current() float64 { return l.current }

// InFlight returns the number of requests in flight at the origin.
func (l *Limit) InFlight() int { return l.inFlight }

// SetInFlight sets the number of requests in flight, for callers that estimate it instead of calling Acquire.
func (l *Limit) SetInFlight(inFlight int) { l.inFlight = inFlight }

// Allows reports whether one more request may be sent to the origin. A fill may use the limit minus the reserve. An
// uncacheable request may use the whole limit; mayUseReserve is true for it. random is a random number from 0 to 1. It
// decides whether the limit is rounded up or down. For example, with a limit of 2.3, a third request is allowed in 30%
// of all calls. The rounding makes small shares exact on average over all routers.
func (l *Limit) Allows(mayUseReserve bool, random float64) bool {
	limit := l.current
	if !mayUseReserve {
		limit *= 1 - l.config.Reserve
	}
	slots := math.Floor(limit)
	if random < limit-slots {
		slots++
	}
	return float64(l.inFlight) < slots
}

// Acquire records that a request is sent to the origin. Complete or Ignore must follow.
func (l *Limit) Acquire() { l.inFlight++ }

// Complete records the end of a request: its latency in ms, without the transfer time of its bytes, and whether it
// failed. For a fill that was cancelled because no request waits for it, there are two cases. If the fill had exceeded
// the time limit of the attempt, it counts as failed. If not, call Ignore instead of Complete.
func (l *Limit) Complete(now, latencyMs float64, failed bool) {
	l.Ignore()
	latency := max(latencyMs, 0) / l.config.BaselineMs
	if failed {
		latency = max(latency, failurePenalty)
		l.anyFailed = true
	}
	l.completed++
	l.latencySum += latency
	if l.isRoundOver(now) {
		l.update(now)
	}
}

// Ignore records the end of a request whose outcome does not depend on the state of the origin.
func (l *Limit) Ignore() { l.inFlight = max(l.inFlight-1, 0) }

// isRoundOver reports whether the round has ended. A round ends when as many fills have completed as the limit allows
// in flight, at least 1. It also ends when it has lasted slowRatio times the mean latency of the previous round, at
// least slowRatio times BaselineMs.
func (l *Limit) isRoundOver(now float64) bool {
	maxDuration := slowRatio * l.config.BaselineMs * max(l.previousMean, 1)
	return float64(l.completed) >= max(l.current, 1) || now-l.updatedAt >= maxDuration
}

// update adjusts the limit at the end of a round, and starts the next one.
func (l *Limit) update(now float64) {
	mean := l.latencySum / float64(l.completed)
	r := round{
		mean:        mean,
		baseline:    l.updateBaseline(now, mean),
		anyFailed:   l.anyFailed,
		isLimitUsed: float64(l.inFlight+l.completed) >= l.current/2,
	}
	isSlow := mean > slowRatio
	isAboveShare := l.algorithm != Fixed && l.current > l.share // the excess belongs to other routers
	switch {
	case isAboveShare && isSlow: // reduce the limit towards the share as soon as fills are slow, whatever the cause
		l.current = max(l.share, l.current*decreaseFactor)
	case l.algorithm == AIMD:
		l.current = nextAIMD(l.current, &r)
	case l.algorithm == Gradient:
		l.current = nextGradient(l.current, &r)
	case l.algorithm == Delay:
		l.current = nextDelay(l.current, l.previousMean, &r)
	}
	maximum := l.config.Burst * l.share
	if l.algorithm != Fixed && isSlow && !isAboveShare { // do not exceed the share while fills are slow
		maximum = l.share
	}
	l.current = min(max(l.current, l.minimum()), maximum)
	l.previousMean = mean
	l.updatedAt = now
	l.completed = 0
	l.latencySum = 0
	l.anyFailed = false
}

// updateBaseline adds the mean latency of a round to the windows, and returns the baseline.
func (l *Limit) updateBaseline(now, mean float64) float64 {
	if now-l.windowStart >= baselineWindowMs {
		l.windowMinimums[1] = l.windowMinimums[0]
		l.windowMinimums[0] = mean
		l.windowStart = now
	}
	l.windowMinimums[0] = min(l.windowMinimums[0], mean)
	return min(max(min(l.windowMinimums[0], l.windowMinimums[1]), 1), maxBaseline)
}

// minimum returns the lower bound of the limit. Without this bound a router might stop sending requests to the origin.
// It could then not detect that the origin has recovered.
func (l *Limit) minimum() float64 {
	return min(l.share, max(minShareFraction*l.share, minLimit))
}
