package msgpackrpc

import (
	"context"
	"syscall"
	"time"
)

// A reader that lags behind its socket is waited for: maxSocketPeeks times socketPeekInterval. It never waits for anything but its client, so that it
// has caught up after the first pause, unless bytes come faster than it reads or the process loses the processor during each pause.
const (
	maxSocketPeeks     = 50
	socketPeekInterval = 200 * time.Microsecond
)

// socketState is what waits unread on a client's socket.
type socketState int

const (
	socketEmpty socketState = iota
	socketHasData
	socketEnded // a close, a half-close or a reset
)

// clientDeparted tells whether the client of a request has left, also where its reader has not had the processor since then: a router that is short of
// processor time finds the answer of a server and the end of a client's stream at once, in no order. ctx is the request's.
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
		time.Sleep(socketPeekInterval) // a cancel, or the end, may stand behind these bytes
	}
	return ctx.Err() != nil
}

// peekSocket looks at the socket without reading from it. Where it can't look it finds nothing: the reader will.
func (c *conn) peekSocket() socketState {
	socket, ok := c.netConn.(syscall.Conn)
	if !ok {
		return socketEmpty
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return socketEmpty
	}
	found := socketEmpty
	err = raw.Control(func(fd uintptr) {
		var first [1]byte
		n, _, err := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			found = socketHasData
		case err == nil, err == syscall.ECONNRESET, err == syscall.EPIPE, err == syscall.ETIMEDOUT:
			found = socketEnded
		}
	})
	if err != nil { // closed on this side: the request was let go of
		return socketEnded
	}
	return found
}
