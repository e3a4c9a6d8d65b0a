package hierarchy

import (
	"fmt"
	"testing"
)

// Guards against loops that are not detected while the fill is outstanding, and against requests that count as loops
// after the fill has ended or expired.
func TestLoopDetectorDetectsOnlyOutstandingFills(t *testing.T) {
	d := LoopDetector{RetentionMillis: 1000, MaxOutstanding: 3}
	d.FillSent(5000, "south", "x")
	if !d.Detect(5500, "south", "x") || d.Detect(5500, "north", "x") || d.Detect(5500, "south", "y") {
		t.Error("must detect the outstanding fill and no other")
	}
	d.FillEnded("south", "x")
	if d.Detect(5600, "south", "x") || d.LoopsDetected != 1 {
		t.Error("detected after the end of the fill")
	}
	for i := range 5 {
		d.FillSent(6000, "south", fmt.Sprint(i))
	}
	if d.Untracked != 2 || !d.Detect(6500, "south", "2") || d.Detect(6500, "south", "4") {
		t.Errorf("%d fills untracked, want 2; must detect the recorded fill 2, not the untracked fill 4", d.Untracked)
	}
	if d.Detect(7000, "south", "1") || len(d.outstanding) != 0 {
		t.Errorf("%d fills outstanding after expiry", len(d.outstanding))
	}
}
