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
	if m.kind == kindNotification {
		if m.method == "cancel" {
			c.cancel(m.params)
		}
		return nil
	}
	if m.method == "health" {
		buf := append(appendResultHeader(nil, m.id), 0x92, 0xc2)
		if s.IsReady() {
			buf[len(buf)-1] = 0xc3
		}
		return c.enqueue(encodedResponse{parts: net.Buffers{appendFields(buf)}})
	}
	keyed, known := s.lookupClass(m.method)
	if !known {
		return c.enqueue(encodedResponse{parts: net.Buffers{appendError(nil, m.id, "Error", "reason", "unknown method")}})
	}
	q, err := parseRequest(m.method, m.params, keyed)
	if err != nil {
		s.recordFault(fmt.Errorf("request: %w", err))
		return c.enqueue(encodedResponse{parts: net.Buffers{appendError(nil, m.id, "Error", "reason", err.Error())}})
	}
	q.ArrivedAt = arrived
	if s.rejectsRequests() {
		return c.reject(m, drainRetryAfter)
	}
	cost := int64(requestOverhead + len(q.Body))
	reserved := s.reserve(cost) // bounds the memory of open requests
	c.mu.Lock()
	_, duplicate := c.openRequests[m.id]
	room := reserved && !duplicate && len(c.openRequests) < maxOpenRequests
	var one context.Context
	own := &openRequest{}
	if room {
		one, own.cancel = context.WithCancel(ctx)
		c.openRequests[m.id] = own
	}
	c.mu.Unlock()
	if reserved && !room {
		s.reserve(-cost)
	}
	switch {
	case duplicate:
		return fmt.Errorf("%w: message id %d is open already", errMalformed, m.id)
	case !room:
		return c.reject(m, overloadRetryAfter)
	}
	q.ClientDeparted = func() bool { return c.clientDeparted(one) }
	requests.Go(func() {
		defer s.reserve(-cost)
		a := s.handle(one, q)
		c.addUnsentResponses(1) // or the connection might be evicted before the answer is queued
		defer c.addUnsentResponses(-1)
		if c.closeRequest(m.id, own) && a.Outcome != router.NoResponse {
			if err := c.respond(m.id, a); err != nil {
				s.recordFault(err)
				c.netConn.Close()
			}
		}
	})
	return nil
}

// reject answers a request that is not accepted; cooldown is how long its client should stay away, in milliseconds.
func (c *conn) reject(m message, cooldown string) error {
	if c.server.OnRejected != nil {
		c.server.OnRejected(m.method)
	}
	return c.enqueue(encodedResponse{parts: net.Buffers{appendError(nil, m.id, "Full", "cooldown", cooldown)}})
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
		id, ok := asUint64(v)
		if !ok {
			c.server.recordFault(errors.New("cancel: no message id"))
			continue
		}
		c.mu.Lock()
		one := c.openRequests[id]
		c.mu.Unlock()
		c.closeRequest(id, one)
	}
}

// closeRequest removes a request from the open ones. It returns true once for each: that caller may answer. A request that was cancelled is finished a
// second time, when its id may belong to another.
func (c *conn) closeRequest(id uint64, one *openRequest) bool {
	c.mu.Lock()
	open := one != nil && c.openRequests[id] == one
	if open {
		delete(c.openRequests, id)
	}
	last := len(c.openRequests) == 0
	c.mu.Unlock()
	if open {
		one.cancel()
	}
	if last && c.server.closesConnections() {
		c.wake()
	}
	return open
}

// respond queues the final answer to a request.
func (c *conn) respond(id uint64, a router.Response) error {
	switch a.Outcome {
	case router.Served:
		size := int64(len(a.Body))
		if !c.server.reserveResponse(c, size) { // bounds the memory held by clients that do not read
			return c.enqueue(encodedResponse{parts: net.Buffers{appendError(nil, id, "Error", "reason", "too many answers wait")}})
		}
		head := appendBinaryHeader(append(appendResultHeader(nil, id), 0x92), len(a.Body))
		tail := appendFields(nil)
		if a.NotModified {
			tail = appendFields(nil, "keep", "1")
		}
		return c.enqueue(encodedResponse{parts: net.Buffers{head, a.Body, tail}, reservedSize: size})
	case router.Rejected:
		wait := strconv.FormatFloat(a.RetryAfter, 'f', 0, 64)
		return c.enqueue(encodedResponse{parts: net.Buffers{appendError(nil, id, "Full", "cooldown", wait)}})
	default:
		return c.enqueue(encodedResponse{parts: net.Buffers{appendError(nil, id, "Error")}})
	}
}
