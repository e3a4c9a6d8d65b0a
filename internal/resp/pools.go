// Package resp sends attempts to edge caches, parents and the origin. Commands and responses are RESP arrays of bulk
// strings, over pooled connections that carry many attempts each; responses come in any order.
package resp

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"spantack/internal/clock"
	"spantack/internal/ratelog"
	"spantack/internal/router"
	"spantack/routing"
)

// Options are the figures that the settings and the process's limits give to the pools. Times are milliseconds.
type Options struct {
	DialTimeout  float64
	IdleTimeout  float64 // servers close a connection that has been idle for so long
	MaxStreams   int     // attempts out at once on one connection
	MaxConns     int     // connections to all servers together
	MaxSendDelay float64 // an attempt that was not written so long after its choice is not sent; 0: no bound
}

// Bounds of connections to servers; times are milliseconds.
const (
	idleCloseShare    = 0.8     // of IdleTimeout: closing before the server does, so that its close crosses no attempt
	writeTimeout      = 2000    // for one command
	minWriteTimeout   = 20      // for an attempt that is due at the last moment
	queueCapacity     = 64      // commands waiting to be written on one connection
	dropWriteTimeout  = 20      // for a DROP to be written while its Cancel waits
	dropRetention     = 2000    // within which the next attempt of a dropped id would come
	maxSilence        = 250     // without a response, after which a connection whose attempt was given up is closed
	stallTimeout      = 1000    // within a response, without a further byte
	readBufferSize    = 4 << 10 // bytes
	maxConnsPerServer = 24      // connections to one server before attempts share them
)

// Pools holds the connections to all servers. It implements router.Upstream, and is safe for concurrent use. A server
// is an id together with an address: addresses are used again, and what was out at the old machine must not be mixed
// with what is out at the new one.
type Pools struct {
	clock *clock.Clock
	log   zerolog.Logger
	ctx   context.Context // ends all connections

	timeouts        timeouts     // set before the first Send
	attemptsWritten atomic.Int64 // attempts handed to a socket in full

	mu         sync.Mutex             // guards all below, and the fields of pools, connections and attempts
	options    Options                // only MaxSendDelay changes: the others are read without the lock
	servers    map[string]*serverPool // by id; only those on the endpoint list
	connCount  int                    // connections open and being dialed
	faultCount int                    // responses that were malformed, and dials without a free descriptor
	faultLog   ratelog.Limiter
}

// timeouts bound writes to servers, in milliseconds. Tests lengthen them.
type timeouts struct {
	write float64 // of one command
	drop  float64 // of a Cancel's wait for its DROP to be written
}

// NewPools returns pools without servers. The end of ctx closes their connections.
func NewPools(ctx context.Context, options Options, clock *clock.Clock, log zerolog.Logger) *Pools {
	return &Pools{
		options:  options,
		clock:    clock,
		log:      log,
		ctx:      ctx,
		timeouts: timeouts{write: writeTimeout, drop: dropWriteTimeout},
		servers:  map[string]*serverPool{},
	}
}

// SetMaxSendDelay replaces Options.MaxSendDelay, for attempts that are not written yet too.
func (p *Pools) SetMaxSendDelay(ms float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.options.MaxSendDelay = ms
}

// Apply keeps the addresses in step with the endpoint list. Attempts out at a server that left the list go on.
func (p *Pools) Apply(event router.WatchEvent) {
	if event.Purge != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[string]bool{}
	for _, server := range event.Servers {
		isListed := server.Status != routing.EndpointRemoved
		listed[server.ID] = isListed
		known := p.servers[server.ID]
		if known != nil && isListed && known.addr == server.Addr {
			continue
		}
		if known != nil {
			known.retire()
		}
		if isListed {
			p.servers[server.ID] = &serverPool{pools: p, id: server.ID, addr: server.Addr}
		}
	}
	if event.IsSnapshot {
		p.retireUnlisted(listed)
	}
}

// retireUnlisted retires every server that a snapshot of the endpoint list left out. p.mu is held.
func (p *Pools) retireUnlisted(listed map[string]bool) {
	for id, server := range p.servers {
		if !listed[id] {
			server.retire()
		}
	}
}

// Send implements router.Upstream. An attempt that finds no room, or whose server left the list since it was chosen,
// ends as OutcomeSkipped: nothing was sent.
func (p *Pools) Send(attempt router.Attempt) router.PendingAttempt {
	pending := &pendingAttempt{
		pools:    p,
		attempt:  attempt,
		chosenAt: p.clock.Now(),
		result:   make(chan router.AttemptResult, 1),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	server := p.servers[attempt.Server]
	if server == nil {
		pending.finish(router.AttemptResult{Outcome: routing.OutcomeSkipped})
		return pending
	}
	conn, mayDial := server.pick(&pending.attempt)
	switch {
	case conn != nil:
		conn.enqueue(pending)
	case mayDial:
		server.dialing++
		p.connCount++
		go server.dial(pending)
	default:
		pending.finish(router.AttemptResult{Outcome: routing.OutcomeSkipped})
	}
	return pending
}

// freeConnSlot reports whether a connection may be dialed. If isNeeded is set and all slots are taken, it closes the
// connection that has been idle for longest: a server without any must not wait for those that others no longer use.
// p.mu is held.
func (p *Pools) freeConnSlot(isNeeded bool) bool {
	if p.connCount < p.options.MaxConns {
		return true
	}
	if !isNeeded {
		return false
	}
	var oldest *conn
	for _, server := range p.servers {
		for _, c := range server.conns {
			if len(c.attempts) == 0 && (oldest == nil || c.lastUsedAt < oldest.lastUsedAt) {
				oldest = c
			}
		}
	}
	if oldest == nil {
		return false
	}
	oldest.close()
	return true
}

// AttemptsWritten is the number of attempts that were written to servers in full.
func (p *Pools) AttemptsWritten() int64 { return p.attemptsWritten.Load() }

// recordFault counts a fault of a server or of the system, and logs at most one per ratelog.Interval. p.mu is held.
func (p *Pools) recordFault(server *serverPool, err error) {
	p.faultCount++
	if p.faultLog.Allow(p.clock.Now()) {
		p.log.Warn().Err(err).Str("server", server.id).Int("faults", p.faultCount).Msg("upstream connection closed")
	}
}
