// Package backoff decides when each of hundreds of routers that start, or lose a service, at the same moment tries to
// reach it, so that they come one after the other. It does no I/O and reads no clock: times are microseconds.
package backoff

// Schedule spaces the attempts of a fleet at a service that all its routers use, such as discovery, over a period,
// each router in a slot of its own: slotted access (L. Roberts, "ALOHA packet system with and without slots and
// capture", ACM SIGCOMM Computer Communication Review 5(2), 1975) with the slots handed out by rank.
//
// Bound: of routers that lost the service at the same moment, at most FleetSize x d / Period + 1 make an attempt
// within any time d, for as long as it is away; of others, as many on average. A router makes an attempt within one
// Period of the loss, and again one Period after each that failed, so that an event is late by no more than a
// Period and what an attempt takes. (Without slots 300 routers made 1,200 attempts a second in four bursts.)
type Schedule struct {
	Rank      int // of this router, from 0
	FleetSize int // 0: this router is alone
}

// attemptsPerSecond of a whole fleet are made, where that keeps within the longest period.
const attemptsPerSecond = 200

// Times in microseconds.
const (
	second      = 1_000_000
	minPeriod   = 200_000 // of small fleets: each router makes five attempts a second at most
	maxPeriod   = 500_000 // events that take effect at once must not come later
	minRetryGap = 20_000  // between an attempt that failed and the next: a slot that begins sooner is left out
)

// Period is the time (us) in which each router makes one attempt.
func (s Schedule) Period() int64 {
	period := int64(s.FleetSize) * second / attemptsPerSecond
	return min(max(period, minPeriod), maxPeriod)
}

// slot is where in a period this router makes its attempt.
func (s Schedule) slot() int64 {
	if s.FleetSize <= 0 || s.Rank < 0 {
		return 0
	}
	return s.Period() * int64(s.Rank%s.FleetSize) / int64(s.FleetSize)
}

// Next is the time of the next attempt, at now or later, where the service was lost at lostAt. hasFailed tells that
// an attempt has failed since.
func (s Schedule) Next(lostAt, now int64, hasFailed bool) int64 {
	earliest := now
	if hasFailed {
		earliest += minRetryGap
	}
	next := lostAt + s.slot()
	if next >= earliest {
		return next
	}
	period := s.Period()
	skipped := (earliest - next + period - 1) / period // rounded up
	return next + skipped*period
}
