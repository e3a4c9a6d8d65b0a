// Package backoff schedules the connection attempts of a router fleet. When hundreds of routers start, or lose a
// service, at the same time, their attempts are spread over time instead of arriving in bursts. The delay between
// attempts does not grow with the number of failures. The package does no I/O and reads no clock. Times are in
// microseconds.
package backoff

// Schedule spreads the attempts of a fleet to reach a shared service, such as the discovery service, over a period.
// Each router has its own slot in the period. This is slotted access (L. Roberts, "ALOHA packet system with and without
// slots and capture", ACM SIGCOMM Computer Communication Review 5(2), 1975) with slots assigned by rank.
//
// Bound: if all routers lost the service at the same time, they make at most FleetSize x d / Period + 1 attempts in any
// interval of length d while the service is unavailable. If they lost it at different times, the bound holds on
// average. Without slots, 300 routers would make 1,200 attempts per second, in four bursts.
//
// A router makes its first attempt within one Period of the loss. After a failed attempt, it makes the next attempt in
// its first slot that starts at least minRetryGap after the failure. This is usually one Period after the failed
// attempt. Once the service is available again, an event that it sends is therefore delayed by at most one Period plus
// the duration of an attempt.
type Schedule struct {
	Rank      int // rank of this router, from 0
	FleetSize int // number of routers; 0: only this router
}

// attemptsPerSecond is the target rate of attempts of the whole fleet. The actual rate is lower in small fleets,
// because of minPeriod, and higher in large ones, because of maxPeriod.
const attemptsPerSecond = 200

// Times in microseconds.
const (
	second      = 1_000_000
	minPeriod   = 200_000 // minimum of Period; limits each router of a small fleet to five attempts per second
	maxPeriod   = 500_000 // maximum of Period; limits the time until a router reconnects
	minRetryGap = 20_000  // minimum time from a failure to the next attempt; a slot that starts earlier is skipped
)

// Period returns the time in microseconds in which each router makes one attempt.
func (s Schedule) Period() int64 {
	period := int64(s.FleetSize) * second / attemptsPerSecond
	return min(max(period, minPeriod), maxPeriod)
}

// slot returns the start of this router's slot, in microseconds from the start of the period.
func (s Schedule) slot() int64 {
	if s.FleetSize <= 0 || s.Rank < 0 {
		return 0
	}
	return s.Period() * int64(s.Rank%s.FleetSize) / int64(s.FleetSize)
}

// Next returns the time of the next attempt, not before now, for a service that was lost at lostAt. hasFailed is true
// if an attempt has failed since then.
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
