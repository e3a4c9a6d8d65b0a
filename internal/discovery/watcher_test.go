package discovery

import (
	"io"
	"slices"
	"testing"
	"time"

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
	watcher.SetSource(listener.Addr().String(), names)
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
		watcher.SetSource(listener.Addr().String(), names)
		if i == 0 {
			go watcher.Run(t.Context())
		}
		conn := acceptWatchAfter(t, listener, connection.resumesAfter) // the server keeps the old connection open
		io.WriteString(conn, connection.text)
		testwait.Receive(t, applied, "the event to be applied")
	}
}

// startWatcher runs a watcher of the service at addr, which has applied event 41, and returns the channel of the events
// that it applies.
func startWatcher(t *testing.T, addr string) (*Watcher, <-chan router.WatchEvent) {
	t.Helper()
	applied := make(chan router.WatchEvent, 8)
	watcher := &Watcher{LastApplied: 41, Clock: clock.NewFake(0), Log: zerolog.Nop(),
		Apply: func(event router.WatchEvent) { applied <- event }}
	watcher.SetSource(addr, names)
	go watcher.Run(t.Context())
	return watcher, applied
}

// Guards against a service that is slow and never followed (review case 10): a frame in pieces, with pauses well below
// silenceTimeout, may take longer than that. Asked anew, the service would send it as slowly from its start.
func TestSlowFrameIsRead(t *testing.T) {
	t.Parallel()
	listener := testwait.Listen(t)
	_, applied := startWatcher(t, listener.Addr().String())
	conn := acceptWatchAfter(t, listener, 41)
	const pieces = 11
	event := appendFrame(nil, 42, kindUpdate, []byte(record))
	for i := range pieces {
		conn.Write(event[i*len(event)/pieces : (i+1)*len(event)/pieces])
		time.Sleep(clock.Duration(1.2 * silenceTimeout / pieces))
	}
	testwait.Receive(t, applied, "the event to be applied")
	conn.Write(appendFrame(nil, 43, kindUpdate, []byte(record)))
	testwait.Receive(t, applied, "the next event on the same connection")
}

// Guards against events that can't be read any more (review case 8): the settings get a zone, and the service lists a
// server there. The watcher must ask again after the last event that it applied, with the new names.
func TestChangedNamesApplyToTheStream(t *testing.T) {
	listener := testwait.Listen(t)
	watcher, applied := startWatcher(t, listener.Addr().String())
	acceptWatchAfter(t, listener, 41)
	longer := Names{Zones: append(slices.Clone(names.Zones), "west"), Kinds: names.Kinds}
	watcher.SetSource(listener.Addr().String(), longer)
	conn := acceptWatchAfter(t, listener, 41)
	inNewZone := []byte(record)
	inNewZone[11] = byte(len(names.Zones))
	conn.Write(appendFrame(nil, 42, kindUpdate, inNewZone))
	event := testwait.Receive(t, applied, "the event to be applied")
	if len(event.Servers) != 1 || event.Servers[0].Zone != "west" {
		t.Errorf("event %+v, want a server in the new zone", event)
	}
}
