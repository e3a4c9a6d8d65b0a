package msgpackrpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"strconv"
	"sync"

	"spantack/internal/router"
)

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
	q.Departed = func() bool { return c.departed(one) }
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
