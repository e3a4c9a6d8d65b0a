// Package coldstart decides how hundreds of routers that begin, or lose something, at the same moment come to it one after the other. It does
// no I/O and reads no clock; times are microseconds.
package coldstart

// Tries spaces the tries of a tier at a service that all of them use, such as the list of servers, over a period, each router in a slot of
// its own: slotted access (L. Roberts, "ALOHA packet system with and without slots and capture", 1975) with the slots handed out by rank.
//
// Bound: of routers that lost the service at the same moment, at most Siblings x d / Period + 1 try within any time d, for as long as it is away;
// of others, as many on average. A router tries within one Period of the loss, and again one Period after each try that failed, so that news is
// late by no more than a Period and what a try takes. Without jitter 300 routers tried 1,200 times a second in four bursts.
type Tries struct {
	Rank, Siblings int // of this router, and how many there are; 0 of 0: it is alone
}

const (
	perSecond   = 200     // tries of a whole tier a second, where that keeps within the longest period
	leastPeriod = 200_000 // of small tiers: each tries five times a second at most
	mostPeriod  = 500_000 // news that binds at once must not come later
	leastGap    = 20_000  // between a try that failed and the next: a slot that begins sooner is left out
)

// Period is the time in which each router tries once.
func (t Tries) Period() int64 {
	return min(max(int64(t.Siblings)*1_000_000/perSecond, leastPeriod), mostPeriod)
}

// slot is where in a period this router tries.
func (t Tries) slot() int64 {
	if t.Siblings <= 0 || t.Rank < 0 {
		return 0
	}
	return t.Period() * int64(t.Rank%t.Siblings) / int64(t.Siblings)
}

// Next is when to try next, at now, after a loss at a time not later. tried tells that a try has failed since.
func (t Tries) Next(lost, now int64, tried bool) int64 {
	at, period := lost+t.slot(), t.Period()
	least := now
	if tried {
		least += leastGap
	}
	if at >= least {
		return at
	}
	return at + (least-at+period-1)/period*period
}
