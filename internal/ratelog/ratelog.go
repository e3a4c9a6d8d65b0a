// Package ratelog limits how often a repeated fault is logged, so that a fault of every connection does not fill the
// log. The caller counts the faults and logs the count, so that faults without a log line are still visible.
package ratelog

// Interval is the minimum time between two log lines of a Limiter, in milliseconds.
const Interval = 1000

// Limiter allows one log line per Interval. The zero value is ready for use. It is not safe for concurrent use: the
// caller guards it together with the count that it logs.
type Limiter struct {
	loggedAt float64 // time of the last line in Unix milliseconds; 0: none yet
}

// Allow reports whether a line may be logged at now, in Unix milliseconds. If so, the line counts as logged.
func (l *Limiter) Allow(now float64) bool {
	if now-l.loggedAt < Interval {
		return false
	}
	l.loggedAt = now
	return true
}

// Record notes that a line was logged at now, in Unix milliseconds, without a call of Allow.
func (l *Limiter) Record(now float64) { l.loggedAt = now }
