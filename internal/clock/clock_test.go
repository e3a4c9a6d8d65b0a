package clock

import (
	"slices"
	"testing"
)

func TestFake(t *testing.T) {
	c := NewFake(1000)
	var ran []string
	note := func(name string) func() { return func() { ran = append(ran, name) } }
	c.AfterFunc(30, note("late"))
	c.AfterFunc(10, func() { ran = append(ran, "early"); c.AfterFunc(10, note("armed on the way")) })
	c.AfterFunc(20, note("stopped")).Stop()
	rung, _ := c.Alarm(25)
	c.Advance(29)
	if want := []string{"early", "armed on the way"}; !slices.Equal(ran, want) || len(rung) != 1 || c.Now() != 1029 {
		t.Errorf("ran %q, rung %d, now %v", ran, len(rung), c.Now())
	}
	c.Advance(1)
	if len(ran) != 3 || ran[2] != "late" {
		t.Errorf("ran %q", ran)
	}
}

// Present times must come through both conversions unharmed: a deadline a microsecond early would bring one more try.
func TestConversion(t *testing.T) {
	for us := int64(1_764_576_000_000_000); us < 1_764_576_000_001_000; us++ {
		if got := Micros(Millis(us)); got != us {
			t.Fatalf("%d comes back as %d", us, got)
		}
	}
}
