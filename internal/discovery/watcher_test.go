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
	l := testwait.Listen(t)
	applied := make(chan router.WatchEvent, 8)
	w := &Watcher{Names: names, LastApplied: 41, Clock: clock.NewFake(0), Log: zerolog.Nop(),
		Apply: func(n router.WatchEvent) { applied <- n }}
	w.SetAddress(l.Addr().String())
	go w.Run(t.Context())
	purge := []byte("\x00\x11\x00\x00\x00\x00\x00\x00\x03\xe8")
	for _, c := range []struct{ asks, sends string }{
		{"\x00\x00\x00\x00\x00\x00\x00\x29", string(appendFrame(nil, 42, kindUpdate, []byte(record))) + "\xff\xff\xff\xff"},
		{"\x00\x00\x00\x00\x00\x00\x00\x2a", string(appendFrame(appendFrame(appendFrame(nil, 42, kindUpdate, []byte(record)),
			42, kindHeartbeat, nil), 43, kindPurgeGroup, purge))},
		{"\x00\x00\x00\x00\x00\x00\x00\x2b", ""},
	} {
		nc := acceptWatchAfter(t, l, c.asks)
		io.WriteString(nc, c.sends)
		nc.Close()
	}
	if n := testwait.Receive(t, applied, "the first event"); len(n.Servers) != 1 || n.Servers[0].Status != "cordoned" {
		t.Errorf("first %+v", n)
	}
	if n := testwait.Receive(t, applied, "the second event"); n.Purge == nil || n.Purge.Group != 17 {
		t.Errorf("second %+v", n)
	}
	if len(applied) != 0 {
		t.Errorf("%d events more", len(applied))
	}
}

// After a change of the address the watch resumes there at once, after the last event that came whole; the half event that the old
// connection had brought is requested again.
func TestAddressChanges(t *testing.T) {
	applied := make(chan router.WatchEvent, 8)
	w := &Watcher{Names: names, LastApplied: 41, Clock: clock.NewFake(0), Log: zerolog.Nop(),
		Apply: func(n router.WatchEvent) { applied <- n }}
	event := appendFrame(nil, 42, kindUpdate, []byte(record))
	next := appendFrame(nil, 43, kindUpdate, []byte(record))
	for i, c := range []struct{ asks, sends string }{
		{"\x00\x00\x00\x00\x00\x00\x00\x29", string(event) + string(next[:20])},
		{"\x00\x00\x00\x00\x00\x00\x00\x2a", string(next)},
	} {
		l := testwait.Listen(t)
		w.SetAddress(l.Addr().String())
		if i == 0 {
			go w.Run(t.Context())
		}
		nc := acceptWatchAfter(t, l, c.asks) // the old connection stays open meanwhile
		io.WriteString(nc, c.sends)
		testwait.Receive(t, applied, "the event to be applied")
	}
}
