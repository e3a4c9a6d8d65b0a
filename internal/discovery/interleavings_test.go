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

// acceptWatch accepts a watcher's connection, which must resume after event 41.
func acceptWatch(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	return acceptWatchAfter(t, listener, 41)
}

// acceptWatchAfter accepts a watcher's connection, which must resume after event last.
func acceptWatchAfter(t *testing.T, listener net.Listener, last uint64) net.Conn {
	t.Helper()
	return testwait.AcceptHello(t, listener, string(binary.BigEndian.AppendUint64(nil, last)), "a watcher")
}

// A connection is silent if its stream stops before or within a frame, or sends bytes too slowly. An update on the next
// connection must be applied within 4 s after the silence began, even by the router with the last retry slot of a fleet
// of 300. Routers must comply with the update from then on. If the next connection is silent too, the limit is 7 s
// after the first silence began. From then on, routers must comply with every update.
func TestSilentStreamIsReplacedInTime(t *testing.T) {
	event := appendFrame(nil, 42, kindUpdate, []byte(record))
	const (
		slowly = "one byte at a time"
		twice  = "before the first frame on two connections"
	)
	for name, partialFrame := range map[string][]byte{
		"before the first frame": nil,
		"in the length":          event[:2],
		"in the number":          event[:9],
		"in the payload":         event[:len(event)-1],
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
			watcher.SetSource(listener.Addr().String(), names)
			go watcher.Run(t.Context())
			first := acceptWatch(t, listener)
			silence := testwait.StartStopwatch()
			if name == slowly {
				go writeSlowly(first, partialFrame)
			} else {
				first.Write(partialFrame)
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

// writeSlowly writes one byte at a time, at intervals well below silenceTimeout, until all bytes are written or a write
// fails.
func writeSlowly(conn net.Conn, text []byte) {
	for _, b := range text {
		if _, err := conn.Write([]byte{b}); err != nil {
			return
		}
		time.Sleep(800 * time.Millisecond)
	}
}

// hookWriter is a log writer that calls hook at the first line. The watcher writes that line before it waits for a
// retry.
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

// If the address changes twice just before a watcher waits for a retry, the watcher must connect to the last address
// within 2 s, and not to the one before it.
func TestTwoAddressChangesBeforeRetry(t *testing.T) {
	old, skipped, last := testwait.Listen(t), testwait.Listen(t), testwait.Listen(t)
	watcher := &Watcher{
		Names:         names,
		LastApplied:   41,
		Apply:         func(router.WatchEvent) {},
		RetrySchedule: backoff.Schedule{Rank: 7, FleetSize: 300},
		Clock:         &clock.Clock{},
	}
	watcher.Log = zerolog.New(&hookWriter{hook: func() {
		watcher.SetSource(skipped.Addr().String(), names)
		watcher.SetSource(last.Addr().String(), names)
	}})
	watcher.SetSource(old.Addr().String(), names)
	go watcher.Run(t.Context())
	acceptWatch(t, old).Close()
	lost := testwait.StartStopwatch()
	acceptWatch(t, last)
	if took := lost.Elapsed(); took > 2*time.Second {
		t.Errorf("connected to the new address after %v", took)
	}
	skipped.SetDeadline(time.Now())
	if _, err := skipped.Accept(); err == nil {
		t.Error("watcher connected to the address that was replaced immediately")
	}
}

// If the address changes while a watcher dials an address without a listener, it must connect to the new address.
func TestAddressChangeWhileDialing(t *testing.T) {
	last := testwait.Listen(t)
	watcher := &Watcher{
		Names:       names,
		LastApplied: 41,
		Apply:       func(router.WatchEvent) {},
		Clock:       &clock.Clock{},
		Log:         zerolog.Nop(),
	}
	watcher.SetSource(loopback.FreeAddress(), names)
	go watcher.Run(t.Context())
	watcher.SetSource(last.Addr().String(), names)
	acceptWatch(t, last)
}
