package msgpackrpc

import (
	"context"
	"syscall"
	"time"
)

// A reader that lags behind its socket is waited for: up to maxSocketPeeks times socketPeekInterval. A reader waits for
// nothing but its client, so it has caught up after the first interval, unless bytes come faster than it reads or the
// process gets no processor time during each interval.
const (
	maxSocketPeeks     = 50
	socketPeekInterval = 200 * time.Microsecond
)

// socketState is what waits unread on a client's socket.
type socketState int

// The states of a socket.
const (
	socketEmpty socketState = iota
	socketHasData
	socketEnded // a close, a half-close or a reset
)

// clientDeparted reports whether the client of a request has left, also where its reader has not run since then: a
// router that is short of processor time finds the response of a server and the end of a client's stream at once, in
// no order. ctx is the request's. It may block for some milliseconds.
func (c *conn) clientDeparted(ctx context.Context) bool {
	for range maxSocketPeeks {
		if ctx.Err() != nil {
			return true
		}
		switch c.peekSocket() {
		case socketEmpty:
			return ctx.Err() != nil // what was read meanwhile counts
		case socketEnded:
			return true
		}
		time.Sleep(socketPeekInterval) // a cancel, or the end, may come behind these bytes
	}
	return ctx.Err() != nil
}

// peekSocket examines the socket without reading from it. Where that is not possible it finds the socket empty: the
// reader will find what there is.
func (c *conn) peekSocket() socketState {
	socket, ok := c.netConn.(syscall.Conn)
	if !ok {
		return socketEmpty
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return socketEmpty
	}
	state := socketEmpty
	err = raw.Control(func(fd uintptr) {
		var first [1]byte
		n, _, err := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = socketHasData
		case err == nil, err == syscall.ECONNRESET, err == syscall.EPIPE, err == syscall.ETIMEDOUT:
			state = socketEnded
		}
	})
	if err != nil { // closed on this side: the request was given up
		return socketEnded
	}
	return state
}
