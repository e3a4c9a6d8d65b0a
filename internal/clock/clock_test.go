package clock

import (
	"slices"
	"testing"
)

// A fake clock must run due functions in the order of their times, including those that are set during Advance, and
// must not run stopped ones.
func TestFakeRunsDueTimersInOrder(t *testing.T) {
	c := NewFake(1000)
	var ran []string
	record := func(name string) func() { return func() { ran = append(ran, name) } }
	c.AfterFunc(30, record("late"))
	c.AfterFunc(10, func() {
		record("early")()
		c.AfterFunc(10, record("set during Advance"))
	})
	c.AfterFunc(20, record("stopped")).Stop()
	alarm, _ := c.Alarm(25)
	c.Advance(29)
	if want := []string{"early", "set during Advance"}; !slices.Equal(ran, want) || len(alarm) != 1 || c.Now() != 1029 {
		t.Errorf("ran %q, alarm %d, now %v", ran, len(alarm), c.Now())
	}
	c.Advance(1)
	if len(ran) != 3 || ran[2] != "late" {
		t.Errorf("ran %q, want late as the third", ran)
	}
}

// Current times must be unchanged after both conversions: a deadline that is one microsecond early would cause another
// retry.
func TestConversionIsExact(t *testing.T) {
	for us := int64(1_764_576_000_000_000); us < 1_764_576_000_001_000; us++ {
		if got := Micros(Millis(us)); got != us {
			t.Fatalf("%d is %d after both conversions", us, got)
		}
	}
}
