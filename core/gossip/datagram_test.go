package gossip

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against datagrams that cannot be parsed, that lose content, or that exceed the platform's maximum size.
func TestDatagramRoundTripWithinMaxSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Message{
			Rank:        rapid.IntRange(0, 65535).Draw(t, "rank"),
			Site:        rapid.IntRange(0, 65535).Draw(t, "site"),
			Incarnation: rapid.Uint32().Draw(t, "incarnation"),
			Sequence:    rapid.Uint32().Draw(t, "sequence"),
			Overloaded:  rapid.SliceOfN(rapid.Uint32(), 1, 200).Draw(t, "servers"),
		}
		datagram := m.Append(nil)
		var parsed Message
		if err := parsed.Parse(datagram); err != nil || len(datagram) > MaxDatagramSize {
			t.Fatalf("%d bytes: %v", len(datagram), err)
		}
		m.Overloaded = m.Overloaded[:min(len(m.Overloaded), MaxServersPerDatagram)]
		isSame := parsed.Rank == m.Rank && parsed.Site == m.Site && parsed.Incarnation == m.Incarnation &&
			parsed.Sequence == m.Sequence && slices.Equal(parsed.Overloaded, m.Overloaded)
		if !isSame {
			t.Fatalf("%+v was parsed as %+v", m, parsed)
		}
	})
}

func FuzzDatagram(f *testing.F) {
	f.Add(overloadReport(5, 5, 3, 10, testServer))
	f.Add(make([]byte, MaxDatagramSize+1))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		var m Message
		if m.Parse(datagram) != nil {
			return
		}
		if encoded := m.Append(nil); !slices.Equal(encoded, datagram) {
			t.Errorf("%x was encoded as %x", datagram, encoded)
		}
	})
}

func TestOnlyValidServerIDsAreParsed(t *testing.T) {
	for id, want := range map[string]uint32{"s-0000002a": 0x2a, "s-00c41f7a": 0xc41f7a, "s-ffffffff": 0xffffffff} {
		if server, ok := ParseServerID(id); !ok || server != want || formatServerID(server) != id {
			t.Errorf("%s: %#x, %v", id, server, ok)
		}
	}
	for _, id := range []string{"", "s-", "s-2a", "s-0000002g", "s-00000002a", "p-0000002a", "0000002a"} {
		if server, ok := ParseServerID(id); ok {
			t.Errorf("invalid ID %q was parsed as %#x", id, server)
		}
	}
}

// Guards against reordered datagrams that are rejected within the window, or accepted twice.
func TestReorderedDatagramsAreAcceptedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var window ReplayWindow
		accepted := map[uint32]bool{}
		greatest := uint32(0)
		for _, sequence := range rapid.SliceOfN(rapid.Uint32Range(1, 200), 1, 300).Draw(t, "sequences") {
			want := !accepted[sequence] && (sequence > greatest || greatest-sequence < 64)
			if got := window.Accept(1, sequence); got != want {
				t.Fatalf("sequence %d after greatest %d: accepted %v", sequence, greatest, got)
			}
			if want {
				accepted[sequence] = true
				greatest = max(greatest, sequence)
			}
		}
	})
}
