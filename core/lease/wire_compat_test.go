package lease

import "testing"

// This package writes no bytes: core/fleet carries its messages, and its fixtures hold them. What this package adds to
// the wire is the units of the numbers, the number of each kind and the rank that stands for nobody; routers of commit
// e67ffc3 hold these.
func TestWireCompat(t *testing.T) {
	for name, c := range map[string]struct{ got, want any }{
		"request":            {KindRequest, MessageKind(1)},
		"grant":              {KindGrant, MessageKind(2)},
		"vote":               {KindVote, MessageKind(3)},
		"vote ack":           {KindVoteAck, MessageKind(4)},
		"end of the kinds":   {kindEnd, MessageKind(5)},
		"nobody":             {NoRank, -1},
		"unit of amounts":    {AmountUnit, 1.0 / 1024},
		"unit of terms (us)": {TermUnit, 1000},
	} {
		if c.got != c.want {
			t.Errorf("%s: %v, want %v", name, c.got, c.want)
		}
	}
}
