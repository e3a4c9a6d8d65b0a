package clock

import (
	"slices"
	"sync"
)

// fakeTime is the time of a fake clock, and the timers that wait for it.
type fakeTime struct {
	mu     sync.Mutex
	now    float64
	timers []*Timer // those that have not run, in the order in which they were set
}

// NewFake returns a clock that stands at now, in Unix milliseconds, until Advance moves it.
func NewFake(now float64) *Clock { return &Clock{fake: &fakeTime{now: now}} }

// Advance moves a fake clock by ms milliseconds and runs what falls due, in the order of its time. Functions that
// are run may set further timers, which run too if they fall due.
func (c *Clock) Advance(ms float64) {
	end := c.fake.read() + ms
	for next := c.fake.takeDue(end); next != nil; next = c.fake.takeDue(end) {
		next.run()
	}
}

// takeDue moves the time to the timer that is due first, by end at the latest, and returns the timer, which waits
// no more. Without one it moves the time to end and returns nil.
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

func (f *fakeTime) read() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fakeTime) afterFunc(ms float64, run func()) *Timer {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &Timer{fake: f, due: f.now + max(ms, 0), run: run}
	f.timers = append(f.timers, t)
	return t
}

func (f *fakeTime) stop(t *Timer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeLocked(t)
}

// nextDueLocked returns the timer that is due first, by end at the latest; nil without one. Of several at one time
// it is the one that was set first. f.mu is held.
func (f *fakeTime) nextDueLocked(end float64) *Timer {
	var next *Timer
	for _, t := range f.timers {
		if t.due <= end && (next == nil || t.due < next.due) {
			next = t
		}
	}
	return next
}

// removeLocked drops a timer. f.mu is held.
func (f *fakeTime) removeLocked(t *Timer) {
	f.timers = slices.DeleteFunc(f.timers, func(other *Timer) bool { return other == t })
}
