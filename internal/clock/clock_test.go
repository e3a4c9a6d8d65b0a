package clock

import (
	"slices"
	"testing"
)

// A fake clock runs what falls due in the order of its time, also what is set on the way, and nothing that was stopped.
func TestFake(t *testing.T) {
	c := NewFake(1000)
	var ran []string
	record := func(name string) func() { return func() { ran = append(ran, name) } }
	c.AfterFunc(30, record("late"))
	c.AfterFunc(10, func() {
		record("early")()
		c.AfterFunc(10, record("set on the way"))
	})
	c.AfterFunc(20, record("stopped")).Stop()
	alarm, _ := c.Alarm(25)
	c.Advance(29)
	if want := []string{"early", "set on the way"}; !slices.Equal(ran, want) || len(alarm) != 1 || c.Now() != 1029 {
		t.Errorf("ran %q, alarm %d, now %v", ran, len(alarm), c.Now())
	}
	c.Advance(1)
	if len(ran) != 3 || ran[2] != "late" {
		t.Errorf("ran %q", ran)
	}
}

// Present times must come through both conversions unharmed: a deadline a microsecond early would bring one more retry.
func TestConversion(t *testing.T) {
	for us := int64(1_764_576_000_000_000); us < 1_764_576_000_001_000; us++ {
		if got := Micros(Millis(us)); got != us {
			t.Fatalf("%d comes back as %d", us, got)
		}
	}
}
