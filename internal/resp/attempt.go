package resp

import (
	"math"
	"time"

	"spantack/internal/clock"
	"spantack/internal/router"
)

// pendingAttempt is an attempt that was passed to Send. It implements router.PendingAttempt. Its fields are guarded by
// Pools.mu; times are Unix milliseconds.
type pendingAttempt struct {
	pools    *Pools
	attempt  router.Attempt
	chosenAt float64 // when its server was chosen: when it was passed to Send
	queuedAt float64 // when it was queued on its connection

	conn         *conn // nil until it is assigned to a connection
	writeStarted bool  // the writer has started to write it; earlier responses can't belong to it
	fullyWritten bool  // all of it was passed to the socket
	endOffset    int64 // offset of its end among the bytes written to conn; valid if fullyWritten

	// ambiguous is set if an earlier attempt with the same id ended on conn. A response may then belong to the earlier
	// attempt.
	ambiguous     bool
	delayedResult *router.AttemptResult // result to deliver once the DROP of an ambiguous attempt is written; nil: none

	finished bool
	result   chan router.AttemptResult // has a capacity of one, so that finish never blocks
}

// finish delivers the result through Done. Only the result of the first call is delivered; others are discarded.
// Pools.mu is held.
func (a *pendingAttempt) finish(result router.AttemptResult) {
	if a.finished {
		result.Discard()
		return
	}
	a.finished = true
	a.result <- result
}

// Done implements router.PendingAttempt.
func (a *pendingAttempt) Done() <-chan router.AttemptResult { return a.result }

// Cancel implements router.PendingAttempt. If mayRetry is true, another attempt may follow, at any server. A request
// must have only one attempt in flight, so Cancel ends this one:
//
//   - The writer has not started the attempt: Cancel removes it. The server never receives any of it.
//   - The writer has started the attempt: Cancel waits until the DROP is written. If the connection is closed instead,
//     the server cancels all attempts on it.
//   - The DROP can't be written soon, because the write before it is stuck: the DROP has no effect at the server.
//     Cancel closes the connection if mayRetry is true, or if the write of the attempt itself is stuck. In the latter
//     case the attempt could otherwise arrive after it was canceled.
//   - The attempt is still in the socket's send queue, because its server does not read: Cancel closes the connection
//     and discards the attempt.
//   - The connection is silent, which means that nothing was received on it since the attempt was queued, and mayRetry
//     is true: Cancel closes the connection. The server's machine may be cut off and never read the DROP.
//   - The connection is silent and mayRetry is false: Cancel closes the connection only if the attempt was queued more
//     than maxSilence ago and no other attempt is in flight on it. A client that leaves early is not a sign of a fault
//     of the server.
func (a *pendingAttempt) Cancel(mayRetry bool) {
	canceledAt, dropWritten, isInFlight := a.withdraw()
	a.discardResult()
	if !isInFlight {
		return
	}
	conn := a.conn
	isDropStuck := !conn.awaitDrop(dropWritten)
	sendTimeout := float64(dropWriteTimeout)
	if isDropStuck { // awaitDrop has already waited that long
		sendTimeout = 0
	}
	isSent := conn.waitUntilSent(a, sendTimeout)

	a.pools.mu.Lock()
	defer a.pools.mu.Unlock()
	switch {
	case !isSent:
		conn.abort()
	case conn.mustCloseForSilence(a, canceledAt, mayRetry), isDropStuck && (mayRetry || !a.fullyWritten):
		conn.close()
	default:
		conn.closeWhenIdle()
	}
}

// discardResult discards the result if it was delivered and nobody has received it.
func (a *pendingAttempt) discardResult() {
	select {
	case result := <-a.result:
		result.Discard()
	default:
	}
}

// withdraw marks the attempt as finished. If the server may have received part of the attempt, isInFlight is true:
// withdraw has queued the DROP, and dropWritten is closed once it is written.
func (a *pendingAttempt) withdraw() (canceledAt float64, dropWritten chan struct{}, isInFlight bool) {
	a.pools.mu.Lock()
	defer a.pools.mu.Unlock()
	wasFinished := a.finished
	a.finished = true
	if wasFinished || a.conn == nil || a.conn.closed {
		return 0, nil, false
	}
	delete(a.conn.attempts, a.attempt.ID)
	if !a.writeStarted {
		a.attempt.Request = &router.Request{ID: a.attempt.ID} // its command stays queued and must not hold the body
		a.conn.closeWhenIdle()
		return 0, nil, false
	}
	canceledAt = a.pools.clock.Now()
	dropWritten = make(chan struct{})
	a.conn.queueDrop(a.attempt.ID, command{written: dropWritten})
	return canceledAt, dropWritten, true
}

// awaitDrop waits until a DROP is written or the connection is closed. It returns false if neither happens within
// timeouts.drop.
func (c *conn) awaitDrop(written <-chan struct{}) bool {
	timeout := time.NewTimer(clock.Duration(c.pools().timeouts.drop))
	defer timeout.Stop()
	select {
	case <-written:
		return true
	case <-c.ctx.Done():
		return true
	case <-timeout.C:
		return false
	}
}

// mustCloseForSilence reports whether a connection must be closed after one of its attempts was canceled, because no
// response has been received on it since that attempt was queued. If no retry may follow, two more conditions must
// hold: the attempt has waited for more than maxSilence, and no other attempt is in flight on the connection. Pools.mu
// is held.
func (c *conn) mustCloseForSilence(canceled *pendingAttempt, canceledAt float64, mayRetry bool) bool {
	if c.lastResponseAt >= canceled.queuedAt || c.awaitsMemory { // a response waits in the socket
		return false
	}
	return mayRetry || len(c.attempts) == 0 && canceledAt-canceled.queuedAt > maxSilence
}

// remainingSendTime returns the time within which the attempt may still be sent, in milliseconds: negative if it is too
// late, +Inf without a bound. MaxSendDelay bounds it because the server may have been drained or its copies purged
// after it was chosen for the attempt. SendWithin bounds it because of side effects: a repeat must not be sent once
// servers no longer deduplicate it. Pools.mu is held.
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
