package discovery

import (
	"io"
	"testing"

	"github.com/rs/zerolog"

	"spantack/internal/clock"
	"spantack/internal/router"
	"spantack/internal/testwait"
)

// After a lost or malformed stream, the watcher must resume after the last applied event and apply no event twice.
func TestReconnectAppliesEventsOnce(t *testing.T) {
	listener := testwait.Listen(t)
	applied := make(chan router.WatchEvent, 8)
	watcher := &Watcher{Names: names, LastApplied: 41, Clock: clock.NewFake(0), Log: zerolog.Nop(),
		Apply: func(event router.WatchEvent) { applied <- event }}
	watcher.SetAddress(listener.Addr().String())
	go watcher.Run(t.Context())
	purge := []byte("\x00\x11\x00\x00\x00\x00\x00\x00\x03\xe8")
	update := appendFrame(nil, 42, kindUpdate, []byte(record))
	malformed := "\xff\xff\xff\xff"
	repeated := appendFrame(appendFrame(update, 42, kindHeartbeat, nil), 43, kindPurgeGroup, purge)
	for _, connection := range []struct {
		resumesAfter uint64
		text         string
	}{
		{41, string(update) + malformed},
		{42, string(repeated)},
		{43, ""},
	} {
		conn := acceptWatchAfter(t, listener, connection.resumesAfter)
		io.WriteString(conn, connection.text)
		conn.Close()
	}
	first := testwait.Receive(t, applied, "the first event")
	if len(first.Servers) != 1 || first.Servers[0].Status != "cordoned" {
		t.Errorf("first event %+v", first)
	}
	if event := testwait.Receive(t, applied, "the second event"); event.Purge == nil || event.Purge.Group != 17 {
		t.Errorf("second event %+v", event)
	}
	if len(applied) != 0 {
		t.Errorf("%d more events applied", len(applied))
	}
}

// After an address change, the watcher must connect to the new address although the old connection is open. It must
// resume after the last complete event, and request a partly received event again.
func TestAddressChangeResumesAfterLastEvent(t *testing.T) {
	applied := make(chan router.WatchEvent, 8)
	watcher := &Watcher{Names: names, LastApplied: 41, Clock: clock.NewFake(0), Log: zerolog.Nop(),
		Apply: func(event router.WatchEvent) { applied <- event }}
	event := appendFrame(nil, 42, kindUpdate, []byte(record))
	next := appendFrame(nil, 43, kindUpdate, []byte(record))
	for i, connection := range []struct {
		resumesAfter uint64
		text         string
	}{
		{41, string(event) + string(next[:20])},
		{42, string(next)},
	} {
		listener := testwait.Listen(t)
		watcher.SetAddress(listener.Addr().String())
		if i == 0 {
			go watcher.Run(t.Context())
		}
		conn := acceptWatchAfter(t, listener, connection.resumesAfter) // the server keeps the old connection open
		io.WriteString(conn, connection.text)
		testwait.Receive(t, applied, "the event to be applied")
	}
}
