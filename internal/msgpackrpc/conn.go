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
	server *Server
	net    net.Conn
	queue  chan answer
	booked int64 // bytes of answers waiting to be written; guarded by Server.mu

	mu      sync.Mutex
	open    map[uint64]*taken // by message id
	unsent  int               // answers queued and not yet written
	inside  bool              // the reader is within a message
	leaving bool              // the reader looks for a last message
	poked   bool              // poke came since the reader left the last message
	spoken  bool              // a whole message has come
	quietAt float64           // when it last became quiet: connected, or the last answer written
}

// taken is a request that is open. It is told from a later one under the same message id by its address.
type taken struct{ cancel context.CancelFunc }

// testHookAwait is called where a reader has looked whether its connection is wanted, before it acts on that.
var testHookAwait = func() {}

// rank orders connections by how gladly they are let go, the least first: those that never said anything, then
// those that are quiet for longest. One that is owed an answer is not let go.
func (c *conn) rank() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(c.open) > 0 || c.unsent > 0:
		return math.Inf(1)
	case !c.spoken && c.server.Clock.Now()-c.quietAt > freshConn:
		return c.quietAt - firstLimit
	}
	return c.quietAt
}

// owed tells whether an answer is to be given, or was given less than take milliseconds ago and is not written yet.
func (c *conn) owed(take float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) > 0 || c.unsent > 0 && c.server.Clock.Now()-c.quietAt < take
}

type answer struct {
	parts net.Buffers
	size  int64 // reserved
}

// serve reads requests until the connection ends, then lets go of those still open.
func (c *conn) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	var requests, writer sync.WaitGroup
	writer.Go(c.write)
	err := c.read(ctx, &requests)
	if errors.Is(err, errMalformed) {
		c.server.fault(err)
	}
	if err != nil {
		c.net.Close() // first, so that no answer can follow what broke the stream
	}
	cancel()
	requests.Wait()
	close(c.queue)
	writer.Wait()
	if err == nil {
		c.linger()
	}
	c.net.Close()
}

// linger ends the stream and reads what crossed that, or the reset would destroy the last answers on their way.
func (c *conn) linger() {
	if t, ok := c.net.(*net.TCPConn); ok {
		t.CloseWrite()
		t.SetReadDeadline(clock.Deadline(lingerLimit))
		var sink [512]byte
		for {
			if _, err := t.Read(sink[:]); err != nil {
				return
			}
		}
	}
}

// poke makes a waiting reader look again whether the connection may close. A message that has begun is not cut short:
// its request would be lost with all that are open.
func (c *conn) poke() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.poked = true
	if !c.inside && !c.leaving { // a last look has its time: requests are on their way
		c.net.SetReadDeadline(time.Unix(1, 0))
	}
}

// enter sets the time by which the message that has begun must end.
func (c *conn) enter() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inside = true
	c.net.SetReadDeadline(clock.Deadline(frameLimit))
}

// await sets the time by which the next message must begin. When the connection is not wanted any more, that is
// soon: what the client wrote before it could know counts as taken. A poke that comes meanwhile stands: the reader is
// back here at once.
func (c *conn) await() (last bool) {
	c.mu.Lock()
	c.inside, c.leaving, c.poked = false, false, false
	c.mu.Unlock()
	draining, refuses := c.server.draining(), c.server.refuses()
	testHookAwait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.poked {
		return false
	}
	last = draining && len(c.open) == 0
	c.leaving = last
	wait := float64(idleLimit)
	switch {
	case last && refuses:
		wait = shortLook
	case last:
		wait = lastLook
	case !c.spoken:
		wait = firstLimit
	}
	c.net.SetReadDeadline(clock.Deadline(wait))
	return last
}

// read takes in messages. It returns nil when the connection has nothing open and is not wanted any more.
func (c *conn) read(ctx context.Context, requests *sync.WaitGroup) error {
	in := bufio.NewReaderSize(c.net, readBuffer)
	for {
		last := c.await()
		if _, err := in.Peek(1); err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				return err
			}
			if last || c.idle() {
				return nil
			}
			continue
		}
		c.enter()
		v, err := readMessage(in)
		if err != nil {
			return err
		}
		arrived := c.server.Clock.Now()
		m, err := parseMessage(v)
		if err != nil {
			return err
		}
		c.mu.Lock()
		c.spoken, c.quietAt = true, arrived
		c.mu.Unlock()
		if err := c.take(ctx, m, arrived, requests); err != nil {
			return err
		}
	}
}

// idle tells whether nothing came or went for so long that the client has no more use for the connection.
func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := float64(idleLimit)
	if !c.spoken {
		limit = firstLimit
	}
	return len(c.open) == 0 && c.unsent == 0 && c.server.Clock.Now()-c.quietAt >= limit
}

// send queues an answer without waiting for the client.
func (c *conn) send(a answer) error {
	c.sent(1)
	select {
	case c.queue <- a:
		return nil
	default:
		c.sent(-1)
		c.server.book(c, -a.size)
		return fmt.Errorf("%d answers wait for a client that does not read", queueRoom)
	}
}

// sent books answers that are to be written, or with -1 one that is.
func (c *conn) sent(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsent += n
	c.quietAt = c.server.Clock.Now()
}

// write puts queued answers on the socket until the queue is closed. After a failure it only empties the queue.
func (c *conn) write() {
	broken := false
	for a := range c.queue {
		if !broken {
			c.net.SetWriteDeadline(clock.Deadline(writeLimit))
			if _, err := a.parts.WriteTo(c.net); err != nil {
				broken = true
				c.net.Close()
			}
		}
		c.server.book(c, -a.size)
		c.sent(-1)
	}
}
