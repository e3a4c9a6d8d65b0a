package clock

import (
	"slices"
	"sync"
)

// fakeTime is the time of a fake clock, and its pending timers.
type fakeTime struct {
	mu     sync.Mutex
	now    float64
	timers []*Timer // pending timers, in the order in which they were set
}

// NewFake returns a clock whose time is now, in Unix milliseconds, and changes only by Advance.
func NewFake(now float64) *Clock { return &Clock{fake: &fakeTime{now: now}} }

// Advance advances a fake clock by ms milliseconds and runs the timers that become due, in the order of their times.
// Their functions may set further timers, which also run if they become due.
func (c *Clock) Advance(ms float64) {
	end := c.fake.read() + ms
	for next := c.fake.takeDue(end); next != nil; next = c.fake.takeDue(end) {
		next.run()
	}
}

// takeDue removes the timer that is due first, if it is due by end, advances the time to it and returns it. If no timer
// is due by end, it advances the time to end and returns nil.
func (f *fakeTime) takeDue(end float64) *Timer {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.nextDueLocked(end)
	if next == nil {
		f.now = end
		return nil
	}
	f.removeLocked(next)
	f.now = max(f.now, next.due)
	return next
}

// read returns the current fake time in Unix milliseconds.
func (f *fakeTime) read() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// afterFunc implements Clock.AfterFunc.
func (f *fakeTime) afterFunc(ms float64, run func()) *Timer {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &Timer{fake: f, due: f.now + max(ms, 0), run: run}
	f.timers = append(f.timers, t)
	return t
}

// stop implements Timer.Stop.
func (f *fakeTime) stop(t *Timer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeLocked(t)
}

// nextDueLocked returns the timer that is due first; nil if none is due by end. Of several timers with the same time,
// it returns the one that was set first. f.mu is held.
func (f *fakeTime) nextDueLocked(end float64) *Timer {
	var next *Timer
	for _, t := range f.timers {
		if t.due <= end && (next == nil || t.due < next.due) {
			next = t
		}
	}
	return next
}

// removeLocked removes a timer, if it is pending. f.mu is held.
func (f *fakeTime) removeLocked(t *Timer) {
	f.timers = slices.DeleteFunc(f.timers, func(other *Timer) bool { return other == t })
}
