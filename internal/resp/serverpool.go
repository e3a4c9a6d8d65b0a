package resp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"syscall"

	"spantack/internal/clock"
	"spantack/internal/router"
	"spantack/routing"
)

// serverPool holds the connections to one server. Its fields are guarded by Pools.mu.
type serverPool struct {
	pools   *Pools
	id      string
	addr    string
	conns   []*conn // open, in the order in which they came up
	dialing int     // connections that are not up yet
	retired bool    // the server left the endpoint list, or its address changed
}

// retire takes the pool off the list of servers and closes its idle connections; each of the others closes when the
// last attempt on it ends. Pools.mu is held.
func (p *serverPool) retire() {
	p.retired = true
	delete(p.pools.servers, p.id)
	for _, c := range slices.Clone(p.conns) {
		if len(c.attempts) == 0 {
			c.close()
		}
	}
}

// pick chooses the connection for an attempt; if that is nil, mayDial says whether to dial one. An idle connection
// comes first, since a large body holds up all responses behind it. Connections are shared once enough are open.
//
// The next attempt of a request that was given up goes to the connection with its DROP, or nowhere while that is full:
// the DROP must be read first, or two attempts would be out at once. An attempt with side effects keeps off connections
// on which another one of its request ended: that one's response may come twice, and would be taken as proof that this
// one never ran. Pools.mu is held.
func (p *serverPool) pick(attempt *router.Attempt) (best *conn, mayDial bool) {
	id := attempt.ID
	for _, c := range p.conns {
		if c.droppedAt[id] != 0 {
			if c.hasFreeStream() {
				return c, false
			}
			return nil, false
		}
		if attempt.HasSideEffects && c.unservedAt[id] != 0 {
			continue
		}
		if c.hasFreeStream() && len(c.queue) < queueCapacity/2 && (best == nil || c.isPreferredTo(best)) {
			best = c
		}
	}
	if best != nil && len(best.attempts) == 0 {
		return best, false
	}
	if len(p.conns)+p.dialing < maxConnsPerServer && p.pools.freeConnSlot(best == nil) {
		return nil, true
	}
	return best, false
}

// hasFreeStream reports whether the connection may take another attempt. Pools.mu is held.
func (c *conn) hasFreeStream() bool { return len(c.attempts) < c.pools().options.MaxStreams }

// isPreferredTo reports whether c has fewer attempts out than other, or as many and was used later. Pools.mu is held.
func (c *conn) isPreferredTo(other *conn) bool {
	if len(c.attempts) != len(other.attempts) {
		return len(c.attempts) < len(other.attempts)
	}
	return c.lastUsedAt > other.lastUsedAt
}

// dial opens a connection for an attempt and serves it until it ends.
func (p *serverPool) dial(first *pendingAttempt) {
	pools := p.pools
	dialer := net.Dialer{Timeout: clock.Duration(pools.options.DialTimeout)}
	netConn, err := dialer.DialContext(pools.ctx, "tcp", p.addr)
	if err != nil {
		p.dialFailed(first, err)
		return
	}
	c := p.add(netConn, first)
	stop := context.AfterFunc(pools.ctx, func() { netConn.Close() })
	defer stop()
	go c.write()
	c.read()
}

// dialFailed ends the attempt for which a connection was dialed: nothing was sent. It records a fault if the process
// is out of descriptors.
func (p *serverPool) dialFailed(first *pendingAttempt, err error) {
	p.pools.mu.Lock()
	defer p.pools.mu.Unlock()
	p.dialing--
	p.pools.connCount--
	first.finish(router.AttemptResult{Outcome: routing.OutcomeConnectionRefused})
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		p.pools.recordFault(p, fmt.Errorf("dial: %w", err))
	}
}

// add takes up a connection that was dialed, and puts the attempt on it that it was dialed for.
func (p *serverPool) add(netConn net.Conn, first *pendingAttempt) *conn {
	pools := p.pools
	pools.mu.Lock()
	defer pools.mu.Unlock()
	c := &conn{
		pool:       p,
		netConn:    netConn,
		queue:      make(chan command, queueCapacity),
		done:       make(chan struct{}),
		attempts:   map[string]*pendingAttempt{},
		droppedAt:  map[string]float64{},
		unservedAt: map[string]float64{},
		lastUsedAt: pools.clock.Now(),
	}
	p.dialing--
	p.conns = append(p.conns, c)
	switch {
	case pools.ctx.Err() != nil, p.retired: // another machine may be at the address by now
		first.finish(router.AttemptResult{Outcome: routing.OutcomeConnectionRefused})
		c.close()
	case !first.finished:
		c.enqueue(first)
	default: // its client left meanwhile
		c.closeWhenIdle()
	}
	return c
}
