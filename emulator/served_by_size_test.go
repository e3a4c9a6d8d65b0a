package emulator

import "testing"

// Which operations are served is told by size: all, without the largest, without the next ones, and of so few that a
// quarter are the largest.
func TestServedRatiosBySize(t *testing.T) {
	for name, c := range map[string]struct {
		operations                 int
		unservedFrom, unservedTo   int // by size, the largest first
		wantLargest, wantNextRatio float64
	}{
		"all":                     {1000, 0, 0, 1, 1},
		"not the largest":         {1000, 0, 50, 0.5 / 0.95, 1 / 0.95},
		"not the next":            {1000, 100, 200, 1 / 0.9, 0.5 / 0.9},
		"of few, not the largest": {100, 0, 5, 0.8 / 0.95, 1 / 0.95},
		"none":                    {100, 0, 100, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var operations []endedOperation
			for i := range c.operations {
				place := (i*7 + 3) % c.operations // in no order
				operations = append(operations, endedOperation{
					sizeKB: float64(c.operations - place),
					served: place < c.unservedFrom || place >= c.unservedTo,
				})
			}
			largest, next := servedRatiosBySize(operations)
			if !isNear(largest, c.wantLargest) || !isNear(next, c.wantNextRatio) {
				t.Errorf("%.3f and %.3f, want %.3f and %.3f", largest, next, c.wantLargest, c.wantNextRatio)
			}
		})
	}
}

func isNear(a, b float64) bool { return a-b < 1e-9 && b-a < 1e-9 }
