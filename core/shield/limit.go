// Package shield bounds what reaches the head office: how many fills a router may have out there, without talk between routers and without
// a request that nobody asked for.
//
// The guarantee is in Limit: over all routers together never more than Burst times the document's limit are out, and a reserve of it is open to
// uncacheable requests alone. Within that a controller moves each router's limit by how long its own fills take and how many fail.
//
// The package does no I/O and reads no clock: times come in, in ms.
package shield

import (
	"errors"
	"fmt"
	"math"
)

// Terms are the document's: the same for all routers.
type Terms struct {
	Most    float64 // fills out at the head office, of all routers together, at which it answers in its usual time
	Routers int     // that share it, up or not
	Reserve float64 // part of every router's limit that fills leave for uncacheable requests, 0 to 1
	Burst   float64 // how many times its share a router may have out while the head office answers well, as routers may be down: 1 or more
	UsualMs float64 // what it takes for a fill when it is not crowded
}

// ErrTerms is wrapped by every fault of terms.
var ErrTerms = errors.New("no such shield")

// Check reports the first thing that can't be used.
func (t *Terms) Check() error {
	switch {
	case !(t.Most >= 1 && t.Most < 1e9):
		return fmt.Errorf("%w: most: %v is not 1 to 1e9", ErrTerms, t.Most)
	case t.Routers < 1 || t.Routers > 1e6:
		return fmt.Errorf("%w: routers: %d is not 1 to 1e6", ErrTerms, t.Routers)
	case !(t.Reserve >= 0 && t.Reserve < 1):
		return fmt.Errorf("%w: reserve: %v is not 0 to 1", ErrTerms, t.Reserve)
	case !(t.Burst >= 1 && t.Burst <= 100):
		return fmt.Errorf("%w: burst: %v is not 1 to 100", ErrTerms, t.Burst)
	case !(t.UsualMs > 0 && t.UsualMs < 1e6):
		return fmt.Errorf("%w: usualMs: %v is not above 0", ErrTerms, t.UsualMs)
	}
	return nil
}

// Law is how a limit follows what fills tell. Fixed does not.
type Law int

// The laws.
const (
	Fixed    Law = iota // the router's share, always
	AIMD                // up by one in each round of fills that went well, down by a part when one was slow or failed (Chiu and Jain, 1989)
	Gradient            // by the quotient of the usual time and the present one, with room for a queue of its square root
	Delay               // towards a set delay, in proportion to how far it is off and to how that changes
)

var lawNames = []string{"fixed", "aimd", "gradient", "delay"}

func (l Law) String() string { return lawNames[l] }

// ParseLaw is the law of a name.
func ParseLaw(name string) (Law, error) {
	for i, n := range lawNames {
		if n == name {
			return Law(i), nil
		}
	}
	return 0, fmt.Errorf("%w: law: %q is none of %v", ErrTerms, name, lawNames)
}

// What the laws go by.
const (
	slow     = 1.6  // times the base, from which a round is slow
	baseSpan = 4000 // ms; the base is the least mean of a round in the last one to two of these spans, so that a head office that has become
	// slower by itself, and not by what is asked of it, is not starved
	baseMost   = 6.0  // usual times that a base can be, so that it does not follow a jam
	cut        = 0.7  // AIMD: what is left of the limit after one
	tolerance  = 1.3  // Gradient: times the base that is not yet a queue
	leastCut   = 0.5  // Gradient: of the limit, at one step
	smooth     = 0.2  // Gradient: part of a step that is taken
	delayGain  = 0.25 // Delay: part of the limit for each usual time that the delay is off
	delaySlope = 0.5  // Delay: the same for its change since the step before
	stepMost   = 0.3  // Delay: part of the limit at one step
	failCost   = 4.0  // a failed fill counts as one that took so many times the usual, or longer if it did
)

// Limit is one router's. The zero value can't be used: New makes one.
type Limit struct {
	terms Terms
	law   Law
	share float64
	limit float64
	out   int
	// Of the round at hand: fills that ended since the last step.
	ended  int
	sum    float64
	bad    bool
	before float64 // mean time of the round before, in usual times
	stepAt float64
	least  [2]float64 // mean of a round in this span and in the one before, in usual times
	spanAt float64
}

// New returns a limit at the router's share.
func New(t Terms, law Law) (*Limit, error) {
	if err := t.Check(); err != nil {
		return nil, err
	}
	if law < Fixed || law > Delay {
		return nil, fmt.Errorf("%w: law: %d", ErrTerms, law)
	}
	share := t.Most / float64(t.Routers)
	return &Limit{terms: t, law: law, share: share, limit: share, before: 1, least: [2]float64{1, 1}}, nil
}

// Now is the limit at present. It is a part where a router's share is under one: May rounds by who asks.
func (l *Limit) Now() float64 { return l.limit }

// Out is how many are out.
func (l *Limit) Out() int { return l.out }

// May reports that one more may go to the head office: a fill up to the limit less the reserve, an uncacheable request up to all of it. chance,
// 0 to 1, is drawn by the caller: of a limit of 2.3 a third place is open in 0.3 of all cases, so that small shares come out right over
// all routers.
func (l *Limit) May(reserved bool, chance float64) bool {
	most := l.limit
	if !reserved {
		most *= 1 - l.terms.Reserve
	}
	whole := math.Floor(most)
	if chance < most-whole {
		whole++
	}
	return float64(l.out) < whole
}

// Sent books one that goes.
func (l *Limit) Sent() { l.out++ }

// Ended books the end of one: how long it took beyond the sending of its bytes at full pace, and whether it failed. One that was dropped
// because nobody waits any more is booked with failed if its time was over, else with Dropped.
func (l *Limit) Ended(now, took float64, failed bool) {
	l.Dropped()
	x := max(took, 0) / l.terms.UsualMs
	if failed {
		x = max(x, failCost)
	}
	l.ended++
	l.sum += x
	l.bad = l.bad || failed
	if float64(l.ended) >= max(l.limit, 1) || now-l.stepAt >= slow*l.terms.UsualMs*max(l.before, 1) {
		l.step(now)
	}
}

// Dropped books the end of one that tells nothing.
func (l *Limit) Dropped() { l.out = max(l.out-1, 0) }

// step moves the limit after a round.
func (l *Limit) step(now float64) {
	mean := l.sum / float64(l.ended)
	if now-l.spanAt >= baseSpan {
		l.least, l.spanAt = [2]float64{mean, l.least[0]}, now
	}
	l.least[0] = min(l.least[0], mean)
	base := min(max(min(l.least[0], l.least[1]), 1), baseMost)
	over := mean / base
	used := float64(l.out+l.ended) >= l.limit/2 // a limit that is not used says nothing of more
	lent := l.law != Fixed && l.limit > l.share // what is past its share is others'
	switch law := l.law; {
	case lent && mean > slow: // and is given back as soon as fills take longer than usual, for whatever reason
		l.limit = max(l.share, l.limit*cut)
	case law == AIMD:
		switch {
		case l.bad || over > slow:
			l.limit *= cut
		case used:
			l.limit++
		}
	case law == Gradient:
		g := min(max(tolerance/over, leastCut), 1)
		next := l.limit*g + math.Sqrt(l.limit)
		if next < l.limit || used {
			l.limit += smooth * (next - l.limit)
		}
	case law == Delay:
		off := (slow - over) * delayGain
		turn := (l.before - mean) / base * delaySlope
		by := min(max(off+turn, -stepMost), stepMost)
		if by < 0 || used {
			l.limit += by * max(l.limit, 1)
		}
	}
	most := l.terms.Burst * l.share
	if l.law != Fixed && mean > slow && !lent { // nothing is borrowed now
		most = l.share
	}
	l.limit = min(max(l.limit, l.floor()), most)
	l.before, l.stepAt = mean, now
	l.ended, l.sum, l.bad = 0, 0, false
}

// floor is the part of its share below which no limit falls: else a router would hear nothing from the head office any more, and could not
// tell that it is well again.
func (l *Limit) floor() float64 { return min(l.share, max(0.05*l.share, 0.25)) }
