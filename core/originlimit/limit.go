package originlimit

import "math"

const (
	// baselineWindow, in ms: the baseline is the least mean of a round in the last one to two of these windows, so that an
	// origin that has become slower by itself, and not by its load, is not starved.
	baselineWindow = 4000
	// maxBaseline bounds the baseline, in multiples of BaselineMs, so that it does not follow a queue.
	maxBaseline = 6.0
	// failurePenalty: a failed fill counts as one of this latency, in multiples of BaselineMs, or of its own if greater.
	failurePenalty = 4.0
	// minimumPart and minimumInFlight: a limit does not fall below this part of the router's share, nor below this figure.
	minimumPart     = 0.05
	minimumInFlight = 0.25
)

// Limit is one router's limit on requests in flight at the origin. New makes one; the zero value is not usable. It is
// not safe for concurrent use.
type Limit struct {
	config    Config
	algorithm ControlAlgorithm
	share     float64 // of MaxInFlight, if all routers have the same
	current   float64 // a fraction too: Allows rounds it
	inFlight  int

	// Of the present round: fills that completed since the last update. Latencies are in multiples of BaselineMs.
	completed  int
	latencySum float64
	anyFailed  bool

	previousMean   float64    // of the round before
	updatedAt      float64    // ms
	windowMinimums [2]float64 // least mean of a round in the present baselineWindow, and in the one before
	windowStart    float64    // ms
}

// New returns a limit at the router's share, or an error that wraps ErrInvalid.
func New(config Config, algorithm ControlAlgorithm) (*Limit, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	if algorithm < Fixed || algorithm > Delay {
		return nil, invalid("law", "%d is no algorithm", int(algorithm))
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

// Current is the limit at present. It is a fraction where a router's share is under one.
func (l *Limit) Current() float64 { return l.current }

// InFlight is how many are in flight.
func (l *Limit) InFlight() int { return l.inFlight }

// SetInFlight sets how many are in flight, for callers that estimate it themselves instead of calling Acquire.
func (l *Limit) SetInFlight(inFlight int) { l.inFlight = inFlight }

// Allows reports whether one more may go to the origin: a fill up to the limit less the reserve, an uncacheable
// request (reserved) up to all of it. chance, 0 to 1, is drawn by the caller: of a limit of 2.3 a third place is open
// in 0.3 of all cases, so that small shares come out right over all routers.
func (l *Limit) Allows(reserved bool, chance float64) bool {
	limit := l.current
	if !reserved {
		limit *= 1 - l.config.Reserve
	}
	places := math.Floor(limit)
	if chance < limit-places {
		places++
	}
	return float64(l.inFlight) < places
}

// Acquire records one that goes to the origin. It is followed by Complete or Ignore.
func (l *Limit) Acquire() { l.inFlight++ }

// Complete records the end of one: its latency in ms, without the time that sending its bytes takes, and whether it
// failed. One that was cancelled because nobody waits any more has failed if its time was over; else it is for
// Ignore.
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

// Ignore records the end of one that says nothing of the origin.
func (l *Limit) Ignore() { l.inFlight = max(l.inFlight-1, 0) }

// isRoundOver reports whether as many fills have completed as the limit allows at once, or a slow one's time has
// passed.
func (l *Limit) isRoundOver(now float64) bool {
	longest := slowRatio * l.config.BaselineMs * max(l.previousMean, 1)
	return float64(l.completed) >= max(l.current, 1) || now-l.updatedAt >= longest
}

// update sets the limit after a round, and begins the next one.
func (l *Limit) update(now float64) {
	mean := l.latencySum / float64(l.completed)
	r := round{
		mean:        mean,
		baseline:    l.updateBaseline(now, mean),
		anyFailed:   l.anyFailed,
		isLimitUsed: float64(l.inFlight+l.completed) >= l.current/2,
	}
	isSlow := mean > slowRatio
	isBorrowing := l.algorithm != Fixed && l.current > l.share // what is past its share is others'
	switch {
	case isBorrowing && isSlow: // returned as soon as fills take longer than usual, for whatever reason
		l.current = max(l.share, l.current*decreaseFactor)
	case l.algorithm == AIMD:
		l.current = nextAIMD(l.current, &r)
	case l.algorithm == Gradient:
		l.current = nextGradient(l.current, &r)
	case l.algorithm == Delay:
		l.current = nextDelay(l.current, l.previousMean, &r)
	}
	maximum := l.config.Burst * l.share
	if l.algorithm != Fixed && isSlow && !isBorrowing { // nothing is borrowed now
		maximum = l.share
	}
	l.current = min(max(l.current, l.minimum()), maximum)
	l.previousMean = mean
	l.updatedAt = now
	l.completed = 0
	l.latencySum = 0
	l.anyFailed = false
}

// updateBaseline takes the mean latency of a round into the windows, and returns the baseline.
func (l *Limit) updateBaseline(now, mean float64) float64 {
	if now-l.windowStart >= baselineWindow {
		l.windowMinimums[1] = l.windowMinimums[0]
		l.windowMinimums[0] = mean
		l.windowStart = now
	}
	l.windowMinimums[0] = min(l.windowMinimums[0], mean)
	return min(max(min(l.windowMinimums[0], l.windowMinimums[1]), 1), maxBaseline)
}

// minimum is what no limit falls below: else a router would hear nothing from the origin any more, and could not tell
// that it has recovered.
func (l *Limit) minimum() float64 {
	return min(l.share, max(minimumPart*l.share, minimumInFlight))
}
