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
	"spantack/internal/sendqueue"
)

// conn is one client connection. serve reads its messages; the writer and each handler run in separate goroutines.
type conn struct {
	server        *Server
	netConn       net.Conn             // owned; closed at the end of serve, or earlier to make serve return
	queue         chan encodedResponse // closed by serve after all handlers have returned
	reservedBytes int64                // for responses not yet written; guarded by Server.mu
	progress      readProgress         // used only by the reader
	turn          turn                 // used only by the reader
	handlerSlots  chan struct{}        // holds a value for each handler that runs

	mu                sync.Mutex              // guards the fields below
	openRequests      map[uint64]*openRequest // by message id
	unsentResponses   int                     // queued or about to be queued, and not yet written
	inMessage         bool                    // the reader is reading a message
	messageStartedAt  float64                 // when the reader began to read it, in Unix milliseconds
	awaitsLastMessage bool                    // the connection is to close; the reader waits for a message in transit
	woken             bool                    // wake was called since awaitMessage last cleared this field
	receivedAny       bool                    // a complete message has been received
	bytesWritten      int64                   // of responses, to the socket
	writtenAt         float64                 // when bytes of responses were last written, in Unix milliseconds; 0: never
	// readBy is the time in Unix milliseconds by which a client at minReadRate has read all responses written so far.
	readBy float64
	// idleSince is the time in Unix milliseconds when the connection was accepted, or when a message last arrived or a
	// response was last queued or written.
	idleSince float64
}

// testHookAwait is called by awaitMessage after it has checked whether the server is draining, and before it sets the
// read deadline.
var testHookAwait = func() {}

// newConn returns a connection on which serve has not been called.
func newConn(server *Server, netConn net.Conn) *conn {
	return &conn{
		server:       server,
		netConn:      netConn,
		queue:        make(chan encodedResponse, maxQueuedResponses),
		turn:         turn{length: messagesPerTurn},
		handlerSlots: make(chan struct{}, maxHandlers),
		openRequests: map[uint64]*openRequest{},
		idleSince:    server.Clock.Now(),
	}
}

// serve handles messages until the connection ends, then cancels open requests and closes the connection.
func (c *conn) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var handlers, writer sync.WaitGroup
	writer.Go(c.write)
	err := c.read(ctx, &handlers)
	if errors.Is(err, errMalformed) {
		c.server.recordFault(err)
	}
	switch {
	case errors.Is(err, errMalformed), errors.Is(err, os.ErrDeadlineExceeded):
		c.close() // first, so that no response follows a malformed message
	case err != nil: // the client has closed the connection, or another goroutine has
		c.netConn.Close()
	}
	cancel()
	if err != nil {
		defer c.server.beginEnding(c)()
	}
	handlers.Wait()
	if err == nil && sendqueue.Unsent(c.netConn) > 0 { // the client has stopped reading and must not delay the end
		c.close()
		err = errStalled
	}
	close(c.queue)
	writer.Wait()
	if err == nil {
		c.linger()
	}
	c.netConn.Close()
}

// linger closes the write side and discards remaining bytes from the client for up to lingerTimeout. Unread bytes would
// turn the close into a reset, which can discard the last responses before the client reads them.
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

// read reads and handles messages. It returns nil if the connection has no open requests and is to close, or has been
// idle for too long. The client then has all responses, or has stopped reading.
func (c *conn) read(ctx context.Context, handlers *sync.WaitGroup) error {
	reader := bufio.NewReaderSize(messageReader{c}, readBufferSize)
	for {
		closesAfterWait := c.awaitMessage()
		if _, err := reader.Peek(1); err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				return err
			}
			isDue := closesAfterWait && c.canClose() || c.isIdleTooLong()
			if isDue && c.peekSocket() != socketHasData { // a read fails at its deadline even if a message has arrived
				return nil
			}
			continue
		}
		c.beginMessage()
		m, err := c.readMessage(reader)
		if err != nil {
			return err
		}
		arrivedAt := c.server.Clock.Now()
		c.recordMessage(arrivedAt)
		if err := c.handleMessage(ctx, m, arrivedAt, handlers); err != nil {
			return err
		}
		if c.turn.record(c.server.Clock.Now()) {
			time.Sleep(clock.Duration(turnPause))
		}
	}
}

// readMessage reads a message.
func (c *conn) readMessage(reader *bufio.Reader) (message, error) {
	d := newDecoder(reader, maxMessageSize, maxStringSize, c.server.reserve)
	defer d.memory.release()
	v, err := d.readMessage()
	if err != nil {
		return message{}, err
	}
	m, err := parseMessage(v)
	m.incomplete = d.memory.incomplete
	return m, err
}

// awaitMessage sets the read deadline for the start of the next message. If the connection is to close, no request is
// open and no response waits for the client in the socket, closesAfterWait is true and the deadline is short: it only
// allows for messages already in transit. While the client is reading, the deadline is that of the next check. If wake
// is called while awaitMessage runs, awaitMessage keeps the expired deadline that wake set. The read then fails
// immediately, and the reader calls awaitMessage again.
func (c *conn) awaitMessage() (closesAfterWait bool) {
	c.mu.Lock()
	c.inMessage = false
	c.awaitsLastMessage = false
	c.woken = false
	c.mu.Unlock()
	isClosing := c.server.closesConnections()
	isRejecting := c.server.rejectsRequests()
	isBeingRead := isClosing && c.checkReading() == reading
	testHookAwait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.woken {
		return false
	}
	hasNoRequest := isClosing && len(c.openRequests) == 0
	closesAfterWait = hasNoRequest && !isBeingRead
	c.awaitsLastMessage = closesAfterWait
	timeout := c.allowedIdleTime()
	switch {
	case hasNoRequest && isBeingRead:
		timeout = unreadPollInterval
	case closesAfterWait && isRejecting:
		timeout = rejectingDrainTimeout
	case closesAfterWait:
		timeout = drainTimeout
	}
	c.netConn.SetReadDeadline(clock.Deadline(timeout))
	return closesAfterWait
}

// wake makes a waiting reader check again whether the connection is to close. It does not interrupt the read of a
// message: a failed read ends the connection, and with it the request in the message and all open requests.
func (c *conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.woken = true
	if !c.inMessage && !c.awaitsLastMessage { // a last message may be in transit: do not shorten that wait
		c.netConn.SetReadDeadline(time.Unix(1, 0))
	}
}

// beginMessage sets the read deadline for the rest of a message. messageReader extends it while requests are open.
func (c *conn) beginMessage() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inMessage = true
	c.messageStartedAt = c.server.Clock.Now()
	c.netConn.SetReadDeadline(clock.Deadline(messageTimeout))
}

// recordMessage records the arrival of a complete message, in Unix milliseconds.
func (c *conn) recordMessage(arrivedAt float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receivedAny = true
	c.idleSince = arrivedAt
}

// allowedIdleTime returns how long the connection may be idle, in milliseconds. c.mu is held.
func (c *conn) allowedIdleTime() float64 {
	if c.receivedAny {
		return idleTimeout
	}
	return firstMessageTimeout
}

// isIdleTooLong reports whether the connection has been idle for at least its allowed idle time, and the client takes no
// responses.
func (c *conn) isIdleTooLong() bool {
	c.mu.Lock()
	isIdle := len(c.openRequests) == 0 && c.unsentResponses == 0 &&
		c.server.Clock.Now()-c.idleSince >= c.allowedIdleTime()
	c.mu.Unlock()
	return isIdle && c.checkReading() != reading
}

// hasPendingResponse reports whether a request is open, or a response is not written yet and idleSince is less than
// readTimeout milliseconds ago, or responses wait for the client in the socket.
func (c *conn) hasPendingResponse(readTimeout float64) bool {
	if sendqueue.Unsent(c.netConn) > 0 {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.openRequests) > 0 {
		return true
	}
	return c.unsentResponses > 0 && c.server.Clock.Now()-c.idleSince < readTimeout
}

// enqueueBytes queues an encoded response for which no bytes are reserved.
func (c *conn) enqueueBytes(encoded []byte) error {
	return c.enqueue(encodedResponse{parts: net.Buffers{encoded}})
}

// enqueue queues a response without blocking. If the queue is full, it releases the response's reserved bytes and
// returns an error.
func (c *conn) enqueue(response encodedResponse) error {
	c.addUnsentResponses(1)
	select {
	case c.queue <- response:
		return nil
	default:
		c.addUnsentResponses(-1)
		c.release(response)
		return fmt.Errorf("response queue full: %d responses not read by the client", maxQueuedResponses)
	}
}

// addUnsentResponses adds n to the number of unsent responses and restarts the idle time.
func (c *conn) addUnsentResponses(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsentResponses += n
	c.idleSince = c.server.Clock.Now()
}

// release releases the memory of a response that was written or dropped.
func (c *conn) release(response encodedResponse) {
	if response.discard != nil {
		response.discard()
	}
	c.server.reserveResponse(c, -response.reservedSize)
}

// write writes queued responses to the socket until the queue is closed. After a write error it discards the rest.
func (c *conn) write() {
	failed := false
	for response := range c.queue {
		if !failed && c.writeResponse(response.parts) != nil {
			failed = true
			c.close()
		}
		c.release(response)
		c.addUnsentResponses(-1)
	}
}

// writeResponse writes one response. It returns an error if that takes longer than writeTimeout, or if the client takes
// nothing for readStallTimeout while memory is scarce.
func (c *conn) writeResponse(parts net.Buffers) error {
	giveUpAt := c.server.Clock.Now() + writeTimeout
	for {
		c.netConn.SetWriteDeadline(clock.Deadline(readStallTimeout))
		n, err := parts.WriteTo(c.netConn)
		c.recordWritten(n)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		isStalled := n == 0 && c.server.isMemoryScarce()
		if isStalled || c.server.Clock.Now() >= giveUpAt {
			return err
		}
	}
}
