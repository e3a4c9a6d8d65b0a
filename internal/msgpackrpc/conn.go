package msgpackrpc

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"sync"
	"time"

	"spantack/internal/clock"
)

// conn is one client connection.
type conn struct {
	server        *Server
	netConn       net.Conn
	queue         chan encodedResponse
	reservedBytes int64 // bytes of answers waiting to be written; guarded by Server.mu

	mu                sync.Mutex
	openRequests      map[uint64]*openRequest // by message id
	unsentResponses   int                     // answers queued and not yet written
	inMessage         bool                    // the reader is reading a message
	awaitsLastMessage bool                    // the reader waits for a last message before the connection closes
	woken             bool                    // wake was called since the reader finished the last message
	receivedAny       bool                    // a whole message has been received
	idleSince         float64                 // when it last became idle: connected, or the last answer written
}

// openRequest is a request that has no answer yet. Its address distinguishes it from a later one under the same message id.
type openRequest struct{ cancel context.CancelFunc }

// testHookAwait is called after a reader has checked whether its connection is to close, before it acts on that.
var testHookAwait = func() {}

// evictionRank orders connections for eviction, the least first: those that never sent a message, then those that have been idle for longest.
// It is infinite, which bars eviction, while an answer is due.
func (c *conn) evictionRank() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(c.openRequests) > 0 || c.unsentResponses > 0:
		return math.Inf(1)
	case !c.receivedAny && c.server.Clock.Now()-c.idleSince > newConnGracePeriod:
		return c.idleSince - firstMessageTimeout
	}
	return c.idleSince
}

// owesResponse reports whether an answer is due, or was queued less than take milliseconds ago and is not written yet.
func (c *conn) owesResponse(take float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.openRequests) > 0 || c.unsentResponses > 0 && c.server.Clock.Now()-c.idleSince < take
}

// encodedResponse is one encoded answer in the queue of a connection.
type encodedResponse struct {
	parts        net.Buffers
	reservedSize int64 // reserved
}

// serve reads requests until the connection ends, then cancels those still open.
func (c *conn) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	var requests, writer sync.WaitGroup
	writer.Go(c.write)
	err := c.read(ctx, &requests)
	if errors.Is(err, errMalformed) {
		c.server.recordFault(err)
	}
	if err != nil {
		c.netConn.Close() // first, so that no answer follows a malformed message
	}
	cancel()
	requests.Wait()
	close(c.queue)
	writer.Wait()
	if err == nil {
		c.linger()
	}
	c.netConn.Close()
}

// linger closes the write side and reads what the client still sent: unread bytes would turn the close into a reset, which can destroy the
// last answers under way.
func (c *conn) linger() {
	if t, ok := c.netConn.(*net.TCPConn); ok {
		t.CloseWrite()
		t.SetReadDeadline(clock.Deadline(lingerTimeout))
		var sink [512]byte
		for {
			if _, err := t.Read(sink[:]); err != nil {
				return
			}
		}
	}
}

// wake makes a waiting reader check again whether the connection is to close. A message that has begun is not cut short, or its request would
// be lost with all open ones.
func (c *conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.woken = true
	if !c.inMessage && !c.awaitsLastMessage { // the wait for a last message is not cut short: requests may be under way
		c.netConn.SetReadDeadline(time.Unix(1, 0))
	}
}

// beginMessage sets the deadline for the rest of a message.
func (c *conn) beginMessage() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inMessage = true
	c.netConn.SetReadDeadline(clock.Deadline(messageTimeout))
}

// awaitMessage sets the deadline for the start of the next message. On a connection that is to close, it allows only for messages that the
// client sent before it could know; last reports that. A concurrent wake takes precedence: the reader returns here at once.
func (c *conn) awaitMessage() (last bool) {
	c.mu.Lock()
	c.inMessage, c.awaitsLastMessage, c.woken = false, false, false
	c.mu.Unlock()
	closing, refusing := c.server.closesConnections(), c.server.rejectsRequests()
	testHookAwait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.woken {
		return false
	}
	last = closing && len(c.openRequests) == 0
	c.awaitsLastMessage = last
	wait := float64(idleTimeout)
	switch {
	case last && refusing:
		wait = rejectingDrainTimeout
	case last:
		wait = drainTimeout
	case !c.receivedAny:
		wait = firstMessageTimeout
	}
	c.netConn.SetReadDeadline(clock.Deadline(wait))
	return last
}

// read reads and handles messages. It returns nil when no request is open and the connection is to close.
func (c *conn) read(ctx context.Context, requests *sync.WaitGroup) error {
	reader := bufio.NewReaderSize(c.netConn, readBufferSize)
	for {
		last := c.awaitMessage()
		if _, err := reader.Peek(1); err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				return err
			}
			if last || c.isIdleTooLong() {
				return nil
			}
			continue
		}
		c.beginMessage()
		v, err := readMessage(reader)
		if err != nil {
			return err
		}
		arrived := c.server.Clock.Now()
		m, err := parseMessage(v)
		if err != nil {
			return err
		}
		c.mu.Lock()
		c.receivedAny, c.idleSince = true, arrived
		c.mu.Unlock()
		if err := c.handleMessage(ctx, m, arrived, requests); err != nil {
			return err
		}
	}
}

// isIdleTooLong reports whether the connection has been idle for its time limit.
func (c *conn) isIdleTooLong() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := float64(idleTimeout)
	if !c.receivedAny {
		limit = firstMessageTimeout
	}
	return len(c.openRequests) == 0 && c.unsentResponses == 0 && c.server.Clock.Now()-c.idleSince >= limit
}

// enqueue queues an answer without blocking; its error is a full queue.
func (c *conn) enqueue(a encodedResponse) error {
	c.addUnsentResponses(1)
	select {
	case c.queue <- a:
		return nil
	default:
		c.addUnsentResponses(-1)
		c.server.reserveResponse(c, -a.reservedSize)
		return fmt.Errorf("%d answers wait for a client that does not read", maxQueuedResponses)
	}
}

// addUnsentResponses changes the number of answers that are due and not written.
func (c *conn) addUnsentResponses(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsentResponses += n
	c.idleSince = c.server.Clock.Now()
}

// write puts queued answers on the socket until the queue is closed. After a failure it only empties the queue.
func (c *conn) write() {
	broken := false
	for a := range c.queue {
		if !broken {
			c.netConn.SetWriteDeadline(clock.Deadline(writeTimeout))
			if _, err := a.parts.WriteTo(c.netConn); err != nil {
				broken = true
				c.netConn.Close()
			}
		}
		c.server.reserveResponse(c, -a.reservedSize)
		c.addUnsentResponses(-1)
	}
}
