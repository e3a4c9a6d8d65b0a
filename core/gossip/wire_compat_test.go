package gossip

import (
	"bytes"
	"reflect"
	"testing"

	"spantack/internal/testfixture"
)

// wireFixture holds recorded messages, one per line, as encoded by an earlier version (commit e67ffc3). Routers of that
// version must be able to parse the datagrams of later versions, so these lines must not be changed to match the code.
const wireFixture = "testdata/wire_compat.txt"

func TestDatagramEncodingIsUnchanged(t *testing.T) {
	recorded := testfixture.HexLines(t, wireFixture)
	maxServers := make([]uint32, MaxServersPerDatagram)
	for i := range maxServers {
		maxServers[i] = 0x0a0b0000 + uint32(i)
	}
	cases := map[string]Message{
		"one server": {Rank: 0x0102, Site: 0x0304, Incarnation: 0x05060708, Sequence: 0x090a0b0c,
			Overloaded: []uint32{0x00c41f7a}},
		"most servers": {Rank: 65534, Site: 7, Incarnation: 1<<32 - 1, Sequence: 1, Overloaded: maxServers},
	}
	if len(recorded) != len(cases) {
		t.Errorf("%d fixtures, %d cases", len(recorded), len(cases))
	}
	for name, want := range cases {
		t.Run(name, func(t *testing.T) {
			if got := want.Append(nil); !bytes.Equal(got, recorded[name]) {
				t.Errorf("encoded %x, fixture %x", got, recorded[name])
			}
			var got Message
			if err := got.Parse(recorded[name]); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("parsed %+v (%v), want %+v", got, err, want)
			}
		})
	}
}

func TestServerIDEncodingIsUnchanged(t *testing.T) {
	if n, ok := ParseServerID("s-00c41f7a"); !ok || n != 0x00c41f7a || formatServerID(n) != "s-00c41f7a" {
		t.Errorf("%#x, %v, %q", n, ok, formatServerID(n))
	}
}
