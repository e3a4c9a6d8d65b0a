// Package clock provides the time, as Unix milliseconds in float64. It is the only source of time for the decisions of
// a router; some waits, tickers and I/O deadlines use package time directly. The events of package routing and of the
// packages in core have times in whole microseconds. Outside core, Micros and Millis are the only functions of a router
// that convert between the two.
package clock

import "time"

// Clock returns the time and runs functions after a delay. The zero value is the system's clock; NewFake returns one
// that a test advances. It is safe for concurrent use.
type Clock struct {
	fake *fakeTime // nil: the system's clock
}

// Timer is a function that a Clock runs after a delay.
type Timer struct {
	real *time.Timer // nil: the timer of a fake clock

	// Set for a fake clock only.
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

// processStart is the zero point of Monotonic.
var processStart = time.Now()

// Monotonic returns the time since the start of the process in milliseconds. Changes of the system's clock do not
// affect it. Use it for durations that must be right even if the system's clock is set, such as those that other
// processes rely on. With a fake clock it returns Now.
func (c *Clock) Monotonic() float64 {
	if c.fake != nil {
		return c.fake.read()
	}
	return float64(time.Since(processStart).Microseconds()) / 1000
}

// AfterFunc runs f after ms milliseconds, and returns the timer that can stop it. f runs in its own goroutine, or, with
// a fake clock, in the goroutine that calls Advance.
func (c *Clock) AfterFunc(ms float64, f func()) *Timer {
	if c.fake != nil {
		return c.fake.afterFunc(ms, f)
	}
	return &Timer{real: time.AfterFunc(Duration(ms), f)}
}

// Alarm returns a channel that receives one value after ms milliseconds, and the timer that can stop it.
func (c *Clock) Alarm(ms float64) (<-chan struct{}, *Timer) {
	alarm := make(chan struct{}, 1)
	return alarm, c.AfterFunc(ms, func() { alarm <- struct{}{} })
}

// Stop prevents the timer from running if it has not run yet. On a nil timer it does nothing.
func (t *Timer) Stop() {
	switch {
	case t == nil:
	case t.real != nil:
		t.real.Stop()
	default:
		t.fake.stop(t)
	}
}
