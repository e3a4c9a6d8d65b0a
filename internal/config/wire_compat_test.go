package config

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"reflect"
	"testing"

	"spantack/internal/router"
)

// Guards against a release that rejects a configuration file of the previous release or reads other values from it. The
// settings in the file are those of the fixture of package routing, whose test checks each value. The file also has the
// other fields that the router reads.
func TestStoredConfigIsStillAccepted(t *testing.T) {
	text, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("../../routing/testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	c, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := json.Marshal(c.Settings); err != nil || !bytes.Equal(got, want) {
		t.Errorf("settings: read as %s, %v, want %s", got, err, want)
	}
	if c.DiscoveryAddr != "127.2.0.1:4222" || c.AdminAddr != "127.2.0.1:9100" || uint64(c.Seed) != 0x8c1f30d27a5be964 ||
		c.MemoryMB != 193 || c.MaxSockets != 1025 {
		t.Errorf("read as %+v", c)
	}
	if c.DialTimeout != 0.05 || c.IdleTimeout != 25000.001 || c.MaxStreams != 33 || c.MaxSendDelay != 0.024 ||
		c.MaxDeadline != 0.012 {
		t.Errorf("transport settings: read as %+v", c)
	}
	fleet := Fleet{
		GossipEnabled: true,
		Rank:          1,
		ListenAddr:    "127.2.0.3:7001",
		BroadcastAddr: netip.MustParseAddrPort("127.2.0.9:7004"),
		Members: []netip.AddrPort{
			netip.MustParseAddrPort("127.2.0.2:7002"),
			netip.MustParseAddrPort("127.2.0.3:7003"),
		},
	}
	if !reflect.DeepEqual(c.Fleet, fleet) {
		t.Errorf("fleet: read as %+v, want %+v", c.Fleet, fleet)
	}
	events := []router.WatchEvent{
		{IsSnapshot: true, Servers: []router.Server{{ID: "s-00c41f7a", Addr: "127.2.1.1:80", Zone: "s69", Kind: "s48",
			Cell: 5, Status: "cordoned", Weight: 4.5, StartedAt: 1764576000001.5}}},
		{Purge: &router.Purge{Object: "00ab01", Before: 1764576000002.5}},
		{Purge: &router.Purge{Group: 77, Before: 1764576000003.5}},
	}
	if c.LastEventID != 12 || !reflect.DeepEqual(c.InitialEvents, events) {
		t.Errorf("known: read as %d, %+v, want 12, %+v", c.LastEventID, c.InitialEvents, events)
	}
}
