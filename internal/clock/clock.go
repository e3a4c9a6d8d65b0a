// Package clock is the program's one source of time: Unix milliseconds as float64. Only the decision module counts
// in whole microseconds; Micros and Millis are the one place where the two meet.
package clock

import "time"

// Clock tells the time and runs functions later. The zero value is the system's clock; NewFake makes one that a
// test sets. It is safe for concurrent use.
type Clock struct {
	fake *fakeTime // nil: the system's
}

// Timer is a function that a Clock will run.
type Timer struct {
	real *time.Timer // nil: a fake clock's

	// Of a fake clock.
	fake *fakeTime
	due  float64
	run  func()
}

// Now returns the Unix time in milliseconds.
func (c *Clock) Now() float64 {
	if c.fake != nil {
		return c.fake.read()
	}
	return float64(time.Now().UnixMicro()) / 1000
}

// processStart is the origin of monotonic time.
var processStart = time.Now()

// Monotonic returns a time in milliseconds that no setting of the system's clock moves, counted from the start of
// the process. Intervals on which other processes rely are measured by it.
func (c *Clock) Monotonic() float64 {
	if c.fake != nil {
		return c.fake.read()
	}
	return float64(time.Since(processStart).Microseconds()) / 1000
}

// AfterFunc runs f once ms milliseconds have passed: in a goroutine of its own, or, with a fake clock, in that of
// Advance.
func (c *Clock) AfterFunc(ms float64, f func()) *Timer {
	if c.fake != nil {
		return c.fake.afterFunc(ms, f)
	}
	return &Timer{real: time.AfterFunc(Duration(ms), f)}
}

// Alarm returns a channel that gets one value after ms milliseconds, and the timer that stops it.
func (c *Clock) Alarm(ms float64) (<-chan struct{}, *Timer) {
	alarm := make(chan struct{}, 1)
	return alarm, c.AfterFunc(ms, func() { alarm <- struct{}{} })
}

// Stop keeps the timer from running if it has not yet. A nil timer is stopped already.
func (t *Timer) Stop() {
	switch {
	case t == nil:
	case t.real != nil:
		t.real.Stop()
	default:
		t.fake.stop(t)
	}
}
