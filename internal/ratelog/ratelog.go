// Package ratelog bounds how often a repeating fault is logged, so that a fault of every connection does not fill the
// log. The caller counts the faults and logs the count, so that the ones left out can still be seen.
package ratelog

// Interval is the time between two log lines of one kind, in milliseconds.
const Interval = 1000

// Limiter admits one log line per Interval. The zero value is ready for use. It is not safe for concurrent use: its
// owner guards it together with the count that it logs.
type Limiter struct {
	loggedAt float64 // Unix milliseconds of the last line; 0: none yet
}

// Allow reports whether a line may be logged at now (Unix milliseconds), and counts it as logged if so.
func (l *Limiter) Allow(now float64) bool {
	if now-l.loggedAt < Interval {
		return false
	}
	l.loggedAt = now
	return true
}

// Record counts a line as logged at now although it was not subject to the limit.
func (l *Limiter) Record(now float64) { l.loggedAt = now }
