// Package clock is the program's one source of time: Unix milliseconds as float64. Only the decision module counts
// in whole microseconds; Micros and Millis are the one place where the two meet.
package clock

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Clock tells the time and runs functions later. The zero value is the system's clock; NewFake makes one that a
// test sets.
type Clock struct {
	fake *fake
}

// Timer is a function that a Clock will run.
type Timer struct {
	real *time.Timer
	fake *fake
	due  float64
	run  func()
}

type fake struct {
	mu     sync.Mutex
	now    float64
	timers []*Timer
}

// NewFake returns a clock that stands at now until Advance moves it.
func NewFake(now float64) *Clock { return &Clock{fake: &fake{now: now}} }

// Now is the Unix time in milliseconds.
func (c *Clock) Now() float64 {
	if c.fake == nil {
		return float64(time.Now().UnixMicro()) / 1000
	}
	c.fake.mu.Lock()
	defer c.fake.mu.Unlock()
	return c.fake.now
}

// processStart is when the process began to tell steady time.
var processStart = time.Now()

// Monotonic is a time in milliseconds that no setting of the system's clock moves: what intervals are reckoned by that others rely on.
func (c *Clock) Monotonic() float64 {
	if c.fake == nil {
		return float64(time.Since(processStart).Microseconds()) / 1000
	}
	return c.Now()
}

// AfterFunc runs f in a goroutine of its own (a fake clock: in that of Advance) once ms milliseconds have passed.
func (c *Clock) AfterFunc(ms float64, f func()) *Timer {
	if c.fake == nil {
		return &Timer{real: time.AfterFunc(Duration(ms), f)}
	}
	c.fake.mu.Lock()
	defer c.fake.mu.Unlock()
	t := &Timer{fake: c.fake, due: c.fake.now + max(ms, 0), run: f}
	c.fake.timers = append(c.fake.timers, t)
	return t
}

// Alarm returns a channel that gets one value after ms milliseconds, and the timer that stops it.
func (c *Clock) Alarm(ms float64) (<-chan struct{}, *Timer) {
	rung := make(chan struct{}, 1)
	return rung, c.AfterFunc(ms, func() { rung <- struct{}{} })
}

// Stop keeps the timer from running if it has not yet. A nil timer is stopped already.
func (t *Timer) Stop() {
	switch {
	case t == nil:
	case t.real != nil:
		t.real.Stop()
	default:
		t.fake.mu.Lock()
		defer t.fake.mu.Unlock()
		t.fake.timers = slices.DeleteFunc(t.fake.timers, func(o *Timer) bool { return o == t })
	}
}

// Advance moves a fake clock by ms and runs what falls due, in the order of its time.
func (c *Clock) Advance(ms float64) {
	f := c.fake
	f.mu.Lock()
	end := f.now + ms
	for {
		var next *Timer
		for _, t := range f.timers {
			if t.due <= end && (next == nil || t.due < next.due) {
				next = t
			}
		}
		if next == nil {
			break
		}
		f.timers = slices.DeleteFunc(f.timers, func(o *Timer) bool { return o == next })
		f.now = max(f.now, next.due)
		f.mu.Unlock()
		next.run()
		f.mu.Lock()
	}
	f.now = end
	f.mu.Unlock()
}

// Micros converts milliseconds to the decision module's microseconds.
func Micros(ms float64) int64 { return int64(math.Round(ms * 1000)) }

// Millis converts the decision module's microseconds to milliseconds.
func Millis(us int64) float64 { return float64(us) / 1000 }

// Duration converts milliseconds for the standard library.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Deadline is the moment ms milliseconds from now as the net package takes it.
func Deadline(ms float64) time.Time { return time.Now().Add(Duration(ms)) }
