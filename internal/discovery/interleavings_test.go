package discovery

import (
	"encoding/binary"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"spantack/core/backoff"
	"spantack/internal/clock"
	"spantack/internal/loopback"
	"spantack/internal/router"
	"spantack/internal/testwait"
)

// acceptWatch accepts a connection of a watcher that starts with LastApplied 41 and has applied nothing since.
func acceptWatch(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	return acceptWatchAfter(t, listener, 41)
}

// acceptWatchAfter accepts a watcher's connection, which must resume after a given event.
func acceptWatchAfter(t *testing.T, listener net.Listener, last uint64) net.Conn {
	t.Helper()
	return testwait.AcceptHello(t, listener, string(binary.BigEndian.AppendUint64(nil, last)), "a watcher")
}

// A watch falls silent at each point, or sends too little too slowly, while the router's retry has the last slot of a
// fleet of hundreds: an update on the next connection is applied within the 4 s after the silence began, when it binds;
// where the next connection is silent too, within the 7 s after which every update binds.
func TestSilence(t *testing.T) {
	event := appendFrame(nil, 42, kindUpdate, []byte(record))
	const (
		slowly = "a byte at a time"
		twice  = "before the first frame, twice"
	)
	for name, part := range map[string][]byte{
		"before the first frame": nil,
		"in a frame's head":      event[:2],
		"in its number":          event[:9],
		"in its payload":         event[:len(event)-1],
		slowly:                   event,
		twice:                    nil,
	} {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			listener := testwait.Listen(t)
			applied := make(chan router.WatchEvent, 8)
			watcher := &Watcher{
				Names:         names,
				LastApplied:   41,
				Apply:         func(event router.WatchEvent) { applied <- event },
				RetrySchedule: backoff.Schedule{Rank: 299, FleetSize: 300},
				Clock:         &clock.Clock{},
				Log:           zerolog.Nop(),
			}
			watcher.SetAddress(listener.Addr().String())
			go watcher.Run(t.Context())
			first := acceptWatch(t, listener)
			silence := testwait.StartStopwatch()
			if name == slowly {
				go writeSlowly(first, part)
			} else {
				first.Write(part)
			}
			limit := 4 * time.Second
			if name == twice {
				acceptWatch(t, listener)
				limit = 7 * time.Second
			}
			acceptWatch(t, listener).Write(event)
			testwait.Receive(t, applied, "the event to be applied")
			if took := silence.Elapsed(); took > limit {
				t.Errorf("applied %v after the silence began", took)
			}
		})
	}
}

// writeSlowly writes a byte at a time, each well within silenceTimeout, until all are written or the connection ends.
func writeSlowly(conn net.Conn, text []byte) {
	for _, b := range text {
		if _, err := conn.Write([]byte{b}); err != nil {
			return
		}
		time.Sleep(800 * time.Millisecond)
	}
}

// hookWriter is a log that calls a function at its first line: the watcher is about to wait for its retry then.
type hookWriter struct {
	hook   func()
	called bool
}

func (h *hookWriter) Write(line []byte) (int, error) {
	if !h.called {
		h.called = true
		h.hook()
	}
	return len(line), nil
}

// The address changes twice in a row just as a watcher begins to wait for a retry: it connects to the last one.
func TestAddressChangesTwiceBeforeRetry(t *testing.T) {
	old, skipped, last := testwait.Listen(t), testwait.Listen(t), testwait.Listen(t)
	watcher := &Watcher{
		Names:         names,
		LastApplied:   41,
		Apply:         func(router.WatchEvent) {},
		RetrySchedule: backoff.Schedule{Rank: 7, FleetSize: 300},
		Clock:         &clock.Clock{},
	}
	watcher.Log = zerolog.New(&hookWriter{hook: func() {
		watcher.SetAddress(skipped.Addr().String())
		watcher.SetAddress(last.Addr().String())
	}})
	watcher.SetAddress(old.Addr().String())
	go watcher.Run(t.Context())
	acceptWatch(t, old).Close()
	lost := testwait.StartStopwatch()
	acceptWatch(t, last)
	if took := lost.Elapsed(); took > 2*time.Second {
		t.Errorf("%v until it connected to the new address", took)
	}
	skipped.SetDeadline(time.Now())
	if _, err := skipped.Accept(); err == nil {
		t.Error("it connected to the address that was replaced at once")
	}
}

// The address changes while a watcher still dials the old one, where nobody listens any longer.
func TestAddressChangesWhileDialling(t *testing.T) {
	last := testwait.Listen(t)
	watcher := &Watcher{
		Names:       names,
		LastApplied: 41,
		Apply:       func(router.WatchEvent) {},
		Clock:       &clock.Clock{},
		Log:         zerolog.Nop(),
	}
	watcher.SetAddress(loopback.FreeAddress())
	go watcher.Run(t.Context())
	watcher.SetAddress(last.Addr().String())
	acceptWatch(t, last)
}
