package discovery

import (
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

// acceptWatch accepts a watcher's connection and reads the event number that it resumes after.
func acceptWatch(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	return acceptWatchAfter(t, l, "\x00\x00\x00\x00\x00\x00\x00\x29")
}

// acceptWatchAfter accepts a watcher's connection, which must resume after a given event number.
func acceptWatchAfter(t *testing.T, l net.Listener, want string) net.Conn {
	t.Helper()
	return testwait.AcceptHello(t, l, want, "a watcher")
}

// A watch falls silent at each point, or sends too little too slowly, with the last router of a fleet of hundreds waiting for its slot
// besides: an update on the next connection is in force within the 4 s after a stop at which it binds; where the next is silent too, within
// the 7 s after which every update binds.
func TestSilence(t *testing.T) {
	event := appendFrame(nil, 42, kindUpdate, []byte(record))
	for name, part := range map[string][]byte{"before the first frame": nil, "in a frame's head": event[:2], "in its number": event[:9],
		"in its payload": event[:len(event)-1], "a byte at a time": event, "before the first frame, twice": nil} {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			l := testwait.Listen(t)
			applied := make(chan router.WatchEvent, 8)
			w := &Watcher{Names: names, LastApplied: 41, Clock: &clock.Clock{}, Log: zerolog.Nop(), RetrySchedule: backoff.Schedule{Rank: 299, FleetSize: 300},
				Apply: func(n router.WatchEvent) { applied <- n }}
			w.SetAddress(l.Addr().String())
			go w.Run(t.Context())
			first := acceptWatch(t, l)
			silent := testwait.StartStopwatch()
			if name == "a byte at a time" {
				go func() {
					for _, b := range part {
						if _, err := first.Write([]byte{b}); err != nil {
							return
						}
						time.Sleep(800 * time.Millisecond) // always something new within the time for silence
					}
				}()
			} else {
				first.Write(part)
			}
			limit := 4 * time.Second
			if strings.HasSuffix(name, "twice") {
				acceptWatch(t, l)
				limit = 7 * time.Second
			}
			acceptWatch(t, l).Write(event)
			testwait.Receive(t, applied, "the event to be applied")
			if took := silent.Elapsed(); took > limit {
				t.Errorf("in force %v after the stop", took)
			}
		})
	}
}

// hookWriter is a log that calls a function at its first line: the watcher is about to wait for its retry.
type hookWriter struct {
	do   func()
	done bool
}

func (h *hookWriter) Write(line []byte) (int, error) {
	if !h.done {
		h.done = true
		h.do()
	}
	return len(line), nil
}

// The address changes twice in a row just as a watcher begins to wait for a retry: it connects to the last one.
func TestAddressChangesTwiceBeforeRetry(t *testing.T) {
	old, skipped, last := testwait.Listen(t), testwait.Listen(t), testwait.Listen(t)
	w := &Watcher{Names: names, LastApplied: 41, Clock: &clock.Clock{}, RetrySchedule: backoff.Schedule{Rank: 7, FleetSize: 300},
		Apply: func(router.WatchEvent) {}}
	w.Log = zerolog.New(&hookWriter{do: func() {
		w.SetAddress(skipped.Addr().String())
		w.SetAddress(last.Addr().String())
	}})
	w.SetAddress(old.Addr().String())
	go w.Run(t.Context())
	acceptWatch(t, old).Close()
	began := testwait.StartStopwatch()
	acceptWatch(t, last)
	if took := began.Elapsed(); took > 2*time.Second {
		t.Errorf("%v until it asked at the new address", took)
	}
	skipped.SetDeadline(time.Now())
	if _, err := skipped.Accept(); err == nil {
		t.Error("it went to the address that was left at once")
	}
}

// The address changes while a watcher still dials the old one, where nobody listens any more.
func TestAddressChangesWhileDialling(t *testing.T) {
	last := testwait.Listen(t)
	w := &Watcher{Names: names, LastApplied: 41, Clock: &clock.Clock{}, Log: zerolog.Nop(), Apply: func(router.WatchEvent) {}}
	w.SetAddress(loopback.FreeAddress())
	go w.Run(t.Context())
	w.SetAddress(last.Addr().String())
	acceptWatch(t, last)
}
