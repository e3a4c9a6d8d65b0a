package msgpackrpc

import (
	"context"
	"syscall"
	"time"
)

// A reader that lags behind its socket is waited for: behindTries times behindPause. It never waits for anything but its client, so that it
// has caught up after the first pause, unless bytes come faster than it reads or the process loses the processor during each pause.
const (
	behindTries = 50
	behindPause = 200 * time.Microsecond
)

// received is what waits unread on a client's socket.
type received int

const (
	nothingReceived received = iota
	moreReceived
	endReceived // a close, a half-close or a reset
)

// departed tells whether the client of a request has left, also where its reader has not had the processor since then: a router that is short of
// processor time finds the answer of a server and the end of a client's stream at once, in no order. ctx is the request's.
func (c *conn) departed(ctx context.Context) bool {
	for range behindTries {
		if ctx.Err() != nil {
			return true
		}
		switch c.waiting() {
		case nothingReceived:
			return ctx.Err() != nil // what was read meanwhile counts
		case endReceived:
			return true
		}
		time.Sleep(behindPause) // a cancel, or the end, may stand behind these bytes
	}
	return ctx.Err() != nil
}

// waiting looks at the socket without reading from it. Where it can't look it finds nothing: the reader will.
func (c *conn) waiting() received {
	socket, ok := c.net.(syscall.Conn)
	if !ok {
		return nothingReceived
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nothingReceived
	}
	found := nothingReceived
	err = raw.Control(func(fd uintptr) {
		var first [1]byte
		n, _, err := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			found = moreReceived
		case err == nil, err == syscall.ECONNRESET, err == syscall.EPIPE, err == syscall.ETIMEDOUT:
			found = endReceived
		}
	})
	if err != nil { // closed on this side: the request was let go of
		return endReceived
	}
	return found
}
