package resp

import (
	"math"
	"time"

	"spantack/internal/clock"
	"spantack/internal/router"
)

// pendingAttempt is an attempt that was handed to Send and has no result yet. It implements router.PendingAttempt. Its
// fields are guarded by Pools.mu; times are Unix milliseconds.
type pendingAttempt struct {
	pools    *Pools
	attempt  router.Attempt
	chosenAt float64 // when its server was chosen, which is when it came to Send
	queuedAt float64 // when it came into the queue of its connection

	conn         *conn // nil until a connection takes it
	writeBegun   bool  // the writer has begun on it: only from then on can a response be its own
	fullyWritten bool  // all of it was handed to the socket
	endOffset    int64 // where it ends among the bytes written to its connection; valid once fullyWritten

	ambiguous     bool                  // another attempt of its id ended on this connection: a response may be that one's
	delayedResult *router.AttemptResult // of an ambiguous attempt: given out once the DROP behind it is written; nil: none

	finished bool
	result   chan router.AttemptResult // holds one, so that finish never blocks
}

// finish gives the result to whoever waits for it; only the first one counts. Pools.mu is held.
func (a *pendingAttempt) finish(result router.AttemptResult) {
	if !a.finished {
		a.finished = true
		a.result <- result
	}
}

// Done implements router.PendingAttempt.
func (a *pendingAttempt) Done() <-chan router.AttemptResult { return a.result }

// Cancel implements router.PendingAttempt. It guards the rule that a request has one attempt out at a time, since its
// next one may go to any server:
//
//   - An attempt that the writer has not begun on is taken back: the server never learns of it.
//   - For any other, Cancel waits until the DROP is written. It closes the connection if nothing was received on it
//     since the attempt was queued: a machine that is cut off reads no DROP, but the close gives up all that is open.
//   - A DROP that can't be written soon, behind a write that is stuck, proves nothing. The connection is closed if
//     another attempt may follow, and if the attempt itself is stuck, since it must not arrive after it was given up.
//   - An attempt that still waits in the socket's send queue, since its server does not read, is discarded together
//     with the connection.
//
// Where no attempt can follow, the connection stays unless it has been silent for maxSilence: that a client left early
// says nothing about the server.
func (a *pendingAttempt) Cancel(again bool) {
	canceledAt, dropWritten, isOut := a.withdraw()
	if !isOut {
		return
	}
	conn := a.conn
	isDropStuck := !conn.awaitDrop(dropWritten)
	sendTimeout := float64(dropWriteTimeout)
	if isDropStuck { // it has had that time already
		sendTimeout = 0
	}
	isSent := conn.waitUntilSent(a, sendTimeout)

	a.pools.mu.Lock()
	defer a.pools.mu.Unlock()
	switch {
	case !isSent:
		conn.abort()
	case conn.isSilent(a, canceledAt, again), isDropStuck && (again || !a.fullyWritten):
		conn.close()
	default:
		conn.closeWhenIdle()
	}
}

// withdraw ends the attempt on this side, and queues its DROP if the server may have part of it: isOut is true then,
// and dropWritten is closed once the DROP is written.
func (a *pendingAttempt) withdraw() (canceledAt float64, dropWritten chan struct{}, isOut bool) {
	a.pools.mu.Lock()
	defer a.pools.mu.Unlock()
	wasFinished := a.finished
	a.finished = true
	if wasFinished || a.conn == nil || a.conn.closed {
		return 0, nil, false
	}
	delete(a.conn.attempts, a.attempt.ID)
	if !a.writeBegun {
		a.conn.closeWhenIdle()
		return 0, nil, false
	}
	canceledAt = a.pools.clock.Now()
	dropWritten = make(chan struct{})
	a.conn.queueDrop(a.attempt.ID, command{written: dropWritten})
	return canceledAt, dropWritten, true
}

// awaitDrop waits until a DROP is written or the connection closed; it returns false if neither happens in time.
func (c *conn) awaitDrop(written <-chan struct{}) bool {
	timeout := time.NewTimer(clock.Duration(c.pools().timeouts.drop))
	defer timeout.Stop()
	select {
	case <-written:
		return true
	case <-c.done:
		return true
	case <-timeout.C:
		return false
	}
}

// isSilent reports whether a connection has brought too little to be kept after one of its attempts was canceled:
// nothing since that attempt was queued, which counts at once if another attempt of the request may follow, and else
// after maxSilence if no other attempt is out on the connection. Pools.mu is held.
func (c *conn) isSilent(canceled *pendingAttempt, canceledAt float64, again bool) bool {
	if c.lastResponseAt >= canceled.queuedAt {
		return false
	}
	return again || len(c.attempts) == 0 && canceledAt-canceled.queuedAt > maxSilence
}

// remainingSendTime is how long the attempt may still take to go out, in milliseconds; +Inf if nothing bounds that. It
// enforces the rule for drains and purges that were notified since the choice of the server, and the rule for side
// effects: a repeat must not go out once its class no longer drops repeats. Pools.mu is held.
func (a *pendingAttempt) remainingSendTime() float64 {
	limit := math.Inf(1)
	for _, bound := range []float64{a.pools.options.MaxSendDelay, a.attempt.SendWithin} {
		if bound > 0 {
			limit = min(limit, bound)
		}
	}
	return limit - (a.pools.clock.Now() - a.chosenAt)
}

// clientDeparted reports whether the client of the attempt has left.
func (a *pendingAttempt) clientDeparted() bool {
	return a.attempt.ClientDeparted != nil && a.attempt.ClientDeparted()
}
