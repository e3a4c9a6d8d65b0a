// Package discovery watches the discovery service, whose address is `board` in the settings. The service sends the
// endpoint list, its changes, and purges as numbered events.
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

// Times in milliseconds. A purge or drain that the service sends while the stream is lost must take effect at the
// latest 2 s after the stream broke, or 4 s after it became silent. A new connection must be open before these limits.
const (
	dialTimeout   = 500
	minStableTime = 1000 // the loss of a connection that lasted at least this long starts a new outage
)

// errSourceChanged is the cause with which SetSource cancels the context of a connection.
var errSourceChanged = errors.New("discovery service address or names changed")

// Watcher keeps a connection to the discovery service open and applies its events in order. Its exported fields must be
// set before Run.
type Watcher struct {
	Names         Names                   // of the first connection; see SetSource
	LastApplied   uint64                  // number of the last applied event; connections resume after it
	Apply         func(router.WatchEvent) // called for each event, one at a time
	RetrySchedule backoff.Schedule        // spreads the retries of the routers of a fleet
	Clock         *clock.Clock
	Log           zerolog.Logger

	mu     sync.Mutex // guards addr, cancel and, from Run on, Names
	addr   string
	cancel context.CancelCauseFunc // ends the connection to addr; nil before the first one

	// Used only by Run.
	failureCount int // lost connections and failed dials
	failureLog   ratelog.Limiter
}

// outage is a period in which no connection lasted for minStableTime. startedAt is in milliseconds of the monotonic
// clock; 0 means that there was no outage.
type outage struct {
	startedAt  float64
	hasRetried bool // the outage's first retry was made
}

// SetSource sets the address of the discovery service and the names to which its records refer, and closes the current
// connection. The watcher resumes at the new address after the last applied event. An event that was only partly received
// is requested again.
func (w *Watcher) SetSource(addr string, names Names) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addr = addr
	w.Names = names
	if w.cancel != nil {
		w.cancel(errSourceChanged)
	}
}

// Run watches the discovery service until ctx ends, and returns nil. It reopens a lost connection and resumes after the
// last applied event.
func (w *Watcher) Run(ctx context.Context) error {
	var current outage
	for ctx.Err() == nil {
		current = w.watchOnce(ctx, current)
	}
	return nil
}

// watchOnce opens one connection, applies its events until it ends, and waits until the schedule allows the next one.
// current is the outage before this connection. watchOnce returns the outage to which the next retry belongs.
func (w *Watcher) watchOnce(ctx context.Context, current outage) outage {
	connCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w.mu.Lock()
	addr := w.addr
	names := w.Names
	w.cancel = cancel
	w.mu.Unlock()

	appliedBefore := w.LastApplied
	startedAt := w.Clock.Monotonic()
	received, err := w.watch(connCtx, addr, names)
	if ctx.Err() == nil && !isSourceChanged(connCtx) {
		w.logFailure(err, addr, w.LastApplied-appliedBefore)
		now := w.Clock.Monotonic()
		if current.startedAt == 0 || received && now-startedAt >= minStableTime {
			current = outage{startedAt: now}
		}
		w.waitForRetry(connCtx, current)
		current.hasRetried = true
	}
	// The source may also have changed during the wait above. All routers of a fleet get the new address at the same
	// time, so each waits for its slot before it dials.
	if isSourceChanged(connCtx) {
		current = outage{startedAt: w.Clock.Monotonic()}
		w.waitForRetry(ctx, current)
		current.hasRetried = true
	}
	return current
}

// isSourceChanged reports whether SetSource canceled the context of a connection.
func isSourceChanged(connCtx context.Context) bool {
	return context.Cause(connCtx) == errSourceChanged
}

// waitForRetry waits until the schedule allows the next retry, or until ctx ends. If ctx is the context of a
// connection, a call of SetSource ends it.
func (w *Watcher) waitForRetry(ctx context.Context, current outage) {
	now := clock.Micros(w.Clock.Monotonic())
	retryAt := w.RetrySchedule.Next(clock.Micros(current.startedAt), now, current.hasRetried)
	wait, cancel := context.WithTimeout(ctx, clock.Duration(clock.Millis(retryAt-now)))
	defer cancel()
	<-wait.Done()
}

// logFailure logs a lost connection or a failed dial. Connections on which no event was applied are logged at most once
// per ratelog.Interval, since a service that is down is dialed often.
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
		Msg("discovery service connection failed")
}

// watch opens one connection and applies its events until it ends. It returns whether any frame was received, and the
// error that ended the connection.
func (w *Watcher) watch(ctx context.Context, addr string, names Names) (received bool, err error) {
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
	guard := &paceGuard{Conn: conn}
	reader := bufio.NewReader(guard)
	for {
		frame, err := guard.nextFrame(reader, names)
		if err != nil {
			return received, fmt.Errorf("read: %w", err)
		}
		if !received {
			w.Log.Info().Str("board", addr).Uint64("last", w.LastApplied).Msg("watching the discovery service")
		}
		received = true
		if frame.kind == kindHeartbeat || frame.number <= w.LastApplied { // the service may send events again
			continue
		}
		w.Apply(frame.event)
		w.LastApplied = frame.number
	}
}
