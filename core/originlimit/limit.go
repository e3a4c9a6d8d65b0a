// Package originlimit bounds what reaches the head office: how many fills a router may have out there, without talk between routers and without
// a request that nobody asked for.
//
// The guarantee is in Limit: over all routers together never more than Burst times the document's limit are out, and a reserve of it is open to
// uncacheable requests alone. Within that a controller moves each router's limit by how long its own fills take and how many fail.
//
// The package does no I/O and reads no clock: times come in, in ms.
package originlimit

import (
	"errors"
	"fmt"
	"math"
)

// Config are the document's: the same for all routers.
type Config struct {
	MaxInFlight float64 // fills out at the head office, of all routers together, at which it answers in its usual time
	Routers     int     // that share it, up or not
	Reserve     float64 // part of every router's limit that fills leave for uncacheable requests, 0 to 1
	Burst       float64 // how many times its share a router may have out while the head office answers well, as routers may be down: 1 or more
	BaselineMs  float64 // what it takes for a fill when it is not crowded
}

// ErrInvalid is wrapped by every fault of terms.
var ErrInvalid = errors.New("no such shield")

// Validate reports the first thing that can't be used.
func (t *Config) Validate() error {
	switch {
	case !(t.MaxInFlight >= 1 && t.MaxInFlight < 1e9):
		return fmt.Errorf("%w: most: %v is not 1 to 1e9", ErrInvalid, t.MaxInFlight)
	case t.Routers < 1 || t.Routers > 1e6:
		return fmt.Errorf("%w: routers: %d is not 1 to 1e6", ErrInvalid, t.Routers)
	case !(t.Reserve >= 0 && t.Reserve < 1):
		return fmt.Errorf("%w: reserve: %v is not 0 to 1", ErrInvalid, t.Reserve)
	case !(t.Burst >= 1 && t.Burst <= 100):
		return fmt.Errorf("%w: burst: %v is not 1 to 100", ErrInvalid, t.Burst)
	case !(t.BaselineMs > 0 && t.BaselineMs < 1e6):
		return fmt.Errorf("%w: usualMs: %v is not above 0", ErrInvalid, t.BaselineMs)
	}
	return nil
}

// ControlAlgorithm is how a limit follows what fills tell. Fixed does not.
type ControlAlgorithm int

// The laws.
const (
	Fixed    ControlAlgorithm = iota // the router's share, always
	AIMD                             // up by one in each round of fills that went well, down by a part when one was slow or failed (Chiu and Jain, 1989)
	Gradient                         // by the quotient of the usual time and the present one, with room for a queue of its square root
	Delay                            // towards a set delay, in proportion to how far it is off and to how that changes
)

var algorithmNames = []string{"fixed", "aimd", "gradient", "delay"}

func (l ControlAlgorithm) String() string { return algorithmNames[l] }

// ParseControlAlgorithm is the law of a name.
func ParseControlAlgorithm(name string) (ControlAlgorithm, error) {
	for i, n := range algorithmNames {
		if n == name {
			return ControlAlgorithm(i), nil
		}
	}
	return 0, fmt.Errorf("%w: law: %q is none of %v", ErrInvalid, name, algorithmNames)
}

// What the laws go by.
const (
	slowRatio      = 1.6  // times the base, from which a round is slow
	baselineWindow = 4000 // ms; the base is the least mean of a round in the last one to two of these spans, so that a head office that has become
	// slower by itself, and not by what is asked of it, is not starved
	maxBaseline       = 6.0  // usual times that a base can be, so that it does not follow a jam
	decreaseFactor    = 0.7  // AIMD: what is left of the limit after one
	queueTolerance    = 1.3  // Gradient: times the base that is not yet a queue
	minGradient       = 0.5  // Gradient: of the limit, at one step
	gradientSmoothing = 0.2  // Gradient: part of a step that is taken
	delayGain         = 0.25 // Delay: part of the limit for each usual time that the delay is off
	delaySlope        = 0.5  // Delay: the same for its change since the step before
	maxDelayStep      = 0.3  // Delay: part of the limit at one step
	failurePenalty    = 4.0  // a failed fill counts as one that took so many times the usual, or longer if it did
)

// Limit is one router's. The zero value can't be used: New makes one.
type Limit struct {
	config    Config
	algorithm ControlAlgorithm
	share     float64
	current   float64
	inFlight  int
	// Of the round at hand: fills that ended since the last step.
	completed      int
	latencySum     float64
	anyFailed      bool
	previousMean   float64 // mean time of the round before, in usual times
	updatedAt      float64
	windowMinimums [2]float64 // mean of a round in this span and in the one before, in usual times
	windowStart    float64
}

// New returns a limit at the router's share.
func New(t Config, law ControlAlgorithm) (*Limit, error) {
	if err := t.Validate(); err != nil {
		return nil, err
	}
	if law < Fixed || law > Delay {
		return nil, fmt.Errorf("%w: law: %d", ErrInvalid, law)
	}
	share := t.MaxInFlight / float64(t.Routers)
	return &Limit{config: t, algorithm: law, share: share, current: share, previousMean: 1, windowMinimums: [2]float64{1, 1}}, nil
}

// Current is the limit at present. It is a part where a router's share is under one: May rounds by who asks.
func (l *Limit) Current() float64 { return l.current }

// InFlight is how many are out.
func (l *Limit) InFlight() int { return l.inFlight }

// Allows reports that one more may go to the head office: a fill up to the limit less the reserve, an uncacheable request up to all of it. chance,
// 0 to 1, is drawn by the caller: of a limit of 2.3 a third place is open in 0.3 of all cases, so that small shares come out right over
// all routers.
func (l *Limit) Allows(reserved bool, chance float64) bool {
	most := l.current
	if !reserved {
		most *= 1 - l.config.Reserve
	}
	whole := math.Floor(most)
	if chance < most-whole {
		whole++
	}
	return float64(l.inFlight) < whole
}

// Acquire books one that goes.
func (l *Limit) Acquire() { l.inFlight++ }

// Complete books the end of one: how long it took beyond the sending of its bytes at full pace, and whether it failed. One that was dropped
// because nobody waits any more is booked with failed if its time was over, else with Dropped.
func (l *Limit) Complete(now, took float64, failed bool) {
	l.Ignore()
	x := max(took, 0) / l.config.BaselineMs
	if failed {
		x = max(x, failurePenalty)
	}
	l.completed++
	l.latencySum += x
	l.anyFailed = l.anyFailed || failed
	if float64(l.completed) >= max(l.current, 1) || now-l.updatedAt >= slowRatio*l.config.BaselineMs*max(l.previousMean, 1) {
		l.update(now)
	}
}

// Ignore books the end of one that tells nothing.
func (l *Limit) Ignore() { l.inFlight = max(l.inFlight-1, 0) }

// update moves the limit after a round.
func (l *Limit) update(now float64) {
	mean := l.latencySum / float64(l.completed)
	if now-l.windowStart >= baselineWindow {
		l.windowMinimums, l.windowStart = [2]float64{mean, l.windowMinimums[0]}, now
	}
	l.windowMinimums[0] = min(l.windowMinimums[0], mean)
	base := min(max(min(l.windowMinimums[0], l.windowMinimums[1]), 1), maxBaseline)
	over := mean / base
	used := float64(l.inFlight+l.completed) >= l.current/2 // a limit that is not used says nothing of more
	lent := l.algorithm != Fixed && l.current > l.share    // what is past its share is others'
	switch law := l.algorithm; {
	case lent && mean > slowRatio: // and is given back as soon as fills take longer than usual, for whatever reason
		l.current = max(l.share, l.current*decreaseFactor)
	case law == AIMD:
		switch {
		case l.anyFailed || over > slowRatio:
			l.current *= decreaseFactor
		case used:
			l.current++
		}
	case law == Gradient:
		g := min(max(queueTolerance/over, minGradient), 1)
		next := l.current*g + math.Sqrt(l.current)
		if next < l.current || used {
			l.current += gradientSmoothing * (next - l.current)
		}
	case law == Delay:
		off := (slowRatio - over) * delayGain
		turn := (l.previousMean - mean) / base * delaySlope
		by := min(max(off+turn, -maxDelayStep), maxDelayStep)
		if by < 0 || used {
			l.current += by * max(l.current, 1)
		}
	}
	most := l.config.Burst * l.share
	if l.algorithm != Fixed && mean > slowRatio && !lent { // nothing is borrowed now
		most = l.share
	}
	l.current = min(max(l.current, l.minimum()), most)
	l.previousMean, l.updatedAt = mean, now
	l.completed, l.latencySum, l.anyFailed = 0, 0, false
}

// minimum is the part of its share below which no limit falls: else a router would hear nothing from the head office any more, and could not
// tell that it is well again.
func (l *Limit) minimum() float64 { return min(l.share, max(0.05*l.share, 0.25)) }
