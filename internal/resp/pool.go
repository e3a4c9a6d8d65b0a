package resp

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"spantack/internal/clock"
	"spantack/internal/router"
	"spantack/rules"
)

// Options are the figures that the settings and limits give to the pools. Times are milliseconds.
type Options struct {
	DialTimeout float64
	IdleClose   float64 // the server closes a connection after so much idle time
	MaxStreams  int     // attempts at once on one connection
	MostConns   int     // connections to all servers together
	MostWait    float64 // an attempt not written so long after its choice must not be: drains and purges bind
}

const (
	idleShare   = 0.8  // of IdleClose, after which we close first: a close that crosses an attempt proves nothing
	writeLimit  = 2000 // ms for one command
	leastWrite  = 20   // ms for an attempt that is due at the last moment
	queueRoom   = 64   // commands waiting to be written on one connection
	dropPatient = 20   // ms to wait for a DROP to be written
	dropMemory  = 2000 // ms within which the next attempt of a dropped id would come
	silentFor   = 250  // ms without an answer after which a connection whose attempt was given up is no good
	stallLimit  = 1000 // ms within an answer without a further byte
	readBuffer  = 4 << 10
	connsEach   = 24 // connections to one server before they are shared
	logEvery    = 1000
)

// Pools hold the connections to every server, by the server's id and address: addresses are used again, and what
// was out at the old machine must not be mixed with the new one's.
type Pools struct {
	opt   Options
	clock *clock.Clock
	log   zerolog.Logger
	ctx   context.Context

	written atomic.Int64 // attempts put on a socket whole

	mu      sync.Mutex
	servers map[string]*pool // by id
	conns   int              // open and being opened
	faults  int              // streams closed for malformed answers
	logged  float64
}

// pool holds the connections to one server. Its fields are guarded by Pools.mu.
type pool struct {
	owner    *Pools
	id, addr string
	conns    []*conn
	opening  int
	closed   bool
}

// conn is one connection. Its fields are guarded by Pools.mu unless they say otherwise.
type conn struct {
	pool    *pool
	net     net.Conn
	queue   chan command
	gone    chan struct{} // closed with the connection
	calls   map[string]*call
	dropped map[string]float64 // when ids were given up here: their next attempt must follow on this connection
	ended   map[string]float64 // when attempts of these ids ended here unserved: an answer may come a second time
	idle    *clock.Timer
	used    float64
	heard   float64 // when the last answer came
	dead    bool
}

type command struct {
	text    []byte
	call    *call         // of a GET, which is written only while it is due
	written chan struct{} // closed once written; nil: nobody waits
	settles *call         // whose end may be told once this is written; nil: none
}

// call is one attempt. Its fields are guarded by Pools.mu.
type call struct {
	pools  *Pools
	try    router.Attempt
	chosen float64
	sent   float64
	conn   *conn       // nil until a connection takes it
	begun  bool        // the writer has begun on it: only now can an answer be its own
	whole  bool        // all of it was handed to the socket
	doubt  bool        // another attempt of its id ended on this connection: an answer may be that one's
	answer *router.End // to a call in doubt, told once what may be out for it was given up
	over   bool
	done   chan router.End
}

// NewPools returns pools without servers; ctx ends their connections.
func NewPools(ctx context.Context, opt Options, c *clock.Clock, log zerolog.Logger) *Pools {
	return &Pools{opt: opt, clock: c, log: log, ctx: ctx, servers: map[string]*pool{}}
}

// Retune takes new settings' time after which a drain or purge binds, for attempts that are not written yet too.
func (p *Pools) Retune(mostWait float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opt.MostWait = mostWait
}

// Apply keeps the addresses in step with the list of servers. Attempts out at a server that left go on.
func (p *Pools) Apply(n router.Notice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n.Purge != nil {
		return
	}
	listed := map[string]bool{}
	for _, s := range n.Servers {
		old := p.servers[s.ID]
		gone := s.Status == "deregistered"
		listed[s.ID] = !gone
		if old != nil && (gone || old.addr != s.Addr) {
			old.retire()
			old = nil
		}
		if old == nil && !gone {
			p.servers[s.ID] = &pool{owner: p, id: s.ID, addr: s.Addr}
		}
	}
	if !n.Whole {
		return
	}
	for id, old := range p.servers {
		if !listed[id] {
			old.retire()
		}
	}
}

// retire takes a pool off the list and closes what is idle in it; the rest closes when its last attempt ends.
func (l *pool) retire() {
	l.closed = true
	delete(l.owner.servers, l.id)
	for _, c := range append([]*conn(nil), l.conns...) {
		if len(c.calls) == 0 {
			c.close()
		}
	}
}

// Send puts an attempt to its server. Its end comes on the call's channel.
func (p *Pools) Send(try router.Attempt) router.Call {
	k := &call{pools: p, try: try, chosen: p.clock.Now(), done: make(chan router.End, 1)}
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.servers[try.Server]
	if l == nil { // it left the list between the choice and here: nothing was sent
		k.end(router.End{Code: rules.Skipped})
		return k
	}
	c, open := l.pick(&k.try)
	switch {
	case c != nil:
		c.start(k)
	case open:
		l.opening++
		p.conns++
		go l.open(k)
	default:
		k.end(router.End{Code: rules.Skipped})
	}
	return k
}

// pick chooses the connection for an attempt, or says to open one. An idle connection comes first, since a large
// body holds up all answers behind it; connections are shared only when enough are open. One with effects keeps off connections on which
// another attempt of its request ended: that one's answer may come a second time, and would tell that this one never ran.
func (l *pool) pick(try *router.Attempt) (best *conn, open bool) {
	id := try.ID
	for _, c := range l.conns {
		switch {
		case c.dropped[id] != 0 && len(c.calls) < l.owner.opt.MaxStreams:
			return c, false // its DROP must get there first, or two attempts would be out at once
		case c.dropped[id] != 0:
			return nil, false
		case try.Effects && c.ended[id] != 0:
		case len(c.calls) >= l.owner.opt.MaxStreams || len(c.queue) >= queueRoom/2:
		case best == nil || len(c.calls) < len(best.calls) || len(c.calls) == len(best.calls) && c.used > best.used:
			best = c
		}
	}
	if best != nil && len(best.calls) == 0 {
		return best, false
	}
	if len(l.conns)+l.opening < connsEach && l.owner.spare(best == nil) {
		return nil, true
	}
	return best, false
}

// spare tells whether a connection may be opened. In need it closes the one idle for longest: the connections that
// other servers once needed must not keep a server without any.
func (p *Pools) spare(need bool) bool {
	if p.conns < p.opt.MostConns || !need {
		return p.conns < p.opt.MostConns
	}
	var oldest *conn
	for _, l := range p.servers {
		for _, c := range l.conns {
			if len(c.calls) == 0 && (oldest == nil || c.used < oldest.used) {
				oldest = c
			}
		}
	}
	if oldest != nil {
		oldest.close()
	}
	return oldest != nil
}

// open dials for one attempt and serves the connection until it ends.
func (l *pool) open(k *call) {
	p := l.owner
	dialer := net.Dialer{Timeout: clock.Duration(p.opt.DialTimeout)}
	nc, err := dialer.DialContext(p.ctx, "tcp", l.addr)
	p.mu.Lock()
	l.opening--
	if err != nil {
		p.conns--
		k.end(router.End{Code: rules.Refused})
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			p.fault(l, fmt.Errorf("dial: %w", err))
		}
		p.mu.Unlock()
		return
	}
	c := &conn{pool: l, net: nc, queue: make(chan command, queueRoom), gone: make(chan struct{}),
		calls: map[string]*call{}, dropped: map[string]float64{}, ended: map[string]float64{}, used: p.clock.Now()}
	l.conns = append(l.conns, c)
	switch {
	case p.ctx.Err() != nil, l.closed: // it left the list while the connection came up: another machine may be there now
		k.end(router.End{Code: rules.Refused})
		c.close()
	case !k.over:
		c.start(k)
	default:
		c.rest()
	}
	p.mu.Unlock()
	stop := context.AfterFunc(p.ctx, func() { nc.Close() })
	defer stop()
	go c.write()
	c.read()
}

// start gives an attempt to a connection. Pools.mu is held.
func (c *conn) start(k *call) {
	select {
	case c.queue <- command{text: appendGet(nil, k.try), call: k}:
		k.conn = c
		c.calls[k.try.ID] = k
		k.sent = k.pools.clock.Now()
		k.doubt = c.dropped[k.try.ID] != 0 || c.ended[k.try.ID] != 0
		c.used = k.sent
		c.idle.Stop()
	default:
		k.end(router.End{Code: rules.Skipped})
	}
}

// rest arms the idle close when nothing is out on the connection. Pools.mu is held.
func (c *conn) rest() {
	if c.dead || len(c.calls) > 0 {
		return
	}
	if c.pool.closed {
		c.close()
		return
	}
	c.idle.Stop()
	var own *clock.Timer
	own = c.pool.owner.clock.AfterFunc(idleShare*c.pool.owner.opt.IdleClose, func() {
		c.pool.owner.mu.Lock()
		defer c.pool.owner.mu.Unlock()
		if len(c.calls) == 0 && c.idle == own { // not if it was used, and armed anew, while this waited for the lock
			c.close()
		}
	})
	c.idle = own
}

// close ends the connection and every attempt out on it. Pools.mu is held.
func (c *conn) close() {
	if c.dead {
		return
	}
	c.dead = true
	c.idle.Stop()
	close(c.gone)
	c.net.Close()
	c.pool.owner.conns--
	for i, o := range c.pool.conns {
		if o == c {
			c.pool.conns = append(c.pool.conns[:i], c.pool.conns[i+1:]...)
			break
		}
	}
	for _, k := range c.calls {
		switch {
		case !k.begun: // still in the queue: it never ran
			k.end(router.End{Code: rules.Refused})
		default:
			k.end(*cmp.Or(k.answer, &router.End{Code: rules.Reset}))
		}
	}
	clear(c.calls)
}

// end hands the attempt's end to whoever waits for it. Pools.mu is held.
func (k *call) end(e router.End) {
	if !k.over {
		k.over = true
		k.done <- e
	}
}

// Done implements router.Call.
func (k *call) Done() <-chan router.End { return k.done }

// Drop implements router.Call. An attempt on which the writer has not begun is taken back: the server never hears of it.
// For others Drop waits for the DROP to be written, and closes a connection on which nothing was heard since the attempt
// went out: a machine that is cut off reads no DROP, but the close gives up all that is open on it. Both guard the rule
// that a request has one attempt out at a time, since its next one may go anywhere. A DROP that can't be written soon,
// behind a write that is stuck, is no word to rely on: the connection is closed where another attempt may follow, and
// where the attempt itself is stuck, since it must not arrive after it was given up. Else, where no attempt can follow,
// the connection stays unless it has been silent for a while: a client in a hurry tells nothing of it.
func (k *call) Drop(again bool) {
	p := k.pools
	p.mu.Lock()
	c := k.conn
	if k.over || c == nil || c.dead {
		k.over = true
		p.mu.Unlock()
		return
	}
	k.over = true
	delete(c.calls, k.try.ID)
	if !k.begun {
		c.rest()
		p.mu.Unlock()
		return
	}
	now := p.clock.Now()
	written := make(chan struct{})
	c.giveUp(k.try.ID, command{written: written})
	p.mu.Unlock()

	patient := time.NewTimer(clock.Duration(dropPatient))
	defer patient.Stop()
	stuck := false
	select {
	case <-written:
	case <-c.gone:
	case <-patient.C:
		stuck = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	silent := c.heard < k.sent && (again || len(c.calls) == 0 && now-k.sent > silentFor)
	if silent || stuck && (again || !k.whole) {
		c.close()
	}
	c.rest()
}

// giveUp queues the DROP of an id. Pools.mu is held.
func (c *conn) giveUp(id string, m command) {
	c.note(c.dropped, id)
	m.text = AppendArray(nil, []byte("DROP"), []byte(id))
	select {
	case c.queue <- m:
	default: // a connection that takes nothing more is no good: its end gives up all that is out on it
		c.close()
	}
}

// note keeps an id and forgets those that are too old to matter. Pools.mu is held.
func (c *conn) note(ids map[string]float64, id string) {
	now := c.pool.owner.clock.Now()
	maps.DeleteFunc(ids, func(_ string, at float64) bool { return now-at > dropMemory })
	ids[id] = now
}

// left is how long the attempt may still take to go out, in milliseconds. It guards the rules on drains and purges told since
// the choice of its server, and that on effects: a repeat must not leave once its class no longer drops repeats. Pools.mu is held.
func (k *call) left() float64 {
	most := math.Inf(1)
	for _, limit := range []float64{k.pools.opt.MostWait, k.try.Within} {
		if limit > 0 {
			most = min(most, limit)
		}
	}
	return most - (k.pools.clock.Now() - k.chosen)
}

// due tells whether an attempt may still be written, and how long that may take: one that waited too long for its connection is not
// sent, which proves that nothing ran, and one of which no byte went out must not begin to go out too late.
func (c *conn) due(k *call) (wait float64, ok bool) {
	p := c.pool.owner
	p.mu.Lock()
	defer p.mu.Unlock()
	left := k.left()
	if !k.over && left < 0 {
		delete(c.calls, k.try.ID)
		k.end(router.End{Code: rules.Refused})
		c.rest()
	}
	k.begun = !k.over
	if k.begun {
		delete(c.dropped, k.try.ID) // the DROP is written
	}
	return min(max(left, leastWrite), writeLimit), k.begun
}

// write puts queued commands on the socket, each within a bounded time.
func (c *conn) write() {
	for {
		select {
		case <-c.gone:
			return
		case m := <-c.queue:
			wait := float64(writeLimit)
			if m.call != nil {
				var ok bool
				if wait, ok = c.due(m.call); !ok {
					continue
				}
			}
			c.net.SetWriteDeadline(clock.Deadline(wait))
			_, err := c.net.Write(m.text)
			if m.written != nil {
				close(m.written)
			}
			c.wrote(m, err)
			if err != nil {
				c.fail(err)
				return
			}
		}
	}
}

// wrote books a command that is on the socket, or with an error one that is not whole there: what did not come whole to a
// server never ran.
func (c *conn) wrote(m command, err error) {
	p := c.pool.owner
	p.mu.Lock()
	defer p.mu.Unlock()
	switch k := m.call; {
	case k != nil && err == nil:
		k.whole = true
		p.written.Add(1)
	case k != nil && !k.over:
		delete(c.calls, k.try.ID)
		k.end(router.End{Code: rules.Refused})
	}
	if k := m.settles; k != nil && c.calls[k.try.ID] == k {
		delete(c.calls, k.try.ID)
		k.end(*k.answer)
		c.rest()
	}
}

// Written is how many attempts were written whole to servers.
func (p *Pools) Written() int64 { return p.written.Load() }

// steady is a connection that must go on with what it has begun: after each read the next bytes are due soon. It
// guards against answers that stop short on a connection that stays open, and hold up all that is out on it.
type steady struct{ net.Conn }

func (s *steady) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	s.Conn.SetReadDeadline(clock.Deadline(stallLimit))
	return n, err
}

// read takes answers to their calls until the stream ends.
func (c *conn) read() {
	in := bufio.NewReaderSize(&steady{Conn: c.net}, readBuffer)
	for {
		c.net.SetReadDeadline(time.Time{}) // the first byte may take as long as its attempt
		_, err := in.Peek(1)
		c.net.SetReadDeadline(clock.Deadline(stallLimit)) // also where it came with the answer before
		var parts [][]byte
		if err == nil {
			parts, err = ReadArray(in)
		}
		var id string
		var end router.End
		if err == nil {
			id, end, err = parseAnswer(parts)
		}
		if err != nil {
			c.fail(err)
			return
		}
		p := c.pool.owner
		p.mu.Lock()
		if k := c.calls[id]; k != nil && k.begun && k.answer == nil {
			if end.Same && k.try.Have == "" { // it can't be this request's: nothing on the stream can be trusted
				p.mu.Unlock()
				c.fail(fmt.Errorf("%w: SAME for a client without a copy", errMalformed))
				return
			}
			if made := end.Made; !k.doubt || made == 0 || k.try.MaxAge == 0 || p.clock.Now()-made <= k.try.MaxAge {
				c.answered(k, end)
			} // else another attempt's, which took an older copy: this one's is to come
		}
		c.heard = p.clock.Now()
		c.used = c.heard
		c.rest()
		p.mu.Unlock()
	}
}

// answered ends a call. If another attempt of its id ended on this connection, the answer may be that one's, second or
// late, and this attempt still be out: it is given up first, or two would be out at once. Pools.mu is held.
func (c *conn) answered(k *call, end router.End) {
	id := k.try.ID
	if end.Code != rules.Done {
		c.note(c.ended, id)
	}
	switch {
	case !k.doubt:
		delete(c.calls, id)
		k.end(end)
	case end.Code == rules.Done: // it is its request's: nobody has to wait
		delete(c.calls, id)
		k.end(end)
		c.giveUp(id, command{})
	default:
		k.answer = &end
		c.giveUp(id, command{settles: k})
	}
}

// fail closes the connection, and says so if the other side is at fault.
func (c *conn) fail(err error) {
	p := c.pool.owner
	p.mu.Lock()
	defer p.mu.Unlock()
	if errors.Is(err, errMalformed) {
		p.fault(c.pool, err)
	}
	c.close()
}

// fault counts what should not happen, and logs it at most once a second. Pools.mu is held.
func (p *Pools) fault(l *pool, err error) {
	p.faults++
	if now := p.clock.Now(); now-p.logged >= logEvery {
		p.logged = now
		p.log.Warn().Err(err).Str("server", l.id).Int("faults", p.faults).Msg("upstream connection closed")
	}
}
