// Package resp sends attempts to edge caches, parents and the origin. Commands and responses are RESP arrays of bulk
// strings. Each of the pooled connections carries several attempts at once, and responses arrive in any order.
package resp

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"spantack/internal/clock"
	"spantack/internal/memory"
	"spantack/internal/ratelog"
	"spantack/internal/router"
	"spantack/routing"
)

// Options are the limits of the pools, from the settings and the limits of the process. Times are milliseconds.
type Options struct {
	DialTimeout  float64
	IdleTimeout  float64 // idle time after which servers close a connection
	MaxStreams   int     // attempts in flight at once on one connection
	MaxConns     int     // total of connections to all servers
	MaxBodyBytes int64   // memory of all bodies from their arrival until they are written to clients; at least MaxBodySize
	MaxSendDelay float64 // an attempt is not sent later than this after its server was chosen; 0: no bound
}

// BytesPerConn is the memory, in bytes, of one connection without the bodies that are sent and received on it: the buffer of its
// reader, the queue of its writer, their stacks, and the strings of a response.
const BytesPerConn = 32 << 10

// Bounds of connections to servers; times are milliseconds.
const (
	// idleCloseShare is the fraction of IdleTimeout after which the pool closes an idle connection. It does so before the
	// server, since a close by the server could cross an attempt.
	idleCloseShare   = 0.8
	writeTimeout     = 2000 // limit for writing one command
	minWriteTimeout  = 20   // lower bound of the write timeout, also for an attempt with less time left to be sent
	queueCapacity    = 64   // commands that wait to be written on one connection
	dropWriteTimeout = 20   // how long Cancel waits until its DROP is written
	dropRetention    = 2000 // time to keep ids in droppedAt and unservedAt; a request's next attempt starts sooner
	// maxSilence is the time without a response after which a connection is closed if its only attempt is canceled.
	maxSilence        = 250
	stallTimeout      = 1000    // maximum time between two bytes of a response
	maxClockOffset    = 50      // between the clocks of the router and of the origin; the protocol's slack of times
	readBufferSize    = 4 << 10 // bytes
	maxConnsPerServer = 24      // connections to one server before attempts share them
)

// Pools holds the connections to all servers. It implements router.Upstream, and is safe for concurrent use. A server
// is identified by its id together with its address: addresses are reused, and an attempt in flight at the old machine
// must not be mistaken for one at the new machine.
type Pools struct {
	clock *clock.Clock
	log   zerolog.Logger
	ctx   context.Context // ends all connections

	bodies          *memory.Buffers // for the bodies of responses, from their arrival until they are written to clients
	timeouts        timeouts        // set before the first Send
	attemptsWritten atomic.Int64    // attempts passed to a socket in full

	mu         sync.Mutex             // guards the fields below, and those of serverPool, conn and pendingAttempt
	options    Options                // only MaxSendDelay changes; the others are read without the lock
	servers    map[string]*serverPool // by id; only those on the endpoint list
	connCount  int                    // connections open and being dialed
	faultCount int                    // malformed or contradicting responses, and dials that failed for lack of descriptors
	faultLog   ratelog.Limiter
	// bodyWaitCount is the number of bodies that had to wait for memory.
	bodyWaitCount int64
}

// timeouts bound the time of writes to servers, in milliseconds. Tests increase them.
type timeouts struct {
	write float64 // limit for writing one command
	drop  float64 // limit for the wait in Cancel until its DROP is written
}

// NewPools returns pools without servers. All connections are closed when ctx ends.
func NewPools(ctx context.Context, options Options, clock *clock.Clock, log zerolog.Logger) *Pools {
	return &Pools{
		options:  options,
		bodies:   memory.NewBuffers(max(options.MaxBodyBytes, MaxBodySize)),
		clock:    clock,
		log:      log,
		ctx:      ctx,
		timeouts: timeouts{write: writeTimeout, drop: dropWriteTimeout},
		servers:  map[string]*serverPool{},
	}
}

// SetMaxSendDelay sets Options.MaxSendDelay, in milliseconds. It also applies to attempts that are not written yet.
func (p *Pools) SetMaxSendDelay(ms float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.options.MaxSendDelay = ms
}

// Apply updates the servers and their addresses from an event of the endpoint list; purges are ignored. Attempts in
// flight at a server that left the list continue.
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

// retireUnlisted retires every server that a snapshot of the endpoint list does not contain. p.mu is held.
func (p *Pools) retireUnlisted(listed map[string]bool) {
	for id, server := range p.servers {
		if !listed[id] {
			server.retire()
		}
	}
}

// Send implements router.Upstream. An attempt ends as OutcomeSkipped, with nothing sent, if no connection has room for
// it or if its server has left the endpoint list since the server was chosen.
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

// makeRoomForConn reports whether a connection may be dialed. If MaxConns is reached and isNeeded is set, it closes the
// connection that has been idle for the longest time, so that a server without a usable connection can get one even if
// idle connections to other servers use up MaxConns. p.mu is held.
func (p *Pools) makeRoomForConn(isNeeded bool) bool {
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

// AttemptsWritten returns the number of attempts that were written to servers in full.
func (p *Pools) AttemptsWritten() int64 { return p.attemptsWritten.Load() }

// Stats describes pools: counts since their start, and the current reservation of memory.
type Stats struct {
	Faults    int   // malformed or contradicting responses, and dials that failed for lack of descriptors
	BodyBytes int64 // reserved part of Options.MaxBodyBytes
	BodyWaits int64 // bodies that had to wait for memory
}

// Stats returns the current statistics.
func (p *Pools) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Faults: p.faultCount, BodyBytes: p.bodies.Lent(), BodyWaits: p.bodyWaitCount}
}

// recordFault counts a fault of a server or of the system, and logs at most one per ratelog.Interval. p.mu is held.
func (p *Pools) recordFault(server *serverPool, err error) {
	p.faultCount++
	if p.faultLog.Allow(p.clock.Now()) {
		p.log.Warn().Err(err).Str("server", server.id).Int("faults", p.faultCount).Msg("upstream connection failed")
	}
}
