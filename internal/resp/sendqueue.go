package resp

import (
	"time"

	"spantack/internal/clock"
	"spantack/internal/sendqueue"
)

// sendQueuePollInterval is the time between two checks of a send queue, in milliseconds.
const sendQueuePollInterval = 2

// waitUntilSent waits up to timeout milliseconds until no byte of an attempt is left in the send queue. It returns
// false if some are left: a server that reads again later would then receive the attempt in full, however long ago the
// client left. For an attempt that was not written to the socket in full it returns true at once.
func (c *conn) waitUntilSent(a *pendingAttempt, timeout float64) bool {
	pools := c.pools()
	startedAt := time.Now()
	for {
		unsent := sendqueue.Unsent(c.netConn)
		pools.mu.Lock()
		isSent := !a.fullyWritten || c.bytesWritten-unsent >= a.endOffset
		pools.mu.Unlock()
		if isSent || time.Since(startedAt) > clock.Duration(timeout) {
			return isSent
		}
		time.Sleep(clock.Duration(sendQueuePollInterval))
	}
}
