package msgpackrpc

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"spantack/internal/clock"
)

// conn is one client connection. Its reader runs in serve; writer and handlers run in goroutines of their own.
type conn struct {
	server        *Server
	netConn       net.Conn             // owned; closed at the end of serve, or earlier to end it
	queue         chan encodedResponse // closed by serve once no handler runs
	reservedBytes int64                // of responses waiting to be written; guarded by Server.mu

	mu                sync.Mutex              // guards all below
	openRequests      map[uint64]*openRequest // by message id
	unsentResponses   int                     // queued, or about to be, and not yet written
	inMessage         bool                    // the reader is reading a message
	awaitsLastMessage bool                    // the reader waits for a last message before the connection closes
	woken             bool                    // wake was called since the reader finished the last message
	receivedAny       bool                    // a complete message has been received
	idleSince         float64                 // Unix milliseconds of its start, or its last message or response
}

// testHookAwait is called after a reader has checked whether its connection is to close, before it acts on that.
var testHookAwait = func() {}

// newConn returns a connection that is not served yet.
func newConn(server *Server, netConn net.Conn) *conn {
	return &conn{
		server:       server,
		netConn:      netConn,
		queue:        make(chan encodedResponse, maxQueuedResponses),
		openRequests: map[uint64]*openRequest{},
		idleSince:    server.Clock.Now(),
	}
}

// serve reads requests until the connection ends, then cancels those still open.
func (c *conn) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var handlers, writer sync.WaitGroup
	writer.Go(c.write)
	err := c.read(ctx, &handlers)
	if errors.Is(err, errMalformed) {
		c.server.recordFault(err)
	}
	if err != nil {
		c.netConn.Close() // first, so that no response follows a malformed message
	}
	cancel()
	handlers.Wait()
	close(c.queue)
	writer.Wait()
	if err == nil {
		c.linger()
	}
	c.netConn.Close()
}

// linger closes the write side and discards what the client still sent: unread bytes would turn the close into a
// reset, which can destroy the last responses under way.
func (c *conn) linger() {
	tcpConn, ok := c.netConn.(*net.TCPConn)
	if !ok {
		return
	}
	tcpConn.CloseWrite()
	tcpConn.SetReadDeadline(clock.Deadline(lingerTimeout))
	var discarded [512]byte
	for {
		if _, err := tcpConn.Read(discarded[:]); err != nil {
			return
		}
	}
}

// read reads and handles messages. It returns nil when no request is open and the connection is to close.
func (c *conn) read(ctx context.Context, handlers *sync.WaitGroup) error {
	reader := bufio.NewReaderSize(c.netConn, readBufferSize)
	for {
		isLast := c.awaitMessage()
		if _, err := reader.Peek(1); err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				return err
			}
			if isLast || c.isIdleTooLong() {
				return nil
			}
			continue
		}
		c.beginMessage()
		v, err := readMessage(reader)
		if err != nil {
			return err
		}
		arrivedAt := c.server.Clock.Now()
		m, err := parseMessage(v)
		if err != nil {
			return err
		}
		c.recordMessage(arrivedAt)
		if err := c.handleMessage(ctx, m, arrivedAt, handlers); err != nil {
			return err
		}
	}
}

// awaitMessage sets the deadline for the start of the next message. On a connection that is to close, it allows only
// for messages that the client sent before it could know; isLast reports that. A concurrent wake takes precedence: the
// reader returns here at once.
func (c *conn) awaitMessage() (isLast bool) {
	c.mu.Lock()
	c.inMessage = false
	c.awaitsLastMessage = false
	c.woken = false
	c.mu.Unlock()
	isClosing := c.server.closesConnections()
	isRejecting := c.server.rejectsRequests()
	testHookAwait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.woken {
		return false
	}
	isLast = isClosing && len(c.openRequests) == 0
	c.awaitsLastMessage = isLast
	timeout := c.idleTimeout()
	switch {
	case isLast && isRejecting:
		timeout = rejectingDrainTimeout
	case isLast:
		timeout = drainTimeout
	}
	c.netConn.SetReadDeadline(clock.Deadline(timeout))
	return isLast
}

// wake makes a waiting reader check again whether the connection is to close. A message that has begun is not cut
// short, or its request would be lost with all open ones.
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

// recordMessage notes that a complete message was received.
func (c *conn) recordMessage(arrivedAt float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receivedAny = true
	c.idleSince = arrivedAt
}

// idleTimeout is how long the connection may be idle, in milliseconds. c.mu is held.
func (c *conn) idleTimeout() float64 {
	if c.receivedAny {
		return idleTimeout
	}
	return firstMessageTimeout
}

// isIdleTooLong reports whether the connection has been idle for its time limit.
func (c *conn) isIdleTooLong() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isIdle := len(c.openRequests) == 0 && c.unsentResponses == 0
	return isIdle && c.server.Clock.Now()-c.idleSince >= c.idleTimeout()
}

// owesResponse reports whether a response is due, or was queued less than readTimeout milliseconds ago and is not
// written yet.
func (c *conn) owesResponse(readTimeout float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.openRequests) > 0 {
		return true
	}
	return c.unsentResponses > 0 && c.server.Clock.Now()-c.idleSince < readTimeout
}

// enqueueBytes queues a response of one part, for which nothing is reserved.
func (c *conn) enqueueBytes(encoded []byte) error {
	return c.enqueue(encodedResponse{parts: net.Buffers{encoded}})
}

// enqueue queues a response without blocking. It fails where the queue is full, and releases what was reserved.
func (c *conn) enqueue(response encodedResponse) error {
	c.addUnsentResponses(1)
	select {
	case c.queue <- response:
		return nil
	default:
		c.addUnsentResponses(-1)
		c.server.reserveResponse(c, -response.reservedSize)
		return fmt.Errorf("%d answers wait for a client that does not read", maxQueuedResponses)
	}
}

// addUnsentResponses changes the number of responses that are due and not written.
func (c *conn) addUnsentResponses(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsentResponses += n
	c.idleSince = c.server.Clock.Now()
}

// write writes queued responses to the socket until the queue is closed. After a failure it only empties the queue.
func (c *conn) write() {
	failed := false
	for response := range c.queue {
		if !failed {
			c.netConn.SetWriteDeadline(clock.Deadline(writeTimeout))
			if _, err := response.parts.WriteTo(c.netConn); err != nil {
				failed = true
				c.netConn.Close()
			}
		}
		c.server.reserveResponse(c, -response.reservedSize)
		c.addUnsentResponses(-1)
	}
}
