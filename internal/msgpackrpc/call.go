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

// handleMessage handles one message; an error ends the connection.
func (c *conn) handleMessage(ctx context.Context, m message, arrived float64, requests *sync.WaitGroup) error {
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
		return c.enqueue(answer{parts: net.Buffers{appendFields(buf)}})
	}
	keyed, known := s.lookupClass(m.method)
	if !known {
		return c.enqueue(answer{parts: net.Buffers{appendError(nil, m.id, "Error", "reason", "unknown method")}})
	}
	q, err := parseRequest(m.method, m.params, keyed)
	if err != nil {
		s.recordFault(fmt.Errorf("request: %w", err))
		return c.enqueue(answer{parts: net.Buffers{appendError(nil, m.id, "Error", "reason", err.Error())}})
	}
	q.ArrivedAt = arrived
	if s.refusesRequests() {
		return c.refuse(m, drainCooldown)
	}
	cost := int64(requestCost + len(q.Body))
	reserved := s.reserve(cost) // bounds the memory of open requests
	c.mu.Lock()
	_, duplicate := c.open[m.id]
	room := reserved && !duplicate && len(c.open) < maxOpen
	var one context.Context
	own := &openRequest{}
	if room {
		one, own.cancel = context.WithCancel(ctx)
		c.open[m.id] = own
	}
	c.mu.Unlock()
	if reserved && !room {
		s.reserve(-cost)
	}
	switch {
	case duplicate:
		return fmt.Errorf("%w: message id %d is open already", errMalformed, m.id)
	case !room:
		return c.refuse(m, fullCooldown)
	}
	q.ClientDeparted = func() bool { return c.departed(one) }
	requests.Go(func() {
		defer s.reserve(-cost)
		a := s.handle(one, q)
		c.addUnsent(1) // or the connection might be evicted before the answer is queued
		defer c.addUnsent(-1)
		if c.finish(m.id, own) && a.Outcome != router.NoResponse {
			if err := c.answer(m.id, a); err != nil {
				s.recordFault(err)
				c.net.Close()
			}
		}
	})
	return nil
}

// refuse answers a request that is not accepted; cooldown is how long its client should stay away, in milliseconds.
func (c *conn) refuse(m message, cooldown string) error {
	if c.server.OnRefused != nil {
		c.server.OnRefused(m.method)
	}
	return c.enqueue(answer{parts: net.Buffers{appendError(nil, m.id, "Full", "cooldown", cooldown)}})
}

// handle calls Handle and turns a panic into a failed answer.
func (s *Server) handle(ctx context.Context, q router.Request) (a router.Response) {
	defer func() {
		if p := recover(); p != nil {
			a = router.Response{Outcome: router.Failed}
			s.Log.Error().Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).Msg("request failed")
		}
	}()
	return s.Handle(ctx, q)
}

// cancel ends requests that the client cancelled; none of them is answered.
func (c *conn) cancel(ids []any) {
	for _, v := range ids {
		id, ok := toUint(v)
		if !ok {
			c.server.recordFault(errors.New("cancel: no message id"))
			continue
		}
		c.mu.Lock()
		one := c.open[id]
		c.mu.Unlock()
		c.finish(id, one)
	}
}

// finish removes a request from the open ones. It returns true once for each: that caller may answer. A request that was cancelled is finished a
// second time, when its id may belong to another.
func (c *conn) finish(id uint64, one *openRequest) bool {
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
	if last && c.server.closesConnections() {
		c.wake()
	}
	return open
}

// answer queues the final answer to a request.
func (c *conn) answer(id uint64, a router.Response) error {
	switch a.Outcome {
	case router.Served:
		size := int64(len(a.Body))
		if !c.server.reserveAnswer(c, size) { // bounds the memory held by clients that do not read
			return c.enqueue(answer{parts: net.Buffers{appendError(nil, id, "Error", "reason", "too many answers wait")}})
		}
		head := appendBinHead(append(appendResult(nil, id), 0x92), len(a.Body))
		tail := appendFields(nil)
		if a.NotModified {
			tail = appendFields(nil, "keep", "1")
		}
		return c.enqueue(answer{parts: net.Buffers{head, a.Body, tail}, size: size})
	case router.Rejected:
		wait := strconv.FormatFloat(a.RetryAfter, 'f', 0, 64)
		return c.enqueue(answer{parts: net.Buffers{appendError(nil, id, "Full", "cooldown", wait)}})
	default:
		return c.enqueue(answer{parts: net.Buffers{appendError(nil, id, "Error")}})
	}
}
