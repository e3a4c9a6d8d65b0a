package discovery

import (
	"bytes"
	"io"
	"os"
	"reflect"
	"testing"

	"github.com/rs/zerolog"

	"spantack/internal/clock"
	"spantack/internal/router"
	"spantack/internal/testfixture"
	"spantack/internal/testwait"
)

// wireFixture holds one recorded message per line, in the format that the discovery service uses: frames that it sends,
// and the message that a watcher sends. The lines must not be changed to match the program.
const wireFixture = "testdata/wire_compat.txt"

// watchLine is the name of the line with the message that a watcher sends.
const watchLine = "watch after event 0102030405060708"

// Recorded frames of each kind must be parsed to the recorded values.
func TestFrameWireCompat(t *testing.T) {
	healthy := router.Server{ID: "s-00c41f7a", Addr: "10.1.0.9:5050", Zone: "central", Kind: "parent", Cell: 0x0203,
		Status: "healthy", Weight: 1.5, StartedAt: 0x19ad84b9000}
	cordoned := router.Server{ID: "s-ffffffff", Addr: "192.168.254.1:65535", Zone: "east", Kind: "std", Cell: 65535,
		Status: "cordoned", Weight: 4294967.295, StartedAt: 1 << 53}
	deregistered := router.Server{ID: "s-00000001", Addr: "127.0.0.1:1", Zone: "east", Kind: "parent",
		Status: "deregistered"}
	cases := map[string]frame{
		"heartbeat": {number: 0x0102030405060708, kind: 0},
		"snapshot of each status": {number: 2, kind: 1,
			event: router.WatchEvent{IsSnapshot: true, Servers: []router.Server{healthy, cordoned, deregistered}}},
		"empty snapshot": {number: 3, kind: 1, event: router.WatchEvent{IsSnapshot: true}},
		"update":         {number: 4, kind: 2, event: router.WatchEvent{Servers: []router.Server{cordoned}}},
		"purge of an object": {number: 5, kind: 3,
			event: router.WatchEvent{Purge: &router.Purge{Object: "7f3a9c21e0b4d655", Before: 1764576000123}}},
		"purge of a group": {number: 6, kind: 4,
			event: router.WatchEvent{Purge: &router.Purge{Group: 0x0111, Before: 1764576000480}}},
	}
	recorded := testfixture.HexLines(t, wireFixture)
	if len(recorded) != len(cases)+1 { // the fixture has one more line, watchLine
		t.Errorf("%d recorded lines, want %d", len(recorded), len(cases)+1)
	}
	for name, want := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := readFrame(bytes.NewReader(recorded[name]), names)
			if err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("parsed %+v (%v), want %+v", got, err, want)
			}
		})
	}
}

// The watcher must send the number of the last applied event, in the recorded bytes.
func TestWatchWireCompat(t *testing.T) {
	want := testfixture.HexLines(t, wireFixture)[watchLine]
	listener := testwait.Listen(t)
	watcher := &Watcher{Names: names, LastApplied: 0x0102030405060708, Clock: clock.NewFake(0), Log: zerolog.Nop(),
		Apply: func(router.WatchEvent) {}}
	watcher.SetSource(listener.Addr().String(), names)
	go watcher.Run(t.Context())
	conn := testwait.Accept(t, listener, "the watch")
	got := make([]byte, len(want))
	if _, err := io.ReadFull(conn, got); err != nil || !bytes.Equal(got, want) || len(want) != 8 {
		t.Errorf("sent %x (%v), want %x", got, err, want)
	}
}

// Every key of the document `known` in the settings must be parsed to its field.
func TestInitialEventsFormatCompat(t *testing.T) {
	text, err := os.ReadFile("testdata/known.json")
	if err != nil {
		t.Fatal(err)
	}
	want := []router.WatchEvent{
		{IsSnapshot: true, Servers: []router.Server{
			{ID: "s-00c41f7a", Addr: "10.1.0.9:5050", Zone: "central", Kind: "parent", Cell: 515, Status: "healthy",
				Weight: 1.5, StartedAt: 1764576000001},
			{ID: "s-00000002", Addr: "10.1.0.10:5050", Zone: "east", Kind: "std", Cell: 2, Status: "cordoned",
				Weight: 4.25, StartedAt: 1764576000002},
			{ID: "s-00000003", Addr: "10.1.0.11:5050", Zone: "east", Kind: "std", Cell: 3, Status: "deregistered",
				Weight: 0.5, StartedAt: 1764576000003}}},
		{},
		{Purge: &router.Purge{Object: "7f3a9c21e0b4d655", Before: 1764576000123}},
		{Purge: &router.Purge{Group: 17, Before: 1764576000480}},
	}
	last, got, err := ParseInitialEvents(text, names)
	if err != nil || last != 44 || !reflect.DeepEqual(got, want) {
		t.Errorf("last %d, %+v (%v), want %+v", last, got, err, want)
	}
}
