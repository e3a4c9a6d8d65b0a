package msgpackrpc

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"spantack/internal/clock"
	"spantack/internal/router"
)

// Figures of client connections; times are milliseconds.
const (
	maxOpen     = 32          // requests open on one connection: what a client may
	queueRoom   = 4 * maxOpen // answers waiting to be written on one connection
	firstLimit  = 2_000       // for the first message: usual clients connect to ask, others hold a place in silence
	idleLimit   = 6_000       // clients close idle connections after 4 s; this is for those that hold them for good
	frameLimit  = 2_000       // for the rest of a message once it has begun
	writeLimit  = 10_000      // for one answer: a client that takes none of it is gone
	lastLook    = 50          // for a message already on its way when the connection is to be closed
	refuseAfter = 1_500       // of an Evacuate: 4 s after its call no connection may hold a request of the last 2 s
	shortLook   = 1           // as lastLook, from then on
	lingerLimit = 250         // for what crosses our close
	connPart    = 8           // of MostQueued, what the answers of one connection may hold when others need the rest
	requestCost = 8 << 10     // bytes that an open request takes besides its body
	acceptPause = 20          // after an accept that failed
	freshConn   = 100         // a new connection is given so long for its first message to be on its way
	readBuffer  = 4 << 10
	logEvery    = 1000

	fullWait      = "100"  // cooldown of a request that finds no room
	evacuatedWait = "1000" // and of one that comes to a server that was emptied
)

// Server serves clients. Its fields are set before Serve.
type Server struct {
	Handle     func(context.Context, router.Request) router.Answer
	Ready      func() bool
	Keyed      map[string]bool    // the classes, and whether their requests carry an idempotency key; Retune changes them
	Turned     func(class string) // told of each request of a class that is refused here; nil: nobody
	MostConns  int
	MostQueued int64   // bytes of open requests and of answers waiting to be written, on all connections
	Patience   float64 // how long open requests may hold up the end of Serve
	Clock      *clock.Clock
	Log        zerolog.Logger

	mu         sync.Mutex // where both are held, it is taken before that of a conn
	conns      map[*conn]bool
	queued     int64
	drains     bool // no connection is wanted any more, since emptyAt, in milliseconds
	ends       bool // for good
	emptyAt    float64
	faults     int64
	logged     float64
	gaveWay    int64
	turnedAway int64
}

// Serve accepts connections until ctx ends, then closes each as soon as no request is open on it, and returns when
// all are closed. Requests that still come refuseAfter milliseconds later, on connections that are never without one, are refused: they
// would be cut short at the end.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	s.mu.Lock() // staff may empty the server before it serves
	s.conns = map[*conn]bool{}
	s.mu.Unlock()
	defer context.AfterFunc(ctx, func() { l.Close() })()
	var wait sync.WaitGroup
	for {
		nc, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			s.fault(fmt.Errorf("accept: %w", err))
			time.Sleep(clock.Duration(acceptPause)) // out of descriptors, say: try again without spinning
			continue
		}
		c := &conn{server: s, net: nc, open: map[uint64]*taken{}, queue: make(chan answer, queueRoom),
			quietAt: s.Clock.Now()}
		if !s.place(c) {
			nc.Close()
			continue
		}
		wait.Go(func() {
			c.serve()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		})
	}
	s.mu.Lock()
	s.drains, s.ends, s.emptyAt = true, true, s.Clock.Now()
	rest := s.all()
	s.mu.Unlock()
	for _, c := range rest {
		c.poke()
	}
	last := time.AfterFunc(clock.Duration(s.Patience), func() {
		for _, c := range rest {
			c.net.Close()
		}
	})
	defer last.Stop()
	wait.Wait()
	return nil
}

// all are the connections there are. s.mu is held.
func (s *Server) all() []*conn {
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// Evacuate empties the server until Rejoin: each connection closes once no request is open on it, and refuseAfter milliseconds later
// requests that still come are refused. New connections are taken, for the front learns late, and close likewise.
func (s *Server) Evacuate() {
	s.mu.Lock()
	if !s.drains {
		s.drains, s.emptyAt = true, s.Clock.Now()
	}
	list := s.all()
	s.mu.Unlock()
	for _, c := range list {
		c.poke()
	}
}

// Rejoin ends an Evacuate.
func (s *Server) Rejoin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drains = s.ends
}

// Evacuated tells whether the server is being emptied, or is empty.
func (s *Server) Evacuated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drains && !s.ends
}

// refuses tells whether requests are no longer taken: those who keep connections busy must not keep the server from being empty.
func (s *Server) refuses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drains && s.Clock.Now()-s.emptyAt >= refuseAfter
}

// Retune replaces the classes.
func (s *Server) Retune(keyed map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Keyed = keyed
}

// class tells whether a class is known, and whether its requests carry an idempotency key.
func (s *Server) class(name string) (keyed, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keyed, known = s.Keyed[name]
	return keyed, known
}

// place books a new connection. Where all places are taken, the one that is quiet for longest gives way: a client that
// asked once and holds its connection for good must not keep others out. Without a quiet one the new one finds none.
// Those that give way are closed once the lock is let go.
func (s *Server) place(c *conn) bool {
	var gone []*conn
	defer func() {
		for _, o := range gone {
			o.net.Close()
		}
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) >= s.MostConns {
		var oldest *conn
		least := math.Inf(1)
		for o := range s.conns {
			if at := o.rank(); at < least {
				oldest, least = o, at
			}
		}
		if oldest == nil {
			s.turnedAway++
			return false
		}
		delete(s.conns, oldest)
		s.gaveWay++
		gone = append(gone, oldest)
	}
	s.conns[c] = true
	return true
}

// Counts tells how many connections gave way to others, how many found no place, and how many faults there were.
func (s *Server) Counts() (gaveWay, turnedAway, faults int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gaveWay, s.turnedAway, s.faults
}

func (s *Server) draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drains
}

// fault counts what a client or the system did wrong, and logs it at most once a second.
func (s *Server) fault(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults++
	if now := s.Clock.Now(); now-s.logged >= logEvery {
		s.logged = now
		s.Log.Warn().Err(err).Int64("faults", s.faults).Msg("client connection fault")
	}
}

// reserve books n bytes, unless too many are booked already; a negative n gives them back.
func (s *Server) reserve(n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > 0 && s.queued+n > s.MostQueued {
		return false
	}
	s.queued += n
	return true
}

// book reserves n bytes for an answer on a connection, or with a negative n gives them back. Past half of all, a connection that
// has answers waiting gets no more than a part: clients that do not read must not leave others without large answers.
func (s *Server) book(c *conn, n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	all, own := s.queued+n, c.booked+n
	if n > 0 && (all > s.MostQueued || c.booked > 0 && own > s.MostQueued/connPart && all > s.MostQueued/2) {
		return false
	}
	s.queued, c.booked = all, own
	return true
}

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

// take acts on one message; an error ends the connection.
func (c *conn) take(ctx context.Context, m message, arrived float64, requests *sync.WaitGroup) error {
	s := c.server
	if m.kind == kindNotify {
		if m.method == "cancel" {
			c.cancel(m.params)
		}
		return nil
	}
	if m.method == "health" {
		buf := append(appendResult(nil, m.id), 0x92, 0xc2)
		if s.Ready() {
			buf[len(buf)-1] = 0xc3
		}
		return c.send(answer{parts: net.Buffers{appendFields(buf)}})
	}
	keyed, known := s.class(m.method)
	if !known {
		return c.send(answer{parts: net.Buffers{appendError(nil, m.id, "Error", "reason", "unknown method")}})
	}
	q, err := parseRequest(m.method, m.params, keyed)
	if err != nil {
		s.fault(fmt.Errorf("request: %w", err))
		return c.send(answer{parts: net.Buffers{appendError(nil, m.id, "Error", "reason", err.Error())}})
	}
	q.Arrived = arrived
	if s.refuses() {
		return c.refuse(m, evacuatedWait)
	}
	cost := int64(requestCost + len(q.Body))
	reserved := s.reserve(cost) // guards memory against a flood of requests
	c.mu.Lock()
	_, twice := c.open[m.id]
	room := reserved && !twice && len(c.open) < maxOpen
	var one context.Context
	own := &taken{}
	if room {
		one, own.cancel = context.WithCancel(ctx)
		c.open[m.id] = own
	}
	c.mu.Unlock()
	if reserved && !room {
		s.reserve(-cost)
	}
	switch {
	case twice:
		return fmt.Errorf("%w: message id %d is open already", errMalformed, m.id)
	case !room:
		return c.refuse(m, fullWait)
	}
	requests.Go(func() {
		defer s.reserve(-cost)
		a := s.handle(one, q)
		c.sent(1) // or the connection might give way between here and the answer's place in the queue
		defer c.sent(-1)
		if c.finish(m.id, own) && a.Verdict != router.None {
			if err := c.answer(m.id, a); err != nil {
				s.fault(err)
				c.net.Close()
			}
		}
	})
	return nil
}

// refuse answers a request that was not taken; wait is how long its client should stay away, in milliseconds.
func (c *conn) refuse(m message, wait string) error {
	if c.server.Turned != nil {
		c.server.Turned(m.method)
	}
	return c.send(answer{parts: net.Buffers{appendError(nil, m.id, "Full", "cooldown", wait)}})
}

// handle keeps a panic in one request from taking all others down with it.
func (s *Server) handle(ctx context.Context, q router.Request) (a router.Answer) {
	defer func() {
		if p := recover(); p != nil {
			a = router.Answer{Verdict: router.Failed}
			s.Log.Error().Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).Msg("request failed")
		}
	}()
	return s.Handle(ctx, q)
}

// cancel ends requests whose client no longer waits; none of them is answered.
func (c *conn) cancel(ids []any) {
	for _, v := range ids {
		id, ok := toUint(v)
		if !ok {
			c.server.fault(errors.New("cancel: no message id"))
			continue
		}
		c.mu.Lock()
		one := c.open[id]
		c.mu.Unlock()
		c.finish(id, one)
	}
}

// finish takes a request off the open ones. It is true once for each: whoever gets it may answer. A request that was
// cancelled ends here a second time, when its id may stand for another.
func (c *conn) finish(id uint64, one *taken) bool {
	c.mu.Lock()
	open := one != nil && c.open[id] == one
	if open {
		delete(c.open, id)
	}
	last := len(c.open) == 0
	c.mu.Unlock()
	if open {
		one.cancel()
	}
	if last && c.server.draining() {
		c.poke()
	}
	return open
}

// answer queues the final answer to a request.
func (c *conn) answer(id uint64, a router.Answer) error {
	switch a.Verdict {
	case router.Served:
		size := int64(len(a.Body))
		if !c.server.book(c, size) { // guards memory against clients that do not read
			return c.send(answer{parts: net.Buffers{appendError(nil, id, "Error", "reason", "too many answers wait")}})
		}
		head := appendBinHead(append(appendResult(nil, id), 0x92), len(a.Body))
		tail := appendFields(nil)
		if a.Same {
			tail = appendFields(nil, "keep", "1")
		}
		return c.send(answer{parts: net.Buffers{head, a.Body, tail}, size: size})
	case router.Refused:
		wait := strconv.FormatFloat(a.RetryAfter, 'f', 0, 64)
		return c.send(answer{parts: net.Buffers{appendError(nil, id, "Full", "cooldown", wait)}})
	default:
		return c.send(answer{parts: net.Buffers{appendError(nil, id, "Error")}})
	}
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
