// Package backoff decides how hundreds of routers that begin, or lose something, at the same moment come to it one after the other. It does
// no I/O and reads no clock; times are microseconds.
package backoff

// Schedule spaces the tries of a tier at a service that all of them use, such as the list of servers, over a period, each router in a slot of
// its own: slotted access (L. Roberts, "ALOHA packet system with and without slots and capture", 1975) with the slots handed out by rank.
//
// Bound: of routers that lost the service at the same moment, at most Siblings x d / Period + 1 try within any time d, for as long as it is away;
// of others, as many on average. A router tries within one Period of the loss, and again one Period after each try that failed, so that news is
// late by no more than a Period and what a try takes. Without jitter 300 routers tried 1,200 times a second in four bursts.
type Schedule struct {
	Rank, FleetSize int // of this router, and how many there are; 0 of 0: it is alone
}

const (
	attemptsPerSecond = 200     // tries of a whole tier a second, where that keeps within the longest period
	minPeriod         = 200_000 // of small tiers: each tries five times a second at most
	maxPeriod         = 500_000 // news that binds at once must not come later
	minRetryGap       = 20_000  // between a try that failed and the next: a slot that begins sooner is left out
)

// Period is the time in which each router tries once.
func (t Schedule) Period() int64 {
	return min(max(int64(t.FleetSize)*1_000_000/attemptsPerSecond, minPeriod), maxPeriod)
}

// slot is where in a period this router tries.
func (t Schedule) slot() int64 {
	if t.FleetSize <= 0 || t.Rank < 0 {
		return 0
	}
	return t.Period() * int64(t.Rank%t.FleetSize) / int64(t.FleetSize)
}

// Next is when to try next, at now, after a loss at a time not later. tried tells that a try has failed since.
func (t Schedule) Next(lostAt, now int64, hasAttempted bool) int64 {
	at, period := lostAt+t.slot(), t.Period()
	least := now
	if hasAttempted {
		least += minRetryGap
	}
	if at >= least {
		return at
	}
	return at + (least-at+period-1)/period*period
}
