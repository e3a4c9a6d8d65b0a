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

// openRequest is a request that has no response yet. Requests are compared by pointer, since a later request may have
// the same message id.
type openRequest struct{ cancel context.CancelFunc }

// encodedResponse is a response in the queue of a connection.
type encodedResponse struct {
	parts        net.Buffers
	reservedSize int64  // bytes of Server.MaxQueuedBytes reserved until the response is written
	discard      func() // called once the response is written or dropped; nil: nothing to do
}

// handleMessage handles one message. An error ends the connection. Request handlers run in goroutines that are started
// with the WaitGroup `handlers`, and have contexts derived from ctx.
func (c *conn) handleMessage(ctx context.Context, m message, arrivedAt float64, handlers *sync.WaitGroup) error {
	switch {
	case m.kind == kindNotification && m.method == methodCancel:
		c.cancel(m.params)
		return nil
	case m.kind == kindNotification:
		return nil
	case m.method == methodHealth:
		buf := appendBool(appendResultHeader(nil, m.id), c.server.IsReady())
		return c.enqueueBytes(appendFields(buf))
	}
	return c.handleRequest(ctx, m, arrivedAt, handlers)
}

// handleRequest starts the handler of a request, or queues an error response if the request is not accepted.
func (c *conn) handleRequest(ctx context.Context, m message, arrivedAt float64, handlers *sync.WaitGroup) error {
	server := c.server
	keyRequired, isKnown := server.lookupClass(m.method)
	if !isKnown {
		return c.enqueueBytes(appendError(nil, m.id, errorFailed, fieldReason, "unknown method"))
	}
	if m.incomplete {
		return c.reject(m, overloadRetryAfter)
	}
	request, err := parseRequest(m.method, m.params, keyRequired)
	if err != nil {
		server.recordFault(fmt.Errorf("request: %w", err))
		return c.enqueueBytes(appendError(nil, m.id, errorFailed, fieldReason, err.Error()))
	}
	if server.rejectsRequests() {
		return c.reject(m, drainRetryAfter)
	}
	c.handlerSlots <- struct{}{} // waits only for handlers of canceled requests, which return soon
	cost := int64(requestOverhead + bodyCopies*len(request.Body))
	requestCtx, open, err := c.registerRequest(ctx, m.id, cost)
	if open == nil {
		<-c.handlerSlots
	}
	if err != nil {
		return err
	}
	if open == nil {
		return c.reject(m, overloadRetryAfter)
	}
	request.ArrivedAt = arrivedAt
	request.ClientDeparted = func() bool { return c.clientDeparted(requestCtx) }
	handlers.Go(func() {
		defer func() { <-c.handlerSlots }()
		defer server.reserve(-cost)
		c.serveRequest(requestCtx, m.id, open, request)
	})
	return nil
}

// registerRequest registers a request as open and reserves its cost in bytes, which limits the memory of open requests.
// It returns a nil request if there is no capacity, and an error if a request with the same message id is open.
func (c *conn) registerRequest(ctx context.Context, id uint64, cost int64) (context.Context, *openRequest, error) {
	isReserved := c.server.reserve(cost)
	c.mu.Lock()
	_, isDuplicate := c.openRequests[id]
	if isReserved && !isDuplicate && len(c.openRequests) < maxOpenRequests {
		defer c.mu.Unlock()
		requestCtx, cancel := context.WithCancel(ctx)
		open := &openRequest{cancel: cancel}
		c.openRequests[id] = open
		return requestCtx, open, nil
	}
	c.mu.Unlock() // before reserve locks Server.mu, which must be locked first if both are held
	if isReserved {
		c.server.reserve(-cost)
	}
	if isDuplicate {
		return nil, nil, fmt.Errorf("%w: message id %d is already in use", errMalformed, id)
	}
	return nil, nil, nil
}

// serveRequest runs the handler of a request and queues its response. It queues none if the request was canceled or the
// outcome is NoResponse.
func (c *conn) serveRequest(ctx context.Context, id uint64, open *openRequest, request router.Request) {
	response := c.server.handle(ctx, request)
	c.addUnsentResponses(1) // prevents eviction of the connection before the response is queued
	defer c.addUnsentResponses(-1)
	if !c.closeRequest(id, open) || response.Outcome == router.NoResponse {
		response.Discard()
		return
	}
	if err := c.respond(id, response); err != nil {
		c.server.recordFault(err)
		c.close()
	}
}

// handle calls Handle. If Handle panics, it logs the panic and returns a failed response.
func (s *Server) handle(ctx context.Context, request router.Request) (response router.Response) {
	defer func() {
		if p := recover(); p != nil {
			response = router.Response{Outcome: router.Failed}
			s.Log.Error().Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).Msg("request handler panicked")
		}
	}()
	return s.Handle(ctx, request)
}

// cancel cancels the requests with the given message ids. They get no response.
func (c *conn) cancel(ids []any) {
	for _, v := range ids {
		id, ok := asUint64(v)
		if !ok {
			c.server.recordFault(errors.New("cancel: message id is not an unsigned integer"))
			continue
		}
		c.mu.Lock()
		open := c.openRequests[id]
		c.mu.Unlock()
		c.closeRequest(id, open)
	}
}

// closeRequest removes a request from the open ones and cancels its context. It returns true only for the first call
// with a request; only that caller may respond. A canceled request is closed again when its handler returns, and its id
// may belong to another request by then.
func (c *conn) closeRequest(id uint64, request *openRequest) bool {
	c.mu.Lock()
	isOpen := request != nil && c.openRequests[id] == request
	if isOpen {
		delete(c.openRequests, id)
	}
	isLast := len(c.openRequests) == 0
	c.mu.Unlock()
	if isOpen {
		request.cancel()
	}
	if isLast && c.server.closesConnections() {
		c.wake()
	}
	return isOpen
}

// reject queues a rejection. retryAfter is the time after which the client may retry, in milliseconds.
func (c *conn) reject(m message, retryAfter string) error {
	if c.server.OnRejected != nil {
		c.server.OnRejected(m.method)
	}
	return c.enqueueBytes(appendError(nil, m.id, errorRejected, fieldRetryAfter, retryAfter))
}

// respond queues the final response to a request.
func (c *conn) respond(id uint64, response router.Response) error {
	switch response.Outcome {
	case router.Served:
		return c.respondServed(id, response)
	case router.Rejected:
		retryAfter := strconv.FormatFloat(response.RetryAfter, 'f', 0, 64)
		return c.enqueueBytes(appendError(nil, id, errorRejected, fieldRetryAfter, retryAfter))
	}
	return c.enqueueBytes(appendError(nil, id, errorFailed))
}

// respondServed queues a response with a body. The body's size is reserved until it is written, which limits the memory
// for clients that do not read.
func (c *conn) respondServed(id uint64, response router.Response) error {
	size := int64(len(response.Body))
	if !c.awaitReservation(size) {
		response.Discard()
		return c.enqueueBytes(appendError(nil, id, errorFailed, fieldReason, "too many answers wait"))
	}
	header := appendBinaryHeader(appendResultHeader(nil, id), len(response.Body))
	var fields []byte
	if response.NotModified {
		fields = appendFields(nil, fieldNotModified, valueNotModified)
	} else {
		fields = appendFields(nil)
	}
	return c.enqueue(encodedResponse{
		parts:        net.Buffers{header, response.Body, fields},
		reservedSize: size,
		discard:      response.Release,
	})
}
