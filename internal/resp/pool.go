package resp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/rs/zerolog"

	"spantack/internal/clock"
	"spantack/internal/router"
	"spantack/routing"
)

// Options are the figures that the settings and limits give to the pools. Times are milliseconds.
type Options struct {
	DialTimeout  float64
	IdleTimeout  float64 // the server closes a connection after so much idle time
	MaxStreams   int     // attempts at once on one connection
	MaxConns     int     // connections to all servers together
	MaxSendDelay float64 // an attempt not written so long after its choice must not be: drains and purges bind
}

const (
	idleCloseShare    = 0.8  // of IdleTimeout, after which we close first: a close that crosses an attempt proves nothing
	writeTimeout      = 2000 // ms for one command
	minWriteTimeout   = 20   // ms for an attempt that is due at the last moment
	queueCapacity     = 64   // commands waiting to be written on one connection
	dropWriteTimeout  = 20   // ms to wait for a DROP to be written
	dropRetention     = 2000 // ms within which the next attempt of a dropped id would come
	maxSilence        = 250  // ms without an answer after which a connection whose attempt was given up is no good
	stallTimeout      = 1000 // ms within an answer without a further byte
	readBufferSize    = 4 << 10
	maxConnsPerServer = 24 // connections to one server before they are shared
	logInterval       = 1000
)

// Pools hold the connections to every server, by the server's id and address: addresses are used again, and what
// was out at the old machine must not be mixed with the new one's.
type Pools struct {
	options Options
	clock   *clock.Clock
	log     zerolog.Logger
	ctx     context.Context

	timeouts        timeouts     // set at the start
	attemptsWritten atomic.Int64 // attempts put on a socket whole

	mu         sync.Mutex
	servers    map[string]*pool // by id
	connCount  int              // open and being opened
	faultCount int              // streams closed for malformed answers
	loggedAt   float64
}

// timeouts bound writes to servers, in milliseconds.
type timeouts struct {
	write float64 // of one command
	drop  float64 // of the wait for a DROP to be written
}

// pool holds the connections to one server. Its fields are guarded by Pools.mu.
type pool struct {
	pools    *Pools
	id, addr string
	conns    []*conn
	dialing  int
	closed   bool
}

// NewPools returns pools without servers; ctx ends their connections.
func NewPools(ctx context.Context, opt Options, c *clock.Clock, log zerolog.Logger) *Pools {
	return &Pools{options: opt, clock: c, log: log, ctx: ctx, timeouts: timeouts{writeTimeout, dropWriteTimeout}, servers: map[string]*pool{}}
}

// SetMaxSendDelay takes new settings' time after which a drain or purge binds, for attempts that are not written yet too.
func (p *Pools) SetMaxSendDelay(maxWait float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.options.MaxSendDelay = maxWait
}

// Apply keeps the addresses in step with the list of servers. Attempts out at a server that left go on.
func (p *Pools) Apply(n router.WatchEvent) {
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
			p.servers[s.ID] = &pool{pools: p, id: s.ID, addr: s.Addr}
		}
	}
	if !n.IsSnapshot {
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
	delete(l.pools.servers, l.id)
	for _, c := range append([]*conn(nil), l.conns...) {
		if len(c.attempts) == 0 {
			c.close()
		}
	}
}

// Send puts an attempt to its server. Its end comes on the call's channel.
func (p *Pools) Send(try router.Attempt) router.PendingAttempt {
	k := &pendingAttempt{pools: p, attempt: try, chosenAt: p.clock.Now(), result: make(chan router.AttemptResult, 1)}
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.servers[try.Server]
	if l == nil { // it left the list between the choice and here: nothing was sent
		k.finish(router.AttemptResult{Outcome: routing.OutcomeSkipped})
		return k
	}
	c, open := l.pick(&k.attempt)
	switch {
	case c != nil:
		c.enqueue(k)
	case open:
		l.dialing++
		p.connCount++
		go l.dial(k)
	default:
		k.finish(router.AttemptResult{Outcome: routing.OutcomeSkipped})
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
		case c.droppedAt[id] != 0 && len(c.attempts) < l.pools.options.MaxStreams:
			return c, false // its DROP must get there first, or two attempts would be out at once
		case c.droppedAt[id] != 0:
			return nil, false
		case try.HasSideEffects && c.unservedAt[id] != 0:
		case len(c.attempts) >= l.pools.options.MaxStreams || len(c.queue) >= queueCapacity/2:
		case best == nil || len(c.attempts) < len(best.attempts) || len(c.attempts) == len(best.attempts) && c.lastUsedAt > best.lastUsedAt:
			best = c
		}
	}
	if best != nil && len(best.attempts) == 0 {
		return best, false
	}
	if len(l.conns)+l.dialing < maxConnsPerServer && l.pools.mayOpen(best == nil) {
		return nil, true
	}
	return best, false
}

// mayOpen tells whether a connection may be opened. In need it closes the one idle for longest: the connections that
// other servers once needed must not keep a server without any.
func (p *Pools) mayOpen(need bool) bool {
	if p.connCount < p.options.MaxConns || !need {
		return p.connCount < p.options.MaxConns
	}
	var oldest *conn
	for _, l := range p.servers {
		for _, c := range l.conns {
			if len(c.attempts) == 0 && (oldest == nil || c.lastUsedAt < oldest.lastUsedAt) {
				oldest = c
			}
		}
	}
	if oldest != nil {
		oldest.close()
	}
	return oldest != nil
}

// dial dials for one attempt and serves the connection until it ends.
func (l *pool) dial(k *pendingAttempt) {
	p := l.pools
	dialer := net.Dialer{Timeout: clock.Duration(p.options.DialTimeout)}
	nc, err := dialer.DialContext(p.ctx, "tcp", l.addr)
	p.mu.Lock()
	l.dialing--
	if err != nil {
		p.connCount--
		k.finish(router.AttemptResult{Outcome: routing.OutcomeConnectionRefused})
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			p.recordFault(l, fmt.Errorf("dial: %w", err))
		}
		p.mu.Unlock()
		return
	}
	c := &conn{pool: l, netConn: nc, queue: make(chan command, queueCapacity), done: make(chan struct{}),
		attempts: map[string]*pendingAttempt{}, droppedAt: map[string]float64{}, unservedAt: map[string]float64{}, lastUsedAt: p.clock.Now()}
	l.conns = append(l.conns, c)
	switch {
	case p.ctx.Err() != nil, l.closed: // it left the list while the connection came up: another machine may be there now
		k.finish(router.AttemptResult{Outcome: routing.OutcomeConnectionRefused})
		c.close()
	case !k.finished:
		c.enqueue(k)
	default:
		c.closeWhenIdle()
	}
	p.mu.Unlock()
	stop := context.AfterFunc(p.ctx, func() { nc.Close() })
	defer stop()
	go c.write()
	c.read()
}

// AttemptsWritten is how many attempts were written whole to servers.
func (p *Pools) AttemptsWritten() int64 { return p.attemptsWritten.Load() }

// recordFault counts what should not happen, and logs it at most once a second. Pools.mu is held.
func (p *Pools) recordFault(l *pool, err error) {
	p.faultCount++
	if now := p.clock.Now(); now-p.loggedAt >= logInterval {
		p.loggedAt = now
		p.log.Warn().Err(err).Str("server", l.id).Int("faults", p.faultCount).Msg("upstream connection closed")
	}
}
