package hierarchy

import (
	"fmt"
	"testing"
)

// A fill that comes back is detected while it is outstanding; fills that have ended or are too old are forgotten.
func TestLoopDetector(t *testing.T) {
	d := LoopDetector{RetentionMillis: 1000, MaxOutstanding: 3}
	d.FillSent(5000, "south", "x")
	if !d.Detect(5500, "south", "x") || d.Detect(5500, "north", "x") || d.Detect(5500, "south", "y") {
		t.Error("only the fill sent must be detected")
	}
	d.FillEnded("south", "x")
	if d.Detect(5600, "south", "x") || d.LoopsDetected != 1 {
		t.Error("detected after its end")
	}
	for i := range 5 {
		d.FillSent(6000, "south", fmt.Sprint(i))
	}
	if d.Untracked != 2 || !d.Detect(6500, "south", "2") || d.Detect(6500, "south", "4") {
		t.Errorf("%d untracked", d.Untracked)
	}
	if d.Detect(7000, "south", "1") || len(d.outstanding) != 0 {
		t.Errorf("%d are outstanding", len(d.outstanding))
	}
}
