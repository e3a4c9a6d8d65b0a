package emulator

import "testing"

// Who is turned away is told by size: nobody, the largest, the next, and so few that a quarter is the largest part.
func TestServedRatiosBySize(t *testing.T) {
	for name, c := range map[string]struct {
		wishes        int
		lostFrom      int // of the wishes by size, the largest first
		lostTo        int
		largest, next float64
	}{
		"nobody":             {1000, 0, 0, 1, 1},
		"the largest":        {1000, 0, 50, 0.5 / 0.95, 1 / 0.95},
		"the next":           {1000, 100, 200, 1 / 0.9, 0.5 / 0.9},
		"the largest of few": {100, 0, 5, 0.8 / 0.95, 1 / 0.95},
		"all":                {100, 0, 100, 1, 1},
	} {
		var list []endedOperation
		for i := range c.wishes {
			at := (i*7 + 3) % c.wishes // in no order
			list = append(list, endedOperation{float64(c.wishes - at), at < c.lostFrom || at >= c.lostTo})
		}
		if largest, next := servedRatiosBySize(list); !near(largest, c.largest) || !near(next, c.next) {
			t.Errorf("%s: %.3f and %.3f, want %.3f and %.3f", name, largest, next, c.largest, c.next)
		}
	}
}

func near(a, b float64) bool { return a-b < 1e-9 && b-a < 1e-9 }
