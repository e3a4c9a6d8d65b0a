// Package discovery watches the discovery service (the settings' field `board`), which sends the endpoint list, its
// changes, and purges as numbered events.
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
	"spantack/internal/ratelog"
	"spantack/internal/router"
)

// Times are milliseconds. A purge or drain binds 2 s after the stream broke and 4 s after it fell silent, whether it
// was received or not: the new connection must be up before that.
const (
	silenceTimeout = 2500 // without a frame; the service sends one each second
	dialTimeout    = 500
	minStableTime  = 1000 // a connection that lasted so long counts as a success: its loss begins a new outage
)

// errAddressChanged is the cause with which SetAddress ends a connection.
var errAddressChanged = errors.New("the address of the discovery service has changed")

// Watcher keeps a watch open on the discovery service and applies its events in order. Exported fields are set before
// Run.
type Watcher struct {
	Names         Names
	LastApplied   uint64                  // number of the last event applied; the watch resumes after it
	Apply         func(router.WatchEvent) // called for each event, one at a time
	RetrySchedule backoff.Schedule        // spreads the retries of the routers of a fleet
	Clock         *clock.Clock
	Log           zerolog.Logger

	mu     sync.Mutex // guards addr and cancel
	addr   string
	cancel context.CancelCauseFunc // ends the connection to addr; nil: there is none

	// Used by Run alone.
	failureCount int // connections lost, and dials that failed
	failureLog   ratelog.Limiter
}

// outage is a time without a connection that lasted minStableTime. Times are the clock's monotonic milliseconds.
type outage struct {
	startedAt  float64
	hasRetried bool // a retry followed already
}

// SetAddress points the watcher at another discovery service and closes the present connection. The watch resumes there
// after the last event applied; an event of which the old connection brought only a part is requested again.
func (w *Watcher) SetAddress(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addr = addr
	if w.cancel != nil {
		w.cancel(errAddressChanged)
	}
}

// Run watches the discovery service until ctx ends, and returns nil then. A lost connection is reopened after the last
// event applied.
func (w *Watcher) Run(ctx context.Context) error {
	var current outage
	for ctx.Err() == nil {
		current = w.watchOnce(ctx, current)
	}
	return nil
}

// watchOnce opens one connection, applies its events until it ends, and waits until the schedule allows the next one.
// It takes the outage of the connections before it and returns the one that the next retry belongs to.
func (w *Watcher) watchOnce(ctx context.Context, current outage) outage {
	connCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w.mu.Lock()
	addr := w.addr
	w.cancel = cancel
	w.mu.Unlock()

	appliedBefore := w.LastApplied
	startedAt := w.Clock.Monotonic()
	received, err := w.watch(connCtx, addr)
	if ctx.Err() == nil && !isAddressChanged(connCtx) {
		w.logFailure(err, addr, w.LastApplied-appliedBefore)
		now := w.Clock.Monotonic()
		if current.startedAt == 0 || received && now-startedAt >= minStableTime {
			current = outage{startedAt: now}
		}
		w.waitForRetry(connCtx, current)
		current.hasRetried = true
	}
	if isAddressChanged(connCtx) { // possibly during that wait; every router of the fleet learns of it at once
		current = outage{startedAt: w.Clock.Monotonic()}
		w.waitForRetry(ctx, current)
		current.hasRetried = true
	}
	return current
}

// isAddressChanged reports whether SetAddress ended the context of a connection.
func isAddressChanged(connCtx context.Context) bool {
	return context.Cause(connCtx) == errAddressChanged
}

// waitForRetry waits until the schedule allows the next retry, or until ctx ends, which a change of the address also
// does.
func (w *Watcher) waitForRetry(ctx context.Context, current outage) {
	now := clock.Micros(w.Clock.Monotonic())
	retryAt := w.RetrySchedule.Next(clock.Micros(current.startedAt), now, current.hasRetried)
	wait, cancel := context.WithTimeout(ctx, clock.Duration(clock.Millis(retryAt-now)))
	defer cancel()
	<-wait.Done()
}

// logFailure logs a lost connection. Those that brought no event are logged at most once per ratelog.Interval, since a
// service that is down is dialed often.
func (w *Watcher) logFailure(err error, addr string, applied uint64) {
	w.failureCount++
	now := w.Clock.Now()
	if !w.failureLog.Allow(now) && applied == 0 {
		return
	}
	w.failureLog.Record(now)
	w.Log.Warn().Err(err).
		Str("board", addr).
		Uint64("last", w.LastApplied).
		Uint64("applied", applied).
		Int("lost", w.failureCount).
		Msg("board connection lost")
}

// watch opens one connection and applies its events until it ends. It reports whether any frame was received, and why
// the connection ended.
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
		// This also bounds a service that accepts and stays silent, or stops within a frame.
		conn.SetReadDeadline(clock.Deadline(silenceTimeout))
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
