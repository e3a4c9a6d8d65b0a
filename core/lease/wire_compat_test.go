package lease

import "testing"

// This package writes no bytes: core/fleet carries its messages, and its fixtures hold them. What this package adds to
// the wire is the units of the numbers, the number of each kind and the rank that stands for nobody; routers of commit
// e67ffc3 hold these.
func TestWireCompat(t *testing.T) {
	for name, c := range map[string]struct{ got, want any }{
		"request":            {Request, Kind(1)},
		"grant":              {Grant, Kind(2)},
		"vote":               {Vote, Kind(3)},
		"vote ack":           {VoteAck, Kind(4)},
		"end of the kinds":   {kindEnd, Kind(5)},
		"nobody":             {Nobody, -1},
		"unit of amounts":    {AmountUnit, 1.0 / 1024},
		"unit of terms (us)": {TermUnit, 1000},
	} {
		if c.got != c.want {
			t.Errorf("%s: %v, want %v", name, c.got, c.want)
		}
	}
}
