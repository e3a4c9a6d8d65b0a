package resp

import (
	"math"
	"time"

	"spantack/internal/clock"
	"spantack/internal/router"
)

// pendingAttempt is one attempt. Its fields are guarded by Pools.mu.
type pendingAttempt struct {
	pools        *Pools
	attempt      router.Attempt
	chosenAt     float64
	queuedAt     float64
	conn         *conn                 // nil until a connection takes it
	writeBegun   bool                  // the writer has begun on it: only now can an answer be its own
	fullyWritten bool                  // all of it was handed to the socket
	endOffset    int64                 // where it ends among the bytes of its connection, once it is whole
	ambiguous    bool                  // another attempt of its id ended on this connection: an answer may be that one's
	heldResult   *router.AttemptResult // to a call in doubt, told once what may be out for it was given up
	finished     bool
	result       chan router.AttemptResult
}

// finish hands the attempt's end to whoever waits for it. Pools.mu is held.
func (k *pendingAttempt) finish(e router.AttemptResult) {
	if !k.finished {
		k.finished = true
		k.result <- e
	}
}

// Done implements router.PendingAttempt.
func (k *pendingAttempt) Done() <-chan router.AttemptResult { return k.result }

// Cancel implements router.PendingAttempt. An attempt on which the writer has not begun is taken back: the server never hears of it.
// For others Drop waits for the DROP to be written, and closes a connection on which nothing was heard since the attempt
// went out: a machine that is cut off reads no DROP, but the close gives up all that is open on it. Both guard the rule
// that a request has one attempt out at a time, since its next one may go anywhere. A DROP that can't be written soon,
// behind a write that is stuck, is no word to rely on: the connection is closed where another attempt may follow, and
// where the attempt itself is stuck, since it must not arrive after it was given up. Else, where no attempt can follow,
// the connection stays unless it has been silent for a while: a client in a hurry tells nothing of it. An attempt that still waits in the
// socket's send queue, since its server does not read, is thrown away with the connection.
func (k *pendingAttempt) Cancel(again bool) {
	p := k.pools
	p.mu.Lock()
	c := k.conn
	if k.finished || c == nil || c.closed {
		k.finished = true
		p.mu.Unlock()
		return
	}
	k.finished = true
	delete(c.attempts, k.attempt.ID)
	if !k.writeBegun {
		c.closeWhenIdle()
		p.mu.Unlock()
		return
	}
	now := p.clock.Now()
	written := make(chan struct{})
	c.queueDrop(k.attempt.ID, command{written: written})
	p.mu.Unlock()

	patient := time.NewTimer(clock.Duration(p.timeouts.drop))
	defer patient.Stop()
	stuck := false
	select {
	case <-written:
	case <-c.done:
	case <-patient.C:
		stuck = true
	}
	patience := float64(dropWriteTimeout)
	if stuck { // it has had that time
		patience = 0
	}
	sent := c.waitUntilSent(k, patience)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !sent {
		c.abort()
		return
	}
	silent := c.lastResponseAt < k.queuedAt && (again || len(c.attempts) == 0 && now-k.queuedAt > maxSilence)
	if silent || stuck && (again || !k.fullyWritten) {
		c.close()
	}
	c.closeWhenIdle()
}

// sendTimeLeft is how long the attempt may still take to go out, in milliseconds. It guards the rules on drains and purges told since
// the choice of its server, and that on effects: a repeat must not leave once its class no longer drops repeats. Pools.mu is held.
func (k *pendingAttempt) sendTimeLeft() float64 {
	most := math.Inf(1)
	for _, limit := range []float64{k.pools.options.MaxSendDelay, k.attempt.SendWithin} {
		if limit > 0 {
			most = min(most, limit)
		}
	}
	return most - (k.pools.clock.Now() - k.chosenAt)
}
