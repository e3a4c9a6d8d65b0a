package discovery

import (
	"io"
	"testing"

	"github.com/rs/zerolog"

	"spantack/internal/clock"
	"spantack/internal/router"
	"spantack/internal/testwait"
)

// A lost or malformed stream is reopened after the last event applied, and no event is applied twice.
func TestReconnect(t *testing.T) {
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
		t.Errorf("first %+v", first)
	}
	if event := testwait.Receive(t, applied, "the second event"); event.Purge == nil || event.Purge.Group != 17 {
		t.Errorf("second %+v", event)
	}
	if len(applied) != 0 {
		t.Errorf("%d events more", len(applied))
	}
}

// After a change of the address the watch resumes there at once, after the last event that was received in full; the
// event of which the old connection had brought half is requested again.
func TestAddressChanges(t *testing.T) {
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
		conn := acceptWatchAfter(t, listener, connection.resumesAfter) // the old connection stays open meanwhile
		io.WriteString(conn, connection.text)
		testwait.Receive(t, applied, "the event to be applied")
	}
}
