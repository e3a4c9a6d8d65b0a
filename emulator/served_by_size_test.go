package emulator

import "testing"

// Guards against wrong served ratios by size. The cases are: all operations served, some of the largest or of the next
// largest unserved, none served, and so few operations that a quarter of them count as the largest.
func TestServedRatiosBySize(t *testing.T) {
	for name, c := range map[string]struct {
		operations                 int
		unservedFrom, unservedTo   int // range of ranks by size, the largest first
		wantLargest, wantNextRatio float64
	}{
		"all served":                                   {1000, 0, 0, 1, 1},
		"some of the largest unserved":                 {1000, 0, 50, 0.5 / 0.95, 1 / 0.95},
		"some of the next largest unserved":            {1000, 100, 200, 1 / 0.9, 0.5 / 0.9},
		"few operations, some of the largest unserved": {100, 0, 5, 0.8 / 0.95, 1 / 0.95},
		"none served":                                  {100, 0, 100, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var operations []endedOperation
			for i := range c.operations {
				rank := (i*7 + 3) % c.operations // a permutation, so that sizes are not sorted
				operations = append(operations, endedOperation{
					sizeKB: float64(c.operations - rank),
					served: rank < c.unservedFrom || rank >= c.unservedTo,
				})
			}
			largest, next := servedRatiosBySize(operations)
			if !approxEqual(largest, c.wantLargest) || !approxEqual(next, c.wantNextRatio) {
				t.Errorf("%.3f and %.3f, want %.3f and %.3f", largest, next, c.wantLargest, c.wantNextRatio)
			}
		})
	}
}

func approxEqual(a, b float64) bool { return a-b < 1e-9 && b-a < 1e-9 }
