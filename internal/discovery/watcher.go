package discovery

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/rs/zerolog"

	"spantack/core/backoff"
	"spantack/internal/clock"
	"spantack/internal/router"
)

// Times are milliseconds. A purge or drain binds 2 s after the stream broke and 4 s after it fell silent, whether it was received or not:
// the new connection must be up before that.
const (
	silenceTimeout = 2500 // without a frame; the service sends one each second
	dialTimeout    = 500
	minStableTime  = 1000 // a connection that lasted at least so long counts as a success, and retries start anew when it is lost
	logInterval    = 1000
)

var errAddressChanged = errors.New("the address of the discovery service has changed")

// Watcher keeps a watch open on the discovery service and applies its events in order. Exported fields are set before Run.
type Watcher struct {
	Names         Names
	LastApplied   uint64                  // number of the last event applied; the watch resumes after it
	Apply         func(router.WatchEvent) // called for each event, one at a time
	RetrySchedule backoff.Schedule        // schedule of retries, which spreads the routers of a fleet out
	Clock         *clock.Clock
	Log           zerolog.Logger

	mu     sync.Mutex
	addr   string
	cancel context.CancelCauseFunc // ends the connection to addr; nil: there is none

	failureCount int // connections lost and dials that failed
	loggedAt     float64
}

// SetAddress points the watcher at another discovery service and closes the present connection. The watch resumes there after the last event
// applied; an event of which the old connection brought only a part is requested again.
func (w *Watcher) SetAddress(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.addr = addr; w.cancel != nil {
		w.cancel(errAddressChanged)
	}
}

// Run watches the discovery service until ctx ends. A lost connection is reopened after the last event applied.
func (w *Watcher) Run(ctx context.Context) error {
	lostAt, retried := 0.0, false // when the connection was lost, by the steady clock, and whether a retry followed
	for ctx.Err() == nil {
		before := w.LastApplied
		watching, cancel := context.WithCancelCause(ctx)
		w.mu.Lock()
		addr := w.addr
		w.cancel = cancel
		w.mu.Unlock()
		startedAt := w.Clock.Monotonic()
		received, err := w.watch(watching, addr)
		addressChanged := context.Cause(watching) == errAddressChanged
		if !addressChanged && ctx.Err() == nil {
			w.logFailure(err, addr, w.LastApplied-before)
			now := w.Clock.Monotonic()
			if lostAt == 0 || received && now-startedAt >= minStableTime {
				lostAt, retried = now, false
			}
			w.waitForRetry(watching, lostAt, retried)
			retried = true
		}
		if context.Cause(watching) == errAddressChanged { // every router of the fleet learns of that at once
			lostAt, retried = w.Clock.Monotonic(), false
			w.waitForRetry(ctx, lostAt, retried)
			retried = true
		}
		cancel(nil)
	}
	return nil
}

// waitForRetry waits until the schedule allows the next retry, or until ctx ends, which a change of the address also does.
func (w *Watcher) waitForRetry(ctx context.Context, lostAt float64, retried bool) {
	now := clock.Micros(w.Clock.Monotonic())
	retryAt := w.RetrySchedule.Next(clock.Micros(lostAt), now, retried)
	wait, cancel := context.WithTimeout(ctx, clock.Duration(clock.Millis(retryAt-now)))
	defer cancel()
	<-wait.Done()
}

// logFailure logs a lost connection, and further ones at most once a second, for a service that is down is dialled often.
func (w *Watcher) logFailure(err error, addr string, applied uint64) {
	w.failureCount++
	if now := w.Clock.Now(); applied > 0 || now-w.loggedAt >= logInterval {
		w.loggedAt = now
		w.Log.Warn().Err(err).Str("board", addr).Uint64("last", w.LastApplied).Uint64("applied", applied).Int("lost", w.failureCount).
			Msg("board connection lost")
	}
}

// watch opens one connection and applies its events until it ends; received tells whether any frame came.
func (w *Watcher) watch(ctx context.Context, addr string) (received bool, err error) {
	dialer := net.Dialer{Timeout: clock.Duration(dialTimeout)}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false, fmt.Errorf("dial: %w", err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(clock.Deadline(silenceTimeout))
	if _, err := conn.Write(binary.BigEndian.AppendUint64(nil, w.LastApplied)); err != nil {
		return false, fmt.Errorf("write: %w", err)
	}
	reader := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(clock.Deadline(silenceTimeout)) // also bounds a service that accepts and stays silent, or stops within a frame
		frame, err := readFrame(reader, w.Names)
		if err != nil {
			return received, fmt.Errorf("read: %w", err)
		}
		if !received {
			w.Log.Info().Str("board", addr).Uint64("last", w.LastApplied).Msg("following the board")
		}
		received = true
		if frame.kind == kindHeartbeat || frame.number <= w.LastApplied { // the service may repeat events
			continue
		}
		w.Apply(frame.event)
		w.LastApplied = frame.number
	}
}
