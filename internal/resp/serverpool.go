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
	conns   []*conn // open, in the order in which they were established
	dialing int     // connections that are not established yet
	retired bool    // the server left the endpoint list, or its address changed
}

// retire removes the pool from Pools.servers and closes its idle connections; each of the others closes when the last
// attempt on it ends. Pools.mu is held.
func (p *serverPool) retire() {
	p.retired = true
	delete(p.pools.servers, p.id)
	for _, c := range slices.Clone(p.conns) {
		if len(c.attempts) == 0 {
			c.close()
		}
	}
}

// pick returns the best connection for an attempt. If there is none, best is nil, and mayDial reports whether to dial a
// new connection. An idle connection is preferred, since a large body blocks all responses behind it. Connections are
// shared once maxConnsPerServer or Options.MaxConns is reached.
//
// After an attempt was canceled, the next attempt of its request uses the connection on which the DROP was queued;
// while that connection is full, the next attempt gets no connection. The server must read the DROP first, or two
// attempts would be in flight at once. An attempt with side effects avoids connections on which another attempt of its
// request ended unserved. The response to that other attempt may arrive a second time. If it were mistaken for the
// response to this attempt, this attempt would count as not run.
//
// A connection whose queue is at least half full gets no other attempts, so that DROPs can still be queued: a full
// queue closes the connection (see queueDrop). Pools.mu is held.
func (p *serverPool) pick(attempt *router.Attempt) (best *conn, mayDial bool) {
	id := attempt.ID
	for _, c := range p.conns {
		if c.droppedAt[id] != 0 {
			if c.hasCapacity() {
				return c, false
			}
			return nil, false
		}
		if attempt.HasSideEffects && c.unservedAt[id] != 0 {
			continue
		}
		if c.hasCapacity() && len(c.queue) < queueCapacity/2 && (best == nil || c.isPreferredTo(best)) {
			best = c
		}
	}
	if best != nil && len(best.attempts) == 0 {
		return best, false
	}
	if len(p.conns)+p.dialing < maxConnsPerServer && p.pools.makeRoomForConn(best == nil) {
		return nil, true
	}
	return best, false
}

// hasCapacity reports whether the connection may carry one more attempt. Pools.mu is held.
func (c *conn) hasCapacity() bool { return len(c.attempts) < c.pools().options.MaxStreams }

// isPreferredTo reports whether c has fewer attempts in flight than other, or equally many and was used more
// recently. Pools.mu is held.
func (c *conn) isPreferredTo(other *conn) bool {
	if len(c.attempts) != len(other.attempts) {
		return len(c.attempts) < len(other.attempts)
	}
	return c.lastUsedAt > other.lastUsedAt
}

// dial opens a connection for an attempt, and runs its reader and writer until it is closed.
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

// dialFailed ends the attempt for which a connection was dialed, with OutcomeConnectionRefused: nothing was sent. It
// records a fault if the process or the system has no free descriptors.
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

// add adds a dialed connection to the pool, and queues on it the attempt for which it was dialed.
func (p *serverPool) add(netConn net.Conn, first *pendingAttempt) *conn {
	pools := p.pools
	pools.mu.Lock()
	defer pools.mu.Unlock()
	ctx, cancel := context.WithCancel(pools.ctx)
	c := &conn{
		pool:       p,
		netConn:    netConn,
		queue:      make(chan command, queueCapacity),
		ctx:        ctx,
		cancel:     cancel,
		attempts:   map[string]*pendingAttempt{},
		droppedAt:  map[string]float64{},
		unservedAt: map[string]float64{},
		lastUsedAt: pools.clock.Now(),
	}
	p.dialing--
	p.conns = append(p.conns, c)
	switch {
	case pools.ctx.Err() != nil, p.retired: // another machine may have the address by now
		first.finish(router.AttemptResult{Outcome: routing.OutcomeConnectionRefused})
		c.close()
	case !first.finished:
		c.enqueue(first)
	default: // the attempt was canceled meanwhile
		c.closeWhenIdle()
	}
	return c
}
