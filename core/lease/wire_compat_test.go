package lease

import "testing"

// Guards against values that routers of commit e67ffc3 do not understand. The package core/fleet encodes the messages,
// and its fixtures have recorded messages. This package only defines the units of amounts and terms, the number of each
// message kind, and the rank that refers to no router.
func TestWireCompat(t *testing.T) {
	for name, c := range map[string]struct{ got, want any }{
		"request":            {KindRequest, MessageKind(1)},
		"grant":              {KindGrant, MessageKind(2)},
		"vote":               {KindVote, MessageKind(3)},
		"vote ack":           {KindVoteAck, MessageKind(4)},
		"end of the kinds":   {kindEnd, MessageKind(5)},
		"no rank":            {NoRank, -1},
		"unit of amounts":    {AmountUnit, 1.0 / 1024},
		"unit of terms (us)": {TermUnit, 1000},
	} {
		if c.got != c.want {
			t.Errorf("%s: %v, want %v", name, c.got, c.want)
		}
	}
}
